package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// One slot is free: the rest is held and leaves by weight over effective size, whatever came first.
func Example_releaseOrder() {
	p := start(shop(), ready('a', 0))
	p.at(10*ms, free('a', 1))
	p.at(20*ms, job(1, 0, 0.1))
	p.at(30*ms, job(2, 0, 0.3), job(3, 2, 0.3), job(4, 0, 0.05))
	p.at(50*ms, p.end(1, 0, Succeeded))
	p.at(70*ms, p.end(4, 0, Succeeded))
	p.at(90*ms, p.end(3, 0, Succeeded))
	// Output:
	// 20ms 1 to a
	// 50ms 4 to a
	// 70ms 3 to a
	// 90ms 2 to a
}

// An operation whose running times spread wide has a larger effective size and goes later.
func Example_spread() {
	p := start(shop(), ready('a', 0))
	p.quiet = true
	for n, ran := range []time.Duration{100 * ms, 20 * ms, 300 * ms, 60 * ms, 500 * ms, 80 * ms, 400 * ms} {
		p.at(p.now+10*ms, job(InvocationID(n+1), 0, 0.1), free('a', 1))
		p.at(p.now+ran, p.end(InvocationID(n+1), 0, Succeeded))
	}
	p.lines = nil
	p.at(p.now+10*ms, free('a', 0))
	p.at(p.now+10*ms, job(11, 0, 0.1), job(12, 2, 0.6))
	p.at(p.now+10*ms, free('a', 1))
	p.tell("weight 1, hint 0.1, wide (11) against weight 4, hint 0.6 (12)")
	// Output:
	// weight 1, hint 0.1, wide (11) against weight 4, hint 0.6 (12): 12 to a
}

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

// The pick: most free slots less our sends, own zone among equals; one new to the pool counts at the mean.
func Example_pick() {
	p := start(shop(), ready('a', 1), ready('b', 0), ready('c', 1))
	p.at(10*ms, free('a', 3), free('b', 2), free('c', 1))
	p.at(20*ms, job(1, 2, 0.2), job(2, 2, 0.2), job(3, 2, 0.2), job(4, 2, 0.2))
	p.at(30*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{ready('d', 1)}})
	p.at(40*ms, free('a', 3), free('b', 3), free('c', 3))
	p.at(50*ms, job(5, 2, 0.2), job(6, 2, 0.2))
	p.until(70 * ms)
	// Output:
	// 20ms 1 to a
	// 20ms 2 to b
	// 20ms 3 to a
	// 20ms 4 to b
	// 50ms 5 to c
	// 50ms 6 to d
}

// Without any figure of free slots: where we have least, up to the mean, and not where the last answer was full.
func Example_noFigures() {
	p := start(shop(), ready('a', 0), ready('b', 0))
	p.at(10*ms, job(1, 2, 0.2), job(2, 2, 0.2), job(3, 2, 0.2), job(4, 2, 0.2))
	p.at(20*ms, p.end(1, 0, Rejected))
	p.at(30*ms, job(5, 2, 0.2))
	p.at(40*ms, p.end(3, 0, Succeeded))
	// Output:
	// 10ms 1 to b
	// 10ms 2 to a
	// 10ms 3 to a
	// 10ms 4 to b
	// 40ms 1 to a
}

// A single young figure can't outweigh the last few once it has aged; a start that does not come ends all doubt.
func Example_lateFigures() {
	dep := shop()
	dep.NotifiesStart = true
	p := start(dep, ready('a', 1), ready('b', 0))
	p.quiet, p.waits = true, true
	p.frequent('a', 'b')
	for range 7 {
		p.at(p.now+200*ms, free('a', 1), free('b', 2))
	}
	p.at(1500*ms, job(1, 2, 0.1))
	p.at(1505*ms, free('a', 3), free('b', 2.1))
	p.tell("a has 3 free now, 1 as a rule, b 2")
	p.at(1510*ms, AttemptProgress{Invocation: 1, Worker: id('a'), Started: true}, p.end(1, 0, Succeeded))
	p.at(2800*ms, job(2, 2, 0.1))
	p.until(2820 * ms)
	p.tell("the same figure 1.3 s later")
	p.until(2880 * ms)
	p.at(2890*ms, job(3, 2, 0.1))
	p.at(2895*ms, free('a', 0), free('b', 2.2))
	p.until(2920 * ms)
	p.tell("b had room, but 2 has not started there")
	// Output:
	// a has 3 free now, 1 as a rule, b 2: 1 to a
	// the same figure 1.3 s later: 2 to b
	// b had room, but 2 has not started there: 3 to b
}

