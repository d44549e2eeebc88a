package clients

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
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
func newTestServer(most int) (l *conn.Loop, d *Server, addr string, shut func()) {
	l = conn.NewLoop(time.Now())
	d = New(l, testDeployment(), l.NewQuota(40), accounting.New())
	d.SetMaxInFlight(most)
	d.RelayCallback = func(workers.Callback, []byte, func(bool)) bool { return false }
	d.OwnedByPeer, d.OnOwnership = func(string) bool { return false }, func(string, bool) {}
	d.OnEvent = func(e dispatch.Event) {
		if a, is := e.(dispatch.Arrival); is {
			fmt.Printf("inv %d: operation %d tenant %d slots %v hint %v budget %v\n", a.Invocation, a.Operation, a.Tenant,
				a.Slots, a.Hint, a.Budget.Round(100*time.Millisecond))
			return
		}
		fmt.Printf("%T%+v\n", e, e)
	}
	d.OnRequest = func(j *workers.Invocation, _ int) {
		fmt.Println("job", j.ID, j.Method, j.Target, j.Fields, string(j.Body))
	}
	d.OnCallback = func(n workers.Callback) bool {
		fmt.Println("news", n.ID, n.From, n.State, n.Share, n.Load != nil)
		return true
	}
	d.OnServed = func(time.Duration) {}
	behavior = lifecycle.Behavior{Ready: true, Accepts: true, Admits: true}
	d.Behavior, d.Counters = func() lifecycle.Behavior { return behavior }, func() []byte { return []byte("{}") }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d.Listen(listener)
	return l, d, listener.Addr().String(), func() { listener.Close() }
}

var behavior lifecycle.Behavior // what the door is told of the life cycle

// until runs the loop in which the door lives.
func runUntil(l *conn.Loop, what string, done func() bool) {
	late := l.After(10*time.Second, func() { panic("waited in vain for " + what) })
	l.Run(func() {
		if done() {
			l.Stop()
		}
	})
	late.Stop()
}

