package virtual

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

// deadlineMargin is how long before its client's timeout a request counts as given up.
const deadlineMargin = 5 * time.Millisecond

// request is a request at a scheduler that is not answered, or has attempts in flight.
type request struct {
	*model.Request
	incarnation int // of its scheduler
	answered    bool
	attempts    []*attempt
}

// settle forgets a request that is answered and has no attempt in flight.
func (s *scheduler) settle(id int64) {
	r := s.requests[id]
	if r == nil || !r.answered {
		return
	}
	for _, a := range r.attempts {
		if !a.over {
			return
		}
	}
	delete(s.requests, id)
}

// scheduleArrival schedules the next invocation of the source.
func (d *Day) scheduleArrival() {
	r, more := d.source.Next()
	if !more {
		return
	}
	d.schedule(r.At, func() {
		d.lastDeadline = max(d.lastDeadline, r.Deadline)
		d.World.Statistics.InvocationOffered(&r)
		d.sendRequest(&r)
		d.scheduleArrival()
	})
}

// sendRequest has a client send a request.
func (d *Day) sendRequest(r *model.Request) {
	d.World.Statistics.Requests++
	s := d.route(r)
	if s == nil || !s.up {
		d.clientReplied(r, model.NoScheduler, 0)
		return
	}
	incarnation := s.incarnation
	if r.DisconnectAt > d.now {
		d.schedule(r.DisconnectAt, func() { d.disconnect(s, incarnation, r) })
	}
	d.scheduleAfter(d.jitter(d.scenario.Network.Client.D()), func() {
		if !s.current(incarnation) {
			d.clientReplied(r, model.Unanswered, 0)
			return
		}
		d.receiveRequest(s, r)
	})
}

// route returns the scheduler that a request goes to, which may be down while clients do not know that; nil: there is none.
func (d *Day) route(r *model.Request) *scheduler {
	n := d.World.Clients.Route(r, func(n int) bool {
		s := d.schedulers[n]
		return !s.up && d.now >= s.failureKnownAt
	})
	if n < 0 {
		return nil
	}
	return d.schedulers[n]
}

// receiveRequest has a scheduler receive a request.
func (d *Day) receiveRequest(s *scheduler, received *model.Request) {
	d.World.Rules.RequestReceived(d.now, s.number, received)
	r := &request{Request: received, incarnation: s.incarnation}
	s.requests[r.ID] = r
	d.addEvent(s, dispatch.Arrival{
		Invocation: dispatch.InvocationID(r.ID),
		Operation:  r.Operation,
		Tenant:     r.Tenant,
		Budget:     r.Deadline - d.now - deadlineMargin,
		Hint:       r.Hint,
		Slots:      float64(r.Slots),
	})
	d.schedule(r.Deadline-deadlineMargin, func() { d.timeOut(s, r) })
	d.schedule(r.Deadline+d.scenario.Rules.AnswerSlack.D(), func() { d.clientReplied(r.Request, model.Unanswered, 0) })
}

// timeOut ends the attempts in flight of a request whose client stops waiting.
func (d *Day) timeOut(s *scheduler, r *request) {
	if !s.current(r.incarnation) {
		return
	}
	for _, a := range r.attempts {
		d.endAttempt(s, a, dispatch.TimedOut, nil, "given up at the client timeout")
	}
	s.settle(r.ID)
}

// disconnect has a client disconnect before its timeout.
func (d *Day) disconnect(s *scheduler, incarnation int, r *model.Request) {
	d.World.Rules.ClientDisconnected(d.now, r)
	d.clientReplied(r, model.Disconnected, 0)
	open := s.requests[r.ID]
	if open == nil || open.answered || !s.current(incarnation) {
		return
	}
	open.answered = true
	d.addEvent(s, dispatch.ClientDisconnected{Invocation: dispatch.InvocationID(r.ID)})
}

// answer sends the final answer of a scheduler. r is nil for a request that is forgotten, as its client has disconnected or
// has its answer: the decider may not know that yet.
func (d *Day) answer(s *scheduler, r *request, reply model.Reply, retryAfter time.Duration) {
	if r == nil {
		return
	}
	if r.answered {
		if reply != model.Succeeded {
			d.World.Rules.RequestAnswered(d.now, s.number, r.Request, reply)
		}
		return
	}
	r.answered = true
	d.World.Rules.RequestAnswered(d.now, s.number, r.Request, reply)
	d.scheduleAfter(d.jitter(d.scenario.Network.Client.D()), func() { d.clientReplied(r.Request, reply, retryAfter) })
	s.settle(r.ID)
}

// clientReplied ends a request for its client, which may retry.
func (d *Day) clientReplied(r *model.Request, reply model.Reply, retryAfter time.Duration) {
	if !d.World.Clients.FirstReply(r) {
		return
	}
	if retry, again := d.World.Clients.Retry(d.now, r, reply, retryAfter); again {
		d.schedule(retry.At, func() { d.sendRequest(&retry) })
		return
	}
	d.World.Statistics.InvocationEnded(d.now, r, reply)
}
