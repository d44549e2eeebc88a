// Package workers carries forwards, probes and cancels to the workers over kept connections, and takes what they
// call back.
package workers

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/http1"
	"stoatweir/internal/settings"
)

const (
	probeWithin  = 300 * time.Millisecond
	cancelWithin = time.Second
	idlePart     = 0.6 // of the workers' idle time: a request must not cross the worker's closing
	afterNews    = time.Second
	keepLeast    = 20 * time.Millisecond // a connection that lasts no longer is not kept at all
	keepAgain    = 5 * time.Second       // after that much quiet connections are kept twice as long
	earlyMost    = 50 * time.Millisecond // that an answer waits for the word that its request has gone out
	leastTold    = time.Millisecond      // left to the client timeout that an attempt can tell its worker
)

// Why the last check stopped a forward.
const (
	stoppedWorker  = "worker"  // it drains, is gone, has started anew or moved since it was chosen
	stoppedClient  = "client"  // it has left, or has its answer
	stoppedTimeout = "timeout" // the client timeout has passed
	stoppedWindow  = "window"  // in which workers drop repeats: it has passed
)

// Invocation is one as it goes to a worker.
type Invocation struct {
	Inv                dispatch.InvID
	ID, Method, Target string
	Fields             []http1.Field // go on unchanged
	Body               []byte
	GivenUp            time.Duration // when its client stops waiting
	Effect             dispatch.Effect
	Hint               float64 // what it says of its work, in seconds; 0: nothing

	had []*worker // to which it has been written
}

// needsProof tells whether it goes on only by what is known of the attempts before: a word that one of them never ran must be about that
// very attempt. Taken for an earlier one's, it would let non-idempotent work run twice, and begin the group and the window of deduplicated
// work anew.
func (j *Invocation) needsProof() bool { return j.Effect != dispatch.Idempotent }

// News is what a worker calls back about a forward.
type News struct {
	ID, From, State string
	Share           float64
	Result          *string
	Load            *dispatch.Load
}

// Counts of what went out and how it ended.
type Counts struct {
	Sent, Probes, Cancels, News, Strange, Dialled int
	Ended, Answered                               map[string]int // forwards and probes, by how they ended
	Stopped                                       map[string]int // forwards that the last check before the first byte stopped, by reason
}

// Fleet is the workers as seen from here.
type Fleet struct {
	Event   func(dispatch.Event)
	Deliver func(inv dispatch.InvID, result string) // to the client, unless it is gone or has its answer
	Owed    func(dispatch.InvID) bool               // whether its client still waits for an answer
	Waits   func(dispatch.InvID) bool               // the same at the moment of a send, with the kernel asked
	Wrote   func()                                  // a forward has been written whole
	Counts  Counts

	loop     *conn.Loop
	site     settings.Site
	share    *conn.Share
	lasts    time.Duration // so long a kept connection may be trusted, as it seemed when one last broke
	broke    time.Duration // that was then
	workers  map[dispatch.WorkerID]*worker
	byUID    map[string]*worker
	byNumber map[number]*forward
	byName   map[name]*forward
}

type number struct {
	inv dispatch.InvID
	fwd int
}

// name is how news names a forward: an id alone could be that of a copy elsewhere.
type name struct{ id, uid string }

type worker struct {
	uid, endpoint string
	entry         dispatch.Entry // as the list last had it
	reports       bool           // it has said something of its load since its start
	idle          []*line        // used last is last
}

type forward struct {
	inv      *Invocation
	number   int
	worker   *worker
	ask      *ask // until the worker has taken it
	written  bool // some of it may have gone out
	repeats  bool // its worker has had the invocation before: news may be late and of that time
	taken    bool // by a 202: the connection is free, the worker's slot is not
	began    bool // its worker has told so
	deadline *conn.Alarm
}

// NewFleet knows no workers yet.
func NewFleet(loop *conn.Loop, site settings.Site, share *conn.Share) *Fleet {
	return &Fleet{loop: loop, site: site, share: share, lasts: site.ConnIdle, workers: map[dispatch.WorkerID]*worker{},
		byUID: map[string]*worker{}, byNumber: map[number]*forward{}, byName: map[name]*forward{},
		Counts: Counts{Ended: map[string]int{}, Answered: map[string]int{}, Stopped: map[string]int{}}}
}

// Retune follows newer settings.
func (f *Fleet) Retune(site settings.Site) { f.site = site }

