package dispatch

import (
	"encoding/json"
	"fmt"
	"time"
)

// A successor takes over from a scheduler. Measurements, ejections, the used slow-start budget, and
// invocations with their attempts continue unchanged. An attempt whose connection breaks afterwards is
// retried once, where that is safe.
func Example_successor() {
	config := testConfig()
	config.Schedulers = 1
	config.EndpointsPushed = true
	starting := readyEndpoint('c', 0)
	starting.StartKnown = true
	starting.StartedAt = 8 * time.Second
	starting.Incarnation = 7
	predecessor := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 0))
	predecessor.collects = true
	for n := InvocationID(1); n <= 5; n++ {
		predecessor.handleAt(predecessor.now+10*ms, arrival(n, 0, 0.1), freeSlotsResult('a', 1), freeSlotsResult('b', 1))
		predecessor.handleAt(predecessor.now+200*ms, predecessor.outcome(n, 0, Succeeded))
	}
	predecessor.handleAt(9*time.Second, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{starting}})
	reportFreeSlotsThen := func(at time.Duration, freeAtA float64, events ...Event) {
		predecessor.handleAt(at, freeSlotsResult('a', freeAtA), freeSlotsResult('b', 3), freeSlotsResult('c', 3))
		predecessor.handleAt(at+10*ms, events...)
		predecessor.runUntil(at + 90*ms)
	}
	reportFreeSlotsThen(9200*ms, 3, arrival(22, 2, 0.1))
	reportFreeSlotsThen(9300*ms, 3, arrival(23, 2, 0.1), arrival(21, 0, 0.1))
	reportFreeSlotsThen(9400*ms, 4, arrival(25, 0, 0.01), predecessor.outcome(21, 0, Failed))
	predecessor.handleAt(9500*ms, predecessor.outcome(25, 0, Succeeded))
	predecessor.printCollected("the predecessor")

	// The snapshot is passed as JSON to the other process, whose clock started clockOffset later.
	const clockOffset = 9 * time.Second
	successor := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 0))
	endpoint := starting
	endpoint.StartedAt -= clockOffset
	successor.collects = true
	successor.handleAt(200*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{endpoint}})
	text, err := json.Marshal(predecessor.dispatcher.Snapshot())
	var snapshot Snapshot
	if err == nil {
		err = json.Unmarshal(text, &snapshot)
	}
	successor.handleAt(350*ms, SnapshotLoaded{Snapshot: snapshot})
	meanRunTime := func(h *harness) float64 { return h.dispatcher.scheduler.operations[0].runTimes.mean() }
	fmt.Println(err, successor.dispatcher.Ejected(), predecessor.dispatcher.Ejected(), successor.dispatcher.scheduler.kindPace,
		meanRunTime(successor) == meanRunTime(predecessor))
	budgetUsed := func(h *harness) float64 {
		h.dispatcher.records[2].worker.publishView()
		return h.dispatcher.records[2].worker.budgetUsed
	}
	fmt.Println("budget used of the starting worker:", budgetUsed(predecessor) > 0, budgetUsed(successor) == budgetUsed(predecessor))
	for n := InvocationID(21); n <= 23; n++ {
		record, isOpen := predecessor.dispatcher.MigrationRecord(n)
		if !isOpen {
			fmt.Println(n, "has ended")
			continue
		}
		record.Invocation += 100
		successor.attemptWorkers[record.Invocation] = nil
		for _, attempt := range record.Attempts {
			successor.attemptWorkers[record.Invocation] = append(successor.attemptWorkers[record.Invocation], attempt.Worker)
		}
		fmt.Println(n, record.Age, len(record.Attempts), record.Budget)
		predecessor.handleAt(predecessor.now, MigratedOut{Invocation: n})
		successor.handleAt(400*ms, record)
	}
	predecessor.printCollected("the predecessor after that")
	successor.printCollected("the successor")
	last := len(successor.attemptWorkers[121]) - 1
	successor.handleAt(500*ms,
		successor.outcome(121, last, ConnectionBroken),
		successor.outcome(122, 0, ConnectionBroken),
		successor.outcome(123, 0, Succeeded))
	successor.printCollected("two break, one succeeds")
	predecessor.handleAt(20*time.Second, TimerFired{})
	predecessor.printCollected("the predecessor, much later")
	snapshot.Version++
	other := newHarness(config, readyEndpoint('a', 0))
	other.handleAt(10*ms, SnapshotLoaded{Snapshot: snapshot})
	fmt.Println("of another version:", len(other.dispatcher.scheduler.runTimes))
	// Output:
	// the predecessor: 1 to b; 2 to a; 3 to b; 4 to b; 5 to b; 22 to b; 23 to a; 21 to b; worker ejected worker=b reason="fails attempts"; 21 to a; 25 to c
	// <nil> 1 1 map[0:2] true
	// budget used of the starting worker: true true
	// 21 190ms 2 4.81s
	// 22 290ms 1 4.71s
	// 23 190ms 1 4.81s
	// the predecessor after that: nothing
	// the successor: nothing
	// two break, one succeeds: 122 failed; 121 to c
	// the predecessor, much later: nothing
	// of another version: 0
}
