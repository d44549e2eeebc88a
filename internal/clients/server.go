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

// noClass is the accounting class of an operation that is no longer configured. No invocation is
// admitted under it.
const noClass = -1

// Counts holds server counters that the accounting ledger does not cover.
type Counts struct {
	Connections  int `json:"Connections"` // connections accepted
	Overdue      int `json:"Overdue"`     // invocations that the server itself failed after their deadline
	Malformed    int `json:"Malformed"`   // requests rejected because of their form, path, identifier or credentials
	Shed         int `json:"Crowded"`     // invocations shed because capacity was exhausted or the process admitted none
	ReadTimeouts int `json:"Silent"`      // connections closed because no request arrived on them in time
}

// Server accepts connections from clients and workers and answers the requests on them. Its
// exported function fields are called on the event loop unless stated otherwise, and are set before
// Listen.
type Server struct {
	// OnEvent receives the events for the decision module (package dispatch): arrivals of
	// invocations and disconnects of their clients.
	OnEvent func(dispatch.Event)
	// OnRequest is called for each admitted invocation, before OnEvent receives its arrival.
	// operation is an index into the configured operations.
	OnRequest func(invocation *workers.Invocation, operation int)
	// OnCallback handles a worker's callback. It returns false if the callback refers to no attempt
	// known to this process.
	OnCallback func(workers.Callback) bool
	// OnResultDelivered receives, for each invocation answered with a worker's result, the time
	// since its admission.
	OnResultDelivered func(time.Duration)
	// Behavior returns what the process lifecycle currently permits.
	Behavior func() lifecycle.Behavior
	// Accept returns the listener's next connection. It is called on the accept goroutine, not on
	// the event loop. The default is net.Listener.Accept.
	Accept func(net.Listener) (net.Conn, error)
	// CountersPage returns the JSON body of the counters page.
	CountersPage func() []byte
	// HistoryPage returns the text of the history page for a request identifier. If it is nil, the page
	// is not served.
	HistoryPage func(id string) []byte

	// RelayCallback relays a callback that is unknown here to the other process that serves the
	// same address, and calls done once with whether that process handled it. If there is no such
	// process, it returns false and does not call done.
	RelayCallback func(callback workers.Callback, body []byte, done func(handled bool)) bool
	// IDInUseAtPeer reports whether an identifier is in use at the other process that serves the same
	// address.
	IDInUseAtPeer func(id string) bool
	// OnIDUseChanged is called when an identifier starts or stops being in use in this process.
	OnIDUseChanged func(id string, inUse bool)

	// Counts holds the server's counters.
	Counts Counts
	// ClosedConnections counts the closed connections by close reason.
	ClosedConnections map[string]int
	// LongestTimeout is the longest client timeout of any invocation admitted so far, as limited by
	// the configured timeout of its operation.
	LongestTimeout time.Duration
	// Ledger accounts for every invocation from its admission to its disposition.
	Ledger *accounting.Ledger
	// Admission authenticates tenants and enforces their limits. If it is nil, requests need no
	// credentials.
	Admission *tenants.Controller
	// Invariants checks each final answer and each close of a connection. If it is nil, nothing is
	// checked.
	Invariants *invariant.Checker
	// Reason returns the reason for the answer that is being written, which goes into the history
	// of the request. If it is nil, no reason is recorded.
	Reason func(dispatch.InvocationID) string

	loop             *conn.Loop
	quota            *conn.Quota // of file descriptors
	deployment       settings.Deployment
	classByOperation []int // accounting class by operation index; noClass if the operation is no longer configured
	// tenantIndex maps tenant names to indices, for requests that name their tenant without
	// credentials.
	tenantIndex map[string]int

	// State of the listener and its accept goroutine; see listener.go.
	listener         net.Listener // nil until Listen
	listening        bool         // false while a deadline in the past keeps the accept goroutine from accepting
	acceptPermits    chan struct{}
	accepting        bool        // a permit has been granted and not used up; there is at most one
	awaitsDescriptor bool        // the next permit is granted once a descriptor is free; implies !accepting
	acceptRetry      *conn.Timer // retries to free a descriptor while awaitsDescriptor
	stopped          bool        // StopAccepting was called and the process still exits when idle

	maxInFlight    int // limit on len(inFlight)
	lastInvocation dispatch.InvocationID
	inFlight       map[dispatch.InvocationID]*inFlightRequest
	idsInUse       map[string]bool // identifiers in use: of invocations in flight, and of completed ones until their release
	connections    map[*connection]struct{}
	migrating      int // number of connections in state migrationInTransit
}

// New returns a server that does not listen yet and sheds every invocation until SetMaxInFlight is
// called.
func New(loop *conn.Loop, deployment settings.Deployment, quota *conn.Quota, ledger *accounting.Ledger) *Server {
	s := &Server{
		Accept:            net.Listener.Accept,
		ClosedConnections: map[string]int{},
		Ledger:            ledger,
		loop:              loop,
		quota:             quota,
		acceptPermits:     make(chan struct{}, 1),
		inFlight:          map[dispatch.InvocationID]*inFlightRequest{},
		idsInUse:          map[string]bool{},
		connections:       map[*connection]struct{}{},
	}
	s.Reconfigure(deployment)
	quota.OnFree = s.descriptorFreed
	return s
}

// Reconfigure applies new deployment settings. Invocations in flight keep the accounting class
// under which they were admitted.
func (s *Server) Reconfigure(deployment settings.Deployment) {
	s.deployment = deployment
	s.classByOperation = nil
	for index, name := range deployment.Operations {
		class := noClass
		if current, known := deployment.OperationIndex[name]; known && current == index {
			class = s.Ledger.Class(name)
		}
		s.classByOperation = append(s.classByOperation, class)
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

// SetMaxInFlight sets the maximum number of invocations in flight. It should be less than the
// descriptor quota, so that a descriptor is always left for callbacks and for the next connection.
func (s *Server) SetMaxInFlight(limit int) { s.maxInFlight = limit }
