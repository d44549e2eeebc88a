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

// inFlightSizes are the numbers of requests in flight that TestTakeoverWithManyInFlight runs with.
// docs/CAPACITY.md has the results for larger ones. Of the default sizes one is small, and one is
// larger than the number of messages that the link between two processes can hold.
var inFlightSizes = flag.String("in-hand", "40,600", "comma-separated numbers of requests in flight for TestTakeoverWithManyInFlight")

// migrationResult is the outcome of a take-over for the requests in flight, with the resources of
// both processes.
type migrationResult struct {
	count, served, rejected, errored, lost int
	timeToReady, timeToExit                time.Duration // successor's start to ready; predecessor's stop signal to exit
	predecessorMB, successorMB             int           // resident memory in MiB with all requests in flight
	predecessorDescriptors                 int           // open descriptors of the predecessor
	linkNote                               string        // what the logs say about the link between the processes
}

func (r migrationResult) String() string {
	return fmt.Sprintf("| %d | %d | %d | %d | %d | %.2f | %.2f | %d | %d | %d | %s |", r.count, r.served, r.rejected, r.errored,
		r.lost, r.timeToReady.Seconds(),
		r.timeToExit.Seconds(), r.predecessorMB, r.successorMB, r.predecessorDescriptors, r.linkNote)
}

// takeOverInFlight sends the given number of long-running requests, starts a successor and stops
// the first process.
func takeOverInFlight(t *testing.T, count int) (result migrationResult) {
	r := newTestRig(t, 3, 4*time.Second+time.Duration(count)*5*time.Millisecond)
	for _, worker := range r.workers {
		worker.slots = make(chan struct{}, count+10)
	}
	// While both processes run, each has half of the descriptors, and may have at most half as many
	// requests in flight as it has descriptors.
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
			outcome, body, _, err := readAnswer(bufio.NewReader(conn))
			if err != nil {
				outcome = "lost"
			} else if strings.HasSuffix(outcome, " 200") && body != "made "+id {
				outcome = "wrong result: " + body
			}
			answers <- outcome
		}()
		if i%50 == 49 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for deadline := time.Now().Add(15 * time.Second); predecessor.stats(t)["svc_forwards_total"] < count; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("fewer than ", count, " requests were forwarded: ", predecessor.stats(t), len(answers))
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
	for outcome := range answers {
		switch {
		case strings.HasSuffix(outcome, " 200"):
			result.served++
		case strings.HasSuffix(outcome, " 503"):
			result.rejected++
		case strings.HasSuffix(outcome, " 500"):
			result.errored++
		case outcome == "lost":
			result.lost++
		default:
			t.Errorf("got outcome %q, want status 200 with the right result, 500, 503 or lost", outcome)
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

// residentMB returns the resident memory of a process in MiB.
func (p *process) residentMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Process.Pid))
	var totalPages, residentPages int
	fmt.Sscan(string(text), &totalPages, &residentPages)
	return residentPages * os.Getpagesize() >> 20
}

// All requests in flight migrate to the successor, and each client gets its result on its existing
// connection. The flag -in-hand sets other numbers of requests. The log has the outcome as a row of
// a table.
func TestTakeoverWithManyInFlight(t *testing.T) {
	for _, size := range strings.Split(*inFlightSizes, ",") {
		count, err := strconv.Atoi(size)
		if err != nil || count < 1 || count > 8000 {
			t.Fatal("-in-hand: ", size, " is not a size from 1 to 8000")
		}
		result := takeOverInFlight(t, count)
		t.Log(result)
		if result.served != count {
			t.Error("not all requests were served: ", result)
		}
	}
}