// List follows the list.
func (f *Fleet) List(list discovery.List) {
	named := map[string]bool{}
	for _, e := range list.Workers {
		w := f.byUID[e.UID]
		if w == nil {
			w = &worker{uid: e.UID, endpoint: e.Endpoint}
			f.byUID[e.UID], f.workers[e.Worker] = w, w
		}
		if named[e.UID] = true; e.Endpoint != w.endpoint && e.Standing != dispatch.Gone {
			w.endpoint = e.Endpoint
			w.shutIdle()
		}
		w.reports = w.reports && e.StartedAt == w.entry.StartedAt
		w.entry = e.Entry
		w.stand(e.Standing)
	}
	if list.Form == dispatch.ListWhole {
		for uid, w := range f.byUID {
			if !named[uid] {
				w.stand(dispatch.Gone)
			}
		}
	}
}

func (w *worker) stand(s dispatch.Standing) {
	if w.entry.Standing = s; s == dispatch.Gone {
		w.shutIdle()
	}
}

// Forward sends an invocation; the end of that is told as an event.
func (f *Fleet) Forward(inv *Invocation, fwd int, to dispatch.WorkerID) {
	f.ForwardUntil(inv, fwd, to, 0)
}

// ForwardUntil sends one that must not leave later than that; 0: nothing bounds it.
func (f *Fleet) ForwardUntil(inv *Invocation, fwd int, to dispatch.WorkerID, until time.Duration) {
	w := f.workers[to]
	o := &forward{inv: inv, number: fwd, worker: w}
	if w == nil || !f.Owed(inv.Inv) {
		f.Event(dispatch.Outcome{Inv: inv.Inv, Worker: to, Forward: fwd, Result: conn.Unsent.Result(),
			Closed: !f.Owed(inv.Inv)})
		return
	}
	chosen := w.entry
	f.Counts.Sent++
	f.byNumber[number{inv.Inv, fwd}], f.byName[name{inv.ID, w.uid}] = o, o
	o.deadline = f.loop.After(inv.GivenUp-f.loop.Now(), func() { f.end(o, conn.Expired, nil) })
	o.ask = &ask{
		wrote: f.Wrote,
		alone: inv.needsProof(),
		request: func() conn.Outgoing {
			left := (inv.GivenUp - f.loop.Clock()).Seconds()
			return conn.Outgoing{Until: earlier(inv.GivenUp, until), Allowed: func() conn.Ending { return f.allowed(o, chosen, until) },
				Bytes: http1.Request(inv.Method, inv.Target, w.endpoint, inv.Body, append(slices.Clip(inv.Fields),
					http1.Field{Name: "X-Budget", Value: strconv.FormatFloat(left, 'f', 3, 64)})...)}
		},
		begun: func() {
			o.written, o.repeats = true, slices.Contains(inv.had, w)
			inv.had = append(inv.had, w)
		},
		done: func(m *http1.Message, e conn.Ending) {
			o.ask = nil
			if m != nil && m.Status == 202 {
				o.taken = true
				f.Event(dispatch.Sign{Inv: inv.Inv, Worker: to, Forward: fwd, Taken: true})
				return
			}
			if m != nil {
				// A result comes by news alone: an answer that looks like one is no worker's.
				if e = answered(m); e == conn.Served {
					e = conn.Garbage
				}
			}
			f.end(o, e, f.load(w, m))
		},
	}
	f.ask(w, o.ask)
}

// allowed is the last check of a forward, directly before its first byte is written: the connection may have taken its time to
// come up, and this process to run.
func (f *Fleet) allowed(o *forward, chosen dispatch.Entry, until time.Duration) conn.Ending {
	now := o.worker.entry
	switch {
	case now.Standing != dispatch.Ready || now.Start != chosen.Start || now.Zone != chosen.Zone || now.Cell != chosen.Cell:
		return f.stopped(stoppedWorker, conn.Withheld)
	case !f.Waits(o.inv.Inv):
		// Where the settings allow no cancel nothing else tells of a client that has left or has its answer.
		return f.stopped(stoppedClient, conn.Unsent)
	}
	switch at := f.loop.Clock(); {
	case o.inv.GivenUp-at < leastTold:
		return f.stopped(stoppedTimeout, conn.Unsent)
	case until > 0 && at >= until:
		return f.stopped(stoppedWindow, conn.Unsent)
	}
	return conn.Open
}

func (f *Fleet) stopped(why string, e conn.Ending) conn.Ending {
	f.Counts.Stopped[why]++
	return e
}

