package virtual

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

// attempt is an attempt of a scheduler at a machine.
type attempt struct {
	*model.Attempt
	request *request
	over    bool // its scheduler knows its end
}

// forward makes an attempt.
func (d *Day) forward(s *scheduler, f dispatch.Forward) {
	r := s.requests[int64(f.Invocation)]
	machine := machineOf(f.Worker)
	if r == nil || machine >= len(d.World.Fleet.Machines) {
		return
	}
	a := &attempt{
		Attempt: &model.Attempt{Scheduler: s.number, Request: r.Request, Number: len(r.attempts), Machine: machine},
		request: r,
	}
	r.attempts = append(r.attempts, a)
	if r.answered {
		d.endAttempt(s, a, dispatch.NotSent, nil, "not sent")
		return
	}
	connected := func(reused bool) {
		if a.over {
			return
		}
		d.World.Rules.AttemptSent(d.now, s.number, r.Request, a.Number, machine)
		d.scheduleAfter(d.latency(s, machine)+bodyTime, func() { d.submit(s, a, reused) })
	}
	d.connect(s, machine, connected, func() {
		d.endAttempt(s, a, dispatch.Unreachable, nil, "could not connect")
	})
}

// submit hands an attempt to its machine, and the machine's response to the scheduler.
func (d *Day) submit(s *scheduler, a *attempt, reused bool) {
	response := d.World.Fleet.Submit(d.now, a.Attempt)
	if response == model.NoResponse {
		return
	}
	d.scheduleAfter(d.latency(s, a.Machine), func() {
		if s.current(a.request.incarnation) {
			d.responded(s, a, response, reused)
		}
	})
}

// responded is the response of a machine to an attempt.
func (d *Day) responded(s *scheduler, a *attempt, response model.Response, reused bool) {
	switch response {
	case model.Accepted:
		d.releaseConnection(s, a.Machine)
		if !a.over {
			progress := d.progress(a)
			progress.Accepted = true
			d.addEvent(s, progress)
		}
	case model.Rejected:
		d.releaseConnection(s, a.Machine)
		d.endAttempt(s, a, dispatch.Rejected, nil, "turned away")
	case model.FailedAtOnce:
		d.releaseConnection(s, a.Machine)
		d.endAttempt(s, a, dispatch.Failed, nil, "failed at once")
	case model.ConnectionReset:
		d.endAttempt(s, a, dispatch.ConnectionBroken, nil, "the connection broke")
	case model.ConnectionRefused:
		if reused { // the machine's process was gone, and the connection with it
			d.endAttempt(s, a, dispatch.ReusedConnectionBroken, nil, "a kept connection broke")
		} else {
			d.endAttempt(s, a, dispatch.Unreachable, nil, "could not connect")
		}
	}
}

// progress is an event about an attempt in flight.
func (d *Day) progress(a *attempt) dispatch.AttemptProgress {
	return dispatch.AttemptProgress{
		Invocation: dispatch.InvocationID(a.request.ID),
		Worker:     workerID(a.Machine),
		Attempt:    a.Number,
	}
}

// provesNotRun reports whether a result proves that the attempt has not run.
func provesNotRun(r dispatch.Result) bool {
	return r == dispatch.Rejected || r == dispatch.Unreachable || r == dispatch.NotSent
}

// endAttempt ends an attempt for its scheduler, once.
func (d *Day) endAttempt(s *scheduler, a *attempt, result dispatch.Result, load *dispatch.LoadReport, cause string) {
	if a.over || !s.current(a.request.incarnation) {
		return
	}
	a.over = true
	d.World.Rules.AttemptEnded(d.now, a.Request, a.Number, provesNotRun(result), cause)
	d.addEvent(s, dispatch.Outcome{
		Invocation: dispatch.InvocationID(a.request.ID),
		Worker:     workerID(a.Machine),
		Attempt:    a.Number,
		Result:     result,
		Answered:   a.request.answered,
		Load:       load,
	})
}

// cancel ends an attempt for its scheduler, and at its machine if the scenario allows that.
func (d *Day) cancel(s *scheduler, a *attempt) {
	if a.over {
		return
	}
	d.endAttempt(s, a, dispatch.Cancelled, nil, "called off")
	if d.scenario.Limits.Cancel {
		d.scheduleAfter(d.latency(s, a.Machine)+bodyTime, func() { d.World.Fleet.Cancel(d.now, a.Attempt) })
	}
}

// callbackSent brings a machine's callback to the scheduler, if it still knows the attempt.
func (d *Day) callbackSent(now time.Duration, sent *model.Attempt, callback model.Callback, share float64) {
	s := d.schedulers[sent.Scheduler]
	r := s.requests[sent.Request.ID]
	if r == nil || sent.Number >= len(r.attempts) || r.attempts[sent.Number].Attempt != sent {
		return
	}
	a := r.attempts[sent.Number]
	d.schedule(max(now, d.now)+d.latency(s, a.Machine), func() {
		if !a.over && s.current(r.incarnation) {
			d.callbackReceived(s, a, callback, share)
		}
	})
}

func (d *Day) callbackReceived(s *scheduler, a *attempt, callback model.Callback, share float64) {
	switch callback {
	case model.Started, model.Progress:
		progress := d.progress(a)
		progress.Started = callback == model.Started
		progress.Done = share
		d.addEvent(s, progress)
	case model.Completed:
		if !a.request.answered {
			d.answer(s, a.request, model.Succeeded, 0)
		}
		d.endAttempt(s, a, dispatch.Succeeded, nil, "done")
	case model.Failed:
		d.endAttempt(s, a, dispatch.Failed, nil, "failed")
	case model.Returned:
		d.endAttempt(s, a, dispatch.Rejected, nil, "returned unstarted")
	case model.Lost:
		d.endAttempt(s, a, dispatch.ConnectionBroken, nil, "lost with its process")
	}
}
