package dispatch

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// gossipConfig returns a deployment in which schedulers may gossip.
func gossipConfig(schedulers, index int) Config {
	config := testConfig()
	config.Schedulers = schedulers
	config.SchedulerIndex = index
	config.Limits.Gossip = true
	return config
}

// capacityReply returns a reply to a capacity query, sent by the worker's owner.
func (h *harness) capacityReply(name byte, slots int) GossipReceived {
	w := h.dispatcher.workerAt(h.dispatcher.recordIndex[workerID(name)])
	return GossipReceived{
		From: w.owner,
		Entries: []GossipEntry{{
			Kind:   GossipCapacityReply,
			Serial: uint8(int8(slots)),
			Tag:    w.tag,
		}},
	}
}

// Messages that are garbled, cut short, of another version or too long are rejected as a whole.
func Example_gossipCodec() {
	entries := []GossipEntry{
		{Kind: GossipRestarted},
		{Kind: GossipAttemptStarted, Serial: 7, Tag: 0x51234},
		{Kind: GossipAttemptEnded, Serial: 7},
		{Kind: GossipCapacityQuery, Tag: 0x7ffff},
		{Kind: GossipCapacityReply, Serial: 0xfe, Tag: 1},
	}
	message := EncodeGossip(entries)[0]
	read, ok := DecodeGossip(message)
	fmt.Printf("%x %v %v\n", message, ok, slices.Equal(read, entries))
	for cut := range message {
		read, ok := DecodeGossip(message[:cut])
		fmt.Print(" ", cut, ":", len(read), ok)
	}
	fmt.Println()
	malformed := [][]byte{
		nil,
		{0x80},
		{0x78},
		{0, 1, 2},
		append(slices.Clone(message), 0xff),
		make([]byte, MaxGossipBytes+1),
	}
	for _, message := range malformed {
		_, ok := DecodeGossip(message)
		fmt.Print(" ", ok)
	}
	fmt.Println()
	many := make([]GossipEntry, 200)
	for n := range many {
		many[n] = GossipEntry{Kind: GossipAttemptStarted, Serial: uint8(n), Tag: 3}
	}
	var decoded []GossipEntry
	for _, message := range EncodeGossip(many) {
		part, ok := DecodeGossip(message)
		fmt.Print(len(message), " ", ok, ", ")
		decoded = append(decoded, part...)
	}
	fmt.Println(slices.Equal(decoded, many))
	// Output:
	// 404d34120750075fffff600100fe true true
	//  0:0 false 1:1 true 2:0 false 3:0 false 4:0 false 5:2 true 6:0 false 7:3 true 8:0 false 9:0 false 10:4 true 11:0 false 12:0 false 13:0 false
	//  false false false false false false
	// 256 true, 256 true, 256 true, 32 true, true
}

// The owner of a worker is notified of other schedulers' attempts and answers their capacity queries.
// Slots in use do not count as free, whichever scheduler uses them. An attempt whose end is never
// reported counts for at most 8 s, or for one running time after its scheduler has restarted.
func Example_ownerReplies() {
	h := newHarness(gossipConfig(3, 1), readyEndpoint('a', 0), readyEndpoint('c', 0))
	fmt.Println("owners:", h.dispatcher.records[0].owner, h.dispatcher.records[1].owner)
	tag := h.dispatcher.workerAt(0).tag
	receive := func(from int, entries ...GossipEntry) {
		h.handleAt(h.now+50*ms, GossipReceived{From: from, Entries: entries})
	}
	started := func(serial uint8, tag uint32) GossipEntry {
		return GossipEntry{Kind: GossipAttemptStarted, Serial: serial, Tag: tag}
	}
	query := GossipEntry{Kind: GossipCapacityQuery, Tag: tag}
	receive(0, query)
	h.handleAt(60*ms, freeSlotsResult('a', 3))
	receive(0, query)
	receive(0, started(1, tag), started(1, tag), started(2, tag))
	receive(2, query)
	receive(0, GossipEntry{Kind: GossipAttemptEnded, Serial: 1})
	receive(2, query)
	receive(0, GossipEntry{Kind: GossipAttemptEnded, Serial: 9}, GossipEntry{Kind: GossipRestarted})
	h.runUntil(h.now + 1200*ms)
	receive(2, query)
	receive(7, started(3, tag), started(4, tag))
	receive(-1, started(3, tag))
	receive(2, started(3, tag+1))
	receive(2, query)
	// Output:
	// 0s gossips to -1: restarted
	// owners: 1 0
	// 110ms gossips to 0: 3 free at a
	// 210ms gossips to 2: 1 free at a
	// 310ms gossips to 2: 2 free at a
	// 1.61s gossips to 2: 3 free at a
	// 1.81s gossips to 2: 3 free at a
}

