package conn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writeTimeout is how long a peer may accept no bytes before its connection is closed. A slow peer
// that accepts some bytes in every such interval is sent everything, because a truncated answer
// would lose the invocation.
var writeTimeout = 20 * time.Second

// writeRun is a contiguous run of bytes for the writer.
type writeRun struct {
	bytes    []byte
	deadline time.Time // no byte is written at or after this time; zero: no deadline
}

// startWrite passes the next run of queued bytes, if any, to the writer, which is started on first
// use.
func (c *Conn) startWrite() {
	b := c.out.Bytes()
	if len(b) == 0 {
		return
	}
	c.writing = true
	if c.writeRuns == nil {
		c.startWriter()
	}
	c.writeRuns <- writeRun{bytes: b, deadline: c.writeDeadline}
}

// startWriter starts the writer goroutine. It reports to the loop after each run.
func (c *Conn) startWriter() {
	c.writeRuns = make(chan writeRun, 1)
	go func() {
		for run := range c.writeRuns {
			n, err := run.write(c.netConn)
			c.loop.Post(ioEvent{conn: c, n: n, err: err, kind: writeDone})
		}
	}()
}

// write writes the run until its deadline or the write timeout passes, and returns the number of
// bytes written. It returns no error if the write timeout passed after some bytes were written.
func (r writeRun) write(netConn net.Conn) (written int, err error) {
	deadline := time.Now().Add(writeTimeout)
	bounded := !r.deadline.IsZero() && r.deadline.Before(deadline)
	if bounded {
		deadline = r.deadline
	}
	netConn.SetWriteDeadline(deadline)
	if raw, ok := rawSocket(netConn); ok && bounded {
		written, err = r.writeBeforeDeadline(raw)
	} else {
		written, err = netConn.Write(r.bytes)
	}
	if written > 0 && !bounded && errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil // a slow peer has accepted some bytes; the loop passes the rest to the writer again
	}
	return written, err
}

// writeBeforeDeadline writes the run and checks the deadline before each system call, as the writer
// may be scheduled long after the socket has become writable.
func (r writeRun) writeBeforeDeadline(raw syscall.RawConn) (written int, err error) {
	waitErr := raw.Write(func(fd uintptr) (done bool) {
		for written < len(r.bytes) {
			if !time.Now().Before(r.deadline) {
				err = os.ErrDeadlineExceeded
				return true
			}
			n, writeErr := DefaultSystemCalls.Write(int(fd), r.bytes[written:])
			switch {
			case writeErr == nil:
				written += n
			case errors.Is(writeErr, unix.EAGAIN):
				return false
			case !errors.Is(writeErr, unix.EINTR):
				err = os.NewSyscallError("write", writeErr)
				return true
			}
		}
		return true
	})
	if err == nil {
		err = waitErr
	}
	return written, err
}
