package virtual

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

// deadlineMargin is how long before the client timeout a request counts as timed out at its
// scheduler.
const deadlineMargin = 5 * time.Millisecond

// request is a request at a scheduler. It is kept until it is answered and has no attempt in flight.
type request struct {
	*model.Request
	incarnation int // of its scheduler, when it received the request
	answered    bool
	attempts    []*attempt
}

// removeIfFinished removes a request that is answered and has no attempt in flight.
func (s *scheduler) removeIfFinished(id int64) {
	r := s.requests[id]
	if r == nil || !r.answered {
		return
	}
	for _, a := range r.attempts {
		if !a.ended {
			return
		}
	}
	delete(s.requests, id)
}

// scheduleArrival schedules the next invocation of the source. Its arrival schedules the one after
// it.
func (sim *Simulation) scheduleArrival() {
	r, more := sim.source.Next()
	if !more {
		return
	}
	sim.schedule(r.At, func() {
		sim.lastDeadline = max(sim.lastDeadline, r.Deadline)
		sim.Model.Statistics.InvocationOffered(&r)
		sim.sendRequest(&r)
		sim.scheduleArrival()
	})
}

// sendRequest sends a request from its client to a scheduler.
func (sim *Simulation) sendRequest(r *model.Request) {
	sim.Model.Statistics.Requests++
	s := sim.route(r)
	if s == nil || !s.up {
		sim.clientReplied(r, model.NoScheduler, 0)
		return
	}
	incarnation := s.incarnation
	if r.DisconnectAt > sim.now {
		sim.schedule(r.DisconnectAt, func() { sim.disconnect(s, incarnation, r) })
	}
	sim.scheduleAfter(sim.jitter(sim.scenario.Network.Client.D()), func() {
		if !s.current(incarnation) {
			sim.clientReplied(r, model.Unanswered, 0)
			return
		}
		sim.receiveRequest(s, r)
	})
}

// route returns the scheduler that a client sends a request to, or nil if all are known to be down.
// Until clients detect a scheduler's failure, it may be one that is down.
func (sim *Simulation) route(r *model.Request) *scheduler {
	n := sim.Model.Clients.Route(r, func(n int) bool {
		s := sim.schedulers[n]
		return !s.up && sim.now >= s.failureKnownAt
	})
	if n < 0 {
		return nil
	}
	return sim.schedulers[n]
}

// receiveRequest adds a request to a scheduler, and schedules its timeouts at the scheduler and at
// the client.
func (sim *Simulation) receiveRequest(s *scheduler, received *model.Request) {
	sim.Model.Rules.RequestReceived(sim.now, s.number, received)
	r := &request{Request: received, incarnation: s.incarnation}
	s.requests[r.ID] = r
	sim.addEvent(s, dispatch.Arrival{
		Invocation: dispatch.InvocationID(r.ID),
		Operation:  r.Operation,
		Tenant:     r.Tenant,
		Budget:     r.Deadline - sim.now - deadlineMargin,
		Hint:       r.Hint,
		Slots:      float64(r.Slots),
	})
	sim.schedule(r.Deadline-deadlineMargin, func() { sim.timeOut(s, r) })
	sim.schedule(r.Deadline+sim.scenario.Rules.AnswerSlack.D(), func() { sim.clientReplied(r.Request, model.Unanswered, 0) })
}

// timeOut ends the attempts in flight of a request shortly before its client times out.
func (sim *Simulation) timeOut(s *scheduler, r *request) {
	if !s.current(r.incarnation) {
		return
	}
	for _, a := range r.attempts {
		sim.endAttempt(s, a, dispatch.TimedOut, nil, "abandoned at the client timeout")
	}
	s.removeIfFinished(r.ID)
}

// disconnect disconnects a client before its timeout.
func (sim *Simulation) disconnect(s *scheduler, incarnation int, r *model.Request) {
	sim.Model.Rules.ClientDisconnected(sim.now, r)
	sim.clientReplied(r, model.Disconnected, 0)
	open := s.requests[r.ID]
	if open == nil || open.answered || !s.current(incarnation) {
		return
	}
	open.answered = true
	sim.addEvent(s, dispatch.ClientDisconnected{Invocation: dispatch.InvocationID(r.ID)})
}

// answer sends a scheduler's final answer to the client. If the request is already answered, a
// further answer is not sent; it is reported to the rule checker unless it is a result. r is nil if
// the request has been removed because it was answered or its client disconnected, which the
// decider may not know yet.
func (sim *Simulation) answer(s *scheduler, r *request, reply model.Reply, retryAfter time.Duration) {
	if r == nil {
		return
	}
	if r.answered {
		if reply != model.Succeeded {
			sim.Model.Rules.RequestAnswered(sim.now, s.number, r.Request, reply)
		}
		return
	}
	r.answered = true
	sim.Model.Rules.RequestAnswered(sim.now, s.number, r.Request, reply)
	sim.scheduleAfter(sim.jitter(sim.scenario.Network.Client.D()), func() { sim.clientReplied(r.Request, reply, retryAfter) })
	s.removeIfFinished(r.ID)
}

// clientReplied ends a request for its client, which either retries or ends the invocation. Only
// the first reply counts.
func (sim *Simulation) clientReplied(r *model.Request, reply model.Reply, retryAfter time.Duration) {
	if !sim.Model.Clients.FirstReply(r) {
		return
	}
	if retry, again := sim.Model.Clients.Retry(sim.now, r, reply, retryAfter); again {
		sim.schedule(retry.At, func() { sim.sendRequest(&retry) })
		return
	}
	sim.Model.Statistics.InvocationEnded(sim.now, r, reply)
}
