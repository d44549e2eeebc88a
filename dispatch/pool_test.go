package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// readyEndpoints returns ready workers in two zones. There may be more of them than letters.
func readyEndpoints(count int) (endpoints []Endpoint) {
	for i := range count {
		endpoints = append(endpoints, readyEndpoint(byte(i+1), i%2))
	}
	return endpoints
}

// The pool starts with a few of many workers, which are replaced in turn. One more joins when all
// are busy, within the number that can be health checked. A draining worker leaves the pool at once.
func Example_poolRenewal() {
	h := newHarness(testConfig(), readyEndpoints(200)...)
	h.collects = true
	size := func(title string) { fmt.Printf("%s: %d of 200\n", title, len(h.dispatcher.scheduler.pool)) }
	answer := func(slots float64) {
		for _, index := range slices.Clone(h.dispatcher.scheduler.pool) {
			h.handleAt(h.now+ms, freeSlotsResult(byte(index+1), slots))
		}
	}
	size("at the start")
	before := slices.Clone(h.dispatcher.scheduler.pool)
	h.runUntil(20 * time.Second)
	slices.Sort(before)
	after := slices.Sorted(slices.Values(h.dispatcher.scheduler.pool))
	size("after 20 s without invocations")
	fmt.Println("the same workers:", slices.Equal(before, after))
	answer(0)
	for n := range InvocationID(5) {
		h.handleAt(h.now+100*ms, arrival(n+1, 2, 0.2))
		answer(0)
		h.runUntil(h.now + 2*tickInterval)
	}
	size("five invocations while all are busy")
	draining := h.dispatcher.records[h.dispatcher.scheduler.pool[0]].Endpoint
	draining.State = Draining
	h.handleAt(h.now+ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{draining}})
	size("one drains")
	// Output:
	// at the start: 16 of 200
	// after 20 s without invocations: 16 of 200
	// the same workers: false
	// five invocations while all are busy: 30 of 200
	// one drains: 29 of 200
}

// The cost of an event must not grow with the number of workers: the number of workers that get
// messages for it stays the same.
func Example_eventCostOfLargeFleet() {
	for _, workers := range []int{50, 250} {
		h := newHarness(testConfig(), readyEndpoints(workers)...)
		h.collects = true
		messages := 0
		for index := range h.dispatcher.records {
			w := h.dispatcher.workerAt(index)
			handle := w.mailbox.handle
			w.mailbox.handle = func(message workerMessage) {
				messages++
				handle(message)
			}
		}
		h.dispatcher.deliverMessages()
		messages = 0
		for i := range InvocationID(20) {
			h.handleAt(h.now+200*ms, arrival(i+1, 2, 0.1))
			h.runUntil(h.now + 2*tickInterval)
		}
		fmt.Println(workers, "workers, messages that they handle for an invocation:", messages/20)
	}
	// Output:
	// 50 workers, messages that they handle for an invocation: 36
	// 250 workers, messages that they handle for an invocation: 35
}

// Many workers start at once while the pool is small. Those that the lottery assigns to this
// scheduler stay in the pool, and are health checked every 2 s and not whenever another worker
// joins.
func Example_manyRestartsBesideSmallPool() {
	h := newHarness(gossipConfig(3, 0), readyEndpoints(20)...)
	var starting []Endpoint
	for n := range 60 {
		endpoint := readyEndpoint(byte(100+n), 0)
		endpoint.StartKnown = true
		endpoint.StartedAt = time.Second
		endpoint.Incarnation = uint64(n)
		starting = append(starting, endpoint)
	}
	checks := 0
	handle := func(now time.Duration, events ...Event) {
		for pending := events; len(pending) > 0; {
			var next []Event
			for _, action := range h.dispatcher.Handle(now, pending) {
				if check, isCheck := action.(HealthCheck); isCheck {
					checks++
					result := freeSlotsResult('a', 4)
					result.Worker = check.Worker
					next = append(next, result)
				}
			}
			pending = next
			now += time.Microsecond
		}
	}
	handle(time.Second, EndpointUpdate{Kind: DeltaUpdate, Endpoints: starting})
	for now := time.Second; now < 5*time.Second; now += tickInterval {
		handle(now, arrival(InvocationID(now), 0, 0.1))
	}
	fmt.Println("60 started, health checks in 4 s under 300:", checks < 300)
	// Output:
	// 0s gossips to -1: restarted
	// 60 started, health checks in 4 s under 300: true
}

// A scheduler's work apart from its invocations does not grow with the number of workers that have
// its attempts: 950 workers with 1,800 invocations in flight handle at most a quarter more messages
// than 60 with 130.
func TestMessagesDoNotGrowWithWorkers(t *testing.T) {
	messages := func(workers int) (count int) {
		s := newLoadedSimulation(workers)
		for index := range s.dispatcher.records {
			box := &s.dispatcher.workerAt(index).mailbox
			handle := box.handle
			box.handle = func(message workerMessage) {
				count++
				handle(message)
			}
		}
		s.run(s.now + 10*time.Second)
		return count
	}
	if few, many := messages(60), messages(950); many > few*5/4 {
		t.Errorf("60 workers handle %d messages, 950 handle %d: want at most a quarter more", few, many)
	}
}