// A worker's own report may show free slots that another scheduler's attempts already use. The reply
// of the worker's owner accounts for them.
func Example_capacityQueries() {
	h := newHarness(gossipConfig(3, 2), readyEndpoint('a', 0), readyEndpoint('c', 0))
	fmt.Println("owners:", h.dispatcher.records[0].owner, h.dispatcher.records[1].owner)
	h.handleAt(20*ms, arrival(1, 0, 0.1))
	h.handleAt(30*ms, h.capacityReply('c', 2), h.capacityReply('a', -1))
	h.runUntil(90 * ms)
	h.handleAt(200*ms, h.outcome(1, 0, Succeeded))
	h.handleAt(400*ms, arrival(2, 0, 0.1))
	h.handleAt(410*ms, h.capacityReply('c', 0), h.capacityReply('a', 1))
	// Output:
	// 0s gossips to -1: restarted
	// owners: 1 0
	// 20ms gossips to 1: queries a
	// 20ms gossips to 0: queries c
	// 30ms 1 to c
	// 30ms gossips to 0: sent 1 to c
	// 200ms gossips to 0: ended 1
	// 400ms gossips to 1: queries a
	// 400ms gossips to 0: queries c
	// 410ms 2 to a
	// 410ms gossips to 1: sent 2 to a
}

// Arbitrary gossip may lower the quality of decisions but must not break a rule: each invocation gets
// one answer in time, a non-idempotent one is sent once, and a draining worker gets nothing.
func TestRulesHoldUnderNoisyGossip(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	dispatcher := New(gossipConfig(4, 2), 9)
	dispatcher.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: readyEndpoints(12)}})
	answers := map[InvocationID]int{}
	sends := map[InvocationID]int{}
	inFlight := map[InvocationID]Forward{}
	drainedWorker := workerID(5)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * ms {
		events := []Event{TimerFired{}}
		if id := InvocationID(now/(10*ms)) + 1; now < 10*time.Second {
			events = append(events, arrival(id, int(id)%3, 0.1))
		}
		if now == 5*time.Second {
			draining := readyEndpoint(5, 0)
			draining.State = Draining
			events = append(events, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{draining}})
		}
		for range rng.Intn(4) {
			garbage := make([]byte, 1+rng.Intn(20))
			rng.Read(garbage)
			garbage[0] = garbage[0]&0x3f | gossipVersion<<versionShift
			entries, _ := DecodeGossip(garbage)
			entries = append(entries, GossipEntry{
				Kind:   GossipKind(rng.Intn(5)),
				Serial: uint8(rng.Intn(256)),
				Tag:    workerTag(workerID(byte(1 + rng.Intn(14)))),
			})
			events = append(events, GossipReceived{
				From:    rng.Intn(6) - 1,
				Entries: append(entries, entries...),
			})
		}
		for id := InvocationID(1); id <= 1000; id++ {
			if forward, isInFlight := inFlight[id]; isInFlight && rng.Intn(10) == 0 {
				events = append(events, Outcome{
					Invocation: id,
					Worker:     forward.Worker,
					Attempt:    sends[id] - 1,
					Result:     Succeeded,
					Answered:   true,
				})
				answers[id]++
				delete(inFlight, id)
			}
		}
		for _, action := range dispatcher.Handle(now, events) {
			switch a := action.(type) {
			case Forward:
				sends[a.Invocation]++
				repeated := a.Invocation%3 == 2 && sends[a.Invocation] > 1
				drained := now >= 5*time.Second && a.Worker == drainedWorker
				if repeated || drained || answers[a.Invocation] > 0 {
					t.Fatal(now, "forward breaks a rule:", a)
				}
				inFlight[a.Invocation] = a
			case Throttle:
				answers[a.Invocation]++
			case Fail:
				answers[a.Invocation]++
			}
		}
	}
	for id := InvocationID(1); id <= 1000; id++ {
		if answers[id] != 1 {
			t.Fatalf("invocation %d: got %d answers, want 1", id, answers[id])
		}
	}
	if records := len(dispatcher.records); records != 12 {
		t.Fatalf("got %d records, want 12", records)
	}
}

