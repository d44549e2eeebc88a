// Package clients takes invocations in from their clients, and workers' news, which comes to the same address.
package clients

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/settings"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

const (
	callbackPath, readyPath, countsPath, historyPath = "/_jobs/news", "/-/ready", "/-/counts", "/-/history"

	// early is how long before its client stops waiting an invocation counts as given up: the request was on its way
	// before it was read here, and the answer has a way to go too.
	budgetMargin = 5 * time.Millisecond
	// overdue is how long after that the door answers by itself, should the decisions not have.
	overdueGrace = 25 * time.Millisecond
	// readIn is how long a connection has for a whole request, the first from its beginning: who connects and says
	// nothing, or sends a byte now and then, is owed an end within 3 s, and holds a descriptor until then.
	readTimeout         = 2500 * time.Millisecond
	acceptRetryInterval = 50 * time.Millisecond
	// firstIn is how long a connection that has just come stays open at a stop: its first request is on the way, and its client
	// takes an end without a word for a refusal.
	firstRequestGrace = 200 * time.Millisecond
	// Who is turned away for a request that makes no sense and asks again on the same connection waits ever longer
	// for the next answer: thousands of such requests a second would take the core from all others.
	rejectionDelayMin, rejectionDelayMax = 2 * time.Millisecond, 250 * time.Millisecond
	// idRests is how long an id stays taken after the last forward of it has ended: a DELETE or late news of the old
	// one would hit a new one of that name.
	idReleaseDelay                  = 2 * time.Second
	maxIDBytes, maxKeyBytes         = 64, 256 // before a tenant's handle
	maxTargetBytes                  = 2 << 10
	maxBudgetSeconds, decimalDigits = 1e6, "0123456789" // of a budget: seconds, and what it is written in
)

// Counts of what else happens at the door; invocations stand in the ledger.
type Counts struct {
	Connections int `json:"Connections"`
	Overdue     int `json:"Overdue"`
	Malformed   int `json:"Malformed"`
	Crowded     int `json:"Crowded"`
	Silent      int `json:"Silent"`
}

// Why connections end by our own doing; all others have the ending's name.
const (
	closedAnswered = "with its answer"
	closedIdle     = "idle"
	closedMigrated = "handed over"
)

// Door is where clients and workers' news come in.
type Server struct {
	OnEvent    func(dispatch.Event)
	OnRequest  func(j *workers.Invocation, operation int) // an invocation has come; the event follows
	OnCallback func(workers.Callback) bool                // of a worker; false: of nothing that is known here
	OnServed   func(time.Duration)                        // how long a client waited for its worker's result
	Behavior   func() lifecycle.Behavior
	Accept     func(net.Listener) (net.Conn, error) // lets the next connection in, as the listener does unless it is set
	Counters   func() []byte                        // the counters, for people
	History    func(id string) []byte               // what is known of a request
	// The other process that serves at our address, while there is one. Relay passes news on that is for nobody here, and
	// tells later whether it was heard there; false: there is nobody to ask. Foreign: an id is in hand there. Holds: one is
	// here.
	RelayCallback     func(n workers.Callback, body []byte, heard func(bool)) bool
	OwnedByPeer       func(id string) bool
	OnOwnership       func(id string, holds bool)
	Counts            Counts
	ClosedConnections map[string]int // connections, by why they ended
	LongestTimeout    time.Duration  // that a client has said it waits
	Ledger            *accounting.Ledger
	Admission         *tenants.Controller                // who may come in, where tenants are served; nil: all may
	Invariants        *invariant.Checker                 // each final answer and each end of a connection passes it; nil: none does
	Reason            func(dispatch.InvocationID) string // why the answer that is being given is given, for the history of the request; nil: not told

	loop             *conn.Loop
	quota            *conn.Quota
	deployment       settings.Deployment
	operations       map[string]int
	classes          []int // of the ledger, by operation
	tenantIndex      map[string]int
	listener         net.Listener
	acceptPermits    chan struct{} // lets the listener accept one more
	accepting        bool          // it has been let
	listening        bool          // it may be
	stopped          bool          // it is not to be any more
	migrating        int           // connections on their way to another process
	awaitsDescriptor bool          // for a descriptor
	acceptRetry      *conn.Timer
	maxInFlight      int // invocations in hand
	lastInvocation   dispatch.InvocationID
	inFlight         map[dispatch.InvocationID]*inFlightRequest
	ids              map[string]bool
	connections      map[*connection]struct{}
}

type inFlightRequest struct {
	id           string
	class        int // in the ledger
	connection   *connection
	admittedAt   time.Duration
	deadline     time.Duration
	overdueTimer *conn.Timer
	account      *tenants.Account // nil: nobody's
	admission    tenants.Request
}

