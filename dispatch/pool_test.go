package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

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

// Many workers start at once beside a small pool: those that the lot names to us are kept in it, and asked again every
// 2 s and not whenever another one joins.
func Example_enlargement() {
	p := start(pooled(3, 0), fleet(20)...)
	var cold []Endpoint
	for n := range 60 {
		e := ready(byte(100+n), 0)
		e.StartKnown, e.StartedAt, e.Incarnation = true, time.Second, uint64(n)
		cold = append(cold, e)
	}
	probes := 0
	handle := func(now time.Duration, events ...Event) {
		for pending := events; len(pending) > 0; {
			next := []Event(nil)
			for _, action := range p.d.Handle(now, pending) {
				if probe, is := action.(HealthCheck); is {
					probes++
					a := free('a', 4)
					a.Worker = probe.Worker
					next = append(next, a)
				}
			}
			pending, now = next, now+time.Microsecond
		}
	}
	handle(time.Second, EndpointUpdate{Kind: DeltaUpdate, Endpoints: cold})
	for now := time.Second; now < 5*time.Second; now += tickInterval {
		handle(now, job(InvocationID(now), 0, 0.1))
	}
	fmt.Println("60 started, probes in 4 s under 300:", probes < 300)
	// Output:
	// 0s tells -1: anew
	// 60 started, probes in 4 s under 300: true
}

// What a scheduler does beside its invocations does not grow with the workers that have its work: 950 with 1,800 invocations
// in hand read no more notes than 60 with 130.
func TestNotesDoNotGrowWithFleet(t *testing.T) {
	reads := func(workers int) (n int) {
		w := cost(workers)
		for at := range w.d.records {
			in := &w.d.workerAt(at).mailbox
			read := in.handle
			in.handle = func(message workerMessage) { n++; read(message) }
		}
		w.play(w.now + 10*time.Second)
		return n
	}
	if few, many := reads(60), reads(950); many > few*5/4 {
		t.Errorf("workers read %d notes at 60, %d at 950", few, many)
	}
}
