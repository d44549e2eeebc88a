package conn

import (
	"net"
	"time"
)

const (
	// lingerTimeout is how long a connection whose last answer is written may still receive, as
	// closing it with unread bytes would reset it and could cost the peer the answer.
	lingerTimeout = 2 * time.Second
	// lastAnswerTimeout is how long a last answer may take to reach its peer, which closes the
	// connection then. With bytes of the peer unread here, the end of the program would reset it.
	lastAnswerTimeout = 100 * time.Millisecond
)

// Close ends the connection at once; the handler is not notified any more.
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

// Break ends the connection at once. Unlike with Close the handler is notified, once it is certain
// how much has been written.
func (c *Conn) Break() {
	if c.closed || !c.connected {
		return
	}
	c.terminate(Closed)
	c.notifyClosed()
}

// ShutdownRead shuts the receiving side down for all processes that have the socket: none may go on where
// another has given up.
func (c *Conn) ShutdownRead() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		tcp.CloseRead()
	}
}

// CloseAfterFlush ends the connection once all is written, so that the peer receives it whole. The
// handler is not notified any more.
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

// finishClosing ends a connection whose last byte is written: its peer is given time to receive it.
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

// terminate closes the socket and lets the goroutines end.
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

// notifyClosed frees a connection that has ended and notifies its handler, once both goroutines have
// given their bytes back.
func (c *Conn) notifyClosed() {
	if c.reading || c.writing {
		return
	}
	unsent := c.Unsent() > 0
	c.In.Free()
	c.out.Free()
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
