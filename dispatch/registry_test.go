package dispatch

import (
	"fmt"
	"time"
)

// A drain is kept from the moment it is told; what the worker hands back goes elsewhere.
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

// Of the known list nothing is left, and the first list from discovery names only workers that nobody knew: what was
// sent to the old ones goes on where that does no harm, and nothing more goes to them.
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
	// 480ms 4 throttled, back after 750ms to 1.25s
}

// The list is asked for again after a failure, sooner than we would count as told, and not in step with others.
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
	// 0s asks for the list
	// 20ms endpoint watch failed, retrying retry_at=311.145821ms
	// 320ms asks for the list
	// 510ms endpoint watch failed, retrying retry_at=870.010051ms
	// 890ms asks for the list
}

// The first calls for the list are spread over the schedulers, inside the time after which they count as told.
func Example_pollSpread() {
	config := testConfig()
	config.EndpointsPushed, config.Schedulers = false, 1000
	var first [6]int
	for seed := range int64(config.Schedulers) {
		h := &harness{dispatcher: New(config, seed), attemptWorkers: map[InvocationID][]WorkerID{}, collects: true}
		h.handleAt(0, EndpointUpdate{Kind: FullUpdate, Endpoints: readyEndpoints(2)})
		for len(h.lines) == 0 {
			h.handleAt(h.now+100*ms, TimerFired{})
		}
		first[h.now/time.Second]++
	}
	fmt.Println("calls in each second:", first)
	// Output:
	// calls in each second: [184 201 198 200 202 15]
}

// What changed while nobody ran here counts as told from a scheduler's first moment: its first call comes well inside the grace,
// however many schedulers start with it. Without a grace it is spread over half of the time to ask within.
func Example_firstPoll() {
	for _, grace := range []time.Duration{0, 500 * ms} {
		latest := time.Duration(0)
		for seed := range int64(200) {
			config := testConfig()
			config.Schedulers, config.Rules.PollWithin, config.Rules.DrainGrace = 300, 5*time.Second, grace
			latest = max(latest, New(config, seed).pollAt)
		}
		fmt.Println(grace, latest > grace/16, latest <= grace/8, latest > 2*time.Second, latest <= 2500*ms)
	}
	// Output:
	// 0s true false true true
	// 500ms true true false true
}
