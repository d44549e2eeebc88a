package main

import (
	"syscall"
	"testing"
	"time"
)

// Drain, reload and take-over run in pairs under steady load beside many stalled clients: every
// request gets its answer, none is sent twice where that is not allowed, and the ledgers of the
// processes agree with what clients and workers saw.
func TestDrainReloadAndTakeoverInPairs(t *testing.T) {
	type action func(r *testRig, p *process) *process
	drain := func(r *testRig, p *process) *process {
		if got := p.adminCommand("standby"); got != "+OK standby\n" {
			t.Errorf("answer to standby: %q", got)
		}
		time.Sleep(300 * time.Millisecond)
		if got := p.adminCommand("active"); got != "+OK ready\n" {
			t.Errorf("answer to active: %q", got)
		}
		return p
	}
	reloads := 0
	reload := func(r *testRig, p *process) *process {
		reloads++
		render := map[string]any{"Name": "render", "Effect": "read_like", "LatencyObjective": 2 + float64(reloads), "ClientTimeout": 10}
		sale := map[string]any{"Name": "sale", "Effect": "non_idempotent", "LatencyObjective": 2, "ClientTimeout": 10}
		r.setOperations(sale, render)
		r.mu.Lock()
		all := r.processes
		r.mu.Unlock()
		r.writeConfig()
		for _, p := range all {
			p.Process.Signal(syscall.SIGHUP) // has no effect on processes that have exited
		}
		return p
	}
	takeOver := func(r *testRig, p *process) *process {
		successor := r.startProcess()
		r.waitUntilReady(successor)
		p.Process.Signal(syscall.SIGTERM)
		return successor
	}
	for _, pair := range []struct {
		name    string
		actions [2]action
	}{{"drain and reload", [2]action{drain, reload}}, {"reload and take-over", [2]action{reload, takeOver}},
		{"take-over and reload", [2]action{takeOver, reload}}, {"drain and take-over", [2]action{drain, takeOver}},
		{"take-over and drain", [2]action{takeOver, drain}}} {
		t.Run(pair.name, func(t *testing.T) {
			r := newTestRig(t, 3, 100*time.Millisecond)
			first := r.startProcess()
			r.waitUntilReady(first)
			stop := make(chan struct{})
			r.startStalledClients(5*time.Millisecond, stop)
			r.startClients(4, "render")
			r.startClients(2, "sale")
			time.Sleep(200 * time.Millisecond)
			p := first
			for _, action := range pair.actions {
				p = action(r, p)
			}
			time.Sleep(400 * time.Millisecond)
			if p != first {
				r.waitForExit(first, 4*time.Second) // incomplete requests of the stalled clients may use up their time
			}
			close(stop)
			r.stopClients()
			time.Sleep(2 * totalsPublishDelay)
			if got := p.stats(t); got["svc_outstanding"] != 0 || got["svc_discovered"] != 3 {
				t.Errorf("got figures %v, want no request outstanding and 3 workers discovered", got)
			}
			r.checkPeers()
			// On a machine that is short of CPU time an occasional 503 is correct. Any other status
			// is a failure.
			if r.answersByStatus[200] < 20 || r.answersByStatus[200]+r.answersByStatus[503] < sumCounts(r.answersByStatus) ||
				r.answersByStatus[503]*20 > r.answersByStatus[200] {
				t.Error("answers by status: ", r.answersByStatus, "\n", r.allLogs())
			}
		})
	}
}

func sumCounts(counts map[int]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}
