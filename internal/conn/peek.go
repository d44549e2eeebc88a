package conn

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Left tells whether the peer has closed its side, also where that has not been read yet.
func (c *Conn) PeerClosed() bool { return c.ended || PeerClosed(c.net) }

// Left tells the same of a connection that nobody drives yet. However a connection has ended, its peer is gone: the error of a broken one
// is told once only, to whoever asks first.
func PeerClosed(nc net.Conn) (left bool) {
	peek(nc, func(fd, n int, err error) {
		switch {
		case err != nil:
			left = !errors.Is(err, unix.EAGAIN)
		case n == 0:
			left = true
		default: // its end may be behind bytes that nobody has read
			left = endBehind(fd)
		}
	})
	return left
}

// endBehind tells whether a connection has ended behind bytes that stand there.
func endBehind(fd int) bool {
	ends := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := System.Poll(ends, 0)
	for errors.Is(err, unix.EINTR) {
		_, err = System.Poll(ends, 0)
	}
	return err == nil && ends[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Readable tells whether something has come that its owner has not met yet, an end among it.
func (c *Conn) Readable() bool {
	return c.ended || c.arrived.any(func() (is bool) {
		peek(c.net, func(_, _ int, err error) { is = !errors.Is(err, unix.EAGAIN) })
		return is
	})
}

// peek looks at what the system holds of a connection, again where it is interrupted.
func peek(nc net.Conn, look func(fd, n int, err error)) {
	raw, is := rawSocket(nc)
	if !is {
		return
	}
	raw.Control(func(fd uintptr) {
		one := make([]byte, 1)
		n, err := System.Peek(int(fd), one)
		for errors.Is(err, unix.EINTR) {
			n, err = System.Peek(int(fd), one)
		}
		look(int(fd), n, err)
	})
}