// What may have run goes out again only as its effect class allows; what has not run always may.
func Example_effects() {
	for op, name := range []string{"idempotent", "deduplicated by zone", "non-idempotent"} {
		for r, what := range []string{"", "failed", "full", "timed out", "unreachable", "broken off", "cancelled"} {
			if r == 0 {
				continue
			}
			p := start(shop(), ready('a', 1), ready('b', 2), ready('c', 1))
			p.quiet = true
			p.at(10*ms, free('a', 4), free('b', 3), free('c', 2))
			p.at(20*ms, job(1, op, 0.2))
			p.at(120*ms, p.end(1, 0, Result(r)))
			p.tell(name + ", " + what)
		}
	}
	// Output:
	// idempotent, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 to b
	// idempotent, full: 1 to a; 1 to b
	// idempotent, timed out: 1 to a; 1 to b
	// idempotent, unreachable: 1 to a; 1 to b
	// idempotent, broken off: 1 to a; 1 to b
	// idempotent, cancelled: 1 to a; 1 to b
	// deduplicated by zone, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 to c
	// deduplicated by zone, full: 1 to a; 1 to b
	// deduplicated by zone, timed out: 1 to a; 1 to c
	// deduplicated by zone, unreachable: 1 to a; 1 to b
	// deduplicated by zone, broken off: 1 to a; 1 to c
	// deduplicated by zone, cancelled: 1 to a; 1 to c
	// non-idempotent, failed: 1 to a; worker ejected worker=a reason="fails attempts"; 1 errored
	// non-idempotent, full: 1 to a; 1 to b
	// non-idempotent, timed out: 1 to a; 1 errored
	// non-idempotent, unreachable: 1 to a; 1 to b
	// non-idempotent, broken off: 1 to a; 1 errored
	// non-idempotent, cancelled: 1 to a; 1 errored
}

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

// A worker that has just started gets our part of what it can do now, and one heavy invocation can be too much.
func Example_coldStart() {
	dep := shop()
	dep.Schedulers = 2
	p := start(dep, ready('a', 0))
	p.at(10*ms, free('a', 4), job(1, 2, 0.4))
	p.at(410*ms, p.end(1, 0, Succeeded))
	cold := ready('a', 0)
	cold.StartKnown, cold.StartedAt = true, 400*ms
	p.at(500*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{cold}})
	p.at(510*ms, free('a', 4), job(2, 2, 0.5), job(3, 2, 0.07), job(4, 2, 0.3))
	p.at(700*ms, p.end(3, 0, Succeeded))
	p.at(16*time.Second, free('a', 4), job(5, 2, 0.7))
	// Output:
	// 10ms 1 to a
	// 510ms 3 to a
	// 16s 4 throttled, back after 750ms to 1.25s
	// 16s 2 throttled, back after 750ms to 1.25s
	// 16s 5 to a
}

// A worker that fails what it gets is set aside, comes back after answered probes, and gets one at a time at first.
func Example_setAside() {
	p := start(shop(), ready('a', 0))
	p.at(10*ms, free('a', 4), job(1, 2, 0.2))
	p.at(20*ms, p.end(1, 0, Failed))
	p.at(300*ms, free('a', 4), job(2, 2, 0.3), job(3, 1, 0.3), job(4, 0, 0.3))
	p.at(400*ms, free('a', 4))
	p.at(530*ms, free('a', 4))
	p.at(550*ms, p.end(3, 0, Succeeded))
	p.at(570*ms, p.end(4, 0, Failed))
	// Output:
	// 10ms 1 to a
	// 20ms worker ejected worker=a reason="fails attempts"
	// 20ms 1 errored
	// 530ms worker reinstated on probation worker=a
	// 530ms 3 to a
	// 550ms 4 to a
	// 570ms worker ejected worker=a reason="fails attempts"
}

