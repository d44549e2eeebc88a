package invariant

import "stoatweir/dispatch"

// Reason is why an attempt was stopped, or which invariant was violated.
type Reason string

// The reasons to stop an attempt. The decision was correct when it was made, but a change since then rules
// out the attempt.
const (
	WorkerUnavailable Reason = "worker unavailable" // draining or gone
	WorkerRestarted   Reason = "worker restarted"
	WorkerMoved       Reason = "worker moved" // to another zone or cell
	ClientGone        Reason = "client gone"  // disconnected, or already answered
	TimeoutPassed     Reason = "client timeout passed"
	WindowPassed      Reason = "window passed"
)

// The invariants that can be violated. Unlike a stopped attempt, a violation is always a mistake.
const (
	UnknownRequest           Reason = "sent for a request that is not open"
	TooManyAttempts          Reason = "more attempts than allowed"
	TooManyInFlight          Reason = "a second attempt out"
	DuplicateAtWorker        Reason = "a second attempt out at one worker"
	RetriedAfterPossibleRun  Reason = "repeated though it may have run"
	RetriedOutsideScope      Reason = "repeated outside the group of its first attempt"
	RetriedOutsideWindow     Reason = "repeated outside its window"
	AnsweredTwice            Reason = "answered twice"
	AnsweredLate             Reason = "answered late"
	RejectedAfterPossibleRun Reason = "refused though it may have run"
	ClosedUnanswered         Reason = "connection closed on an unanswered request"
	StartInFuture            Reason = "a worker's start lies in the future"
)

// maxReportsPerReason bounds the violations per reason that are reported with their histories. All of them
// are counted.
const maxReportsPerReason = 16

// noRequest is the request ID of a violation that belongs to no request, and of a connection on which no
// request waits.
const noRequest dispatch.InvocationID = 0

// Violation is the report of one violated invariant.
type Violation struct {
	Reason  Reason
	Request dispatch.InvocationID // 0: it belongs to no request
	ID      string                // chosen by the request's client; empty if the request is not open
	Worker  string                // the worker's UID; empty: it belongs to no worker
	History []Transition          // of the request, oldest first
}

// Counts are the numbers of stopped attempts and violations by reason, and of retries.
type Counts struct {
	Stopped    map[Reason]int `json:"Stopped"`
	Violations map[Reason]int `json:"Violations"`
	Retries    map[string]int `json:"Retries"` // by the outcome of the previous attempt
}

// recordViolation counts a violation, adds it to the history, and reports it.
func (c *Checker) recordViolation(reason Reason, id dispatch.InvocationID, worker string) {
	c.Counts.Violations[reason]++
	c.recordEvent(id, "VIOLATION: "+string(reason))
	if c.OnViolation == nil || c.Counts.Violations[reason] > maxReportsPerReason {
		return
	}
	v := Violation{Reason: reason, Request: id, Worker: worker}
	if id != noRequest {
		v.History = c.History(id)
	}
	if r := c.requests[id]; r != nil {
		v.ID = r.ID
	}
	c.OnViolation(v)
}