// New makes a door that is shut and has no room yet.
func New(loop *conn.Loop, site settings.Deployment, share *conn.Quota, book *accounting.Ledger) *Server {
	d := &Server{loop: loop, quota: share,
		inFlight: map[dispatch.InvocationID]*inFlightRequest{}, ids: map[string]bool{}, connections: map[*connection]struct{}{},
		acceptPermits: make(chan struct{}, 1), Ledger: book, ClosedConnections: map[string]int{}, Accept: net.Listener.Accept}
	d.Reconfigure(site)
	share.OnFree = func() {
		if d.awaitsDescriptor {
			d.awaitsDescriptor = false // before anything that may free another one: one leave at a time
			d.acceptNext()
		}
	}
	return d
}

// Retune follows newer settings. What is in hand keeps the class under which it came.
func (s *Server) Reconfigure(site settings.Deployment) {
	s.deployment, s.operations, s.classes = site, site.OperationIndex, nil
	for at, name := range site.Operations {
		class := -1 // nobody comes under it any more
		if current, is := site.OperationIndex[name]; is && current == at {
			class = s.Ledger.Class(name)
		}
		s.classes = append(s.classes, class)
	}
	for _, name := range s.Ledger.Classes() {
		if _, stays := site.OperationIndex[name]; !stays && settings.IsTenantOperation(name) {
			s.Ledger.RemoveClass(name)
		}
	}
	s.tenantIndex = map[string]int{}
	for i, name := range site.Tenants {
		s.tenantIndex[name] = i
	}
}

type accepted struct {
	*Server
	net net.Conn
}

// Listen opens the door. The listener waits for leave before each connection, so that descriptors are never short.
func (s *Server) Listen(l net.Listener) {
	s.listener, s.listening = l, true
	go func() {
		for range s.acceptPermits { // the goroutine ends with the process
			nc, err := s.Accept(l)
			if err != nil {
				nc = nil // a client that left while it waited, or the end: the loop says what follows
			}
			s.loop.Post(accepted{s, nc})
		}
	}()
	s.acceptNext()
}

// Take takes a connection in.
func (a accepted) Run() {
	d := a.Server
	d.accepting = false
	if a.net == nil {
		d.loop.After(time.Millisecond, d.acceptNext) // not at once, as the error may last
		return
	}
	d.Counts.Connections++
	v := &connection{server: d, acceptedAt: d.loop.Now()}
	d.connections[v] = struct{}{}
	v.conn = d.quota.Adopt(a.net, v)
	v.conn.SetState(conn.StateNew) // its first request is on the way: older ones without a word go before it
	v.setFirstReadDeadline()
	d.acceptNext()
}

func (s *Server) acceptNext() {
	s.acceptRetry.Stop()
	if s.awaitsDescriptor = false; s.accepting || s.listener == nil || s.stopped || !s.Behavior().Accepts {
		return
	}
	if s.awaitsDescriptor = !s.quota.EnsureFree(0); !s.awaitsDescriptor {
		s.accepting = true
		s.acceptPermits <- struct{}{}
		return
	}
	// Also where none becomes free: half requests grow old enough to go.
	s.acceptRetry = s.loop.After(acceptRetryInterval, s.quota.OnFree)
}

// IDs lists those that are taken.
func (s *Server) IDs() []string { return slices.Sorted(maps.Keys(s.ids)) }

// Resize says how many invocations may be in hand at once: fewer than the share of descriptors, so that there is always
// one to be had for news, and for whoever comes next.
func (s *Server) SetMaxInFlight(most int) { s.maxInFlight = most }

// Owed tells whether a client still waits for the answer.
func (s *Server) AwaitsAnswer(inv dispatch.InvocationID) bool { return s.inFlight[inv] != nil }

// Waits tells the same at the moment of a send. The kernel is asked too: the word that its client has gone may stand in line
// behind all else that the loop has to do. Who has gone is taken as such at once.
func (s *Server) ClientWaiting(inv dispatch.InvocationID) bool {
	j := s.inFlight[inv]
	if j != nil && j.connection.conn.PeerClosed() {
		j.connection.conn.Close()
		j.connection.Disconnected(j.connection.conn, conn.Closed)
	}
	return s.AwaitsAnswer(inv)
}

// InHand counts the invocations that are owed an answer.
func (s *Server) InFlight() int { return len(s.inFlight) }

// Deliver is the answer with a worker's result.
func (s *Server) Deliver(inv dispatch.InvocationID, result string) {
	if j := s.inFlight[inv]; j != nil {
		s.OnServed(s.loop.Now() - j.admittedAt)
		s.answer(inv, accounting.Succeeded, 200, []byte(result))
	}
}

