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

// Keys of ClosedConnections for closes by the server. All other keys are the names of
// conn.CloseReason values.
const (
	closedAnswered = "with its answer"
	closedIdle     = "idle"
	closedMigrated = "handed over"
)

// continueResponse is the interim response to a client that waits for it before it sends its body.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// connection is the server's side of one connection, from a client or from a worker that sends
// callbacks. It handles one request at a time: the next request is parsed after the current one has
// been answered.
type connection struct {
	server *Server
	conn   *conn.Conn
	parser http1.Parser

	// acceptedAt is when the connection was accepted. For a migrated connection that was never
	// used, this is the time of the accept at its first process.
	acceptedAt time.Duration
	// invocation is the invocation in flight on the connection or, during the connection's
	// migration, the one that was in flight when the migration began; noInvocation otherwise.
	invocation dispatch.InvocationID
	// closeAfterAnswer is set if the current answer is the last one on the connection. It is never
	// reset, and nothing more is parsed.
	closeAfterAnswer bool
	// answerDeferred is set while the answer to a handled request is delayed, or waits for the
	// other process to which the callback was relayed. It implies that there is no invocation and
	// no partially read request.
	answerDeferred bool
	// deferredTimer fires when a delayed answer is due. It is non-nil only while answerDeferred.
	deferredTimer *conn.Timer
	// readTimer fires when the next request must have arrived whole. It is nil while a request is
	// being handled and between requests, but runs during the wait for the first request.
	readTimer *conn.Timer
	// consecutiveRejections counts the invalid requests since the last invocation that was
	// admitted, or rejected only because of its tenant's limits.
	consecutiveRejections int
	// used is set once an invocation or a callback has arrived. It is never reset.
	used bool
	// carriesCallbacks is set once a callback has arrived. It is never reset and implies used.
	carriesCallbacks bool
	// closing is set while closeIdle detaches the connection, to close it unless a request arrives
	// first.
	closing bool
	// migration is the state of the connection's migration to the other process.
	migration migrationState
}

// Connected implements conn.Handler. It does nothing: an accepted connection is connected from the
// start.
func (c *connection) Connected(*conn.Conn) {}

// Flushed implements conn.Handler. Once its answer has been sent, the connection may be evicted to
// free its descriptor.
func (c *connection) Flushed(transport *conn.Conn) {
	if c.invocation != noInvocation || c.answerDeferred || c.parser.Started() {
		return
	}
	transport.SetState(conn.StateFinished)
	if c.used {
		transport.SetState(conn.StateIdle)
	}
}

// Disconnected implements conn.Handler. If an invocation is in flight, its client has abandoned it.
func (c *connection) Disconnected(_ *conn.Conn, reason conn.CloseReason) {
	s := c.server
	delete(s.connections, c)
	c.stopTimers()
	s.ClosedConnections[reason.String()]++
	if reason == conn.NoDescriptor {
		s.Invariants.CheckClose(c.invocation) // the server evicted the connection; the client did not close it
	}
	if c.invocation == noInvocation || !s.AwaitsAnswer(c.invocation) {
		return
	}
	s.Invariants.CheckAnswer(c.invocation, invariant.Abandoned, reason.String())
	s.complete(c.invocation, accounting.Abandoned)
	s.OnEvent(dispatch.ClientDisconnected{Invocation: c.invocation})
}

// DataReceived implements conn.Handler. It parses and handles the requests received. Clients wait
// for each answer, so bytes that follow an invocation before its answer are the rest of a body
// longer than its declared length, or a smuggled request; the connection closes with that answer.
func (c *connection) DataReceived(transport *conn.Conn) {
	for transport.In.Len() > 0 && c.invocation == noInvocation && !c.closeAfterAnswer && !c.answerDeferred {
		if !c.parse(transport) {
			return
		}
	}
	if c.invocation != noInvocation && transport.In.Len() > 0 {
		// If more bytes arrived than the ring buffer holds, reading would stop and the client's
		// disconnect would go unnoticed.
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

// parse feeds the received bytes to the parser and handles the request once it is complete. It
// returns false if the request is malformed, in which case the connection is closed.
func (c *connection) parse(transport *conn.Conn) bool {
	n, step, err := c.parser.Feed(transport.In.Bytes())
	transport.In.Discard(n)
	if err != nil {
		c.rejectMalformed(statusOf(err))
		return false
	}
	if c.parser.TakeExpectContinue() {
		transport.Write([]byte(continueResponse))
	}
	if step != http1.StepComplete {
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

// statusOf returns the HTTP status that answers a request rejected by the parser with err.
func statusOf(err error) int {
	var bad *http1.ParseError
	if errors.As(err, &bad) {
		return bad.Status
	}
	return http.StatusBadRequest
}

// isIdle reports whether no part of a request has been received, no answer is due and all answers
// have been sent.
func (c *connection) isIdle() bool {
	return c.invocation == noInvocation && !c.answerDeferred && !c.parser.Started() && c.conn.In.Len() == 0 && c.conn.Unsent() == 0
}

// closeIdle closes an idle connection. If a request arrives before the close, it is served instead,
// even if it has not been read yet: closing a socket with unread bytes resets the connection. A
// request that arrives later is never read, and its client sends it again.
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

// remove unregisters a connection that the server closes and counts the close reason.
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
