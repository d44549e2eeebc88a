// Command 1 plays a planned replacement of the process while a worker still repeats a callback whose
// answer was lost.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"stoatweir/review/standin"
)

const (
	budget   = 25 * time.Second
	repeat   = 3 * time.Second // how long a callback waits for its answer
	workTime = 4 * time.Second
	job      = "5d0c1f7a92be3340"
)

// machine is a worker with one slot. A job waits until the slot is free.
type machine struct {
	*standin.Worker
	slot sync.Mutex
	free atomic.Int32
	runs atomic.Int32 // of the job
}

func main() {
	r := standin.Open()
	// ONLY=answer and ONLY=replacement leave one of the two disruptions out.
	loses := r.Trouble && os.Getenv("ONLY") != "replacement"
	replaced := r.Trouble && os.Getenv("ONLY") != "answer"
	first, second := &machine{Worker: r.Worker("s-1")}, &machine{Worker: r.Worker("s-2")}
	var targets []standin.Target
	for n, m := range []*machine{first, second} {
		m.CallTimeout = repeat
		m.Report = func() string {
			free := m.free.Load()
			noise := 0.01 * rand.Float64()
			r.Log("%s reports x0=%d", m.UID, free)
			return fmt.Sprintf("TEXT waiting=0, avg_ms=%.2f, x0=%d", 2000*(1+noise), free)
		}
		targets = append(targets, m.Target([]string{"site-a", "site-b"}[n], "fast", n))
	}
	listen, admin, adminNext := r.FreeAddress(), r.FreeAddress(), r.FreeAddress()
	relay := r.Relay(listen)
	first.Scheduler, second.Scheduler = relay.Address, listen
	first.free.Store(1)

	execute := func(m *machine, a *standin.Attempt) {
		m.slot.Lock()
		defer m.slot.Unlock()
		m.free.Store(0)
		r.Log("%s RUNS %s (its attempt %d)", m.UID, a.ID, a.Number)
		if a.ID == job {
			m.runs.Add(1)
		}
		m.Tell(a, "started", "")
		time.Sleep(workTime)
		go m.Tell(a, "done", "made "+a.ID)
		m.free.Store(1)
	}
	secondTry := make(chan struct{})
	release := make(chan struct{}) // the job of another scheduler at s-1 has ended
	first.Decide = func(a *standin.Attempt) int {
		switch a.Number {
		case 1: // handed back unstarted
			if loses {
				relay.LoseAnswer()
			}
			go func() {
				time.Sleep(50 * time.Millisecond)
				first.Tell(a, "returned", "")
			}()
		case 2: // waits behind a job of another scheduler
			first.free.Store(0)
			close(secondTry)
			go func() {
				<-release
				execute(first, a)
			}()
		default:
			go execute(first, a)
		}
		return http.StatusAccepted
	}
	second.Decide = func(a *standin.Attempt) int {
		if second.free.Load() == 0 {
			return http.StatusServiceUnavailable
		}
		go execute(second, a)
		return http.StatusAccepted
	}

	discovery := r.Discovery("discovery", 0, targets...)
	settings := map[string]any{
		"FamilyInfo": map[string]any{
			"ClassKind": []int{-1}, "ClassPriority": []int{1}, "ClassStretch": []float64{2.5},
			"Progress": 2.0, "QueueOrder": "fifo", "ReportX0": "free slots", "ReportX1": "free memory", "TellsStart": true,
		},
		"Operations": []any{standin.Operation("market-sale", "non_idempotent", budget.Seconds(),
			map[string]any{"BilledValue": 5.0, "LatencyObjective": 1.0, "LateBilledValue": 0.0})},
	}
	old := r.Start("old", r.WriteConfig("old", r.Config("n0", listen, admin, discovery, settings)))
	if !r.WaitFor(10*time.Second, func() bool { return r.Admin(admin, "status") == "+OK ready" }) {
		r.Fail("the scheduler does not get ready: %q", r.Admin(admin, "status"))
	}
	time.Sleep(2 * time.Second)
	client := r.Dial(listen)
	answered := make(chan standin.Answer, 1)
	go func() { answered <- client.Call(job, "market-sale", "/market-sale/u1", budget, "X-Call-Cost: 6000000") }()
	select {
	case <-secondTry:
	case <-time.After(2500 * time.Millisecond):
		r.Fail("no second attempt at s-1")
	}
	if replaced {
		r.Start("new", r.WriteConfig("new", r.Config("n0", listen, adminNext, discovery, settings)))
		if !r.WaitFor(6*time.Second, func() bool { return r.Admin(adminNext, "status") == "+OK ready" }) {
			r.Fail("the next process does not get ready")
		}
		r.Signal(old, syscall.SIGTERM)
	}
	time.Sleep(time.Second)
	r.Log("the queue of s-2 is empty from now on")
	second.free.Store(1)
	time.Sleep(5 * time.Second)
	r.Log("the job of another scheduler at s-1 has ended")
	close(release)
	<-answered
	time.Sleep(workTime + time.Second)
	runs := first.runs.Load() + second.runs.Load()
	r.Log("the workers ran %s %d times", job, runs)
	if runs > 1 {
		r.End(standin.Broken, "broken: a non-idempotent invocation ran twice")
	}
	r.End(standin.Held, "held: a non-idempotent invocation ran at most once")
}
