package conn

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// A peer that reads slowly must receive everything, even if that takes many times the write
// timeout. The connection of a peer that reads nothing must end with NotWritten, which proves that
// the request was not written completely.
func TestSlowPeer(t *testing.T) {
	defer func(before time.Duration) { writeTimeout = before }(writeTimeout)
	writeTimeout = 10 * time.Millisecond
	l := NewLoop(time.Now())
	q := l.NewQuota(10)
	local, remote := net.Pipe()
	want := bytes.Repeat([]byte("answer"), 1000)
	q.Adopt(local, &recordingHandler{}).Write(want)
	got := make(chan []byte, 1)
	go func() {
		var received []byte
		for b := make([]byte, 100); len(received) < len(want); time.Sleep(time.Millisecond) {
			n, err := remote.Read(b)
			received = append(received, b[:n]...)
			if err != nil {
				break
			}
		}
		got <- received
	}()
	runUntil(l, "the answer", func() bool {
		l.After(time.Millisecond, func() {})
		return len(got) == 1
	})
	if received := <-got; !bytes.Equal(received, want) {
		t.Errorf("peer received %d bytes, want %d", len(received), len(want))
	}
	local, _ = net.Pipe()
	h := &recordingHandler{}
	q.Adopt(local, h).Write(want)
	runUntil(l, "the end of the connection", func() bool { return len(h.events) > 0 })
	if h.events[0] != NotWritten.String() {
		t.Errorf("peer that reads nothing: got events %v, want NotWritten first", h.events)
	}
}
