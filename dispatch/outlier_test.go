package dispatch

import (
	"fmt"
	"time"
)

// A worker that fails attempts is ejected, is reinstated once it has answered health checks, and
// gets one attempt at a time at first.
func Example_ejectionAndProbation() {
	h := newHarness(testConfig(), readyEndpoint('a', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 4), arrival(1, 2, 0.2))
	h.handleAt(20*ms, h.outcome(1, 0, Failed))
	h.handleAt(300*ms, freeSlotsResult('a', 4), arrival(2, 2, 0.3), arrival(3, 1, 0.3), arrival(4, 0, 0.3))
	h.handleAt(400*ms, freeSlotsResult('a', 4))
	h.handleAt(530*ms, freeSlotsResult('a', 4))
	h.handleAt(550*ms, h.outcome(3, 0, Succeeded))
	h.handleAt(570*ms, h.outcome(4, 0, Failed))
	// Output:
	// 10ms 1 to a
	// 20ms worker ejected worker=a reason="fails attempts"
	// 20ms 1 failed
	// 530ms worker reinstated on probation worker=a
	// 530ms 3 to a
	// 550ms 4 to a
	// 570ms worker ejected worker=a reason="fails attempts"
}

// A hung worker still answers health checks: overdue progress leads to a health check, and a
// silence longer than queueing explains to its ejection. Its attempts are retried elsewhere, and
// after its reinstatement only new work shows whether it works.
func Example_hungWorker() {
	config := testConfig()
	config.ProgressInterval = 500 * ms
	h := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 1))
	h.handleAt(10*ms, freeSlotsResult('a', 2), freeSlotsResult('b', 2), arrival(1, 0, 0.5), arrival(2, 2, 0.5))
	for range 10 {
		h.runUntil(h.now + 480*ms)
		h.handleAt(h.now+20*ms, AttemptProgress{Invocation: 2, Worker: workerID('a'), Done: 0.1}, freeSlotsResult('b', 2))
	}
	h.handleAt(h.now+10*ms, freeSlotsResult('a', 0), arrival(3, 1, 0.2), arrival(4, 1, 0.2))
	h.runUntil(h.now + 14*tickInterval)
	// Output:
	// 10ms 2 to a
	// 10ms 1 to b
	// 3.83s worker ejected worker=b reason="no sign of progress"
	// 4.51s worker reinstated on probation worker=b
	// 5.02s 3 to b
	// 5.02s 4 to a
}

// A worker that leaves health checks unanswered and reports no progress either is ejected.
func Example_unansweredHealthChecks() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 1))
	h.handleAt(10*ms, freeSlotsResult('a', 2), freeSlotsResult('b', 2), arrival(1, 0, 0.3), arrival(2, 2, 0.3))
	h.handleAt(200*ms, HealthCheckResult{Worker: workerID('a'), Result: TimedOut, Latency: 150 * ms})
	h.handleAt(210*ms, h.outcome(1, 0, Succeeded))
	// Output:
	// 10ms 2 to a
	// 10ms 1 to b
	// 200ms worker ejected worker=a reason="health checks unanswered"
}

// Broken connections and health checks that fail at once may be the network's fault: the worker is
// checked again at once, and is ejected if that fails too, or if the connections of several
// attempts in a row break. An attempt that could not connect is not retried at the same worker at
// once.
func Example_brokenConnections() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 1))
	h.printHealthChecks = true
	unreachable := HealthCheckResult{Worker: workerID('a'), Result: Unreachable}
	h.handleAt(10*ms, freeSlotsResult('a', 9), freeSlotsResult('b', 2), arrival(1, 0, 0.3), arrival(2, 0, 0.3))
	h.printHealthChecks = false
	h.handleAt(40*ms, h.outcome(1, 0, ReusedConnectionBroken), HealthCheckResult{Worker: workerID('a'), Result: ReusedConnectionBroken})
	h.handleAt(50*ms, h.outcome(2, 0, ConnectionBroken))
	h.handleAt(60*ms, unreachable)
	h.handleAt(70*ms, freeSlotsResult('a', 9))
	h.handleAt(80*ms, arrival(3, 2, 0.3))
	h.handleAt(90*ms, h.outcome(3, 0, Unreachable))
	h.handleAt(100*ms, unreachable)
	h.handleAt(120*ms, unreachable)
	// Output:
	// 10ms health checks a
	// 10ms health checks b
	// 10ms 1 to a
	// 10ms 2 to a
	// 40ms 1 to b
	// 50ms 2 to b
	// 80ms 3 to a
	// 100ms 3 to b
	// 120ms worker ejected worker=a reason="health checks unanswered"
}

// Dispatcher.Ejected counts a worker for as long as it is ejected and in the endpoint list.
func Example_ejectedCount() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.collects = true
	h.handleAt(10*ms, arrival(1, 0, 0.1))
	h.handleAt(20*ms, h.outcome(1, 0, Failed))
	fmt.Println(h.dispatcher.Ejected(), h.lines)
	gone := readyEndpoint('b', 0)
	gone.State = Gone
	h.handleAt(30*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{gone}})
	fmt.Println(h.dispatcher.Ejected())
	h.handleAt(time.Second, TimerFired{})
	// Output:
	// 1 [1 to b worker ejected worker=b reason="fails attempts" 1 to a]
	// 0
}
