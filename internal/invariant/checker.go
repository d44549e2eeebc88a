package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// RequestLimits are the promises made for a request when it was admitted.
type RequestLimits struct {
	ID          string // given by its client
	Effect      dispatch.Effect
	Scope       dispatch.DedupScope
	Window      time.Duration // in which workers drop repeats
	Deadline    time.Duration // its client timeout, as a time of the Checker's clock
	MaxAttempts int           // 0: any number
	MaxInFlight int           // attempts in flight at once; less than 1 counts as 1
}

// Target is a worker at the moment of an attempt.
type Target struct {
	UID string // unique among the workers
	dispatch.Endpoint
}

// Checker watches the requests of one scheduler. CheckAnswer, CheckClose and MigrateOut check nothing on a nil Checker; the
// other methods need one made by New. It is not safe for concurrent use.
type Checker struct {
	ClientWaiting func(dispatch.InvocationID) bool // whether the client waits at this very moment; nil: always
	OnViolation   func(Violation)                  // nil: violations are only counted
	Counts        Counts

	clock    func() time.Duration
	requests map[dispatch.InvocationID]*request // not settled yet
	history  history
}

// request is the Checker's own record of a request.
type request struct {
	RequestLimits
	answered bool
	attempts []*attempt
}

type attempt struct {
	number     int
	worker     string // its UID
	zone, cell int
	sent       time.Duration
	inFlight   bool
	mayHaveRun bool   // known once it has ended
	outcome    string // empty while in flight
}

// New returns a Checker that reads the time from clock.
func New(clock func() time.Duration) *Checker {
	return &Checker{
		Counts: Counts{
			Stopped:    map[Reason]int{},
			Violations: map[Reason]int{},
			Retries:    map[string]int{},
		},
		clock:    clock,
		requests: map[dispatch.InvocationID]*request{},
	}
}

// RequestAdmitted opens the record of a request that has been read.
func (c *Checker) RequestAdmitted(id dispatch.InvocationID, limits RequestLimits) {
	c.requests[id] = &request{RequestLimits: limits}
	c.history.add(Transition{At: c.clock(), Request: id, ID: limits.ID, Event: "taken"})
}

// RaiseLimits raises the limits of all open requests to those of newer settings. What was allowed when a request was
// admitted stays allowed: no limit is lowered.
func (c *Checker) RaiseLimits(maxAttempts, maxInFlight int) {
	for _, r := range c.requests {
		r.MaxAttempts = max(r.MaxAttempts, maxAttempts)
		r.MaxInFlight = max(r.MaxInFlight, maxInFlight)
	}
}

// OpenRequests counts the requests that are not settled: without an answer, or with an attempt in flight.
func (c *Checker) OpenRequests() int { return len(c.requests) }

// settle forgets a request that is answered and has no attempt in flight.
func (c *Checker) settle(id dispatch.InvocationID, r *request) {
	if !r.answered {
		return
	}
	for _, a := range r.attempts {
		if a.inFlight {
			return
		}
	}
	delete(c.requests, id)
}
