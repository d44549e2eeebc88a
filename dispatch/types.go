package dispatch

import (
	"net/netip"
	"time"
)

// All times here are spans since the instance's start; work is in seconds on a standard core.

// InvID names an invocation at the door; inside the module it is a small index.
type InvID uint64

// WorkerID names a worker at the door. An address prints well in log lines; nothing is read from it.
type WorkerID = netip.AddrPort

// Effect is an operation's effect class: how far an invocation may be sent again once it may have run.
type Effect uint8

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Scope tells which workers drop a repeat of a deduplicated invocation.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Load is a worker's report on itself.
type Load struct {
	FreeSlots, FreeMemory, Waiting, InHand, Busy, ServiceTime, Rate, Errors float64
}

// NoLoad is a report without any value: no word of free slots, and memory is no limit.
var NoLoad = Load{FreeSlots: -1, FreeMemory: 1e9}

// Deployment is what an instance is told once, at its start.
type Deployment struct {
	Peers       int // schedulers in all, this one included
	Zone        int
	Operations  []Operation
	Tenants     []Tenant
	ExcessValue float64 // billed value of what a tenant sends beyond its share, as a part of the usual
	Pushed      bool    // list changes come unasked
	TellsStart  bool
	Progress    time.Duration // span between progress notes; 0: none are sent
	Allowed     Allowances
	Rules       Rules
	ProbePrice  float64 // points of the result for one probe an invocation
}

// Operation is one kind of invocation.
type Operation struct {
	BilledValue, LateValue float64
	LatencyObjective       time.Duration
	Stretch                float64 // the objective grows by this multiple of an invocation's own work
	Effect                 Effect
	Scope                  Scope
	DedupWindow            time.Duration
	Kind                   int // the one kind of worker that runs it, or -1
}

// Tenant is one customer's share of the service.
type Tenant struct {
	QuotaPerS, Share float64
}

// Allowances say what the deployment permits.
type Allowances struct {
	Probes, Cancel bool
	MaxForwards    int           // of one invocation
	MaxOut         int           // of these, out at once
	MaxRetryAfter  time.Duration // that a throttling reply may ask for; 0: none
}

// Rules are the figures of the four rules.
type Rules struct {
	AskWithin    time.Duration
	ColdFrom     float64
	WarmAfter    time.Duration
	FallMultiple float64
	Fall         time.Duration
}

// Event is something that has happened; Handle takes those of one moment in the order of arrival.
type Event interface {
	// About names the invocation and the worker that it is about; zero: none.
	About() (InvID, WorkerID)
}

func (e Arrival) About() (InvID, WorkerID)   { return e.Inv, WorkerID{} }
func (e Streaming) About() (InvID, WorkerID) { return e.Inv, WorkerID{} }
func (e Sign) About() (InvID, WorkerID)      { return e.Inv, e.Worker }
func (e Outcome) About() (InvID, WorkerID)   { return e.Inv, e.Worker }
func (e Withdrawn) About() (InvID, WorkerID) { return e.Inv, WorkerID{} }
func (e Answer) About() (InvID, WorkerID)    { return 0, e.Worker }
func (e Due) About() (InvID, WorkerID)       { return 0, WorkerID{} }
func (e Listing) About() (InvID, WorkerID)   { return 0, WorkerID{} }

// Arrival is a new invocation, which from now on is owed one final answer.
type Arrival struct {
	Inv               InvID
	Operation, Tenant int
	Budget            time.Duration // until the client gives this try up
	Hint              float64       // hinted cost; 0: none
	Slots, Memory     float64
}

// Streaming says that the answer of a streamed invocation has begun at the client.
type Streaming struct {
	Inv     InvID
	Forward int
}

// Sign is a note from a worker on a forward that is still out.
type Sign struct {
	Inv     InvID
	Worker  WorkerID
	Forward int
	Started bool    // else a progress note
	Done    float64 // part of the work done
}

// Result tells how a forward ended.
type Result uint8

const (
	Succeeded Result = iota
	Failed
	Full
	TimedOut
	Unreachable
	Broken
	Cancelled
	NotSent
)

// Outcome ends a forward. Closed: the client has its final answer.
type Outcome struct {
	Inv     InvID
	Worker  WorkerID
	Forward int
	Result  Result
	Closed  bool
	Load    *Load // nil: none came with it
}

// Withdrawn says that the client has left.
type Withdrawn struct{ Inv InvID }

// Answer is the end of a probe.
type Answer struct {
	Worker WorkerID
	Result Result
	Took   time.Duration
	Load   *Load
}

// Due is a wake-up that was asked for.
type Due struct{}

// Form tells how a list is to be read.
type Form uint8

const (
	ListFailed Form = iota
	ListDelta
	ListWhole
)

// Standing is what the list says of a worker.
type Standing uint8

const (
	Gone Standing = iota
	Ready
	Draining
)

// Listing is news from the list of workers, or that a call to it failed.
type Listing struct {
	Form    Form
	Entries []Entry
}

// Entry is one worker of a list. Restarted says that StartedAt is known; else it started long ago.
type Entry struct {
	Worker           WorkerID
	Zone, Kind, Cell int
	Standing         Standing
	Restarted        bool
	StartedAt        time.Duration
}

// Action is something that the caller is to do, in the order given.
type Action any

// Forward sends an invocation to a worker. Its forwards count from 0 in the order sent.
type Forward struct {
	Inv    InvID
	Worker WorkerID
}

// Throttled is a final answer: it has not run or may run again, so asking again is harmless.
type Throttled struct {
	Inv   InvID
	After time.Duration // 0: no advice
}

// Errored is a final answer that promises nothing.
type Errored struct{ Inv InvID }

// Cancel ends the wait for one forward.
type Cancel struct {
	Inv     InvID
	Forward int
}

// Probe asks a worker for its load.
type Probe struct{ Worker WorkerID }

// Wake asks for a Due event at or after a time.
type Wake struct{ At time.Duration }

// Follow subscribes to the list of workers.
type Follow struct{}

// Log is a line for the people on call.
type Log struct{ Text string }
