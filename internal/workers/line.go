package workers

import (
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// ask is one request and its answer.
type ask struct {
	request func() conn.Outgoing // is built at the moment of sending
	begun   func()               // some of it has been written; nil: nobody wants to know
	done    func(m *http1.Message, e conn.Ending)
	alone   bool   // an answer taken for its own that is another's could have it run twice
	wrote   func() // its last byte has been written; nil: nobody wants to know
	limit   *conn.Alarm
	line    *line       // that it goes over
	dials   []*line     // that come up for it, while there is none
	again   *conn.Alarm // until one more is dialled
}

// out is called where it shows that the last byte has been written, as often as it shows.
func (a *ask) out() {
	if a != nil && a.wrote != nil {
		a.wrote()
		a.wrote = nil
	}
}

// line is a kept connection to a worker; it carries one request at a time.
type line struct {
	fleet    *Fleet
	worker   *worker
	endpoint string // where it leads: a worker may move while it comes up
	c        *conn.Conn
	parser   http1.Parser
	ask      *ask           // nil: idle
	early    *http1.Message // its answer, which came before all of the request had gone out
	expiry   *conn.Alarm    // of an idle one, or of waiting for that
	kept     bool           // it has carried an answer before
	parked   time.Duration  // when it was last put by
}

// strayMost is how late a second answer may come to a request that has had one. On a connection that has rested for so long
// the next answer belongs to the next request.
const strayMost = 100 * time.Millisecond

const (
	// Some connections come up late, and the next one at once: a part of the time that one has is waited before another is
	// dialled. Whichever comes up first has the request; the others are kept, as their price has been paid.
	redialPart = 5
	dialsMost  = 3
	// redialRoom descriptors are left for those that have no connection on its way.
	redialRoom = 8
)

// ask sends on the connection used last, as it is the least likely to have been closed by the worker, or opens one.
// False: it has failed at once, and done has been called.
func (f *Fleet) ask(w *worker, a *ask) bool {
	for n := len(w.idle) - 1; n >= 0; n-- {
		l := w.idle[n]
		rested := f.loop.Now() - l.parked
		if a.alone && rested < strayMost {
			continue
		}
		w.idle = slices.Delete(w.idle, n, n+1)
		l.expiry.Stop()
		if rested > f.keeps() || l.c.Readable() { // its end, or an answer to nothing, that has not been read yet
			l.c.Close()
			continue
		}
		l.c.Set(conn.Busy)
		l.ask, a.line = a, l
		return l.send()
	}
	if !f.share.Spare(0) {
		a.done(nil, conn.Crowded)
		return false
	}
	f.dial(w, a, f.loop.Now()+f.site.ConnTimeout)
	return true
}

// dial opens one more connection for what is asked. All have the time of the first.
func (f *Fleet) dial(w *worker, a *ask, until time.Duration) {
	f.Counts.Dialled++
	l := &line{fleet: f, worker: w, endpoint: w.endpoint, parser: http1.Parser{Answers: true}, ask: a}
	l.c = f.share.Dial(w.endpoint, until-f.loop.Now(), l)
	if a.dials = append(a.dials, l); len(a.dials) < dialsMost {
		a.again = f.loop.After(f.site.ConnTimeout/redialPart, func() {
			if f.share.Room() > redialRoom && w.entry.Standing == dispatch.Ready && w.endpoint == l.endpoint {
				f.dial(w, a, until)
			}
		})
	}
}

// settled: one of the connections that came up for it has it, or it is over. The others carry nothing when they come up.
func (a *ask) settled() {
	a.again.Stop()
	for _, l := range a.dials {
		l.ask = nil
	}
	a.dials = nil
}

// drop ends what is asked, and its connections; it hears nothing more.
func (a *ask) drop() {
	a.limit.Stop()
	for _, l := range a.dials {
		l.c.Close()
	}
	if a.settled(); a.line != nil {
		a.line.drop()
	}
}

// send is the one way by which requests go to workers. False: nothing was written, and done has been called.
func (l *line) send() bool {
	a := l.ask
	if l.endpoint != l.worker.endpoint { // who listens there now may be another
		l.finish(nil, conn.Withheld)
		l.c.Close()
		return false
	}
	switch why := l.c.Send(a.request()); why {
	case conn.Open:
	case conn.CutShort: // the connection has ended before it could be used
		l.finish(nil, why)
		l.c.Close()
		return false
	default:
		l.finish(nil, why)
		l.park()
		return false
	}
	if a.begun != nil {
		a.begun()
	}
	if l.c.Unsent() == 0 {
		a.out()
	}
	return true
}

func (l *line) finish(m *http1.Message, e conn.Ending) {
	a := l.ask
	l.ask, a.line = nil, nil
	a.limit.Stop()
	a.settled()
	if m != nil || e.Written() {
		a.out()
	}
	a.done(m, e)
}

// drop closes the connection; what was asked over it hears nothing more.
func (l *line) drop() {
	if l.ask != nil {
		l.ask.limit.Stop()
		l.ask.line = nil
	}
	l.ask, l.early = nil, nil
	l.expiry.Stop()
	l.c.Close()
}

func (l *line) park() {
	l.expiry.Stop()
	w, f := l.worker, l.fleet
	if f.keeps() < keepLeast {
		l.c.Close()
		return
	}
	w.idle = append(w.idle, l)
	l.c.Set(conn.Done) // whatever comes over it is no answer
	l.kept, l.parked = true, f.loop.Now()
	l.expiry = f.loop.After(f.keeps(), func() {
		w.forget(l)
		l.c.Close()
	})
}

func (w *worker) forget(l *line) {
	for i, other := range w.idle {
		if other == l {
			l.expiry.Stop()
			w.idle = append(w.idle[:i], w.idle[i+1:]...)
			return
		}
	}
}

func (w *worker) shutIdle() {
	for _, l := range w.idle {
		l.expiry.Stop()
		l.c.Close()
	}
	w.idle = nil
}

// Up sends what the connection was opened for, unless another one has it by now.
func (l *line) Up(*conn.Conn) {
	a := l.ask
	switch {
	case a != nil:
		a.settled()
		l.ask, a.line = a, l
		l.send()
	case l.endpoint != l.worker.endpoint || l.worker.entry.Standing == dispatch.Gone:
		l.c.Close()
	default:
		l.park()
	}
}

// Sent lets an answer that came first take effect.
func (l *line) Sent(*conn.Conn) {
	l.ask.out()
	if l.early != nil {
		l.park()
		l.finishEarly()
	}
}

func (l *line) finishEarly() {
	m := l.early
	l.early = nil
	l.finish(m, conn.Open)
}

// overtaken ends the wait for the word that the request has gone out, however it ends: the alarm must not ring after it.
func (l *line) overtaken() {
	l.expiry.Stop()
	l.finishEarly()
	l.c.Close()
}

// Read takes an answer in.
func (l *line) Read(c *conn.Conn) {
	for c.In.Len() > 0 {
		n, step, err := l.parser.Feed(c.In.Bytes())
		c.In.Drop(n)
		if l.early != nil {
			l.overtaken()
			return
		}
		if l.ask == nil || err != nil {
			// An answer to nothing, or one that can't be read: what comes next could be taken for the answer to
			// something else.
			l.end(conn.Garbage)
			return
		}
		if step != http1.Whole {
			continue
		}
		switch m := l.parser.Message; {
		case m.Close || c.In.Len() > 0:
			l.finish(m, conn.Open)
			c.Close()
		case c.Unsent() > 0 && l.ask.alone:
			// It proves nothing of a request that is still on its way, as its last byte may come behind it. That never goes out now.
			c.Break()
		case c.Unsent() > 0:
			// The answer has overtaken the word that the request has gone out, which is waited for before the
			// connection is used again; or the worker has answered without reading on.
			l.early, l.expiry = m, l.fleet.loop.After(earlyMost, l.overtaken)
		default:
			l.park()
			l.finish(m, conn.Open)
		}
		return
	}
}

func (l *line) end(e conn.Ending) {
	l.c.Close()
	l.over(e)
}

func (l *line) over(e conn.Ending) {
	f := l.fleet
	if l.kept && !l.parser.Started() && (e == conn.Closed || l.ask != nil && e == conn.Reset) {
		// Whoever ends kept connections, the workers or the network, ends others too: those that stand as long go. A
		// reset with nothing asked is a worker's death.
		f.distrust(f.loop.Now() - l.parked)
		if l.ask != nil {
			e = conn.Stale
		}
	}
	if e == conn.Closed && l.parser.Started() {
		e = conn.Reset // an answer that breaks off: no word on the request
	}
	a := l.ask
	switch {
	case a == nil:
		l.worker.forget(l)
	case a.line == nil && len(a.dials) > 1 && e == conn.NeverUp: // another may come up
		l.ask = nil
		a.dials = slices.DeleteFunc(a.dials, func(other *line) bool { return other == l })
	default:
		l.finish(nil, e)
	}
}

// keeps is how long connections are kept: a part of the time that the settings give, as a request must not cross the
// worker's closing, and less while kept ones end before that.
func (f *Fleet) keeps() time.Duration {
	most := time.Duration(idlePart * float64(f.site.ConnIdle))
	return min(most, f.lasts<<min(int((f.loop.Now()-f.broke)/keepAgain), 30))
}

func (f *Fleet) distrust(lasted time.Duration) {
	f.lasts, f.broke = min(f.keeps(), max(lasted/2, keepLeast/2)), f.loop.Now()
}

// Down ends what was asked. An answer without a length ends with its connection.
func (l *line) Down(_ *conn.Conn, e conn.Ending) {
	if l.early != nil {
		l.overtaken()
		return
	}
	if l.ask != nil && e == conn.Closed && l.parser.End() {
		l.finish(l.parser.Message, conn.Open)
		return
	}
	l.over(e)
}
