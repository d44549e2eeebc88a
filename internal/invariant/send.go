package invariant

import (
	"strconv"
	"time"

	"stoatweir/dispatch"
)

// Attempt is one that is about to be written.
type Attempt struct {
	Request     dispatch.InvocationID
	Number      int
	Chosen      Target        // the worker as it was when it was chosen
	Current     Target        // and as the list has it now
	NotAfter    time.Duration // no byte goes out from then on; 0: the client timeout alone bounds it
	Deadline    time.Duration // its client's
	MinTimeLeft time.Duration // what must be left to the client timeout
}

// Send tells whether an attempt may be written now; empty: it may. It is asked directly before the first byte.
func (g *Checker) CheckSend(a Attempt) Reason {
	if why := a.worker(); why != "" {
		return g.stop(why, a)
	}
	if g.ClientWaiting != nil && !g.ClientWaiting(a.Request) {
		return g.stop(ClientGone, a)
	}
	now, r := g.clock(), g.requests[a.Request]
	switch {
	case r == nil || r.answered:
		g.violate(UnknownRequest, a.Request, a.Current.UID)
		return UnknownRequest
	case a.Deadline-now < a.MinTimeLeft:
		return g.stop(TimeoutPassed, a)
	case a.NotAfter > 0 && now >= a.NotAfter:
		return g.stop(WindowPassed, a)
	}
	if why := r.repeat(a, now); why != "" {
		g.violate(why, a.Request, a.Current.UID)
		return why
	}
	return ""
}

// worker tells what has become of the worker since it was chosen.
func (a Attempt) worker() Reason {
	switch {
	case a.Current.State != dispatch.Ready:
		return WorkerUnavailable
	case a.Current.Incarnation != a.Chosen.Incarnation:
		return WorkerRestarted
	case a.Current.Zone != a.Chosen.Zone || a.Current.Cell != a.Chosen.Cell:
		return WorkerMoved
	}
	return ""
}

// repeat tells which rule one more attempt would violate.
func (r *request) repeat(a Attempt, now time.Duration) Reason {
	out := 0
	var first *attempt // that may have run
	for _, before := range r.attempts {
		if before.out && before.worker == a.Current.UID {
			return SecondAtWorker
		}
		if before.out {
			out++
		}
		if first == nil && (before.out || before.ran) {
			first = before
		}
	}
	switch {
	case r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts:
		return TooManyAttempts
	case out >= max(1, r.MaxInFlight):
		return SecondOut
	case first == nil || r.Effect == dispatch.Idempotent:
		return ""
	case r.Effect == dispatch.NonIdempotent:
		return RepeatedUnproven
	case now >= first.sent+r.Window:
		return RepeatedTooLate
	case r.Scope == dispatch.ScopeZone && first.zone != a.Current.Zone, r.Scope == dispatch.ScopeCell && first.cell != a.Current.Cell:
		return RepeatedOutOfGroup
	}
	return ""
}

func (g *Checker) stop(why Reason, a Attempt) Reason {
	g.Counts.Stopped[why]++
	g.history.add(Transition{At: g.clock(), Request: a.Request, Attempt: a.Number, Worker: a.Current.UID, Event: "stopped: " + string(why)})
	return why
}

// Begun enters that the first byte of an attempt has been written.
func (g *Checker) AttemptStarted(a Attempt) {
	r := g.requests[a.Request]
	if r == nil {
		return
	}
	if n := len(r.attempts); n > 0 {
		ending := r.attempts[n-1].ending
		if ending == "" {
			ending = "still out"
		}
		g.Counts.Retries[ending]++
	}
	now := g.clock()
	r.attempts = append(r.attempts, &attempt{number: a.Number, worker: a.Current.UID, zone: a.Current.Zone, cell: a.Current.Cell, sent: now, out: true})
	g.history.add(Transition{At: now, Request: a.Request, Attempt: a.Number, Worker: a.Current.UID, Event: "sent"})
}

// Ended enters how an attempt has ended; ran: it may have run.
func (g *Checker) AttemptEnded(id dispatch.InvocationID, number int, ending string, ran bool) {
	g.history.add(Transition{At: g.clock(), Request: id, Attempt: number, Event: "ended: " + ending})
	r := g.requests[id]
	if r == nil {
		return
	}
	for _, a := range r.attempts {
		if a.number == number && a.out {
			a.out, a.ran, a.ending = false, ran, ending
		}
	}
	g.settle(id, r)
}

// Started passes a worker's start as the list tells of it. One that lies ahead can't have happened.
func (g *Checker) CheckStart(worker string, at time.Duration) {
	if at > g.clock() {
		g.violate(StartInFuture, 0, worker)
	}
}

func attemptName(number int) string { return "attempt " + strconv.Itoa(number) }
