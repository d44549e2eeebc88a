package workers

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// earlyResponseTimeout is how long a response waits for the notice that its request has been
// written whole.
const earlyResponseTimeout = 50 * time.Millisecond

// connection is one to a worker. It carries one request at a time and rests in the worker's pool
// between them. It implements conn.Handler.
type connection struct {
	transport     *Transport
	worker        *worker
	address       string // that was dialled: a worker may move while the connection comes up
	socket        *conn.Conn
	parser        http1.Parser
	exchange      *exchange      // that it carries, or is dialled for; nil: idle
	earlyResponse *http1.Message // that came before the whole request had been written
	timer         *conn.Timer    // ends an idle connection, or the wait for the end of a write
	reused        bool           // it has been in the pool
	idleSince     time.Duration  // when it was last put into the pool, by the loop's clock
}

// attach gives the connection an exchange to carry.
func (c *connection) attach(x *exchange) {
	c.exchange = x
	x.connection = c
}

// detach takes its exchange from the connection.
func (c *connection) detach() *exchange {
	x := c.exchange
	c.exchange = nil
	x.connection = nil
	return x
}

// sendRequest writes the request of the connection's exchange; no request goes to a worker in
// another way. False: nothing was written, and onDone has been called.
func (c *connection) sendRequest() bool {
	x := c.exchange
	if c.address != c.worker.address { // another worker may listen there now
		c.complete(nil, conn.WorkerUnavailable)
		c.socket.Close()
		return false
	}
	reason := c.socket.Send(x.buildRequest())
	switch reason {
	case conn.Open:
	case conn.NotWritten:
		return c.retryOnAnother()
	default:
		c.complete(nil, reason)
		c.putIdle()
		return false
	}
	if x.onFirstByte != nil {
		x.onFirstByte()
	}
	if c.socket.Unsent() == 0 {
		x.notifyWritten()
	}
	return true
}

// retryOnAnother passes the exchange on to another connection, as this one has ended since it was
// put into the pool, or has received something unasked. One that has just come up is not replaced:
// the worker is at fault.
func (c *connection) retryOnAnother() bool {
	if !c.reused {
		c.complete(nil, conn.NotWritten)
		c.socket.Close()
		return false
	}
	x := c.detach()
	c.socket.Close()
	return c.transport.startExchange(c.worker, x)
}

// complete ends the exchange with its response, or with the reason why there is none.
func (c *connection) complete(m *http1.Message, reason conn.CloseReason) {
	x := c.detach()
	x.timeout.Stop()
	x.releaseDials()
	if m != nil || reason.Written() {
		x.notifyWritten()
	}
	x.onDone(m, reason)
}

// abort closes the connection; its exchange is notified of nothing more.
func (c *connection) abort() {
	if c.exchange != nil {
		x := c.detach()
		x.timeout.Stop()
	}
	c.earlyResponse = nil
	c.timer.Stop()
	c.socket.Close()
}

// Connected sends the request for which the connection was dialled, unless another one has carried
// it by now.
func (c *connection) Connected(*conn.Conn) {
	x := c.exchange
	switch {
	case x != nil:
		x.releaseDials() // this one too
		c.attach(x)
		c.sendRequest()
	case c.address != c.worker.address || c.worker.endpoint.State == dispatch.Gone:
		c.socket.Close()
	default:
		c.putIdle()
	}
}

// Flushed applies a response that came before the whole request had been written.
func (c *connection) Flushed(*conn.Conn) {
	c.exchange.notifyWritten()
	if c.earlyResponse != nil {
		c.putIdle()
		c.completeEarly()
	}
}

// completeEarly ends the exchange with its early response.
func (c *connection) completeEarly() {
	m := c.earlyResponse
	c.earlyResponse = nil
	c.complete(m, conn.Open)
}

// completeEarlyAndClose ends the wait for the end of the write. The timer is stopped, as it must
// not fire afterwards.
func (c *connection) completeEarlyAndClose() {
	c.timer.Stop()
	c.completeEarly()
	c.socket.Close()
}

// DataReceived parses the response.
func (c *connection) DataReceived(nc *conn.Conn) {
	for nc.In.Len() > 0 {
		used, step, err := c.parser.Feed(nc.In.Bytes())
		nc.In.Drop(used)
		if c.earlyResponse != nil {
			c.completeEarlyAndClose()
			return
		}
		if c.exchange == nil || err != nil {
			// A response to nothing, or one that can't be read: what follows could be taken for the
			// response to another request.
			c.closeWith(conn.Malformed)
			return
		}
		if step == http1.Whole {
			c.handleResponse(nc, c.parser.Message)
			return
		}
	}
}

// handleResponse ends the exchange with its response as far as its request has been written.
func (c *connection) handleResponse(nc *conn.Conn, m *http1.Message) {
	switch {
	case m.Close || nc.In.Len() > 0:
		c.complete(m, conn.Open)
		nc.Close()
	case nc.Unsent() > 0 && c.exchange.needsProofNotRun:
		// It proves nothing of a request that is still being written, as the last byte may follow.
		// Now that is never written.
		nc.Break()
	case nc.Unsent() > 0:
		// The response has overtaken the notice that the request is written, which is awaited
		// before the connection is used again; or the worker has answered without reading on.
		c.earlyResponse = m
		c.timer = c.transport.loop.After(earlyResponseTimeout, c.completeEarlyAndClose)
	default:
		c.putIdle()
		c.complete(m, conn.Open)
	}
}

// closeWith closes the connection for a reason of ours, which its exchange receives.
func (c *connection) closeWith(reason conn.CloseReason) {
	c.socket.Close()
	c.handleClose(reason)
}

// Disconnected ends the exchange. A response without a length ends with its connection.
func (c *connection) Disconnected(_ *conn.Conn, reason conn.CloseReason) {
	if c.earlyResponse != nil {
		c.completeEarlyAndClose()
		return
	}
	if c.exchange != nil && reason == conn.Closed && c.parser.End() {
		c.complete(c.parser.Message, conn.Open)
		return
	}
	c.handleClose(reason)
}

// handleClose ends the exchange of a connection that has ended, unless another connection is
// dialled for it.
func (c *connection) handleClose(reason conn.CloseReason) {
	reason = c.learnFromClose(reason)
	x := c.exchange
	switch {
	case x == nil:
		c.worker.removeIdle(c)
	case x.connection == nil && c.transport.anotherDial(c, reason):
		c.exchange = nil
	default:
		c.complete(nil, reason)
	}
}

// learnFromClose returns the reason as it concerns the exchange, and shortens the time for which
// connections rest in the pool if this one was closed there.
func (c *connection) learnFromClose(reason conn.CloseReason) conn.CloseReason {
	if c.parser.Started() {
		if reason == conn.Closed {
			return conn.Reset // a truncated response says nothing about the request
		}
		return reason
	}
	// Whoever ends idle connections, the workers or the network, ends others too: those that have
	// rested as long. A reset with no request sent is a worker's death.
	closedInPool := reason == conn.Closed || reason == conn.Reset && c.exchange != nil
	if !c.reused || !closedInPool {
		return reason
	}
	c.transport.shortenIdleTimeout(c.transport.loop.Now() - c.idleSince)
	if c.exchange != nil {
		return conn.Stale
	}
	return reason
}
