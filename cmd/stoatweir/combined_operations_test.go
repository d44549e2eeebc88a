package main

import (
	"syscall"
	"testing"
	"time"
)

// Drain, reload and take-over in pairs under steady load beside many stalled clients: every request gets its answer, none is
// sent twice where it may not be, and the ledgers of all processes together are what clients and workers saw.
func TestDrainReloadAndTakeoverInPairs(t *testing.T) {
	type act func(r *rig, p *process) *process
	drain := func(r *rig, p *process) *process {
		if got := p.adminCommand("standby"); got != "+OK standby\n" {
			t.Errorf("standby: %q", got)
		}
		time.Sleep(300 * time.Millisecond)
		if got := p.adminCommand("active"); got != "+OK ready\n" {
			t.Errorf("active: %q", got)
		}
		return p
	}
	n := 0
	retune := func(r *rig, p *process) *process {
		n++
		render := map[string]any{"Name": "render", "Effect": "read_like", "LatencyObjective": 2 + float64(n), "ClientTimeout": 10}
		sale := map[string]any{"Name": "sale", "Effect": "non_idempotent", "LatencyObjective": 2, "ClientTimeout": 10}
		r.operations(sale, render)
		r.mu.Lock()
		all := r.processes
		r.mu.Unlock()
		r.writeConfig()
		for _, p := range all {
			p.Process.Signal(syscall.SIGHUP) // those that have ended do not mind
		}
		return p
	}
	replace := func(r *rig, p *process) *process {
		next := r.start()
		r.waitUntilReady(next)
		p.Process.Signal(syscall.SIGTERM)
		return next
	}
	for _, pair := range []struct {
		name string
		acts [2]act
	}{{"drain and retune", [2]act{drain, retune}}, {"retune and replace", [2]act{retune, replace}},
		{"replace and retune", [2]act{replace, retune}}, {"drain and replace", [2]act{drain, replace}},
		{"replace and drain", [2]act{replace, drain}}} {
		t.Run(pair.name, func(t *testing.T) {
			r := newRig(t, 3, 100*time.Millisecond)
			first := r.start()
			r.waitUntilReady(first)
			stop := make(chan struct{})
			r.crowd(5*time.Millisecond, stop)
			r.startClients(4, "render")
			r.startClients(2, "sale")
			time.Sleep(200 * time.Millisecond)
			p := first
			for _, act := range pair.acts {
				p = act(r, p)
			}
			time.Sleep(400 * time.Millisecond)
			if p != first {
				r.waitForExit(first, 4*time.Second) // half requests of the crowd have their time
			}
			close(stop)
			r.stopClients()
			time.Sleep(2 * totalsPublishDelay)
			if got := p.figures(t); got["svc_outstanding"] != 0 || got["svc_discovered"] != 3 {
				t.Error(got)
			}
			r.check()
			// On a machine that is short of processor time a refusal is right now and then; anything else is lost.
			if r.answers[200] < 20 || r.answers[200]+r.answers[503] < sum(r.answers) || r.answers[503]*20 > r.answers[200] {
				t.Error("answers by status: ", r.answers, "\n", r.logs())
			}
		})
	}
}

func sum(counts map[int]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}
