package dispatch

import (
	"fmt"
	"time"
)

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

// The worker that is avoided is counted while it is, and while it is listed.
func Example_avoided() {
	p := start(shop(), ready('a', 0), ready('b', 0))
	p.quiet = true
	p.at(10*ms, job(1, 0, 0.1))
	p.at(20*ms, p.end(1, 0, Failed))
	fmt.Println(p.d.Ejected(), p.lines)
	gone := ready('b', 0)
	gone.State = Gone
	p.at(30*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{gone}})
	fmt.Println(p.d.Ejected())
	p.at(time.Second, TimerFired{})
	// Output:
	// 1 [1 to b worker ejected worker=b reason="fails attempts" 1 to a]
	// 0
}

// Where workers say that they have taken a forward, one without that word counts as stuck: its connection may have fallen
// silent, though other work there goes on. What may run only once is waited for. One that was taken waits in a queue.
func Example_notTaken() {
	dep := shop()
	dep.NotifiesAccepted, dep.NotifiesStart = true, true
	p := start(dep, ready('a', 0), ready('b', 0))
	p.quiet = true
	p.at(10*ms, free('a', 8), free('b', 8))
	p.at(20*ms, job(1, 0, 1), job(2, 2, 1), job(3, 0, 1))
	p.tell("sent")
	p.at(30*ms, AttemptProgress{Invocation: 3, Worker: p.went[3][0], Accepted: true})
	for n := range 40 {
		p.at(40*ms+time.Duration(n)*tickInterval, TimerFired{}, AttemptProgress{Invocation: 3, Worker: p.went[3][0], Started: true})
	}
	p.tell("0.8 s later")
	p.at(900*ms, p.end(1, 1, Succeeded), p.end(2, 0, Succeeded))
	p.tell("answers")
	// Output:
	// sent: 2 to b; 1 to a; 3 to a
	// 0.8 s later: 1 to b
	// answers: 1 cancels forward 0
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