// While owners reply, a worker without a recent reply gets nothing, even if it had free slots earlier,
// and a second round of queries is sent for queued invocations. When no owner replies any more, older
// samples count again.
func Example_onlyCurrentReplies() {
	h := newHarness(gossipConfig(3, 2), readyEndpoint('a', 0), readyEndpoint('c', 0))
	h.dispatcher.scheduler.runTimes = samples{0.2, 0.2}
	h.handleAt(20*ms, h.capacityReply('a', 4), h.capacityReply('c', 4))
	h.collects = true
	h.runUntil(700 * ms)
	h.lines = nil
	h.collects = false
	h.handleAt(800*ms, h.capacityReply('c', -2))
	h.handleAt(810*ms, arrival(1, 0, 0.2))
	h.handleAt(830*ms, h.capacityReply('c', -2))
	h.runUntil(900 * ms)
	h.handleAt(910*ms, h.capacityReply('a', 1))
	h.handleAt(1500*ms, arrival(2, 0, 0.2))
	h.runUntil(1600 * ms)
	// Output:
	// 0s gossips to -1: restarted
	// 810ms gossips to 1: queries a
	// 810ms gossips to 0: queries c
	// 810ms gossips to 1: queries a
	// 810ms gossips to 0: queries c
	// 850ms gossips to 1: queries a
	// 850ms gossips to 0: queries c
	// 910ms 1 to a
	// 910ms gossips to 1: sent 1 to a
	// 1.5s gossips to 1: queries a
	// 1.5s gossips to 0: queries c
	// 1.5s gossips to 1: queries a
	// 1.5s gossips to 0: queries c
	// 1.54s gossips to 1: queries a
	// 1.54s gossips to 0: queries c
	// 1.56s 2 to c
	// 1.56s gossips to 0: sent 2 to c
}

// An owner that leaves queries unanswered (stopped or partitioned) is bypassed: its workers are health
// checked and judged by their own reports, until the next message from the owner.
func Example_silentOwner() {
	h := newHarness(gossipConfig(3, 2), readyEndpoint('a', 0), readyEndpoint('c', 0))
	a := h.dispatcher.workerAt(0)
	c := h.dispatcher.workerAt(1)
	h.printHealthChecks = true
	h.deferHealthChecks = true
	for n := range InvocationID(6) {
		h.collects = n < 4
		at := time.Duration(n+1) * 400 * ms
		h.handleAt(at, arrival(n+1, 0, 0.2))
		h.handleAt(at+10*ms, h.capacityReply('c', 0))
		if n > 3 {
			h.handleAt(at+15*ms, freeSlotsResult('a', 3+float64(n)/10))
		}
		h.runUntil(at + 100*ms)
	}
	fmt.Println(a.ownerSilent, c.ownerSilent)
	h.handleAt(h.now+tickInterval, h.capacityReply('a', 0))
	fmt.Println(a.ownerSilent, c.ownerSilent)
	// Output:
	// 0s gossips to -1: restarted
	// 2s health checks a
	// 2s health checks c
	// 2s gossips to 1: queries a
	// 2s gossips to 0: queries c
	// 2.015s 4 to a
	// 2.015s 5 to a
	// 2.015s gossips to 1: sent 1 to a sent 2 to a
	// 2.4s health checks a
	// 2.4s gossips to 1: queries a
	// 2.4s gossips to 0: queries c
	// 2.415s 6 to a
	// 2.415s gossips to 1: sent 3 to a
	// 2.435s health checks a
	// true false
	// false false
}

// A slot freed by an attempt of this scheduler can be reused at once, before the owner is notified: a
// queued invocation takes it, and the owner gets both entries in one message.
func Example_ownFreedSlot() {
	h := newHarness(gossipConfig(3, 2), readyEndpoint('a', 0), readyEndpoint('c', 0))
	h.handleAt(20*ms, arrival(1, 0, 0.1))
	h.handleAt(30*ms, h.capacityReply('a', 1), h.capacityReply('c', 0))
	h.runUntil(70 * ms)
	h.collects = true
	h.handleAt(400*ms, h.capacityReply('a', 0), h.capacityReply('c', 0), arrival(2, 0, 0.1))
	h.runUntil(480 * ms)
	h.lines = nil
	h.collects = false
	h.handleAt(490*ms, h.outcome(1, 0, Succeeded))
	// Output:
	// 0s gossips to -1: restarted
	// 20ms gossips to 1: queries a
	// 20ms gossips to 0: queries c
	// 30ms 1 to a
	// 30ms gossips to 1: sent 1 to a
	// 490ms 2 to a
	// 490ms gossips to 1: ended 1 sent 2 to a
}

// The free slots of owned workers are known, so an owned worker with capacity comes first, whatever
// other owners replied, and no queries are sent. Owners are queried once it has no capacity left.
func Example_ownedWorkersFirst() {
	h := newHarness(gossipConfig(3, 0), readyEndpoint('a', 0), readyEndpoint('c', 0))
	h.reportOften('a', 'c')
	fmt.Println("owners:", h.dispatcher.records[0].owner, h.dispatcher.records[1].owner)
	h.handleAt(h.now+5*ms, freeSlotsResult('c', 2), h.capacityReply('a', 4))
	for n := range InvocationID(3) {
		h.handleAt(h.now+5*ms, arrival(n+1, 0, 0.1))
		h.runUntil(h.now + 2*tickInterval)
		h.handleAt(h.now, h.capacityReply('a', 3))
	}
	// Output:
	// 0s gossips to -1: restarted
	// owners: 1 0
	// 74ms 1 to c
	// 119ms 2 to c
	// 164ms gossips to 1: queries a
	// 184ms 3 to a
	// 184ms gossips to 1: sent 3 to a
}
