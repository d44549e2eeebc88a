package conn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Left tells whether the peer has closed its side, also where that has not been read yet.
func (c *Conn) Left() bool { return c.ended || Left(c.net) }

// Left tells the same of a connection that nobody drives yet.
func Left(nc net.Conn) (left bool) {
	peek(nc, func(fd, n int, err error) {
		left = n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
		if n > 0 { // its end may be behind bytes that nobody has read
			ends := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			_, err := System.Poll(ends, 0)
			left = err == nil && ends[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return left
}

// Readable tells whether something has come that its owner has not met yet, an end among it.
func (c *Conn) Readable() bool {
	return c.ended || c.arrived.any(func() (is bool) {
		peek(c.net, func(_, _ int, err error) { is = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) })
		return is
	})
}

// peek looks at what the system holds of a connection.
func peek(nc net.Conn, look func(fd, n int, err error)) {
	socket, is := nc.(syscall.Conn)
	if !is {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		n, err := System.Peek(int(fd), make([]byte, 1))
		look(int(fd), n, err)
	})
}
