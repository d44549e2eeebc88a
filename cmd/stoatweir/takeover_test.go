package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// One process takes over from another under steady load, twice: every request gets its answer, none
// is sent twice, callbacks that reach the other process are relayed, and no temporary files are
// left.
func TestTakeoverUnderLoad(t *testing.T) {
	r := newTestRig(t, 3, 120*time.Millisecond)
	p := r.startProcess()
	r.waitUntilReady(p)
	r.startClients(4, "render")
	r.startClients(2, "sale")
	time.Sleep(300 * time.Millisecond)
	for range 2 {
		successor := r.startProcess()
		r.waitUntilReady(successor)
		time.Sleep(200 * time.Millisecond) // both serve
		p.Process.Signal(syscall.SIGTERM)
		r.waitForExit(p, 2*time.Second)
		p = successor
		time.Sleep(200 * time.Millisecond)
	}
	r.stopClients()
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 5*time.Second)
	r.checkPeers()
	if r.answersByStatus[200] < 50 || len(r.answersByStatus) > 1 {
		t.Error("answers by status: ", r.answersByStatus)
	}
	if left, _ := filepath.Glob(filepath.Join(r.dir, "tmp", "*")); len(left) > 0 {
		t.Error("temporary files left: ", left)
	}
}

// A successor that is killed before it is ready does not affect the predecessor, which keeps
// serving. A third process waits until the second has taken over, and serves when that one is
// killed. A killed process leaves its socket file behind, and the next process can take over
// nevertheless.
func TestFailedTakeoverKeepsServing(t *testing.T) {
	r := newTestRig(t, 3, 50*time.Millisecond)
	p := r.startProcess()
	r.waitUntilReady(p)
	r.startClients(4, "render")
	successor := r.startProcess()
	r.waitForLog(p, "successor accepted", 1)
	successor.Process.Kill()
	<-successor.exited
	time.Sleep(200 * time.Millisecond)
	if got := p.adminCommand("status"); got != "+OK ready\n" {
		t.Errorf("status after the successor was killed: %q", got)
	}
	r.stopClients()
	r.checkPeers()
	if r.answersByStatus[200] == 0 || len(r.answersByStatus) > 1 {
		t.Error("answers by status: ", r.answersByStatus)
	}
	// Two successors: the third process starts before the second is ready.
	second := r.startProcess()
	r.waitForLog(p, "successor accepted", 2)
	third := r.startProcess()
	r.waitUntilReady(second)
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 2*time.Second)
	r.waitUntilReady(third)
	second.Process.Kill()
	<-second.exited
	if status, body := (&reusedConn{addr: r.listenAddr}).request(postRequest("/render/k",
		"X-Call-Id: last\r\nX-Call-Class: render\r\nX-Budget: 10\r\n", "")); status != 200 {
		text, _ := os.ReadFile(third.logFile)
		t.Errorf("request after the second process was killed: %v %v\n%s", status, body, text)
	}
	third.Process.Kill()
	<-third.exited
	fourth := r.startProcess()
	r.waitUntilReady(fourth)
}

// A request that runs longer than the predecessor keeps running at its worker, and its client gets
// the answer on its existing connection, without a second attempt. Idle connections migrate as
// well, and none is closed.
func TestTakeoverMigratesRequests(t *testing.T) {
	r := newTestRig(t, 3, 5*time.Second)
	p := r.startProcess()
	r.waitUntilReady(p)
	answers := make(chan string)
	for n := range 6 {
		go func() {
			conn := &reusedConn{addr: r.listenAddr}
			conn.request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
			firstConn := conn.conn
			class, id := []string{"render", "sale"}[n%2], fmt.Sprint("long-", n)
			status, body := conn.request(postRequest("/"+class+"/k", "X-Call-Id: "+id+"\r\nX-Call-Class: "+class+"\r\nX-Budget: 10\r\n", id))
			answers <- fmt.Sprint(status, " ", body, " on the same: ", conn.conn == firstConn)
		}()
	}
	idle := &reusedConn{addr: r.listenAddr}
	idle.request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	idleConn := idle.conn
	for p.stats(t)["svc_outstanding"] < 6 {
		time.Sleep(10 * time.Millisecond)
	}
	successor := r.startProcess()
	r.waitUntilReady(successor)
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, time.Second)
	if status, body := idle.request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 || idle.conn != idleConn {
		t.Error("idle connection:", status, body)
	}
	for range 6 {
		if got := <-answers; !strings.HasPrefix(got, "200 made long-") || !strings.HasSuffix(got, "on the same: true") {
			t.Errorf("got answer %q, want status 200 and the result of the request, on the same connection", got)
		}
	}
	time.Sleep(2 * totalsPublishDelay)
	if got := successor.stats(t); got["svc_outstanding"] != 0 || got[resultMetric("render", "succeeded")] != 3 ||
		got[resultMetric("sale", "succeeded")] != 3 ||
		got["svc_forwards_total"] != 0 {
		t.Errorf("got figures %v, want 3 successes of render and of sale, no request outstanding and none forwarded", got)
	}
	r.checkPeers()
}
