package clients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"stoatweir/internal/conn"
	"stoatweir/internal/lifecycle"
)

// During a shutdown the server reports that it is not ready but still serves requests, also on open
// connections. Once idle connections are to be closed, each connection closes with its next answer.
func Example_gracefulShutdown() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	roundTrip(loop, addr, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	idle := dial(addr)
	idle.Write([]byte("GET /-/counts HTTP/1.1\r\n\r\n"))
	runUntil(loop, "the idle connection", func() bool {
		return server.Counts.Connections == 2 && len(server.connections) == 1 && !server.Busy() && server.quota.Used() == 1
	})
	loop.After(20*time.Millisecond, func() {
		behavior.Ready = false
		idle.Write([]byte("GET /-/ready HTTP/1.1\r\n\r\n"))
	})
	loop.After(100*time.Millisecond, func() { behavior.ClosesIdle = true; server.ApplyBehavior() })
	loop.After(300*time.Millisecond, func() { behavior.Admits = false })
	runUntil(loop, "its close", func() bool { return behavior.ClosesIdle && len(server.connections) == 0 })
	b, _ := io.ReadAll(idle)
	fmt.Printf("%q\n", b)
	idle.Close()
	roundTrip(loop, addr, "GET /-/ready HTTP/1.1\r\n\r\n")
	loop.After(50*time.Millisecond, func() {
		server.Fail(server.Unanswered()[0])
		fmt.Println("in flight:", server.InFlight(), "busy:", server.Busy())
	})
	roundTrip(loop, addr, requestText)
	loop.After(300*time.Millisecond, loop.Stop)
	loop.Run(func() {})
	roundTrip(loop, addr, strings.Replace(requestText, "9b1f", "9b20", 1))
	// Output:
	// "200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// invocation 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// in flight: 0 busy: true
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// While draining, idle client connections are closed first, then those with a partial request. A
// connection that carries callbacks stays open.
func Example_draining() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	send := func(text string) net.Conn {
		client := dial(addr)
		client.Write([]byte(text))
		return client
	}
	callback := `{"id":"9b1f","from":"s-1","state":"started"}`
	worker := send(callbackText(callback))
	defer worker.Close()
	silent := send("")
	partial := send("POST /render HTTP/1.1\r\n")
	runUntil(loop, "all three connections", func() bool {
		started := 0
		for c := range server.connections {
			if c.carriesCallbacks || c.parser.Started() {
				started++
			}
		}
		return len(server.connections) == 3 && started == 2
	})
	behavior = lifecycle.Behavior{Accepts: true, Admits: true, ClosesIdle: true, KeepsCallbacks: true}
	awaitConnections := func(count int) {
		loop.After(0, server.ApplyBehavior)
		runUntil(loop, "the closes", func() bool {
			loop.After(time.Millisecond, server.ApplyBehavior)
			return len(server.connections) == count
		})
		fmt.Println("left:", count)
	}
	awaitConnections(2)
	behavior.ClosesPartial = true
	awaitConnections(1)
	worker.Write([]byte(callbackText("{}")))
	runUntil(loop, "another callback", func() bool { return !server.Busy() && server.quota.Used() == 1 })
	for _, client := range []net.Conn{silent, partial} {
		b, _ := io.ReadAll(client)
		fmt.Printf("%q\n", b)
		client.Close()
	}
	// Output:
	// callback 9b1f s-1 started 0 false
	// left: 2
	// left: 1
	// callback    0 false
	// ""
	// "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// A request that has been read and is queued for the event loop is served, even if its connection
// is to be closed as idle at that moment because of a shutdown, the read deadline or a lack of
// descriptors.
func TestReadRequestServedAtIdleClose(t *testing.T) {
	for name, closeIdle := range map[string]func(server *Server, c *connection){
		"shutdown":      func(server *Server, _ *connection) { behavior.ClosesIdle = true; server.ApplyBehavior() },
		"read deadline": func(_ *Server, c *connection) { c.readDeadlineExceeded() },
		"no descriptor": func(server *Server, _ *connection) { server.quota.Resize(0) },
		"no descriptor, reused connection": func(server *Server, c *connection) {
			c.conn.SetState(conn.StateIdle)
			server.quota.Resize(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, _, closeListener := newTestServer(10)
			defer closeListener()
			serverSide, clientSide := net.Pipe()
			defer clientSide.Close()
			acceptResult{server: server, conn: serverSide}.Run()
			var c *connection
			for c = range server.connections {
				c.acceptedAt -= firstRequestGrace
			}
			clientSide.Write([]byte(requestText)) // returns once the bytes have been read; the event loop is not running
			closeIdle(server, c)
			answer := make(chan string, 1)
			go func() {
				b := make([]byte, 1024)
				n, err := clientSide.Read(b)
				answer <- fmt.Sprint(string(b[:n]), err)
			}()
			got := awaitAnswer(loop, answer, func() {
				for _, inv := range server.Unanswered() {
					server.Deliver(inv, "result")
				}
			})
			if !strings.HasPrefix(got, "HTTP/1.1 200 OK") {
				t.Errorf("answer %q, want 200 OK", got)
			}
		})
	}
}

// A request that arrives between the last read from an idle connection and its close is served
// although it has not been read: closing a socket with unread bytes would reset the connection.
func TestUnreadRequestServedAtIdleClose(t *testing.T) {
	for name, closeIdle := range map[string]func(server *Server){
		"shutdown":      func(server *Server) { behavior.ClosesIdle = true; server.ApplyBehavior() },
		"no descriptor": func(server *Server) { server.quota.Resize(0) },
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, addr, closeListener := newTestServer(10)
			defer closeListener()
			client := dial(addr)
			defer client.Close()
			runUntil(loop, "the connection", func() bool { return len(server.connections) == 1 })
			var c *connection
			for c = range server.connections {
				c.acceptedAt -= firstRequestGrace
				c.conn.SetState(conn.StateIdle)
			}
			closeIdle(server) // stops reading; the event loop is not running
			client.Write([]byte(requestText))
			for end := time.Now().Add(5 * time.Second); !c.conn.Readable() && time.Now().Before(end); {
			}
			answer := make(chan string, 1)
			go func() {
				b := make([]byte, 1024)
				n, err := client.Read(b)
				answer <- fmt.Sprint(string(b[:n]), err)
			}()
			got := awaitAnswer(loop, answer, func() {
				for _, inv := range server.Unanswered() {
					server.Deliver(inv, "result")
				}
			})
			if !strings.HasPrefix(got, "HTTP/1.1 200 OK") {
				t.Errorf("answer %q, want 200 OK", got)
			}
		})
	}
}

