package dispatch

import (
	"fmt"
	"time"
)

// bounded is a deployment where a repeat of operation 1 is dropped for a second, and late answers have a value.
func dedupConfig(scope DedupScope) Config {
	config := testConfig()
	operation := &config.Operations[1]
	operation.DedupScope, operation.DedupWindow, operation.LateWeight = scope, time.Second, 0.5
	return config
}

// held has invocation 1 sent to a at 20 ms and broken off, and its repeat held, as b has no room.
func harnessWithQueuedRetry(config Config) *harness {
	h := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 1))
	h.collects, h.deferHealthChecks = true, true
	h.handleAt(10*ms, freeSlotsResult('a', 1), freeSlotsResult('b', 0), freeSlotsResult('c', 0))
	h.handleAt(20*ms, arrival(1, 1, 0.2))
	h.runUntil(60 * ms)
	h.handleAt(120*ms, h.outcome(1, 0, ConnectionBroken), freeSlotsResult('b', 0), freeSlotsResult('c', 0))
	return h
}

// full lets time pass with no room anywhere.
func (p *harness) runWithoutCapacity(end time.Duration) {
	for p.now+tickInterval <= end {
		p.handleAt(p.now+tickInterval, freeSlotsResult('a', 0), freeSlotsResult('b', 0), freeSlotsResult('c', 0))
	}
}

// A repeat waits for room. Once its window has passed it must not leave, whatever room there is: its client is answered at
// once.
func Example_queuedPastItsWindow() {
	for _, scope := range []DedupScope{ScopeAll, ScopeZone, ScopeCell} {
		for _, freeAt := range []time.Duration{900 * ms, 1100 * ms} {
			h := harnessWithQueuedRetry(dedupConfig(scope))
			h.runWithoutCapacity(freeAt)
			h.printCollected(fmt.Sprint("held until ", freeAt))
			h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
			h.runUntil(h.now + 300*ms)
			h.printCollected("room")
		}
	}
	// Output:
	// held until 900ms: 1 to a
	// room: 1 to b
	// held until 1.1s: 1 to a; 1 throttled, back after 750ms to 1.25s
	// room: nothing
	// held until 900ms: 1 to a
	// room: 1 to b
	// held until 1.1s: 1 to a; 1 errored
	// room: nothing
	// held until 900ms: 1 to a
	// room: 1 to b
	// held until 1.1s: 1 to a; 1 errored
	// room: nothing
}

// What a list says of a worker later does not move what may have run there: the repeats are dropped where it ran.
func Example_queuedWhileItsWorkerChangesZone() {
	for _, scope := range []DedupScope{ScopeZone, ScopeCell} {
		h := harnessWithQueuedRetry(dedupConfig(scope))
		h.runWithoutCapacity(200 * ms)
		moved := readyEndpoint('a', 1)
		h.handleAt(h.now+10*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{moved}})
		h.handleAt(h.now+10*ms, freeSlotsResult('c', 9.1))
		h.runUntil(h.now + 100*ms)
		h.printCollected("room where the list has it now")
		h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
		h.runUntil(h.now + 100*ms)
		h.printCollected("room where it ran")
	}
	// Output:
	// room where the list has it now: 1 to a
	// room where it ran: 1 to b
	// room where the list has it now: 1 to a
	// room where it ran: 1 to b
}

// New settings allow fewer forwards, or fewer at once, while a repeat is held.
func Example_queuedWhileLimitsChange() {
	for _, change := range []func(a *Limits){
		func(a *Limits) {},
		func(a *Limits) { a.MaxAttempts = 1 },
	} {
		config := dedupConfig(ScopeAll)
		h := harnessWithQueuedRetry(config)
		h.runWithoutCapacity(200 * ms)
		change(&config.Limits)
		h.handleAt(h.now+10*ms, Reconfigured{Config: config, PreviousOperations: []int{0, 1, 2}})
		h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
		h.runUntil(h.now + 100*ms)
		h.printCollected("room")
	}
	// Output:
	// room: 1 to a; 1 to b
	// room: 1 to a; 1 throttled, back after 750ms to 1.25s
}

