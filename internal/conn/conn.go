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

// Handler is notified of what happens to a connection, in the loop. Disconnected is called once, as
// the last, and not after Close or CloseAfterFlush.
type Handler interface {
	// Connected is called when a dialled connection is up.
	Connected(c *Conn)
	// DataReceived is called when In holds more bytes.
	DataReceived(c *Conn)
	// Flushed is called when all that was queued has been written.
	Flushed(c *Conn)
	// Disconnected is called when the connection has ended.
	Disconnected(c *Conn, reason CloseReason)
}

// Conn is a connection with one ring a direction. A goroutine each way moves bytes between socket and
// ring, and owns just the run of bytes that it was given; all else belongs to the loop.
type Conn struct {
	// In holds the bytes that were received and not dropped yet.
	In ring.Buffer

	loop       *Loop
	quota      *Quota
	handler    Handler // nil: nobody is to be notified any more
	netConn    net.Conn
	cancelDial context.CancelFunc

	out           ring.Buffer
	overflow      []byte // queued behind out, which has no room for it yet
	firstBuffer   []byte // is read into before In has a store
	readRequests  chan []byte
	writeRuns     chan writeRun
	writeDeadline time.Time // bounds what is queued; zero: nothing does
	reading       bool      // the reader has a request
	writing       bool      // the writer has a run of bytes
	unseen        unseenInput

	connected  bool
	closed     bool
	closing    bool   // it ends once all is written
	discarding bool   // what is still received is thrown away
	readEnded  bool   // nothing more is read
	onDetached func() // is called once nothing moves any more; nil: the connection is not detached

	closeReason CloseReason
	state       State
	stateSince  time.Duration
}

// ioKind is what a goroutine of a connection has done.
type ioKind uint8

const (
	dialDone ioKind = iota
	readDone
	writeDone
)

// ioEvent is the task by which a goroutine of a connection reports to the loop.
type ioEvent struct {
	conn    *Conn
	netConn net.Conn // that was dialled
	n       int      // bytes read or written
	err     error
	kind    ioKind
}

// Run handles the event in the loop.
func (e ioEvent) Run() {
	switch e.kind {
	case dialDone:
		e.conn.handleDialed(e.netConn, e.err)
	case readDone:
		e.conn.handleRead(e.n, e.err)
	case writeDone:
		e.conn.handleWritten(e.n, e.err)
	}
}

// start begins to move bytes over a connection that is up.
func (c *Conn) start() {
	c.connected = true
	c.startReader()
	c.startIO()
}

// startIO gives the goroutines what there is to do. A full ring In stops the reading until the owner
// has dropped some of it.
func (c *Conn) startIO() {
	if c.closed || !c.connected {
		return
	}
	if !c.reading && !c.readEnded && c.onDetached == nil {
		c.startRead()
	}
	if !c.writing {
		c.startWrite()
	}
}

// handleRead takes what the reader has received, or the error that it met.
func (c *Conn) handleRead(n int, err error) {
	c.reading = false
	c.unseen.clear()
	if c.onDetached != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil // Detach has set that deadline
	}
	c.acceptInput(n)
	if err != nil && !c.closed {
		if c.closing && c.Unsent() > 0 {
			c.readEnded = true // a peer that has sent all may still wait for the answer
		} else {
			c.handleError(err)
		}
	}
	if c.closed {
		c.notifyClosed()
		return
	}
	c.startIO()
	c.checkDetached()
}

// acceptInput enters n bytes that the reader has received and notifies the handler.
func (c *Conn) acceptInput(n int) {
	first := c.firstBuffer
	c.firstBuffer = nil
	if n <= 0 || c.closed || c.closing {
		return
	}
	if first != nil {
		c.In.Write(first[:n])
	} else {
		c.In.Add(n)
	}
	c.handler.DataReceived(c)
}

// handleWritten drops what the writer has written, or takes the error that it met.
func (c *Conn) handleWritten(n int, err error) {
	c.writing = false
	c.out.Drop(n)
	if !c.closed {
		c.fillOut()
	}
	if err != nil && !c.closed {
		c.handleError(err)
	}
	if c.closed {
		c.notifyClosed()
		return
	}
	c.startIO()
	defer c.checkDetached()
	switch {
	case c.Unsent() > 0:
	case c.closing:
		c.finishClosing()
	default:
		c.handler.Flushed(c)
	}
}

// handleError ends a connection that has failed. What is still with the writer decides whether the
// request was written, so its report is awaited.
func (c *Conn) handleError(err error) {
	switch {
	case errors.Is(err, io.EOF):
		c.terminate(Closed)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.terminate(Stalled)
	default:
		c.terminate(Reset)
	}
}
