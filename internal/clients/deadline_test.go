package clients

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"
)

// Within 3 s of its accept, a connection without a request is closed, and one with a partial
// request gets an answer. A client that repeats a rejected request waits longer for each answer.
func Example_readDeadlines() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	began := time.Now()
	ended := make(chan string, 2)
	silent := dial(addr)
	dripping := dial(addr)
	repeating := dial(addr)
	read := func(name string, c net.Conn) {
		b, _ := io.ReadAll(c)
		ended <- fmt.Sprintf("%s %q in time: %v", name, b, time.Since(began) < 3*time.Second)
	}
	go read("silent", silent)
	go read("dripping", dripping)
	go func() {
		for {
			if _, err := dripping.Write([]byte("P")); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	go func() {
		for {
			repeating.Write([]byte("GET /render HTTP/1.1\r\n\r\n"))
			if _, err := repeating.Read(make([]byte, 100)); err != nil {
				return
			}
		}
	}()
	runUntil(loop, "both closes", func() bool { return len(ended) == 2 })
	lines := []string{<-ended, <-ended}
	slices.Sort(lines)
	fmt.Println(strings.Join(lines, "\n"))
	fmt.Println("rejections in bounds:", server.Counts.Malformed > 10, server.Counts.Malformed < 40, "silent:", server.Counts.ReadTimeouts)
	repeating.Close()
	// Output:
	// dripping "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" in time: true
	// silent "" in time: true
	// rejections in bounds: true true silent: 1
}
