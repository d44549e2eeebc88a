package dispatch

import (
	"fmt"
	"time"
)

// A worker gets nothing more from the moment an update says that it is draining. What it rejects is
// sent to another worker.
func Example_draining() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 1), arrival(1, 2, 0.2))
	drainingWorker := readyEndpoint('a', 0)
	drainingWorker.State = Draining
	h.handleAt(20*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{drainingWorker}}, arrival(2, 2, 0.2), arrival(3, 2, 0.2))
	h.handleAt(30*ms, h.outcome(1, 0, Rejected))
	h.handleAt(40*ms, h.outcome(2, 0, Succeeded))
	h.handleAt(100*ms, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{readyEndpoint('a', 0)}})
	h.handleAt(110*ms, freeSlotsResult('a', 4.1))
	// Output:
	// 10ms 1 to a
	// 20ms 2 to b
	// 40ms 3 to b
	// 100ms 1 to a
}

// The first list from discovery has none of the cached endpoints and names only new workers. What was
// sent to the old workers is retried where that is safe, and nothing more is sent to them.
func Example_allKnownWorkersGone() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 4), arrival(1, 0, 0.2), arrival(2, 2, 0.2))
	h.handleAt(100*ms, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{readyEndpoint('c', 0)}})
	h.handleAt(110*ms, freeSlotsResult('c', 4), arrival(3, 2, 0.2))
	h.handleAt(150*ms, EndpointUpdate{Kind: FullUpdate})
	h.handleAt(160*ms, arrival(4, 2, 0.2))
	h.runUntil(700 * ms)
	// Output:
	// 10ms 2 to b
	// 10ms 1 to a
	// 100ms 1 to c
	// 110ms 3 to c
	// 480ms 4 throttled, retry after 750ms to 1.25s
}

// After a failure the list is polled again within the time that the rules give, with jitter so that
// schedulers do not poll in step.
func Example_watchRetries() {
	config := testConfig()
	config.EndpointsPushed = false
	h := newHarness(config, readyEndpoint('a', 0))
	h.handleAt(20*ms, EndpointUpdate{Kind: WatchFailed})
	h.runUntil(500 * ms)
	h.handleAt(510*ms, EndpointUpdate{Kind: WatchFailed})
	h.runUntil(1500 * ms)
	h.handleAt(1510*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{readyEndpoint('b', 0)}})
	h.runUntil(9 * time.Second)
	// Output:
	// 0s watches the endpoint list
	// 20ms endpoint watch failed, retrying retry_at=311.145821ms
	// 320ms watches the endpoint list
	// 510ms endpoint watch failed, retrying retry_at=870.010051ms
	// 890ms watches the endpoint list
}

// The first polls of many schedulers are spread over the time that the rules give.
func Example_pollSpread() {
	config := testConfig()
	config.EndpointsPushed = false
	config.Schedulers = 1000
	var pollsBySecond [6]int
	for seed := range int64(config.Schedulers) {
		h := newIdleHarness(config, seed)
		h.collects = true
		h.handleAt(0, EndpointUpdate{Kind: FullUpdate, Endpoints: readyEndpoints(2)})
		for len(h.lines) == 0 {
			h.handleAt(h.now+100*ms, TimerFired{})
		}
		pollsBySecond[h.now/time.Second]++
	}
	fmt.Println("polls in each second:", pollsBySecond)
	// Output:
	// polls in each second: [184 201 198 200 202 15]
}

// Changes made before a scheduler started count from its first moment, so its first poll comes well
// within the drain grace, however many schedulers start together. Without a drain grace, the first
// poll is spread over half of PollWithin.
func Example_firstPoll() {
	for _, grace := range []time.Duration{0, 500 * ms} {
		latest := time.Duration(0)
		for seed := range int64(200) {
			config := testConfig()
			config.Schedulers = 300
			config.Rules.PollWithin = 5 * time.Second
			config.Rules.DrainGrace = grace
			latest = max(latest, New(config, seed).pollAt)
		}
		fmt.Println(grace, latest > grace/16, latest <= grace/8, latest > 2*time.Second, latest <= 2500*ms)
	}
	// Output:
	// 0s true false true true
	// 500ms true true false true
}
