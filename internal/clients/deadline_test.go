package clients

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"
)

// Who connects and says nothing is closed on, who drips is told, within 3 s of connecting; whoever repeats what makes no
// sense waits longer for each answer.
func Example_readDeadlines() {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
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
	runUntil(loop, "both ends", func() bool { return len(ended) == 2 })
	lines := []string{<-ended, <-ended}
	slices.Sort(lines)
	fmt.Println(strings.Join(lines, "\n"))
	fmt.Println("repeats answered:", server.Counts.Malformed > 10, server.Counts.Malformed < 40, "silent:", server.Counts.Silent)
	again.Close()
	// Output:
	// drips "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" in time: true
	// silent "" in time: true
	// repeats answered: true true silent: 1
}
