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

// Bytes leave the system only together with the mark that shows them: a reader that is held at any
// point leaves them to be seen in one of the two.
func TestReadableWhileBytesAreRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &Conn{netConn: near}
	inSystem := func() (is bool) {
		peek(near, func(_, _ int, err error) { is = !errors.Is(err, unix.EAGAIN) })
		return is
	}
	c.unseen.mu.Lock() // the goroutine is held where it would read
	type outcome struct {
		n   int
		err error
	}
	ended := make(chan outcome)
	read := func() {
		n, err := c.receive(make([]byte, 9))
		ended <- outcome{n, err}
	}
	go read()
	io.WriteString(far, "half a l")
	for end := time.Now().Add(5 * time.Second); !inSystem(); {
		if time.Now().After(end) {
			t.Fatal("nothing comes")
		}
	}
	time.Sleep(50 * time.Millisecond)
	if !inSystem() {
		t.Error("taken from the system, and not marked")
	}
	c.unseen.mu.Unlock()
	if got := <-ended; got.n != 8 || got.err != nil || !c.Readable() {
		t.Errorf("%+v, readable: %v", got, c.Readable())
	}
	c.unseen.clear()
	if c.Readable() {
		t.Error("readable, and all is seen")
	}
	go read()
	far.Close()
	if got := <-ended; got.err != io.EOF || !c.Readable() {
		t.Errorf("%+v, readable: %v", got, c.Readable())
	}
	near.SetReadDeadline(time.Unix(1, 0))
	go read()
	if got := <-ended; !errors.Is(got.err, os.ErrDeadlineExceeded) {
		t.Errorf("%+v", got)
	}
}

// A peer that has sent much and closed is seen to have closed as fast as its bytes can be thrown
// away.
func TestPeerCloseSeenBehindMuchInput(t *testing.T) {
	l := NewLoop(time.Now())
	q := l.NewQuota(10)
	q.discardPause = time.Hour
	near, far := net.Pipe()
	h := &recordingHandler{}
	c := q.Adopt(near, h)
	c.DiscardInput()
	go func() {
		far.Write(make([]byte, 8<<20)) // what the system may hold
		far.Close()
	}()
	runUntil(l, "the end", func() bool { return len(h.events) > 0 })
}
