package conn

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A peer is gone in whatever way its connection has ended: the error of a broken one is returned
// once only, to the call that looks.
func TestPeerClosedOnAnyError(t *testing.T) {
	for _, errno := range []syscall.Errno{
		unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE,
		unix.ECONNABORTED, unix.ENOTCONN,
	} {
		near, _ := connPair(t)
		replaceSystemCalls(t, func(s *SystemCalls) { s.Peek = func(int, []byte) (int, error) { return -1, errno } })
		if !PeerClosed(near) {
			t.Errorf("%v: the peer is taken for one that is there", errno)
		}
	}
}

// interruptFirst fails the first call of each, as a signal does that comes just then.
func interruptFirst(s *SystemCalls) {
	peek := s.Peek
	poll := s.Poll
	peeked := false
	polled := false
	s.Peek = func(fd int, b []byte) (int, error) {
		if !peeked {
			peeked = true
			return -1, unix.EINTR
		}
		return peek(fd, b)
	}
	s.Poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if !polled {
			polled = true
			return -1, unix.EINTR
		}
		return poll(fds, timeout)
	}
}

// A look that is interrupted is repeated.
func TestPeekRetriesOnEINTR(t *testing.T) {
	for _, behind := range []string{"", "unread"} {
		near, far := connPair(t)
		far.Write([]byte(behind))
		far.Close()
		time.Sleep(20 * time.Millisecond)
		replaceSystemCalls(t, interruptFirst)
		if !PeerClosed(near) {
			t.Errorf("a peer that has closed behind %q is taken for one that is there", behind)
		}
	}
	near, far := connPair(t)
	far.Write([]byte("an answer"))
	time.Sleep(20 * time.Millisecond)
	replaceSystemCalls(t, interruptFirst)
	if c := (&Conn{netConn: near}); !c.Readable() {
		t.Error("an answer that was received is not seen")
	}
	replaceSystemCalls(t, interruptFirst)
	if near, _ := connPair(t); PeerClosed(near) {
		t.Error("a peer that is there is taken for one that has closed")
	}
}