// The instance before has sent it 0.9 s ago, in a zone whose worker this one has not met: the window goes on, and the group
// stays.
func Example_migratedInItsWindow() {
	for _, age := range []time.Duration{500 * ms, 900 * ms} {
		h := newHarness(dedupConfig(ScopeZone), readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 1))
		h.collects, h.deferHealthChecks = true, true
		h.handleAt(10*ms, freeSlotsResult('b', 0), freeSlotsResult('c', 9))
		h.handleAt(20*ms, MigratedIn{Arrival: arrival(1, 1, 0.2), Waited: age, Age: age,
			Attempts: []Attempt{{Worker: workerID('a'), Age: age, StartedAge: -1, LastProgressAge: -1, MayHaveRun: true}}})
		h.runWithoutCapacity(200 * ms)
		h.printCollected("resumed")
		h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
		h.runUntil(h.now + 200*ms)
		h.printCollected("room")
	}
	// Output:
	// resumed: nothing
	// room: 1 to b
	// resumed: 1 errored
	// room: nothing
}

// An invocation is taken over when the worker of its first attempt has moved to another zone: what drops its repeats has not.
func Example_migratedAfterItsWorkerChangedZone() {
	h := newHarness(dedupConfig(ScopeZone), readyEndpoint('a', 1), readyEndpoint('b', 0), readyEndpoint('c', 1))
	h.collects, h.deferHealthChecks = true, true
	h.handleAt(10*ms, freeSlotsResult('b', 9), freeSlotsResult('c', 9))
	h.handleAt(20*ms, MigratedIn{Arrival: arrival(1, 1, 0.2), Waited: 100 * ms, Age: 100 * ms,
		Attempts: []Attempt{{Worker: workerID('a'), Zone: 0, Age: 100 * ms, StartedAge: -1, LastProgressAge: -1, MayHaveRun: true}}})
	h.runUntil(200 * ms)
	h.printCollected("resumed")
	// Output:
	// resumed: 1 to b
}

// A repeat carries the time by which it has to leave; what nothing bounds carries none.
func Example_notAfter() {
	h := newHarness(dedupConfig(ScopeAll), readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 0))
	h.collects, h.printNotAfter = true, true
	h.handleAt(10*ms, freeSlotsResult('a', 9), freeSlotsResult('b', 9), freeSlotsResult('c', 9))
	h.handleAt(20*ms, arrival(1, 1, 0.2), arrival(2, 0, 0.2), arrival(3, 2, 0.2))
	h.runUntil(60 * ms)
	h.printCollected("first")
	h.handleAt(120*ms, h.outcome(1, 0, ReusedConnectionBroken), h.outcome(2, 0, ReusedConnectionBroken), h.outcome(3, 0, Rejected))
	h.runUntil(200 * ms)
	h.printCollected("again")
	// Output:
	// first: 3 to b; 1 to a; 2 to c
	// again: 3 to a; 1 to c until 1.02s; 2 to a
}

// What is passed to another instance ages on its way, and in one that has it back: its window is not counted anew.
func Example_agedOnItsWay() {
	for _, transit := range []time.Duration{0, 800 * ms} {
		h := harnessWithQueuedRetry(dedupConfig(ScopeAll))
		h.runWithoutCapacity(200 * ms)
		record, _ := h.dispatcher.MigrationRecord(1)
		h.handleAt(h.now, MigratedOut{Invocation: 1})
		h.runWithoutCapacity(h.now + 100*ms + transit)
		migrated := record.Aged(100*ms + transit)
		h.handleAt(h.now, migrated)
		h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
		h.runUntil(h.now + 100*ms)
		h.printCollected("room")
		fmt.Println(record.Budget-migrated.Budget, migrated.Waited-record.Waited, migrated.Attempts[0].Age-record.Attempts[0].Age, migrated.Attempts[0].StartedAge)
	}
	// Output:
	// room: 1 to a; 1 to b
	// 100ms 100ms 100ms -1ns
	// room: 1 to a; 1 throttled, back after 750ms to 1.25s
	// 900ms 900ms 900ms -1ns
}
