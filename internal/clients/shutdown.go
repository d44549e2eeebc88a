package clients

import "net/http"

// ApplyBehavior applies a change of the process lifecycle: it starts or stops accepting
// connections, and closes those that may not stay open. Until the behavior demands a close,
// connections stay open, as their clients may have no other server yet. Invocations keep the
// deadlines that their clients gave them, even shortly before the exit: a shorter deadline would
// look like that of a client that has already waited for a long time, and the invocation would be
// rejected at once.
func (s *Server) ApplyBehavior() {
	b := s.Behavior()
	s.stopped = s.stopped && b.ExitsWhenIdle
	s.setListening(b.Accepts && !s.stopped) // queued clients are left to the other process that listens on the same socket
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

// busy reports whether an answer is due on the connection or the connection is in transit to the
// other process.
func (c *connection) busy() bool {
	return c.invocation != noInvocation || c.answerDeferred || c.migration == migrationInTransit
}

// Busy reports whether requests are being read, answers are being written or connections are
// migrating: an exit now would cost a client its answer.
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
