package clients

import (
	"errors"
	"net/http"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
)

// Reasons in ClosedConnections for a close by the server; all others are names of conn.CloseReason.
const (
	closedAnswered = "with its answer"
	closedIdle     = "idle"
	closedMigrated = "handed over"
)

// continueResponse asks a client that expects it to send its body.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// connection is the server's side of one connection, from a client or from a worker with callbacks.
// It reads one request at a time: the next one is parsed after the answer to the present one.
type connection struct {
	server *Server
	conn   *conn.Conn
	parser http1.Parser

	// acceptedAt is when the connection was accepted; of a migrated one that was never used, at its
	// first process.
	acceptedAt time.Duration
	// invocation is the one in flight here, or the last one during its migration; noInvocation
	// otherwise.
	invocation dispatch.InvocationID
	// closeAfterAnswer: the present answer is the last. Never reset; nothing more is parsed.
	closeAfterAnswer bool
	// answerDeferred: a request has been handled whose answer is delayed, or awaits the peer that
	// its callback was relayed to. Implies no invocation and no request that is partly read.
	answerDeferred bool
	// deferredTimer fires at the end of the delay; non-nil only while answerDeferred.
	deferredTimer *conn.Timer
	// readTimer fires when the next request must have arrived whole; nil while a request is being
	// handled and between requests, apart from the wait for the first.
	readTimer *conn.Timer
	// consecutiveRejections counts rejected requests since the last one that was not.
	consecutiveRejections int
	// used: an invocation or a callback has arrived. Never reset.
	used bool
	// carriesCallbacks: a callback has arrived. Never reset; implies used.
	carriesCallbacks bool
	// closing: it is being detached, to be closed unless a request has arrived by then.
	closing bool
	// migration is its state of migration to the other process.
	migration migrationState
}

// Connected implements conn.Handler: an accepted connection is connected from the start.
func (c *connection) Connected(*conn.Conn) {}

// Flushed implements conn.Handler: with its answer sent, the connection may be closed for want of
// descriptors.
func (c *connection) Flushed(transport *conn.Conn) {
	if c.invocation != noInvocation || c.answerDeferred || c.parser.Started() {
		return
	}
	transport.SetState(conn.StateFinished)
	if c.used {
		transport.SetState(conn.StateIdle)
	}
}

// Disconnected implements conn.Handler: the client of an invocation in flight abandons it.
func (c *connection) Disconnected(_ *conn.Conn, reason conn.CloseReason) {
	s := c.server
	delete(s.connections, c)
	c.stopTimers()
	s.ClosedConnections[reason.String()]++
	if reason == conn.NoDescriptor {
		s.Invariants.CheckClose(c.invocation) // the server closed it, not the client
	}
	if c.invocation == noInvocation || !s.AwaitsAnswer(c.invocation) {
		return
	}
	s.Invariants.CheckAnswer(c.invocation, invariant.Abandoned, reason.String())
	s.complete(c.invocation, accounting.Abandoned)
	s.OnEvent(dispatch.ClientDisconnected{Invocation: c.invocation})
}

// DataReceived implements conn.Handler: it parses and handles requests. Clients wait for answers,
// so what follows an invocation before its answer is the rest of a body that is longer than its
// declared length, or a request smuggled in it; the connection closes with that answer.
func (c *connection) DataReceived(transport *conn.Conn) {
	for transport.In.Len() > 0 && c.invocation == noInvocation && !c.closeAfterAnswer && !c.answerDeferred {
		if !c.parse(transport) {
			return
		}
	}
	if c.invocation != noInvocation && transport.In.Len() > 0 {
		// More than the ring holds would stop the reading, and the client's disconnect would not be
		// seen.
		c.closeAfterAnswer = true
		transport.DiscardInput()
	}
	if !c.parser.Started() || c.closeAfterAnswer || c.answerDeferred {
		return
	}
	transport.SetState(conn.StateReading)
	if c.readTimer == nil {
		c.readTimer = c.server.loop.After(readTimeout, c.readDeadlineExceeded)
	}
}

// parse feeds the parser with what has been received, and handles the request once it is whole. It
// returns false if the request was malformed, which ends the connection.
func (c *connection) parse(transport *conn.Conn) bool {
	n, step, err := c.parser.Feed(transport.In.Bytes())
	transport.In.Drop(n)
	if err != nil {
		c.rejectMalformed(statusOf(err))
		return false
	}
	if c.parser.Expects() {
		transport.Write([]byte(continueResponse))
	}
	if step != http1.Whole {
		return true
	}
	c.readTimer.Stop()
	c.readTimer = nil
	transport.SetState(conn.StateActive)
	m := c.parser.Message
	c.closeAfterAnswer = m.Close
	c.route(m)
	return true
}

// statusOf returns the status that answers a request which the parser rejected.
func statusOf(err error) int {
	var bad *http1.ParseError
	if errors.As(err, &bad) {
		return bad.Status
	}
	return http.StatusBadRequest
}

// isIdle reports whether nothing of a request has been read and nothing of an answer is left to
// write.
func (c *connection) isIdle() bool {
	return c.invocation == noInvocation && !c.answerDeferred && !c.parser.Started() && c.conn.In.Len() == 0 && c.conn.Unsent() == 0
}

// closeIdle closes an idle connection. A request that has arrived by now is served first, also
// where it has not been read yet: closing over it would reset the connection. One that arrives
// later is never read, and its client sends it again.
func (c *connection) closeIdle() {
	c.closing = true
	c.conn.Detach(func() {
		c.closing = false
		if !c.isIdle() || c.conn.Readable() {
			c.conn.Attach()
			return
		}
		c.remove(closedIdle)
		c.conn.Close()
	})
}

// closeAfterFlush closes the connection once its answer has been sent.
func (c *connection) closeAfterFlush() {
	c.remove(closedAnswered)
	c.conn.CloseAfterFlush()
}

// remove unregisters a connection that the server closes, and counts the reason.
func (c *connection) remove(reason string) {
	s := c.server
	s.Invariants.CheckClose(c.invocation)
	s.ClosedConnections[reason]++
	delete(s.connections, c)
	c.stopTimers()
}

func (c *connection) stopTimers() {
	c.readTimer.Stop()
	c.deferredTimer.Stop()
}
