package conn

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// scripted is a connection whose calls return when the test says so, and what it says.
type scripted struct {
	net.Conn // nil: nothing else is called
	reads    chan error
	writes   chan int // that so many bytes have been taken
	closed   chan struct{}
	once     sync.Once
	taken    atomic.Int64  // bytes
	returns  chan struct{} // closed: a write returns once its bytes are taken, and is not held before
}

func (s *scripted) Read([]byte) (int, error) {
	select {
	case err := <-s.reads:
		return 0, err
	case <-s.closed:
		return 0, net.ErrClosed
	}
}

func (s *scripted) Write([]byte) (int, error) {
	select {
	case n := <-s.writes:
		s.taken.Add(int64(n))
		<-s.returns
		return n, nil
	case <-s.closed:
		return 0, net.ErrClosed
	}
}

func (s *scripted) Close() error                     { s.once.Do(func() { close(s.closed) }); return nil }
func (s *scripted) SetWriteDeadline(time.Time) error { return nil }
func (s *scripted) SetReadDeadline(time.Time) error  { return nil }

// A request is written in whole, in part or not at all, its peer resets the connection and we end it, in every order, each with the
// loop's turn between and all in one turn, also where the writer is held between its bytes and its word of them. The owner is told once, unless it has closed the connection itself, and that the request was not
// written if and only if some of it had not been taken.
func TestEveryOrderOfAnEnd(t *testing.T) {
	const size = 100
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	for _, taken := range []int{0, 1, size - 1, size} {
		for _, ends := range []string{"break", "close", "quit"} {
			for _, order := range [][]string{{"write", "reset", ends}, {"write", ends, "reset"}, {"reset", "write", ends}, {"reset", ends, "write"},
				{ends, "write", "reset"}, {ends, "reset", "write"}, {"write", "reset"}, {"reset", "write"}, {"write", ends}, {ends, "write"}, {"reset"}, {ends},
				{"write", "reset", "returns"}, {"write", ends, "returns"}, {"write", "reset", ends, "returns"}, {"write", ends, "reset", "returns"}} {
				for _, together := range []bool{false, true} {
					name := fmt.Sprintf("%d taken, %v, in one turn: %v", taken, order, together)
					l := NewLoop(time.Now())
					peer := &scripted{reads: make(chan error, 1), writes: make(chan int, 1), closed: make(chan struct{}), returns: make(chan struct{})}
					if !slices.Contains(order, "returns") {
						close(peer.returns)
					}
					o := &owner{}
					c := l.NewQuota(9).Adopt(peer, o)
					c.Write(make([]byte, size))
					rest := func() { // until all notes of what has happened are in
						over := false
						l.After(3*time.Millisecond, func() { over = true })
						await(l, name, func() bool { return over })
					}
					for _, event := range order {
						switch event {
						case "write":
							peer.writes <- taken
						case "returns":
							close(peer.returns)
						case "reset":
							peer.reads <- reset
						case "break":
							c.Break()
						case "close":
							c.Close()
						case "quit":
							c.CloseAfterFlush()
						}
						if !together {
							rest()
						}
					}
					rest()
					c.Break()
					rest()
					check(t, name, o.seen, order, peer.taken.Load() == size)
				}
			}
		}
	}
}

// check holds what the owner was told against what has happened.
func check(t *testing.T, name string, seen, order []string, written bool) {
	t.Helper()
	if slices.Contains(order, "close") || slices.Contains(order, "quit") {
		if len(seen) > 1 {
			t.Error(name, ": told ", seen)
		}
		return
	}
	if len(seen) != 1 || (seen[0] == NotWritten.String()) == written {
		t.Error(name, ": told ", seen, ", written: ", written)
	}
}
