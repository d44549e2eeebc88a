package conn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SystemCalls are the system calls that this package makes directly instead of through package net.
// Tests replace them to simulate failures.
type SystemCalls struct {
	Read  func(fd int, b []byte) (int, error)
	Write func(fd int, b []byte) (int, error)
	Peek  func(fd int, b []byte) (int, error) // reads without blocking; the bytes stay unread in the kernel
	Poll  func(fds []unix.PollFd, timeout int) (int, error)
}

// DefaultSystemCalls holds the system calls that all connections use. Only tests change it.
var DefaultSystemCalls = SystemCalls{
	Read:  unix.Read,
	Write: unix.Write,
	Peek: func(fd int, b []byte) (int, error) {
		n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	},
	Poll: unix.Poll,
}

// ignoringEINTR repeats a system call until it returns a result other than EINTR.
func ignoringEINTR(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// rawSocket returns access to a connection's socket. It returns false if the connection is not
// backed by a socket, for example a net.Pipe.
func rawSocket(netConn net.Conn) (syscall.RawConn, bool) {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	return raw, err == nil
}
