package dispatch

import "fmt"

// One reconfiguration enables gossip and a second one disables it: owners are assigned and used, and
// after the second one no more gossip is sent.
func Example_reconfiguredGossip() {
	config := gossipConfig(3, 1)
	withoutGossip := config
	withoutGossip.Limits.Gossip = false
	h := newHarness(withoutGossip, readyEndpoint('a', 0), readyEndpoint('c', 0))
	h.handleAt(20*ms, freeSlotsResult('a', 2), arrival(1, 0, 0.1))
	h.handleAt(50*ms, h.outcome(1, 0, Succeeded), Reconfigured{Config: config, PreviousOperations: []int{0, 1, 2}})
	fmt.Println("owners:", h.dispatcher.records[0].owner, h.dispatcher.records[1].owner, "owned here:", h.dispatcher.owned)
	draining := readyEndpoint('a', 0)
	draining.State = Draining // otherwise it would come first, as an owned worker
	h.handleAt(55*ms, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{draining}})
	h.handleAt(60*ms, freeSlotsResult('c', 4), arrival(2, 0, 0.1))
	h.runUntil(90 * ms)
	h.handleAt(100*ms, h.outcome(2, 0, Succeeded), Reconfigured{Config: withoutGossip, PreviousOperations: []int{0, 1, 2}})
	query := GossipEntry{Kind: GossipCapacityQuery, Tag: h.dispatcher.workerAt(0).tag}
	h.handleAt(110*ms, freeSlotsResult('c', 4), arrival(3, 0, 0.1), GossipReceived{From: 0, Entries: []GossipEntry{query}})
	// Output:
	// 20ms 1 to c
	// owners: 1 0 owned here: [0]
	// 60ms gossips to 0: queries c
	// 80ms 2 to c
	// 80ms gossips to 0: sent 2 to c
	// 100ms gossips to 0: ended 2
	// 110ms 3 to c
}

// An operation becomes stricter while an invocation of it is in flight. That invocation may still be
// retried under the earlier effect class, a new one may not. The new operation continues the
// measurements of the earlier one.
func Example_reconfiguredEffect() {
	config := testConfig()
	h := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 0))
	h.collects = true
	for n := InvocationID(1); n <= 5; n++ {
		h.handleAt(h.now+10*ms, arrival(n, 0, 0.1), freeSlotsResult('a', 1))
		h.handleAt(h.now+200*ms, h.outcome(n, 0, Succeeded))
	}
	h.lines = nil
	h.handleAt(h.now+10*ms, arrival(11, 0, 0.1))
	h.printCollected("before")
	strict := config.Operations[0]
	strict.Effect = NonIdempotent
	config.Operations = append(config.Operations, strict)
	h.handleAt(h.now+10*ms, Reconfigured{Config: config, PreviousOperations: []int{0, 1, 2, 0}}, arrival(12, 3, 0.1))
	h.printCollected("after")
	h.handleAt(h.now+10*ms, h.outcome(11, 0, ConnectionBroken), h.outcome(12, 0, ConnectionBroken))
	h.printCollected("both break")
	operations := h.dispatcher.scheduler.operations
	fmt.Println(len(operations[3].costRatios) >= 5, len(operations[1].costRatios))
	operations[3].costRatios.add(99)
	fmt.Println(operations[0].costRatios.sum() < 99)
	// Output:
	// before: 11 to a
	// after: 12 to b
	// both break: 12 failed; 11 to b
	// true 0
	// true
}

// After a reconfiguration that allows fewer attempts, an invocation that has already had that many
// gets no more, even if it arrived earlier. A change of Cancel applies too.
func Example_reconfiguredLimits() {
	config := testConfig()
	h := newHarness(config, readyEndpoint('a', 0), readyEndpoint('b', 0), readyEndpoint('c', 0))
	h.collects = true
	h.handleAt(10*ms, arrival(1, 0, 0.1))
	h.handleAt(20*ms, h.outcome(1, 0, Rejected))
	h.printCollected("before")
	config.Limits.MaxAttempts = 2
	config.Limits.MaxRetryAfter = 0
	h.handleAt(30*ms, Reconfigured{Config: config, PreviousOperations: []int{0, 1, 2}})
	h.handleAt(40*ms, h.outcome(1, 1, Rejected))
	h.printCollected("after")
	s := &h.dispatcher.scheduler
	fmt.Println(s.maxAttempts, s.cancelAllowed, s.schedulers, h.dispatcher.schedulerIndex)
	config.Limits.Cancel = false
	config.Schedulers = 7
	config.SchedulerIndex = UnknownIndex
	h.handleAt(50*ms, Reconfigured{Config: config, PreviousOperations: []int{0, 1, 2}})
	fmt.Println(s.maxAttempts, s.cancelAllowed, s.schedulers, h.dispatcher.schedulerIndex)
	// Output:
	// before: 1 to c; 1 to a
	// after: 1 throttled, retry at once
	// 2 true 1 0
	// 2 false 7 0
}

// The arrivals of a tenant with queued invocations stay counted across a reconfiguration. Those of a
// new tenant start at 0.
func Example_reconfiguredTenants() {
	config := testConfig()
	config.Tenants = []Tenant{{QuotaPerSecond: 1}, {QuotaPerSecond: 1000}}
	config.ExcessWeight = 0.1
	h := newHarness(config, readyEndpoint('a', 0))
	h.collects = true
	h.handleAt(h.now+10*ms, freeSlotsResult('a', 0))
	fromTenant := func(n InvocationID, tenant int) Arrival {
		a := arrival(n, 2, 1)
		a.Tenant = tenant
		return a
	}
	for n := InvocationID(1); n <= 10; n++ {
		h.handleAt(h.now+10*ms, fromTenant(n, 0))
	}
	h.handleAt(h.now+10*ms, fromTenant(13, 2)) // of a tenant that is not configured yet
	config.Tenants = append(config.Tenants, Tenant{QuotaPerSecond: 5})
	h.handleAt(h.now+10*ms, Reconfigured{Config: config, PreviousOperations: []int{0, 1, 2}}, fromTenant(11, 2))
	h.runUntil(h.now + 200*ms)
	fmt.Println(len(h.dispatcher.scheduler.tenants[0].arrivals), len(h.dispatcher.scheduler.tenants[2].arrivals))
	h.handleAt(h.now+10*ms, freeSlotsResult('a', 3))
	h.printCollected("one has flooded before, the others have not")
	// Output:
	// 10 1
	// one has flooded before, the others have not: 13 to a; 11 to a
}
