package conn

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// Dial begins a TCP connection to an address, which has the time within to come up; Connected or
// Disconnected of the handler follows.
func (q *Quota) Dial(addr string, within time.Duration, handler Handler) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	c := &Conn{loop: q.loop, quota: q, handler: handler, cancelDial: cancel}
	q.used++
	go func() {
		netConn, err := q.loop.DialContext(ctx, "tcp", addr)
		q.loop.Post(ioEvent{conn: c, netConn: netConn, err: err, kind: dialDone})
	}()
	return c
}

// Adopt drives a connection that a listener has accepted.
func (q *Quota) Adopt(netConn net.Conn, handler Handler) *Conn {
	return q.AdoptBuffered(netConn, nil, handler)
}

// AdoptBuffered drives a connection that another process had, which has read some bytes of it. They must
// fit the ring.
func (q *Quota) AdoptBuffered(netConn net.Conn, read []byte, handler Handler) *Conn {
	q.used++
	c := &Conn{loop: q.loop, quota: q, handler: handler, netConn: netConn, cancelDial: func() {}}
	c.In.Write(read)
	c.start()
	return c
}

// handleDialed takes the connection that was dialled, or the error.
func (c *Conn) handleDialed(netConn net.Conn, err error) {
	c.cancelDial()
	switch {
	case c.closed:
		if netConn != nil {
			netConn.Close()
		}
		c.release()
	case err != nil:
		c.closed = true
		c.release()
		c.handler.Disconnected(c, dialCloseReason(err))
	default:
		c.netConn = netConn
		c.start()
		c.handler.Connected(c)
	}
}

// localErrors are those by which our own machine says that it can't connect to anybody now.
var localErrors = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.EACCES,
}

// dialCloseReason returns how a dial has failed.
func dialCloseReason(err error) CloseReason {
	isLocal := func(errno syscall.Errno) bool { return errors.Is(err, errno) }
	if slices.ContainsFunc(localErrors, isLocal) {
		return LocalError
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return Refused
	}
	return ConnectTimeout
}
