package clients

import (
	"net"
	"time"

	"stoatweir/internal/conn"
)

const (
	// acceptRetryInterval is the time between two attempts to free a descriptor. They are repeated
	// because a connection with a partial request becomes old enough to be evicted without any
	// event.
	acceptRetryInterval = 50 * time.Millisecond
	// acceptErrorDelay is the pause after a failed accept, because the error may persist.
	acceptErrorDelay = time.Millisecond
)

// deadlineListener is a listener whose pending and future accepts a deadline can stop, such as
// net.TCPListener.
type deadlineListener interface {
	SetDeadline(time.Time) error
}

// acceptResult is the event-loop task that handles the outcome of one accept.
type acceptResult struct {
	server *Server
	conn   net.Conn // nil if the accept failed
}

// Listen starts accepting connections from l. The accept goroutine needs a permit for each accept,
// so that it never exhausts the descriptors.
func (s *Server) Listen(l net.Listener) {
	s.listener = l
	s.listening = true
	go func() {
		for range s.acceptPermits { // never closed: the goroutine ends with the process
			netConn, err := s.Accept(l)
			if err != nil {
				netConn = nil // the client left the accept queue or accepting was stopped; acceptNext decides whether to go on
			}
			s.loop.Post(acceptResult{server: s, conn: netConn})
		}
	}()
	s.acceptNext()
}

// Run implements conn.Task.
func (r acceptResult) Run() {
	s := r.server
	s.accepting = false
	if r.conn == nil {
		s.loop.After(acceptErrorDelay, s.acceptNext)
		return
	}
	s.Counts.Connections++
	c := &connection{server: s, acceptedAt: s.loop.Now()}
	s.connections[c] = struct{}{}
	c.conn = s.quota.Adopt(r.conn, c)
	c.conn.SetState(conn.StateNew) // if descriptors run out, older connections without a request are evicted before this one
	c.setFirstReadDeadline()
	s.acceptNext()
}

// acceptNext grants the permit for the next accept once a descriptor is free for it.
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

// descriptorFreed is called when a descriptor becomes free. It grants the permit that waits for
// one, if any.
func (s *Server) descriptorFreed() {
	if !s.awaitsDescriptor {
		return
	}
	s.awaitsDescriptor = false // reset first: acceptNext may free another descriptor, and only one permit may be outstanding
	s.acceptNext()
}

// setListening stops or resumes the accepts of the accept goroutine, if the listener supports
// deadlines.
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

// StopAccepting stops accepting connections. It returns false while the accept goroutine may still
// hold a connection that has not reached the event loop: an exit would close that connection
// without an answer. It returns true once the goroutine waits for a permit, since none is granted
// while accepting is stopped, and at once if the listener supports no deadlines, because the accept
// can't be interrupted then.
func (s *Server) StopAccepting() bool {
	s.stopped = true
	s.setListening(false)
	return !s.accepting || s.listening
}
