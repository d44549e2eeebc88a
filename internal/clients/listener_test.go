package clients

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Partial requests on more connections than there are descriptors don't keep other clients from
// being served.
func Example_partialRequestsBeyondQuota() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	for range 60 {
		client := dial(addr)
		defer client.Close()
		client.Write([]byte("POST /render HTTP/1.1\r\nX-Call-Id: "))
	}
	roundTrip(loop, addr, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	fmt.Println(server.Counts.Connections, server.quota.Used() <= 40)
	// Output:
	// "200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// 61 true
}

// With nearly all descriptors used by invocations in flight, further invocations are shed at once
// and callbacks are handled. Otherwise both would wait to be accepted until all invocations in
// flight are overdue.
func Example_shedAtCapacity() {
	loop, server, addr, closeListener := newTestServer(36)
	defer closeListener()
	ignoreEvents(server)
	for n := range 36 {
		client := dial(addr)
		defer client.Close()
		client.Write([]byte(strings.Replace(requestText, "9b1f", fmt.Sprint("id", n), 1)))
	}
	runUntil(loop, "all in flight", func() bool { return server.InFlight() == 36 })
	for range 3 {
		roundTrip(loop, addr, requestText)
	}
	callback := `{"id":"id1","from":"s-1","state":"started"}`
	roundTrip(loop, addr, callbackText(callback, "Connection: close"))
	fmt.Println(server.InFlight(), server.Counts.Shed)
	// Output:
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// callback id1 s-1 started 0 false
	// "204 No Content\r\nConnection: close\r\n\r\n"
	// 36 3
}

// A connection without a request uses one goroutine and no ring buffer, and leaks no goroutine when
// it closes.
func TestSilentConnectionResources(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	const count = 200
	server.quota.Resize(count + 10)
	before := runtime.NumGoroutine()
	var clients []net.Conn
	for range count {
		client := dial(addr)
		clients = append(clients, client)
	}
	runUntil(loop, "all connections", func() bool { return len(server.connections) == count })
	if goroutines := runtime.NumGoroutine() - before; goroutines > count+10 {
		t.Errorf("%d silent connections use %d goroutines, want about one each", count, goroutines)
	}
	for c := range server.connections {
		if !c.conn.In.Unallocated() {
			t.Fatal("a silent connection uses a ring buffer, want none")
		}
	}
	server.quota.Resize(10)
	for _, client := range clients {
		client.Close()
	}
	runUntil(loop, "the close of all", func() bool { return len(server.connections) == 0 && server.quota.Used() == 0 })
	for began := time.Now(); runtime.NumGoroutine() > before+10; time.Sleep(time.Millisecond) {
		if time.Since(began) > 2*time.Second {
			t.Fatal("goroutines leaked:", runtime.NumGoroutine()-before)
		}
	}
}
