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
	newsPath, readyPath, countsPath, historyPath = "/_jobs/news", "/-/ready", "/-/counts", "/-/history"

	// early is how long before its client stops waiting an invocation counts as given up: the request was on its way
	// before it was read here, and the answer has a way to go too.
	early = 5 * time.Millisecond
	// overdue is how long after that the door answers by itself, should the decisions not have.
	overdue = 25 * time.Millisecond
	// readIn is how long a connection has for a whole request, the first from its beginning: who connects and says
	// nothing, or sends a byte now and then, is owed an end within 3 s, and holds a descriptor until then.
	readIn      = 2500 * time.Millisecond
	acceptAgain = 50 * time.Millisecond
	// firstIn is how long a connection that has just come stays open at a stop: its first request is on the way, and its client
	// takes an end without a word for a refusal.
	firstIn = 200 * time.Millisecond
	// Who is turned away for a request that makes no sense and asks again on the same connection waits ever longer
	// for the next answer: thousands of such requests a second would take the core from all others.
	patienceFirst, patienceMost = 2 * time.Millisecond, 250 * time.Millisecond
	// idRests is how long an id stays taken after the last forward of it has ended: a DELETE or late news of the old
	// one would hit a new one of that name.
	idRests           = 2 * time.Second
	maxID, maxKey     = 64, 256 // before a tenant's handle
	maxTarget         = 2 << 10
	maxBudget, digits = 1e6, "0123456789" // of a budget: seconds, and what it is written in
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
	endedAnswered = "with its answer"
	endedIdle     = "idle"
	endedHanded   = "handed over"
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

	loop        *conn.Loop
	share       *conn.Quota
	site        settings.Deployment
	operations  map[string]int
	classes     []int // of the ledger, by operation
	tenants     map[string]int
	listener    net.Listener
	more        chan struct{} // lets the listener accept one more
	leave       bool          // it has been let
	hears       bool          // it may be
	closes      bool          // it is not to be any more
	passing     int           // connections on their way to another process
	waits       bool          // for a descriptor
	retry       *conn.Timer
	most        int // invocations in hand
	last        dispatch.InvocationID
	inHand      map[dispatch.InvocationID]*inHand
	ids         map[string]bool
	connections map[*connection]struct{}
}

type inHand struct {
	id         string
	class      int // in the ledger
	connection *connection
	came       time.Duration
	givenUp    time.Duration
	overdue    *conn.Timer
	seat       *tenants.Account // nil: nobody's
	ask        tenants.Request
}

// New makes a door that is shut and has no room yet.
func New(loop *conn.Loop, site settings.Deployment, share *conn.Quota, book *accounting.Ledger) *Server {
	d := &Server{loop: loop, share: share,
		inHand: map[dispatch.InvocationID]*inHand{}, ids: map[string]bool{}, connections: map[*connection]struct{}{},
		more: make(chan struct{}, 1), Ledger: book, ClosedConnections: map[string]int{}, Accept: net.Listener.Accept}
	d.Reconfigure(site)
	share.OnFree = func() {
		if d.waits {
			d.waits = false // before anything that may free another one: one leave at a time
			d.accept()
		}
	}
	return d
}

// Retune follows newer settings. What is in hand keeps the class under which it came.
func (d *Server) Reconfigure(site settings.Deployment) {
	d.site, d.operations, d.classes = site, site.OperationIndex, nil
	for at, name := range site.Operations {
		class := -1 // nobody comes under it any more
		if current, is := site.OperationIndex[name]; is && current == at {
			class = d.Ledger.Class(name)
		}
		d.classes = append(d.classes, class)
	}
	for _, name := range d.Ledger.Classes() {
		if _, stays := site.OperationIndex[name]; !stays && settings.IsTenantOperation(name) {
			d.Ledger.RemoveClass(name)
		}
	}
	d.tenants = map[string]int{}
	for i, name := range site.Tenants {
		d.tenants[name] = i
	}
}

type accepted struct {
	*Server
	net net.Conn
}

// Listen opens the door. The listener waits for leave before each connection, so that descriptors are never short.
func (d *Server) Listen(l net.Listener) {
	d.listener, d.hears = l, true
	go func() {
		for range d.more { // the goroutine ends with the process
			nc, err := d.Accept(l)
			if err != nil {
				nc = nil // a client that left while it waited, or the end: the loop says what follows
			}
			d.loop.Post(accepted{d, nc})
		}
	}()
	d.accept()
}

// Take takes a connection in.
func (a accepted) Run() {
	d := a.Server
	d.leave = false
	if a.net == nil {
		d.loop.After(time.Millisecond, d.accept) // not at once, as the error may last
		return
	}
	d.Counts.Connections++
	v := &connection{door: d, came: d.loop.Now()}
	d.connections[v] = struct{}{}
	v.c = d.share.Adopt(a.net, v)
	v.c.SetState(conn.StateNew) // its first request is on the way: older ones without a word go before it
	v.limitSilence()
	d.accept()
}

func (d *Server) accept() {
	d.retry.Stop()
	if d.waits = false; d.leave || d.listener == nil || d.closes || !d.Behavior().Accepts {
		return
	}
	if d.waits = !d.share.EnsureFree(0); !d.waits {
		d.leave = true
		d.more <- struct{}{}
		return
	}
	// Also where none becomes free: half requests grow old enough to go.
	d.retry = d.loop.After(acceptAgain, d.share.OnFree)
}

// IDs lists those that are taken.
func (d *Server) IDs() []string { return slices.Sorted(maps.Keys(d.ids)) }

// Resize says how many invocations may be in hand at once: fewer than the share of descriptors, so that there is always
// one to be had for news, and for whoever comes next.
func (d *Server) SetMaxInFlight(most int) { d.most = most }

