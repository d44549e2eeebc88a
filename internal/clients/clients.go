// Package clients takes invocations in from their clients, and workers' news, which comes to the same address.
package clients

import (
	"encoding/json"
	"maps"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/guard"
	"stoatweir/internal/http1"
	"stoatweir/internal/ledger"
	"stoatweir/internal/life"
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
	Connections, Overdue, Malformed, Crowded, Silent int
}

// Why connections end by our own doing; all others have the ending's name.
const (
	endedAnswered = "with its answer"
	endedIdle     = "idle"
	endedHanded   = "handed over"
)

// Door is where clients and workers' news come in.
type Door struct {
	Event   func(dispatch.Event)
	Took    func(j *workers.Invocation, operation int) // an invocation has come; the event follows
	News    func(workers.News) bool                    // of a worker; false: of nothing that is known here
	Served  func(time.Duration)                        // how long a client waited for its worker's result
	Manner  func() life.Manner
	Accept  func(net.Listener) (net.Conn, error) // lets the next connection in, as the listener does unless it is set
	Report  func() []byte                        // the counters, for people
	History func(id string) []byte               // what is known of a request
	// The other process that serves at our address, while there is one. Relay passes news on that is for nobody here, and
	// tells later whether it was heard there; false: there is nobody to ask. Foreign: an id is in hand there. Holds: one is
	// here.
	Relay   func(n workers.News, body []byte, heard func(bool)) bool
	Foreign func(id string) bool
	Holds   func(id string, holds bool)
	Counts  Counts
	Ended   map[string]int // connections, by why they ended
	Longest time.Duration  // that a client has said it waits
	Ledger  *ledger.Ledger
	Gate    *tenants.Gate               // who may come in, where tenants are served; nil: all may
	Guard   *guard.Guard                // each final answer and each end of a connection passes it; nil: none does
	Reason  func(dispatch.InvID) string // why the answer that is being given is given, for the history of the request; nil: not told

	loop       *conn.Loop
	share      *conn.Share
	site       settings.Site
	operations map[string]int
	classes    []int // of the ledger, by operation
	tenants    map[string]int
	listener   net.Listener
	more       chan struct{} // lets the listener accept one more
	leave      bool          // it has been let
	hears      bool          // it may be
	closes     bool          // it is not to be any more
	passing    int           // connections on their way to another process
	waits      bool          // for a descriptor
	retry      *conn.Alarm
	most       int // invocations in hand
	last       dispatch.InvID
	inHand     map[dispatch.InvID]*inHand
	ids        map[string]bool
	visits     map[*visit]struct{}
}

type inHand struct {
	id      string
	class   int // in the ledger
	visit   *visit
	came    time.Duration
	givenUp time.Duration
	overdue *conn.Alarm
	seat    *tenants.Seat // nil: nobody's
	ask     tenants.Ask
}

// New makes a door that is shut and has no room yet.
func New(loop *conn.Loop, site settings.Site, share *conn.Share, book *ledger.Ledger) *Door {
	d := &Door{loop: loop, share: share,
		inHand: map[dispatch.InvID]*inHand{}, ids: map[string]bool{}, visits: map[*visit]struct{}{},
		more: make(chan struct{}, 1), Ledger: book, Ended: map[string]int{}, Accept: net.Listener.Accept}
	d.Retune(site)
	share.Freed = func() {
		if d.waits {
			d.waits = false // before anything that may free another one: one leave at a time
			d.accept()
		}
	}
	return d
}

// Retune follows newer settings. What is in hand keeps the class under which it came.
func (d *Door) Retune(site settings.Site) {
	d.site, d.operations, d.classes = site, site.Current, nil
	for at, name := range site.Operations {
		class := -1 // nobody comes under it any more
		if current, is := site.Current[name]; is && current == at {
			class = d.Ledger.Class(name)
		}
		d.classes = append(d.classes, class)
	}
	for _, name := range d.Ledger.Classes() {
		if _, stays := site.Current[name]; !stays && settings.Hosted(name) {
			d.Ledger.Forget(name)
		}
	}
	d.tenants = map[string]int{}
	for i, name := range site.Tenants {
		d.tenants[name] = i
	}
}

