package conn

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed its side of the connection, even if the close has
// not been read yet.
func (c *Conn) PeerClosed() bool { return c.closed || PeerClosed(c.netConn) }

// PeerClosed reports whether the peer of a connection that no Conn manages yet has closed its side.
// Any socket error counts as closed, because the kernel returns a pending error only once: the read
// that follows would not see it.
func PeerClosed(netConn net.Conn) bool {
	closed := false
	peek(netConn, func(fd, n int, err error) {
		switch {
		case err != nil:
			closed = !errors.Is(err, unix.EAGAIN)
		case n == 0:
			closed = true
		default:
			closed = closedAfterUnreadData(fd)
		}
	})
	return closed
}

// closedAfterUnreadData reports whether the peer has closed its side after sending bytes that are
// still unread.
func closedAfterUnreadData(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := ignoringEINTR(func() (int, error) { return DefaultSystemCalls.Poll(fds, 0) })
	return err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Readable reports whether bytes, an EOF or an error were received that the handler has not seen
// yet.
func (c *Conn) Readable() bool {
	return c.closed || c.unseen.present(func() bool { return readableSocket(c.netConn) })
}

// readableSocket reports whether the kernel holds unread input of a connection, an EOF or an error.
func readableSocket(netConn net.Conn) bool {
	readable := false
	peek(netConn, func(_, _ int, err error) { readable = !errors.Is(err, unix.EAGAIN) })
	return readable
}

// peek calls inspect with the descriptor and the result of a one-byte read that leaves the byte in
// the kernel's receive buffer. It does nothing if netConn is not a socket.
func peek(netConn net.Conn, inspect func(fd, n int, err error)) {
	raw, ok := rawSocket(netConn)
	if !ok {
		return
	}
	raw.Control(func(fd uintptr) {
		b := make([]byte, 1)
		n, err := ignoringEINTR(func() (int, error) { return DefaultSystemCalls.Peek(int(fd), b) })
		inspect(int(fd), n, err)
	})
}
