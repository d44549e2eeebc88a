package invariant

import "stoatweir/dispatch"

// Reason says why an attempt was stopped, or which invariant was violated.
type Reason string

// Reasons to stop an attempt that was decided rightly, and was no longer right when it was to be written.
const (
	WorkerUnavailable Reason = "worker unavailable" // draining or gone
	WorkerRestarted   Reason = "worker restarted"
	WorkerMoved       Reason = "worker moved" // to another zone or cell
	ClientGone        Reason = "client gone"  // disconnected, or already answered
	TimeoutPassed     Reason = "client timeout passed"
	WindowPassed      Reason = "window passed"
)

// Violations: what must never be decided at all.
const (
	UnknownRequest     Reason = "sent for a request that is not open"
	TooManyAttempts    Reason = "more attempts than allowed"
	SecondOut          Reason = "a second attempt out"
	SecondAtWorker     Reason = "a second attempt out at one worker"
	RepeatedUnproven   Reason = "repeated though it may have run"
	RepeatedOutOfGroup Reason = "repeated outside the group of its first attempt"
	RepeatedTooLate    Reason = "repeated outside its window"
	AnsweredTwice      Reason = "answered twice"
	AnsweredLate       Reason = "answered late"
	RefusedUnproven    Reason = "refused though it may have run"
	ClosedUnanswered   Reason = "connection closed on an unanswered request"
	StartInFuture      Reason = "a worker's start lies in the future"
)

// maxReports is how many violations of one reason are reported with their histories; all are counted.
const maxReports = 16

// noRequest stands for the request of a violation that concerns none, and of a connection that holds none.
const noRequest dispatch.InvocationID = 0

// Violation is the report of one violated invariant.
type Violation struct {
	Reason  Reason
	Request dispatch.InvocationID // 0: it concerns no request
	ID      string                // given by the request's client; empty if the request is not open
	Worker  string                // its UID; empty: it concerns no worker
	History []Transition          // of that request, oldest first
}

// Counts are the stops and violations by reason, and the retries.
type Counts struct {
	Stopped    map[Reason]int `json:"Stopped"`
	Violations map[Reason]int `json:"Violations"`
	Retries    map[string]int `json:"Retries"` // by how the attempt before had ended
}

// violate counts a violation and reports it.
func (c *Checker) violate(reason Reason, id dispatch.InvocationID, worker string) {
	c.Counts.Violations[reason]++
	c.record(id, "VIOLATION: "+string(reason))
	if c.OnViolation == nil || c.Counts.Violations[reason] > maxReports {
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
