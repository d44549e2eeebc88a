package conn

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
)

// A dial that is given up sends nothing and notifies nobody.
func TestCloseWhileDialling(t *testing.T) {
	l := NewLoop(time.Now())
	q := l.NewQuota(10)
	addr, stop := listenPeer(func(c net.Conn) {})
	defer stop()
	h := &recordingHandler{}
	q.Dial(addr, time.Second, h).Close()
	runUntil(l, "the descriptor", func() bool { return q.Used() == 0 })
	if len(h.events) > 0 {
		t.Errorf("the handler was notified: %v", h.events)
	}
}

// No connection delays small writes: a close over unread bytes would take them along.
func TestNoDelay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	loop := NewLoop(time.Now())
	q := loop.NewQuota(10)
	h := &recordingHandler{}
	dialled := q.Dial(l.Addr().String(), time.Second, h)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	runUntil(loop, "the connection", func() bool { return len(h.events) > 0 })
	f, err := accepted.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	inherited, err := net.FileConn(f)
	if err != nil {
		t.Fatal(err)
	}
	for name, netConn := range map[string]net.Conn{
		"dialled":   dialled.netConn,
		"accepted":  accepted,
		"inherited": inherited,
	} {
		raw, err := netConn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) {
			if on, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY); on == 0 || err != nil {
				t.Error(name, on, err)
			}
		})
	}
	closeAndWait(loop, dialled)
}

// Only what the peer or the way to it reports says something about the worker. What our own
// machine lacks says nothing.
func TestLocalDialErrorsAreNotTheWorkers(t *testing.T) {
	for errno, want := range map[syscall.Errno]dispatch.Result{
		unix.ECONNREFUSED:  dispatch.Unreachable,
		unix.ECONNRESET:    dispatch.Unreachable,
		unix.ETIMEDOUT:     dispatch.Unreachable,
		unix.EHOSTUNREACH:  dispatch.Unreachable,
		unix.EADDRNOTAVAIL: dispatch.Rejected,
		unix.ENETUNREACH:   dispatch.Rejected,
		unix.ENOBUFS:       dispatch.Rejected,
		unix.ENOMEM:        dispatch.Rejected,
		unix.EMFILE:        dispatch.Rejected,
		unix.ENFILE:        dispatch.Rejected,
		unix.EAGAIN:        dispatch.Rejected,
		unix.EINTR:         dispatch.Rejected,
	} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		reason := dialCloseReason(fmt.Errorf("wrapped: %w", err))
		if reason.Result() != want || !reason.ProvesNotRun() {
			t.Errorf("%v ends %q, result %d", errno, reason, reason.Result())
		}
	}
}
