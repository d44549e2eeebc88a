package workers

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// earlyResponseTimeout bounds how long a response that has arrived early waits until its request is
// known to have been written completely.
const earlyResponseTimeout = 50 * time.Millisecond

// connection is a connection to a worker. It carries one request at a time and is idle in the
// worker's pool between requests. It implements conn.Handler.
type connection struct {
	transport     *Transport
	worker        *worker
	address       string // the address dialled; the worker may move while the connection is being established
	socket        *conn.Conn
	parser        http1.Parser
	exchange      *exchange      // being carried, or waiting for this connection to be established; nil: none
	earlyResponse *http1.Message // arrived before the whole request had been written
	timer         *conn.Timer    // closes an idle connection, or ends the wait for the request to be written
	reused        bool           // has been in the pool
	hasCarried    bool           // has carried a request, to which a second response may arrive
	idleSince     time.Duration  // when it was last put into the pool, by the loop's clock
}

// attach makes the connection carry an exchange.
func (c *connection) attach(x *exchange) {
	c.exchange = x
	x.connection = c
}

// detach removes the exchange from the connection and returns it.
func (c *connection) detach() *exchange {
	x := c.exchange
	c.exchange = nil
	x.connection = nil
	return x
}

// sendRequest writes the request of the connection's exchange. Every request to a worker is written
// here. It returns false if the exchange has ended with nothing written; onDone has then been
// called.
func (c *connection) sendRequest() bool {
	x := c.exchange
	if c.address != c.worker.address { // another worker may be listening there now
		c.complete(nil, conn.WorkerUnavailable)
		c.socket.Close()
		return false
	}
	reason := c.socket.Send(x.buildRequest())
	switch reason {
	case conn.NotClosed:
	case conn.NotWritten:
		return c.retryOnAnother()
	default:
		c.complete(nil, reason)
		c.putIdle()
		return false
	}
	c.hasCarried = true
	if x.onFirstByte != nil {
		x.onFirstByte()
	}
	if c.socket.Unsent() == 0 {
		x.notifyWritten()
	}
	return true
}

// retryOnAnother moves the exchange to another connection, because this one has ended since it was
// put into the pool or has received unsolicited bytes. A connection that was never in the pool is
// not replaced: its failure is the worker's fault.
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
func (c *connection) complete(response *http1.Message, reason conn.CloseReason) {
	x := c.detach()
	x.timeout.Stop()
	x.releaseDials()
	if response != nil || reason.Written() {
		x.notifyWritten()
	}
	x.onDone(response, reason)
}

// abort closes the connection without any further call to its exchange.
func (c *connection) abort() {
	if c.exchange != nil {
		x := c.detach()
		x.timeout.Stop()
	}
	c.earlyResponse = nil
	c.timer.Stop()
	c.socket.Close()
}

// Connected sends the request for which the connection was dialled. If another connection has
// carried that request by now, the connection is put into the pool, unless its worker has moved or
// is gone.
func (c *connection) Connected(*conn.Conn) {
	x := c.exchange
	switch {
	case x != nil:
		x.releaseDials() // clears the exchange of this connection too
		c.attach(x)
		c.sendRequest()
	case c.address != c.worker.address || c.worker.endpoint.State == dispatch.Gone:
		c.socket.Close()
	default:
		c.putIdle()
	}
}

// Flushed completes an exchange whose response arrived before the whole request had been written.
func (c *connection) Flushed(*conn.Conn) {
	c.exchange.notifyWritten()
	if c.earlyResponse != nil {
		c.putIdle()
		c.completeEarly()
	}
}

// completeEarly ends the exchange with the response that arrived early.
func (c *connection) completeEarly() {
	response := c.earlyResponse
	c.earlyResponse = nil
	c.complete(response, conn.NotClosed)
}

// completeEarlyAndClose ends the exchange with its early response, without waiting any longer for
// the request to be written. The timer is stopped so that it does not fire afterwards.
func (c *connection) completeEarlyAndClose() {
	c.timer.Stop()
	c.completeEarly()
	c.socket.Close()
}

// DataReceived parses the response.
func (c *connection) DataReceived(nc *conn.Conn) {
	for nc.In.Len() > 0 {
		used, step, err := c.parser.Feed(nc.In.Bytes())
		nc.In.Discard(used)
		if c.earlyResponse != nil {
			c.completeEarlyAndClose()
			return
		}
		if c.exchange == nil || err != nil {
			// An unsolicited response, or one that cannot be parsed: what follows could be taken
			// for the response to another request.
			c.closeWith(conn.Malformed)
			return
		}
		if step == http1.StepComplete {
			c.handleResponse(nc, c.parser.Message)
			return
		}
	}
}

// handleResponse completes the exchange with its response. If the request has not been written
// completely, the response is held back, or discarded with the connection where a retry requires
// proof that the attempt did not run.
func (c *connection) handleResponse(nc *conn.Conn, response *http1.Message) {
	switch {
	case response.Close || nc.In.Len() > 0:
		c.complete(response, conn.NotClosed)
		nc.Close()
	case nc.Unsent() > 0 && c.exchange.needsProofNotRun:
		// A response proves nothing about a request whose last byte may still be written. Breaking
		// the connection ensures that it never is.
		nc.Abort()
	case nc.Unsent() > 0:
		// Either the response has overtaken the notification that the request is written, which
		// must arrive before the connection is reused, or the worker has responded without reading
		// the whole request.
		c.earlyResponse = response
		c.timer = c.transport.loop.After(earlyResponseTimeout, c.completeEarlyAndClose)
	default:
		c.putIdle()
		c.complete(response, conn.NotClosed)
	}
}

// closeWith closes the connection and ends its exchange with the given reason.
func (c *connection) closeWith(reason conn.CloseReason) {
	c.socket.Close()
	c.handleClose(reason)
}

// Disconnected ends the exchange. A response without a length is complete when the worker closes
// the connection.
func (c *connection) Disconnected(_ *conn.Conn, reason conn.CloseReason) {
	if c.earlyResponse != nil {
		c.completeEarlyAndClose()
		return
	}
	if c.exchange != nil && reason == conn.Closed && c.parser.ConnectionClosed() {
		c.complete(c.parser.Message, conn.NotClosed)
		return
	}
	c.handleClose(reason)
}

// handleClose removes a closed connection from the pool, or ends its exchange unless another
// connection may still be established for it.
func (c *connection) handleClose(reason conn.CloseReason) {
	reason = c.learnFromClose(reason)
	x := c.exchange
	switch {
	case x == nil:
		c.worker.removeIdle(c)
	case x.connection == nil && c.transport.keepDialling(c, reason):
		c.exchange = nil
	default:
		c.complete(nil, reason)
	}
}

// learnFromClose returns the close reason as it applies to the exchange. It shortens the idle
// timeout if the connection was closed while it was in the pool.
func (c *connection) learnFromClose(reason conn.CloseReason) conn.CloseReason {
	if c.parser.Started() {
		if reason == conn.Closed {
			return conn.Reset // a truncated response says nothing about the request
		}
		return reason
	}
	// A worker or network device that closes one idle connection also closes others that have been
	// idle as long. A reset while no request is in progress means that the worker has died.
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
