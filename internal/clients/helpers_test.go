package clients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/conn"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

// testDeployment returns settings with two operations and two tenants.
func testDeployment() settings.Deployment {
	deployment, err := settings.ParseDeployment([]byte(`{"Operations": [{"Name": "render", "Effect": "read_like", "ClientTimeout": 5},
		{"Name": "sale", "Effect": "idempotency_key"}], "Tenants": [{"Name": "kestrel"}, {"Name": "oak"}],
		"FamilyInfo": {"ReportX0": "free slots"}, "Report": {"How": "answers", "Names": ["x0"]}}`))
	if err != nil {
		panic(err)
	}
	return deployment
}

// newTestServer returns a server that listens on loopback, has a quota of 40 descriptors, and
// prints its events, admitted invocations and callbacks. Its lifecycle behavior is taken from the
// variable behavior.
func newTestServer(maxInFlight int) (loop *conn.Loop, server *Server, addr string, closeListener func()) {
	loop = conn.NewLoop(time.Now())
	server = New(loop, testDeployment(), loop.NewQuota(40), accounting.New())
	server.SetMaxInFlight(maxInFlight)
	server.RelayCallback = func(workers.Callback, []byte, func(bool)) bool { return false }
	server.IDInUseAtPeer = func(string) bool { return false }
	server.OnIDUseChanged = func(string, bool) {}
	server.OnEvent = func(e dispatch.Event) {
		if a, ok := e.(dispatch.Arrival); ok {
			fmt.Printf("invocation %d: operation %d tenant %d slots %v hint %v budget %v\n", a.Invocation, a.Operation, a.Tenant,
				a.Slots, a.Hint, a.Budget.Round(100*time.Millisecond))
			return
		}
		fmt.Printf("%T%+v\n", e, e)
	}
	server.OnRequest = func(invocation *workers.Invocation, _ int) {
		fmt.Println("request", invocation.ID, invocation.Method, invocation.Target, invocation.HeaderFields, string(invocation.Body))
	}
	server.OnCallback = func(callback workers.Callback) bool {
		fmt.Println("callback", callback.ID, callback.WorkerUID, callback.State, callback.Progress, callback.Load != nil)
		return true
	}
	server.OnResultDelivered = func(time.Duration) {}
	behavior = lifecycle.Behavior{Ready: true, Accepts: true, Admits: true}
	server.Behavior = func() lifecycle.Behavior { return behavior }
	server.CountersPage = func() []byte { return []byte("{}") }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server.Listen(listener)
	return loop, server, listener.Addr().String(), func() { listener.Close() }
}

// behavior is what the lifecycle permits the server of newTestServer.
var behavior lifecycle.Behavior

// runUntil runs the event loop until done, which is called after each iteration, returns true. It
// panics after 10 s, naming what it waited for.
func runUntil(loop *conn.Loop, awaited string, done func() bool) {
	timeout := loop.After(10*time.Second, func() { panic("timed out waiting for " + awaited) })
	loop.Run(func() {
		if done() {
			loop.Stop()
		}
	})
	timeout.Stop()
}

// dial connects a client to addr.
func dial(addr string) net.Conn {
	client, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	return client
}

// awaitAnswer runs the event loop until a client has sent its answer or error to the channel, and
// returns it. It calls each after every iteration.
func awaitAnswer(loop *conn.Loop, answer <-chan string, each func()) string {
	got := ""
	loop.After(0, func() {})
	runUntil(loop, "an answer", func() bool {
		each()
		loop.After(time.Millisecond, func() {})
		select {
		case got = <-answer:
		default:
		}
		return got != ""
	})
	return got
}

// ignoreEvents stops a server from printing the invocations that it admits.
func ignoreEvents(server *Server) {
	server.OnRequest = func(*workers.Invocation, int) {}
	server.OnEvent = func(dispatch.Event) {}
}

// callbackText returns a request with a worker's callback and the given header lines.
func callbackText(body string, fields ...string) string {
	head := "POST /_jobs/news HTTP/1.1\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// roundTrip sends text on a new connection, waits until the server closes it, and prints the
// answers received.
func roundTrip(loop *conn.Loop, addr, text string) {
	client := dial(addr)
	answer := make(chan string, 1)
	go func() {
		client.Write([]byte(text))
		b, _ := io.ReadAll(client)
		client.Close()
		answer <- string(b)
	}()
	got := ""
	received := false
	runUntil(loop, "an answer", func() bool {
		select {
		case got = <-answer:
			received = true
		default:
			loop.After(time.Millisecond, func() {})
		}
		return received
	})
	for line := range strings.SplitSeq(got, "HTTP/1.1 ") {
		if line != "" {
			fmt.Printf("%q\n", line)
		}
	}
}

// requestText is a well-formed request for an invocation.
const requestText = "POST /render/7f3a?x=1 HTTP/1.1\r\nHost: backend\r\nX-Call-Id: 9b1f\r\nX-Call-Class: render\r\nX-Caller: oak\r\n" +
	"X-Budget: 2.500\r\nX-Call-Cost: 250000\r\nX-Call-Info: slots=2,x=1\r\nContent-Length: 4\r\n\r\nbody"

// submit sends a request for an invocation and sends the status of its answer to statuses. If the
// client disconnects without waiting, it sends statusDisconnected.
func submit(addr, id string, disconnects bool, statuses chan<- int) {
	client := dial(addr)
	defer client.Close()
	io.WriteString(client, strings.Replace(strings.Replace(requestText, "9b1f", id, 1), "HTTP/1.1", "HTTP/1.1\r\nConnection: close", 1))
	if disconnects {
		statuses <- statusDisconnected
		return
	}
	response, _ := io.ReadAll(client)
	status := 0
	fmt.Sscanf(string(response), "HTTP/1.1 %d", &status)
	statuses <- status
}

// statusDisconnected stands for a client that disconnected without waiting for its answer.
const statusDisconnected = -1
