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
	door    *Server
	c       *conn.Conn
	parser  http1.Parser
	inv     dispatch.InvocationID // 0: nothing in hand
	last    bool                  // the connection ends with the present answer
	slow    *conn.Timer           // the next request has to be whole by then, or the answer to the present one waits
	waits   bool                  // for that
	strays  int                   // requests in a row that made no sense
	useful  bool                  // it has brought an invocation or news
	brings  bool                  // the latter
	came    time.Duration         // the connection
	parts   bool                  // it ends unless a request of it has been read
	parcel  *MigratingConnection  // it is on its way to another process
	offered bool                  // or about to be
	stays   bool                  // that one would not have it
}

// Up has nothing to do.
func (v *connection) Connected(*conn.Conn) {}

// Sent makes the connection one that may be closed for want of descriptors.
func (v *connection) Flushed(c *conn.Conn) {
	if v.inv != 0 || v.waits || v.parser.Started() {
		return
	}
	if c.SetState(conn.StateFinished); v.useful {
		c.SetState(conn.StateIdle)
	}
}

// Down of a client with an invocation in hand: it has gone away.
func (v *connection) Disconnected(_ *conn.Conn, e conn.CloseReason) {
	d := v.door
	delete(d.connections, v)
	v.slow.Stop()
	d.ClosedConnections[e.String()]++
	if e == conn.NoDescriptor {
		d.Invariants.CheckClose(v.inv) // it was we who closed it
	}
	if v.inv != 0 && d.AwaitsAnswer(v.inv) {
		d.Invariants.CheckAnswer(v.inv, invariant.Abandoned, e.String())
		d.forget(v.inv, accounting.Abandoned)
		d.OnEvent(dispatch.ClientDisconnected{Invocation: v.inv})
	}
}

// idle: nothing of a request is there, and nothing of an answer is left.
func (v *connection) idle() bool {
	return v.inv == 0 && !v.waits && !v.parser.Started() && v.c.In.Len() == 0 && v.c.Unsent() == 0
}

// young: it has just come, and its first request with it.
func (v *connection) young() bool { return !v.useful && v.door.loop.Now() < v.came+firstIn }

// part ends an idle connection. A request that has come by now is served first, also where nobody has read it yet: closing
// over it would reset the connection. One that comes later has not been read, and its client sends it again.
func (v *connection) part() {
	v.parts = true
	v.c.Detach(func() {
		if v.parts = false; !v.idle() || v.c.Readable() {
			v.c.Attach()
			return
		}
		v.slow.Stop()
		v.door.Invariants.CheckClose(v.inv)
		v.door.ClosedConnections[endedIdle]++
		delete(v.door.connections, v)
		v.c.Close()
	})
}

func (v *connection) quit() {
	v.door.Invariants.CheckClose(v.inv)
	v.door.ClosedConnections[endedAnswered]++
	delete(v.door.connections, v)
	v.slow.Stop()
	v.c.CloseAfterFlush()
}

// limitSilence has a connection end that has not brought a whole request in time since it came.
func (v *connection) limitSilence() {
	v.slow.Stop()
	v.slow = v.door.loop.After(v.came+readIn-v.door.loop.Now(), v.late)
}

// late ends a connection that has taken too long for a request. One that never said a word gets none either: an answer
// could cross its request.
func (v *connection) late() {
	if v.slow = nil; v.parser.Started() {
		v.malformed(408)
		return
	}
	v.door.Counts.Silent++
	v.part()
}

// Read takes a request in. One at a time: clients wait for answers, so what follows an invocation before its answer is
// the rest of a body longer than its length says, or a request that is hidden in it. The connection ends with that answer.
func (v *connection) DataReceived(c *conn.Conn) {
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
			c.SetState(conn.StateActive)
			m := v.parser.Message
			v.last = m.Close
			v.take(m)
		}
	}
	if v.inv != 0 && c.In.Len() > 0 {
		// More than the ring holds would stop the reading, and its client's leaving would not be seen.
		v.last = true
		c.DiscardInput()
	}
	if !v.parser.Started() || v.last || v.waits {
		return
	}
	c.SetState(conn.StateReading)
	if v.slow == nil {
		v.slow = v.door.loop.After(readIn, v.late)
	}
}

func (v *connection) malformed(status int) {
	v.door.Counts.Malformed++
	v.last = true
	v.answer(status, nil)
}

func (v *connection) answer(status int, body []byte, fields ...http1.Field) {
	if v.last = v.last || v.shuts(); v.last {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	v.c.Write(http1.Answer(status, body, fields...))
	if v.last {
		v.quit()
	}
}

// shuts tells whether the connection ends with the next answer.
func (v *connection) shuts() bool {
	m := v.door.Behavior()
	return m.ClosesIdle && !(m.KeepsCallbacks && v.brings)
}

func (v *connection) take(m *http1.Message) {
	d := v.door
	path, query, _ := strings.Cut(m.Target, "?")
	switch {
	case path == newsPath:
		v.news(m)
	case path == readyPath && d.Behavior().Ready:
		v.answer(200, nil)
	case path == readyPath:
		v.answer(503, nil)
	case path == countsPath && d.Admission == nil: // where tenants are served these are other tenants' figures too
		v.answer(200, d.Counters(), http1.Field{Name: "Content-Type", Value: "application/json"})
	case path == historyPath && d.Admission == nil && d.History != nil:
		v.answer(200, d.History(strings.TrimPrefix(query, "id=")), http1.Field{Name: "Content-Type", Value: "text/plain"})
	case m.Method != "POST":
		v.refuse(405)
	default:
		v.invocation(m, path)
	}
}

// refuse answers a request that makes no sense.
func (v *connection) refuse(status int, fields ...http1.Field) {
	d := v.door
	d.Counts.Malformed++
	if v.strays++; v.strays == 1 || v.last || v.shuts() {
		v.answer(status, nil, fields...)
		return
	}
	v.waits = true
	v.c.SetState(conn.StateFinished)
	v.slow = d.loop.After(min(patienceFirst<<min(v.strays, 16), patienceMost), func() {
		v.waits, v.slow = false, nil
		v.answer(status, nil, fields...)
		if !v.last {
			v.DataReceived(v.c)
		}
	})
}