// earlier is the earlier of two times, of which the second may be none.
func earlier(a, b time.Duration) time.Duration {
	if b > 0 {
		return min(a, b)
	}
	return a
}

// answered tells what an answer other than 202 to a forward, or any to a probe, amounts to.
func answered(m *http1.Message) conn.Ending {
	switch {
	case m.Status == 200:
		return conn.Served
	case (m.Status == 503 || m.Status == 504) && m.Header.Get("X-Rejected") == "1":
		return conn.TurnedAway
	case m.Status >= 400 && m.Status < 500:
		return conn.Unfit
	}
	return conn.Faulted
}

func (f *Fleet) load(w *worker, m *http1.Message) *dispatch.Load {
	if m == nil {
		return nil
	}
	load := f.site.Report.Parse(m.Header.Get("X-Load-Report"))
	if load == nil {
		load = f.site.Report.Parse(string(m.Body))
	}
	return w.said(load, f.site.Report.Blank())
}

// said passes a report on. Until a worker has measured anything, its report is all noughts: taken at its word no slot
// would be free there, and a scheduler that starts with the workers would hold everything until their first figures.
func (w *worker) said(load *dispatch.Load, blank dispatch.Load) *dispatch.Load {
	if load == nil || !w.reports && *load == blank {
		return nil
	}
	w.reports = true
	return load
}

// end is where every forward ends, once.
func (f *Fleet) end(o *forward, e conn.Ending, load *dispatch.Load) {
	key := number{o.inv.Inv, o.number}
	if f.byNumber[key] != o {
		return
	}
	delete(f.byNumber, key)
	delete(f.byName, name{o.inv.ID, o.worker.uid})
	o.deadline.Stop()
	if o.began && e.NeverRan() || e == conn.HandedBack && o.repeats && o.inv.needsProof() {
		e = conn.Lost // whatever says so now, its worker had begun it; or it says so of an earlier forward
	}
	switch a := o.ask; {
	case a == nil:
	case e == conn.CalledOff || e == conn.Expired || !o.written || a.line.c.Unsent() > 0:
		// Before the 202 a forward is given up by closing the connection. One that comes up must not send it any more, and the last
		// byte of one that has ended must not go out.
		a.drop()
	default: // news came before the 202, which may still follow
		a.done = func(*http1.Message, conn.Ending) {}
		a.limit = f.loop.After(afterNews, a.drop)
	}
	if o.taken && (e == conn.CalledOff || e == conn.Expired) && f.site.Deployment.Allowed.Cancel {
		f.cancel(o)
	}
	f.Counts.Ended[e.String()]++
	f.Event(dispatch.Outcome{Inv: o.inv.Inv, Worker: o.worker.entry.Worker, Forward: o.number, Result: e.Result(),
		Load: load, Closed: !f.Owed(o.inv.Inv)})
}

// always is a request that may go out whenever it can.
func always(request []byte) func() conn.Outgoing {
	return func() conn.Outgoing { return conn.Outgoing{Bytes: request} }
}

func (f *Fleet) cancel(o *forward) {
	f.Counts.Cancels++
	request := http1.Request("DELETE", "/jobs/"+o.inv.ID, o.worker.endpoint, nil)
	a := &ask{request: always(request), done: func(*http1.Message, conn.Ending) {}}
	if f.ask(o.worker, a) {
		a.limit = f.loop.After(cancelWithin, a.drop)
	}
}

// Cancel gives a forward up; one that has ended by now has had its event.
func (f *Fleet) Cancel(inv dispatch.InvID, fwd int) {
	if o := f.byNumber[number{inv, fwd}]; o != nil {
		f.end(o, conn.CalledOff, nil)
	}
}

// Probe asks a worker for its load.
func (f *Fleet) Probe(id dispatch.WorkerID) {
	w, asked := f.workers[id], f.loop.Now()
	if w == nil {
		f.Event(dispatch.Answer{Worker: id, Result: conn.Refused.Result()})
		return
	}
	f.Counts.Probes++
	path := "/-/healthy"
	if len(f.site.Report.Names) > 0 {
		path = "/-/load"
	}
	request := http1.Request("GET", path, w.endpoint, nil)
	answer := func(e conn.Ending, load *dispatch.Load) {
		f.Counts.Answered[e.String()]++
		f.Event(dispatch.Answer{Worker: id, Result: e.Result(), Took: f.loop.Now() - asked, Load: load})
	}
	a := &ask{request: always(request)}
	a.done = func(m *http1.Message, e conn.Ending) {
		if m != nil {
			e = answered(m)
		}
		answer(e, f.load(w, m))
	}
	if f.ask(w, a) {
		a.limit = f.loop.After(probeWithin, func() {
			// The others that are kept may be as dead: work that is sent on a new one that never comes up has
			// provably not run, and is free to go elsewhere.
			a.drop()
			w.shutIdle()
			answer(conn.Stalled, nil)
		})
	}
}

