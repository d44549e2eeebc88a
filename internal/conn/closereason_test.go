package conn

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Results 2 (Rejected), 4 (Unreachable) and 7 (NotSent) allow a non-idempotent invocation to be
// sent again, so only reasons that prove that nothing has run may map to them.
func ExampleCloseReason_Result() {
	for reason := Refused; reason <= NotSent; reason++ {
		fmt.Println(reason, reason.Result())
	}
	// Output:
	// refused 4
	// connect timeout 4
	// no descriptor 2
	// worker unavailable 4
	// not written 4
	// closed 8
	// reset 5
	// stale 9
	// stalled 3
	// malformed 1
	// rejected 2
	// returned 2
	// worker error 1
	// bad request 8
	// lost 5
	// succeeded 0
	// timed out 3
	// cancelled 6
	// local error 2
	// not sent 7
}

// A request may have run if all of it was written before the connection ended. The close reason
// must tell such a request from one that was not written completely.
func Example_closeReasons() {
	dialAndPrint := func(title, addr string, timeout time.Duration, requestSize int) {
		l := NewLoop(time.Now())
		q := l.NewQuota(10)
		h := &recordingHandler{onConnected: func(c *Conn) { c.Write(make([]byte, requestSize)) }}
		q.Dial(addr, timeout, h)
		runUntil(l, title, func() bool {
			return len(h.events) > 0 && h.events[len(h.events)-1] != "up"
		})
		fmt.Println(title+":", h.events, "in use:", q.Used())
	}
	addr, stop := listenPeer(func(c net.Conn) { io.CopyN(io.Discard, c, 100); c.Close() })
	dialAndPrint("closed after the whole request", addr, time.Second, 100)
	dialAndPrint("no time to come up", addr, time.Nanosecond, 100)
	stop()
	dialAndPrint("nobody listens", addr, time.Second, 100)
	addr, stop = listenPeer(func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		io.CopyN(io.Discard, c, 100)
		c.Close()
	})
	dialAndPrint("reset with most of the request unread", addr, time.Second, 64<<20)
	stop()
	// Output:
	// closed after the whole request: [up closed] in use: 0
	// no time to come up: [connect timeout] in use: 0
	// nobody listens: [refused] in use: 0
	// reset with most of the request unread: [up not written] in use: 0
}
