package dispatch

import (
	"fmt"
	"time"
)

// One slot is free: the rest is held and leaves by weight over effective size, whatever came first.
func Example_releaseOrder() {
	p := start(shop(), ready('a', 0))
	p.at(10*ms, free('a', 1))
	p.at(20*ms, job(1, 0, 0.1))
	p.at(30*ms, job(2, 0, 0.3), job(3, 2, 0.3), job(4, 0, 0.05))
	p.at(50*ms, p.end(1, 0, Succeeded))
	p.at(70*ms, p.end(4, 0, Succeeded))
	p.at(90*ms, p.end(3, 0, Succeeded))
	// Output:
	// 20ms 1 to a
	// 50ms 4 to a
	// 70ms 3 to a
	// 90ms 2 to a
}

// An operation whose running times spread wide has a larger effective size and goes later.
func Example_spread() {
	p := start(shop(), ready('a', 0))
	p.quiet = true
	for n, ran := range []time.Duration{100 * ms, 20 * ms, 300 * ms, 60 * ms, 500 * ms, 80 * ms, 400 * ms} {
		p.at(p.now+10*ms, job(InvocationID(n+1), 0, 0.1), free('a', 1))
		p.at(p.now+ran, p.end(InvocationID(n+1), 0, Succeeded))
	}
	p.lines = nil
	p.at(p.now+10*ms, free('a', 0))
	p.at(p.now+10*ms, job(11, 0, 0.1), job(12, 2, 0.6))
	p.at(p.now+10*ms, free('a', 1))
	p.tell("weight 1, hint 0.1, wide (11) against weight 4, hint 0.6 (12)")
	// Output:
	// weight 1, hint 0.1, wide (11) against weight 4, hint 0.6 (12): 12 to a
}

// A client's later try has less budget left, or a client waits for less than others from the first: that can't be told, so it
// goes behind and has what is left over. What can't be done in what is left is given up at once.
func Example_laterTry() {
	for _, slots := range []float64{2, 4} {
		fmt.Println("slots:", slots)
		p := start(shop(), ready('a', 0))
		p.at(10*ms, free('a', 0), job(1, 0, 0.1))
		again := job(2, 0, 0.1)
		again.Budget -= 500 * ms
		late := job(3, 0, 1)
		late.Budget = 200 * ms
		p.at(20*ms, again, job(4, 0, 0.2), late)
		p.at(40*ms, free('a', slots))
		p.until(800 * ms)
	}
	// Output:
	// slots: 2
	// 20ms 3 throttled, back after 750ms to 1.25s
	// 40ms 1 to a
	// 40ms 4 to a
	// 420ms 2 throttled, back after 750ms to 1.25s
	// slots: 4
	// 20ms 3 throttled, back after 750ms to 1.25s
	// 40ms 1 to a
	// 40ms 4 to a
	// 40ms 2 to a
}

// The order of the held follows what an answer still brings: what is late gives way, work beyond a tenant's share counts
// for less, and while work is given up the operation served worst counts again.
func Example_worth() {
	dep := shop()
	dep.Operations[0].LateWeight, dep.Operations[1].PriorityWeight = 0.5, 1
	dep.Tenants, dep.ExcessValue, dep.WorstOperationWeight = []Tenant{{QuotaPerSecond: 5}, {QuotaPerSecond: 100}}, 0.05, 1
	order := func(title string, jobs ...Arrival) *play {
		p := start(dep, ready('a', 0))
		p.at(10*ms, free('a', 0))
		for _, j := range jobs {
			p.at(p.now+20*ms, j)
		}
		p.quiet = true
		p.at(p.now+400*ms, free('a', 0))
		p.lines = nil
		fmt.Print(title, ":")
		for _, i := range p.d.scheduler.queue {
			fmt.Print(" ", p.d.scheduler.invocations[i].id)
		}
		fmt.Println()
		return p
	}
	by := func(a Arrival, tenant int) Arrival { a.Tenant = tenant; return a }
	order("smaller first", job(1, 0, 3), job(2, 0, 2))
	again := job(3, 0, 1)
	again.Budget -= 3 * time.Second
	order("a late one last", job(1, 0, 3), again, job(2, 0, 2))
	p := start(dep, ready('a', 0))
	p.at(10*ms, free('a', 1))
	p.d.scheduler.operations[0].longestBudget = again.Budget + 3*time.Second // as it has seen first tries
	p.at(20*ms, again)
	p.until(200 * ms)
	p.at(300*ms, free('a', 4))
	p.until(320 * ms)
	flood := []Arrival{by(job(1, 0, 4), 1)}
	for n := InvocationID(2); n < 6; n++ {
		flood = append(flood, by(job(n, 0, 3), 0))
	}
	order("a flood behind", flood...)
	dep.Tenants[0].QuotaPerSecond = 0
	order("no quota told", flood...)
	// Output:
	// smaller first: 2 1
	// a late one last: 2 1 3
	// 300ms 3 to a
	// a flood behind: 1 2 3 4 5
	// no quota told: 2 3 4 5 1
}
