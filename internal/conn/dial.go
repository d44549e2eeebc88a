package conn

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// Dial starts to establish a TCP connection to an address. The handler's Connected is called when
// it is established, Disconnected if that fails or takes longer than timeout.
func (q *Quota) Dial(addr string, timeout time.Duration, handler Handler) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &Conn{loop: q.loop, quota: q, handler: handler, cancelDial: cancel}
	q.used++
	go func() {
		netConn, err := q.loop.DialContext(ctx, "tcp", addr)
		q.loop.Post(ioEvent{conn: c, netConn: netConn, err: err, kind: dialDone})
	}()
	return c
}

// Adopt returns a Conn for a connection that a listener has accepted, and starts to read from it.
// It counts towards the quota, but does not check the limit.
func (q *Quota) Adopt(netConn net.Conn, handler Handler) *Conn {
	return q.AdoptBuffered(netConn, nil, handler)
}

// AdoptBuffered returns a Conn for a connection taken over from another process. read holds the
// bytes that the other process has received and not handled; they become the content of In and must
// fit into the ring buffer.
func (q *Quota) AdoptBuffered(netConn net.Conn, read []byte, handler Handler) *Conn {
	q.used++
	c := &Conn{loop: q.loop, quota: q, handler: handler, netConn: netConn, cancelDial: func() {}}
	c.In.Write(read)
	c.start()
	return c
}

// handleDialed handles the result of a dial. A connection that was closed meanwhile gives up its
// descriptor without a notification.
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

// localErrors are the dial errors that mean that this machine can't connect to any peer at the
// moment.
var localErrors = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.EACCES,
}

// dialCloseReason returns the close reason for a dial error. Errors that are neither local nor a
// refusal count as ConnectTimeout.
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
