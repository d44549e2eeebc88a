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

// While it leaves, the door is not ready and takes what still comes, also on connections that are there; once shut it
// ends each connection with its answer, and idle ones at once.
func Example_gracefulShutdown() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	roundTrip(loop, addr, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	idle.Write([]byte("GET /-/counts HTTP/1.1\r\n\r\n"))
	runUntil(loop, "the idle one", func() bool {
		return server.Counts.Connections == 2 && len(server.connections) == 1 && !server.Busy() && server.quota.Used() == 1
	})
	loop.After(20*time.Millisecond, func() {
		behavior.Ready = false
		idle.Write([]byte("GET /-/ready HTTP/1.1\r\n\r\n"))
	})
	loop.After(100*time.Millisecond, func() { behavior.ClosesIdle = true; server.ApplyBehavior() })
	loop.After(300*time.Millisecond, func() { behavior.Admits = false })
	runUntil(loop, "the idle one's end", func() bool { return behavior.ClosesIdle && len(server.connections) == 0 })
	b, _ := io.ReadAll(idle)
	fmt.Printf("%q\n", b)
	idle.Close()
	roundTrip(loop, addr, "GET /-/ready HTTP/1.1\r\n\r\n")
	loop.After(50*time.Millisecond, func() {
		server.Fail(server.Unanswered()[0])
		fmt.Println("in hand:", server.InFlight(), "but not out of the door:", server.Busy())
	})
	roundTrip(loop, addr, requestText)
	loop.After(300*time.Millisecond, loop.Stop)
	loop.Run(func() {})
	roundTrip(loop, addr, strings.Replace(requestText, "9b1f", "9b20", 1))
	// Output:
	// "200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// in hand: 0 but not out of the door: true
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// In a drain clients' connections end, those with half a request last; one that brings workers' news stays throughout.
func Example_draining() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		c.Write([]byte(text))
		return c
	}
	news := `{"id":"9b1f","from":"s-1","state":"started"}`
	worker := dial(fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(news), news))
	defer worker.Close()
	silent, half := dial(""), dial("POST /render HTTP/1.1\r\n")
	runUntil(loop, "all three", func() bool {
		begun := 0
		for v := range server.connections {
			if v.carriesCallbacks || v.parser.Started() {
				begun++
			}
		}
		return len(server.connections) == 3 && begun == 2
	})
	behavior = lifecycle.Behavior{Accepts: true, Admits: true, ClosesIdle: true, KeepsCallbacks: true}
	goes := func(left int) {
		loop.After(0, server.ApplyBehavior)
		runUntil(loop, "those that go", func() bool {
			loop.After(time.Millisecond, server.ApplyBehavior)
			return len(server.connections) == left
		})
		fmt.Println("left:", left)
	}
	goes(2)
	behavior.ClosesPartial = true
	goes(1)
	worker.Write([]byte("POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"))
	runUntil(loop, "more news", func() bool { return !server.Busy() && server.quota.Used() == 1 })
	for _, c := range []net.Conn{silent, half} {
		b, _ := io.ReadAll(c)
		fmt.Printf("%q\n", b)
		c.Close()
	}
	// Output:
	// news 9b1f s-1 started 0 false
	// left: 2
	// left: 1
	// news    0 false
	// ""
	// "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// A request whose bytes have been read, and wait in the loop's inbox, is served, whatever ends idle connections at that