// A hung worker that still answers probes: suspicion asks, then silence beyond what waiting explains decides. What sits
// there goes elsewhere, and when it comes back after probes, new work is to show how it does.
func Example_hang() {
	dep := shop()
	dep.ProgressInterval = 500 * ms
	p := start(dep, ready('a', 0), ready('b', 1))
	p.at(10*ms, free('a', 2), free('b', 2), job(1, 0, 0.5), job(2, 2, 0.5))
	for range 10 {
		p.until(p.now + 480*ms)
		p.at(p.now+20*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.1}, free('b', 2))
	}
	p.at(p.now+10*ms, free('a', 0), job(3, 1, 0.2), job(4, 1, 0.2))
	p.until(p.now + 14*tickInterval)
	// Output:
	// 10ms 2 to a
	// 10ms 1 to b
	// 3.83s worker ejected worker=b reason="no sign of progress"
	// 4.51s worker reinstated on probation worker=b
	// 5.02s 3 to b
	// 5.02s 4 to a
}

// Probes that go unanswered from a worker without another sign of life.
func Example_vanished() {
	p := start(shop(), ready('a', 0), ready('b', 1))
	p.at(10*ms, free('a', 2), free('b', 2), job(1, 0, 0.3), job(2, 2, 0.3))
	p.at(200*ms, HealthCheckResult{Worker: id('a'), Result: TimedOut, Latency: 150 * ms})
	p.at(210*ms, p.end(1, 0, Succeeded))
	// Output:
	// 10ms 2 to a
	// 10ms 1 to b
	// 200ms worker ejected worker=a reason="health checks unanswered"
}

// In thin traffic a worker is asked when an invocation comes, and its answer is waited for, for a beat at most: what is
// known without it is as old as the pool's last round.
func Example_waitForAnswer() {
	p := start(shop(), ready('a', 0), ready('b', 0))
	p.probes, p.waits = true, true
	p.at(10*ms, free('a', 4), free('b', 2))
	p.at(3*time.Second, job(1, 2, 0.2))
	p.at(3*time.Second+2*ms, free('a', 0), free('b', 1))
	p.at(6*time.Second, job(2, 2, 0.2))
	p.until(6*time.Second + 2*tickInterval)
	// Output:
	// 3s probes a
	// 3s probes b
	// 3.002s 1 to b
	// 6s probes b
	// 6s probes a
	// 6.02s probes b
	// 6.02s probes a
	// 6.02s 2 to a
}

// All were full, and the few reports that have come since show room: the old figure of one that was not asked again
// tells no more than that all were full then. Held against it, it would go without work until its turn.
func Example_afterOverload() {
	p := start(shop(), ready('a', 0), ready('b', 0), ready('c', 0), ready('d', 0))
	p.quiet = true
	p.at(10*ms, free('a', 4), free('b', 4), free('c', 4), free('d', 4))
	for n := range 6 {
		var full []Event
		for _, name := range []byte("abcd") {
			answer := free(name, 0)
			answer.Load.Queued = 6 + float64(n%2)
			full = append(full, answer)
		}
		p.at(time.Duration(n+1)*time.Second, full...)
	}
	for n := range 6 {
		some := 3 + float64(n%2)
		p.at(time.Duration(n+7)*time.Second, free('a', some), free('b', some), free('c', some))
	}
	p.at(15*time.Second, job(1, 2, 0.2))
	for _, name := range []byte("ad") {
		fmt.Printf("%c counts as having %.0f free\n", name, p.d.records[p.d.recordIndex[id(name)]].worker.free)
	}
	// Output:
	// a counts as having 4 free
	// d counts as having 2 free
}

// Schedulers that were killed have forgotten which cold workers they share: those that the lot names for one of the
// known list ask it at once, or nobody uses it until chance brings it into their pools.
func Example_coldKnownAtStart() {
	dep := shop()
	dep.Schedulers = 80
	cold := ready('a', 0)
	cold.StartKnown, cold.StartedAt, cold.Incarnation = true, -2*time.Second, 17
	known := append(fleet(60), cold)
	for _, warmed := range []bool{false, true} {
		if warmed {
			known[60].StartedAt = -time.Minute
		}
		asked := 0
		for dep.Index = range dep.Schedulers {
			d := New(dep, int64(dep.Index))
			if slices.Contains(d.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: known}}), Action(HealthCheck{cold.Worker})) {
				asked++
			}
		}
		fmt.Printf("warm %v: asked by %d of 80 as they start\n", warmed, asked)
	}
	// Output:
	// warm false: asked by 25 of 80 as they start
	// warm true: asked by 19 of 80 as they start
}

