package conn

import (
	"slices"
	"syscall"
	"time"
)

// Outgoing is a message that may be sent only under certain conditions, which are checked right
// before sending.
type Outgoing struct {
	Bytes []byte
	// Deadline is a time of the loop's clock at and after which no byte may be written; 0: no limit.
	Deadline time.Duration
	// CheckAllowed is called right before the first byte is written. It returns NotClosed to permit the
	// message, or the reason against it. If nil, the message is permitted.
	CheckAllowed func() CloseReason
}

// Send writes a message to a connection that has no queued bytes and no unread input. It returns
// NotClosed if the message was started, and otherwise the reason why no byte of it was written. Bytes
// that the socket does not accept at once are written in the background. If that is not done by
// m.Deadline, the connection ends with NotWritten, and the last byte is never written.
//
// The check of CheckAllowed and the first write happen together on the loop goroutine, because the
// writer goroutine may be scheduled late, when the message is no longer permitted.
func (c *Conn) Send(m Outgoing) CloseReason {
	if c.closed || c.closing || c.Unsent() > 0 {
		return NotWritten
	}
	if m.CheckAllowed != nil {
		if reason := m.CheckAllowed(); reason != NotClosed {
			return reason
		}
	}
	if c.Readable() {
		return NotWritten // unread input: the connection's end, or bytes that would be taken for the response
	}
	if m.Deadline > 0 && c.loop.Clock() >= m.Deadline {
		return NotSent
	}
	written := 0
	if raw, ok := rawSocket(c.netConn); ok {
		written = writeOnce(raw, m.Bytes)
		if written == 0 {
			return NotWritten // the connection is broken; the reader will report that
		}
	}
	c.writeDeadline = c.loop.wallTime(m.Deadline)
	if remaining := m.Bytes[written:]; len(remaining) > 0 {
		c.Write(remaining)
	}
	return NotClosed
}

// writeOnce makes one write system call, which does not block, and returns the number of bytes
// written; 0 after an error.
func writeOnce(raw syscall.RawConn, b []byte) int {
	written := 0
	raw.Control(func(fd uintptr) {
		n, _ := ignoringEINTR(func() (int, error) { return DefaultSystemCalls.Write(int(fd), b) })
		written = max(0, n)
	})
	return written
}

// Write queues bytes to be written. Those that don't fit into the ring buffer are kept by
// reference, so the caller must not modify b afterwards. On a closed or closing connection it does
// nothing.
func (c *Conn) Write(b []byte) {
	if c.closed || c.closing {
		return
	}
	if len(c.overflow) == 0 {
		c.overflow = slices.Clip(b)
	} else {
		c.overflow = append(c.overflow, b...)
	}
	c.fillOut()
	c.startIO()
}

// fillOut moves bytes from overflow into the ring buffer as far as they fit.
func (c *Conn) fillOut() {
	n := c.out.Write(c.overflow)
	c.overflow = c.overflow[n:]
	if len(c.overflow) == 0 {
		c.overflow = nil
	}
}

// Unsent returns the number of queued bytes that the writer has not reported as written.
func (c *Conn) Unsent() int { return c.out.Len() + len(c.overflow) }
