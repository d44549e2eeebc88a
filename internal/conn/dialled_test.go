package conn

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
)

// Only what the peer or the way to it says of itself is a word on the worker. What our own machine has not got is none.
func TestOwnWantIsNoWordOnTheWorker(t *testing.T) {
	for _, c := range []struct {
		errno syscall.Errno
		want  dispatch.Result
	}{{unix.ECONNREFUSED, dispatch.Unreachable}, {unix.ECONNRESET, dispatch.Unreachable}, {unix.ETIMEDOUT, dispatch.Unreachable}, {unix.EHOSTUNREACH, dispatch.Unreachable},
		{unix.EADDRNOTAVAIL, dispatch.Full}, {unix.ENETUNREACH, dispatch.Full}, {unix.ENOBUFS, dispatch.Full}, {unix.ENOMEM, dispatch.Full},
		{unix.EMFILE, dispatch.Full}, {unix.ENFILE, dispatch.Full}, {unix.EAGAIN, dispatch.Full}, {unix.EINTR, dispatch.Full}} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.errno)}
		if e := dialled(fmt.Errorf("wrapped: %w", err)); e.Result() != c.want || !e.NeverRan() {
			t.Errorf("%v ends %q, result %d", c.errno, e, e.Result())
		}
	}
}
