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
func (sim *Simulation) forward(s *scheduler, f dispatch.Forward) {
	r := s.requests[int64(f.Invocation)]
	machine := machineOf(f.Worker)
	if r == nil || machine >= len(sim.Model.Fleet.Machines) {
		return
	}
	a := &attempt{
		Attempt: &model.Attempt{Scheduler: s.number, Request: r.Request, Number: len(r.attempts), Machine: machine},
		request: r,
	}
	r.attempts = append(r.attempts, a)
	if r.answered {
		sim.endAttempt(s, a, dispatch.NotSent, nil, "not sent")
		return
	}
	connected := func(reused bool) {
		if a.over {
			return
		}
		sim.Model.Rules.AttemptSent(sim.now, s.number, r.Request, a.Number, machine)
		sim.scheduleAfter(sim.latency(s, machine)+bodyTime, func() { sim.submit(s, a, reused) })
	}
	sim.connect(s, machine, connected, func() {
		sim.endAttempt(s, a, dispatch.Unreachable, nil, "could not connect")
	})
}

// submit hands an attempt to its machine, and the machine's response to the scheduler.
func (sim *Simulation) submit(s *scheduler, a *attempt, reused bool) {
	response := sim.Model.Fleet.Submit(sim.now, a.Attempt)
	if response == model.NoResponse {
		return
	}
	sim.scheduleAfter(sim.latency(s, a.Machine), func() {
		if s.current(a.request.incarnation) {
			sim.responded(s, a, response, reused)
		}
	})
}

// responded is the response of a machine to an attempt.
func (sim *Simulation) responded(s *scheduler, a *attempt, response model.Response, reused bool) {
	switch response {
	case model.Accepted:
		sim.releaseConnection(s, a.Machine)
		if !a.over {
			progress := sim.progress(a)
			progress.Accepted = true
			sim.addEvent(s, progress)
		}
	case model.Rejected:
		sim.releaseConnection(s, a.Machine)
		sim.endAttempt(s, a, dispatch.Rejected, nil, "turned away")
	case model.FailedAtOnce:
		sim.releaseConnection(s, a.Machine)
		sim.endAttempt(s, a, dispatch.Failed, nil, "failed at once")
	case model.ConnectionReset:
		sim.endAttempt(s, a, dispatch.ConnectionBroken, nil, "the connection broke")
	case model.ConnectionRefused:
		if reused { // the machine's process was gone, and the connection with it
			sim.endAttempt(s, a, dispatch.ReusedConnectionBroken, nil, "a kept connection broke")
		} else {
			sim.endAttempt(s, a, dispatch.Unreachable, nil, "could not connect")
		}
	}
}

// progress is an event about an attempt in flight.
func (sim *Simulation) progress(a *attempt) dispatch.AttemptProgress {
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
func (sim *Simulation) endAttempt(s *scheduler, a *attempt, result dispatch.Result, load *dispatch.LoadReport, cause string) {
	if a.over || !s.current(a.request.incarnation) {
		return
	}
	a.over = true
	sim.Model.Rules.AttemptEnded(sim.now, a.Request, a.Number, provesNotRun(result), cause)
	sim.addEvent(s, dispatch.Outcome{
		Invocation: dispatch.InvocationID(a.request.ID),
		Worker:     workerID(a.Machine),
		Attempt:    a.Number,
		Result:     result,
		Answered:   a.request.answered,
		Load:       load,
	})
}

// cancel ends an attempt for its scheduler, and at its machine if the scenario allows that.
func (sim *Simulation) cancel(s *scheduler, a *attempt) {
	if a.over {
		return
	}
	sim.endAttempt(s, a, dispatch.Cancelled, nil, "called off")
	if sim.scenario.Limits.Cancel {
		sim.scheduleAfter(sim.latency(s, a.Machine)+bodyTime, func() { sim.Model.Fleet.Cancel(sim.now, a.Attempt) })
	}
}

// callbackSent brings a machine's callback to the scheduler, if it still knows the attempt.
func (sim *Simulation) callbackSent(now time.Duration, sent *model.Attempt, callback model.Callback, share float64) {
	s := sim.schedulers[sent.Scheduler]
	r := s.requests[sent.Request.ID]
	if r == nil || sent.Number >= len(r.attempts) || r.attempts[sent.Number].Attempt != sent {
		return
	}
	a := r.attempts[sent.Number]
	sim.schedule(max(now, sim.now)+sim.latency(s, a.Machine), func() {
		if !a.over && s.current(r.incarnation) {
			sim.callbackReceived(s, a, callback, share)
		}
	})
}

func (sim *Simulation) callbackReceived(s *scheduler, a *attempt, callback model.Callback, share float64) {
	switch callback {
	case model.Started, model.Progress:
		progress := sim.progress(a)
		progress.Started = callback == model.Started
		progress.Done = share
		sim.addEvent(s, progress)
	case model.Completed:
		if !a.request.answered {
			sim.answer(s, a.request, model.Succeeded, 0)
		}
		sim.endAttempt(s, a, dispatch.Succeeded, nil, "done")
	case model.Failed:
		sim.endAttempt(s, a, dispatch.Failed, nil, "failed")
	case model.Returned:
		sim.endAttempt(s, a, dispatch.Rejected, nil, "returned unstarted")
	case model.Lost:
		sim.endAttempt(s, a, dispatch.ConnectionBroken, nil, "lost with its process")
	}
}