// ask sends a text on a new connection and prints what comes back until the connection ends.
func roundTrip(l *conn.Loop, addr, text string) {
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
	runUntil(l, "an answer", func() bool {
		select {
		case got = <-answer:
			over = true
		default:
			l.After(time.Millisecond, func() {})
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

// One final answer each, with the worker's result as it was given, or a refusal that says when to come back.
func Example_answers() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	take := d.OnEvent
	d.OnEvent = func(e dispatch.Event) {
		take(e)
		switch a := e.(dispatch.Arrival); a.Invocation {
		case 1:
			d.Deliver(a.Invocation, "result")
			d.Deliver(a.Invocation, "again")
			d.Fail(a.Invocation)
		case 2:
			d.Throttle(a.Invocation, 500*time.Millisecond)
		case 3:
			d.Fail(a.Invocation)
		}
		fmt.Println("owed:", d.InFlight())
	}
	closing := strings.Replace(requestText, "X-Call-Id", "Connection: close\r\nX-Call-Id", 1)
	roundTrip(l, addr, closing)
	roundTrip(l, addr, strings.Replace(closing, "9b1f", "9b20", 1))
	d.ReleaseID("9b1f", false)
	roundTrip(l, addr, strings.NewReplacer("250000", "lots", "slots=2", "slots=-2", "2.500", "900", "X-Caller: oak", "X-Odd: 1").Replace(closing))
	fmt.Printf("%+v %+v\n", d.Counts, d.Ledger.Totals(0, 0).Classes)
	// Output:
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// owed: 0
	// "200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nresult"
	// job 9b20 POST /render/7f3a?x=1 [{X-Call-Id 9b20}] body
	// inv 2: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// owed: 0
	// "503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 3: operation 0 tenant 0 slots 1 hint 0 budget 5s
	// owed: 0
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// {Connections:3 Overdue:0 Malformed:0 Crowded:0 Silent:0} [{Name:render Admitted:3 Completed:[1 1 1 0 0]} {Name:sale Admitted:0 Completed:[0 0 0 0 0]}]
}

// What makes no sense gets a plain status, and nothing of it reaches the decisions.
func Example_badInput() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	closing := strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1)
	for _, change := range [][2]string{
		{"/render/", "/unheard/"}, {"Class: render", "Class: unheard"}, {"Class: render", "Class: sale"},
		{"X-Call-Id: 9b1f\r\n", ""}, {"9b1f", "9b/../1 f"}, {"X-Budget: 2.500\r\n", ""}, {"2.500", "soon"}, {"2.500", "-1"}, {"2.500", "NaN"},
		{"POST", "PUT"}, {"Content-Length", "Content-Length: 4\r\nContent-Length"},
		{"X-Call-Id", "X-Call-Id: 2\r\nX-Call-Id"}, {"X-Budget", "X-Budget: 1\r\nX-Budget"}, {"2.500", "0x1p1"}, {"2.500", "1e1"},
		{"X-Call-Class", "X-Call-Class: render\r\nX-Call-Class"}, {"9b1f", strings.Repeat("9", 65)}, {"/7f3a", "/%0d"},
		{"/7f3a", "/../sale"}, {"/7f3a", "/a\xc3\xa9"}, {"/7f3a", "//"}, {"\r\n\r\nbody", "\r\n\r\nbody and more"},
		{"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"}, {"Content-Length: 4", "Content-Length: -4"},
		{"HTTP/1.1", "HTTP/1.0\r\nTransfer-Encoding: chunked"},
		{"POST /render/7f3a", "POST /_jobs/news"}, {" HTTP/1.1", ""},
		{"/render/7f3a?x=1 HTTP/1.1\r\nHost: backend\r\nX-Call-Id: 9b1f\r\nX-Call-Class: render", "/sale/1 HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: sale"},
	} {
		fmt.Printf("%.40q ", change[1])
		roundTrip(l, addr, strings.Replace(closing, change[0], change[1], 1))
	}
	roundTrip(l, addr, strings.Replace(strings.Replace(closing, "render", "sale", 2), "Content-Length", "Idempotency-Key: a\tb\r\nContent-Length", 1))
	fmt.Println(len(d.Ledger.Totals(0, 0).Classes), d.Ledger.Totals(0, 0).Classes[0].Admitted, d.Counts.Malformed)
	// Output:
	// "/unheard/" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Class: unheard" "404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Class: sale" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "9b/../1 f" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "soon" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "-1" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "NaN" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "PUT" "405 Method Not Allowed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Content-Length: 4\r\nContent-Length" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "X-Call-Id: 2\r\nX-Call-Id" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "X-Budget: 1\r\nX-Budget" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "0x1p1" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "1e1" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "X-Call-Class: render\r\nX-Call-Class" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "9999999999999999999999999999999999999999" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "/%0d" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "/../sale" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "/aé" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "//" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "\r\n\r\nbody and more" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Content-Length: 4\r\nTransfer-Encoding: ch" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "Content-Length: -4" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "HTTP/1.0\r\nTransfer-Encoding: chunked" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "POST /_jobs/news" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "/sale/1 HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-C" "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// 2 0 29
}

// News is answered whatever it is about, and read in whole.
func Example_news() {
	l, _, addr, shut := newTestServer(10)
	defer shut()
	for _, body := range []string{`{"id":"9b1f","from":"s-1","state":"running","share":0.4}`,
		`{"id":"unheard","from":"s-2","state":"failed","load":{"x0":2}}`, `{"id":`} {
		roundTrip(l, addr, fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	// Output:
	// news 9b1f s-1 running 0.4 false
	// "204 No Content\r\nConnection: close\r\n\r\n"
	// news unheard s-2 failed 0 true
	// "204 No Content\r\nConnection: close\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}

// A client that closes has gone away; an id in hand is not taken twice; more in hand than there are descriptors for
// is refused; what the decisions forget is answered all the same, once its time is over.
func Example_leftAndOverdue() {
	l, d, addr, shut := newTestServer(2)
	defer shut()
	send := func(text string) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		c.Write([]byte(text))
		return c
	}
	c := send(requestText)
	runUntil(l, "the job", func() bool { return d.InFlight() == 1 })
	roundTrip(l, addr, strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1))
	c.Close()
	runUntil(l, "its client to leave", func() bool { return d.InFlight() == 0 })
	roundTrip(l, addr, strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1)) // a forward of it may still be out
	d.ReleaseID("9b1f", false)
	c = send(requestText)
	runUntil(l, "the job again", func() bool { return d.InFlight() == 1 })
	closing := strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1)
	roundTrip(l, addr, strings.NewReplacer("9b1f", "9b20", "2.500", "0.010").Replace(closing))
	send(strings.Replace(requestText, "9b1f", "9b21", 1))
	runUntil(l, "the second job", func() bool { return d.InFlight() == 2 })
	roundTrip(l, addr, strings.Replace(closing, "9b1f", "9b22", 1))
	c.Close()
	fmt.Printf("%+v %+v\n", d.Counts, d.Ledger.Totals(0, 0).Classes)
	// Output:
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// dispatch.ClientDisconnected{Invocation:1}
	// "409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 2: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// job 9b20 POST /render/7f3a?x=1 [{X-Call-Id 9b20}] body
	// inv 3: operation 0 tenant 0 slots 2 hint 0.25 budget 0s
	// dispatch.ClientDisconnected{Invocation:3}
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job 9b21 POST /render/7f3a?x=1 [{X-Call-Id 9b21}] body
	// inv 4: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// {Connections:7 Overdue:1 Malformed:2 Crowded:1 Silent:0} [{Name:render Admitted:5 Completed:[0 1 1 1 0]} {Name:sale Admitted:0 Completed:[0 0 0 0 0]}]
}

