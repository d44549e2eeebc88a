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

// crowd keeps connecting until it is stopped: most send nothing, some half a request, some one request and stay. It counts the
// connections.
func (r *rig) crowd(each time.Duration, stop chan struct{}) (came func() int) {
	total := make(chan int, 1)
	total <- 0
	r.load.Add(1)
	go func() {
		defer r.load.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(each):
			}
			c, err := net.DialTimeout("tcp", r.listen, time.Second)
			if err != nil {
				continue
			}
			total <- 1 + <-total
			go func() {
				defer c.Close()
				switch n % 5 {
				case 0:
					io.WriteString(c, "POST /render/k HTTP/1.1\r\nX-Call-Id: cr")
				case 1:
					io.WriteString(c, "GET /-/ready HTTP/1.1\r\n\r\n")
				}
				c.SetReadDeadline(time.Now().Add(10 * time.Second))
				io.Copy(io.Discard, c)
			}()
		}
	}()
	return func() int {
		n := <-total
		total <- n
		return n
	}
}

// descriptors counts those of a process.
func (p *process) descriptors() int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(all)
}

// slowly sends a request that takes two seconds to write, in pieces cut anywhere.
func (r *rig) slowly(id string) (status int, body string) {
	c, err := net.Dial("tcp", r.listen)
	if err != nil {
		return -1, err.Error()
	}
	defer c.Close()
	request := post("/render/k", "X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 10\r\nConnection: close\r\n", id)
	const pieces = 6
	for n := range pieces {
		if _, err := io.WriteString(c, request[n*len(request)/pieces:(n+1)*len(request)/pieces]); err != nil {
			return -1, err.Error()
		}
		if n < pieces-1 {
			time.Sleep(2 * time.Second / pieces)
		}
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	if err != nil {
		return -1, err.Error()
	}
	fmt.Sscanf(string(b), "HTTP/1.1 %d", &status)
	return status, string(b)
}

// Many clients complete no request, with memory and descriptors halved: every complete request is served, on new connections and
// written slowly too, callbacks are accepted, operators are answered within a second, while draining as well, and the descriptors
// keep to their limit.
func TestServesBesideManyStalledClients(t *testing.T) {
	r := newRig(t, 3, 60*time.Millisecond)
	r.config["limits"] = map[string]any{"memory_mb": 32, "sockets": 96}
	r.writeConfig()
	p := r.start()
	r.waitUntilReady(p)
	stop := make(chan struct{})
	came := r.crowd(3*time.Millisecond, stop)
	r.startClients(3, "render")
	slow := make(chan string)
	go func() {
		defer close(slow)
		for n := range 12 {
			r.load.Add(1)
			go func() {
				defer r.load.Done()
				if status, body := r.slowly(fmt.Sprint("slow-", n)); status != 200 {
					slow <- fmt.Sprint("written slowly: ", status, " ", body)
				} else {
					slow <- ""
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}()
	most := 0
	for n := range 12 {
		for began := time.Now(); time.Since(began) < 100*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			most = max(most, p.descriptors())
		}
		if n == 5 {
			if got := p.adminCommand("standby"); got != "+OK standby\n" {
				t.Errorf("standby in a crowd: %q", got)
			}
			if got := p.adminCommand("active"); got != "+OK ready\n" {
				t.Errorf("active in a crowd: %q", got)
			}
		}
		if got := p.adminCommand("stats"); !strings.HasPrefix(got, "+OK figures\n") {
			t.Errorf("stats in a crowd: %q", got)
		}
	}
	for trouble := range slow {
		if trouble != "" {
			t.Error(trouble)
		}
	}
	close(stop)
	r.stopClients()
	if n := came(); n < 1000 {
		t.Error("the crowd was no crowd:", n)
	}
	r.check()
	if len(r.answers) > 1 || r.answers[200] < 20 {
		t.Error("answers by status: ", r.answers)
	}
	if most > 96 {
		t.Error("descriptors: ", most)
	}
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 5*time.Second)
}
