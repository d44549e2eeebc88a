package conn

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed its side, also where that has not been read yet.
func (c *Conn) PeerClosed() bool { return c.closed || PeerClosed(c.netConn) }

// PeerClosed reports the same of a connection that no Conn drives yet. However a connection has
// ended, its peer is gone: the error of a broken one is returned once only, to whoever asks first.
func PeerClosed(netConn net.Conn) bool {
	closed := false
	peek(netConn, func(fd, n int, err error) {
		switch {
		case err != nil:
			closed = !errors.Is(err, unix.EAGAIN)
		case n == 0:
			closed = true
		default:
			closed = closedBehindData(fd)
		}
	})
	return closed
}

// closedBehindData reports whether the peer has closed its side behind bytes that are unread.
func closedBehindData(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := ignoringEINTR(func() (int, error) { return System.Poll(fds, 0) })
	return err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Readable reports whether something was received that the handler has not seen yet, an end among it.
func (c *Conn) Readable() bool {
	return c.closed || c.unseen.present(func() bool { return readableSocket(c.netConn) })
}

// readableSocket reports whether the system holds input of a connection, or its end.
func readableSocket(netConn net.Conn) bool {
	readable := false
	peek(netConn, func(_, _ int, err error) { readable = !errors.Is(err, unix.EAGAIN) })
	return readable
}

// peek calls look with what the system holds of a connection. It does nothing without a socket.
func peek(netConn net.Conn, look func(fd, n int, err error)) {
	raw, ok := rawSocket(netConn)
	if !ok {
		return
	}
	raw.Control(func(fd uintptr) {
		b := make([]byte, 1)
		n, err := ignoringEINTR(func() (int, error) { return System.Peek(int(fd), b) })
		look(int(fd), n, err)
	})
}
