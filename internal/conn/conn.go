package conn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/internal/ring"
)

// writeWithin is how long a peer may take nothing of what is written to it. A slow reader that takes a little now and
// then gets all of it: cutting an answer short would lose the invocation.
var writeWithin = 20 * time.Second

// young is how long a connection that has said nothing comes behind idle ones: a request may be there unread. stalled is
// how long one without a whole request may be without a byte until it comes before them.
var young, stalled = 100 * time.Millisecond, 700 * time.Millisecond

// goesOn is how long after its first bytes more of them show that a request is written slowly, not cut up on its way.
const goesOn = 20 * time.Millisecond

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

var gulps = sync.Pool{New: func() any { return new([gulp]byte) }}

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
	share            *Share
	owner            Owner
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
func (s *Share) Dial(addr string, within time.Duration, owner Owner) *Conn {
	ctx, abort := context.WithTimeout(context.Background(), within)
	c := &Conn{loop: s.loop, share: s, owner: owner, abort: abort}
	s.used++
	go func() {
		nc, err := s.loop.DialContext(ctx, "tcp", addr)
		s.loop.Put(note{Conn: c, net: nc, err: err, what: dialed})
	}()
	return c
}

// Adopt drives a connection that a listener has accepted.
func (s *Share) Adopt(nc net.Conn, owner Owner) *Conn { return s.Inherit(nc, nil, owner) }

// Inherit drives one that another process had, which has read some bytes of it. They must fit the ring.
func (s *Share) Inherit(nc net.Conn, read []byte, owner Owner) *Conn {
	s.used++
	c := &Conn{loop: s.loop, share: s, owner: owner, net: nc, abort: func() {}}
	c.In.Write(read)
	c.begin()
	return c
}

// firstly is what a connection's first bytes are read into: thousands may connect and say nothing, and the ring is for
// those that do.
const firstly = 256

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
			c.loop.Put(note{Conn: c, n: n, err: err, what: read})
		}
	}()
	c.Resume()
}

