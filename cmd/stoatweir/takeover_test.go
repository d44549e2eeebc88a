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

// One process takes over from another under steady load, twice: every request gets its answer, none is sent twice, callbacks that
// reach the other process are relayed, and nothing is left behind.
func TestTakeoverUnderLoad(t *testing.T) {
	r := newRig(t, 3, 120*time.Millisecond)
	p := r.start()
	r.waitUntilReady(p)
	r.startClients(4, "render")
	r.startClients(2, "sale")
	time.Sleep(300 * time.Millisecond)
	for range 2 {
		next := r.start()
		r.waitUntilReady(next)
		time.Sleep(200 * time.Millisecond) // both serve
		p.Process.Signal(syscall.SIGTERM)
		r.waitForExit(p, 2*time.Second)
		p = next
		time.Sleep(200 * time.Millisecond)
	}
	r.stopClients()
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 5*time.Second)
	r.check()
	if r.answers[200] < 50 || len(r.answers) > 1 {
		t.Error("answers by status: ", r.answers)
	}
	if left, _ := filepath.Glob(filepath.Join(r.dir, "tmp", "*")); len(left) > 0 {
		t.Error("left behind: ", left)
	}
}

// A successor that dies before it is ready costs nothing, one that is killed after it little: the predecessor goes on. A third
// process waits for its turn. A killed process leaves its socket file, and the next one takes over all the same.
func TestFailedTakeoverKeepsServing(t *testing.T) {
	r := newRig(t, 3, 50*time.Millisecond)
	p := r.start()
	r.waitUntilReady(p)
	r.startClients(4, "render")
	next := r.start()
	r.waitForLog(p, "successor accepted", 1)
	next.Process.Kill()
	<-next.exited
	time.Sleep(200 * time.Millisecond)
	if got := p.adminCommand("status"); got != "+OK ready\n" {
		t.Errorf("after the other's death: %q", got)
	}
	r.stopClients()
	r.check()
	if r.answers[200] == 0 || len(r.answers) > 1 {
		t.Error("answers by status: ", r.answers)
	}
	// Two in turn: the third one comes while the second has not said yes.
	second := r.start()
	r.waitForLog(p, "successor accepted", 2)
	third := r.start()
	r.waitUntilReady(second)
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 2*time.Second)
	r.waitUntilReady(third)
	second.Process.Kill()
	<-second.exited
	if status, body := (&reusedConn{addr: r.listen}).request(post("/render/k", "X-Call-Id: last\r\nX-Call-Class: render\r\nX-Budget: 10\r\n", "")); status != 200 {
		text, _ := os.ReadFile(third.log)
		t.Errorf("after the second one's death: %v %v\n%s", status, body, text)
	}
	third.Process.Kill()
	<-third.exited
	fourth := r.start()
	r.waitUntilReady(fourth)
}

// A request that runs longer than the predecessor goes on at its worker, and its client gets the answer on the connection that it
// has, without a second attempt; idle connections migrate as well, and none is closed.
func TestTakeoverMigratesRequests(t *testing.T) {
	r := newRig(t, 3, 5*time.Second)
	p := r.start()
	r.waitUntilReady(p)
	answers := make(chan string)
	for n := range 6 {
		go func() {
			kept := &reusedConn{addr: r.listen}
			kept.request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
			first := kept.c
			class, id := []string{"render", "sale"}[n%2], fmt.Sprint("long-", n)
			status, body := kept.request(post("/"+class+"/k", "X-Call-Id: "+id+"\r\nX-Call-Class: "+class+"\r\nX-Budget: 10\r\n", id))
			answers <- fmt.Sprint(status, " ", body, " on the same: ", kept.c == first)
		}()
	}
	idle := &reusedConn{addr: r.listen}
	idle.request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	before := idle.c
	for p.figures(t)["svc_outstanding"] < 6 {
		time.Sleep(10 * time.Millisecond)
	}
	next := r.start()
	r.waitUntilReady(next)
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, time.Second)
	if status, body := idle.request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 || idle.c != before {
		t.Error("idle connection:", status, body)
	}
	for range 6 {
		if got := <-answers; !strings.HasPrefix(got, "200 made long-") || !strings.HasSuffix(got, "on the same: true") {
			t.Error(got)
		}
	}
	time.Sleep(2 * totalsPublishDelay)
	if got := next.figures(t); got["svc_outstanding"] != 0 || got[result("render", "succeeded")] != 3 || got[result("sale", "succeeded")] != 3 ||
		got["svc_forwards_total"] != 0 {
		t.Error(got)
	}
	r.check()
}
