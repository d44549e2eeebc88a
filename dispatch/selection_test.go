package dispatch

import (
	"fmt"
	"time"
)

// The worker with the most free slots, less what this scheduler has sent there, comes first; among
// equals the scheduler's own zone. A worker that is new to the pool counts as having the mean
// capacity.
func Example_workerSelection() {
	h := newHarness(testConfig(), readyEndpoint('a', 1), readyEndpoint('b', 0), readyEndpoint('c', 1))
	h.handleAt(10*ms, freeSlotsResult('a', 3), freeSlotsResult('b', 2), freeSlotsResult('c', 1))
	h.handleAt(20*ms, arrival(1, 2, 0.2), arrival(2, 2, 0.2), arrival(3, 2, 0.2), arrival(4, 2, 0.2))
	h.handleAt(30*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{readyEndpoint('d', 1)}})
	h.handleAt(40*ms, freeSlotsResult('a', 3), freeSlotsResult('b', 3), freeSlotsResult('c', 3))
	h.handleAt(50*ms, arrival(5, 2, 0.2), arrival(6, 2, 0.2))
	h.runUntil(70 * ms)
	// Output:
	// 20ms 1 to a
	// 20ms 2 to b
	// 20ms 3 to a
	// 20ms 4 to b
	// 50ms 5 to c
	// 50ms 6 to d
}

// Without any report of free slots, invocations go to the workers with the fewest attempts of this
// scheduler in flight, up to the mean, and not to one that has just rejected an attempt.
func Example_noLoadReports() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.handleAt(10*ms, arrival(1, 2, 0.2), arrival(2, 2, 0.2), arrival(3, 2, 0.2), arrival(4, 2, 0.2))
	h.handleAt(20*ms, h.outcome(1, 0, Rejected))
	h.handleAt(30*ms, arrival(5, 2, 0.2))
	h.handleAt(40*ms, h.outcome(3, 0, Succeeded))
	// Output:
	// 10ms 1 to b
	// 10ms 2 to a
	// 10ms 3 to a
	// 10ms 4 to b
	// 40ms 1 to a
}

// A single recent report no longer outweighs the last few once it has aged. An attempt that does
// not start is stronger evidence than a report.
func Example_agedLoadReports() {
	config := testConfig()
	config.WorkersReportStart = true
	h := newHarness(config, readyEndpoint('a', 1), readyEndpoint('b', 0))
	h.collects = true
	h.deferHealthChecks = true
	h.reportOften('a', 'b')
	for range 7 {
		h.handleAt(h.now+200*ms, freeSlotsResult('a', 1), freeSlotsResult('b', 2))
	}
	h.handleAt(1500*ms, arrival(1, 2, 0.1))
	h.handleAt(1505*ms, freeSlotsResult('a', 3), freeSlotsResult('b', 2.1))
	h.printCollected("a has 3 free now, 1 as a rule, b 2")
	h.handleAt(1510*ms, AttemptProgress{Invocation: 1, Worker: workerID('a'), Started: true}, h.outcome(1, 0, Succeeded))
	h.handleAt(2800*ms, arrival(2, 2, 0.1))
	h.runUntil(2820 * ms)
	h.printCollected("the same report 1.3 s later")
	h.runUntil(2880 * ms)
	h.handleAt(2890*ms, arrival(3, 2, 0.1))
	h.handleAt(2895*ms, freeSlotsResult('a', 0), freeSlotsResult('b', 2.2))
	h.runUntil(2920 * ms)
	h.printCollected("b had capacity, but 2 has not started there")
	// Output:
	// a has 3 free now, 1 as a rule, b 2: 1 to a
	// the same report 1.3 s later: 2 to b
	// b had capacity, but 2 has not started there: 3 to b
}

// With little traffic, workers are health checked when an invocation arrives, which waits at most a
// tick for the results: without them, all load reports are as old as the last round of health
// checks.
func Example_waitForHealthCheck() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.printHealthChecks = true
	h.deferHealthChecks = true
	h.handleAt(10*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 2))
	h.handleAt(3*time.Second, arrival(1, 2, 0.2))
	h.handleAt(3*time.Second+2*ms, freeSlotsResult('a', 0), freeSlotsResult('b', 1))
	h.handleAt(6*time.Second, arrival(2, 2, 0.2))
	h.runUntil(6*time.Second + 2*tickInterval)
	// Output:
	// 3s health checks a
	// 3s health checks b
	// 3.002s 1 to b
	// 6s health checks b
	// 6s health checks a
	// 6.02s health checks b
	// 6.02s health checks a
	// 6.02s 2 to a
}

