package dispatch

import (
	"fmt"
)

// Settings taken over later allow messages, or forbid them: keepers are found then, and nothing more is sent.
func Example_messagesRetuned() {
	dep := pooled(3, 1)
	silent := dep
	silent.Limits.Gossip = false
	p := start(silent, ready('a', 0), ready('c', 0))
	p.at(20*ms, free('a', 2), job(1, 0, 0.1))
	p.at(50*ms, p.end(1, 0, Succeeded), Reconfigured{dep, []int{0, 1, 2}})
	fmt.Println("keepers:", p.d.records[0].owner, p.d.records[1].owner, "ours:", p.d.owned)
	drains := ready('a', 0)
	drains.State = Draining // else it would come first, as we keep it
	p.at(55*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{drains}})
	p.at(60*ms, free('c', 4), job(2, 0, 0.1))
	p.until(90 * ms)
	p.at(100*ms, p.end(2, 0, Succeeded), Reconfigured{silent, []int{0, 1, 2}})
	p.at(110*ms, free('c', 4), job(3, 0, 0.1), GossipReceived{0, []GossipEntry{{Kind: GossipCapacityQuery, Tag: p.d.workerAt(0).tag}}})
	// Output:
	// 20ms 1 to c
	// keepers: 1 0 ours: [0]
	// 60ms tells 0: asks for c
	// 80ms 2 to c
	// 80ms tells 0: sent 2 to c
	// 100ms tells 0: ended 2
	// 110ms 3 to c
}

// An operation becomes stricter while an invocation of it is out: that one may still go elsewhere as it came, a new one may
// not. What was learned of it goes on with the new one.
func Example_retunedEffect() {
	dep := shop()
	p := start(dep, ready('a', 0), ready('b', 0))
	p.quiet = true
	for n := InvocationID(1); n <= 5; n++ {
		p.at(p.now+10*ms, job(n, 0, 0.1), free('a', 1))
		p.at(p.now+200*ms, p.end(n, 0, Succeeded))
	}
	p.lines = nil
	p.at(p.now+10*ms, job(11, 0, 0.1))
	p.tell("before")
	strict := dep.Operations[0]
	strict.Effect = NonIdempotent
	dep.Operations = append(dep.Operations, strict)
	p.at(p.now+10*ms, Reconfigured{Config: dep, PreviousOperations: []int{0, 1, 2, 0}}, job(12, 3, 0.1))
	p.tell("after")
	p.at(p.now+10*ms, p.end(11, 0, ConnectionBroken), p.end(12, 0, ConnectionBroken))
	p.tell("both break")
	ops := p.d.scheduler.operations
	fmt.Println(len(ops[3].costRatios) >= 5, len(ops[1].costRatios))
	ops[3].costRatios.add(99)
	fmt.Println(ops[0].costRatios.sum() < 99)
	// Output:
	// before: 11 to a
	// after: 12 to b
	// both break: 12 errored; 11 to b
	// true 0
	// true
}

// Fewer forwards are allowed: what has had as many gets no more, whenever it came. Copies and cancels follow as well.
func Example_retunedLimits() {
	dep := shop()
	p := start(dep, ready('a', 0), ready('b', 0), ready('c', 0))
	p.quiet = true
	p.at(10*ms, job(1, 0, 0.1))
	p.at(20*ms, p.end(1, 0, Rejected))
	p.tell("before")
	dep.Limits.MaxAttempts, dep.Limits.MaxRetryAfter = 2, 0
	p.at(30*ms, Reconfigured{Config: dep, PreviousOperations: []int{0, 1, 2}})
	p.at(40*ms, p.end(1, 1, Rejected))
	p.tell("after")
	fmt.Println(p.d.scheduler.maxAttempts, p.d.scheduler.cancels, p.d.scheduler.schedulers, p.d.self)
	dep.Limits.Cancel, dep.Schedulers, dep.Index = false, 7, -1
	p.at(50*ms, Reconfigured{Config: dep, PreviousOperations: []int{0, 1, 2}})
	fmt.Println(p.d.scheduler.maxAttempts, p.d.scheduler.cancels, p.d.scheduler.schedulers, p.d.self)
	// Output:
	// before: 1 to c; 1 to a
	// after: 1 throttled, back at once
	// 2 true 1 0
	// 2 false 7 0
}

// New settings come while a tenant's invocations are held: its traffic goes on being known, a new one's starts at nought.
func Example_retunedTenants() {
	dep := shop()
	dep.Tenants, dep.ExcessValue = []Tenant{{QuotaPerSecond: 1}, {QuotaPerSecond: 1000}}, 0.1
	p := start(dep, ready('a', 0))
	p.quiet = true
	p.at(p.now+10*ms, free('a', 0))
	by := func(n InvocationID, tenant int) Arrival {
		j := job(n, 2, 1)
		j.Tenant = tenant
		return j
	}
	for n := InvocationID(1); n <= 10; n++ {
		p.at(p.now+10*ms, by(n, 0))
	}
	p.at(p.now+10*ms, by(13, 2)) // of nobody known yet
	dep.Tenants = append(dep.Tenants, Tenant{QuotaPerSecond: 5})
	p.at(p.now+10*ms, Reconfigured{Config: dep, PreviousOperations: []int{0, 1, 2}}, by(11, 2))
	p.until(p.now + 200*ms)
	fmt.Println(len(p.d.scheduler.tenants[0].arrivals), len(p.d.scheduler.tenants[2].arrivals))
	p.at(p.now+10*ms, free('a', 3))
	p.tell("one has flooded before, the others have not")
	// Output:
	// 10 1
	// one has flooded before, the others have not: 13 to a; 11 to a
}
