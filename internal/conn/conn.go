package conn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"stoatweir/internal/ring"
)

// writeWithin is how long a peer may take nothing of what is written to it. A slow reader that takes a little now and
// then gets all of it: cutting an answer short would lose the invocation.
var writeWithin = 20 * time.Second

// young is how long a connection without a whole request is safe: the request may have come and not been read yet.
var young = 500 * time.Millisecond

// lingers is how long a closed connection may still take in what its peer sends, as closing with unread bytes would
// reset it and could cost the peer the answer.
const lingers = time.Second

// Owner is told of a connection, in the loop. Down comes once and last, and not after Close.
type Owner interface {
	Up(c *Conn)             // a dialled connection is up
	Read(c *Conn)           // In holds more bytes
	Sent(c *Conn)           // all that was written has gone out
	Down(c *Conn, e Ending) // it has ended
}

// Conn is a connection with one ring a direction. A goroutine each way moves bytes between socket and ring, and
// owns just the run of bytes that it was handed; all else belongs to the loop.
type Conn struct {
	In ring.Buffer

	loop             *Loop
	owner            Owner
	net              net.Conn
	abort            context.CancelFunc
	out              ring.Buffer
	rest             []byte // waits for room in out
	toRead, toWrite  chan []byte
	reading, writing bool // a run of bytes is with the goroutine
	up, ended, quits bool
	ending           Ending
	use              Use
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

// Dial begins a connection; Up or Down follows.
func (l *Loop) Dial(addr string, within time.Duration, owner Owner) *Conn {
	ctx, abort := context.WithTimeout(context.Background(), within)
	c := &Conn{loop: l, owner: owner, abort: abort}
	l.sockets++
	go func() {
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", addr)
		l.Put(note{Conn: c, net: nc, err: err, what: dialed})
	}()
	return c
}

// Adopt drives a connection that a listener has accepted.
func (l *Loop) Adopt(nc net.Conn, owner Owner) *Conn {
	l.sockets++
	c := &Conn{loop: l, owner: owner, net: nc, abort: func() {}}
	c.begin()
	return c
}

func (c *Conn) begin() {
	c.up = true
	c.toRead, c.toWrite = make(chan []byte, 1), make(chan []byte, 1)
	go func() {
		for b := range c.toRead {
			n, err := c.net.Read(b)
			c.loop.Put(note{Conn: c, n: n, err: err, what: read})
		}
	}()
	go func() {
		for b := range c.toWrite {
			c.net.SetWriteDeadline(time.Now().Add(writeWithin))
			n, err := c.net.Write(b)
			if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
				err = nil // the rest is handed over again
			}
			c.loop.Put(note{Conn: c, n: n, err: err, what: wrote})
		}
	}()
	c.Resume()
}

// Take reads what a goroutine has left.
func (n note) Take() {
	c := n.Conn
	switch n.what {
	case dialed:
		c.dialed(n)
		return
	case read:
		c.reading = false
		if n.n > 0 && !c.ended {
			if c.In.Add(n.n); c.quits {
				c.drain()
			} else {
				c.owner.Read(c)
			}
		}
	case wrote:
		c.writing = false
		c.out.Drop(n.n)
		if !c.ended {
			c.refill()
		}
	}
	if n.err != nil && !c.ended {
		c.fail(n)
	}
	if c.ended {
		c.settle()
		return
	}
	c.Resume()
	if n.what == wrote && c.Unsent() == 0 {
		if c.quits {
			c.shut()
		} else {
			c.owner.Sent(c)
		}
	}
}

func (c *Conn) dialed(n note) {
	c.abort()
	switch {
	case c.ended:
		if n.net != nil {
			n.net.Close()
		}
		c.release()
	case n.err != nil:
		c.ended = true
		c.release()
		c.owner.Down(c, dialled(n.err))
	default:
		c.net = n.net
		c.begin()
		c.owner.Up(c)
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

func (c *Conn) end(e Ending) {
	c.ended, c.ending = true, e
	c.release()
	c.net.Close()
	close(c.toRead)
	close(c.toWrite)
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
			c.ending = CutShort
		}
		owner.Down(c, c.ending)
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

// Quit ends the connection once all is written, so that the peer gets it whole; the owner hears no more of it.
func (c *Conn) Quit() {
	if c.ended || c.quits {
		return
	}
	c.quits, c.owner = true, nil
	c.drain()
	if c.Resume(); c.Unsent() == 0 {
		c.shut()
	}
}

func (c *Conn) shut() {
	if tcp, is := c.net.(*net.TCPConn); is {
		tcp.CloseWrite()
	}
	c.Set(Idle) // nothing is owed on it any more
	c.loop.After(lingers, func() { c.Close() })
}

func (c *Conn) drain() {
	for c.In.Len() > 0 {
		c.In.Drop(len(c.In.Bytes()))
	}
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

// Resume hands the goroutines what there is to do: a full ring In stops the reading until the owner has used some.
func (c *Conn) Resume() {
	if c.ended || !c.up {
		return
	}
	if b := c.In.Room(); !c.reading && len(b) > 0 {
		c.reading = true
		c.toRead <- b
	}
	if b := c.out.Bytes(); !c.writing && len(b) > 0 {
		c.writing = true
		c.toWrite <- b
	}
}

// Use tells what would be lost if a connection were closed for want of descriptors.
type Use uint8

const (
	Busy  Use = iota // an invocation, or an answer
	Begun            // a request that is not whole yet, and so is not taken
	Idle             // nothing
)

// Set says what the connection is in use for; it is Busy to begin with.
func (c *Conn) Set(u Use) {
	if c.use == u {
		return
	}
	if at := slices.Index(c.loop.spare[c.use], c); at >= 0 {
		c.loop.spare[c.use] = slices.Delete(c.loop.spare[c.use], at, at+1)
	}
	if c.use, c.since = u, c.loop.now; u != Busy {
		c.loop.spare[u] = append(c.loop.spare[u], c)
	}
}

func (c *Conn) release() {
	c.Set(Busy)
	c.loop.sockets--
	if c.loop.Freed != nil {
		c.loop.Freed()
	}
}

// Spare tells whether one more descriptor can be had with at least keep left. To make room, connections of least use
// end, the oldest first: half requests could hold all descriptors, and workers' news would not get in. Their owners
// hear so as if the peer had closed them.
func (l *Loop) Spare(keep int) bool {
	for _, u := range []Use{Idle, Begun} {
		for l.sockets+keep >= l.limit && len(l.spare[u]) > 0 {
			c := l.spare[u][0]
			if u == Begun && l.now < c.since+young {
				break
			}
			owner := c.owner
			if c.Close(); owner != nil {
				owner.Down(c, Closed)
			}
		}
	}
	return l.sockets+keep < l.limit
}

// Sockets tells how many descriptors are in use.
func (l *Loop) Sockets() int { return l.sockets }
