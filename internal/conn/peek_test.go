package conn

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// PeerClosed must treat every socket error as a close. The kernel returns the error of a broken
// connection only once, and the peek consumes it, so no later call would see that the peer is gone.
func TestPeerClosedOnAnyError(t *testing.T) {
	for _, errno := range []syscall.Errno{
		unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE,
		unix.ECONNABORTED, unix.ENOTCONN,
	} {
		local, _ := connPair(t)
		replaceSystemCalls(t, func(s *SystemCalls) { s.Peek = func(int, []byte) (int, error) { return -1, errno } })
		if !PeerClosed(local) {
			t.Errorf("%v: PeerClosed returned false", errno)
		}
	}
}

// interruptFirst makes the first Peek and the first Poll fail with EINTR, as if a signal had
// interrupted them.
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

// PeerClosed and Readable must repeat a system call that a signal has interrupted, and must not
// take EINTR for input or a close.
func TestPeekRetriesOnEINTR(t *testing.T) {
	for _, unread := range []string{"", "unread"} {
		local, remote := connPair(t)
		remote.Write([]byte(unread))
		remote.Close()
		time.Sleep(20 * time.Millisecond)
		replaceSystemCalls(t, interruptFirst)
		if !PeerClosed(local) {
			t.Errorf("PeerClosed returned false for a peer that sent %q and closed", unread)
		}
	}
	local, remote := connPair(t)
	remote.Write([]byte("an answer"))
	time.Sleep(20 * time.Millisecond)
	replaceSystemCalls(t, interruptFirst)
	if c := (&Conn{netConn: local}); !c.Readable() {
		t.Error("Readable returned false with an answer in the kernel's receive buffer")
	}
	replaceSystemCalls(t, interruptFirst)
	if near, _ := connPair(t); PeerClosed(near) {
		t.Error("PeerClosed returned true for a peer that has not closed")
	}
}
