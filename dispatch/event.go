package dispatch

import (
	"net/netip"
	"time"
)

// InvocationID identifies an invocation to the caller. The package itself uses a small index.
type InvocationID uint64

// WorkerID identifies a worker to the caller. It is an address because that reads well in log lines;
// the package does not interpret it.
type WorkerID = netip.AddrPort

// Event reports something that has happened. Handle takes the events of one moment in the order in
// which they occurred.
type Event interface {
	// About returns the invocation and the worker that the event concerns, or zero values for none.
	About() (InvocationID, WorkerID)
}

// About returns the invocation.
func (e Arrival) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// About returns the invocation.
func (e ResponseStarted) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// About returns the invocation and the worker.
func (e AttemptProgress) About() (InvocationID, WorkerID) { return e.Invocation, e.Worker }

// About returns the invocation and the worker.
func (e Outcome) About() (InvocationID, WorkerID) { return e.Invocation, e.Worker }

// About returns the invocation.
func (e ClientDisconnected) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }

// About returns the worker.
func (e HealthCheckResult) About() (InvocationID, WorkerID) { return 0, e.Worker }

// About returns zero values.
func (e TimerFired) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// About returns zero values, as an update may concern many workers.
func (e EndpointUpdate) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// About returns zero values.
func (e Reconfigured) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// Arrival is a new invocation. From now on it must get exactly one final answer.
type Arrival struct {
	Invocation InvocationID  `json:"Inv"`
	Operation  int           `json:"Operation"`
	Tenant     int           `json:"Tenant"`
	Budget     time.Duration `json:"Budget"` // time until the client gives up on this request
	Hint       float64       `json:"Hint"`   // estimated cost in seconds on a standard core; 0: no estimate
	Slots      float64       `json:"Slots"`  // slots of a worker that it occupies
}

// ResponseStarted reports that the client has begun to receive a streamed response.
type ResponseStarted struct {
	Invocation InvocationID
	Attempt    int
}

// AttemptProgress is a worker's report on an attempt that is still in flight.
type AttemptProgress struct {
	Invocation InvocationID
	Worker     WorkerID
	Attempt    int
	Accepted   bool    // the worker has received it, but may not have read it yet
	Started    bool    // the attempt has started; if no flag is set, it is still running
	Done       float64 // fraction of the work done, 0 to 1
	// MayBeReturned: the worker has returned this attempt unstarted, or has repeated that it returned
	// an earlier attempt of the invocation; which of the two is unknown.
	MayBeReturned bool
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results. Rejected, Unreachable and NotSent prove that nothing has run; with every other result
// the attempt may have run.
const (
	// Succeeded: the worker returned a result.
	Succeeded Result = iota
	// Failed: the worker reported that running it failed.
	Failed
	// Rejected: the worker had no capacity for it.
	Rejected
	// TimedOut: no answer came before the client timeout.
	TimedOut
	// Unreachable: no connection could be established, or it broke before the request was written.
	Unreachable
	// ConnectionBroken: the connection broke after the request was written.
	ConnectionBroken
	// Cancelled: this scheduler gave up the attempt.
	Cancelled
	// NotSent: when the attempt could have been sent, sending it was no longer allowed.
	NotSent
	// BadRequest: the worker refused the request itself, whatever the worker's load was.
	BadRequest
	// ReusedConnectionBroken: an idle connection broke when it was used again. This is normal and
	// says nothing about the worker.
	ReusedConnectionBroken
)

// provesNotRun reports whether a result proves that nothing of the attempt has run.
func (r Result) provesNotRun() bool {
	return r == Rejected || r == Unreachable || r == NotSent
}

// Outcome reports the end of an attempt.
type Outcome struct {
	Invocation InvocationID
	Worker     WorkerID
	Attempt    int
	Result     Result
	Answered   bool        // the client has received its final answer
	Load       *LoadReport // nil: the outcome carried no load report
}

// ClientDisconnected reports that the client has disconnected, so no answer is owed any more.
type ClientDisconnected struct{ Invocation InvocationID }

// HealthCheckResult reports the end of a health check.
type HealthCheckResult struct {
	Worker  WorkerID
	Result  Result
	Latency time.Duration
	Load    *LoadReport // nil: the result carried no load report
}

// LoadReport is a worker's report of its own load.
type LoadReport struct {
	FreeSlots   float64 `json:"FreeSlots"`   // negative: unknown
	Queued      float64 `json:"Waiting"`     // invocations queued at the worker
	InFlight    float64 `json:"InHand"`      // invocations at the worker
	Busy        float64 `json:"Busy"`        // fraction of time that the worker is busy, 0 to 1
	ServiceTime float64 `json:"ServiceTime"` // seconds per invocation
	ErrorRate   float64 `json:"Errors"`      // errors per second
}

// UnknownLoad is a load report without any values: the number of free slots is unknown.
var UnknownLoad = LoadReport{FreeSlots: -1}

// TimerFired reports that the timer set by SetTimer has fired.
type TimerFired struct{}

// UpdateKind distinguishes full updates, delta updates and failures of the endpoint watch.
type UpdateKind uint8

// The kinds of updates.
const (
	// WatchFailed: the request for the list failed, or the watch ended.
	WatchFailed UpdateKind = iota
	// DeltaUpdate lists the endpoints that have changed.
	DeltaUpdate
	// FullUpdate lists all endpoints: a worker that is missing from it is gone.
	FullUpdate
)

// EndpointUpdate is a change of the endpoint list, or a failure to get the list.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// EndpointState is the state of a worker in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	// Gone workers must not be sent anything, and their attempts are lost.
	Gone EndpointState = iota
	// Ready workers may be sent invocations.
	Ready
	// Draining workers must not be sent anything new, and finish the attempts that they have.
	Draining
)

// Endpoint is a worker's entry in an endpoint update.
type Endpoint struct {
	Worker      WorkerID
	Zone        int
	Kind        int
	Cell        int
	State       EndpointState
	StartKnown  bool          // StartedAt is known; otherwise the worker counts as having started long ago
	StartedAt   time.Duration // on this instance's clock; negative: before the instance started
	Incarnation uint64        // identifies this start of the worker, identically at every scheduler
}

// Reconfigured brings a newer configuration. An operation must keep its index while invocations of
// it are in progress.
type Reconfigured struct {
	Config
	// PreviousOperations holds, for each operation, the index of the earlier operation whose
	// measurements it continues: its own index if it is unchanged, a negative number for none.
	PreviousOperations []int
}
