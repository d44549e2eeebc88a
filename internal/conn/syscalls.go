package conn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SystemCalls are those that connections make by themselves, beside the standard library's. Tests of
// what happens when they fail replace them.
type SystemCalls struct {
	Read  func(fd int, b []byte) (int, error)
	Write func(fd int, b []byte) (int, error)
	Peek  func(fd int, b []byte) (int, error) // reads without waiting, and leaves the bytes unread
	Poll  func(fds []unix.PollFd, timeout int) (int, error)
}

// System is the set of system calls that connections use.
var System = SystemCalls{
	Read:  unix.Read,
	Write: unix.Write,
	Peek: func(fd int, b []byte) (int, error) {
		n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	},
	Poll: unix.Poll,
}

// ignoringEINTR repeats a system call for as long as signals interrupt it.
func ignoringEINTR(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// rawSocket returns a connection's socket; false: it has none, as a pipe.
func rawSocket(netConn net.Conn) (syscall.RawConn, bool) {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	return raw, err == nil
}
