// Command 3 plays a worker that repeats the callback by which it handed back a first attempt, because
// the answer to it was lost, while the second attempt waits in its queue.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"stoatweir/review/standin"
)

const (
	budget    = 20 * time.Second
	repeat    = 2 * time.Second // how long a callback waits for its answer
	workTime  = 4 * time.Second
	otherEnds = 4 * time.Second // from the second attempt to the end of the other scheduler's jobs
	job       = "77aa10c2de935b04"
)

// machine is a worker with two slots. Jobs wait in order until a slot is free.
type machine struct {
	*standin.Worker
	mu      sync.Mutex
	taken   int // slots
	waiting []chan struct{}
	open    map[int]bool // attempts of the job that have neither ended nor been given up
	broken  string
	runs    int
}

func (m *machine) report() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("TEXT waiting=%d, avg_ms=%.2f, x0=%d", len(m.waiting), 2000+20*rand.Float64(), max(0, 2-m.taken))
}

// takeSlot waits for a slot.
func (m *machine) takeSlot() {
	m.mu.Lock()
	if m.taken < 2 {
		m.taken++
		m.mu.Unlock()
		return
	}
	granted := make(chan struct{})
	m.waiting = append(m.waiting, granted)
	m.mu.Unlock()
	<-granted
}

func (m *machine) freeSlot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting) > 0 {
		close(m.waiting[0])
		m.waiting = m.waiting[1:]
		return
	}
	m.taken--
}

func main() {
	r := standin.Open()
	first, second := &machine{Worker: r.Worker("s-1"), open: map[int]bool{}}, &machine{Worker: r.Worker("s-2")}
	second.taken = 2 // jobs of other schedulers, up to the end
	first.Report, second.Report = first.report, second.report
	first.CallTimeout = repeat
	targets := []standin.Target{first.Target("site-a", "fast", 0), second.Target("site-b", "fast", 1)}
	listen, admin := r.FreeAddress(), r.FreeAddress()
	relay := r.Relay(listen)
	first.Scheduler, second.Scheduler = relay.Address, listen
	second.Decide = func(*standin.Attempt) int { return http.StatusServiceUnavailable }

	execute := func(a *standin.Attempt) {
		first.takeSlot()
		r.Log("s-1 RUNS %s (its attempt %d)", a.ID, a.Number)
		first.mu.Lock()
		first.runs++
		first.mu.Unlock()
		first.Tell(a, "started", "")
		time.Sleep(workTime)
		first.freeSlot()
		first.mu.Lock()
		delete(first.open, a.Number)
		first.mu.Unlock()
		first.Tell(a, "done", "made "+a.ID)
	}
	secondTry := make(chan struct{})
	first.Decide = func(a *standin.Attempt) int {
		first.mu.Lock()
		defer first.mu.Unlock()
		if len(first.open) > 0 && !first.Cancelled(job) && first.broken == "" {
			first.broken = fmt.Sprintf("s-1 got attempt %d of %s while an earlier one had neither ended nor been given up", a.Number, job)
			r.Log("%s", first.broken)
		}
		first.open[a.Number] = true
		switch a.Number {
		case 1: // handed back unstarted
			delete(first.open, a.Number)
			if r.Trouble {
				relay.LoseAnswer()
			}
			go func() {
				time.Sleep(50 * time.Millisecond)
				first.Tell(a, "returned", "")
			}()
		case 2: // waits behind jobs of another scheduler
			first.taken = 2
			close(secondTry)
			go execute(a)
		default:
			go execute(a)
		}
		return http.StatusAccepted
	}

	discovery := r.Discovery("discovery", 0, targets...)
	settings := map[string]any{
		"Operations": []any{standin.Operation("season-sim", "read_like", budget.Seconds(),
			map[string]any{"BilledValue": 3.0, "LatencyObjective": 0.6, "LateBilledValue": 0.0})},
	}
	p := r.Start("n0", r.WriteConfig("n0", r.Config("n0", listen, admin, discovery, settings)))
	if !r.WaitFor(10*time.Second, func() bool { status, _ := r.Get(listen, "/-/ready"); return status == http.StatusOK }) {
		r.Fail("the scheduler does not get ready")
	}
	time.Sleep(2 * time.Second)
	client := r.Dial(listen)
	answered := make(chan standin.Answer, 1)
	go func() { answered <- client.Call(job, "season-sim", "/season-sim/u1", budget, "X-Call-Cost: 12000000") }()
	select {
	case <-secondTry:
	case <-time.After(1800 * time.Millisecond):
		r.Fail("no second attempt at s-1")
	}
	time.Sleep(otherEnds)
	r.Log("the two jobs of another scheduler at s-1 end")
	first.freeSlot()
	first.freeSlot()
	<-answered
	time.Sleep(time.Second)
	if p.Ended() {
		r.Fail("the scheduler has ended")
	}
	first.mu.Lock()
	defer first.mu.Unlock()
	r.Log("s-1 ran %s %d times", job, first.runs)
	if first.broken != "" {
		r.End(standin.Broken, "broken: "+first.broken)
	}
	r.End(standin.Held, "held: s-1 got no attempt beside an open one of the same request")
}
