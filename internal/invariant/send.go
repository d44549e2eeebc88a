package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// Attempt is an attempt that is about to be written.
type Attempt struct {
	Request     dispatch.InvocationID
	Number      int
	Chosen      Target        // the worker as the endpoint list had it when it was chosen
	Current     Target        // the worker as the endpoint list has it now
	SendBefore  time.Duration // from this time on no byte may be written; 0: only the client timeout bounds it
	Deadline    time.Duration // when the client timeout ends
	MinTimeLeft time.Duration // least time that must be left until Deadline
}

// CheckSend returns why an attempt may not be written now; empty: it may. It must be called immediately
// before the first byte is written.
func (c *Checker) CheckSend(a Attempt) Reason {
	if reason := a.workerChange(); reason != "" {
		return c.recordStopped(reason, a)
	}
	if c.ClientWaiting != nil && !c.ClientWaiting(a.Request) {
		return c.recordStopped(ClientGone, a)
	}
	now := c.clock()
	r := c.requests[a.Request]
	switch {
	case r == nil || r.answered:
		c.recordViolation(UnknownRequest, a.Request, a.Current.UID)
		return UnknownRequest
	case a.Deadline-now < a.MinTimeLeft:
		return c.recordStopped(TimeoutPassed, a)
	case a.SendBefore > 0 && now >= a.SendBefore:
		return c.recordStopped(WindowPassed, a)
	}
	if reason := r.retryViolation(a, now); reason != "" {
		c.recordViolation(reason, a.Request, a.Current.UID)
		return reason
	}
	return ""
}

// workerChange returns the change of the worker since it was chosen that rules out the attempt; empty: there
// is none.
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
			return DuplicateAtWorker
		}
		inFlight++
	}
	switch {
	case r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts:
		return TooManyAttempts
	case inFlight >= max(1, r.MaxInFlight):
		return TooManyInFlight
	}
	return r.effectViolation(a, now)
}

// effectViolation returns which invariant of the request's effect class one more attempt would violate;
// empty: none.
func (r *request) effectViolation(a Attempt, now time.Duration) Reason {
	first := r.firstThatMayHaveRun()
	switch {
	case first == nil || r.Effect == dispatch.Idempotent:
		return ""
	case r.Effect == dispatch.NonIdempotent:
		return RetriedAfterPossibleRun
	case now >= first.sent+r.DedupWindow:
		return RetriedOutsideWindow
	case r.DedupScope == dispatch.ScopeZone && first.zone != a.Current.Zone:
		return RetriedOutsideScope
	case r.DedupScope == dispatch.ScopeCell && first.cell != a.Current.Cell:
		return RetriedOutsideScope
	}
	return ""
}

// firstThatMayHaveRun returns the first attempt that may have run or may still run; nil: there is none.
func (r *request) firstThatMayHaveRun() *attempt {
	for _, a := range r.attempts {
		if a.inFlight || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// recordStopped counts and records an attempt that was stopped, and returns the reason.
func (c *Checker) recordStopped(reason Reason, a Attempt) Reason {
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

// countRetry counts an attempt of a request that has previous attempts, by the outcome of the last of these.
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

// AttemptEnded records the outcome of an attempt and whether it may have run.
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
	c.forgetIfComplete(id, r)
}
