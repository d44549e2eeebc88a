package conn

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstReadSize is the size of the buffer for a connection's first read, in bytes. Thousands of
	// peers may connect and send nothing, so the ring buffer is allocated only once bytes arrive.
	firstReadSize = 256
	// discardReadSize is how many bytes a discarding reader reads at a time.
	discardReadSize = 64 << 10
	// unpausedBytes is how many bytes a discarding reader reads without pauses. It covers what the
	// kernel may hold, so that a close by the peer after those bytes is seen without delay.
	unpausedBytes = 32 << 20
	// unpausedReads is how many reads a discarding reader makes without pauses, for the same
	// reason.
	unpausedReads = 4 << 10
	// discardPause is the pause after each further read. A peer that sends without end must not use
	// up loop iterations or a CPU core.
	discardPause = time.Millisecond
)

// discardBuffers holds read buffers that are shared by discarding readers.
var discardBuffers = sync.Pool{New: func() any { return new([discardReadSize]byte) }}

// startReader starts the reader goroutine. It reads once into each buffer that it receives; a nil
// buffer makes it discard all input.
func (c *Conn) startReader() {
	c.readRequests = make(chan []byte, 1)
	go func() {
		for b := range c.readRequests {
			n, err := c.serveRead(b)
			c.loop.Post(ioEvent{conn: c, n: n, err: err, kind: readDone})
		}
	}()
}

// serveRead serves one read request. It runs on the reader goroutine.
func (c *Conn) serveRead(b []byte) (int, error) {
	if b != nil {
		return c.receive(b)
	}
	err := c.discardAll()
	c.unseen.mark()
	return 0, err
}

// startRead sends the reader its next request, unless In is full.
func (c *Conn) startRead() {
	var b []byte // nil: discard all input
	switch {
	case c.closing, c.discarding:
	case c.In.Unallocated():
		b = make([]byte, firstReadSize)
		c.firstReadBuffer = b
	default:
		b = c.In.FreeSpace()
		if len(b) == 0 {
			return
		}
	}
	c.reading = true
	c.readRequests <- b
}

// DiscardInput discards the bytes in In and all further input, so that a close by the peer is
// noticed no matter how much it has sent before.
func (c *Conn) DiscardInput() {
	c.discarding = true
	c.In.Discard(c.In.Len())
}

// receive waits for bytes and reads them into b. It runs on the reader goroutine.
func (c *Conn) receive(b []byte) (n int, err error) {
	defer c.unseen.mark() // also marks errors that don't come from a system call, such as a passed deadline
	raw, ok := rawSocket(c.netConn)
	if !ok {
		return c.netConn.Read(b)
	}
	waitErr := raw.Read(func(fd uintptr) (done bool) {
		n, err = c.unseen.read(int(fd), b)
		return !errors.Is(err, unix.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// discardAll reads and discards input until the peer or this side closes the connection. It runs on
// the reader goroutine.
func (c *Conn) discardAll() error {
	b := discardBuffers.Get().(*[discardReadSize]byte)
	defer discardBuffers.Put(b)
	total := 0
	for reads := 1; ; reads++ {
		n, err := c.netConn.Read(b[:])
		if err != nil {
			return err
		}
		total += n
		if reads > unpausedReads || total > unpausedBytes {
			time.Sleep(c.quota.discardPause)
		}
	}
}
