package conn

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Readable must see received bytes at every point of a read. The read system call and the mark in
// unseenInput happen under one lock; without it, bytes that the reader has taken from the kernel
// and not yet marked would be missed.
func TestReadableWhileBytesAreRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	remote, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer remote.Close()
	local, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &Conn{netConn: local}
	inKernel := func() (found bool) {
		peek(local, func(_, _ int, err error) { found = !errors.Is(err, unix.EAGAIN) })
		return found
	}
	c.unseen.mu.Lock() // blocks the reader just before the read system call
	type readResult struct {
		n   int
		err error
	}
	results := make(chan readResult)
	read := func() {
		n, err := c.receive(make([]byte, 9))
		results <- readResult{n, err}
	}
	go read()
	io.WriteString(remote, "half a l")
	for deadline := time.Now().Add(5 * time.Second); !inKernel(); {
		if time.Now().After(deadline) {
			t.Fatal("no bytes arrived within five seconds")
		}
	}
	time.Sleep(50 * time.Millisecond)
	if !inKernel() {
		t.Error("the reader took bytes from the kernel without marking them")
	}
	c.unseen.mu.Unlock()
	if got := <-results; got.n != 8 || got.err != nil || !c.Readable() {
		t.Errorf("want 8 bytes and Readable true, got %+v and %v", got, c.Readable())
	}
	c.unseen.clear()
	if c.Readable() {
		t.Error("Readable returned true although the handler has seen all input")
	}
	go read()
	remote.Close()
	if got := <-results; got.err != io.EOF || !c.Readable() {
		t.Errorf("want io.EOF and Readable true, got %+v and %v", got, c.Readable())
	}
	local.SetReadDeadline(time.Unix(1, 0))
	go read()
	if got := <-results; !errors.Is(got.err, os.ErrDeadlineExceeded) {
		t.Errorf("want os.ErrDeadlineExceeded, got %+v", got)
	}
}

// A discarding reader must notice without a pause that a peer has closed after sending many bytes.
// The pause is set to an hour, so a single pause makes the test fail.
func TestPeerCloseSeenAfterMuchInput(t *testing.T) {
	l := NewLoop(time.Now())
	q := l.NewQuota(10)
	q.discardPause = time.Hour
	local, remote := net.Pipe()
	h := &recordingHandler{}
	c := q.Adopt(local, h)
	c.DiscardInput()
	go func() {
		remote.Write(make([]byte, 8<<20)) // as much as the kernel may hold
		remote.Close()
	}()
	runUntil(l, "the end of the connection", func() bool { return len(h.events) > 0 })
}