// The number of schedulers is told ten times too small: whose own number lies beyond it knows that, and leaves cold
// workers to the others. Named for one are five of a thousand all the same; without that, fifty would be.
func Example_toldTooFew() {
	dep := shop()
	for _, dep.Schedulers = range []int{1000, 100, 10000} {
		named := 0
		for dep.Index = range 1000 {
			if d := New(dep, 1); d.lotteryRank(17) < minSharers {
				named++
			}
		}
		fmt.Printf("told %d: %d of 1000 are among the first five\n", dep.Schedulers, named)
	}
	// Output:
	// told 1000: 5 of 1000 are among the first five
	// told 100: 5 of 1000 are among the first five
	// told 10000: 0 of 1000 are among the first five
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

// Many schedulers turn clients away at one moment; each tells its own time to come back, up to what is allowed.
func Example_adviceHasChance() {
	told := map[time.Duration]bool{}
	for seed := range int64(80) {
		d := New(shop(), seed)
		d.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate}, job(1, 2, 0.1)})
		for _, action := range d.Handle(time.Second, []Event{TimerFired{}}) {
			if a, is := action.(Throttle); is && a.RetryAfter >= 750*ms && a.RetryAfter <= 1250*ms {
				told[a.RetryAfter.Round(10*ms)] = true
			}
		}
	}
	fmt.Println("80 schedulers tell more than 30 times, 0.75 to 1.25 s:", len(told) > 30)
	// Output:
	// 80 schedulers tell more than 30 times, 0.75 to 1.25 s: true
}

// One that turns a tenant's operation away while its probes show room keeps its place for all else.
func Example_refusedTenant() {
	p := start(shop(), ready('a', 0), ready('b', 1))
	p.at(10*ms, free('a', 4), free('b', 4), job(1, 0, 0.2))
	p.at(20*ms, p.end(1, 0, Rejected))
	p.at(30*ms, free('a', 4.1), free('b', 3), job(2, 0, 0.2))
	p.at(40*ms, free('a', 4), free('b', 2), job(3, 2, 0.2))
	p.until(60 * ms)
	p.at(100*ms, free('a', 4.1), free('b', 2), job(4, 0, 0.2))
	p.until(120 * ms)
	// Output:
	// 10ms 1 to a
	// 20ms 1 to b
	// 30ms 2 to b
	// 40ms 3 to a
	// 100ms 4 to a
}

// What can't be in time any more is answered at once, what is out is waited for till the client timeout, and a client
// that left is let go.
func Example_finalAnswers() {
	p := start(shop(), ready('a', 0))
	p.at(10*ms, free('a', 1), job(1, 2, 5))
	p.at(20*ms, free('a', 0), job(2, 0, 0.1), job(3, 0, 1))
	p.until(1200 * ms)
	p.at(1210*ms, ClientDisconnected{Invocation: 1})
	p.at(1220*ms, p.end(1, 0, Cancelled))
	p.at(9*time.Second, free('a', 1), job(5, 1, 8))
	p.until(9*time.Second + 2*tickInterval)
	p.at(14*time.Second, p.end(5, 0, TimedOut))
	p.at(15*time.Second, p.end(5, 0, TimedOut), ClientDisconnected{Invocation: 5}, Outcome{Invocation: 99, Worker: id('z')})
	// Output:
	// 10ms 1 to a
	// 420ms 2 throttled, back after 750ms to 1.25s
	// 1.21s 1 cancels forward 0
	// 1.22s 3 throttled, back after 750ms to 1.25s
	// 9s 5 to a
	// 14s 5 errored
}

