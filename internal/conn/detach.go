package conn

import (
	"syscall"
	"time"
)

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// Detach stops the reading and calls done, once, when all that was read is in and all that was queued
// is written: then the socket can pass to another process, or be closed with no request lost that was
// read. done is not called if the connection ends before.
func (c *Conn) Detach(done func()) {
	if c.closed || c.closing || !c.connected || c.onDetached != nil {
		return
	}
	c.removeEvictable()
	c.onDetached = done
	c.netConn.SetReadDeadline(pastDeadline)
	c.loop.After(0, c.checkDetached)
}

// checkDetached calls onDetached if nothing moves any more.
func (c *Conn) checkDetached() {
	if c.onDetached == nil || c.closed || c.closing {
		return
	}
	if c.reading || c.writing || c.Unsent() > 0 {
		return
	}
	done := c.onDetached
	c.onDetached = func() {} // it is called once
	done()
}

// Attach undoes Detach.
func (c *Conn) Attach() {
	c.onDetached = nil
	if c.closed {
		return
	}
	c.addEvictable()
	c.netConn.SetReadDeadline(time.Time{})
	c.startIO()
}

// Established reports whether the connection has come up and not ended.
func (c *Conn) Established() bool { return c.connected && !c.closed }

// Socket returns the connection's descriptor for the process that is to have it; false: there is
// none.
func (c *Conn) Socket() (syscall.Conn, bool) {
	socket, ok := c.netConn.(syscall.Conn)
	return socket, ok && !c.closed
}
