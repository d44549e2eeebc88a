package conn

import (
	"net"
	"time"
)

const (
	// lingerTimeout is how long a connection stays open for reading after its last answer was
	// written. Closing a socket that has unread input resets the connection, and the peer could
	// lose the answer.
	lingerTimeout = 2 * time.Second
	// lastAnswerTimeout is how long the peer may take to receive the last answer and close the
	// connection before AllFlushed stops waiting for it. If the process exited while input from
	// the peer was still unread, the kernel would reset the connection.
	lastAnswerTimeout = 100 * time.Millisecond
)

// Close closes the connection at once, or cancels its dial. The handler is not called again.
func (c *Conn) Close() {
	c.handler = nil
	switch {
	case c.closed:
	case !c.connected:
		c.closed = true
		c.cancelDial()
	default:
		c.terminate(Closed)
		c.notifyClosed()
	}
}

// Abort closes the connection at once. Unlike Close, it notifies the handler, once the writer has
// reported how many bytes were written.
func (c *Conn) Abort() {
	if c.closed || !c.connected {
		return
	}
	c.terminate(Closed)
	c.notifyClosed()
}

// ShutdownRead shuts down the receiving side of the socket, which affects every process that holds
// a copy of it: once one process has given up on the connection, no other may continue to read from
// it.
func (c *Conn) ShutdownRead() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		tcp.CloseRead()
	}
}

// CloseAfterFlush closes the connection once all queued bytes are written, so that the peer
// receives all of them. The handler is not called again.
func (c *Conn) CloseAfterFlush() {
	if c.closed || c.closing {
		return
	}
	c.closing = true
	c.handler = nil
	if c.onDetached != nil {
		c.onDetached = nil
		c.netConn.SetReadDeadline(time.Time{})
	}
	c.startIO()
	if c.Unsent() == 0 {
		c.finishClosing()
		return
	}
	c.quota.flushing[c] = struct{}{}
}

// finishClosing shuts down the sending side of a connection whose queued bytes are all written. It
// closes the connection when the peer has done so, or after lingerTimeout.
func (c *Conn) finishClosing() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetState(StateFinished)
	if c.readEnded {
		c.Close()
		return
	}
	c.quota.flushing[c] = struct{}{}
	c.loop.After(lastAnswerTimeout, func() { delete(c.quota.flushing, c) })
	c.loop.After(lingerTimeout, c.Close)
}

// terminate closes the socket, releases its descriptor and stops the reader and the writer.
func (c *Conn) terminate(reason CloseReason) {
	c.closed = true
	c.closeReason = reason
	c.release()
	c.netConn.Close()
	close(c.readRequests)
	if c.writeRuns != nil {
		close(c.writeRuns)
	}
}

// notifyClosed releases the buffers of a closed connection and notifies its handler. It does
// nothing while the reader or the writer still uses a slice of a buffer; their report calls it
// again.
func (c *Conn) notifyClosed() {
	if c.reading || c.writing {
		return
	}
	unsent := c.Unsent() > 0
	c.In.Release()
	c.out.Release()
	handler := c.handler
	if handler == nil {
		return
	}
	c.handler = nil
	if unsent {
		c.closeReason = NotWritten
	}
	handler.Disconnected(c, c.closeReason)
}
