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
	// firstReadSize, in bytes, is the buffer of a connection's first read: thousands may connect and
	// send nothing, and the ring is for those that do.
	firstReadSize = 256
	// discardChunk, in bytes, is how much a discarding reader reads at a time.
	discardChunk = 64 << 10
	// unpacedBytes is how much a discarding reader throws away without pauses: the peer may have
	// closed behind what the system holds of it, and that is to be seen at once.
	unpacedBytes = 32 << 20
	// unpacedReads is the number of reads for which the same holds.
	unpacedReads = 4 << 10
	// discardPause is the pause after each further read: a peer that sends without end must cost
	// neither iterations of the loop nor the core.
	discardPause = time.Millisecond
)

// discardBuffers are shared by the readers that discard.
var discardBuffers = sync.Pool{New: func() any { return new([discardChunk]byte) }}

// startReader starts the goroutine that reads. It reads once for each buffer that it is given; nil
// asks it to discard all input.
func (c *Conn) startReader() {
	c.readRequests = make(chan []byte, 1)
	go func() {
		for b := range c.readRequests {
			n, err := c.serveRead(b)
			c.loop.Post(ioEvent{conn: c, n: n, err: err, kind: readDone})
		}
	}()
}

// serveRead serves one request of the loop in the reader.
func (c *Conn) serveRead(b []byte) (int, error) {
	if b != nil {
		return c.receive(b)
	}
	err := c.discardAll()
	c.unseen.mark()
	return 0, err
}

// startRead gives the reader its next request, unless In is full.
func (c *Conn) startRead() {
	var b []byte // nil: discard
	switch {
	case c.closing, c.discarding:
	case c.In.Empty():
		b = make([]byte, firstReadSize)
		c.firstBuffer = b
	default:
		b = c.In.Room()
		if len(b) == 0 {
			return
		}
	}
	c.reading = true
	c.readRequests <- b
}

// DiscardInput throws away whatever is still received, so that the peer's close is seen however much
// that is.
func (c *Conn) DiscardInput() {
	c.discarding = true
	c.In.Drop(c.In.Len())
}

// receive waits for bytes in the reader.
func (c *Conn) receive(b []byte) (n int, err error) {
	defer c.unseen.mark() // an error that no system call has returned, such as a deadline
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

// discardAll reads in the reader until the connection ends, by its peer or by us.
func (c *Conn) discardAll() error {
	b := discardBuffers.Get().(*[discardChunk]byte)
	defer discardBuffers.Put(b)
	total := 0
	for reads := 1; ; reads++ {
		n, err := c.netConn.Read(b[:])
		if err != nil {
			return err
		}
		total += n
		if reads > unpacedReads || total > unpacedBytes {
			time.Sleep(c.quota.discardPause)
		}
	}
}
