package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startStalledClients opens connections at an interval until stop is closed: most send nothing,
// some part of a request, some one request and then keep the connection. It returns a function that
// returns the number of connections so far.
func (r *testRig) startStalledClients(interval time.Duration, stop chan struct{}) (connectionCount func() int) {
	total := make(chan int, 1)
	total <- 0
	r.clientGroup.Add(1)
	go func() {
		defer r.clientGroup.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			conn, err := net.DialTimeout("tcp", r.listenAddr, time.Second)
			if err != nil {
				continue
			}
			total <- 1 + <-total
			go func() {
				defer conn.Close()
				switch n % 5 {
				case 0:
					io.WriteString(conn, "POST /render/k HTTP/1.1\r\nX-Call-Id: cr")
				case 1:
					io.WriteString(conn, "GET /-/ready HTTP/1.1\r\n\r\n")
				}
				conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				io.Copy(io.Discard, conn)
			}()
		}
	}()
	return func() int {
		n := <-total
		total <- n
		return n
	}
}

// openDescriptors returns the number of open descriptors of the process.
func (p *process) openDescriptors() int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(all)
}

// sendSlowly sends a request in six pieces over two seconds and returns the answer.
func (r *testRig) sendSlowly(id string) (status int, body string) {
	conn, err := net.Dial("tcp", r.listenAddr)
	if err != nil {
		return -1, err.Error()
	}
	defer conn.Close()
	request := postRequest("/render/k", "X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 10\r\nConnection: close\r\n", id)
	const pieces = 6
	for n := range pieces {
		if _, err := io.WriteString(conn, request[n*len(request)/pieces:(n+1)*len(request)/pieces]); err != nil {
			return -1, err.Error()
		}
		if n < pieces-1 {
			time.Sleep(2 * time.Second / pieces)
		}
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	answer, err := io.ReadAll(conn)
	if err != nil {
		return -1, err.Error()
	}
	fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	return status, string(answer)
}

// Many clients never complete their request, with half of the usual memory and descriptors: every
// complete request is served, also on new connections and if written slowly, callbacks are
// accepted, admin calls are answered within a second, also while draining, and the number of
// descriptors stays within the limit.
func TestServesBesideManyStalledClients(t *testing.T) {
	r := newTestRig(t, 3, 60*time.Millisecond)
	r.config["limits"] = map[string]any{"memory_mb": 32, "sockets": 96}
	r.writeConfig()
	p := r.startProcess()
	r.waitUntilReady(p)
	stop := make(chan struct{})
	connectionCount := r.startStalledClients(3*time.Millisecond, stop)
	r.startClients(3, "render")
	slowFailures := make(chan string)
	go func() {
		defer close(slowFailures)
		for n := range 12 {
			r.clientGroup.Add(1)
			go func() {
				defer r.clientGroup.Done()
				if status, body := r.sendSlowly(fmt.Sprint("slow-", n)); status != 200 {
					slowFailures <- fmt.Sprint("slowly written request: ", status, " ", body)
				} else {
					slowFailures <- ""
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}()
	maxDescriptors := 0
	for n := range 12 {
		for start := time.Now(); time.Since(start) < 100*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			maxDescriptors = max(maxDescriptors, p.openDescriptors())
		}
		if n == 5 {
			if got := p.adminCommand("standby"); got != "+OK standby\n" {
				t.Errorf("standby beside stalled clients: %q", got)
			}
			if got := p.adminCommand("active"); got != "+OK ready\n" {
				t.Errorf("active beside stalled clients: %q", got)
			}
		}
		if got := p.adminCommand("stats"); !strings.HasPrefix(got, "+OK figures\n") {
			t.Errorf("stats beside stalled clients: %q", got)
		}
	}
	for failure := range slowFailures {
		if failure != "" {
			t.Errorf("got a status other than 200 for a %s", failure)
		}
	}
	close(stop)
	r.stopClients()
	if n := connectionCount(); n < 1000 {
		t.Error("fewer than 1000 connections of stalled clients:", n)
	}
	r.checkPeers()
	if len(r.answersByStatus) > 1 || r.answersByStatus[200] < 20 {
		t.Error("answers by status: ", r.answersByStatus)
	}
	if maxDescriptors > 96 {
		t.Error("more open descriptors than the limit of 96: ", maxDescriptors)
	}
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 5*time.Second)
}
