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
		{unix.EADDRNOTAVAIL, dispatch.Rejected}, {unix.ENETUNREACH, dispatch.Rejected}, {unix.ENOBUFS, dispatch.Rejected}, {unix.ENOMEM, dispatch.Rejected},
		{unix.EMFILE, dispatch.Rejected}, {unix.ENFILE, dispatch.Rejected}, {unix.EAGAIN, dispatch.Rejected}, {unix.EINTR, dispatch.Rejected}} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.errno)}
		if e := dialled(fmt.Errorf("wrapped: %w", err)); e.Result() != c.want || !e.ProvesNotRun() {
			t.Errorf("%v ends %q, result %d", c.errno, e, e.Result())
		}
	}
}
