package dispatch

import (
	"fmt"
	"time"
)

// bounded is a deployment where a repeat of operation 1 is dropped for a second, and late answers have a value.
func bounded(scope DedupScope) Config {
	dep := shop()
	o := &dep.Operations[1]
	o.DedupScope, o.DedupWindow, o.LateWeight = scope, time.Second, 0.5
	return dep
}

// held has invocation 1 sent to a at 20 ms and broken off, and its repeat held, as b has no room.
func held(dep Config) *play {
	p := start(dep, ready('a', 0), ready('b', 0), ready('c', 1))
	p.quiet, p.waits = true, true
	p.at(10*ms, free('a', 1), free('b', 0), free('c', 0))
	p.at(20*ms, job(1, 1, 0.2))
	p.until(60 * ms)
	p.at(120*ms, p.end(1, 0, ConnectionBroken), free('b', 0), free('c', 0))
	return p
}

// full lets time pass with no room anywhere.
func (p *play) full(till time.Duration) {
	for p.now+tickInterval <= till {
		p.at(p.now+tickInterval, free('a', 0), free('b', 0), free('c', 0))
	}
}

// A repeat waits for room. Once its window has passed it must not leave, whatever room there is: its client is answered at
// once.
func Example_heldPastItsWindow() {
	for _, scope := range []DedupScope{ScopeAll, ScopeZone, ScopeCell} {
		for _, room := range []time.Duration{900 * ms, 1100 * ms} {
			p := held(bounded(scope))
			p.full(room)
			p.tell(fmt.Sprint("held until ", room))
			p.at(p.now+10*ms, free('b', 9.1))
			p.until(p.now + 300*ms)
			p.tell("room")
		}
	}
	// Output:
	// held until 900ms: 1 to a
	// room: 1 to b
	// held until 1.1s: 1 to a; 1 throttled, back after 750ms to 1.25s
	// room: nothing
	// held until 900ms: 1 to a
	// room: 1 to b
	// held until 1.1s: 1 to a; 1 errored
	// room: nothing
	// held until 900ms: 1 to a
	// room: 1 to b
	// held until 1.1s: 1 to a; 1 errored
	// room: nothing
}

// What a list says of a worker later does not move what may have run there: the repeats are dropped where it ran.
func Example_heldWhileItsWorkerMoves() {
	for _, scope := range []DedupScope{ScopeZone, ScopeCell} {
		p := held(bounded(scope))
		p.full(200 * ms)
		moved := ready('a', 1)
		p.at(p.now+10*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{moved}})
		p.at(p.now+10*ms, free('c', 9.1))
		p.until(p.now + 100*ms)
		p.tell("room where the list has it now")
		p.at(p.now+10*ms, free('b', 9.1))
		p.until(p.now + 100*ms)
		p.tell("room where it ran")
	}
	// Output:
	// room where the list has it now: 1 to a
	// room where it ran: 1 to b
	// room where the list has it now: 1 to a
	// room where it ran: 1 to b
}

// New settings allow fewer forwards, or fewer at once, while a repeat is held.
func Example_heldWhileLimitsChange() {
	for _, change := range []func(a *Limits){
		func(a *Limits) {},
		func(a *Limits) { a.MaxAttempts = 1 },
	} {
		dep := bounded(ScopeAll)
		p := held(dep)
		p.full(200 * ms)
		change(&dep.Limits)
		p.at(p.now+10*ms, Reconfigured{Config: dep, PreviousOperations: []int{0, 1, 2}})
		p.at(p.now+10*ms, free('b', 9.1))
		p.until(p.now + 100*ms)
		p.tell("room")
	}
	// Output:
	// room: 1 to a; 1 to b
	// room: 1 to a; 1 throttled, back after 750ms to 1.25s
}

// The instance before has sent it 0.9 s ago, in a zone whose worker this one has not met: the window goes on, and the group
// stays.
func Example_resumedInItsWindow() {
	for _, age := range []time.Duration{500 * ms, 900 * ms} {
		p := start(bounded(ScopeZone), ready('a', 0), ready('b', 0), ready('c', 1))
		p.quiet, p.waits = true, true
		p.at(10*ms, free('b', 0), free('c', 9))
		p.at(20*ms, MigratedIn{Arrival: job(1, 1, 0.2), Waited: age, Age: age,
			Attempts: []Attempt{{Worker: id('a'), Age: age, StartedAge: -1, LastProgressAge: -1, MayHaveRun: true}}})
		p.full(200 * ms)
		p.tell("resumed")
		p.at(p.now+10*ms, free('b', 9.1))
		p.until(p.now + 200*ms)
		p.tell("room")
	}
	// Output:
	// resumed: nothing
	// room: 1 to b
	// resumed: 1 errored
	// room: nothing
}

// An invocation is taken over when the worker of its first attempt has moved to another zone: what drops its repeats has not.
func Example_resumedAfterItsWorkerMoved() {
	p := start(bounded(ScopeZone), ready('a', 1), ready('b', 0), ready('c', 1))
	p.quiet, p.waits = true, true
	p.at(10*ms, free('b', 9), free('c', 9))
	p.at(20*ms, MigratedIn{Arrival: job(1, 1, 0.2), Waited: 100 * ms, Age: 100 * ms,
		Attempts: []Attempt{{Worker: id('a'), Zone: 0, Age: 100 * ms, StartedAge: -1, LastProgressAge: -1, MayHaveRun: true}}})
	p.until(200 * ms)
	p.tell("resumed")
	// Output:
	// resumed: 1 to b
}

// A repeat carries the time by which it has to leave; what nothing bounds carries none.
func Example_until() {
	p := start(bounded(ScopeAll), ready('a', 0), ready('b', 0), ready('c', 0))
	p.quiet, p.untils = true, true
	p.at(10*ms, free('a', 9), free('b', 9), free('c', 9))
	p.at(20*ms, job(1, 1, 0.2), job(2, 0, 0.2), job(3, 2, 0.2))
	p.until(60 * ms)
	p.tell("first")
	p.at(120*ms, p.end(1, 0, ReusedConnectionBroken), p.end(2, 0, ReusedConnectionBroken), p.end(3, 0, Rejected))
	p.until(200 * ms)
	p.tell("again")
	// Output:
	// first: 3 to b; 1 to a; 2 to c
	// again: 3 to a; 1 to c until 1.02s; 2 to a
}

// What is passed to another instance ages on its way, and in one that has it back: its window is not counted anew.
func Example_olderOnItsWay() {
	for _, way := range []time.Duration{0, 800 * ms} {
		p := held(bounded(ScopeAll))
		p.full(200 * ms)
		r, _ := p.d.MigrationRecord(1)
		p.at(p.now, MigratedOut{Invocation: 1})
		p.full(p.now + 100*ms + way)
		back := r.Aged(100*ms + way)
		p.at(p.now, back)
		p.at(p.now+10*ms, free('b', 9.1))
		p.until(p.now + 100*ms)
		p.tell("room")
		fmt.Println(r.Budget-back.Budget, back.Waited-r.Waited, back.Attempts[0].Age-r.Attempts[0].Age, back.Attempts[0].StartedAge)
	}
	// Output:
	// room: 1 to a; 1 to b
	// 100ms 100ms 100ms -1ns
	// room: 1 to a; 1 throttled, back after 750ms to 1.25s
	// 900ms 900ms 900ms -1ns
}
