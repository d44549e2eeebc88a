// Package invariant holds the invariants of sending, repeating, closing and starting. Each attempt asks Send directly before its first byte is
// written, each final answer passes Answer, each end of a connection that holds a request passes Closed, and each start of a worker passes
// Started. The guard keeps books of its own, so that a mistake in those who decide shows: what must not happen is stopped where it can
// be, counted, and reported with the request's history. It has no I/O, and reads no clock but the one it is given.
package invariant

import (
	"time"

	"stoatweir/dispatch"
)

// Reason is why an attempt was stopped or what rule was violated.
type Reason string

// Stops: what was decided rightly, and was no longer right when it was to be carried out.
const (
	WorkerUnavailable Reason = "worker unavailable" // it drains or is gone
	WorkerRestarted   Reason = "worker restarted"
	WorkerMoved       Reason = "worker moved" // to another zone or cell
	ClientGone        Reason = "client gone"  // it has left, or has its answer
	TimeoutPassed     Reason = "client timeout passed"
	WindowPassed      Reason = "window passed"
)

// Violations: what must not even have been asked for.
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

// answerSlack is how long after the client timeout an answer still counts, on sockets, and a scheduler may be held up before it writes.
const answerSlack = 200 * time.Millisecond

// reportsMost of one reason are reported with their histories; all are counted.
const reportsMost = 16

// Terms are what was promised of a request when it was taken.
type RequestLimits struct {
	ID          string // that its client gave it
	Effect      dispatch.Effect
	Scope       dispatch.DedupScope
	Window      time.Duration // in which workers drop repeats
	Deadline    time.Duration // its client timeout, by the loop's clock
	MaxAttempts int
	MaxInFlight int
}

// Target is a worker as an attempt needs it.
type Target struct {
	UID string // its uid
	dispatch.Endpoint
}

// Violation is reported once for each time that a rule would have been, or was, broken.
type Violation struct {
	Reason  Reason
	Request dispatch.InvocationID
	ID      string
	Worker  string
	History []Transition // of that request, oldest first
}

// Counts of what was stopped and violated, by reason, and of what happened to requests.
type Counts struct {
	Stopped    map[Reason]int `json:"Stopped"`
	Violations map[Reason]int `json:"Violations"`
	Retries    map[string]int `json:"Retries"` // further attempts, by how the one before had ended
}

// Guard is one scheduler's. A nil one watches over no answers and ends of connections.
type Checker struct {
	ClientWaiting func(dispatch.InvocationID) bool // asks at this very moment
	OnViolation   func(Violation)                  // nil: nobody wants to know
	Counts        Counts

	clock    func() time.Duration
	requests map[dispatch.InvocationID]*request
	history  history
}

type request struct {
	RequestLimits
	answered bool
	attempts []*attempt
}

type attempt struct {
	number     int
	worker     string
	zone, cell int
	sent       time.Duration
	out        bool
	ran        bool // it may have run
	ending     string
}

// New makes a guard that reads the time from clock.
func New(clock func() time.Duration) *Checker {
	return &Checker{clock: clock, requests: map[dispatch.InvocationID]*request{},
		Counts: Counts{Stopped: map[Reason]int{}, Violations: map[Reason]int{}, Retries: map[string]int{}}}
}

// Take opens a request that has been read.
func (g *Checker) RequestAdmitted(id dispatch.InvocationID, terms RequestLimits) {
	g.requests[id] = &request{RequestLimits: terms}
	g.history.add(Transition{At: g.clock(), Request: id, ID: terms.ID, Event: "taken"})
}

// Allow raises the limits of all open requests, as newer settings do: what was allowed when a request came stays so.
func (g *Checker) RaiseLimits(mostAttempts, mostOut int) {
	for _, r := range g.requests {
		r.MaxAttempts, r.MaxInFlight = max(r.MaxAttempts, mostAttempts), max(r.MaxInFlight, mostOut)
	}
}

// Open counts the requests that are not settled: without an answer, or with an attempt out.
func (g *Checker) OpenRequests() int { return len(g.requests) }

// History lists what is still known of a request, oldest first.
func (g *Checker) History(id dispatch.InvocationID) []Transition { return g.history.of(id) }

// HistoryByID lists what is still known of the last request to which its client gave that id.
func (g *Checker) HistoryByID(id string) []Transition {
	if request, known := g.history.last(id); known {
		return g.History(request)
	}
	return nil
}

func (g *Checker) note(id dispatch.InvocationID, event string) {
	g.history.add(Transition{At: g.clock(), Request: id, Event: event})
}

// violate counts a violation and reports it.
func (g *Checker) violate(why Reason, id dispatch.InvocationID, worker string) {
	g.Counts.Violations[why]++
	g.note(id, "VIOLATION: "+string(why))
	if g.OnViolation == nil || g.Counts.Violations[why] > reportsMost {
		return
	}
	v := Violation{Reason: why, Request: id, Worker: worker}
	if id != 0 {
		v.History = g.History(id)
	}
	if r := g.requests[id]; r != nil {
		v.ID = r.ID
	}
	g.OnViolation(v)
}

// settle forgets a request of which nothing is outstanding.
func (g *Checker) settle(id dispatch.InvocationID, r *request) {
	if !r.answered {
		return
	}
	for _, a := range r.attempts {
		if a.out {
			return
		}
	}
	delete(g.requests, id)
}
