package conn

import (
	"slices"
	"syscall"
	"time"
)

// Outgoing is a message that may become forbidden before it can be written.
type Outgoing struct {
	Bytes []byte
	// Until bounds every byte of it, by the loop's clock; 0: nothing does.
	Until time.Duration
	// Allowed is asked directly before the first byte is written. Open allows it, any other reason is
	// why not. Nil: allowed.
	Allowed func() CloseReason
}

// Send writes a message over a connection that has nothing queued and nothing unread. Open: some of
// it has been written; any other reason is why nothing was. What the socket does not take at once
// follows in the background. If that takes until m.Until, the connection ends NotWritten: the last
// byte is never written.
//
// The permission is asked and the first bytes are written in one go, as a goroutine of its own may
// run late.
func (c *Conn) Send(m Outgoing) CloseReason {
	if c.closed || c.closing || c.Unsent() > 0 {
		return NotWritten
	}
	if m.Allowed != nil {
		if reason := m.Allowed(); reason != Open {
			return reason
		}
	}
	if c.Readable() {
		return NotWritten // its end, or what would be taken for the response
	}
	if m.Until > 0 && c.loop.Clock() >= m.Until {
		return NotSent
	}
	written := 0
	if raw, ok := rawSocket(c.netConn); ok {
		written = writeOnce(raw, m.Bytes)
		if written == 0 {
			return NotWritten // it is broken, which its reader will see
		}
	}
	c.writeDeadline = c.loop.wallTime(m.Until)
	if remaining := m.Bytes[written:]; len(remaining) > 0 {
		c.Write(remaining)
	}
	return Open
}

// writeOnce writes what the socket takes without waiting and returns how much that was.
func writeOnce(raw syscall.RawConn, b []byte) int {
	written := 0
	raw.Control(func(fd uintptr) {
		n, _ := ignoringEINTR(func() (int, error) { return System.Write(int(fd), b) })
		written = max(0, n)
	})
	return written
}

// Write queues bytes; what the ring has no room for is kept by reference.
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

// fillOut moves queued bytes into the ring as far as it has room.
func (c *Conn) fillOut() {
	n := c.out.Write(c.overflow)
	c.overflow = c.overflow[n:]
	if len(c.overflow) == 0 {
		c.overflow = nil
	}
}

// Unsent returns the number of bytes that are queued and not known to be written.
func (c *Conn) Unsent() int { return c.out.Len() + len(c.overflow) }
