package dispatch

import (
	"fmt"
	"time"
)

// An attempt that may have run is retried only as its effect class allows. One that has not run may
// always be retried.
func Example_effectClasses() {
	for operation, name := range []string{"idempotent", "deduplicated by zone", "non-idempotent"} {
		for result, what := range []string{"", "failed", "rejected", "timed out", "unreachable", "connection broken", "cancelled"} {
			if result == 0 {
				continue
			}
			h := newHarness(testConfig(), readyEndpoint('a', 1), readyEndpoint('b', 2), readyEndpoint('c', 1))
			h.collects = true
			h.handleAt(10*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 3), freeSlotsResult('c', 2))
			h.handleAt(20*ms, arrival(1, operation, 0.2))
			h.handleAt(120*ms, h.outcome(1, 0, Result(result)))
			h.printCollected(name + ", " + what)
		}
	}
	// Output:
	// idempotent, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 to b
	// idempotent, rejected: 1 to a; 1 to b
	// idempotent, timed out: 1 to a; 1 to b
	// idempotent, unreachable: 1 to a; 1 to b
	// idempotent, connection broken: 1 to a; 1 to b
	// idempotent, cancelled: 1 to a; 1 to b
	// deduplicated by zone, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 to c
	// deduplicated by zone, rejected: 1 to a; 1 to b
	// deduplicated by zone, timed out: 1 to a; 1 to c
	// deduplicated by zone, unreachable: 1 to a; 1 to b
	// deduplicated by zone, connection broken: 1 to a; 1 to c
	// deduplicated by zone, cancelled: 1 to a; 1 to c
	// non-idempotent, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 failed
	// non-idempotent, rejected: 1 to a; 1 to b
	// non-idempotent, timed out: 1 to a; 1 failed
	// non-idempotent, unreachable: 1 to a; 1 to b
	// non-idempotent, connection broken: 1 to a; 1 failed
	// non-idempotent, cancelled: 1 to a; 1 failed
}

// An attempt that may have been returned stays in flight, and its worker gets no other attempt of the
// invocation. It is cancelled only where a retry is allowed but a second attempt in flight is not.
func Example_mayBeReturned() {
	for operation, name := range []string{"idempotent", "deduplicated by zone", "non-idempotent"} {
		for _, limits := range []Limits{{MaxInFlight: 2, Cancel: true}, {MaxInFlight: 1, Cancel: true}, {MaxInFlight: 1}} {
			config := testConfig()
			config.Limits.MaxInFlight = limits.MaxInFlight
			config.Limits.Cancel = limits.Cancel
			h := newHarness(config, readyEndpoint('a', 1), readyEndpoint('b', 2), readyEndpoint('c', 1))
			h.collects = true
			h.handleAt(10*ms, freeSlotsResult('a', 4), freeSlotsResult('b', 3), freeSlotsResult('c', 2))
			h.handleAt(20*ms, arrival(1, operation, 0.2))
			h.handleAt(120*ms, AttemptProgress{Invocation: 1, Worker: workerID('a'), MayBeReturned: true})
			h.printCollected(fmt.Sprintf("%s, max in flight %d, cancel %v", name, limits.MaxInFlight, limits.Cancel))
		}
	}
	// Output:
	// idempotent, max in flight 2, cancel true: 1 to a; 1 to b
	// idempotent, max in flight 1, cancel true: 1 to a; 1 cancels attempt 0
	// idempotent, max in flight 1, cancel false: 1 to a
	// deduplicated by zone, max in flight 2, cancel true: 1 to a; 1 to c
	// deduplicated by zone, max in flight 1, cancel true: 1 to a; 1 cancels attempt 0
	// deduplicated by zone, max in flight 1, cancel false: 1 to a
	// non-idempotent, max in flight 2, cancel true: 1 to a
	// non-idempotent, max in flight 1, cancel true: 1 to a
	// non-idempotent, max in flight 1, cancel false: 1 to a
}

// Schedulers that throttle clients at the same moment suggest different retry delays, up to the longest
// one allowed.
func Example_retryAfterJitter() {
	advised := map[time.Duration]bool{}
	for seed := range int64(80) {
		dispatcher := New(testConfig(), seed)
		dispatcher.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate}, arrival(1, 2, 0.1)})
		for _, action := range dispatcher.Handle(time.Second, []Event{TimerFired{}}) {
			if a, isThrottle := action.(Throttle); isThrottle && a.RetryAfter >= 750*ms && a.RetryAfter <= 1250*ms {
				advised[a.RetryAfter.Round(10*ms)] = true
			}
		}
	}
	fmt.Println("80 schedulers advise more than 30 times, 0.75 to 1.25 s:", len(advised) > 30)
	// Output:
	// 80 schedulers advise more than 30 times, 0.75 to 1.25 s: true
}

// An invocation that can no longer meet its deadline is answered at once, one in flight is waited for
// until the client timeout, and one whose client has disconnected is dropped.
func Example_finalAnswers() {
	h := newHarness(testConfig(), readyEndpoint('a', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 1), arrival(1, 2, 5))
	h.handleAt(20*ms, freeSlotsResult('a', 0), arrival(2, 0, 0.1), arrival(3, 0, 1))
	h.runUntil(1200 * ms)
	h.handleAt(1210*ms, ClientDisconnected{Invocation: 1})
	h.handleAt(1220*ms, h.outcome(1, 0, Cancelled))
	h.handleAt(9*time.Second, freeSlotsResult('a', 1), arrival(5, 1, 8))
	h.runUntil(9*time.Second + 2*tickInterval)
	h.handleAt(14*time.Second, h.outcome(5, 0, TimedOut))
	h.handleAt(15*time.Second, h.outcome(5, 0, TimedOut), ClientDisconnected{Invocation: 5}, Outcome{Invocation: 99, Worker: workerID('z')})
	// Output:
	// 10ms 1 to a
	// 420ms 2 throttled, retry after 750ms to 1.25s
	// 1.21s 1 cancels attempt 0
	// 1.22s 3 throttled, retry after 750ms to 1.25s
	// 9s 5 to a
	// 14s 5 failed
}

