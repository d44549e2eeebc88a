package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// answerSlack is the time after the client timeout during which an answer still counts as in time. It covers
// the transfer over sockets, and a scheduler process that is held up before it writes.
const answerSlack = 200 * time.Millisecond

// AnswerKind is the kind of a final answer, or another reason why a request no longer needs one.
type AnswerKind string

// The kinds of final answers, and the other reasons why a request no longer needs one.
const (
	Succeeded AnswerKind = "succeeded"
	Rejected  AnswerKind = "refused" // the client may safely retry
	Failed    AnswerKind = "failed"
	Abandoned AnswerKind = "client left"
	Migrated  AnswerKind = "handed over" // another process answers it
)

// CheckAnswer checks and records a final answer with its cause, which may be empty, and returns the
// kind of answer that may be given. It is Failed in place of Rejected if the request may have run
// and its client can't safely retry.
func (c *Checker) CheckAnswer(id dispatch.InvocationID, kind AnswerKind, cause string) AnswerKind {
	if c == nil {
		return kind
	}
	r := c.requests[id]
	if r == nil || r.answered {
		c.recordViolation(AnsweredTwice, id, "")
		return kind
	}
	if kind == Rejected && !r.isSafeToRetry() {
		c.recordViolation(RejectedAfterPossibleRun, id, "")
		kind = Failed
	}
	if kind.isAnswer() && c.clock() > r.Deadline+answerSlack {
		c.recordViolation(AnsweredLate, id, "")
	}
	event := string(kind)
	if cause != "" {
		event += ": " + cause
	}
	c.recordEvent(id, event)
	r.answered = true
	c.forgetIfComplete(id, r)
	return kind
}

// isAnswer reports whether this kind is an answer to the client.
func (k AnswerKind) isAnswer() bool { return k != Abandoned && k != Migrated }

// isSafeToRetry reports whether the client may retry the request without the risk of a second execution
// that has an effect.
func (r *request) isSafeToRetry() bool {
	if r.Effect == dispatch.Idempotent || r.Effect == dispatch.Deduplicated && r.DedupScope == dispatch.ScopeAll {
		return true
	}
	return r.firstThatMayHaveRun() == nil
}