// A client's later try has less budget left, or a client waits for less than others from the first: that can't be told, so it
// goes behind and has what is left over. What can't be done in what is left is given up at once.
func Example_laterTry() {
	for _, slots := range []float64{2, 4} {
		fmt.Println("slots:", slots)
		p := start(shop(), ready('a', 0))
		p.at(10*ms, free('a', 0), job(1, 0, 0.1))
		again := job(2, 0, 0.1)
		again.Budget -= 500 * ms
		late := job(3, 0, 1)
		late.Budget = 200 * ms
		p.at(20*ms, again, job(4, 0, 0.2), late)
		p.at(40*ms, free('a', slots))
		p.until(800 * ms)
	}
	// Output:
	// slots: 2
	// 20ms 3 throttled, back after 750ms to 1.25s
	// 40ms 1 to a
	// 40ms 4 to a
	// 420ms 2 throttled, back after 750ms to 1.25s
	// slots: 4
	// 20ms 3 throttled, back after 750ms to 1.25s
	// 40ms 1 to a
	// 40ms 4 to a
	// 40ms 2 to a
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

// Two slots, a required kind, and a tenant's own operation are minded.
func Example_needs() {
	dep := shop()
	dep.Operations[0].WorkerKind = 1
	b := ready('b', 0)
	b.Kind = 1
	p := start(dep, ready('a', 0), b)
	wide := job(1, 2, 0.1)
	wide.Slots = 2
	p.at(10*ms, free('a', 2), free('b', 1), job(3, 0, 0.2))
	p.at(20*ms, wide, job(2, 2, 0.1))
	p.at(30*ms, p.end(3, 0, Succeeded))
	// Output:
	// 10ms 3 to b
	// 20ms 1 to a
	// 30ms 2 to b
}

// fleet is a list of more workers than a pool starts with, in two zones.
func fleet(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, ready(byte(i+1), i%2))
	}
	return list
}

// A pool starts with few workers of many and is renewed by turns; one more joins when all are busy, within what the
// probes can go round in. What drains leaves it at once.
func Example_pool() {
	p := start(shop(), fleet(200)...)
	p.quiet = true
	size := func(title string) { fmt.Printf("%s: %d of 200\n", title, len(p.d.scheduler.pool)) }
	answer := func(slots float64) {
		for _, at := range slices.Clone(p.d.scheduler.pool) {
			p.at(p.now+ms, free(byte(at+1), slots))
		}
	}
	size("at the start")
	before := slices.Clone(p.d.scheduler.pool)
	p.until(20 * time.Second)
	slices.Sort(before)
	after := slices.Sorted(slices.Values(p.d.scheduler.pool))
	size("after 20 s without invocations")
	fmt.Println("the same workers:", slices.Equal(before, after))
	answer(0)
	for n := range InvocationID(5) {
		p.at(p.now+100*ms, job(n+1, 2, 0.2))
		answer(0)
		p.until(p.now + 2*tickInterval)
	}
	size("five invocations while all are busy")
	drains := p.d.records[p.d.scheduler.pool[0]].Endpoint
	drains.State = Draining
	p.at(p.now+ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{drains}})
	size("one drains")
	// Output:
	// at the start: 16 of 200
	// after 20 s without invocations: 16 of 200
	// the same workers: false
	// five invocations while all are busy: 30 of 200
	// one drains: 29 of 200
}

// What an event costs must not grow with the fleet: the workers met and those that get notes are the same few.
func Example_largeFleet() {
	for _, n := range []int{50, 250} {
		p := start(shop(), fleet(n)...)
		p.quiet = true
		reads := 0
		for at := range p.d.records {
			w := p.d.workerAt(at)
			read := w.mailbox.handle
			w.mailbox.handle = func(message workerMessage) { reads++; read(message) }
		}
		p.d.deliverMessages()
		reads = 0
		for i := range InvocationID(20) {
			p.at(p.now+200*ms, job(i+1, 2, 0.1))
			p.until(p.now + 2*tickInterval)
		}
		fmt.Println(n, "workers, notes that they read for an invocation:", reads/20)
	}
	// Output:
	// 50 workers, notes that they read for an invocation: 36
	// 250 workers, notes that they read for an invocation: 35
}

