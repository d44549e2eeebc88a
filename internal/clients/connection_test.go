package clients

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// A client that sends more than a ring holds behind its request, and goes, is seen to have gone. Without end it costs no
// turns of the loop either.
func TestDisconnectBehindManyBytes(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte(requestText))
	runUntil(loop, "the job", func() bool { return server.InFlight() == 1 })
	began := loop.Now()
	go func() {
		c.Write(make([]byte, 1<<20))
		c.Close()
	}()
	turns := 0
	runUntil(loop, "its client to leave", func() bool { turns++; return server.InFlight() == 0 })
	if took := loop.Now() - began; server.Counts.Overdue > 0 || took > 300*time.Millisecond || turns > 20 {
		t.Errorf("seen after %v in %d turns, %d overdue", took, turns, server.Counts.Overdue)
	}
}

// A client that has gone before its request was read is not taken in: it would be sent on at once, however long ago that was.
func Example_disconnectBeforeRead() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	c.Write([]byte(requestText))
	c.Close() // the loop does not run yet
	runUntil(loop, "the end of the connection", func() bool { return server.Counts.Connections == 1 && server.quota.Used() == 0 })
	fmt.Println("taken:", server.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// taken: 0
}

// A client that has left behind bytes which nobody has read is not taken in.
func Example_disconnectBehindUnread() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	pad := "X-Pad: " + strings.Repeat("x", 256-len(requestText)-len("X-Pad: \r\n")) // the first read ends with the request
	c.Write([]byte(strings.Replace(requestText, "X-Budget", pad+"\r\nX-Budget", 1) + strings.Repeat("more", 1000)))
	c.Close() // the loop does not run yet
	runUntil(loop, "the end of the connection", func() bool { return server.Counts.Connections == 1 && server.quota.Used() == 0 })
	fmt.Println("taken:", server.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// taken: 0
}

// A client closes with its request's body half in, or half its head: nothing is taken.
func Example_disconnectInRequest() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	for n, part := range []string{requestText[:len(requestText)-2], requestText[:50], strings.Replace(requestText, "Content-Length: 4\r\n\r\nbody",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", 1)} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		c.Write([]byte(part))
		runUntil(loop, "half a request", func() bool {
			for v := range server.connections {
				return v.parser.Started()
			}
			return false
		})
		c.Close()
		runUntil(loop, "the end of the connection", func() bool { return server.Counts.Connections == n+1 && server.quota.Used() == 0 })
	}
	fmt.Println("taken:", server.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// taken: 0
}