// Owed tells whether a client still waits for the answer.
func (d *Server) AwaitsAnswer(inv dispatch.InvocationID) bool { return d.inHand[inv] != nil }

// Waits tells the same at the moment of a send. The kernel is asked too: the word that its client has gone may stand in line
// behind all else that the loop has to do. Who has gone is taken as such at once.
func (d *Server) ClientWaiting(inv dispatch.InvocationID) bool {
	j := d.inHand[inv]
	if j != nil && j.connection.c.PeerClosed() {
		j.connection.c.Close()
		j.connection.Disconnected(j.connection.c, conn.Closed)
	}
	return d.AwaitsAnswer(inv)
}

// InHand counts the invocations that are owed an answer.
func (d *Server) InFlight() int { return len(d.inHand) }

// Deliver is the answer with a worker's result.
func (d *Server) Deliver(inv dispatch.InvocationID, result string) {
	if j := d.inHand[inv]; j != nil {
		d.OnServed(d.loop.Now() - j.came)
		d.answer(inv, accounting.Succeeded, 200, []byte(result))
	}
}

// Throttle says that asking again is harmless.
func (d *Server) Throttle(inv dispatch.InvocationID, after time.Duration) {
	if d.inHand[inv] == nil {
		return
	}
	var fields []http1.Field
	if after > 0 {
		fields = []http1.Field{{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', -1, 64)}}
	}
	d.answer(inv, accounting.Declined, 503, nil, fields...)
}

// Fail promises nothing.
func (d *Server) Fail(inv dispatch.InvocationID) {
	if d.inHand[inv] != nil {
		d.answer(inv, accounting.Aborted, 500, nil)
	}
}

func (d *Server) answer(inv dispatch.InvocationID, how accounting.Disposition, status int, body []byte, fields ...http1.Field) {
	v := d.inHand[inv].connection
	if given := d.Invariants.CheckAnswer(inv, kinds[how], d.reason(inv)); given != kinds[how] {
		how, status, fields = accounting.Aborted, 500, nil // the only answer that promises nothing
	}
	d.forget(inv, how)
	v.inv = 0
	v.answer(status, body, fields...)
}

var kinds = map[accounting.Disposition]invariant.Kind{accounting.Succeeded: invariant.Succeeded, accounting.Declined: invariant.Refused,
	accounting.Aborted: invariant.Failed, accounting.Abandoned: invariant.Abandoned, accounting.Migrated: invariant.Migrated}

func (d *Server) reason(inv dispatch.InvocationID) string {
	if d.Reason == nil {
		return ""
	}
	return d.Reason(inv)
}

// forget is where every invocation ends, once.
func (d *Server) forget(inv dispatch.InvocationID, how accounting.Disposition) {
	j := d.inHand[inv]
	d.Ledger.Completed(j.class, how)
	if j.seat != nil {
		d.Admission.Completed(d.loop.Now(), j.seat, j.ask, d.loop.Now()-j.came, endings[how])
	}
	j.overdue.Stop()
	delete(d.inHand, inv)
}

var endings = map[accounting.Disposition]tenants.Disposition{accounting.Succeeded: tenants.Succeeded, accounting.Declined: tenants.Declined,
	accounting.Aborted: tenants.Aborted, accounting.Abandoned: tenants.Abandoned, accounting.Migrated: tenants.Migrated}

// Free lets an id go some time after the last forward of it has ended; unless it was never sent, news of it may come.
func (d *Server) ReleaseID(id string, sent bool) {
	free := func() {
		delete(d.ids, id)
		d.OnOwnership(id, false)
	}
	if !sent {
		free()
		return
	}
	d.loop.After(idRests, free)
}

// Follow closes what may not stay as things stand now. Until then connections stay open, as the clients on them may have
// nobody else to ask yet. A budget stays what the client said, also near the end: a shorter one would look like that of a
// client that has waited for long, and be refused at once.
func (d *Server) ApplyBehavior() {
	m := d.Behavior()
	d.closes = d.closes && m.ExitsWhenIdle
	d.listens(m.Accepts && !d.closes) // whoever waits in the queue is for the other process, which listens at the same socket
	d.accept()
	for v := range d.connections {
		switch {
		case v.inv != 0 || v.waits || v.parcel != nil || m.KeepsCallbacks && v.brings:
		case m.ClosesPartial && v.parser.Started() && !v.last:
			v.malformed(408)
		case m.ClosesIdle && v.idle() && !v.young():
			v.part()
		}
	}
}

func (d *Server) listens(hears bool) {
	deaf, can := d.listener.(interface{ SetDeadline(time.Time) error })
	if !can || d.hears == hears {
		return
	}
	if d.hears = hears; hears {
		deaf.SetDeadline(time.Time{})
	} else {
		deaf.SetDeadline(time.Unix(1, 0))
	}
}

// Close lets nobody in any more, and tells whether nobody is on the way in: a connection that the listener has accepted
// and the door has not met yet would end without a word.
func (d *Server) StopAccepting() bool {
	d.closes = true
	d.listens(false)
	return !d.leave || d.hears
}

// Rest lists the invocations that are owed an answer, oldest first.
func (d *Server) Unanswered() []dispatch.InvocationID { return slices.Sorted(maps.Keys(d.inHand)) }

// Busy tells whether requests are still on their way in, answers on their way out, or connections on their way to another
// process.
func (d *Server) Busy() bool {
	if d.passing > 0 {
		return true
	}
	for v := range d.connections {
		if v.c.Unsent() > 0 || v.parser.Started() || v.waits || v.parts || v.young() {
			return true
		}
	}
	return !d.share.AllFlushed()
}
