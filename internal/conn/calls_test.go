package conn

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// failing has system calls end with errors until the test is over.
func failing(t *testing.T, change func(*SystemCalls)) {
	before := System
	t.Cleanup(func() { System = before })
	change(&System)
}

// accepted gives both ends of a connection.
func accepted(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if far, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// A peer has left in whatever way its connection has ended: the error of a broken one is told once only, and by the call that looks.
func TestLeftByAnyError(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE, unix.ECONNABORTED, unix.ENOTCONN} {
		near, _ := accepted(t)
		failing(t, func(s *SystemCalls) { s.Peek = func(int, []byte) (int, error) { return -1, errno } })
		if !PeerClosed(near) {
			t.Errorf("%v: the peer is taken for one that is there", errno)
		}
	}
}

// once fails the first call of each, as a signal does that comes just then.
func once(s *SystemCalls) {
	peek, poll := s.Peek, s.Poll
	peeked, polled := false, false
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

// A look that is interrupted is taken again.
func TestInterruptedLooks(t *testing.T) {
	for _, behind := range []string{"", "unread"} {
		near, far := accepted(t)
		far.Write([]byte(behind))
		far.Close()
		time.Sleep(20 * time.Millisecond)
		failing(t, once)
		if !PeerClosed(near) {
			t.Errorf("a peer that has left behind %q is taken for one that is there", behind)
		}
	}
	near, far := accepted(t)
	far.Write([]byte("an answer"))
	time.Sleep(20 * time.Millisecond)
	failing(t, once)
	if c := (&Conn{net: near}); !c.Readable() {
		t.Error("an answer that stands there is not seen")
	}
	failing(t, once)
	if near, _ := accepted(t); PeerClosed(near) {
		t.Error("a peer that is there is taken for one that has left")
	}
}
