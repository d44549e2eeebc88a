package conn

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// An answer larger than the ring buffer must reach the peer completely when CloseAfterFlush is
// called right after Write, even if the peer has sent input that was never read: closing with
// unread input would reset the connection and lose the rest of the answer.
func TestCloseAfterFlushDeliversWholeAnswer(t *testing.T) {
	l := NewLoop(time.Now())
	q := l.NewQuota(10)
	var got []byte
	peerDone := make(chan struct{})
	addr, stop := listenPeer(func(c net.Conn) {
		c.Write(make([]byte, 10000)) // more than the connection reads before it answers
		time.Sleep(20 * time.Millisecond)
		got, _ = io.ReadAll(c)
		c.Close()
		close(peerDone)
	})
	defer stop()
	want := bytes.Repeat([]byte("answer"), 20000)
	h := &recordingHandler{onData: func(c *Conn) { c.Write(want); c.CloseAfterFlush() }}
	q.Dial(addr, time.Second, h)
	runUntil(l, "the end of the connection", func() bool {
		select {
		case <-peerDone:
			return q.Used() == 0
		default:
			l.After(5*time.Millisecond, func() {})
			return false
		}
	})
	if !bytes.Equal(got, want) {
		t.Errorf("peer received %d bytes, want %d", len(got), len(want))
	}
}