// moment: a stop, the wait for a first word, or want of descriptors.
func TestReadRequestServedAtIdleClose(t *testing.T) {
	for name, ends := range map[string]func(server *Server, v *connection){
		"a stop":         func(server *Server, _ *connection) { behavior.ClosesIdle = true; server.ApplyBehavior() },
		"the first word": func(_ *Server, v *connection) { v.readDeadlineExceeded() },
		"descriptors":    func(server *Server, _ *connection) { server.quota.Resize(0) },
		"a kept one": func(server *Server, v *connection) {
			v.conn.SetState(conn.StateIdle)
			server.quota.Resize(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, _, closeListener := newTestServer(10)
			defer closeListener()
			near, far := net.Pipe()
			defer far.Close()
			accepted{server: server, conn: near}.Run()
			var v *connection
			for v = range server.connections {
				v.acceptedAt -= firstRequestGrace
			}
			far.Write([]byte(requestText)) // has been read when this returns, and the loop does not run
			ends(server, v)
			answer := make(chan string, 1)
			go func() {
				b := make([]byte, 1024)
				n, err := far.Read(b)
				answer <- fmt.Sprint(string(b[:n]), err)
			}()
			got := ""
			loop.After(0, func() {})
			runUntil(loop, "an answer", func() bool {
				for _, inv := range server.Unanswered() {
					server.Deliver(inv, "result")
				}
				loop.After(time.Millisecond, func() {})
				select {
				case got = <-answer:
				default:
				}
				return got != ""
			})
			if !strings.HasPrefix(got, "HTTP/1.1 200 OK") {
				t.Errorf("%q", got)
			}
		})
	}
}

// A request that comes between the last read of an idle connection and its close, and that nobody has read, is served: closing
// over it would reset the connection.
func TestUnreadRequestServedAtIdleClose(t *testing.T) {
	for name, ends := range map[string]func(server *Server){
		"a stop":      func(server *Server) { behavior.ClosesIdle = true; server.ApplyBehavior() },
		"descriptors": func(server *Server) { server.quota.Resize(0) },
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, addr, closeListener := newTestServer(10)
			defer closeListener()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			runUntil(loop, "the connection", func() bool { return len(server.connections) == 1 })
			var v *connection
			for v = range server.connections {
				v.acceptedAt -= firstRequestGrace
				v.conn.SetState(conn.StateIdle)
			}
			ends(server) // the reading has been stopped, and the loop does not run
			c.Write([]byte(requestText))
			for end := time.Now().Add(5 * time.Second); !v.conn.Readable() && time.Now().Before(end); {
			}
			answer := make(chan string, 1)
			go func() {
				b := make([]byte, 1024)
				n, err := c.Read(b)
				answer <- fmt.Sprint(string(b[:n]), err)
			}()
			got := ""
			loop.After(0, func() {})
			runUntil(loop, "an answer", func() bool {
				for _, inv := range server.Unanswered() {
					server.Deliver(inv, "result")
				}
				loop.After(time.Millisecond, func() {})
				select {
				case got = <-answer:
				default:
				}
				return got != ""
			})
			if !strings.HasPrefix(got, "HTTP/1.1 200 OK") {
				t.Errorf("%q", got)
			}
		})
	}
}

// A connection that comes just before the end has its request served; who has come and says nothing goes with the others.
// The door is closed only once nobody is on the way in.
func Example_lastConnection() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	behavior.ClosesIdle, behavior.ExitsWhenIdle = true, true
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	defer c.Close()
	runUntil(loop, "the connection", func() bool { return len(server.connections) == 1 })
	server.ApplyBehavior()
	fmt.Println("stays:", len(server.connections) == 1, "busy:", server.Busy())
	c.Write([]byte(requestText))
	runUntil(loop, "its request", func() bool { return server.InFlight() == 1 })
	server.Throttle(1, 0)
	server.ApplyBehavior()
	loop.After(0, func() {})
	runUntil(loop, "its answer", func() bool { loop.After(time.Millisecond, server.ApplyBehavior); return !server.Busy() })
	fmt.Println("in hand:", server.InFlight(), "closed at once:", server.StopAccepting())
	loop.After(0, func() {})
	runUntil(loop, "the listener", func() bool { loop.After(time.Millisecond, server.ApplyBehavior); return server.StopAccepting() })
	server.ApplyBehavior()
	fmt.Println("nobody comes in:", !server.accepting, len(server.connections))
	// Output:
	// stays: true busy: true
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// in hand: 0 closed at once: false
	// nobody comes in: true 0
}
