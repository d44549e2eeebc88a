package dispatch

import (
	"fmt"
	"time"
)

// With one free slot, the other invocations are queued and released by weight over effective size,
// not in order of arrival.
func Example_releaseOrder() {
	h := newHarness(testConfig(), readyEndpoint('a', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 1))
	h.handleAt(20*ms, arrival(1, 0, 0.1))
	h.handleAt(30*ms, arrival(2, 0, 0.3), arrival(3, 2, 0.3), arrival(4, 0, 0.05))
	h.handleAt(50*ms, h.outcome(1, 0, Succeeded))
	h.handleAt(70*ms, h.outcome(4, 0, Succeeded))
	h.handleAt(90*ms, h.outcome(3, 0, Succeeded))
	// Output:
	// 20ms 1 to a
	// 50ms 4 to a
	// 70ms 3 to a
	// 90ms 2 to a
}

// An operation with a wide spread of running times has a larger effective size and is released later.
func Example_runTimeSpread() {
	h := newHarness(testConfig(), readyEndpoint('a', 0))
	h.collects = true
	for n, ran := range []time.Duration{100 * ms, 20 * ms, 300 * ms, 60 * ms, 500 * ms, 80 * ms, 400 * ms} {
		h.handleAt(h.now+10*ms, arrival(InvocationID(n+1), 0, 0.1), freeSlotsResult('a', 1))
		h.handleAt(h.now+ran, h.outcome(InvocationID(n+1), 0, Succeeded))
	}
	h.lines = nil
	h.handleAt(h.now+10*ms, freeSlotsResult('a', 0))
	h.handleAt(h.now+10*ms, arrival(11, 0, 0.1), arrival(12, 2, 0.6))
	h.handleAt(h.now+10*ms, freeSlotsResult('a', 1))
	h.printCollected("weight 1, hint 0.1, wide (11) against weight 4, hint 0.6 (12)")
	// Output:
	// weight 1, hint 0.1, wide (11) against weight 4, hint 0.6 (12): 12 to a
}

// An invocation with a smaller budget is a client's own retry, or comes from a client with a
// shorter timeout. The two cannot be told apart, so it ranks last and gets the capacity that is
// left. An invocation that can no longer meet its deadline is throttled at once.
func Example_smallerBudget() {
	for _, slots := range []float64{2, 4} {
		fmt.Println("slots:", slots)
		h := newHarness(testConfig(), readyEndpoint('a', 0))
		h.handleAt(10*ms, freeSlotsResult('a', 0), arrival(1, 0, 0.1))
		retried := arrival(2, 0, 0.1)
		retried.Budget -= 500 * ms
		short := arrival(3, 0, 1)
		short.Budget = 200 * ms
		h.handleAt(20*ms, retried, arrival(4, 0, 0.2), short)
		h.handleAt(40*ms, freeSlotsResult('a', slots))
		h.runUntil(800 * ms)
	}
	// Output:
	// slots: 2
	// 20ms 3 throttled, retry after 750ms to 1.25s
	// 40ms 1 to a
	// 40ms 4 to a
	// 420ms 2 throttled, retry after 750ms to 1.25s
	// slots: 4
	// 20ms 3 throttled, retry after 750ms to 1.25s
	// 40ms 1 to a
	// 40ms 4 to a
	// 40ms 2 to a
}

// The queue is ordered by what an answer is still worth: late work ranks lower, work beyond a
// tenant's quota counts for less, and while work is shed the worst served operation counts a second
// time.
func Example_rankByValue() {
	config := testConfig()
	config.Operations[0].LateWeight = 0.5
	config.Operations[1].PriorityWeight = 1
	config.Tenants = []Tenant{{QuotaPerSecond: 5}, {QuotaPerSecond: 100}}
	config.ExcessWeight = 0.05
	config.WorstOperationWeight = 1
	order := func(title string, arrivals ...Arrival) *harness {
		h := newHarness(config, readyEndpoint('a', 0))
		h.handleAt(10*ms, freeSlotsResult('a', 0))
		for _, a := range arrivals {
			h.handleAt(h.now+20*ms, a)
		}
		h.collects = true
		h.handleAt(h.now+400*ms, freeSlotsResult('a', 0))
		h.lines = nil
		fmt.Print(title, ":")
		for _, i := range h.dispatcher.scheduler.queue {
			fmt.Print(" ", h.dispatcher.scheduler.invocations[i].id)
		}
		fmt.Println()
		return h
	}
	fromTenant := func(a Arrival, tenant int) Arrival {
		a.Tenant = tenant
		return a
	}
	order("smaller first", arrival(1, 0, 3), arrival(2, 0, 2))
	retried := arrival(3, 0, 1)
	retried.Budget -= 3 * time.Second
	order("a late one last", arrival(1, 0, 3), retried, arrival(2, 0, 2))
	h := newHarness(config, readyEndpoint('a', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 1))
	// As if earlier requests had come with the full budget.
	h.dispatcher.scheduler.operations[0].longestBudget = retried.Budget + 3*time.Second
	h.handleAt(20*ms, retried)
	h.runUntil(200 * ms)
	h.handleAt(300*ms, freeSlotsResult('a', 4))
	h.runUntil(320 * ms)
	flood := []Arrival{fromTenant(arrival(1, 0, 4), 1)}
	for n := InvocationID(2); n < 6; n++ {
		flood = append(flood, fromTenant(arrival(n, 0, 3), 0))
	}
	order("a flood behind", flood...)
	config.Tenants[0].QuotaPerSecond = 0
	order("no quota configured", flood...)
	// Output:
	// smaller first: 2 1
	// a late one last: 2 1 3
	// 300ms 3 to a
	// a flood behind: 1 2 3 4 5
	// no quota configured: 2 3 4 5 1
}
