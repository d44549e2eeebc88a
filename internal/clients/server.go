package clients

import (
	"net"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/invariant"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/settings"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

// noClass is the accounting class of an operation that is configured no longer: nothing is admitted
// under it.
const noClass = -1

// Counts holds counters of the server that the accounting of invocations does not cover.
type Counts struct {
	Connections  int `json:"Connections"` // accepted
	Overdue      int `json:"Overdue"`     // invocations that the server itself failed after their deadline
	Malformed    int `json:"Malformed"`   // requests rejected by their form, path or credentials
	Shed         int `json:"Crowded"`     // invocations shed for want of capacity, or because the process admits none
	ReadTimeouts int `json:"Silent"`      // connections closed because no request arrived on them in time
}

// Server accepts connections from clients and workers, and answers each request on them. Its
// exported function fields are called on the event loop unless they say otherwise, and are set
// before Listen.
type Server struct {
	// OnEvent receives the events for the decision module: arrivals of invocations and disconnects
	// of their clients.
	OnEvent func(dispatch.Event)
	// OnRequest is called for each admitted invocation, before OnEvent gets its arrival. The
	// operation is an index.
	OnRequest func(invocation *workers.Invocation, operation int)
	// OnCallback handles a worker's callback; false if it is about no attempt that is known here.
	OnCallback func(workers.Callback) bool
	// OnServed observes how long a client waited for its worker's result.
	OnServed func(time.Duration)
	// Behavior returns what the lifecycle of the process permits at present.
	Behavior func() lifecycle.Behavior
	// Accept returns the listener's next connection. It is called from a goroutine of its own; the
	// default is net.Listener.Accept.
	Accept func(net.Listener) (net.Conn, error)
	// Counters returns the JSON body of the counters page.
	Counters func() []byte
	// History returns the text of the history page for a request's identifier; nil: there is no
	// such page.
	History func(id string) []byte

	// RelayCallback passes a callback that is unknown here on to the other process that serves the
	// same address, and calls done once with whether it was handled there. It returns false, and
	// does not call done, if there is no such process.
	RelayCallback func(callback workers.Callback, body []byte, done func(handled bool)) bool
	// OwnedByPeer reports whether an identifier is in use at the other process that serves the same
	// address.
	OwnedByPeer func(id string) bool
	// OnOwnership is called when an identifier begins or ceases to be in use here.
	OnOwnership func(id string, inUse bool)

	// Counts holds the server's counters.
	Counts Counts
	// ClosedConnections counts closed connections by reason.
	ClosedConnections map[string]int
	// LongestTimeout is the longest timeout that a client has requested so far.
	LongestTimeout time.Duration
	// Ledger accounts for every invocation, from its admission to its disposition.
	Ledger *accounting.Ledger
	// Admission authenticates tenants and enforces their limits; nil: requests need no credentials.
	Admission *tenants.Controller
	// Invariants checks each final answer and each close of a connection; nil: nothing is checked.
	Invariants *invariant.Checker
	// Reason returns why the answer that is being written is given, for the history of the request;
	// nil: none is recorded.
	Reason func(dispatch.InvocationID) string

	loop       *conn.Loop
	quota      *conn.Quota // of descriptors
	deployment settings.Deployment
	classes    []int // accounting class by operation index, or noClass
	// tenantIndex holds the indices of tenants by name, for requests that name their tenant without
	// credentials.
	tenantIndex map[string]int

	// The listener and its accept goroutine; see listener.go.
	listener         net.Listener // nil until Listen
	listening        bool         // the accept goroutine is not held off by a deadline in the past
	acceptPermits    chan struct{}
	accepting        bool // a permit is outstanding; at most one is
	awaitsDescriptor bool // the next permit waits for a free descriptor; implies !accepting
	acceptRetry      *conn.Timer
	stopped          bool // StopAccepting was called and the process still exits when idle

	maxInFlight    int // invocations in flight at once
	lastInvocation dispatch.InvocationID
	inFlight       map[dispatch.InvocationID]*inFlightRequest
	ids            map[string]bool // in use: of invocations in flight, and until their release
	connections    map[*connection]struct{}
	migrating      int // connections in state migrationInTransit
}

// New returns a server that does not listen yet, and that sheds every invocation until
// SetMaxInFlight.
func New(loop *conn.Loop, deployment settings.Deployment, quota *conn.Quota, ledger *accounting.Ledger) *Server {
	s := &Server{
		Accept:            net.Listener.Accept,
		ClosedConnections: map[string]int{},
		Ledger:            ledger,
		loop:              loop,
		quota:             quota,
		acceptPermits:     make(chan struct{}, 1),
		inFlight:          map[dispatch.InvocationID]*inFlightRequest{},
		ids:               map[string]bool{},
		connections:       map[*connection]struct{}{},
	}
	s.Reconfigure(deployment)
	quota.OnFree = s.descriptorFreed
	return s
}

// Reconfigure applies new settings. Invocations in flight keep the accounting class under which
// they were admitted.
func (s *Server) Reconfigure(deployment settings.Deployment) {
	s.deployment = deployment
	s.classes = nil
	for index, name := range deployment.Operations {
		class := noClass
		if current, known := deployment.OperationIndex[name]; known && current == index {
			class = s.Ledger.Class(name)
		}
		s.classes = append(s.classes, class)
	}
	for _, name := range s.Ledger.Classes() {
		_, known := deployment.OperationIndex[name]
		if !known && settings.IsTenantOperation(name) {
			s.Ledger.RemoveClass(name)
		}
	}
	s.tenantIndex = map[string]int{}
	for index, name := range deployment.Tenants {
		s.tenantIndex[name] = index
	}
}

// SetMaxInFlight sets how many invocations may be in flight at once. It should be less than the
// quota of descriptors, so that one is always left for callbacks, and for the next connection.
func (s *Server) SetMaxInFlight(most int) { s.maxInFlight = most }
