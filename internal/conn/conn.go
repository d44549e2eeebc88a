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

// Handler receives the events of a connection, on the loop goroutine. Disconnected is called once,
// after all other methods. No method is called after Close or CloseAfterFlush.
type Handler interface {
	// Connected is called when a dialled connection has been established.
	Connected(c *Conn)
	// DataReceived is called when bytes were added to In.
	DataReceived(c *Conn)
	// Flushed is called when all queued bytes have been written.
	Flushed(c *Conn)
	// Disconnected is called when the connection has ended or could not be established.
	Disconnected(c *Conn, reason CloseReason)
}

// Conn is a connection with a ring buffer for each direction. The reader and writer goroutines move
// bytes between the socket and the buffers. Each of them may access only the slice it was last
// given; everything else belongs to the loop goroutine.
type Conn struct {
	// In holds the bytes that were received and not yet dropped by the owner of the connection.
	In ring.Buffer

	loop       *Loop
	quota      *Quota
	handler    Handler // nil: no more notifications
	netConn    net.Conn
	cancelDial context.CancelFunc

	out             ring.Buffer
	overflow        []byte // queued bytes for which out has no room yet
	firstReadBuffer []byte // buffer of the first read, used before In has allocated its storage
	readRequests    chan []byte
	writeRuns       chan writeRun
	writeDeadline   time.Time // for all queued bytes; zero: none
	reading         bool      // the reader is serving a read request
	writing         bool      // the writer is writing a run of bytes
	unseen          unseenInput

	connected  bool
	closed     bool
	closing    bool   // the connection is closed once all queued bytes are written
	discarding bool   // further input is discarded
	readEnded  bool   // no more reads are started
	onDetached func() // called when no read or write is in progress; nil: the connection is not detached

	closeReason CloseReason
	state       State
	stateSince  time.Duration
}

// ioKind is the kind of operation that an ioEvent reports.
type ioKind uint8

const (
	dialDone ioKind = iota
	readDone
	writeDone
)

// ioEvent is the task that reports the result of a dial, read or write to the loop.
type ioEvent struct {
	conn    *Conn
	netConn net.Conn // the dialled connection; dialDone only
	n       int      // bytes read or written
	err     error
	kind    ioKind
}

// Run handles the event on the loop goroutine.
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

// start starts the reader and the I/O of an established connection.
func (c *Conn) start() {
	c.connected = true
	c.startReader()
	c.startIO()
}

// startIO starts a read and a write unless they are in progress or there is nothing to do. While In
// is full, no read is started; reading resumes after the owner has dropped bytes from it.
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

// handleRead handles the reader's report of n received bytes or an error.
func (c *Conn) handleRead(n int, err error) {
	c.reading = false
	c.unseen.clear()
	if c.onDetached != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil // this deadline was set by Detach to interrupt the read
	}
	c.acceptInput(n)
	if err != nil && !c.closed {
		if c.closing && c.Unsent() > 0 {
			c.readEnded = true // the peer may have closed only its sending side and still wait for the answer
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

// acceptInput adds the n bytes that the reader has received to In and notifies the handler. Input
// of a connection that is closing is dropped.
func (c *Conn) acceptInput(n int) {
	firstRead := c.firstReadBuffer
	c.firstReadBuffer = nil
	if n <= 0 || c.closed || c.closing {
		return
	}
	if firstRead != nil {
		c.In.Write(firstRead[:n])
	} else {
		c.In.Commit(n)
	}
	c.handler.DataReceived(c)
}

// handleWritten handles the writer's report: n bytes were written, and err is its error, if any.
func (c *Conn) handleWritten(n int, err error) {
	c.writing = false
	c.out.Discard(n)
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

// handleError closes the socket after a read or write error and sets the close reason. The handler
// is notified later: whether the request was written is only known once the writer has reported.
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
