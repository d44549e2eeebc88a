package workers

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// A response arrives before the notification that its request has been written, and the connection
// then ends in one of three ways: more bytes arrive, it breaks, or the notification never comes.
// The exchange must end exactly once.
func TestResponseBeforeRequestIsFlushed(t *testing.T) {
	for name, endConnection := range map[string]func(net.Conn){
		"more bytes arrive": func(c net.Conn) { c.Write([]byte(rejectedResponse)) },
		"connection closes": func(c net.Conn) { c.Close() },
		"no more events":    func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			local, remote := net.Pipe() // takes no byte that is not read: the request cannot be written
			defer remote.Close()
			var ends []string
			c := &connection{
				transport: f.Transport,
				worker:    f.worker(),
				address:   f.worker().address,
				parser:    http1.Parser{ReadsResponses: true},
			}
			c.exchange = &exchange{
				buildRequest: unconditional([]byte("GET / HTTP/1.1\r\n\r\n")),
				onDone: func(m *http1.Message, reason conn.CloseReason) {
					ends = append(ends, fmt.Sprint(m.Status, " ", reason))
				},
			}
			c.socket = f.quota.Adopt(local, c)
			c.sendRequest()
			go func() { remote.Write([]byte(rejectedResponse)) }()
			f.runUntilTrue("the early response", func() bool { return c.earlyResponse != nil })
			go endConnection(remote)
			f.runUntilTrue("the end of the exchange", func() bool { return len(ends) > 0 })
			timersExpired := false // by then a timer that was left running would have fired
			f.loop.After(2*earlyResponseTimeout, func() { timersExpired = true })
			f.runUntilTrue("the expiry of timers", func() bool { return timersExpired })
			if got := strings.Join(ends, ", "); got != "503 open" || f.quota.Used() != 0 || len(c.worker.idle) > 0 {
				t.Error(got, "sockets:", f.quota.Used(), "idle:", len(c.worker.idle))
			}
		})
	}
}

// A response that is truncated in its head, its body, a chunk or between chunks says nothing about
// the request, which may have run. A response that never ends is awaited until the client timeout,
// and its connection is then closed.
func Example_truncatedResponse() {
	parts := []string{"HTTP/1.1 20-", "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\n-",
		"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 9\r\n\r\nhalf-",
		"HTTP/1.1 400 Bad Request\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal-",
		"HTTP/1.1 400 Bad Request\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n-"}
	f := newFixture(append(parts, "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf")...)
	for n := range parts {
		f.Forward(f.newInvocation(dispatch.InvocationID(1+n)), 0, f.id)
		f.runUntil(1, 1)
	}
	inv := f.newInvocation(9)
	inv.Deadline = f.loop.Now() + 300*time.Millisecond
	f.Forward(inv, 0, f.id)
	f.runUntil(1, 2)
	fmt.Println("sockets:", f.quota.Used())
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 attempt 0 ends: 5 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// inv 2 attempt 0 ends: 5 closed=false load=false
	// connection 3: POST /render/7f HTTP/1.1 id3 body
	// inv 3 attempt 0 ends: 5 closed=false load=false
	// connection 4: POST /render/7f HTTP/1.1 id4 body
	// inv 4 attempt 0 ends: 5 closed=false load=false
	// connection 5: POST /render/7f HTTP/1.1 id5 body
	// inv 5 attempt 0 ends: 5 closed=false load=false
	// connection 6: POST /render/7f HTTP/1.1 id9 body
	// connection 6 ends
	// inv 9 attempt 0 ends: 3 closed=false load=false
	// sockets: 0
}
