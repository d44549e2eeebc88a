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

// testDeployment has two operations and two tenants.
func testDeployment() settings.Deployment {
	site, err := settings.ParseDeployment([]byte(`{"Operations": [{"Name": "render", "Effect": "read_like", "ClientTimeout": 5},
		{"Name": "sale", "Effect": "idempotency_key"}], "Tenants": [{"Name": "kestrel"}, {"Name": "oak"}],
		"FamilyInfo": {"ReportX0": "free slots"}, "Report": {"How": "answers", "Names": ["x0"]}}`))
	if err != nil {
		panic(err)
	}
	return site
}

// open listens on loopback; what happens at the door is printed, and done is asked after each.
func newTestServer(maxInFlight int) (loop *conn.Loop, server *Server, addr string, closeListener func()) {
	loop = conn.NewLoop(time.Now())
	server = New(loop, testDeployment(), loop.NewQuota(40), accounting.New())
	server.SetMaxInFlight(maxInFlight)
	server.RelayCallback = func(workers.Callback, []byte, func(bool)) bool { return false }
	server.OwnedByPeer, server.OnOwnership = func(string) bool { return false }, func(string, bool) {}
	server.OnEvent = func(e dispatch.Event) {
		if a, is := e.(dispatch.Arrival); is {
			fmt.Printf("inv %d: operation %d tenant %d slots %v hint %v budget %v\n", a.Invocation, a.Operation, a.Tenant,
				a.Slots, a.Hint, a.Budget.Round(100*time.Millisecond))
			return
		}
		fmt.Printf("%T%+v\n", e, e)
	}
	server.OnRequest = func(j *workers.Invocation, _ int) {
		fmt.Println("job", j.ID, j.Method, j.Target, j.Fields, string(j.Body))
	}
	server.OnCallback = func(n workers.Callback) bool {
		fmt.Println("news", n.ID, n.From, n.State, n.Share, n.Load != nil)
		return true
	}
	server.OnServed = func(time.Duration) {}
	behavior = lifecycle.Behavior{Ready: true, Accepts: true, Admits: true}
	server.Behavior, server.Counters = func() lifecycle.Behavior { return behavior }, func() []byte { return []byte("{}") }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server.Listen(listener)
	return loop, server, listener.Addr().String(), func() { listener.Close() }
}

var behavior lifecycle.Behavior // what the door is told of the life cycle

// until runs the loop in which the door lives.
func runUntil(loop *conn.Loop, what string, done func() bool) {
	late := loop.After(10*time.Second, func() { panic("waited in vain for " + what) })
	loop.Run(func() {
		if done() {
			loop.Stop()
		}
	})
	late.Stop()
}

// ask sends a text on a new connection and prints what comes back until the connection ends.
func roundTrip(loop *conn.Loop, addr, text string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	answer := make(chan string, 1)
	go func() {
		c.Write([]byte(text))
		b, _ := io.ReadAll(c)
		c.Close()
		answer <- string(b)
	}()
	got, over := "", false
	runUntil(loop, "an answer", func() bool {
		select {
		case got = <-answer:
			over = true
		default:
			loop.After(time.Millisecond, func() {})
		}
		return over
	})
	for line := range strings.SplitSeq(got, "HTTP/1.1 ") {
		if line != "" {
			fmt.Printf("%q\n", line)
		}
	}
}

const requestText = "POST /render/7f3a?x=1 HTTP/1.1\r\nHost: backend\r\nX-Call-Id: 9b1f\r\nX-Call-Class: render\r\nX-Caller: oak\r\n" +
	"X-Budget: 2.500\r\nX-Call-Cost: 250000\r\nX-Call-Info: slots=2,x=1\r\nContent-Length: 4\r\n\r\nbody"

// hand hands in an invocation and tells the status of its answer, or that it has left without waiting for one.
func submit(addr, id string, leaves bool, told chan<- int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	defer c.Close()
	io.WriteString(c, strings.Replace(strings.Replace(requestText, "9b1f", id, 1), "HTTP/1.1", "HTTP/1.1\r\nConnection: close", 1))
	if leaves {
		told <- clientLeft
		return
	}
	b, _ := io.ReadAll(c)
	status := 0
	fmt.Sscanf(string(b), "HTTP/1.1 %d", &status)
	told <- status
}

const clientLeft = -1 // in the place of a status
