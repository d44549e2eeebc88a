package dispatch

import (
	"net/netip"
	"time"
)

// InvocationID names an invocation towards the caller. Inside the package an invocation goes by a small index.
type InvocationID uint64

// WorkerID names a worker towards the caller. An address prints well in log lines; nothing is read from it.
type WorkerID = netip.AddrPort

// Event is something that has happened; Handle takes those of one moment in the order of arrival.
type Event interface {
	// About names the invocation and the worker that the event is about; zero: none.
	About() (InvocationID, WorkerID)
}

// About names the invocation.
func (e Arrival) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// About names the invocation.
func (e ResponseStarted) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// About names the invocation and the worker.
func (e AttemptProgress) About() (InvocationID, WorkerID) { return e.Invocation, e.Worker }

// About names the invocation and the worker.
func (e Outcome) About() (InvocationID, WorkerID) { return e.Invocation, e.Worker }

// About names the invocation.
func (e ClientDisconnected) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// About names the worker.
func (e HealthCheckResult) About() (InvocationID, WorkerID) { return 0, e.Worker }

// About names neither.
func (e TimerFired) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// About names neither: an update may be about many workers.
func (e EndpointUpdate) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// About names neither.
func (e Reconfigured) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// Arrival is a new invocation, which from now on is owed one final answer.
type Arrival struct {
	Invocation InvocationID  `json:"Inv"`
	Operation  int           `json:"Operation"`
	Tenant     int           `json:"Tenant"`
	Budget     time.Duration `json:"Budget"` // until the client gives up on this request
	Hint       float64       `json:"Hint"`   // hinted cost in seconds on a standard core; 0: none
	Slots      float64       `json:"Slots"`  // of a worker, that it takes
}

// ResponseStarted says that the client has begun to receive a streamed response.
type ResponseStarted struct {
	Invocation InvocationID
	Attempt    int
}

// AttemptProgress is a worker's report on an attempt that is still in flight.
type AttemptProgress struct {
	Invocation InvocationID
	Worker     WorkerID
	Attempt    int
	Accepted   bool    // the worker has it, and may not have looked at it yet
	Started    bool    // it runs; neither: it goes on running
	Done       float64 // part of the work done, 0 to 1
}

// Result tells how an attempt or a health check ended.
type Result uint8

// The results. What proves that nothing has run is Rejected, Unreachable or NotSent; all else may have run.
const (
	// Succeeded: the worker's result is there.
	Succeeded Result = iota
	// Failed: the worker failed on it.
	Failed
	// Rejected: the worker had no capacity for it.
	Rejected
	// TimedOut: nothing came until the client timeout.
	TimedOut
	// Unreachable: no connection came up, or it broke before the request had been written.
	Unreachable
	// ConnectionBroken: the connection broke under the request.
	ConnectionBroken
	// Cancelled: the attempt was given up here.
	Cancelled
	// NotSent: it could no longer be sent when its turn came.
	NotSent
	// BadRequest: the worker would not have it, whatever its load.
	BadRequest
	// ReusedConnectionBroken: an idle connection broke at its next use, as they do; which says nothing of the worker.
	ReusedConnectionBroken
)

// provesNotRun reports whether a result proves that nothing of the attempt has run.
func (r Result) provesNotRun() bool {
	return r == Rejected || r == Unreachable || r == NotSent
}

// Outcome ends an attempt.
type Outcome struct {
	Invocation InvocationID
	Worker     WorkerID
	Attempt    int
	Result     Result
	Answered   bool        // the client has its final answer
	Load       *LoadReport // nil: none came with it
}

// ClientDisconnected says that the client has left: no answer is owed any more.
type ClientDisconnected struct{ Invocation InvocationID }

// HealthCheckResult ends a health check.
type HealthCheckResult struct {
	Worker  WorkerID
	Result  Result
	Latency time.Duration
	Load    *LoadReport // nil: none came with it
}

// LoadReport is a worker's report on itself.
type LoadReport struct {
	FreeSlots   float64 `json:"FreeSlots"`   // below 0: not configured
	Queued      float64 `json:"Waiting"`     // invocations that wait there
	InFlight    float64 `json:"InHand"`      // invocations that it has
	Busy        float64 `json:"Busy"`        // share of its time, 0 to 1
	ServiceTime float64 `json:"ServiceTime"` // seconds that an invocation takes
	ErrorRate   float64 `json:"Errors"`      // a second
}

// UnknownLoad is a report without any value: free slots unknown.
var UnknownLoad = LoadReport{FreeSlots: -1}

// TimerFired answers a SetTimer.
type TimerFired struct{}

// UpdateKind tells how an endpoint update is to be read.
type UpdateKind uint8

// The kinds of updates.
const (
	// WatchFailed: the call for the list has failed, or the watch has ended.
	WatchFailed UpdateKind = iota
	// DeltaUpdate names the endpoints that have changed.
	DeltaUpdate
	// FullUpdate names all endpoints: a worker that it leaves out is gone.
	FullUpdate
)

// EndpointUpdate is a change of the endpoint list, or the failure to get one.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// EndpointState is what the endpoint list says of a worker.
type EndpointState uint8

// The states of an endpoint.
const (
	// Gone workers must get nothing any more, and what they had is lost.
	Gone EndpointState = iota
	// Ready workers may get invocations.
	Ready
	// Draining workers must get nothing new, and finish what they have.
	Draining
)

// Endpoint is one worker of an update.
type Endpoint struct {
	Worker      WorkerID
	Zone        int
	Kind        int
	Cell        int
	State       EndpointState
	StartKnown  bool          // StartedAt is known; else the worker started long ago
	StartedAt   time.Duration // by this instance's clock; below 0: before it started
	Incarnation uint64        // names this start of this worker, the same at every scheduler
}

// Reconfigured brings a newer configuration. An operation stays at its index for as long as invocations of it are
// under way.
type Reconfigured struct {
	Config
	// PreviousOperations names, for each operation, the earlier one whose measurements it goes on with: itself where
	// it has not changed, below 0 for none.
	PreviousOperations []int
}
