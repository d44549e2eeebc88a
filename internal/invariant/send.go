package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// Attempt is an attempt that is about to be written.
type Attempt struct {
	Request     dispatch.InvocationID
	Number      int
	Chosen      Target        // the worker as it was when it was chosen
	Current     Target        // the worker as the endpoint list has it now
	NotAfter    time.Duration // no byte may go out from then on; 0: the client timeout alone bounds it
	Deadline    time.Duration // its client timeout
	MinTimeLeft time.Duration // that must be left until the client timeout
}

// CheckSend returns why an attempt may not be written now; empty: it may. It is to be called directly before the first
// byte is written.
func (c *Checker) CheckSend(a Attempt) Reason {
	if reason := a.workerChange(); reason != "" {
		return c.stop(reason, a)
	}
	if c.ClientWaiting != nil && !c.ClientWaiting(a.Request) {
		return c.stop(ClientGone, a)
	}
	now := c.clock()
	r := c.requests[a.Request]
	switch {
	case r == nil || r.answered:
		c.violate(UnknownRequest, a.Request, a.Current.UID)
		return UnknownRequest
	case a.Deadline-now < a.MinTimeLeft:
		return c.stop(TimeoutPassed, a)
	case a.NotAfter > 0 && now >= a.NotAfter:
		return c.stop(WindowPassed, a)
	}
	if reason := r.retryViolation(a, now); reason != "" {
		c.violate(reason, a.Request, a.Current.UID)
		return reason
	}
	return ""
}

// workerChange returns what has become of the worker since it was chosen; empty: it may still be sent to.
func (a Attempt) workerChange() Reason {
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

// retryViolation returns which invariant one more attempt would violate; empty: none.
func (r *request) retryViolation(a Attempt, now time.Duration) Reason {
	inFlight := 0
	for _, previous := range r.attempts {
		if !previous.inFlight {
			continue
		}
		if previous.worker == a.Current.UID {
			return SecondAtWorker
		}
		inFlight++
	}
	switch {
	case r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts:
		return TooManyAttempts
	case inFlight >= max(1, r.MaxInFlight):
		return SecondOut
	}
	return r.effectViolation(a, now)
}

// effectViolation returns which invariant of the request's effect class one more attempt would violate; empty: none.
func (r *request) effectViolation(a Attempt, now time.Duration) Reason {
	first := r.firstThatMayHaveRun()
	switch {
	case first == nil || r.Effect == dispatch.Idempotent:
		return ""
	case r.Effect == dispatch.NonIdempotent:
		return RepeatedUnproven
	case now >= first.sent+r.Window:
		return RepeatedTooLate
	case r.Scope == dispatch.ScopeZone && first.zone != a.Current.Zone:
		return RepeatedOutOfGroup
	case r.Scope == dispatch.ScopeCell && first.cell != a.Current.Cell:
		return RepeatedOutOfGroup
	}
	return ""
}

// firstThatMayHaveRun is the first attempt that may have run or may yet run; nil: there is none.
func (r *request) firstThatMayHaveRun() *attempt {
	for _, a := range r.attempts {
		if a.inFlight || a.mayHaveRun {
			return a
		}
	}
	return nil
}

func (c *Checker) stop(reason Reason, a Attempt) Reason {
	c.Counts.Stopped[reason]++
	c.history.add(Transition{
		At:      c.clock(),
		Request: a.Request,
		Attempt: a.Number,
		Worker:  a.Current.UID,
		Event:   "stopped: " + string(reason),
	})
	return reason
}

// AttemptStarted records that the first byte of an attempt has been written.
func (c *Checker) AttemptStarted(a Attempt) {
	r := c.requests[a.Request]
	if r == nil {
		return
	}
	c.countRetry(r)
	now := c.clock()
	r.attempts = append(r.attempts, &attempt{
		number:   a.Number,
		worker:   a.Current.UID,
		zone:     a.Current.Zone,
		cell:     a.Current.Cell,
		sent:     now,
		inFlight: true,
	})
	c.history.add(Transition{
		At:      now,
		Request: a.Request,
		Attempt: a.Number,
		Worker:  a.Current.UID,
		Event:   "sent",
	})
}

// countRetry counts an attempt that follows others, by how the last of these has ended.
func (c *Checker) countRetry(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	outcome := r.attempts[len(r.attempts)-1].outcome
	if outcome == "" {
		outcome = "still out"
	}
	c.Counts.Retries[outcome]++
}

// AttemptEnded records how an attempt has ended and whether it may have run.
func (c *Checker) AttemptEnded(id dispatch.InvocationID, number int, outcome string, mayHaveRun bool) {
	c.history.add(Transition{At: c.clock(), Request: id, Attempt: number, Event: "ended: " + outcome})
	r := c.requests[id]
	if r == nil {
		return
	}
	for _, a := range r.attempts {
		if a.number == number && a.inFlight {
			a.inFlight = false
			a.mayHaveRun = mayHaveRun
			a.outcome = outcome
		}
	}
	c.settle(id, r)
}