// With so many schedulers that an even part of a cold worker's budget is less than one invocation, a lot that all draw
// alike names the few that share it; how many, and how much they send, grows as it warms. The budget of a span is what
// the rule allows: twice what four slots do by then.
func Example_coldCrowd() {
	dep := shop()
	dep.Schedulers = 1000
	for _, age := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 19 * time.Second} {
		sent, most, work := 0, 0, 0.0
		for me := range dep.Schedulers {
			dep.Index = me
			p := &play{d: New(dep, int64(me)), went: map[InvocationID][]WorkerID{}, quiet: true}
			cold := ready('a', 0)
			cold.StartKnown, cold.StartedAt, cold.Incarnation = true, 20*time.Second, 17
			p.at(0, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{ready('b', 0)}})
			n := InvocationID(0)
			for n < 40 { // one every half second before, each done as hinted
				n++
				p.at(time.Duration(n)*500*ms, free('b', 4), job(n, 2, 0.2))
				p.at(p.now+200*ms, p.end(n, 0, Succeeded))
			}
			p.at(20*time.Second+age, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{cold}})
			p.at(p.now+10*ms, free('a', 4), free('b', 0))
			p.lines = nil
			for range 8 {
				n++
				p.at(p.now+10*ms, job(n, 2, 0.2))
			}
			here := strings.Count(strings.Join(p.lines, "\n"), "to a")
			work += 0.2 * float64(here)
			if most = max(most, here); here > 0 {
				sent++
			}
		}
		fmt.Printf("%v after its start: %d of 1000 send, at most %d each, %.1f of a budget of %.1f\n", age, sent, most,
			work, 2*4*(0.1+0.9*age.Seconds()/20))
	}
	// Output:
	// 1s after its start: 0 of 1000 send, at most 0 each, 0.0 of a budget of 1.2
	// 5s after its start: 5 of 1000 send, at most 3 each, 1.8 of a budget of 2.6
	// 10s after its start: 8 of 1000 send, at most 4 each, 2.8 of a budget of 4.4
	// 19s after its start: 12 of 1000 send, at most 4 each, 3.6 of a budget of 7.6
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

// What a worker would not have goes to one more: if that takes it the first worker is at fault, if not the invocation.
func Example_unfit() {
	p := start(shop(), ready('a', 0), ready('b', 0), ready('c', 0))
	p.at(10*ms, free('a', 3), free('b', 2), free('c', 1))
	p.at(20*ms, job(1, 0, 0.2))
	p.at(30*ms, p.end(1, 0, BadRequest))
	p.at(40*ms, p.end(1, 1, BadRequest))
	p.at(50*ms, job(2, 0, 0.2))
	p.at(60*ms, p.end(2, 0, BadRequest))
	p.at(70*ms, p.end(2, 1, Succeeded))
	p.at(80*ms, job(3, 2, 0.2))
	p.at(90*ms, p.end(3, 0, BadRequest))
	// Output:
	// 20ms 1 to a
	// 30ms 1 to b
	// 40ms 1 errored
	// 50ms 2 to a
	// 60ms 2 to c
	// 70ms worker ejected worker=a reason="rejects what others accept"
	// 80ms 3 to c
	// 90ms 3 errored
}

// Broken connections and probes that fail at once may be the network's doing: the worker is asked again at once, and set
// aside when that fails too, or when all that it gets breaks. What could not connect is not tried there again at once.
func Example_brokenNetwork() {
	p := start(shop(), ready('a', 0), ready('b', 1))
	p.probes = true
	refused := HealthCheckResult{Worker: id('a'), Result: Unreachable}
	p.at(10*ms, free('a', 9), free('b', 2), job(1, 0, 0.3), job(2, 0, 0.3))
	p.probes = false
	p.at(40*ms, p.end(1, 0, ReusedConnectionBroken), HealthCheckResult{Worker: id('a'), Result: ReusedConnectionBroken})
	p.at(50*ms, p.end(2, 0, ConnectionBroken))
	p.at(60*ms, refused)
	p.at(70*ms, free('a', 9))
	p.at(80*ms, job(3, 2, 0.3))
	p.at(90*ms, p.end(3, 0, Unreachable))
	p.at(100*ms, refused)
	p.at(120*ms, refused)
	// Output:
	// 10ms probes a
	// 10ms probes b
	// 10ms 1 to a
	// 10ms 2 to a
	// 40ms 1 to b
	// 50ms 2 to b
	// 80ms 3 to a
	// 100ms 3 to b
	// 120ms worker ejected worker=a reason="health checks unanswered"
}

// One that has begun and of which nothing is heard, while its worker tells of others, is lost there: it goes elsewhere.
func Example_lostAnswer() {
	dep := shop()
	dep.NotifiesStart, dep.ProgressInterval = true, time.Second
	p := start(dep, ready('a', 0), ready('b', 1))
	p.at(10*ms, free('a', 3), free('b', 1), job(1, 0, 2), job(2, 0, 2))
	p.at(20*ms, AttemptProgress{Invocation: 1, Worker: id('a'), Started: true}, AttemptProgress{Invocation: 2, Worker: id('a'), Started: true})
	p.at(1020*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.4})
	p.until(2000 * ms)
	p.at(2020*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.8})
	p.until(2100 * ms)
	// Output:
	// 10ms 1 to a
	// 10ms 2 to a
	// 2.02s 1 to b
}

