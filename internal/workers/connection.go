package workers

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// connection is one to a worker; it is kept in the pool between its requests, and carries one at a time.
type connection struct {
	fleet       *Transport
	worker      *worker
	endpoint    string // where it leads: a worker may move while it comes up
	socket      *conn.Conn
	parser      http1.Parser
	exchange    *exchange      // nil: idle
	earlyAnswer *http1.Message // its answer, which came before all of the request had gone out
	expiry      *conn.Timer    // of an idle one, or of waiting for that
	reused      bool           // it has carried an answer before
	parked      time.Duration  // when it was last put by
}

// send is the one way by which requests go to workers. False: nothing was written, and done has been called.
func (c *connection) send() bool {
	x := c.exchange
	if c.endpoint != c.worker.endpoint { // who listens there now may be another
		c.finish(nil, conn.WorkerUnavailable)
		c.socket.Close()
		return false
	}
	switch why := c.socket.Send(x.request()); why {
	case conn.Open:
	case conn.NotWritten:
		return c.replace()
	default:
		c.finish(nil, why)
		c.park()
		return false
	}
	if x.onBegun != nil {
		x.onBegun()
	}
	if c.socket.Unsent() == 0 {
		x.written()
	}
	return true
}

// replace passes the exchange on to another connection, as this one has ended, or something unasked has come over it, since it was
// put into the pool. One that has just come up is not replaced: the worker is at fault.
func (c *connection) replace() bool {
	x := c.exchange
	if !c.reused {
		c.finish(nil, conn.NotWritten)
		c.socket.Close()
		return false
	}
	c.exchange, x.connection = nil, nil
	c.socket.Close()
	return c.fleet.send(c.worker, x)
}

// finish ends the exchange, with its answer if there is one.
func (c *connection) finish(m *http1.Message, e conn.CloseReason) {
	x := c.exchange
	c.exchange, x.connection = nil, nil
	x.limit.Stop()
	x.settle()
	if m != nil || e.Written() {
		x.written()
	}
	x.done(m, e)
}

// abandon closes the connection; its exchange hears nothing more.
func (c *connection) abandon() {
	if c.exchange != nil {
		c.exchange.limit.Stop()
		c.exchange.connection = nil
	}
	c.exchange, c.earlyAnswer = nil, nil
	c.expiry.Stop()
	c.socket.Close()
}

// Up sends what the connection was opened for, unless another one has it by now.
func (c *connection) Connected(*conn.Conn) {
	x := c.exchange
	switch {
	case x != nil:
		x.settle()
		c.exchange, x.connection = x, c
		c.send()
	case c.endpoint != c.worker.endpoint || c.worker.entry.State == dispatch.Gone:
		c.socket.Close()
	default:
		c.park()
	}
}

// Sent lets an answer that came first take effect.
func (c *connection) Flushed(*conn.Conn) {
	c.exchange.written()
	if c.earlyAnswer != nil {
		c.park()
		c.finishEarly()
	}
}

// finishEarly lets an answer take effect that came before its request had gone out.
func (c *connection) finishEarly() {
	m := c.earlyAnswer
	c.earlyAnswer = nil
	c.finish(m, conn.Open)
}

// stopWaiting ends the wait for the word that the request has gone out, however it ends: the alarm must not ring after it.
func (c *connection) stopWaiting() {
	c.expiry.Stop()
	c.finishEarly()
	c.socket.Close()
}

// Read takes an answer in.
func (c *connection) DataReceived(nc *conn.Conn) {
	for nc.In.Len() > 0 {
		n, step, err := c.parser.Feed(nc.In.Bytes())
		nc.In.Drop(n)
		if c.earlyAnswer != nil {
			c.stopWaiting()
			return
		}
		if c.exchange == nil || err != nil {
			// An answer to nothing, or one that can't be read: what comes next could be taken for the answer to
			// something else.
			c.close(conn.Malformed)
			return
		}
		if step != http1.Whole {
			continue
		}
		switch m := c.parser.Message; {
		case m.Close || nc.In.Len() > 0:
			c.finish(m, conn.Open)
			nc.Close()
		case nc.Unsent() > 0 && c.exchange.needsProof:
			// It proves nothing of a request that is still on its way, as its last byte may come behind it. That never goes out now.
			nc.Break()
		case nc.Unsent() > 0:
			// The answer has overtaken the word that the request has gone out, which is waited for before the
			// connection is used again; or the worker has answered without reading on.
			c.earlyAnswer, c.expiry = m, c.fleet.loop.After(earlyMost, c.stopWaiting)
		default:
			c.park()
			c.finish(m, conn.Open)
		}
		return
	}
}

// close ends the connection ourselves, for a reason that its exchange hears.
func (c *connection) close(e conn.CloseReason) {
	c.socket.Close()
	c.ended(e)
}

// ended tells what the end of the connection means for its exchange, and for how long others are kept.
func (c *connection) ended(e conn.CloseReason) {
	f := c.fleet
	if c.reused && !c.parser.Started() && (e == conn.Closed || c.exchange != nil && e == conn.Reset) {
		// Whoever ends kept connections, the workers or the network, ends others too: those that stand as long go. A
		// reset with nothing asked is a worker's death.
		f.shortenIdleTime(f.loop.Now() - c.parked)
		if c.exchange != nil {
			e = conn.Stale
		}
	}
	if e == conn.Closed && c.parser.Started() {
		e = conn.Reset // an answer that breaks off: no word on the request
	}
	x := c.exchange
	switch {
	case x == nil:
		c.worker.remove(c)
	case x.connection == nil && f.anotherDial(c, e):
		c.exchange = nil
	default:
		c.finish(nil, e)
	}
}

// Down ends what was asked. An answer without a length ends with its connection.
func (c *connection) Disconnected(_ *conn.Conn, e conn.CloseReason) {
	if c.earlyAnswer != nil {
		c.stopWaiting()
		return
	}
	if c.exchange != nil && e == conn.Closed && c.parser.End() {
		c.finish(c.parser.Message, conn.Open)
		return
	}
	c.ended(e)
}
