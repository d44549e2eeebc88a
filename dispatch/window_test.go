package dispatch

import (
	"fmt"
	"time"
)

// dedupConfig returns a deployment in which workers drop repeats of operation 1 for a second, and late
// answers have a value.
func dedupConfig(scope DedupScope) Config {
	config := testConfig()
	operation := &config.Operations[1]
	operation.DedupScope = scope
	operation.DedupWindow = time.Second
	operation.LateWeight = 0.5
	return config
}

// harnessWithQueuedRetry sends invocation 1 to a at 20 ms and breaks its connection. The retry is
// queued, because b is full.
func harnessWithQueuedRetry(config Config) *harness {
	h := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 1))
	h.collects = true
	h.deferHealthChecks = true
	h.handleAt(10*ms, freeSlotsResult('a', 1), freeSlotsResult('b', 0), freeSlotsResult('c', 0))
	h.handleAt(20*ms, arrival(1, 1, 0.2))
	h.runUntil(60 * ms)
	h.handleAt(120*ms, h.outcome(1, 0, ConnectionBroken), freeSlotsResult('b', 0), freeSlotsResult('c', 0))
	return h
}

// runWithoutCapacity lets time pass while no worker has free slots.
func (h *harness) runWithoutCapacity(end time.Duration) {
	for h.now+tickInterval <= end {
		h.handleAt(h.now+tickInterval, freeSlotsResult('a', 0), freeSlotsResult('b', 0), freeSlotsResult('c', 0))
	}
}

// migratedAfterOneAttempt returns invocation 1 of operation 1, which arrived at its predecessor the
// given time ago and was sent to a in zone 0 at once.
func migratedAfterOneAttempt(age time.Duration) MigratedIn {
	return MigratedIn{
		Arrival: arrival(1, 1, 0.2),
		Waited:  age,
		Age:     age,
		Attempts: []Attempt{{
			Worker:          workerID('a'),
			Zone:            0,
			Age:             age,
			StartedAge:      noAge,
			LastProgressAge: noAge,
			MayHaveRun:      true,
		}},
	}
}

// A retry waits for capacity. Once its deduplication window has ended it must not be sent even if there
// is capacity, and the client is answered at once.
func Example_queuedPastItsWindow() {
	for _, scope := range []DedupScope{ScopeAll, ScopeZone, ScopeCell} {
		for _, freeAt := range []time.Duration{900 * ms, 1100 * ms} {
			h := harnessWithQueuedRetry(dedupConfig(scope))
			h.runWithoutCapacity(freeAt)
			h.printCollected(fmt.Sprint("queued until ", freeAt))
			h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
			h.runUntil(h.now + 300*ms)
			h.printCollected("capacity")
		}
	}
	// Output:
	// queued until 900ms: 1 to a
	// capacity: 1 to b
	// queued until 1.1s: 1 to a; 1 throttled, retry after 750ms to 1.25s
	// capacity: nothing
	// queued until 900ms: 1 to a
	// capacity: 1 to b
	// queued until 1.1s: 1 to a; 1 failed
	// capacity: nothing
	// queued until 900ms: 1 to a
	// capacity: 1 to b
	// queued until 1.1s: 1 to a; 1 failed
	// capacity: nothing
}

// An update that moves a worker to another zone does not change where repeats are dropped: that remains
// the zone in which the worker ran the first attempt.
func Example_queuedWhileItsWorkerChangesZone() {
	for _, scope := range []DedupScope{ScopeZone, ScopeCell} {
		h := harnessWithQueuedRetry(dedupConfig(scope))
		h.runWithoutCapacity(200 * ms)
		moved := readyEndpoint('a', 1)
		h.handleAt(h.now+10*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{moved}})
		h.handleAt(h.now+10*ms, freeSlotsResult('c', 9.1))
		h.runUntil(h.now + 100*ms)
		h.printCollected("capacity where the list has it now")
		h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
		h.runUntil(h.now + 100*ms)
		h.printCollected("capacity where it ran")
	}
	// Output:
	// capacity where the list has it now: 1 to a
	// capacity where it ran: 1 to b
	// capacity where the list has it now: 1 to a
	// capacity where it ran: 1 to b
}