// A peer that keeps sending after its request was rejected must receive the whole answer. Its input
// must be discarded without loop iterations, and the connection must end within the linger timeout.
func TestCloseAfterFlushDiscardsInput(t *testing.T) {
	l := NewLoop(time.Now())
	q := l.NewQuota(10)
	got := make(chan string, 1)
	addr, stop := listenPeer(func(c net.Conn) {
		go func() {
			for {
				if _, err := c.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}()
		time.Sleep(20 * time.Millisecond)
		b, _ := io.ReadAll(c)
		got <- string(b)
	})
	defer stop()
	iterations := 0
	h := &recordingHandler{onData: func(c *Conn) {
		c.Write([]byte("too large"))
		c.CloseAfterFlush()
	}}
	q.Dial(addr, time.Second, h)
	runUntil(l, "the end of the connection", func() bool { iterations++; return q.Used() == 0 })
	if text := <-got; text != "too large" || iterations > 50 {
		t.Errorf("peer received %q after %d loop iterations, want \"too large\" and at most 50", text, iterations)
	}
}

// AllFlushed must report false after a last answer until the peer closes the connection or
// lastAnswerTimeout has passed.
func TestAllFlushedAwaitsPeerClose(t *testing.T) {
	for name, peerCloses := range map[string]bool{"peer closes": true, "peer stays open": false} {
		t.Run(name, func(t *testing.T) {
			l := NewLoop(time.Now())
			q := l.NewQuota(10)
			release := make(chan bool)
			addr, stop := listenPeer(func(c net.Conn) {
				t.Cleanup(func() { c.Close() }) // a connection that is not referenced is closed by the garbage collector
				io.ReadAll(c)
				<-release
				if peerCloses {
					c.Close()
				}
			})
			defer stop()
			h := &recordingHandler{}
			c := q.Dial(addr, time.Second, h)
			runUntil(l, "the connection", func() bool { return len(h.events) > 0 })
			c.CloseAfterFlush()
			if q.AllFlushed() {
				t.Error("AllFlushed returned true right after CloseAfterFlush")
			}
			close(release)
			start := l.Now()
			runUntil(l, "AllFlushed", func() bool { l.After(time.Millisecond, func() {}); return q.AllFlushed() })
			if waited := l.Now() - start; peerCloses != (q.Used() == 0) || !peerCloses && waited < lastAnswerTimeout {
				t.Errorf("AllFlushed returned true after %v with %d descriptors in use", waited, q.Used())
			}
			closeAndWait(l, c)
		})
	}
}

// scriptedConn is a net.Conn whose Read and Write block until the test supplies their result.
type scriptedConn struct {
	net.Conn    // nil: no other method may be called
	reads       chan error
	writes      chan int // number of bytes that the next Write accepts
	closed      chan struct{}
	once        sync.Once
	written     atomic.Int64  // total bytes accepted by Write
	writeReturn chan struct{} // Write accepts its bytes at once, but returns only after this is closed
}

func (s *scriptedConn) Read([]byte) (int, error) {
	select {
	case err := <-s.reads:
		return 0, err
	case <-s.closed:
		return 0, net.ErrClosed
	}
}

func (s *scriptedConn) Write([]byte) (int, error) {
	select {
	case n := <-s.writes:
		s.written.Add(int64(n))
		<-s.writeReturn
		return n, nil
	case <-s.closed:
		return 0, net.ErrClosed
	}
}

func (s *scriptedConn) Close() error { s.once.Do(func() { close(s.closed) }); return nil }

func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func (s *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// Combines a complete, partial or empty write of a request, a reset by the peer and a close by the
// owner in every order, with one loop iteration per event and with all events in one iteration.
// Some orders delay the writer between writing its bytes and reporting them. The handler must be
// notified exactly once, unless the owner closed the connection itself, and with NotWritten if and
// only if some bytes of the request were not written.
func TestCloseInEveryOrder(t *testing.T) {
	for _, accepted := range []int{0, 1, closeTestRequestSize - 1, closeTestRequestSize} {
		for _, closeEvent := range []string{"break", "close", "quit"} {
			for _, order := range closeOrders(closeEvent) {
				for _, inOneIteration := range []bool{false, true} {
					runCloseOrder(t, order, accepted, inOneIteration)
				}
			}
		}
	}
}

// closeTestRequestSize is the size of the request, in bytes.
const closeTestRequestSize = 100

// closeOrders returns the event orders to test. closeEvent is the event by which the owner closes
// the connection: "break", "close" or "quit".
func closeOrders(closeEvent string) [][]string {
	return [][]string{
		{"write", "reset", closeEvent},
		{"write", closeEvent, "reset"},
		{"reset", "write", closeEvent},
		{"reset", closeEvent, "write"},
		{closeEvent, "write", "reset"},
		{closeEvent, "reset", "write"},
		{"write", "reset"},
		{"reset", "write"},
		{"write", closeEvent},
		{closeEvent, "write"},
		{"reset"},
		{closeEvent},
		{"write", "reset", "returns"},
		{"write", closeEvent, "returns"},
		{"write", "reset", closeEvent, "returns"},
		{"write", closeEvent, "reset", "returns"},
	}
}

// runCloseOrder runs one order of events, all in one loop iteration if inOneIteration is set and
// otherwise one event per iteration, and checks how the handler was notified.
func runCloseOrder(t *testing.T, order []string, accepted int, inOneIteration bool) {
	t.Helper()
	name := fmt.Sprintf("%d bytes accepted, events %v, in one iteration: %v", accepted, order, inOneIteration)
	l := NewLoop(time.Now())
	peer := &scriptedConn{
		reads:       make(chan error, 1),
		writes:      make(chan int, 1),
		closed:      make(chan struct{}),
		writeReturn: make(chan struct{}),
	}
	if !slices.Contains(order, "returns") {
		close(peer.writeReturn)
	}
	h := &recordingHandler{}
	c := l.NewQuota(9).Adopt(peer, h)
	c.Write(make([]byte, closeTestRequestSize))
	settle := func() { // runs the loop until the reader and the writer have reported
		settled := false
		l.After(3*time.Millisecond, func() { settled = true })
		runUntil(l, name, func() bool { return settled })
	}
	for _, event := range order {
		switch event {
		case "write":
			peer.writes <- accepted
		case "returns":
			close(peer.writeReturn)
		case "reset":
			peer.reads <- &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
		case "break":
			c.Abort()
		case "close":
			c.Close()
		case "quit":
			c.CloseAfterFlush()
		}
		if !inOneIteration {
			settle()
		}
	}
	settle()
	c.Abort()
	settle()
	checkNotified(t, name, h.events, order, peer.written.Load() == closeTestRequestSize)
}

// checkNotified checks the recorded notifications against the events in order. written says whether
// the whole request was written.
func checkNotified(t *testing.T, name string, notifications, order []string, written bool) {
	t.Helper()
	if slices.Contains(order, "close") || slices.Contains(order, "quit") {
		if len(notifications) > 1 {
			t.Error(name, ": want at most one notification, got ", notifications)
		}
		return
	}
	if len(notifications) != 1 || (notifications[0] == NotWritten.String()) == written {
		t.Error(name, ": want one notification that matches the write, got ", notifications, ", written: ", written)
	}
}
