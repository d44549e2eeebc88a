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

// reload writes the configuration file and signals the process to reload it. An empty text stands
// for the configuration of the rig.
func (r *testRig) reload(p *process, text string) {
	r.t.Helper()
	if text == "" {
		r.writeConfig()
	} else if err := os.WriteFile(filepath.Join(r.dir, "config.json"), []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
}

// setOperations replaces the operations in the settings of the configuration.
func (r *testRig) setOperations(list ...map[string]any) {
	settings := r.config["settings"].(map[string]any)
	settings["Operations"] = list
}

// waitUntilRunning waits until a worker runs a request. The published totals don't show that: they
// may be up to totalsPublishDelay old, and they count the requests of other clients too.
func (r *testRig) waitUntilRunning(id string) {
	r.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !r.isRunning(id); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatal("no worker runs the request after 10 s: ", id)
		}
	}
}

// isRunning reports whether a worker runs a request.
func (r *testRig) isRunning(id string) bool {
	return slices.ContainsFunc(r.workers, func(worker *rigWorker) bool {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		return worker.runningByID[id] > 0
	})
}

// Configurations are reloaded under load, also while draining: operations are added and removed,
// one becomes non-idempotent, and their order changes. Invalid files change nothing. Requests in
// flight keep the operation with which they arrived.
func TestReloadUnderLoad(t *testing.T) {
	r := newTestRig(t, 3, 100*time.Millisecond)
	p := r.startProcess()
	r.waitUntilReady(p)
	r.startClients(4, "render")
	r.startClients(2, "sale")
	time.Sleep(200 * time.Millisecond)
	validText, err := os.ReadFile(filepath.Join(r.dir, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	for n, invalidText := range []string{" ", string(validText[:len(validText)/2]), string(validText) + "{}",
		strings.Replace(string(validText), `"MostForwards":3`, `"MostForwards":0`, 1),
		strings.Replace(string(validText), `"MostForwards":3,`, ``, 1),
		strings.Replace(string(validText), `"ClientTimeout":10`, `"ClientTimeout":-1`, 1),
		strings.Replace(string(validText), `"Name":"sale"`, `"Name":"render"`, 1),
		strings.Replace(string(validText), `"Effect":"read_like"`, `"Effect":7`, 1)} {
		if invalidText == string(validText) {
			t.Fatal("the text to be rejected is the valid one: ", n)
		}
		r.reload(p, invalidText)
		r.waitForLog(p, "configuration rejected", n+1)
	}
	conn := &reusedConn{addr: r.listenAddr}
	if status, _ := conn.request(postRequest("/fresh/k", "X-Call-Id: f1\r\nX-Call-Class: fresh\r\nX-Budget: 5\r\n", "")); status != 404 {
		t.Error("status for an operation that does not exist yet, want 404:", status)
	}
	fresh := map[string]any{"Name": "fresh", "Effect": "read_like", "LatencyObjective": 2, "ClientTimeout": 10}
	sale := map[string]any{"Name": "sale", "Effect": "non_idempotent", "LatencyObjective": 2, "ClientTimeout": 10}
	render := map[string]any{"Name": "render", "Effect": "non_idempotent", "LatencyObjective": 2, "ClientTimeout": 10}
	r.setOperations(fresh, sale, render) // render becomes non-idempotent, and the order changes
	r.reload(p, "")
	r.waitForLog(p, "configuration applied", 1)
	if status, body := conn.request(postRequest("/fresh/k", "X-Call-Id: f2\r\nX-Call-Class: fresh\r\nX-Budget: 5\r\n", "")); status != 200 {
		t.Error("status and body for a new operation, want 200:", status, body)
	}
	// A burst of reload signals while draining.
	if got := p.adminCommand("standby"); got != "+OK standby\n" {
		t.Errorf("answer to standby: %q", got)
	}
	for range 10 {
		p.Process.Signal(syscall.SIGHUP)
	}
	r.waitForLog(p, "configuration applied", 2)
	if got := p.adminCommand("active"); got != "+OK ready\n" {
		t.Errorf("answer to active: %q", got)
	}
	r.stopClients()
	// The operation fresh is removed while a request of it is in flight, and the other operations
	// take its place: the request completes under the operation with which it arrived.
	pendingConn, answer := &reusedConn{addr: r.listenAddr}, make(chan int)
	go func() {
		status, _ := pendingConn.request(postRequest("/fresh/k", "X-Call-Id: f3\r\nX-Call-Class: fresh\r\nX-Budget: 5\r\n", ""))
		answer <- status
	}()
	r.waitUntilRunning("f3")
	applied := p.stats(t)["svc_sighup_applied_total"]
	r.setOperations(sale, render)
	r.reload(p, "")
	time.Sleep(20 * time.Millisecond)
	if status, _ := conn.request(postRequest("/fresh/k", "X-Call-Id: f4\r\nX-Call-Class: fresh\r\nX-Budget: 5\r\n", "")); status != 404 {
		t.Error("status for a removed operation, want 404:", status)
	}
	if status := <-answer; status != 200 {
		t.Error("status of a request whose operation was removed meanwhile, want 200:", status)
	}
	time.Sleep(2 * totalsPublishDelay)
	got := p.stats(t)
	if got["svc_sighup_rejected_total"] != 8 || applied < 2 || got["svc_sighup_applied_total"] != applied+1 ||
		got[resultMetric("fresh", "succeeded")] != 2 {
		t.Errorf("got %d reloads applied (want 2 or more), then %v, want one more, 8 rejected and 2 successes of fresh", applied, got)
	}
	r.checkPeers()
	if len(r.answersByStatus) > 1 || r.answersByStatus[200] < 20 {
		t.Error("answers by status: ", r.answersByStatus)
	}
}
