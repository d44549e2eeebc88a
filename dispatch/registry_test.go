package dispatch

import (
	"fmt"
	"time"
)

// A drain is kept from the moment it is told; what the worker hands back goes elsewhere.
func Example_drain() {
	p := start(shop(), ready('a', 0), ready('b', 0))
	p.at(10*ms, free('a', 4), free('b', 1), job(1, 2, 0.2))
	drains := ready('a', 0)
	drains.State = Draining
	p.at(20*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{drains}}, job(2, 2, 0.2), job(3, 2, 0.2))
	p.at(30*ms, p.end(1, 0, Rejected))
	p.at(40*ms, p.end(2, 0, Succeeded))
	p.at(100*ms, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{ready('a', 0)}})
	p.at(110*ms, free('a', 4.1))
	// Output:
	// 10ms 1 to a
	// 20ms 2 to b
	// 40ms 3 to b
	// 100ms 1 to a
}

// Of the known list nothing is left, and the first list from discovery names only workers that nobody knew: what was
// sent to the old ones goes on where that does no harm, and nothing more goes to them.
func Example_knownAllGone() {
	p := start(shop(), ready('a', 0), ready('b', 0))
	p.at(10*ms, free('a', 4), free('b', 4), job(1, 0, 0.2), job(2, 2, 0.2))
	p.at(100*ms, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{ready('c', 0)}})
	p.at(110*ms, free('c', 4), job(3, 2, 0.2))
	p.at(150*ms, EndpointUpdate{Kind: FullUpdate})
	p.at(160*ms, job(4, 2, 0.2))
	p.until(700 * ms)
	// Output:
	// 10ms 2 to b
	// 10ms 1 to a
	// 100ms 1 to c
	// 110ms 3 to c
	// 480ms 4 throttled, back after 750ms to 1.25s
}

// The list is asked for again after a failure, sooner than we would count as told, and not in step with others.
func Example_list() {
	dep := shop()
	dep.EndpointsPushed = false
	p := start(dep, ready('a', 0))
	p.at(20*ms, EndpointUpdate{Kind: WatchFailed})
	p.until(500 * ms)
	p.at(510*ms, EndpointUpdate{Kind: WatchFailed})
	p.until(1500 * ms)
	p.at(1510*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{ready('b', 0)}})
	p.until(9 * time.Second)
	// Output:
	// 0s asks for the list
	// 20ms endpoint watch failed, retrying retry_at=311.145821ms
	// 320ms asks for the list
	// 510ms endpoint watch failed, retrying retry_at=870.010051ms
	// 890ms asks for the list
}

// The first calls for the list are spread over the schedulers, inside the time after which they count as told.
func Example_listSpread() {
	dep := shop()
	dep.EndpointsPushed, dep.Schedulers = false, 1000
	var first [6]int
	for seed := range int64(dep.Schedulers) {
		p := &play{d: New(dep, seed), went: map[InvocationID][]WorkerID{}, quiet: true}
		p.at(0, EndpointUpdate{Kind: FullUpdate, Endpoints: fleet(2)})
		for len(p.lines) == 0 {
			p.at(p.now+100*ms, TimerFired{})
		}
		first[p.now/time.Second]++
	}
	fmt.Println("calls in each second:", first)
	// Output:
	// calls in each second: [184 201 198 200 202 15]
}

// What changed while nobody ran here counts as told from a scheduler's first moment: its first call comes well inside the grace,
// however many schedulers start with it. Without a grace it is spread over half of the time to ask within.
func Example_firstCall() {
	for _, grace := range []time.Duration{0, 500 * ms} {
		most := time.Duration(0)
		for seed := range int64(200) {
			dep := shop()
			dep.Schedulers, dep.Rules.PollWithin, dep.Rules.DrainGrace = 300, 5*time.Second, grace
			most = max(most, New(dep, seed).pollAt)
		}
		fmt.Println(grace, most > grace/16, most <= grace/8, most > 2*time.Second, most <= 2500*ms)
	}
	// Output:
	// 0s true false true true
	// 500ms true true false true
}
