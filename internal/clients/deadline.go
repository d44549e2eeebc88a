package clients

import (
	"net/http"
	"time"
)

const (
	// readTimeout is how long a connection has for a whole request; for the first request, this
	// counts from the accept. A client that sends nothing, or a byte now and then, holds a
	// descriptor and must be cut off within 3 s.
	readTimeout = 2500 * time.Millisecond
	// firstRequestGrace is how long a connection stays open after its accept even while idle
	// connections are closed: its first request may be in transit, and its client counts a close
	// without an answer as a rejection.
	firstRequestGrace = 200 * time.Millisecond
)

// setFirstReadDeadline closes the connection unless a whole request arrives within readTimeout of
// its accept.
func (c *connection) setFirstReadDeadline() {
	c.readTimer.Stop()
	loop := c.server.loop
	c.readTimer = loop.After(c.acceptedAt+readTimeout-loop.Now(), c.readDeadlineExceeded)
}

// readDeadlineExceeded ends a connection on which no whole request has arrived in time. If nothing
// has arrived, it is closed without an answer, because an answer could cross the client's first
// request in transit.
func (c *connection) readDeadlineExceeded() {
	c.readTimer = nil
	if c.parser.Started() {
		c.rejectMalformed(http.StatusRequestTimeout)
		return
	}
	c.server.Counts.ReadTimeouts++
	c.closeIdle()
}

// awaitsFirstRequest reports whether the connection was accepted so recently that its first request
// may still be in transit.
func (c *connection) awaitsFirstRequest() bool {
	return !c.used && c.server.loop.Now() < c.acceptedAt+firstRequestGrace
}
