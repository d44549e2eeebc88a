package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// inHand are the sizes of docs/CAPACITY.md for a take-over; without the flag a test plays a small one, and one with more than
// a link between two processes holds messages.
var inHand = flag.String("in-hand", "40,600", "sizes of the hand-over that TestTakeoverWithManyInFlight plays, by commas")

// handed is what became of the requests that migrated from one process to the other.
type handed struct {
	n, served, refused, errored, lost int
	serves, passes                    time.Duration // until the successor's yes, and from the order to stop to the end
	mem, memNext                      int           // resident MB, of both, with all of it in flight
	files                             int           // descriptors of the first
	told                              string        // what the logs say of the link
}

func (h handed) String() string {
	return fmt.Sprintf("| %d | %d | %d | %d | %d | %.2f | %.2f | %d | %d | %d | %s |", h.n, h.served, h.refused, h.errored, h.lost, h.serves.Seconds(),
		h.passes.Seconds(), h.mem, h.memNext, h.files, h.told)
}

// replaceWith has n long-running requests in flight, starts a successor beside the process and stops the process.
func replaceWith(t *testing.T, n int) (h handed) {
	r := newRig(t, 3, 4*time.Second+time.Duration(n)*5*time.Millisecond)
	for _, w := range r.workers {
		w.slots = make(chan struct{}, n+10)
	}
	// While both live each has half of the descriptors, and of these half are for requests in flight.
	r.config["limits"] = map[string]any{"memory_mb": 512, "sockets": 4*n + 400}
	s := r.config["settings"].(map[string]any)
	s["FamilyInfo"] = map[string]any{"TellsStart": true, "ReportX0": "free slots"}
	s["Report"] = map[string]any{"How": "probe", "Names": []string{"x0"}}
	s["Limits"] = map[string]any{"MostForwards": 1, "Cancel": true, "RetryAfter": true, "MaxRetryAfter": 1, "Probes": true}
	s["Operations"] = []map[string]any{{"Name": "render", "Effect": "non_idempotent", "LatencyObjective": 300, "ClientTimeout": 300}}
	r.writeConfig()
	p := r.start()
	r.waitUntilReady(p)
	answers := make(chan string, n)
	var clients sync.WaitGroup
	for i := range n {
		c, err := net.Dial("tcp", r.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(100 * time.Second))
		id := fmt.Sprint("long-", i)
		io.WriteString(c, post("/render/k", "X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 300\r\n", id))
		clients.Add(1)
		go func() {
			defer clients.Done()
			first, body, _, err := answerOf(bufio.NewReader(c))
			if err != nil {
				first = "lost"
			} else if strings.HasSuffix(first, " 200") && body != "made "+id {
				first = "wrong: " + body
			}
			answers <- first
		}()
		if i%50 == 49 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for end := time.Now().Add(15 * time.Second); p.figures(t)["svc_forwards_total"] < n; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not ", n, " out: ", p.figures(t), len(answers))
		}
	}
	time.Sleep(500 * time.Millisecond)
	h.n, h.mem, h.files = n, p.resident(), p.descriptors()
	began := time.Now()
	next := r.start()
	r.waitUntilReady(next)
	h.serves, began = time.Since(began), time.Now()
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 10*time.Second)
	h.passes = time.Since(began)
	time.Sleep(200 * time.Millisecond)
	h.memNext = next.resident()
	clients.Wait()
	close(answers)
	for first := range answers {
		switch {
		case strings.HasSuffix(first, " 200"):
			h.served++
		case strings.HasSuffix(first, " 503"):
			h.refused++
		case strings.HasSuffix(first, " 500"):
			h.errored++
		case first == "lost":
			h.lost++
		default:
			t.Error(first)
		}
	}
	if h.told = "-"; strings.Contains(r.logs(), "successor exited") {
		h.told = "the link was given up"
	}
	r.check()
	next.Process.Signal(syscall.SIGTERM)
	r.waitForExit(next, 5*time.Second)
	return h
}

// resident is what a process has of the machine's memory, in MB.
func (p *process) resident() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Process.Pid))
	var all, part int
	fmt.Sscan(string(text), &all, &part)
	return part * os.Getpagesize() >> 20
}

// All requests in flight migrate to the successor, and each client gets its worker's result on the connection that it has. With
// -in-hand it plays other sizes and prints what became of them.
func TestTakeoverWithManyInFlight(t *testing.T) {
	for _, word := range strings.Split(*inHand, ",") {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 || n > 8000 {
			t.Fatal("-in-hand: ", word, " is no size from 1 to 8000")
		}
		h := replaceWith(t, n)
		t.Log(h)
		if h.served != n {
			t.Error("not all were served: ", h)
		}
	}
}