// Throttle says that asking again is harmless.
func (s *Server) Throttle(inv dispatch.InvocationID, after time.Duration) {
	if s.inFlight[inv] == nil {
		return
	}
	var fields []http1.Field
	if after > 0 {
		fields = []http1.Field{{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', -1, 64)}}
	}
	s.answer(inv, accounting.Declined, 503, nil, fields...)
}

// Fail promises nothing.
func (s *Server) Fail(inv dispatch.InvocationID) {
	if s.inFlight[inv] != nil {
		s.answer(inv, accounting.Aborted, 500, nil)
	}
}

func (s *Server) answer(inv dispatch.InvocationID, how accounting.Disposition, status int, body []byte, fields ...http1.Field) {
	v := s.inFlight[inv].connection
	if given := s.Invariants.CheckAnswer(inv, answerKinds[how], s.reason(inv)); given != answerKinds[how] {
		how, status, fields = accounting.Aborted, 500, nil // the only answer that promises nothing
	}
	s.complete(inv, how)
	v.invocation = 0
	v.answer(status, body, fields...)
}

var answerKinds = map[accounting.Disposition]invariant.Kind{accounting.Succeeded: invariant.Succeeded, accounting.Declined: invariant.Refused,
	accounting.Aborted: invariant.Failed, accounting.Abandoned: invariant.Abandoned, accounting.Migrated: invariant.Migrated}

func (s *Server) reason(inv dispatch.InvocationID) string {
	if s.Reason == nil {
		return ""
	}
	return s.Reason(inv)
}

// forget is where every invocation ends, once.
func (s *Server) complete(inv dispatch.InvocationID, how accounting.Disposition) {
	j := s.inFlight[inv]
	s.Ledger.Completed(j.class, how)
	if j.account != nil {
		s.Admission.Completed(s.loop.Now(), j.account, j.admission, s.loop.Now()-j.admittedAt, tenantDispositions[how])
	}
	j.overdueTimer.Stop()
	delete(s.inFlight, inv)
}

var tenantDispositions = map[accounting.Disposition]tenants.Disposition{accounting.Succeeded: tenants.Succeeded, accounting.Declined: tenants.Declined,
	accounting.Aborted: tenants.Aborted, accounting.Abandoned: tenants.Abandoned, accounting.Migrated: tenants.Migrated}

// Free lets an id go some time after the last forward of it has ended; unless it was never sent, news of it may come.
func (s *Server) ReleaseID(id string, sent bool) {
	free := func() {
		delete(s.ids, id)
		s.OnOwnership(id, false)
	}
	if !sent {
		free()
		return
	}
	s.loop.After(idReleaseDelay, free)
}

// Follow closes what may not stay as things stand now. Until then connections stay open, as the clients on them may have
// nobody else to ask yet. A budget stays what the client said, also near the end: a shorter one would look like that of a
// client that has waited for long, and be refused at once.
func (s *Server) ApplyBehavior() {
	m := s.Behavior()
	s.stopped = s.stopped && m.ExitsWhenIdle
	s.setListening(m.Accepts && !s.stopped) // whoever waits in the queue is for the other process, which listens at the same socket
	s.acceptNext()
	for v := range s.connections {
		switch {
		case v.invocation != 0 || v.answerDeferred || v.parcel != nil || m.KeepsCallbacks && v.carriesCallbacks:
		case m.ClosesPartial && v.parser.Started() && !v.closeAfterAnswer:
			v.rejectMalformed(408)
		case m.ClosesIdle && v.isIdle() && !v.awaitsFirstRequest():
			v.closeIdle()
		}
	}
}

func (s *Server) setListening(hears bool) {
	deaf, can := s.listener.(interface{ SetDeadline(time.Time) error })
	if !can || s.listening == hears {
		return
	}
	if s.listening = hears; hears {
		deaf.SetDeadline(time.Time{})
	} else {
		deaf.SetDeadline(time.Unix(1, 0))
	}
}

// Close lets nobody in any more, and tells whether nobody is on the way in: a connection that the listener has accepted
// and the door has not met yet would end without a word.
func (s *Server) StopAccepting() bool {
	s.stopped = true
	s.setListening(false)
	return !s.accepting || s.listening
}

// Rest lists the invocations that are owed an answer, oldest first.
func (s *Server) Unanswered() []dispatch.InvocationID { return slices.Sorted(maps.Keys(s.inFlight)) }

// Busy tells whether requests are still on their way in, answers on their way out, or connections on their way to another
// process.
func (s *Server) Busy() bool {
	if s.migrating > 0 {
		return true
	}
	for v := range s.connections {
		if v.conn.Unsent() > 0 || v.parser.Started() || v.answerDeferred || v.closing || v.awaitsFirstRequest() {
			return true
		}
	}
	return !s.quota.AllFlushed()
}