// All workers were full, and the few reports since then show capacity. The old report of a worker
// that was not checked again only shows that all workers were full at that time. If its free slots
// were taken as current, that worker would get no work until its next health check.
func Example_afterOverload() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 0), readyEndpoint('d', 0))
	h.collects = true
	h.handleAt(10*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 4), freeSlotsResult('c', 4), freeSlotsResult('d', 4))
	for n := range 6 {
		var full []Event
		for _, name := range []byte("abcd") {
			result := freeSlotsResult(name, 0)
			result.Load.Queued = 6 + float64(n%2)
			full = append(full, result)
		}
		h.handleAt(time.Duration(n+1)*time.Second, full...)
	}
	for n := range 6 {
		free := 3 + float64(n%2)
		h.handleAt(time.Duration(n+7)*time.Second, freeSlotsResult('a', free), freeSlotsResult('b', free), freeSlotsResult('c', free))
	}
	h.handleAt(15*time.Second, arrival(1, 2, 0.2))
	for _, name := range []byte("ad") {
		index := h.dispatcher.recordIndex[workerID(name)]
		fmt.Printf("%c counts as having %.0f free\n", name, h.dispatcher.records[index].worker.free)
	}
	// Output:
	// a counts as having 4 free
	// d counts as having 2 free
}

// A worker that rejects a tenant's operation while its health checks show capacity stays eligible
// for everything else.
func Example_rejectedTenant() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 1))
	h.handleAt(10*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 4), arrival(1, 0, 0.2))
	h.handleAt(20*ms, h.outcome(1, 0, Rejected))
	h.handleAt(30*ms, freeSlotsResult('a', 4.1), freeSlotsResult('b', 3), arrival(2, 0, 0.2))
	h.handleAt(40*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 2), arrival(3, 2, 0.2))
	h.runUntil(60 * ms)
	h.handleAt(100*ms, freeSlotsResult('a', 4.1), freeSlotsResult('b', 2), arrival(4, 0, 0.2))
	h.runUntil(120 * ms)
	// Output:
	// 10ms 1 to a
	// 20ms 1 to b
	// 30ms 2 to b
	// 40ms 3 to a
	// 100ms 4 to a
}

// A worker is selected only if it has the slots that an invocation takes and is of the kind that
// its operation requires.
func Example_requirements() {
	config := testConfig()
	config.Operations[0].WorkerKind = 1
	b := readyEndpoint('b', 0)
	b.Kind = 1
	h := newHarness(config, readyEndpoint('a', 0), b)
	wide := arrival(1, 2, 0.1)
	wide.Slots = 2
	h.handleAt(10*ms, freeSlotsResult('a', 2), freeSlotsResult('b', 1), arrival(3, 0, 0.2))
	h.handleAt(20*ms, wide, arrival(2, 2, 0.1))
	h.handleAt(30*ms, h.outcome(3, 0, Succeeded))
	// Output:
	// 10ms 3 to b
	// 20ms 1 to a
	// 30ms 2 to b
}

// Where no worker reports, this scheduler's own counts show where capacity is, also when an attempt
// has not started at once. The same holds once a worker stops reporting: its former free slots are
// no longer valid.
func Example_ownCountsWithoutReports() {
	config := testConfig()
	config.WorkersReportStart = true
	h := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.handleAt(10*ms, arrival(1, 0, 2), arrival(2, 0, 2))
	h.runUntil(100 * ms)
	h.handleAt(110*ms, arrival(3, 0, 2), arrival(4, 0, 2))
	h.runUntil(200 * ms)
	h = newHarness(config, readyEndpoint('a', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 1), arrival(1, 0, 2))
	h.handleAt(20*ms, AttemptProgress{Invocation: 1, Worker: workerID('a'), Started: true}, arrival(2, 2, 2)) // 2 is queued
	h.handleAt(1000*ms, HealthCheckResult{Worker: workerID('a'), Result: Succeeded})                          // before reportTimeout
	h.handleAt(1400*ms, HealthCheckResult{Worker: workerID('a'), Result: Succeeded})
	// Output:
	// 10ms 1 to b
	// 10ms 2 to a
	// 110ms 3 to a
	// 110ms 4 to b
	// 10ms 1 to a
	// 1.4s 2 to a
}

// Among workers with capacity, those that would complete an invocation in time even at 1.5 times
// their pace come before those with more free slots. Where none would, or the deadline is far away,
// the most free slots decide.
func Example_paceMargin() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 1), freeSlotsResult('b', 1))
	for index, pace := range []float64{3, 0.8} {
		w := h.dispatcher.workerAt(index)
		w.paces = samples{pace}
		w.pace = pace
	}
	h.reportOften('a', 'b')
	h.handleAt(h.now+100*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 2))
	h.handleAt(h.now+10*ms, arrival(1, 0, 0.3), arrival(2, 0, 0.1))
	h.runUntil(h.now + 40*ms)
	// Output:
	// 184ms 2 to a
	// 184ms 1 to b
}
