package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// order has the process read the file, once it is written whole.
func (r *rig) reread(p *process, text string) {
	r.t.Helper()
	if text == "" {
		r.writeConfig()
	} else if err := os.WriteFile(filepath.Join(r.dir, "config.json"), []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
}

func (r *rig) operations(list ...map[string]any) {
	settings := r.config["settings"].(map[string]any)
	settings["Operations"] = list
}

// waitUntilRunning waits until a worker runs an invocation. The published totals don't show that:
// they may be totalsPublishDelay old, and count what other clients had in flight.
func (r *rig) waitUntilRunning(id string) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); !r.isRunning(id); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal("no worker runs ", id)
		}
	}
}

// isRunning reports whether a worker runs an invocation.
func (r *rig) isRunning(id string) bool {
	return slices.ContainsFunc(r.workers, func(w *rigWorker) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.running[id] > 0
	})
}

// Configurations are reloaded under load, while draining too: classes appear and vanish, one becomes stricter, the list is
// reordered. Invalid files change nothing at all. Requests in flight keep the class under which they arrived.
func TestReloadUnderLoad(t *testing.T) {
	r := newRig(t, 3, 100*time.Millisecond)
	p := r.start()
	r.waitUntilReady(p)
	r.startClients(4, "render")
	r.startClients(2, "sale")
	time.Sleep(200 * time.Millisecond)
	whole, err := os.ReadFile(filepath.Join(r.dir, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	for n, bad := range []string{" ", string(whole[:len(whole)/2]), string(whole) + "{}",
		strings.Replace(string(whole), `"MostForwards":3`, `"MostForwards":0`, 1),
		strings.Replace(string(whole), `"MostForwards":3,`, ``, 1),
		strings.Replace(string(whole), `"ClientTimeout":10`, `"ClientTimeout":-1`, 1),
		strings.Replace(string(whole), `"Name":"sale"`, `"Name":"render"`, 1),
		strings.Replace(string(whole), `"Effect":"read_like"`, `"Effect":7`, 1)} {
		if bad == string(whole) {
			t.Fatal("the test breaks nothing: ", n)
		}
		r.reread(p, bad)
		r.waitForLog(p, "configuration rejected", n+1)
	}
	slow := &reusedConn{addr: r.listen}
	if status, _ := slow.request(post("/fresh/k", "X-Call-Id: f1\r\nX-Call-Class: fresh\r\nX-Budget: 5\r\n", "")); status != 404 {
		t.Error("a class that does not exist yet:", status)
	}
	fresh := map[string]any{"Name": "fresh", "Effect": "read_like", "LatencyObjective": 2, "ClientTimeout": 10}
	sale := map[string]any{"Name": "sale", "Effect": "non_idempotent", "LatencyObjective": 2, "ClientTimeout": 10}
	render := map[string]any{"Name": "render", "Effect": "non_idempotent", "LatencyObjective": 2, "ClientTimeout": 10}
	r.operations(fresh, sale, render) // render has become stricter, and all are in another order
	r.reread(p, "")
	r.waitForLog(p, "configuration applied", 1)
	if status, body := slow.request(post("/fresh/k", "X-Call-Id: f2\r\nX-Call-Class: fresh\r\nX-Budget: 5\r\n", "")); status != 200 {
		t.Error("a new class:", status, body)
	}
	// A burst of orders, and one in a drain.
	if got := p.adminCommand("standby"); got != "+OK standby\n" {
		t.Errorf("standby: %q", got)
	}
	for range 10 {
		p.Process.Signal(syscall.SIGHUP)
	}
	r.waitForLog(p, "configuration applied", 2)
	if got := p.adminCommand("active"); got != "+OK ready\n" {
		t.Errorf("active: %q", got)
	}
	r.stopClients()
	// fresh is removed while a request of it is in flight, and a class of another kind is added: the request ends as it arrived.
	kept, answer := &reusedConn{addr: r.listen}, make(chan int)
	go func() {
		status, _ := kept.request(post("/fresh/k", "X-Call-Id: f3\r\nX-Call-Class: fresh\r\nX-Budget: 5\r\n", ""))
		answer <- status
	}()
	r.waitUntilRunning("f3")
	applied := p.figures(t)["svc_sighup_applied_total"]
	r.operations(sale, render)
	r.reread(p, "")
	time.Sleep(20 * time.Millisecond)
	if status, _ := slow.request(post("/fresh/k", "X-Call-Id: f4\r\nX-Call-Class: fresh\r\nX-Budget: 5\r\n", "")); status != 404 {
		t.Error("a class that is gone:", status)
	}
	if status := <-answer; status != 200 {
		t.Error("of a class that has gone meanwhile:", status)
	}
	time.Sleep(2 * totalsPublishDelay)
	got := p.figures(t)
	if got["svc_sighup_rejected_total"] != 8 || applied < 2 || got["svc_sighup_applied_total"] != applied+1 ||
		got[result("fresh", "succeeded")] != 2 {
		t.Error(applied, got)
	}
	r.check()
	if len(r.answers) > 1 || r.answers[200] < 20 {
		t.Error("answers by status: ", r.answers)
	}
}