// An invocation that one worker calls a bad request is sent to a second one. If that one accepts it,
// the first worker is at fault, otherwise the request.
func Example_badRequest() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 3), freeSlotsResult('b', 2), freeSlotsResult('c', 1))
	h.handleAt(20*ms, arrival(1, 0, 0.2))
	h.handleAt(30*ms, h.outcome(1, 0, BadRequest))
	h.handleAt(40*ms, h.outcome(1, 1, BadRequest))
	h.handleAt(50*ms, arrival(2, 0, 0.2))
	h.handleAt(60*ms, h.outcome(2, 0, BadRequest))
	h.handleAt(70*ms, h.outcome(2, 1, Succeeded))
	h.handleAt(80*ms, arrival(3, 2, 0.2))
	h.handleAt(90*ms, h.outcome(3, 0, BadRequest))
	// Output:
	// 20ms 1 to a
	// 30ms 1 to b
	// 40ms 1 failed
	// 50ms 2 to a
	// 60ms 2 to c
	// 70ms worker ejected worker=a reason="rejects what others accept"
	// 80ms 3 to c
	// 90ms 3 failed
}

// An attempt that has started is lost if it shows no progress while its worker reports the progress of
// others. It is retried.
func Example_lostAttempt() {
	config := testConfig()
	config.WorkersReportStart = true
	config.ProgressInterval = time.Second
	h := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 1))
	h.handleAt(10*ms, freeSlotsResult('a', 3), freeSlotsResult('b', 1), arrival(1, 0, 2), arrival(2, 0, 2))
	h.handleAt(20*ms,
		AttemptProgress{Invocation: 1, Worker: workerID('a'), Started: true},
		AttemptProgress{Invocation: 2, Worker: workerID('a'), Started: true})
	h.handleAt(1020*ms, AttemptProgress{Invocation: 2, Worker: workerID('a'), Done: 0.4})
	h.runUntil(2000 * ms)
	h.handleAt(2020*ms, AttemptProgress{Invocation: 2, Worker: workerID('a'), Done: 0.8})
	h.runUntil(2100 * ms)
	// Output:
	// 10ms 1 to a
	// 10ms 2 to a
	// 2.02s 1 to b
}

// A lost attempt does not hold a slot any more: the worker reports two of three slots free, and two
// invocations are sent.
func Example_lostAttemptFreesItsSlot() {
	config := testConfig()
	config.WorkersReportStart = true
	config.ProgressInterval = time.Second
	config.Limits.MaxInFlight = 1
	h := newHarness(config, readyEndpoint('a', 0))
	h.handleAt(10*ms, freeSlotsResult('a', 3), arrival(1, 2, 2), arrival(2, 0, 2))
	h.handleAt(20*ms,
		AttemptProgress{Invocation: 1, Worker: workerID('a'), Started: true},
		AttemptProgress{Invocation: 2, Worker: workerID('a'), Started: true})
	h.handleAt(1020*ms, AttemptProgress{Invocation: 2, Worker: workerID('a'), Done: 0.4})
	h.runUntil(2000 * ms)
	h.handleAt(2020*ms, AttemptProgress{Invocation: 2, Worker: workerID('a'), Done: 0.8})
	h.runUntil(2100 * ms)
	h.handleAt(2110*ms, freeSlotsResult('a', 2), arrival(3, 0, 2), arrival(4, 0, 2))
	h.handleAt(2120*ms, freeSlotsResult('a', 2))
	// Output:
	// 10ms 1 to a
	// 10ms 2 to a
	// 2.11s 3 to a
	// 2.11s 4 to a
}

// Where workers report that they have accepted an attempt, one that was not accepted counts as stalled,
// because its connection may be dead even if other work at the worker continues. A non-idempotent
// invocation is still waited for. An accepted attempt is queued at its worker.
func Example_attemptNotAccepted() {
	config := testConfig()
	config.WorkersReportAccepted = true
	config.WorkersReportStart = true
	h := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.collects = true
	h.handleAt(10*ms, freeSlotsResult('a', 8), freeSlotsResult('b', 8))
	h.handleAt(20*ms, arrival(1, 0, 1), arrival(2, 2, 1), arrival(3, 0, 1))
	h.printCollected("sent")
	h.handleAt(30*ms, AttemptProgress{Invocation: 3, Worker: h.attemptWorkers[3][0], Accepted: true})
	for n := range 40 {
		started := AttemptProgress{Invocation: 3, Worker: h.attemptWorkers[3][0], Started: true}
		h.handleAt(40*ms+time.Duration(n)*tickInterval, TimerFired{}, started)
	}
	h.printCollected("0.8 s later")
	h.handleAt(900*ms, h.outcome(1, 1, Succeeded), h.outcome(2, 0, Succeeded))
	h.printCollected("answers")
	// Output:
	// sent: 2 to b; 1 to a; 3 to a
	// 0.8 s later: 1 to b
	// answers: 1 cancels attempt 0
}