type accepted struct {
	*Door
	net net.Conn
}

// Listen opens the door. The listener waits for leave before each connection, so that descriptors are never short.
func (d *Door) Listen(l net.Listener) {
	d.listener, d.hears = l, true
	go func() {
		for range d.more { // the goroutine ends with the process
			nc, err := d.Accept(l)
			if err != nil {
				nc = nil // a client that left while it waited, or the end: the loop says what follows
			}
			d.loop.Put(accepted{d, nc})
		}
	}()
	d.accept()
}

// Take takes a connection in.
func (a accepted) Take() {
	d := a.Door
	d.leave = false
	if a.net == nil {
		d.loop.After(time.Millisecond, d.accept) // not at once, as the error may last
		return
	}
	d.Counts.Connections++
	v := &visit{door: d, came: d.loop.Now()}
	d.visits[v] = struct{}{}
	v.c = d.share.Adopt(a.net, v)
	v.c.Set(conn.Mute) // its first request is on the way: older ones without a word go before it
	v.limitSilence()
	d.accept()
}

func (d *Door) accept() {
	d.retry.Stop()
	if d.waits = false; d.leave || d.listener == nil || d.closes || !d.Manner().Hears {
		return
	}
	if d.waits = !d.share.Spare(0); !d.waits {
		d.leave = true
		d.more <- struct{}{}
		return
	}
	// Also where none becomes free: half requests grow old enough to go.
	d.retry = d.loop.After(acceptAgain, d.share.Freed)
}

// IDs lists those that are taken.
func (d *Door) IDs() []string { return slices.Sorted(maps.Keys(d.ids)) }

// Resize says how many invocations may be in hand at once: fewer than the share of descriptors, so that there is always
// one to be had for news, and for whoever comes next.
func (d *Door) Resize(most int) { d.most = most }

// Owed tells whether a client still waits for the answer.
func (d *Door) Owed(inv dispatch.InvID) bool { return d.inHand[inv] != nil }

// Waits tells the same at the moment of a send. The kernel is asked too: the word that its client has gone may stand in line
// behind all else that the loop has to do. Who has gone is taken as such at once.
func (d *Door) Waits(inv dispatch.InvID) bool {
	j := d.inHand[inv]
	if j != nil && j.visit.c.Left() {
		j.visit.c.Close()
		j.visit.Down(j.visit.c, conn.Closed)
	}
	return d.Owed(inv)
}

// InHand counts the invocations that are owed an answer.
func (d *Door) InHand() int { return len(d.inHand) }

// Deliver is the answer with a worker's result.
func (d *Door) Deliver(inv dispatch.InvID, result string) {
	if j := d.inHand[inv]; j != nil {
		d.Served(d.loop.Now() - j.came)
		d.answer(inv, ledger.Succeeded, 200, []byte(result))
	}
}

