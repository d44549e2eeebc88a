package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// Kind is what a final answer says.
type Kind string

// The kinds of final answers, and the other ways in which a request ceases to be owed one.
const (
	Succeeded Kind = "succeeded"
	Refused   Kind = "refused" // asking again is harmless
	Failed    Kind = "failed"
	Abandoned Kind = "client left"
	Migrated  Kind = "handed over" // another process owes it now
)

// Answer enters a final answer, with why it was given, and gives the one that may be given: a refusal of what may have run becomes a failure.
func (g *Checker) CheckAnswer(id dispatch.InvocationID, kind Kind, why string) Kind {
	if g == nil {
		return kind
	}
	r := g.requests[id]
	if r == nil || r.answered {
		g.violate(AnsweredTwice, id, "")
		return kind
	}
	if kind == Refused && !r.refusable() {
		g.violate(RefusedUnproven, id, "")
		kind = Failed
	}
	if owed := kind != Abandoned && kind != Migrated; owed && g.clock() > r.Deadline+answerSlack {
		g.violate(AnsweredLate, id, "")
	}
	event := string(kind)
	if why != "" {
		event += ": " + why
	}
	g.note(id, event)
	r.answered = true
	g.settle(id, r)
	return kind
}

// refusable tells whether asking again is harmless.
func (r *request) refusable() bool {
	if r.Effect == dispatch.Idempotent || r.Effect == dispatch.Deduplicated && r.Scope == dispatch.ScopeAll {
		return true
	}
	for _, a := range r.attempts {
		if a.out || a.ran {
			return false
		}
	}
	return true
}

// Closed passes the end of a connection by our own doing, with the request that waits on it; 0: none does.
func (g *Checker) CheckClose(id dispatch.InvocationID) {
	if g == nil || id == 0 {
		return
	}
	if r := g.requests[id]; r != nil && !r.answered {
		g.violate(ClosedUnanswered, id, "")
	}
}

// Give hands a request over to another process, which owes the answer from now on; the record can be taken back.
func (g *Checker) MigrateOut(id dispatch.InvocationID) *MigratedRequest {
	if g == nil || g.requests[id] == nil {
		return nil
	}
	r := g.requests[id]
	delete(g.requests, id)
	g.note(id, string(Migrated))
	return &MigratedRequest{r}
}

// Record is a request on its way to another process.
type MigratedRequest struct{ request *request }

// TakeBack opens a request again that the other process would not have.
func (g *Checker) CancelMigration(id dispatch.InvocationID, r *MigratedRequest) {
	if r != nil {
		g.requests[id] = r.request
		g.note(id, "taken back")
	}
}

// Inherited is an attempt of a request that another process had.
type MigratedAttempt struct {
	Number               int
	Worker               string
	Zone, Cell           int
	Age                  time.Duration // since it was sent
	InFlight, MayHaveRun bool
}

// Inherit opens a request of another process, with its attempts.
func (g *Checker) MigrateIn(id dispatch.InvocationID, terms RequestLimits, attempts []MigratedAttempt) {
	g.RequestAdmitted(id, terms)
	r, now := g.requests[id], g.clock()
	for _, a := range attempts {
		r.attempts = append(r.attempts, &attempt{number: a.Number, worker: a.Worker, zone: a.Zone, cell: a.Cell, sent: now - a.Age, out: a.InFlight, ran: a.MayHaveRun})
	}
}
