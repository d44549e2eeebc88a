package clients

import "net/http"

// ApplyBehavior follows a change of the process's lifecycle: it accepts or stops accepting, and
// closes the connections that may not stay open. Until it says so connections stay open, as their
// clients may have no other server yet. The deadlines of invocations stay as the clients gave them,
// also near the end: a shorter one would look like that of a client that has waited for long, and
// would be rejected at once.
func (s *Server) ApplyBehavior() {
	b := s.Behavior()
	s.stopped = s.stopped && b.ExitsWhenIdle
	s.setListening(b.Accepts && !s.stopped) // clients in the queue are for the other process that listens on the same socket
	s.acceptNext()
	for c := range s.connections {
		switch {
		case c.busy() || b.KeepsCallbacks && c.carriesCallbacks:
		case b.ClosesPartial && c.parser.Started() && !c.closeAfterAnswer:
			c.rejectMalformed(http.StatusRequestTimeout)
		case b.ClosesIdle && c.isIdle() && !c.awaitsFirstRequest():
			c.closeIdle()
		}
	}
}

// busy reports whether an answer is due on the connection, or whether it is in transit to the other
// process.
func (c *connection) busy() bool {
	return c.invocation != noInvocation || c.answerDeferred || c.migration == migrationInTransit
}

// Busy reports whether requests are being read, answers being written, or connections being
// migrated: an exit now would cost a client its answer.
func (s *Server) Busy() bool {
	if s.migrating > 0 {
		return true
	}
	for c := range s.connections {
		if c.conn.Unsent() > 0 || c.parser.Started() || c.answerDeferred || c.closing || c.awaitsFirstRequest() {
			return true
		}
	}
	return !s.quota.AllFlushed()
}
