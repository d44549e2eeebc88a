package main

import (
	"path/filepath"
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
	r.logged(p, "a process has come to replace this one", 1)
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
	r.logged(p, "a process has come to replace this one", 2)
	third := r.start()
	r.ready(second)
	p.Process.Signal(syscall.SIGTERM)
	r.end(p, 2*time.Second)
	r.ready(third)
	second.Process.Kill()
	<-second.ended
	if status, body := (&keptConn{addr: r.listen}).ask(post("/render/k", "X-Call-Id: last\r\nX-Call-Class: render\r\nX-Budget: 5\r\n", "")); status != 200 {
		t.Error("after the second one's death:", status, body)
	}
	third.Process.Kill()
	<-third.ended
	fourth := r.start()
	r.ready(fourth)
}
