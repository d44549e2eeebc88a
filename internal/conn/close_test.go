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

// A long answer passes through the small ring whole, also when the connection is to end with it,
// and what the peer still sends does not cost it the answer.
func TestCloseAfterFlushDeliversWholeAnswer(t *testing.T) {
	l := NewLoop(time.Now())
	q := l.NewQuota(10)
	var got []byte
	over := make(chan struct{})
	addr, stop := listenPeer(func(c net.Conn) {
		c.Write(make([]byte, 10000)) // more than is read before the answer
		time.Sleep(20 * time.Millisecond)
		got, _ = io.ReadAll(c)
		c.Close()
		close(over)
	})
	defer stop()
	want := bytes.Repeat([]byte("answer"), 20000)
	h := &recordingHandler{onData: func(c *Conn) { c.Write(want); c.CloseAfterFlush() }}
	q.Dial(addr, time.Second, h)
	runUntil(l, "the end", func() bool {
		select {
		case <-over:
			return q.Used() == 0
		default:
			l.After(5*time.Millisecond, func() {})
			return false
		}
	})
	if !bytes.Equal(got, want) {
		t.Errorf("%d bytes of %d came", len(got), len(want))
	}
}

// A peer that sends without end after it was rejected receives its answer whole, costs the loop no
// iterations, and the connection ends in time.
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
	runUntil(l, "the end", func() bool { iterations++; return q.Used() == 0 })
	if text := <-got; text != "too large" || iterations > 50 {
		t.Errorf("the peer got %q, the loop took %d iterations", text, iterations)
	}
}

// A last answer counts as not arrived until its peer has closed the connection, for some time at
// most.
func TestAllFlushedAwaitsPeerClose(t *testing.T) {
	for name, closes := range map[string]bool{"its peer ends": true, "its peer stays": false} {
		t.Run(name, func(t *testing.T) {
			l := NewLoop(time.Now())
			q := l.NewQuota(10)
			release := make(chan bool)
			addr, stop := listenPeer(func(c net.Conn) {
				io.ReadAll(c)
				<-release
				if closes {
					c.Close()
				}
			})
			defer stop()
			h := &recordingHandler{}
			c := q.Dial(addr, time.Second, h)
			runUntil(l, "the connection", func() bool { return len(h.events) > 0 })
			c.CloseAfterFlush()
			if q.AllFlushed() {
				t.Error("at once")
			}
			close(release)
			began := l.Now()
			runUntil(l, "the end", func() bool { l.After(time.Millisecond, func() {}); return q.AllFlushed() })
			if took := l.Now() - began; closes != (q.Used() == 0) || !closes && took < lastAnswerTimeout {
				t.Errorf("after %v, %d in use", took, q.Used())
			}
			closeAndWait(l, c)
		})
	}
}

// scriptedConn is a connection whose calls return when the test says so, and what it says.
type scriptedConn struct {
	net.Conn // nil: nothing else is called
	reads    chan error
	writes   chan int // that so many bytes have been taken
	closed   chan struct{}
	once     sync.Once
	taken    atomic.Int64  // bytes
	returns  chan struct{} // closed: a write returns once its bytes are taken, and is not held before
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
		s.taken.Add(int64(n))
		<-s.returns
		return n, nil
	case <-s.closed:
		return 0, net.ErrClosed
	}
}

func (s *scriptedConn) Close() error { s.once.Do(func() { close(s.closed) }); return nil }

func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func (s *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// A request is written in whole, in part or not at all, its peer resets the connection and we end
// it, in every order, each in an iteration of its own and all in one, also where the writer is
// held between its bytes and its report of them. The handler is notified once, unless it has
// closed the connection itself, and that the request was not written if and only if some of it had
// not been taken.
func TestCloseInEveryOrder(t *testing.T) {
	for _, taken := range []int{0, 1, closeTestSize - 1, closeTestSize} {
		for _, end := range []string{"break", "close", "quit"} {
			for _, order := range closeOrders(end) {
				for _, together := range []bool{false, true} {
					closeInOrder(t, order, taken, together)
				}
			}
		}
	}
}

// closeTestSize, in bytes, is the size of the request.
const closeTestSize = 100

// closeOrders returns the orders of events, with one way in which we end the connection.
func closeOrders(end string) [][]string {
	return [][]string{
		{"write", "reset", end},
		{"write", end, "reset"},
		{"reset", "write", end},
		{"reset", end, "write"},
		{end, "write", "reset"},
		{end, "reset", "write"},
		{"write", "reset"},
		{"reset", "write"},
		{"write", end},
		{end, "write"},
		{"reset"},
		{end},
		{"write", "reset", "returns"},
		{"write", end, "returns"},
		{"write", "reset", end, "returns"},
		{"write", end, "reset", "returns"},
	}
}

// closeInOrder plays one order of events, all of them in one iteration or each in its own.
func closeInOrder(t *testing.T, order []string, taken int, together bool) {
	t.Helper()
	name := fmt.Sprintf("%d taken, %v, in one iteration: %v", taken, order, together)
	l := NewLoop(time.Now())
	peer := &scriptedConn{
		reads:   make(chan error, 1),
		writes:  make(chan int, 1),
		closed:  make(chan struct{}),
		returns: make(chan struct{}),
	}
	if !slices.Contains(order, "returns") {
		close(peer.returns)
	}
	h := &recordingHandler{}
	c := l.NewQuota(9).Adopt(peer, h)
	c.Write(make([]byte, closeTestSize))
	settle := func() { // until all events of what has happened are in
		over := false
		l.After(3*time.Millisecond, func() { over = true })
		runUntil(l, name, func() bool { return over })
	}
	for _, event := range order {
		switch event {
		case "write":
			peer.writes <- taken
		case "returns":
			close(peer.returns)
		case "reset":
			peer.reads <- &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
		case "break":
			c.Break()
		case "close":
			c.Close()
		case "quit":
			c.CloseAfterFlush()
		}
		if !together {
			settle()
		}
	}
	settle()
	c.Break()
	settle()
	checkNotified(t, name, h.events, order, peer.taken.Load() == closeTestSize)
}

// checkNotified holds what the handler was notified of against what has happened.
func checkNotified(t *testing.T, name string, seen, order []string, written bool) {
	t.Helper()
	if slices.Contains(order, "close") || slices.Contains(order, "quit") {
		if len(seen) > 1 {
			t.Error(name, ": notified ", seen)
		}
		return
	}
	if len(seen) != 1 || (seen[0] == NotWritten.String()) == written {
		t.Error(name, ": notified ", seen, ", written: ", written)
	}
}
