package dispatch

// Clones take room that is left, while their figure holds still, under a fifth of invocations; the loser is cancelled.
func Example_clones() {
	p := start(shop(), ready('a', 0), ready('b', 0), ready('c', 0))
	p.quiet = true
	for n := InvocationID(1); n <= 10; n++ {
		p.at(p.now+10*ms, job(n, 2, 1))
		p.at(p.now+300*ms, p.end(n, 0, Succeeded))
	}
	p.lines = nil
	p.at(p.now+10*ms, job(11, 0, 0.2))
	p.tell("no figure yet")
	p.at(p.now+10*ms, p.end(11, 0, Succeeded))
	p.lines, p.waits = nil, true
	p.frequent('a', 'b', 'c')
	asked := func(a, b, c float64, title string, jobs ...Event) {
		p.at(p.now+tickInterval, jobs...)
		p.at(p.now+5*ms, free('a', a), free('b', b), free('c', c))
		p.tell(title)
	}
	asked(1, 2, 3, "room, but not idempotent", job(12, 1, 0.2))
	asked(1.1, 2.1, 3.1, "room and idempotent", job(13, 0, 0.2))
	p.at(p.now+10*ms, p.end(13, 1, Succeeded))
	p.tell("the first answer")
	asked(0, 0, 2, "room at a third of the workers", job(14, 0, 0.2))
	asked(4, 4, 4, "the second of fifteen", job(15, 0, 0.2))
	asked(4, 4, 4.1, "a third would be under a fifth", job(16, 0, 0.2))
	asked(4, 4, 4.2, "a fourth would not; and only the running set", job(17, 0, 0.2), job(18, 0, 0.2))
	// Output:
	// no figure yet: 11 to b
	// room, but not idempotent: 12 to b
	// room and idempotent: 13 to c; 13 to a
	// the first answer: 13 cancels forward 0
	// room at a third of the workers: 14 to c
	// the second of fifteen: 15 to a; 15 to b
	// a third would be under a fifth: 16 to a; 16 to b
	// a fourth would not; and only the running set: 17 to c; 18 to a
}

// A streamed answer that has begun belongs to the client: the other copy is cancelled and nothing more is sent.
func Example_streaming() {
	p := start(shop(), ready('a', 0), ready('b', 1))
	p.at(10*ms, free('a', 2), free('b', 2), job(1, 0, 0.3))
	p.at(200*ms, HealthCheckResult{Worker: id('a'), Result: TimedOut, Latency: 160 * ms})
	p.at(220*ms, ResponseStarted{Invocation: 1, Attempt: 1})
	p.at(300*ms, p.end(1, 0, Cancelled))
	p.at(400*ms, Outcome{Invocation: 1, Attempt: 1, Worker: id('b'), Result: ConnectionBroken, Answered: true})
	// Output:
	// 10ms 1 to a
	// 200ms worker ejected worker=a reason="health checks unanswered"
	// 200ms 1 to b
	// 220ms 1 cancels forward 0
}
