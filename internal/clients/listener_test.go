package clients

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/workers"
)

// Half requests on more connections than there are descriptors for don't keep others out.
func Example_partialRequestsBeyondQuota() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	for range 60 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		defer c.Close()
		c.Write([]byte("POST /render HTTP/1.1\r\nX-Call-Id: "))
	}
	roundTrip(loop, addr, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	fmt.Println(server.Counts.Connections, server.quota.Used() <= 40)
	// Output:
	// "200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// 61 true
}

// With nearly all descriptors taken by invocations in hand, what comes besides is refused at once, and news gets in:
// both would otherwise wait unaccepted, until all that is in hand is overdue.
func Example_shedAtCapacity() {
	loop, server, addr, closeListener := newTestServer(36)
	defer closeListener()
	server.OnRequest, server.OnEvent = func(*workers.Invocation, int) {}, func(dispatch.Event) {}
	for n := range 36 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		defer c.Close()
		c.Write([]byte(strings.Replace(requestText, "9b1f", fmt.Sprint("id", n), 1)))
	}
	runUntil(loop, "those in hand", func() bool { return server.InFlight() == 36 })
	for range 3 {
		roundTrip(loop, addr, requestText)
	}
	news := `{"id":"id1","from":"s-1","state":"started"}`
	roundTrip(loop, addr, fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(news), news))
	fmt.Println(server.InFlight(), server.Counts.Crowded)
	// Output:
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// news id1 s-1 started 0 false
	// "204 No Content\r\nConnection: close\r\n\r\n"
	// 36 3
}

// Who connects and says nothing costs a goroutine and no ring, and is let go again whole.
func TestSilentConnectionsCostLittle(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	const many = 200
	server.quota.Resize(many + 10)
	before := runtime.NumGoroutine()
	var crowd []net.Conn
	for range many {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		crowd = append(crowd, c)
	}
	runUntil(loop, "the crowd", func() bool { return len(server.connections) == many })
	if cost := runtime.NumGoroutine() - before; cost > many+10 {
		t.Errorf("%d silent connections cost %d goroutines", many, cost)
	}
	for v := range server.connections {
		if !v.conn.In.Empty() {
			t.Fatal("a silent connection has a ring")
		}
	}
	server.quota.Resize(10)
	for _, c := range crowd {
		c.Close()
	}
	runUntil(loop, "the crowd's end", func() bool { return len(server.connections) == 0 && server.quota.Used() == 0 })
	for began := time.Now(); runtime.NumGoroutine() > before+10; time.Sleep(time.Millisecond) {
		if time.Since(began) > 2*time.Second {
			t.Fatal("goroutines left:", runtime.NumGoroutine()-before)
		}
	}
}
