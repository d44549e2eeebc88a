package conn

import (
	"net"
	"testing"
	"time"
)

// recordingHandler records its notifications and the received bytes.
type recordingHandler struct {
	received    []byte
	events      []string
	onData      func(c *Conn)
	onConnected func(c *Conn)
}

func (h *recordingHandler) Connected(c *Conn) {
	h.events = append(h.events, "up")
	if h.onConnected != nil {
		h.onConnected(c)
	}
}

func (h *recordingHandler) DataReceived(c *Conn) {
	for c.In.Len() > 0 {
		b := c.In.Bytes()
		h.received = append(h.received, b...)
		c.In.Discard(len(b))
	}
	if h.onData != nil {
		h.onData(c)
	}
}

func (h *recordingHandler) Flushed(*Conn) {}

func (h *recordingHandler) Disconnected(_ *Conn, reason CloseReason) {
	h.events = append(h.events, reason.String())
}

// runUntil runs the loop until done returns true after an iteration. It panics after ten seconds
// with a message that names what was awaited.
func runUntil(l *Loop, awaited string, done func() bool) {
	timeout := l.After(10*time.Second, func() { panic("timed out waiting for " + awaited) })
	l.Run(func() {
		if done() {
			l.Stop()
		}
	})
	timeout.Stop()
}

// closeAndWait closes a connection and waits until its reader has stopped, as the reader would
// otherwise use the system calls that a later test replaces.
func closeAndWait(l *Loop, c *Conn) {
	c.Close()
	runUntil(l, "the end of the reader", func() bool { return !c.reading })
}

// listenPeer listens on the loopback interface and calls serve in a goroutine for each connection.
func listenPeer(serve func(net.Conn)) (addr string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), func() { l.Close() }
}

// connPair returns both ends of a TCP connection, which are closed when the test ends.
func connPair(t *testing.T) (local, remote net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	remote, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	local, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { local.Close(); remote.Close() })
	return local, remote
}

// replaceSystemCalls applies change to DefaultSystemCalls and restores the previous value when the
// test ends.
func replaceSystemCalls(t *testing.T, change func(*SystemCalls)) {
	before := DefaultSystemCalls
	t.Cleanup(func() { DefaultSystemCalls = before })
	change(&DefaultSystemCalls)
}
