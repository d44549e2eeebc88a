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
var inFlightSizes = flag.String("in-hand", "40,600", "sizes of the hand-over that TestTakeoverWithManyInFlight plays, by commas")

// handed is what became of the requests that migrated from one process to the other.
type migrationResult struct {
	count, served, rejected, errored, lost int
	timeToReady, timeToExit                time.Duration // until the successor's yes, and from the order to stop to the end
	predecessorMB, successorMB             int           // resident MB, of both, with all of it in flight
	predecessorDescriptors                 int           // descriptors of the first
	linkNote                               string        // what the logs say of the link
}

func (h migrationResult) String() string {
	return fmt.Sprintf("| %d | %d | %d | %d | %d | %.2f | %.2f | %d | %d | %d | %s |", h.count, h.served, h.rejected, h.errored,
		h.lost, h.timeToReady.Seconds(),
		h.timeToExit.Seconds(), h.predecessorMB, h.successorMB, h.predecessorDescriptors, h.linkNote)
}

// replaceWith has n long-running requests in flight, starts a successor beside the process and stops the process.
func takeOverInFlight(t *testing.T, count int) (result migrationResult) {
	r := newTestRig(t, 3, 4*time.Second+time.Duration(count)*5*time.Millisecond)
	for _, w := range r.workers {
		w.slots = make(chan struct{}, count+10)
	}
	// While both live each has half of the descriptors, and of these half are for requests in flight.
	r.config["limits"] = map[string]any{"memory_mb": 512, "sockets": 4*count + 400}
	deploymentSettings := r.config["settings"].(map[string]any)
	deploymentSettings["FamilyInfo"] = map[string]any{"TellsStart": true, "ReportX0": "free slots"}
	deploymentSettings["Report"] = map[string]any{"How": "probe", "Names": []string{"x0"}}
	deploymentSettings["Limits"] = map[string]any{"MostForwards": 1, "Cancel": true, "RetryAfter": true, "MaxRetryAfter": 1, "Probes": true}
	deploymentSettings["Operations"] = []map[string]any{{"Name": "render", "Effect": "non_idempotent", "LatencyObjective": 300,
		"ClientTimeout": 300}}
	r.writeConfig()
	predecessor := r.startProcess()
	r.waitUntilReady(predecessor)
	answers := make(chan string, count)
	var clients sync.WaitGroup
	for i := range count {
		conn, err := net.Dial("tcp", r.listenAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(100 * time.Second))
		id := fmt.Sprint("long-", i)
		io.WriteString(conn, postRequest("/render/k", "X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 300\r\n", id))
		clients.Add(1)
		go func() {
			defer clients.Done()
			statusLine, body, _, err := readAnswer(bufio.NewReader(conn))
			if err != nil {
				statusLine = "lost"
			} else if strings.HasSuffix(statusLine, " 200") && body != "made "+id {
				statusLine = "wrong: " + body
			}
			answers <- statusLine
		}()
		if i%50 == 49 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for deadline := time.Now().Add(15 * time.Second); predecessor.stats(t)["svc_forwards_total"] < count; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not ", count, " out: ", predecessor.stats(t), len(answers))
		}
	}
	time.Sleep(500 * time.Millisecond)
	result.count, result.predecessorMB, result.predecessorDescriptors = count, predecessor.residentMB(), predecessor.openDescriptors()
	start := time.Now()
	successor := r.startProcess()
	r.waitUntilReady(successor)
	result.timeToReady, start = time.Since(start), time.Now()
	predecessor.Process.Signal(syscall.SIGTERM)
	r.waitForExit(predecessor, 10*time.Second)
	result.timeToExit = time.Since(start)
	time.Sleep(200 * time.Millisecond)
	result.successorMB = successor.residentMB()
	clients.Wait()
	close(answers)
	for statusLine := range answers {
		switch {
		case strings.HasSuffix(statusLine, " 200"):
			result.served++
		case strings.HasSuffix(statusLine, " 503"):
			result.rejected++
		case strings.HasSuffix(statusLine, " 500"):
			result.errored++
		case statusLine == "lost":
			result.lost++
		default:
			t.Error(statusLine)
		}
	}
	if result.linkNote = "-"; strings.Contains(r.allLogs(), "successor exited") {
		result.linkNote = "the link was given up"
	}
	r.checkPeers()
	successor.Process.Signal(syscall.SIGTERM)
	r.waitForExit(successor, 5*time.Second)
	return result
}

// resident is what a process has of the machine's memory, in MB.
func (p *process) residentMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Process.Pid))
	var totalPages, residentPages int
	fmt.Sscan(string(text), &totalPages, &residentPages)
	return residentPages * os.Getpagesize() >> 20
}

// All requests in flight migrate to the successor, and each client gets its worker's result on the connection that it has. With
// -in-hand it plays other sizes and prints what became of them.
func TestTakeoverWithManyInFlight(t *testing.T) {
	for _, size := range strings.Split(*inFlightSizes, ",") {
		count, err := strconv.Atoi(size)
		if err != nil || count < 1 || count > 8000 {
			t.Fatal("-in-hand: ", size, " is no size from 1 to 8000")
		}
		result := takeOverInFlight(t, count)
		t.Log(result)
		if result.served != count {
			t.Error("not all were served: ", result)
		}
	}
}