// Half requests on more connections than there are descriptors for don't keep others out.
func Example_crowd() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	for range 60 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		defer c.Close()
		c.Write([]byte("POST /render HTTP/1.1\r\nX-Call-Id: "))
	}
	roundTrip(l, addr, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	fmt.Println(d.Counts.Connections, d.quota.Used() <= 40)
	// Output:
	// "200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// 61 true
}

// With nearly all descriptors taken by invocations in hand, what comes besides is refused at once, and news gets in:
// both would otherwise wait unaccepted, until all that is in hand is overdue.
func Example_short() {
	l, d, addr, shut := newTestServer(36)
	defer shut()
	d.OnRequest, d.OnEvent = func(*workers.Invocation, int) {}, func(dispatch.Event) {}
	for n := range 36 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		defer c.Close()
		c.Write([]byte(strings.Replace(requestText, "9b1f", fmt.Sprint("id", n), 1)))
	}
	runUntil(l, "those in hand", func() bool { return d.InFlight() == 36 })
	for range 3 {
		roundTrip(l, addr, requestText)
	}
	news := `{"id":"id1","from":"s-1","state":"started"}`
	roundTrip(l, addr, fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(news), news))
	fmt.Println(d.InFlight(), d.Counts.Crowded)
	// Output:
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// news id1 s-1 started 0 false
	// "204 No Content\r\nConnection: close\r\n\r\n"
	// 36 3
}