// writes begins the other way, with the first bytes that there are for it.
func (c *Conn) writes() {
	c.toWrite = make(chan outRun, 1)
	go func() {
		for run := range c.toWrite {
			n, err := run.write(c.net)
			c.loop.Put(note{Conn: c, n: n, err: err, what: wrote})
		}
	}()
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
			c.owner.Read(c)
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

// Break ends the connection at once. Unlike after Close its owner is told, once it is certain how much has been written.
func (c *Conn) Break() {
	if c.ended || !c.up {
		return
	}
	c.end(Closed)
	c.settle()
}

// Ignore throws away whatever still comes, so that its end is seen however much that is.
func (c *Conn) Ignore() {
	c.ignores = true
	c.In.Drop(c.In.Len())
}

// Left tells whether the peer has closed its side, also where that has not been read yet.
func (c *Conn) Left() bool { return c.ended || Left(c.net) }

// Left tells the same of a connection that nobody drives yet.
func Left(nc net.Conn) (left bool) {
	peek(nc, func(fd, n int, err error) {
		left = n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
		if n > 0 { // its end may be behind bytes that nobody has read
			ends := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			_, err := unix.Poll(ends, 0)
			left = err == nil && ends[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return left
}

// Readable tells whether something has come that its owner has not met yet, an end among it.
func (c *Conn) Readable() bool {
	return c.ended || c.arrived.any(func() (is bool) {
		peek(c.net, func(_, _ int, err error) { is = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) })
		return is
	})
}

// peek looks at what the system holds of a connection.
func peek(nc net.Conn, look func(fd, n int, err error)) {
	socket, is := nc.(syscall.Conn)
	if !is {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		look(int(fd), n, err)
	})
}

// Sever ends the reading for all processes that have the socket: none may go on where another has given up.
func (c *Conn) Sever() {
	if tcp, is := c.net.(*net.TCPConn); is {
		tcp.CloseRead()
	}
}

// Quit ends the connection once all is written, so that the peer gets it whole; the owner hears no more of it.
func (c *Conn) Quit() {
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
	c.Set(Done)
	if c.deaf {
		c.Close()
		return
	}
	c.share.flushing[c] = struct{}{}
	c.loop.After(arrives, func() { delete(c.share.flushing, c) })
	c.loop.After(lingers, func() { c.Close() })
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

// Detach stops the reading and tells once, when all that was read is in and all that was written has gone out: then the
// socket can be another process's, or end with no request lost that has been read. It does not tell if the connection
// ends before.
func (c *Conn) Detach(done func()) {
	if c.ended || c.quits || !c.up || c.detached != nil {
		return
	}
	c.unlist()
	c.detached = done
	c.net.SetReadDeadline(time.Unix(1, 0))
	c.loop.After(0, c.still)
}

func (c *Conn) still() {
	if c.detached == nil || c.ended || c.quits || c.reading || c.writing || c.Unsent() > 0 {
		return
	}
	done := c.detached
	c.detached = func() {} // it is told once
	done()
}

// Attach goes on as before.
func (c *Conn) Attach() {
	if c.detached = nil; c.ended {
		return
	}
	c.list()
	c.net.SetReadDeadline(time.Time{})
	c.Resume()
}

// Standing tells whether it has come up and not ended.
func (c *Conn) Standing() bool { return c.up && !c.ended }

// Socket is the connection's descriptor, for whoever is to have it.
func (c *Conn) Socket() (syscall.Conn, bool) {
	socket, is := c.net.(syscall.Conn)
	return socket, is && !c.ended
}

// Use tells what would be lost if a connection were closed for want of descriptors.
type Use uint8

const (
	Busy   Use = iota // an invocation, or an answer
	Mute              // a request may be on its way, but nothing has come
	Begun             // a request that is not whole yet, and so is not taken
	Moving            // the same, and it has gone on
	Idle              // nothing
	Done              // nothing, and nothing is to be expected
)

// Set says what the connection is in use for; it is Busy to begin with. Begun again is progress.
func (c *Conn) Set(u Use) {
	switch {
	case u == Begun && (c.use == Moving || c.use == Begun && c.loop.now >= c.since+goesOn):
		u = Moving
	case c.use == u || c.ended && u != Busy:
		return
	}
	c.unlist()
	c.use, c.since = u, c.loop.now
	c.list()
}

func (c *Conn) unlist() {
	spare := &c.share.spare[c.use]
	if at := slices.Index(*spare, c); at >= 0 {
		*spare = slices.Delete(*spare, at, at+1)
	}
}

// list enters the connection among those that may end for want of descriptors. One that is stopped already goes its way.
func (c *Conn) list() {
	if c.use != Busy && c.detached == nil {
		c.share.spare[c.use] = append(c.share.spare[c.use], c)
	}
}

func (c *Conn) release() {
	c.Set(Busy)
	delete(c.share.flushing, c)
	delete(c.share.parting, c)
	c.share.used--
	if c.share.Freed != nil {
		c.share.Freed()
	}
}

// Share is a part of the descriptors. Each side of the service has one of its own: a crowd on the one must not take
// what the other lives on.
type Share struct {
	Freed func() // a descriptor is free again; may be nil

	loop       *Loop
	used, most int
	rest       time.Duration     // between gulps
	spare      [Done + 1][]*Conn // by use, oldest first
	flushing   map[*Conn]struct{}
	parting    map[*Conn]struct{} // stopped for want of descriptors: a request of theirs may have been read
}

// Share sets so many descriptors apart.
func (l *Loop) Share(most int) *Share {
	return &Share{loop: l, most: most, rest: rest, flushing: map[*Conn]struct{}{}, parting: map[*Conn]struct{}{}}
}

// Resize gives the share more or less. What is over it goes as far as it may; what can't go keeps others from coming.
func (s *Share) Resize(most int) {
	s.most = most
	s.Spare(-1)
	if s.Freed != nil {
		s.Freed()
	}
}

// Flushed tells that no connection whose owner has done with it has bytes left to send, or has just sent its last: an end of
// the program before that could cost its peer an answer.
func (s *Share) Flushed() bool { return len(s.flushing) == 0 }

// Room tells how many more descriptors there are, with none given up for them.
func (s *Share) Room() int { return s.most - s.used }

// Used tells how many descriptors are in use.
func (s *Share) Used() int { return s.used }

// Spare tells whether one more descriptor can be had with at least keep left. To make room, connections of least use
// end, the oldest first: those that say nothing or send half requests could hold all descriptors, and nobody else would
// get in. Their owners hear so as if the peer had closed them. What may still hold a request ends only once all that was
// read of it is in: Freed tells of that room.
func (s *Share) Spare(keep int) bool {
	for s.used-len(s.parting)+keep >= s.most {
		c := s.leastUseful()
		if c == nil {
			return false
		}
		if c.use == Done || c.quits {
			c.crowdedOut()
			continue
		}
		use, since := c.use, c.since
		s.parting[c] = struct{}{}
		c.Detach(func() {
			if delete(s.parting, c); c.use != use || c.since != since || c.Readable() {
				c.Attach() // it has gone on, or goes on just now
				return
			}
			c.crowdedOut()
		})
	}
	return s.used+keep < s.most
}

func (c *Conn) crowdedOut() {
	owner := c.owner
	if c.Close(); owner != nil {
		owner.Down(c, Crowded)
	}
}

// leastUseful: those on which nothing is to come, those that say nothing, those that have stopped in the midst; then idle
// ones, whose clients lose nothing but a connection; then whatever has no whole request. Always the longest so.
func (s *Share) leastUseful() *Conn {
	for _, v := range []struct {
		use  Use
		span time.Duration
	}{{Done, 0}, {Mute, young}, {Begun, stalled}, {Moving, stalled}, {Idle, 0}, {Mute, young / 5},
		{Begun, young}} {
		if spare := s.spare[v.use]; len(spare) > 0 && s.loop.now >= spare[0].since+v.span {
			return spare[0]
		}
	}
	mute, begun := s.spare[Mute], s.spare[Begun]
	switch {
	case len(mute) == 0 && len(begun) == 0 && len(s.spare[Moving]) > 0:
		return s.spare[Moving][0]
	case len(mute) == 0 && len(begun) == 0:
		return nil
	case len(begun) == 0 || len(mute) > 0 && mute[0].since < begun[0].since:
		return mute[0]
	}
	return begun[0]
}