// A reconfiguration may reduce the allowed attempts while a retry is queued.
func Example_queuedWhileLimitsChange() {
	for _, change := range []func(*Limits){
		func(*Limits) {},
		func(l *Limits) { l.MaxAttempts = 1 },
	} {
		config := dedupConfig(ScopeAll)
		h := harnessWithQueuedRetry(config)
		h.runWithoutCapacity(200 * ms)
		change(&config.Limits)
		h.handleAt(h.now+10*ms, Reconfigured{Config: config, PreviousOperations: []int{0, 1, 2}})
		h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
		h.runUntil(h.now + 100*ms)
		h.printCollected("capacity")
	}
	// Output:
	// capacity: 1 to a; 1 to b
	// capacity: 1 to a; 1 throttled, retry after 750ms to 1.25s
}

// The predecessor sent the first attempt some time ago, to a worker that this scheduler has not used.
// The deduplication window keeps running, and the zone is still that of the first attempt.
func Example_migratedInItsWindow() {
	for _, age := range []time.Duration{500 * ms, 900 * ms} {
		h := newHarness(dedupConfig(ScopeZone), readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 1))
		h.collects = true
		h.deferHealthChecks = true
		h.handleAt(10*ms, freeSlotsResult('b', 0), freeSlotsResult('c', 9))
		h.handleAt(20*ms, migratedAfterOneAttempt(age))
		h.runWithoutCapacity(200 * ms)
		h.printCollected("migrated in")
		h.handleAt(h.now+10*ms, freeSlotsResult('b', 9.1))
		h.runUntil(h.now + 200*ms)
		h.printCollected("capacity")
	}
	// Output:
	// migrated in: nothing
	// capacity: 1 to b
	// migrated in: 1 failed
	// capacity: nothing
}

// An invocation migrates in after the worker of its first attempt has moved to another zone. Repeats are
// still dropped in the earlier zone.
func Example_migratedAfterItsWorkerChangedZone() {
	h := newHarness(dedupConfig(ScopeZone), readyEndpoint('a', 1), readyEndpoint('b', 0), readyEndpoint('c', 1))
	h.collects = true
	h.deferHealthChecks = true
	h.handleAt(10*ms, freeSlotsResult('b', 9), freeSlotsResult('c', 9))
	h.handleAt(20*ms, migratedAfterOneAttempt(100*ms))
	h.runUntil(200 * ms)
	h.printCollected("migrated in")
	// Output:
	// migrated in: 1 to b
}

// A retry carries the end of its deduplication window. An attempt without a window carries no limit.
func Example_notAfter() {
	h := newHarness(dedupConfig(ScopeAll), readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 0))
	h.collects = true
	h.printNotAfter = true
	h.handleAt(10*ms, freeSlotsResult('a', 9), freeSlotsResult('b', 9), freeSlotsResult('c', 9))
	h.handleAt(20*ms, arrival(1, 1, 0.2), arrival(2, 0, 0.2), arrival(3, 2, 0.2))
	h.runUntil(60 * ms)
	h.printCollected("first")
	h.handleAt(120*ms,
		h.outcome(1, 0, ReusedConnectionBroken),
		h.outcome(2, 0, ReusedConnectionBroken),
		h.outcome(3, 0, Rejected))
	h.runUntil(200 * ms)
	h.printCollected("again")
	// Output:
	// first: 3 to b; 1 to a; 2 to c
	// again: 3 to a; 1 to c until 1.02s; 2 to a
}

// A migrating invocation ages in transit, even if it returns to the same scheduler: its deduplication
// window does not start again.
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
		h.printCollected("capacity")
		before := record.Attempts[0]
		after := migrated.Attempts[0]
		fmt.Println(record.Budget-migrated.Budget, migrated.Waited-record.Waited, after.Age-before.Age, after.StartedAge)
	}
	// Output:
	// capacity: 1 to a; 1 to b
	// 100ms 100ms 100ms -1ns
	// capacity: 1 to a; 1 throttled, retry after 750ms to 1.25s
	// 900ms 900ms 900ms -1ns
}
