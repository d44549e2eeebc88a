package conn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"stoatweir/internal/ring"
)

const (
	// lingers is how long a closed connection may still take in what its peer sends, as closing with unread bytes
	// would reset it and could cost the peer the answer.
	lingers = 2 * time.Second
	// What is taken in then is thrown away by the goroutine, in large gulps with a rest after each: a peer that
	// sends without end must cost neither turns of the loop nor the core. The first of it goes without: the peer may have
	// gone behind what the system holds of it, and that is to be seen at once.
	gulp, briskBytes, briskReads = 64 << 10, 32 << 20, 4 << 10
	// arrives is how long a last answer may take to its peer, which ends the connection then: with bytes of its own unread
	// here, the end of the program would reset it.
	arrives = 100 * time.Millisecond
	rest    = time.Millisecond
)

// Owner is told of a connection, in the loop. Down comes once and last, and not after Close.
type Handler interface {
	Connected(c *Conn)                   // a dialled connection is up
	DataReceived(c *Conn)                // In holds more bytes
	Flushed(c *Conn)                     // all that was written has gone out
	Disconnected(c *Conn, e CloseReason) // it has ended
}

// Conn is a connection with one ring a direction. A goroutine each way moves bytes between socket and ring, and
// owns just the run of bytes that it was handed; all else belongs to the loop.
type Conn struct {
	In ring.Buffer

	loop             *Loop
	share            *Quota
	owner            Handler
	net              net.Conn
	abort            context.CancelFunc
	out              ring.Buffer
	rest             []byte // waits for room in out
	first            []byte // is being read into, as long as there is no ring
	toRead           chan []byte
	toWrite          chan outRun
	writeUntil       time.Time // bounds what is queued; zero: nothing does
	reading, writing bool      // a run of bytes is with the goroutine
	arrived          arrivals
	up, ended, quits bool
	ignores          bool   // what still comes is thrown away
	deaf             bool   // nothing more is read
	detached         func() // is told once nothing moves any more; nil: all goes its way
	ending           CloseReason
	use              State
	since            time.Duration // it has had that use
}

type note struct {
	*Conn
	net  net.Conn
	n    int
	err  error
	what what
}

type what uint8

const (
	dialed what = iota
	read
	wrote
)

func (c *Conn) begin() {
	c.up = true
	c.toRead = make(chan []byte, 1)
	go func() {
		for b := range c.toRead {
			n, err := 0, error(nil)
			if b == nil {
				err = c.swallow()
				c.arrived.mark()
			} else {
				n, err = c.receive(b)
			}
			c.loop.Post(note{Conn: c, n: n, err: err, what: read})
		}
	}()
	c.Resume()
}

// Take reads what a goroutine has left.
func (n note) Run() {
	c := n.Conn
	switch n.what {
	case dialed:
		c.dialed(n)
		return
	case read:
		c.reading = false
		c.arrived.met()
		if c.detached != nil && errors.Is(n.err, os.ErrDeadlineExceeded) {
			n.err = nil // that is what ended the read
		}
		first := c.first
		if c.first = nil; n.n > 0 && !c.ended && !c.quits {
			if first != nil {
				c.In.Write(first[:n.n])
			} else {
				c.In.Add(n.n)
			}
			c.owner.DataReceived(c)
		}
	case wrote:
		c.writing = false
		c.out.Drop(n.n)
		if !c.ended {
			c.refill()
		}
	}
	if n.err != nil && !c.ended {
		if c.quits && n.what == read && c.Unsent() > 0 {
			c.deaf = true // a peer that has said all may still wait for the answer
		} else {
			c.fail(n)
		}
	}
	if c.ended {
		c.settle()
		return
	}
	c.Resume()
	defer c.still()
	if n.what == wrote && c.Unsent() == 0 {
		if c.quits {
			c.shut()
		} else {
			c.owner.Flushed(c)
		}
	}
}

// fail takes note of a break. What is still with the writer decides whether the request had gone out, so that its
// word is waited for.
func (c *Conn) fail(n note) {
	e := Reset
	if errors.Is(n.err, io.EOF) {
		e = Closed
	} else if errors.Is(n.err, os.ErrDeadlineExceeded) {
		e = Stalled
	}
	c.end(e)
}

func (c *Conn) end(e CloseReason) {
	c.ended, c.ending = true, e
	c.release()
	c.net.Close()
	close(c.toRead)
	if c.toWrite != nil {
		close(c.toWrite)
	}
}

// settle lets go of a connection that has ended once both goroutines have given their bytes back.
func (c *Conn) settle() {
	if c.reading || c.writing {
		return
	}
	unsent := c.Unsent() > 0
	c.In.Free()
	c.out.Free()
	if owner := c.owner; owner != nil {
		c.owner = nil
		if unsent {
			c.ending = NotWritten
		}
		owner.Disconnected(c, c.ending)
	}
}

// Close ends the connection at once; the owner hears no more of it.
func (c *Conn) Close() {
	switch c.owner = nil; {
	case c.ended:
	case !c.up:
		c.ended = true
		c.abort()
	default:
		c.end(Closed)
		c.settle()
	}
}

// Break ends the connection at once. Unlike after Close its owner is told, once it is certain how much has been written.
func (c *Conn) Break() {
	if c.ended || !c.up {
		return
	}
	c.end(Closed)
	c.settle()
}

// Sever ends the reading for all processes that have the socket: none may go on where another has given up.
func (c *Conn) Sever() {
	if tcp, is := c.net.(*net.TCPConn); is {
		tcp.CloseRead()
	}
}

// Quit ends the connection once all is written, so that the peer gets it whole; the owner hears no more of it.
func (c *Conn) CloseAfterFlush() {
	if c.ended || c.quits {
		return
	}
	c.quits, c.owner = true, nil
	if c.detached != nil {
		c.detached = nil
		c.net.SetReadDeadline(time.Time{})
	}
	if c.Resume(); c.Unsent() == 0 {
		c.shut()
		return
	}
	c.share.flushing[c] = struct{}{}
}

func (c *Conn) shut() {
	if tcp, is := c.net.(*net.TCPConn); is {
		tcp.CloseWrite()
	}
	c.SetState(StateFinished)
	if c.deaf {
		c.Close()
		return
	}
	c.share.flushing[c] = struct{}{}
	c.loop.After(arrives, func() { delete(c.share.flushing, c) })
	c.loop.After(lingers, func() { c.Close() })
}

// Resume hands the goroutines what there is to do: a full ring In stops the reading until the owner has used some.
func (c *Conn) Resume() {
	if c.ended || !c.up {
		return
	}
	if !c.reading && !c.deaf && c.detached == nil {
		c.read()
	}
	if b := c.out.Bytes(); !c.writing && len(b) > 0 {
		if c.writing = true; c.toWrite == nil {
			c.writes()
		}
		c.toWrite <- outRun{b, c.writeUntil}
	}
}
