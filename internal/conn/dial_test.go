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

// Closing a connection while it is being dialled must release its descriptor and must not notify
// the handler.
func TestCloseWhileDialling(t *testing.T) {
	l := NewLoop(time.Now())
	q := l.NewQuota(10)
	addr, stop := listenPeer(func(c net.Conn) {})
	defer stop()
	h := &recordingHandler{}
	q.Dial(addr, time.Second, h).Close()
	runUntil(l, "the release of the descriptor", func() bool { return q.Used() == 0 })
	if len(h.events) > 0 {
		t.Errorf("the handler of a closed connection was notified: %v", h.events)
	}
}

// TCP_NODELAY must be set on every connection, however it was created. A small write that the
// kernel delays would be lost if the connection is closed while it has unread input.
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
				t.Errorf("%s: got TCP_NODELAY %d and error %v, want it on", name, on, err) // TCP_NODELAY is off or could not be read
			}
		})
	}
	closeAndWait(loop, dialled)
}

// Dial errors reported by the peer or the network must count as Unreachable. Errors caused by a
// lack of local resources say nothing about the worker and must count as Rejected, which does not
// eject it.
func TestLocalDialErrorsDoNotEjectWorker(t *testing.T) {
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
			t.Errorf("%v: close reason %q, result %d: wrong result, or not proof that nothing has run", errno, reason, reason.Result())
		}
	}
}
