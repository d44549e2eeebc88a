package conn

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// arrivals tells whether bytes, or an end, have come that the owner of a connection has not met. They are in the system's hands,
// or on their way through the reading goroutine and the inbox. The lock is held over the system call that takes them out of the
// one and the mark that shows them in the other: between the two they would be seen in neither.
type arrivals struct {
	mu     sync.Mutex
	marked bool
}

// take reads what is there without waiting, and marks it.
func (a *arrivals) take(fd int, b []byte) (n int, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, err = System.Read(fd, b)
	for errors.Is(err, unix.EINTR) {
		n, err = System.Read(fd, b)
	}
	a.marked = a.marked || !errors.Is(err, unix.EAGAIN)
	return n, err
}

// mark notes that something has come in another way.
func (a *arrivals) mark() {
	a.mu.Lock()
	a.marked = true
	a.mu.Unlock()
}

// met says that the owner has what had come.
func (a *arrivals) met() {
	a.mu.Lock()
	a.marked = false
	a.mu.Unlock()
}

// any tells whether something is marked, or is with the system by the word of peek.
func (a *arrivals) any(peek func() bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.marked || peek()
}

// receive waits for bytes on behalf of the reading goroutine.
func (c *Conn) receive(b []byte) (n int, err error) {
	defer c.arrived.mark() // an error that no system call has given, such as a deadline
	raw, is := rawSocket(c.net)
	if !is {
		return c.net.Read(b)
	}
	waited := raw.Read(func(fd uintptr) (done bool) {
		n, err = c.arrived.take(int(fd), b)
		return !errors.Is(err, unix.EAGAIN)
	})
	switch {
	case waited != nil:
		return 0, waited
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// swallow reads until the connection ends, by its peer or by us.
func (c *Conn) swallow() error {
	b := gulps.Get().(*[gulp]byte)
	defer gulps.Put(b)
	for reads, bytes := 1, 0; ; reads++ {
		n, err := c.net.Read(b[:])
		if err != nil {
			return err
		}
		if bytes += n; reads > briskReads || bytes > briskBytes {
			time.Sleep(c.share.rest)
		}
	}
}

var gulps = sync.Pool{New: func() any { return new([gulp]byte) }}

// firstly is what a connection's first bytes are read into: thousands may connect and say nothing, and the ring is for
// those that do.
const firstly = 256

// Ignore throws away whatever still comes, so that its end is seen however much that is.
func (c *Conn) DiscardInput() {
	c.ignores = true
	c.In.Drop(c.In.Len())
}

func (c *Conn) read() {
	var b []byte // none: to be swallowed
	switch {
	case c.quits, c.ignores:
	case c.In.Empty():
		b = make([]byte, firstly)
		c.first = b
	default:
		if b = c.In.Room(); len(b) == 0 {
			return
		}
	}
	c.reading = true
	c.toRead <- b
}
