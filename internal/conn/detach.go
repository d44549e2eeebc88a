package conn

import (
	"syscall"
	"time"
)

// Detach stops the reading and tells once, when all that was read is in and all that was written has gone out: then the
// socket can be another process's, or end with no request lost that has been read. It does not tell if the connection
// ends before.
func (c *Conn) Detach(done func()) {
	if c.ended || c.quits || !c.up || c.detached != nil {
		return
	}
	c.unlist()
	c.detached = done
	c.net.SetReadDeadline(time.Unix(1, 0))
	c.loop.After(0, c.still)
}

func (c *Conn) still() {
	if c.detached == nil || c.ended || c.quits || c.reading || c.writing || c.Unsent() > 0 {
		return
	}
	done := c.detached
	c.detached = func() {} // it is told once
	done()
}

// Attach goes on as before.
func (c *Conn) Attach() {
	if c.detached = nil; c.ended {
		return
	}
	c.list()
	c.net.SetReadDeadline(time.Time{})
	c.Resume()
}

// Standing tells whether it has come up and not ended.
func (c *Conn) Standing() bool { return c.up && !c.ended }

// Socket is the connection's descriptor, for whoever is to have it.
func (c *Conn) Socket() (syscall.Conn, bool) {
	socket, is := c.net.(syscall.Conn)
	return socket, is && !c.ended
}
