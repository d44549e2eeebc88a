package clients

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
)

// If a client sends more bytes than the ring buffer holds after its request and then disconnects,
// the disconnect is noticed, and reading those bytes takes few iterations of the event loop.
func TestDisconnectBehindManyBytes(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	client := dial(addr)
	client.Write([]byte(requestText))
	runUntil(loop, "the request", func() bool { return server.InFlight() == 1 })
	began := loop.Now()
	go func() {
		client.Write(make([]byte, 1<<20))
		client.Close()
	}()
	iterations := 0
	runUntil(loop, "the disconnect", func() bool {
		iterations++
		return server.InFlight() == 0
	})
	if took := loop.Now() - began; server.Counts.Overdue > 0 || took > 300*time.Millisecond || iterations > 20 {
		t.Errorf("disconnect noticed after %v in %d iterations with %d overdue, want at most 300ms, 20 and 0",
			took, iterations, server.Counts.Overdue)
	}
}

// A request is not admitted if its client disconnected before it was read. Otherwise it would be
// forwarded at once, however long ago the client disconnected.
func Example_disconnectBeforeRead() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	client := dial(addr)
	client.Write([]byte(requestText))
	client.Close() // the loop is not running yet
	runUntil(loop, "the close", func() bool { return server.Counts.Connections == 1 && server.quota.Used() == 0 })
	fmt.Println("admitted:", server.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// admitted: 0
}

// A request is not admitted if its client disconnected after sending further bytes that have not
// been read.
func Example_disconnectBehindUnread() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	client := dial(addr)
	pad := "X-Pad: " + strings.Repeat("x", 256-len(requestText)-len("X-Pad: \r\n")) // makes the first read end with the request
	client.Write([]byte(strings.Replace(requestText, "X-Budget", pad+"\r\nX-Budget", 1) + strings.Repeat("more", 1000)))
	client.Close() // the loop does not run yet
	runUntil(loop, "the close", func() bool { return server.Counts.Connections == 1 && server.quota.Used() == 0 })
	fmt.Println("admitted:", server.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// admitted: 0
}

// If a client disconnects in the middle of its request's head or body, nothing is admitted.
func Example_disconnectInRequest() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	for n, part := range []string{
		requestText[:len(requestText)-2],
		requestText[:50],
		strings.Replace(requestText, "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", 1),
	} {
		client := dial(addr)
		client.Write([]byte(part))
		runUntil(loop, "a partial request", func() bool {
			for c := range server.connections {
				return c.parser.Started()
			}
			return false
		})
		client.Close()
		runUntil(loop, "the close", func() bool { return server.Counts.Connections == n+1 && server.quota.Used() == 0 })
	}
	fmt.Println("admitted:", server.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// admitted: 0
}

// A client that sends "Expect: 100-continue" is asked to send its body.
func TestContinue(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	server.OnEvent = func(e dispatch.Event) { server.Throttle(e.(dispatch.Arrival).Invocation, 0) }
	client := dial(addr)
	defer client.Close()
	answer := make(chan string, 1)
	go func() {
		head, body, _ := strings.Cut(requestText, "\r\n\r\n")
		client.Write([]byte(head + "\r\nConnection: close\r\nExpect: 100-continue\r\n\r\n"))
		interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
		io.ReadFull(client, interim)
		client.Write([]byte(body))
		final, _ := io.ReadAll(client)
		answer <- string(interim) + string(final)
	}()
	want := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	if got := awaitAnswer(loop, answer, func() {}); got != want {
		t.Errorf("answers %q, want %q", got, want)
	}
}