// Take passes news on once: the end of a forward takes it out of the books, so that repeats, late ones and those
// for ids that this process never sent meet nothing. That is told, as another process may have sent them.
func (f *Fleet) Take(n News) bool {
	f.Counts.News++
	o := f.byName[name{n.ID, n.From}]
	if o == nil {
		f.Counts.Strange++
		return false
	}
	if !o.written && (n.State != "done" || n.Result == nil) {
		f.Counts.Strange++ // it is late, and of an earlier forward to that worker: nothing of this one has gone out
		return true
	}
	n.Load = o.worker.said(n.Load, f.site.Report.Blank())
	sign := dispatch.Sign{Inv: o.inv.Inv, Worker: o.worker.entry.Worker, Forward: o.number, Done: n.Share}
	switch n.State {
	case "started":
		o.began, sign.Started = true, true
		f.Event(sign)
	case "running":
		o.began = true
		f.Event(sign)
	case "done":
		if n.Result == nil {
			f.end(o, conn.Garbage, n.Load)
			return true
		}
		f.Deliver(o.inv.Inv, *n.Result)
		f.end(o, conn.Served, n.Load)
	case "failed":
		f.end(o, conn.Faulted, n.Load)
	case "returned":
		f.end(o, conn.HandedBack, n.Load)
	case "lost":
		f.end(o, conn.Lost, n.Load)
	default:
		f.Counts.Strange++
	}
	return true
}

// Settled tells whether each forward of an invocation that is out has been taken by its worker: nothing of it is on its way.
func (f *Fleet) Settled(inv dispatch.InvID, forwards int) bool {
	for fwd := range forwards {
		if o := f.byNumber[number{inv, fwd}]; o != nil && !o.taken {
			return false
		}
	}
	return true
}

// Give takes the forwards of an invocation out of the books: another process has them from now on.
func (f *Fleet) Give(inv dispatch.InvID, forwards int) {
	for fwd := range forwards {
		if o := f.byNumber[number{inv, fwd}]; o != nil {
			delete(f.byNumber, number{inv, fwd})
			delete(f.byName, name{o.inv.ID, o.worker.uid})
			o.deadline.Stop()
		}
	}
}

// Keep enters a forward that another process has sent and that its worker has taken.
func (f *Fleet) Keep(inv *Invocation, fwd int, to dispatch.WorkerID) {
	w := f.workers[to]
	o := &forward{inv: inv, number: fwd, worker: w, written: true, taken: true}
	f.byNumber[number{inv.Inv, fwd}], f.byName[name{inv.ID, w.uid}] = o, o
	o.deadline = f.loop.After(inv.GivenUp-f.loop.Now(), func() { f.end(o, conn.Expired, nil) })
}

// Had enters that a worker has had an invocation, by another process.
func (f *Fleet) Had(inv *Invocation, worker dispatch.WorkerID) {
	inv.had = append(inv.had, f.workers[worker])
}

// UID is how all schedulers name a worker; empty: it is not known here.
func (f *Fleet) UID(id dispatch.WorkerID) string {
	if w := f.workers[id]; w != nil {
		return w.uid
	}
	return ""
}

// ID is our own name of it.
func (f *Fleet) ID(uid string) (dispatch.WorkerID, bool) {
	if w := f.byUID[uid]; w != nil {
		return w.entry.Worker, true
	}
	return dispatch.WorkerID{}, false
}

// Listing is the whole list as it stands, in one order for any run.
func (f *Fleet) Listing() dispatch.Listing {
	list := dispatch.Listing{Form: dispatch.ListWhole}
	for _, uid := range slices.Sorted(maps.Keys(f.byUID)) {
		if w := f.byUID[uid]; w.entry.Standing != dispatch.Gone {
			list.Entries = append(list.Entries, w.entry)
		}
	}
	return list
}

// Listed counts the workers of the list, ready and draining.
func (f *Fleet) Listed() (n int) {
	for _, w := range f.byUID {
		if w.entry.Standing != dispatch.Gone {
			n++
		}
	}
	return n
}

// Out counts the forwards that are under way.
func (f *Fleet) Out() int { return len(f.byNumber) }