// Throttle says that asking again is harmless.
func (d *Door) Throttle(inv dispatch.InvID, after time.Duration) {
	if d.inHand[inv] == nil {
		return
	}
	var fields []http1.Field
	if after > 0 {
		fields = []http1.Field{{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', -1, 64)}}
	}
	d.answer(inv, ledger.Declined, 503, nil, fields...)
}

// Fail promises nothing.
func (d *Door) Fail(inv dispatch.InvID) {
	if d.inHand[inv] != nil {
		d.answer(inv, ledger.Aborted, 500, nil)
	}
}

func (d *Door) answer(inv dispatch.InvID, how ledger.Disposition, status int, body []byte, fields ...http1.Field) {
	v := d.inHand[inv].visit
	if given := d.Guard.Answer(inv, kinds[how], d.reason(inv)); given != kinds[how] {
		how, status, fields = ledger.Aborted, 500, nil // the only answer that promises nothing
	}
	d.forget(inv, how)
	v.inv = 0
	v.answer(status, body, fields...)
}

var kinds = map[ledger.Disposition]guard.Kind{ledger.Succeeded: guard.Succeeded, ledger.Declined: guard.Refused,
	ledger.Aborted: guard.Failed, ledger.Abandoned: guard.Abandoned, ledger.Handed: guard.Handed}

func (d *Door) reason(inv dispatch.InvID) string {
	if d.Reason == nil {
		return ""
	}
	return d.Reason(inv)
}

// forget is where every invocation ends, once.
func (d *Door) forget(inv dispatch.InvID, how ledger.Disposition) {
	j := d.inHand[inv]
	d.Ledger.End(j.class, how)
	if j.seat != nil {
		d.Gate.Ended(d.loop.Now(), j.seat, j.ask, d.loop.Now()-j.came, endings[how])
	}
	j.overdue.Stop()
	delete(d.inHand, inv)
}

var endings = map[ledger.Disposition]tenants.Ending{ledger.Succeeded: tenants.Succeeded, ledger.Declined: tenants.Declined,
	ledger.Aborted: tenants.Aborted, ledger.Abandoned: tenants.Abandoned, ledger.Handed: tenants.Handed}

// Free lets an id go some time after the last forward of it has ended; unless it was never sent, news of it may come.
func (d *Door) Free(id string, sent bool) {
	free := func() {
		delete(d.ids, id)
		d.Holds(id, false)
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
func (d *Door) Follow() {
	m := d.Manner()
	d.closes = d.closes && m.Leaves
	d.listens(m.Hears && !d.closes) // whoever waits in the queue is for the other process, which listens at the same socket
	d.accept()
	for v := range d.visits {
		switch {
		case v.inv != 0 || v.waits || v.parcel != nil || m.News && v.brings:
		case m.Sweeps && v.parser.Started() && !v.last:
			v.malformed(408)
		case m.Shuts && v.idle() && !v.young():
			v.part()
		}
	}
}

func (d *Door) listens(hears bool) {
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
func (d *Door) Close() bool {
	d.closes = true
	d.listens(false)
	return !d.leave || d.hears
}

// Rest lists the invocations that are owed an answer, oldest first.
func (d *Door) Rest() []dispatch.InvID { return slices.Sorted(maps.Keys(d.inHand)) }

// Busy tells whether requests are still on their way in, answers on their way out, or connections on their way to another
// process.
func (d *Door) Busy() bool {
	if d.passing > 0 {
		return true
	}
	for v := range d.visits {
		if v.c.Unsent() > 0 || v.parser.Started() || v.waits || v.parts || v.young() {
			return true
		}
	}
	return !d.share.Flushed()
}

// visit is one connection from a client, or from a worker with news.
type visit struct {
	door    *Door
	c       *conn.Conn
	parser  http1.Parser
	inv     dispatch.InvID // 0: nothing in hand
	last    bool           // the connection ends with the present answer
	slow    *conn.Alarm    // the next request has to be whole by then, or the answer to the present one waits
	waits   bool           // for that
	strays  int            // requests in a row that made no sense
	useful  bool           // it has brought an invocation or news
	brings  bool           // the latter
	came    time.Duration  // the connection
	parts   bool           // it ends unless a request of it has been read
	parcel  *Parcel        // it is on its way to another process
	offered bool           // or about to be
	stays   bool           // that one would not have it
}

// Up has nothing to do.
func (v *visit) Up(*conn.Conn) {}

// Sent makes the connection one that may be closed for want of descriptors.
func (v *visit) Sent(c *conn.Conn) {
	if v.inv != 0 || v.waits || v.parser.Started() {
		return
	}
	if c.Set(conn.Done); v.useful {
		c.Set(conn.Idle)
	}
}

// Down of a client with an invocation in hand: it has gone away.
func (v *visit) Down(_ *conn.Conn, e conn.Ending) {
	d := v.door
	delete(d.visits, v)
	v.slow.Stop()
	d.Ended[e.String()]++
	if e == conn.NoDescriptor {
		d.Guard.Closed(v.inv) // it was we who closed it
	}
	if v.inv != 0 && d.Owed(v.inv) {
		d.Guard.Answer(v.inv, guard.Abandoned, e.String())
		d.forget(v.inv, ledger.Abandoned)
		d.Event(dispatch.Withdrawn{Inv: v.inv})
	}
}

// idle: nothing of a request is there, and nothing of an answer is left.
func (v *visit) idle() bool {
	return v.inv == 0 && !v.waits && !v.parser.Started() && v.c.In.Len() == 0 && v.c.Unsent() == 0
}

// young: it has just come, and its first request with it.
func (v *visit) young() bool { return !v.useful && v.door.loop.Now() < v.came+firstIn }

// part ends an idle connection. A request that has come by now is served first, also where nobody has read it yet: closing
// over it would reset the connection. One that comes later has not been read, and its client sends it again.
func (v *visit) part() {
	v.parts = true
	v.c.Detach(func() {
		if v.parts = false; !v.idle() || v.c.Readable() {
			v.c.Attach()
			return
		}
		v.slow.Stop()
		v.door.Guard.Closed(v.inv)
		v.door.Ended[endedIdle]++
		delete(v.door.visits, v)
		v.c.Close()
	})
}

func (v *visit) quit() {
	v.door.Guard.Closed(v.inv)
	v.door.Ended[endedAnswered]++
	delete(v.door.visits, v)
	v.slow.Stop()
	v.c.Quit()
}

// limitSilence has a connection end that has not brought a whole request in time since it came.
func (v *visit) limitSilence() {
	v.slow.Stop()
	v.slow = v.door.loop.After(v.came+readIn-v.door.loop.Now(), v.late)
}

// late ends a connection that has taken too long for a request. One that never said a word gets none either: an answer
// could cross its request.
func (v *visit) late() {
	if v.slow = nil; v.parser.Started() {
		v.malformed(408)
		return
	}
	v.door.Counts.Silent++
	v.part()
}

// Read takes a request in. One at a time: clients wait for answers, so what follows an invocation before its answer is
// the rest of a body longer than its length says, or a request that is hidden in it. The connection ends with that answer.
func (v *visit) Read(c *conn.Conn) {
	for c.In.Len() > 0 && v.inv == 0 && !v.last && !v.waits {
		n, step, err := v.parser.Feed(c.In.Bytes())
		c.In.Drop(n)
		if err != nil {
			v.malformed(err.(*http1.Bad).Status)
			return
		}
		if v.parser.Expects() {
			c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		if step == http1.Whole {
			v.slow.Stop()
			v.slow = nil
			c.Set(conn.Busy)
			m := v.parser.Message
			v.last = m.Close
			v.take(m)
		}
	}
	if v.inv != 0 && c.In.Len() > 0 {
		// More than the ring holds would stop the reading, and its client's leaving would not be seen.
		v.last = true
		c.Ignore()
	}
	if !v.parser.Started() || v.last || v.waits {
		return
	}
	c.Set(conn.Begun)
	if v.slow == nil {
		v.slow = v.door.loop.After(readIn, v.late)
	}
}

func (v *visit) malformed(status int) {
	v.door.Counts.Malformed++
	v.last = true
	v.answer(status, nil)
}

func (v *visit) answer(status int, body []byte, fields ...http1.Field) {
	if v.last = v.last || v.shuts(); v.last {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	v.c.Write(http1.Answer(status, body, fields...))
	if v.last {
		v.quit()
	}
}

// shuts tells whether the connection ends with the next answer.
func (v *visit) shuts() bool {
	m := v.door.Manner()
	return m.Shuts && !(m.News && v.brings)
}

func (v *visit) take(m *http1.Message) {
	d := v.door
	path, query, _ := strings.Cut(m.Target, "?")
	switch {
	case path == newsPath:
		v.news(m)
	case path == readyPath && d.Manner().Yes:
		v.answer(200, nil)
	case path == readyPath:
		v.answer(503, nil)
	case path == countsPath && d.Gate == nil: // where tenants are served these are other tenants' figures too
		v.answer(200, d.Report(), http1.Field{Name: "Content-Type", Value: "application/json"})
	case path == historyPath && d.Gate == nil && d.History != nil:
		v.answer(200, d.History(strings.TrimPrefix(query, "id=")), http1.Field{Name: "Content-Type", Value: "text/plain"})
	case m.Method != "POST":
		v.refuse(405)
	default:
		v.invocation(m, path)
	}
}

// refuse answers a request that makes no sense.
func (v *visit) refuse(status int, fields ...http1.Field) {
	d := v.door
	d.Counts.Malformed++
	if v.strays++; v.strays == 1 || v.last || v.shuts() {
		v.answer(status, nil, fields...)
		return
	}
	v.waits = true
	v.c.Set(conn.Done)
	v.slow = d.loop.After(min(patienceFirst<<min(v.strays, 16), patienceMost), func() {
		v.waits, v.slow = false, nil
		v.answer(status, nil, fields...)
		if !v.last {
			v.Read(v.c)
		}
	})
}

// ReadNews reads what a worker calls back.
func (d *Door) ReadNews(body []byte) (n workers.News, err error) {
	var in struct {
		ID, From, State string
		Share           float64
		Result          *string
		Load            json.RawMessage
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return n, err
	}
	n = workers.News{ID: in.ID, From: in.From, State: in.State, Share: in.Share, Result: in.Result}
	if len(in.Load) > 0 {
		n.Load = d.site.Report.Parse(string(in.Load))
	}
	return n, nil
}

func (v *visit) news(m *http1.Message) {
	d := v.door
	n, err := d.ReadNews(m.Body)
	if m.Method != "POST" || err != nil {
		v.refuse(400)
		return
	}
	v.useful, v.brings = true, true
	if !d.News(n) && d.Relay(n, m.Body, v.heard) {
		v.waits = true // nothing is acknowledged before its owner has it
		return
	}
	v.answer(204, nil) // whatever it is about: the worker goes on trying until it has been heard
}

// heard answers news that was passed on. What was not heard the worker is to try again.
func (v *visit) heard(was bool) {
	if _, stays := v.door.visits[v]; !stays {
		return
	}
	status := 204
	if !was {
		status = 503
	}
	v.waits = false
	if v.answer(status, nil); !v.last {
		v.Read(v.c)
	}
}

// once are the headers that may stand in a request only once: of two, each reader could believe another.
var once = []string{"X-Call-Id", "X-Call-Class", "X-Budget", "Idempotency-Key", "Host", "X-Attempt"}

func (v *visit) invocation(m *http1.Message, path string) {
	d := v.door
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if plain, err := url.PathUnescape(first); err == nil {
		first = plain // a name may need escaping there
	}
	name := m.Header.Get("X-Call-Class")
	if name == "" {
		name = first
	}
	id, prefix, seat := m.Header.Get("X-Call-Id"), "", (*tenants.Seat)(nil)
	operation, known := 0, false
	if d.Gate == nil {
		operation, known = d.operations[name]
	} else {
		if seat = d.identify(m.Header["Authorization"]); seat == nil {
			v.unknown()
			return
		}
		// Whoever holds an id or a key of one tenant has none of another's: neither an answer nor a repeat can cross.
		prefix = seat.Handle + scopeMark
		operation, known = d.operations[settings.HostedName(seat.Handle, name)]
	}
	budget, sound := span(m.Header.Get("X-Budget"))
	for _, name := range once {
		sound = sound && len(m.Header[name]) < 2
	}
	switch {
	case !known:
		v.refuse(404)
		return
	case !sound, name != first, !http1.Token(id), len(id) > maxID, !target(m.Target, path),
		!key(m.Header["Idempotency-Key"], d.site.Deployment.Operations[operation].Effect),
		strings.Trim(string(v.c.In.Bytes()), "\r\n") != "":
		v.refuse(400)
		return
	case d.ids[prefix+id], d.Foreign(prefix + id):
		v.refuse(409) // the one in hand has its own answer coming
		return
	case v.c.Left():
		// It waited to be read for longer than its client did. A half close counts as one, as the protocol has it.
		delete(d.visits, v)
		v.c.Close()
		return
	case len(d.inHand) >= d.most, !d.Manner().Takes:
		d.Counts.Crowded++
		d.Ledger.Took(d.classes[operation])
		d.Ledger.End(d.classes[operation], ledger.Declined)
		v.last = true // the descriptor is wanted: what waits to be accepted counts as taken, workers' news among it
		v.answer(503, nil)
		return
	}
	arrival := d.arrival(m)
	var ask tenants.Ask
	said := 0.0
	if id = prefix + id; seat != nil {
		arrival.Tenant, said = seat.Index, arrival.Hint
		arrival.Hint = seat.Believe(name, said)
		ask = tenants.Ask{Bytes: len(m.Body), Work: arrival.Hint, Retry: retries(m)}
		if verdict := d.Gate.Admit(d.loop.Now(), seat, ask); verdict.Kind != tenants.None {
			v.throttled(verdict)
			return
		}
	}
	if most := d.site.Timeouts[operation]; most > 0 {
		budget = min(budget, most) // a longer one would look as if all other clients had waited for long
	}
	v.strays, v.useful = 0, true
	d.Longest = max(d.Longest, budget)
	now := d.loop.Now()
	givenUp := now + budget - early // a request's time counts from its last byte
	d.last++
	d.Ledger.Took(d.classes[operation])
	v.inv = d.last
	inv, j := v.inv, &inHand{id: id, class: d.classes[operation], visit: v, came: now, givenUp: givenUp, seat: seat, ask: ask}
	d.watch(inv, j)
	d.inHand[inv], d.ids[id] = j, true
	d.Holds(id, true)
	d.Took(&workers.Invocation{Inv: inv, ID: id, Method: m.Method, Target: m.Target, Fields: onward(m, prefix), Body: m.Body,
		GivenUp: givenUp, Hint: said}, operation)
	arrival.Inv, arrival.Operation, arrival.Budget = inv, operation, givenUp-now
	d.Event(arrival)
}

// span reads a budget: seconds, with decimals, and nothing that only some readers take for a number.
func span(text string) (time.Duration, bool) {
	if strings.Trim(text, digits+".") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return settings.Span(v), err == nil && v > 0 && v < maxBudget
}

// target tells whether a worker will read the same in it as we do.
func target(text, path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil || len(text) > maxTarget || strings.ContainsAny(text, "#\\\"<>") || !utf8.ValidString(plain) {
		return false
	}
	for _, c := range text {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	for _, c := range plain {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	for part := range strings.SplitSeq(plain[1:], "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

// key tells whether workers can know a repeat by its key, where the operation needs one.
func key(values []string, effect dispatch.Effect) bool {
	if len(values) == 0 {
		return effect != dispatch.Deduplicated
	}
	for _, c := range values[0] {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return values[0] != "" && len(values[0]) <= maxKey
}

// arrival reads what the request says of its work. A guess that can't be read is as good as none: it must not cost the
// client its answer.
func (d *Door) arrival(m *http1.Message) (a dispatch.Arrival) {
	number := func(text string, otherwise float64) float64 {
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(v >= 0 && v < 1e12) {
			return otherwise
		}
		return v
	}
	a.Slots, a.Hint = 1, number(m.Header.Get("X-Call-Cost"), 0)/1e6
	if tenant := m.Header.Get("X-Caller"); tenant != "" && d.Gate == nil { // there it is the credential that tells
		known := false
		if a.Tenant, known = d.tenants[tenant]; !known {
			a.Tenant = len(d.tenants)
		}
	}
	for pair := range strings.SplitSeq(m.Header.Get("X-Call-Info"), ",") {
		switch name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name {
		case "slots":
			a.Slots = number(value, 1)
		}
	}
	return a
}

// onward lists the headers that go on to a worker, which are those that it needs. Any other could mean something to it
// that its sender has no right to say.
func onward(m *http1.Message, prefix string) (fields []http1.Field) {
	for _, name := range []string{"X-Call-Id", "Idempotency-Key"} {
		if value := m.Header.Get(name); value != "" {
			fields = append(fields, http1.Field{Name: name, Value: prefix + value})
		}
	}
	return fields
}