// A connection that is accepted just before the exit still has its request served. StopAccepting
// returns true only once the accept goroutine waits for a permit that it will not get.
func Example_lastConnection() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	behavior.ClosesIdle = true
	behavior.ExitsWhenIdle = true
	client := dial(addr)
	defer client.Close()
	runUntil(loop, "the connection", func() bool { return len(server.connections) == 1 })
	server.ApplyBehavior()
	fmt.Println("open:", len(server.connections) == 1, "busy:", server.Busy())
	client.Write([]byte(requestText))
	runUntil(loop, "its request", func() bool { return server.InFlight() == 1 })
	server.Throttle(1, 0)
	server.ApplyBehavior()
	loop.After(0, func() {})
	runUntil(loop, "its answer", func() bool {
		loop.After(time.Millisecond, server.ApplyBehavior)
		return !server.Busy()
	})
	fmt.Println("in flight:", server.InFlight(), "stopped at once:", server.StopAccepting())
	loop.After(0, func() {})
	runUntil(loop, "the listener", func() bool {
		loop.After(time.Millisecond, server.ApplyBehavior)
		return server.StopAccepting()
	})
	server.ApplyBehavior()
	fmt.Println("accept goroutine at rest:", !server.accepting, len(server.connections))
	// Output:
	// open: true busy: true
	// request 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// invocation 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// in flight: 0 stopped at once: false
	// accept goroutine at rest: true 0
}
