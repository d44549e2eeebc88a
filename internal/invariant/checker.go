package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// RequestLimits are the limits to which a request is held. They are set when the request is admitted, and
// only RaiseLimits changes them.
type RequestLimits struct {
	ID          string // chosen by the client
	Effect      dispatch.Effect
	DedupScope  dispatch.DedupScope
	DedupWindow time.Duration // after the first attempt that may have run; workers deduplicate retries within it
	Deadline    time.Duration // when the client timeout ends, on the Checker's clock
	MaxAttempts int           // 0: any number
	MaxInFlight int           // attempts in flight at a time; less than 1 counts as 1
}

// Target is a worker, as the endpoint list has it at one moment.
type Target struct {
	UID string // unique among the workers
	dispatch.Endpoint
}

// Checker checks the invariants for the requests of one scheduler. CheckAnswer, CheckClose and MigrateOut may
// be called on a nil Checker, and check nothing then; the other methods require a Checker made by New. It is
// not safe for concurrent use.
type Checker struct {
	ClientWaiting func(dispatch.InvocationID) bool // whether the client still waits at this moment; nil: always
	OnViolation   func(Violation)                  // nil: violations are only counted
	Counts        Counts

	clock    func() time.Duration
	requests map[dispatch.InvocationID]*request // those without an answer or with an attempt in flight
	history  history
}

// request is the Checker's own record of a request, independent of the dispatcher's.
type request struct {
	RequestLimits
	answered bool
	attempts []*attempt
}

// attempt is an attempt of a request whose first byte has been written.
type attempt struct {
	number     int
	worker     string // its UID
	zone, cell int
	sent       time.Duration
	inFlight   bool
	mayHaveRun bool   // valid once it has ended
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

// RaiseLimits raises the limits of all open requests to those of newer settings. No limit is lowered, as what
// was allowed when a request was admitted stays allowed.
func (c *Checker) RaiseLimits(maxAttempts, maxInFlight int) {
	for _, r := range c.requests {
		r.MaxAttempts = max(r.MaxAttempts, maxAttempts)
		r.MaxInFlight = max(r.MaxInFlight, maxInFlight)
	}
}

// OpenRequests returns the number of requests without an answer or with an attempt in flight.
func (c *Checker) OpenRequests() int { return len(c.requests) }

// forgetIfComplete deletes the record of a request that is answered and has no attempt in flight.
func (c *Checker) forgetIfComplete(id dispatch.InvocationID, r *request) {
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
