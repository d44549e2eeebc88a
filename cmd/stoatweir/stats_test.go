package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// stats returns the values of the admin command stats, by metric name with labels.
func (p *process) stats(t *testing.T) map[string]int {
	t.Helper()
	text := p.adminCommand("stats")
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if !strings.HasPrefix(text, "+OK") || lines[len(lines)-1] != "." {
		t.Fatalf("stats: %q", text)
	}
	values := map[string]int{}
	for _, line := range lines[1 : len(lines)-1] {
		separator := strings.LastIndexByte(line, ' ')
		var value int
		if _, err := fmt.Sscan(line[separator+1:], &value); err != nil {
			t.Fatalf("stats: %q", line)
		}
		values[line[:separator]] = value
	}
	return values
}

// resultMetric returns the metric name and labels for a disposition of an operation.
func resultMetric(class, disposition string) string {
	return fmt.Sprintf(`svc_results_total{service=%q,disposition=%q}`, class, disposition)
}

// The stats for operators agree with what clients and workers saw: results of each operation,
// attempts, and requests in flight.
func TestStatsMatchWhatPeersSaw(t *testing.T) {
	r := newTestRig(t, 3, 150*time.Millisecond)
	p := r.startProcess()
	r.waitUntilReady(p)
	r.startClients(5, "render")
	r.startClients(3, "sale")
	time.Sleep(700 * time.Millisecond)
	if got := p.stats(t); got["svc_outstanding"] != 8 || got["svc_discovered"] != 3 || got["svc_ejected"] != 0 {
		t.Error("under load:", got)
	}
	r.stopClients()
	time.Sleep(2 * totalsPublishDelay)
	got, attempts := p.stats(t), 0
	for _, worker := range r.workers {
		worker.mu.Lock()
		for _, n := range worker.attemptsByID {
			attempts += n
		}
		worker.mu.Unlock()
	}
	if n := got[resultMetric("render", "succeeded")] + got[resultMetric("sale", "succeeded")]; n != r.answersByStatus[200] || n < 20 {
		t.Error("succeeded:", n, "clients saw:", r.answersByStatus)
	}
	if got["svc_forwards_total"] != attempts || got["svc_outstanding"] != 0 || got[resultMetric("sale", "aborted")] != 0 {
		t.Error("workers saw", attempts, "in", got)
	}
	p.Process.Signal(syscall.SIGTERM)
	r.waitForExit(p, 5*time.Second)
}
