package workers

import (
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

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
