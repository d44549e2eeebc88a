package clients

import (
	"strings"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
)

// connection is one from a client, or from a worker with news.
type connection struct {
	server                *Server
	conn                  *conn.Conn
	parser                http1.Parser
	invocation            dispatch.InvocationID // 0: nothing in hand
	closeAfterAnswer      bool                  // the connection ends with the present answer
	slow                  *conn.Timer           // the next request has to be whole by then, or the answer to the present one waits
	answerDeferred        bool                  // for that
	consecutiveRejections int                   // requests in a row that made no sense
	used                  bool                  // it has brought an invocation or news
	carriesCallbacks      bool                  // the latter
	acceptedAt            time.Duration         // the connection
	closing               bool                  // it ends unless a request of it has been read
	parcel                *MigratingConnection  // it is on its way to another process
	offered               bool                  // or about to be
	stays                 bool                  // that one would not have it
}

// Up has nothing to do.
func (c *connection) Connected(*conn.Conn) {}

// Sent makes the connection one that may be closed for want of descriptors.
func (c *connection) Flushed(transport *conn.Conn) {
	if c.invocation != 0 || c.answerDeferred || c.parser.Started() {
		return
	}
	if transport.SetState(conn.StateFinished); c.used {
		transport.SetState(conn.StateIdle)
	}
}

// Down of a client with an invocation in hand: it has gone away.
func (c *connection) Disconnected(_ *conn.Conn, e conn.CloseReason) {
	d := c.server
	delete(d.connections, c)
	c.slow.Stop()
	d.ClosedConnections[e.String()]++
	if e == conn.NoDescriptor {
		d.Invariants.CheckClose(c.invocation) // it was we who closed it
	}
	if c.invocation != 0 && d.AwaitsAnswer(c.invocation) {
		d.Invariants.CheckAnswer(c.invocation, invariant.Abandoned, e.String())
		d.complete(c.invocation, accounting.Abandoned)
		d.OnEvent(dispatch.ClientDisconnected{Invocation: c.invocation})
	}
}

// idle: nothing of a request is there, and nothing of an answer is left.
func (c *connection) isIdle() bool {
	return c.invocation == 0 && !c.answerDeferred && !c.parser.Started() && c.conn.In.Len() == 0 && c.conn.Unsent() == 0
}

// young: it has just come, and its first request with it.
func (c *connection) awaitsFirstRequest() bool {
	return !c.used && c.server.loop.Now() < c.acceptedAt+firstRequestGrace
}

// part ends an idle connection. A request that has come by now is served first, also where nobody has read it yet: closing
// over it would reset the connection. One that comes later has not been read, and its client sends it again.
func (c *connection) closeIdle() {
	c.closing = true
	c.conn.Detach(func() {
		if c.closing = false; !c.isIdle() || c.conn.Readable() {
			c.conn.Attach()
			return
		}
		c.slow.Stop()
		c.server.Invariants.CheckClose(c.invocation)
		c.server.ClosedConnections[closedIdle]++
		delete(c.server.connections, c)
		c.conn.Close()
	})
}

func (c *connection) closeAfterFlush() {
	c.server.Invariants.CheckClose(c.invocation)
	c.server.ClosedConnections[closedAnswered]++
	delete(c.server.connections, c)
	c.slow.Stop()
	c.conn.CloseAfterFlush()
}

// limitSilence has a connection end that has not brought a whole request in time since it came.
func (c *connection) setFirstReadDeadline() {
	c.slow.Stop()
	c.slow = c.server.loop.After(c.acceptedAt+readTimeout-c.server.loop.Now(), c.readDeadlineExceeded)
}

// late ends a connection that has taken too long for a request. One that never said a word gets none either: an answer
// could cross its request.
func (c *connection) readDeadlineExceeded() {
	if c.slow = nil; c.parser.Started() {
		c.rejectMalformed(408)
		return
	}
	c.server.Counts.Silent++
	c.closeIdle()
}

// Read takes a request in. One at a time: clients wait for answers, so what follows an invocation before its answer is
// the rest of a body longer than its length says, or a request that is hidden in it. The connection ends with that answer.
func (c *connection) DataReceived(transport *conn.Conn) {
	for transport.In.Len() > 0 && c.invocation == 0 && !c.closeAfterAnswer && !c.answerDeferred {
		n, step, err := c.parser.Feed(transport.In.Bytes())
		transport.In.Drop(n)
		if err != nil {
			c.rejectMalformed(err.(*http1.Bad).Status)
			return
		}
		if c.parser.Expects() {
			transport.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		if step == http1.Whole {
			c.slow.Stop()
			c.slow = nil
			transport.SetState(conn.StateActive)
			m := c.parser.Message
			c.closeAfterAnswer = m.Close
			c.route(m)
		}
	}
	if c.invocation != 0 && transport.In.Len() > 0 {
		// More than the ring holds would stop the reading, and its client's leaving would not be seen.
		c.closeAfterAnswer = true
		transport.DiscardInput()
	}
	if !c.parser.Started() || c.closeAfterAnswer || c.answerDeferred {
		return
	}
	transport.SetState(conn.StateReading)
	if c.slow == nil {
		c.slow = c.server.loop.After(readTimeout, c.readDeadlineExceeded)
	}
}

func (c *connection) rejectMalformed(status int) {
	c.server.Counts.Malformed++
	c.closeAfterAnswer = true
	c.answer(status, nil)
}

func (c *connection) answer(status int, body []byte, fields ...http1.Field) {
	if c.closeAfterAnswer = c.closeAfterAnswer || c.closesAfterAnswer(); c.closeAfterAnswer {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	c.conn.Write(http1.Answer(status, body, fields...))
	if c.closeAfterAnswer {
		c.closeAfterFlush()
	}
}

// shuts tells whether the connection ends with the next answer.
func (c *connection) closesAfterAnswer() bool {
	m := c.server.Behavior()
	return m.ClosesIdle && !(m.KeepsCallbacks && c.carriesCallbacks)
}

func (c *connection) route(m *http1.Message) {
	d := c.server
	path, query, _ := strings.Cut(m.Target, "?")
	switch {
	case path == callbackPath:
		c.handleCallback(m)
	case path == readyPath && d.Behavior().Ready:
		c.answer(200, nil)
	case path == readyPath:
		c.answer(503, nil)
	case path == countsPath && d.Admission == nil: // where tenants are served these are other tenants' figures too
		c.answer(200, d.Counters(), http1.Field{Name: "Content-Type", Value: "application/json"})
	case path == historyPath && d.Admission == nil && d.History != nil:
		c.answer(200, d.History(strings.TrimPrefix(query, "id=")), http1.Field{Name: "Content-Type", Value: "text/plain"})
	case m.Method != "POST":
		c.reject(405)
	default:
		c.handleInvocation(m, path)
	}
}

// refuse answers a request that makes no sense.
func (c *connection) reject(status int, fields ...http1.Field) {
	d := c.server
	d.Counts.Malformed++
	if c.consecutiveRejections++; c.consecutiveRejections == 1 || c.closeAfterAnswer || c.closesAfterAnswer() {
		c.answer(status, nil, fields...)
		return
	}
	c.answerDeferred = true
	c.conn.SetState(conn.StateFinished)
	c.slow = d.loop.After(min(rejectionDelayMin<<min(c.consecutiveRejections, 16), rejectionDelayMax), func() {
		c.answerDeferred, c.slow = false, nil
		c.answer(status, nil, fields...)
		if !c.closeAfterAnswer {
			c.DataReceived(c.conn)
		}
	})
}
