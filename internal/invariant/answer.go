package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// answerSlack is how long after the client timeout an answer still counts as in time: the time on sockets, and for which a
// scheduler may be held up before it writes.
const answerSlack = 200 * time.Millisecond

// Kind says what a final answer is, or how else a request ceased to be owed one.
type Kind string

// The kinds of final answers, and the other ways in which a request ceases to be owed one.
const (
	Succeeded Kind = "succeeded"
	Refused   Kind = "refused" // the client may safely retry
	Failed    Kind = "failed"
	Abandoned Kind = "client left"
	Migrated  Kind = "handed over" // another process owes it now
)

// CheckAnswer records a final answer with its cause, which may be empty, and returns the kind that may be given: Refused
// becomes Failed for a request that may have run.
func (c *Checker) CheckAnswer(id dispatch.InvocationID, kind Kind, cause string) Kind {
	if c == nil {
		return kind
	}
	r := c.requests[id]
	if r == nil || r.answered {
		c.violate(AnsweredTwice, id, "")
		return kind
	}
	if kind == Refused && !r.refusable() {
		c.violate(RefusedUnproven, id, "")
		kind = Failed
	}
	if kind.isAnswer() && c.clock() > r.Deadline+answerSlack {
		c.violate(AnsweredLate, id, "")
	}
	event := string(kind)
	if cause != "" {
		event += ": " + cause
	}
	c.record(id, event)
	r.answered = true
	c.settle(id, r)
	return kind
}

// isAnswer reports whether a client gets an answer of this kind.
func (k Kind) isAnswer() bool { return k != Abandoned && k != Migrated }

// refusable reports whether the client may safely retry.
func (r *request) refusable() bool {
	if r.Effect == dispatch.Idempotent || r.Effect == dispatch.Deduplicated && r.Scope == dispatch.ScopeAll {
		return true
	}
	return r.firstThatMayHaveRun() == nil
}
