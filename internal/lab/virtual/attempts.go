package virtual

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

// attempt is an attempt of a scheduler at a machine, as the scheduler sees it.
type attempt struct {
	*model.Attempt
	request *request
	ended   bool // its scheduler has been notified of its end
}

// forward starts an attempt: it connects to the machine and sends the request.
func (sim *Simulation) forward(s *scheduler, f dispatch.Forward) {
	r := s.requests[int64(f.Invocation)]
	machine := machineOf(f.Worker)
	if r == nil || machine >= len(sim.Model.Cluster.Machines) {
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
		if a.ended {
			return
		}
		sim.Model.Rules.AttemptSent(sim.now, s.number, r.Request, a.Number, machine)
		sim.scheduleAfter(sim.latency(s, machine)+bodyTransferTime, func() { sim.submit(s, a, reused) })
	}
	sim.connect(s, machine, connected, func() {
		sim.endAttempt(s, a, dispatch.Unreachable, nil, "could not connect")
	})
}

// submit delivers an attempt to its machine, and the machine's response to the scheduler.
func (sim *Simulation) submit(s *scheduler, a *attempt, reused bool) {
	response := sim.Model.Cluster.Submit(sim.now, a.Attempt)
	if response == model.NoResponse {
		return
	}
	sim.scheduleAfter(sim.latency(s, a.Machine), func() {
		if s.current(a.request.incarnation) {
			sim.handleResponse(s, a, response, reused)
		}
	})
}

// handleResponse handles a machine's response to an attempt, at the time the scheduler receives it.
func (sim *Simulation) handleResponse(s *scheduler, a *attempt, response model.Response, reused bool) {
	switch response {
	case model.Accepted:
		sim.releaseConnection(s, a.Machine)
		if !a.ended {
			progress := sim.newProgress(a)
			progress.Accepted = true
			sim.addEvent(s, progress)
		}
	case model.Rejected:
		sim.releaseConnection(s, a.Machine)
		sim.endAttempt(s, a, dispatch.Rejected, nil, "rejected")
	case model.FailedAtOnce:
		sim.releaseConnection(s, a.Machine)
		sim.endAttempt(s, a, dispatch.Failed, nil, "failed at once")
	case model.ConnectionReset:
		sim.endAttempt(s, a, dispatch.ConnectionBroken, nil, "the connection broke")
	case model.ConnectionRefused:
		if reused { // the machine's process had exited, which closed the idle connection
			sim.endAttempt(s, a, dispatch.ReusedConnectionBroken, nil, "a reused connection broke")
		} else {
			sim.endAttempt(s, a, dispatch.Unreachable, nil, "could not connect")
		}
	}
}

// newProgress returns a progress event of an attempt in flight.
func (sim *Simulation) newProgress(a *attempt) dispatch.AttemptProgress {
	return dispatch.AttemptProgress{
		Invocation: dispatch.InvocationID(a.request.ID),
		Worker:     workerID(a.Machine),
		Attempt:    a.Number,
	}
}

// provesNotRun reports whether the result of an attempt proves that it has not run.
func provesNotRun(r dispatch.Result) bool {
	return r == dispatch.Rejected || r == dispatch.Unreachable || r == dispatch.NotSent
}

// endAttempt notifies the scheduler of the end of an attempt. Only the first call for an attempt has
// an effect, and no call has one after the scheduler was killed. cause is for the request's history.
func (sim *Simulation) endAttempt(s *scheduler, a *attempt, result dispatch.Result, load *dispatch.LoadReport, cause string) {
	if a.ended || !s.current(a.request.incarnation) {
		return
	}
	a.ended = true
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

// cancel ends an attempt for its scheduler, and cancels it at its machine if the scenario's limits
// allow it.
func (sim *Simulation) cancel(s *scheduler, a *attempt) {
	if a.ended {
		return
	}
	sim.endAttempt(s, a, dispatch.Cancelled, nil, "cancelled")
	if sim.scenario.Limits.Cancel {
		sim.scheduleAfter(sim.latency(s, a.Machine)+bodyTransferTime, func() { sim.Model.Cluster.Cancel(sim.now, a.Attempt) })
	}
}

// deliverCallback schedules the arrival of a machine's callback at the scheduler, if the scheduler
// still knows the attempt.
func (sim *Simulation) deliverCallback(now time.Duration, sent *model.Attempt, callback model.Callback, share float64) {
	s := sim.schedulers[sent.Scheduler]
	r := s.requests[sent.Request.ID]
	if r == nil || sent.Number >= len(r.attempts) || r.attempts[sent.Number].Attempt != sent {
		return
	}
	a := r.attempts[sent.Number]
	sim.schedule(max(now, sim.now)+sim.latency(s, a.Machine), func() {
		if !a.ended && s.current(r.incarnation) {
			sim.handleCallback(s, a, callback, share)
		}
	})
}

// handleCallback handles a machine's callback, at the time the scheduler receives it.
func (sim *Simulation) handleCallback(s *scheduler, a *attempt, callback model.Callback, share float64) {
	switch callback {
	case model.Started, model.Progress:
		progress := sim.newProgress(a)
		progress.Started = callback == model.Started
		progress.Done = share
		sim.addEvent(s, progress)
	case model.Completed:
		if !a.request.answered {
			sim.answer(s, a.request, model.Succeeded, 0)
		}
		sim.endAttempt(s, a, dispatch.Succeeded, nil, "completed")
	case model.Failed:
		sim.endAttempt(s, a, dispatch.Failed, nil, "failed")
	case model.Returned:
		sim.endAttempt(s, a, dispatch.Rejected, nil, "returned without having started")
	case model.Lost:
		sim.endAttempt(s, a, dispatch.ConnectionBroken, nil, "lost when its process exited")
	}
}
