package conn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writeTimeout is how long a peer may take nothing of what is written to it. A slow reader that takes
// a little now and then gets all of it: cutting an answer short would lose the invocation.
var writeTimeout = 20 * time.Second

// writeRun is a run of bytes for the writer.
type writeRun struct {
	bytes    []byte
	deadline time.Time // no byte is written from then on; zero: nothing bounds it
}

// startWrite gives the writer the next run of bytes, if there are any, and starts it with the first.
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

// startWriter starts the goroutine that writes.
func (c *Conn) startWriter() {
	c.writeRuns = make(chan writeRun, 1)
	go func() {
		for run := range c.writeRuns {
			n, err := run.write(c.netConn)
			c.loop.Post(ioEvent{conn: c, n: n, err: err, kind: writeDone})
		}
	}()
}

// write writes a run as far as its deadline and the write timeout allow.
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
		err = nil // a slow reader has taken some of it: the rest is given to the writer again
	}
	return written, err
}

// writeBeforeDeadline reads the clock before each system call: the writer may run long after the
// socket has become writable.
func (r writeRun) writeBeforeDeadline(raw syscall.RawConn) (written int, err error) {
	waitErr := raw.Write(func(fd uintptr) (done bool) {
		for written < len(r.bytes) {
			if !time.Now().Before(r.deadline) {
				err = os.ErrDeadlineExceeded
				return true
			}
			n, writeErr := System.Write(int(fd), r.bytes[written:])
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
