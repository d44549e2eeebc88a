package conn

import (
	"net"
	"testing"
	"time"
)

// recordingHandler records of what it is notified.
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
		c.In.Drop(len(b))
	}
	if h.onData != nil {
		h.onData(c)
	}
}

func (h *recordingHandler) Flushed(*Conn) {}

func (h *recordingHandler) Disconnected(_ *Conn, reason CloseReason) {
	h.events = append(h.events, reason.String())
}

// runUntil runs the loop until what is awaited has happened.
func runUntil(l *Loop, what string, done func() bool) {
	limit := l.After(10*time.Second, func() { panic("waited in vain for " + what) })
	l.Run(func() {
		if done() {
			l.Stop()
		}
	})
	limit.Stop()
}

// closeAndWait closes a connection and waits for its reader, which may not use the system calls of a
// later test.
func closeAndWait(l *Loop, c *Conn) {
	c.Close()
	runUntil(l, "the end of the reader", func() bool { return !c.reading })
}

// listenPeer listens on loopback and serves each connection.
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

// connPair returns both ends of a connection.
func connPair(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// replaceSystemCalls changes the system calls until the test is over.
func replaceSystemCalls(t *testing.T, change func(*SystemCalls)) {
	before := System
	t.Cleanup(func() { System = before })
	change(&System)
}
