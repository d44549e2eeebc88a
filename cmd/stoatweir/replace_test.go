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

// One process replaces another under steady load, twice: every invocation gets its answer, none is sent twice, news that
// reaches the other process finds its owner, and nothing is left behind.
func TestReplaceUnderLoad(t *testing.T) {
	r := newRig(t, 3, 120*time.Millisecond)
	p := r.start()
	r.ready(p)
	r.clients(4, "render")
	r.clients(2, "sale")
	time.Sleep(300 * time.Millisecond)
	for range 2 {
		next := r.start()
		r.ready(next)
		time.Sleep(200 * time.Millisecond) // both serve
		p.Process.Signal(syscall.SIGTERM)
		r.end(p, 2*time.Second)
		p = next
		time.Sleep(200 * time.Millisecond)
	}
	r.halt()
	p.Process.Signal(syscall.SIGTERM)
	r.end(p, 5*time.Second)
	r.check()
	if r.answers[200] < 50 || len(r.answers) > 1 {
		t.Error("answers by status: ", r.answers)
	}
	if left, _ := filepath.Glob(filepath.Join(r.dir, "tmp", "*")); len(left) > 0 {
		t.Error("left behind: ", left)
	}
}

// A new process that dies before its yes costs nothing, one that is killed after it little: the old one goes on. A third
// process waits for its turn. What was killed leaves its file, and the next one finds its way all the same.
func TestReplaceFails(t *testing.T) {
	r := newRig(t, 3, 50*time.Millisecond)
	p := r.start()
	r.ready(p)
	r.clients(4, "render")
	next := r.start()
	r.logged(p, "successor accepted", 1)
	next.Process.Kill()
	<-next.ended
	time.Sleep(200 * time.Millisecond)
	if got := p.ask("status"); got != "+OK ready\n" {
		t.Errorf("after the other's death: %q", got)
	}
	r.halt()
	r.check()
	if r.answers[200] == 0 || len(r.answers) > 1 {
		t.Error("answers by status: ", r.answers)
	}
	// Two in turn: the third one comes while the second has not said yes.
	second := r.start()
	r.logged(p, "successor accepted", 2)
	third := r.start()
	r.ready(second)
	p.Process.Signal(syscall.SIGTERM)
	r.end(p, 2*time.Second)
	r.ready(third)
	second.Process.Kill()
	<-second.ended
	if status, body := (&keptConn{addr: r.listen}).ask(post("/render/k", "X-Call-Id: last\r\nX-Call-Class: render\r\nX-Budget: 10\r\n", "")); status != 200 {
		text, _ := os.ReadFile(third.log)
		t.Errorf("after the second one's death: %v %v\n%s", status, body, text)
	}
	third.Process.Kill()
	<-third.ended
	fourth := r.start()
	r.ready(fourth)
}

// Work that runs longer than the old process has goes on at its worker, and its client gets the answer on the connection
// that it has, without a second attempt; idle connections go as well, and none is closed.
func TestReplacePassesWorkOn(t *testing.T) {
	r := newRig(t, 3, 5*time.Second)
	p := r.start()
	r.ready(p)
	answers := make(chan string)
	for n := range 6 {
		go func() {
			kept := &keptConn{addr: r.listen}
			kept.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
			first := kept.c
			class, id := []string{"render", "sale"}[n%2], fmt.Sprint("long-", n)
			status, body := kept.ask(post("/"+class+"/k", "X-Call-Id: "+id+"\r\nX-Call-Class: "+class+"\r\nX-Budget: 10\r\n", id))
			answers <- fmt.Sprint(status, " ", body, " on the same: ", kept.c == first)
		}()
	}
	idle := &keptConn{addr: r.listen}
	idle.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	before := idle.c
	for p.figures(t)["svc_outstanding"] < 6 {
		time.Sleep(10 * time.Millisecond)
	}
	next := r.start()
	r.ready(next)
	p.Process.Signal(syscall.SIGTERM)
	r.end(p, time.Second)
	if status, body := idle.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 || idle.c != before {
		t.Error("idle connection:", status, body)
	}
	for range 6 {
		if got := <-answers; !strings.HasPrefix(got, "200 made long-") || !strings.HasSuffix(got, "on the same: true") {
			t.Error(got)
		}
	}
	time.Sleep(2 * publishDelay)
	if got := next.figures(t); got["svc_outstanding"] != 0 || got[result("render", "succeeded")] != 3 || got[result("sale", "succeeded")] != 3 ||
		got["svc_forwards_total"] != 0 {
		t.Error(got)
	}
	r.check()
}
