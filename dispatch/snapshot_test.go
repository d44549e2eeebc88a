package dispatch

import (
	"encoding/json"
	"fmt"
	"time"
)

// An instance takes another one's place: what was measured, who is set aside, what a cold worker was sent, and invocations
// with their forwards go on as they were. What breaks is sent again where it may be, once.
func Example_successor() {
	dep := shop()
	dep.Schedulers, dep.EndpointsPushed = 1, true
	cold := ready('c', 0)
	cold.StartKnown, cold.StartedAt, cold.Incarnation = true, 8*time.Second, 7
	old := start(dep, ready('a', 0), ready('b', 0))
	old.quiet = true
	for n := InvocationID(1); n <= 5; n++ {
		old.at(old.now+10*ms, job(n, 0, 0.1), free('a', 1), free('b', 1))
		old.at(old.now+200*ms, old.end(n, 0, Succeeded))
	}
	old.at(9*time.Second, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{cold}})
	asked := func(when time.Duration, a float64, events ...Event) {
		old.at(when, free('a', a), free('b', 3), free('c', 3))
		old.at(when+10*ms, events...)
		old.until(when + 90*ms)
	}
	asked(9200*ms, 3, job(22, 2, 0.1))
	asked(9300*ms, 3, job(23, 2, 0.1), job(21, 0, 0.1))
	asked(9400*ms, 4, job(25, 0, 0.01), old.end(21, 0, Failed))
	old.at(9500*ms, old.end(25, 0, Succeeded))
	old.tell("the old one")

	// What goes to the other process goes as text; its clock began later.
	const later = 9 * time.Second
	next := start(dep, ready('a', 0), ready('b', 0))
	entry := cold
	entry.StartedAt -= later
	next.quiet = true
	next.at(200*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{entry}})
	text, err := json.Marshal(old.d.Snapshot())
	var lesson Snapshot
	if err == nil {
		err = json.Unmarshal(text, &lesson)
	}
	next.at(350*ms, SnapshotLoaded{lesson})
	fmt.Println(err, next.d.Ejected(), old.d.Ejected(), next.d.scheduler.kindPace, next.d.scheduler.operations[0].runTimes.mean() == old.d.scheduler.operations[0].runTimes.mean())
	spent := func(p *play) float64 {
		p.d.records[2].worker.publishView()
		return p.d.records[2].worker.budgetUsed
	}
	fmt.Println("spent on the cold one:", spent(old) > 0, spent(next) == spent(old))
	for n := InvocationID(21); n <= 23; n++ {
		r, held := old.d.MigrationRecord(n)
		if !held {
			fmt.Println(n, "has ended")
			continue
		}
		r.Invocation += 100
		next.went[r.Invocation] = nil
		for _, t := range r.Attempts {
			next.went[r.Invocation] = append(next.went[r.Invocation], t.Worker)
		}
		fmt.Println(n, r.Age, len(r.Attempts), r.Budget)
		old.at(old.now, MigratedOut{n})
		next.at(400*ms, r)
	}
	old.tell("the old one after that")
	next.tell("the new one")
	next.at(500*ms, next.end(121, len(next.went[121])-1, ConnectionBroken), next.end(122, 0, ConnectionBroken), next.end(123, 0, Succeeded))
	next.tell("two break, one succeeds")
	old.at(20*time.Second, TimerFired{})
	old.tell("the old one, much later")
	lesson.Version++
	fresh := start(dep, ready('a', 0))
	fresh.at(10*ms, SnapshotLoaded{lesson})
	fmt.Println("of another version:", len(fresh.d.scheduler.runTimes))
	// Output:
	// the old one: 1 to b; 2 to a; 3 to b; 4 to b; 5 to b; 22 to b; 23 to a; 21 to b; worker ejected worker=b reason="fails attempts"; 21 to a; 25 to c
	// <nil> 1 1 map[0:2] true
	// spent on the cold one: true true
	// 21 190ms 2 4.81s
	// 22 290ms 1 4.71s
	// 23 190ms 1 4.81s
	// the old one after that: nothing
	// the new one: nothing
	// two break, one succeeds: 122 errored; 121 to c
	// the old one, much later: nothing
	// of another version: 0
}