// Who connects and says nothing is closed on, who drips is told, within 3 s of connecting; whoever repeats what makes no
// sense waits longer for each answer.
func Example_idlers() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		return c
	}
	began, ended := time.Now(), make(chan string, 2)
	silent, drips, again := dial(), dial(), dial()
	read := func(name string, c net.Conn) {
		b, _ := io.ReadAll(c)
		ended <- fmt.Sprintf("%s %q in time: %v", name, b, time.Since(began) < 3*time.Second)
	}
	go read("silent", silent)
	go read("drips", drips)
	go func() {
		for {
			if _, err := drips.Write([]byte("P")); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	go func() {
		for {
			again.Write([]byte("GET /render HTTP/1.1\r\n\r\n"))
			if _, err := again.Read(make([]byte, 100)); err != nil {
				return
			}
		}
	}()
	runUntil(l, "both ends", func() bool { return len(ended) == 2 })
	lines := []string{<-ended, <-ended}
	slices.Sort(lines)
	fmt.Println(strings.Join(lines, "\n"))
	fmt.Println("repeats answered:", d.Counts.Malformed > 10, d.Counts.Malformed < 40, "silent:", d.Counts.Silent)
	again.Close()
	// Output:
	// drips "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" in time: true
	// silent "" in time: true
	// repeats answered: true true silent: 1
}

// While it leaves, the door is not ready and takes what still comes, also on connections that are there; once shut it
// ends each connection with its answer, and idle ones at once.
func Example_leave() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	roundTrip(l, addr, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	idle.Write([]byte("GET /-/counts HTTP/1.1\r\n\r\n"))
	runUntil(l, "the idle one", func() bool {
		return d.Counts.Connections == 2 && len(d.connections) == 1 && !d.Busy() && d.quota.Used() == 1
	})
	l.After(20*time.Millisecond, func() {
		behavior.Ready = false
		idle.Write([]byte("GET /-/ready HTTP/1.1\r\n\r\n"))
	})
	l.After(100*time.Millisecond, func() { behavior.ClosesIdle = true; d.ApplyBehavior() })
	l.After(300*time.Millisecond, func() { behavior.Admits = false })
	runUntil(l, "the idle one's end", func() bool { return behavior.ClosesIdle && len(d.connections) == 0 })
	b, _ := io.ReadAll(idle)
	fmt.Printf("%q\n", b)
	idle.Close()
	roundTrip(l, addr, "GET /-/ready HTTP/1.1\r\n\r\n")
	l.After(50*time.Millisecond, func() {
		d.Fail(d.Unanswered()[0])
		fmt.Println("in hand:", d.InFlight(), "but not out of the door:", d.Busy())
	})
	roundTrip(l, addr, requestText)
	l.After(300*time.Millisecond, l.Stop)
	l.Run(func() {})
	roundTrip(l, addr, strings.Replace(requestText, "9b1f", "9b20", 1))
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
func Example_drain() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
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
	runUntil(l, "all three", func() bool {
		begun := 0
		for v := range d.connections {
			if v.carriesCallbacks || v.parser.Started() {
				begun++
			}
		}
		return len(d.connections) == 3 && begun == 2
	})
	behavior = lifecycle.Behavior{Accepts: true, Admits: true, ClosesIdle: true, KeepsCallbacks: true}
	goes := func(left int) {
		l.After(0, d.ApplyBehavior)
		runUntil(l, "those that go", func() bool {
			l.After(time.Millisecond, d.ApplyBehavior)
			return len(d.connections) == left
		})
		fmt.Println("left:", left)
	}
	goes(2)
	behavior.ClosesPartial = true
	goes(1)
	worker.Write([]byte("POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"))
	runUntil(l, "more news", func() bool { return !d.Busy() && d.quota.Used() == 1 })
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

// Whatever becomes of invocations, in any order: what was taken in has succeeded, been declined, aborted, abandoned, or is
// outstanding, and the ledger says of each what its client was told.
func TestLedgerOverRandomHistories(t *testing.T) {
	for seed := range int64(20) {
		l, d, addr, shut := newTestServer(3)
		d.OnEvent, d.OnRequest = func(dispatch.Event) {}, func(*workers.Invocation, int) {}
		rng, told := rand.New(rand.NewSource(seed)), make(chan int, 100)
		asked, gone := 0, 0
		heard := map[int]int{}
		step := func() bool {
			for len(told) > 0 {
				heard[<-told]++
			}
			answered := 0
			for _, n := range heard {
				answered += n
			}
			f := d.Ledger.Totals(0, 0)
			sum := f.Outstanding
			for _, n := range f.Classes[0].Completed {
				sum += n
			}
			if sum != f.Classes[0].Admitted || f.Outstanding != d.InFlight() {
				t.Fatalf("seed %d: %+v with %d in hand", seed, f, d.InFlight())
			}
			if rest := d.Unanswered(); len(rest) > 0 {
				inv := rest[rng.Intn(len(rest))]
				switch rng.Intn(6) {
				case 0:
					d.Deliver(inv, "made")
				case 1:
					d.Throttle(inv, 0)
				case 2:
					d.Fail(inv)
				}
			}
			if asked < 40 && rng.Intn(2) == 0 {
				leaves := rng.Intn(8) == 0
				if asked++; leaves {
					gone++
				}
				go submit(addr, fmt.Sprint("id", asked), leaves, told)
			}
			return asked == 40 && answered == asked && d.InFlight() == 0 && !d.Busy()
		}
		l.After(0, func() {})
		runUntil(l, "all answers", func() bool { l.After(100*time.Microsecond, func() {}); return step() })
		ended := d.Ledger.Totals(0, 0).Classes[0].Completed
		// Some of those that left had their answer on the way.
		more, sound := ended[accounting.Abandoned], true
		for status, how := range map[int]accounting.Disposition{200: accounting.Succeeded, 503: accounting.Declined, 500: accounting.Aborted} {
			more += ended[how] - heard[status]
			sound = sound && ended[how] >= heard[status]
		}
		if !sound || more > gone {
			t.Errorf("seed %d: %v, clients heard %v and %d left", seed, ended, heard, gone)
		}
		shut()
	}
}

const clientLeft = -1 // in the place of a status

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

// Who connects and says nothing costs a goroutine and no ring, and is let go again whole.
func TestSilentCrowdCostsLittle(t *testing.T) {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	const many = 200
	d.quota.Resize(many + 10)
	before := runtime.NumGoroutine()
	var crowd []net.Conn
	for range many {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		crowd = append(crowd, c)
	}
	runUntil(l, "the crowd", func() bool { return len(d.connections) == many })
	if cost := runtime.NumGoroutine() - before; cost > many+10 {
		t.Errorf("%d silent connections cost %d goroutines", many, cost)
	}
	for v := range d.connections {
		if !v.conn.In.Empty() {
			t.Fatal("a silent connection has a ring")
		}
	}
	d.quota.Resize(10)
	for _, c := range crowd {
		c.Close()
	}
	runUntil(l, "the crowd's end", func() bool { return len(d.connections) == 0 && d.quota.Used() == 0 })
	for began := time.Now(); runtime.NumGoroutine() > before+10; time.Sleep(time.Millisecond) {
		if time.Since(began) > 2*time.Second {
			t.Fatal("goroutines left:", runtime.NumGoroutine()-before)
		}
	}
}
