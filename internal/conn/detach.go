package conn

import (
	"syscall"
	"time"
)

// pastDeadline is a deadline in the past, which interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// Detach stops reading and calls done, once, when all bytes that were read are in In and all queued
// bytes are written. The socket can then be passed to another process, or closed without losing a
// request that was already read. If the connection ends first, done is not called.
func (c *Conn) Detach(done func()) {
	if c.closed || c.closing || !c.connected || c.onDetached != nil {
		return
	}
	c.removeEvictable()
	c.onDetached = done
	c.netConn.SetReadDeadline(pastDeadline)
	c.loop.After(0, c.checkDetached)
}

// checkDetached calls onDetached if no read or write is in progress and no bytes are queued.
func (c *Conn) checkDetached() {
	if c.onDetached == nil || c.closed || c.closing {
		return
	}
	if c.reading || c.writing || c.Unsent() > 0 {
		return
	}
	done := c.onDetached
	c.onDetached = func() {} // not nil, as the connection stays detached; done is called only once
	done()
}

// Attach undoes Detach: reading resumes, and the connection may be evicted again.
func (c *Conn) Attach() {
	c.onDetached = nil
	if c.closed {
		return
	}
	c.addEvictable()
	c.netConn.SetReadDeadline(time.Time{})
	c.startIO()
}

// Established reports whether the connection was established and has not ended.
func (c *Conn) Established() bool { return c.connected && !c.closed }

// Socket returns the connection's socket, for passing its descriptor to another process. It returns
// false if the connection is closed or is not a socket.
func (c *Conn) Socket() (syscall.Conn, bool) {
	socket, ok := c.netConn.(syscall.Conn)
	return socket, ok && !c.closed
}
