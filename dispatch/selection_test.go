package dispatch

import (
	"fmt"
	"time"
)

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
