package dispatch

// Hedged requests use spare capacity where load reports are trusted, for less than a fifth of
// invocations. Once one attempt is answered, the other is cancelled.
func Example_hedgedRequests() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 0))
	h.collects = true
	for n := InvocationID(1); n <= 10; n++ {
		h.handleAt(h.now+10*ms, arrival(n, 2, 1))
		h.handleAt(h.now+300*ms, h.outcome(n, 0, Succeeded))
	}
	h.lines = nil
	h.handleAt(h.now+10*ms, arrival(11, 0, 0.2))
	h.printCollected("no sample yet")
	h.handleAt(h.now+10*ms, h.outcome(11, 0, Succeeded))
	h.lines = nil
	h.deferHealthChecks = true
	h.reportOften('a', 'b', 'c')
	answerThen := func(a, b, c float64, title string, arrivals ...Event) {
		h.handleAt(h.now+tickInterval, arrivals...)
		h.handleAt(h.now+5*ms, freeSlotsResult('a', a), freeSlotsResult('b', b), freeSlotsResult('c', c))
		h.printCollected(title)
	}
	answerThen(1, 2, 3, "capacity, but not idempotent", arrival(12, 1, 0.2))
	answerThen(1.1, 2.1, 3.1, "capacity and idempotent", arrival(13, 0, 0.2))
	h.handleAt(h.now+10*ms, h.outcome(13, 1, Succeeded))
	h.printCollected("the first answer")
	answerThen(0, 0, 2, "capacity at a third of the workers", arrival(14, 0, 0.2))
	answerThen(4, 4, 4, "the second of fifteen", arrival(15, 0, 0.2))
	answerThen(4, 4, 4.1, "a third would be under a fifth", arrival(16, 0, 0.2))
	answerThen(4, 4, 4.2, "a fourth would not; and only the running set", arrival(17, 0, 0.2), arrival(18, 0, 0.2))
	// Output:
	// no sample yet: 11 to b
	// capacity, but not idempotent: 12 to b
	// capacity and idempotent: 13 to c; 13 to a
	// the first answer: 13 cancels attempt 0
	// capacity at a third of the workers: 14 to c
	// the second of fifteen: 15 to a; 15 to b
	// a third would be under a fifth: 16 to a; 16 to b
	// a fourth would not; and only the running set: 17 to c; 18 to a
}

// A streamed response that has started is the client's answer: the other attempt is cancelled and
// no further one is sent.
func Example_streamedResponse() {
	h := newHarness(testConfig(), readyEndpoint('a', 0), readyEndpoint('b', 1))
	h.handleAt(10*ms, freeSlotsResult('a', 2), freeSlotsResult('b', 2), arrival(1, 0, 0.3))
	h.handleAt(200*ms, HealthCheckResult{Worker: workerID('a'), Result: TimedOut, Latency: 160 * ms})
	h.handleAt(220*ms, ResponseStarted{Invocation: 1, Attempt: 1})
	h.handleAt(300*ms, h.outcome(1, 0, Cancelled))
	h.handleAt(400*ms, Outcome{Invocation: 1, Attempt: 1, Worker: workerID('b'), Result: ConnectionBroken, Answered: true})
	// Output:
	// 10ms 1 to a
	// 200ms worker ejected worker=a reason="health checks unanswered"
	// 200ms 1 to b
	// 220ms 1 cancels attempt 0
}
