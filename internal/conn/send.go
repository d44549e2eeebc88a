package conn

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Outgoing is a message that may become forbidden before it can be written.
type Outgoing struct {
	Bytes []byte
	// Until bounds every byte of it, by the loop's clock; 0: nothing does.
	Until time.Duration
	// Allowed is asked directly before the first byte is written. Open allows it, any other ending is why not. Nil: allowed.
	Allowed func() CloseReason
}

// Send writes a message over a connection that has nothing queued and on which nothing unread stands. Open says that some of it has been written; any other ending is
// why nothing was. What the socket does not take at once follows in the background. If that takes until m.Until, the connection
// ends NotWritten: the last byte is never written.
//
// The permission is asked and the first bytes are written in one go, as a goroutine of its own may run late.
func (c *Conn) Send(m Outgoing) CloseReason {
	if c.ended || c.quits || c.Unsent() > 0 {
		return NotWritten
	}
	if m.Allowed != nil {
		if why := m.Allowed(); why != Open {
			return why
		}
	}
	if c.Readable() {
		return NotWritten // its end, or what would be taken for the answer
	}
	if m.Until > 0 && c.loop.Clock() >= m.Until {
		return NotSent
	}
	written := 0
	if raw, is := rawSocket(c.net); is {
		if written = writeOnce(raw, m.Bytes); written == 0 {
			return NotWritten // it is broken, which its reader will see
		}
	}
	c.writeUntil = c.loop.wall(m.Until)
	if rest := m.Bytes[written:]; len(rest) > 0 {
		c.Write(rest)
	}
	return Open
}

// rawSocket is a connection's socket; a pipe has none.
func rawSocket(nc net.Conn) (syscall.RawConn, bool) {
	socket, is := nc.(syscall.Conn)
	if !is {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	return raw, err == nil
}

// writeOnce writes what the socket takes without waiting.
func writeOnce(raw syscall.RawConn, b []byte) (written int) {
	raw.Control(func(fd uintptr) {
		n, err := System.Write(int(fd), b)
		for errors.Is(err, unix.EINTR) {
			n, err = System.Write(int(fd), b)
		}
		written = max(0, n)
	})
	return written
}

// outRun is a run of bytes for the writing goroutine.
type outRun struct {
	bytes []byte
	until time.Time // no byte is written from then on; zero: nothing bounds it
}

// write writes a run as far as its time and the peer's patience go.
func (r outRun) write(nc net.Conn) (written int, err error) {
	deadline := time.Now().Add(writeWithin)
	bounded := !r.until.IsZero() && r.until.Before(deadline)
	if bounded {
		deadline = r.until
	}
	nc.SetWriteDeadline(deadline)
	if raw, is := rawSocket(nc); is && bounded {
		written, err = r.writeSocket(raw)
	} else {
		written, err = nc.Write(r.bytes)
	}
	if written > 0 && !bounded && errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil // a slow reader has taken some of it: the rest is handed over again
	}
	return written, err
}

// writeSocket looks at the clock before each system call: this goroutine may be run long after the socket has become writable.
func (r outRun) writeSocket(raw syscall.RawConn) (written int, err error) {
	waited := raw.Write(func(fd uintptr) (done bool) {
		for written < len(r.bytes) {
			if !time.Now().Before(r.until) {
				err = os.ErrDeadlineExceeded
				return true
			}
			n, failed := System.Write(int(fd), r.bytes[written:])
			switch {
			case failed == nil:
				written += n
			case errors.Is(failed, unix.EAGAIN):
				return false
			case !errors.Is(failed, unix.EINTR):
				err = os.NewSyscallError("write", failed)
				return true
			}
		}
		return true
	})
	if err == nil {
		err = waited
	}
	return written, err
}

// writeWithin is how long a peer may take nothing of what is written to it. A slow reader that takes a little now and
// then gets all of it: cutting an answer short would lose the invocation.
var writeWithin = 20 * time.Second

// writes begins the other way, with the first bytes that there are for it.
func (c *Conn) writes() {
	c.toWrite = make(chan outRun, 1)
	go func() {
		for run := range c.toWrite {
			n, err := run.write(c.net)
			c.loop.Post(note{Conn: c, n: n, err: err, what: wrote})
		}
	}()
}

// Write queues bytes; what the ring has no room for is kept by reference.
func (c *Conn) Write(b []byte) {
	if c.ended || c.quits {
		return
	}
	if len(c.rest) == 0 {
		c.rest = slices.Clip(b)
	} else {
		c.rest = append(c.rest, b...)
	}
	c.refill()
	c.Resume()
}

func (c *Conn) refill() {
	n := c.out.Write(c.rest)
	if c.rest = c.rest[n:]; len(c.rest) == 0 {
		c.rest = nil
	}
}

// Unsent counts the bytes that have not gone out.
func (c *Conn) Unsent() int { return c.out.Len() + len(c.rest) }