// What is lost at a worker holds no slot there any more: its report says that two of three are free, and two are sent.
func Example_lostAnswerFreesItsSlot() {
	dep := shop()
	dep.NotifiesStart, dep.ProgressInterval, dep.Limits.MaxInFlight = true, time.Second, 1
	p := start(dep, ready('a', 0))
	p.at(10*ms, free('a', 3), job(1, 2, 2), job(2, 0, 2))
	p.at(20*ms, AttemptProgress{Invocation: 1, Worker: id('a'), Started: true}, AttemptProgress{Invocation: 2, Worker: id('a'), Started: true})
	p.at(1020*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.4})
	p.until(2000 * ms)
	p.at(2020*ms, AttemptProgress{Invocation: 2, Worker: id('a'), Done: 0.8})
	p.until(2100 * ms)
	p.at(2110*ms, free('a', 2), job(3, 0, 2), job(4, 0, 2))
	p.at(2120*ms, free('a', 2))
	// Output:
	// 10ms 1 to a
	// 10ms 2 to a
	// 2.11s 3 to a
	// 2.11s 4 to a
}

// Where no worker reports, our own counts tell where room is, also when a forward has not started at once; and so they do
// where reports cease: what was free once tells nothing.
func Example_noReports() {
	dep := shop()
	dep.NotifiesStart = true
	p := start(dep, ready('a', 0), ready('b', 0))
	p.at(10*ms, job(1, 0, 2), job(2, 0, 2))
	p.until(100 * ms)
	p.at(110*ms, job(3, 0, 2), job(4, 0, 2))
	p.until(200 * ms)
	p = start(dep, ready('a', 0))
	p.at(10*ms, free('a', 1), job(1, 0, 2))
	p.at(20*ms, AttemptProgress{Invocation: 1, Worker: id('a'), Started: true}, job(2, 2, 2)) // held: nothing is free
	p.at(1000*ms, HealthCheckResult{Worker: id('a'), Result: Succeeded})                      // it is early yet
	p.at(1400*ms, HealthCheckResult{Worker: id('a'), Result: Succeeded})
	// Output:
	// 10ms 1 to b
	// 10ms 2 to a
	// 110ms 3 to a
	// 110ms 4 to b
	// 10ms 1 to a
	// 1.4s 2 to a
}

// Among workers with room, those that end an invocation in time even half as slow again as usual come before those with
// more room. Where none does, or work has time, most room decides as ever.
func Example_surelyInTime() {
	p := start(shop(), ready('a', 0), ready('b', 0))
	p.at(10*ms, free('a', 1), free('b', 1))
	for at, pace := range []float64{3, 0.8} {
		w := p.d.workerAt(at)
		w.paces, w.pace = samples{pace}, pace
	}
	p.frequent('a', 'b')
	p.at(p.now+100*ms, free('a', 4), free('b', 2))
	p.at(p.now+10*ms, job(1, 0, 0.3), job(2, 0, 0.1))
	p.until(p.now + 40*ms)
	// Output:
	// 184ms 2 to a
	// 184ms 1 to b
}

// Three schedulers share a cold worker's budget evenly, whatever the usual run is: the parts of all stay under a quarter of what
// it bears by hints, as those are far off for some, and each has little of it.
func Example_coldFew() {
	for _, run := range []float64{0.01, 0.2, 3} {
		dep := shop()
		dep.Schedulers, dep.Index = 3, 0
		cold := ready('a', 0)
		cold.StartKnown, cold.Incarnation = true, 5
		p := start(dep, cold)
		p.quiet = true
		p.d.scheduler.runTimes = samples{run, run}
		p.at(time.Second, free('a', 100))
		sent := 0
		for n := InvocationID(1); n <= 100; n++ {
			p.at(p.now+ms, job(n, 2, 0.1))
		}
		for _, went := range p.went {
			sent += len(went)
		}
		budget := 2 * 100 * (0.1 + 0.9*1.1/20)
		fmt.Printf("usual run %v: at most a twelfth of the budget each: %v, some: %v\n", run, float64(sent)*0.1 <= budget/12+0.1, sent > 0)
	}
	// Output:
	// usual run 0.01: at most a twelfth of the budget each: true, some: true
	// usual run 0.2: at most a twelfth of the budget each: true, some: true
	// usual run 3: at most a twelfth of the budget each: true, some: true
}
