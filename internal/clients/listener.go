package clients

import (
	"net"
	"time"

	"stoatweir/internal/conn"
)

const (
	// acceptRetryInterval is the time between two searches for a free descriptor: connections with
	// half a request become old enough to be closed for one without any event that says so.
	acceptRetryInterval = 50 * time.Millisecond
	// acceptErrorDelay is the pause after an accept that failed, as the error may last.
	acceptErrorDelay = time.Millisecond
)

// deadlineListener is what a listener needs to be held off and resumed, as net.TCPListener does.
type deadlineListener interface {
	SetDeadline(time.Time) error
}

// accepted is the task that brings an accepted connection, or the failure to accept one, to the
// event loop.
type accepted struct {
	server *Server
	conn   net.Conn // nil: the accept failed
}

// Listen begins to accept connections. The accept goroutine needs a permit for each, so that it
// never exhausts the descriptors.
func (s *Server) Listen(l net.Listener) {
	s.listener = l
	s.listening = true
	go func() {
		for range s.acceptPermits { // the goroutine ends with the process
			netConn, err := s.Accept(l)
			if err != nil {
				netConn = nil // the client left the queue, or the listener is held off: the loop finds out what follows
			}
			s.loop.Post(accepted{server: s, conn: netConn})
		}
	}()
	s.acceptNext()
}

// Run implements conn.Task.
func (a accepted) Run() {
	s := a.server
	s.accepting = false
	if a.conn == nil {
		s.loop.After(acceptErrorDelay, s.acceptNext)
		return
	}
	s.Counts.Connections++
	c := &connection{server: s, acceptedAt: s.loop.Now()}
	s.connections[c] = struct{}{}
	c.conn = s.quota.Adopt(a.conn, c)
	c.conn.SetState(conn.StateNew) // for want of descriptors, older ones without a request close before it
	c.setFirstReadDeadline()
	s.acceptNext()
}

// acceptNext grants the permit for the next accept, as soon as a descriptor is free for it.
func (s *Server) acceptNext() {
	s.acceptRetry.Stop()
	s.awaitsDescriptor = false
	if s.accepting || s.listener == nil || s.stopped || !s.Behavior().Accepts {
		return
	}
	s.awaitsDescriptor = !s.quota.EnsureFree(0)
	if s.awaitsDescriptor {
		s.acceptRetry = s.loop.After(acceptRetryInterval, s.quota.OnFree)
		return
	}
	s.accepting = true
	s.acceptPermits <- struct{}{}
}

// descriptorFreed grants the permit that waits for a descriptor, if one does.
func (s *Server) descriptorFreed() {
	if !s.awaitsDescriptor {
		return
	}
	s.awaitsDescriptor = false // first, as acceptNext may free another one: one permit at a time
	s.acceptNext()
}

// setListening holds the accept goroutine off, or lets it go on, where the listener can do so.
func (s *Server) setListening(listening bool) {
	listener, supported := s.listener.(deadlineListener)
	if !supported || s.listening == listening {
		return
	}
	s.listening = listening
	if listening {
		listener.SetDeadline(time.Time{})
	} else {
		listener.SetDeadline(time.Unix(1, 0)) // in the past
	}
}

// StopAccepting accepts no more connections. It reports whether the accept goroutine is blocked for
// good: a connection that it has accepted and that has not reached the event loop would be closed
// without an answer.
func (s *Server) StopAccepting() bool {
	s.stopped = true
	s.setListening(false)
	return !s.accepting || s.listening
}
