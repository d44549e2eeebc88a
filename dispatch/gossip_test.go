package dispatch

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// pooled is a deployment whose schedulers may tell one another.
func gossipConfig(schedulers, index int) Config {
	config := testConfig()
	config.Schedulers, config.Index, config.Limits.Gossip = schedulers, index, true
	return config
}

// Bytes that are garbled, cut short, of another version or too long are no message; nothing of them is taken.
func Example_gossipCodec() {
	entries := []GossipEntry{{Kind: GossipRestarted}, {GossipAttemptStarted, 7, 0x51234}, {Kind: GossipAttemptEnded, Serial: 7}, {Kind: GossipCapacityQuery, Tag: 0x7ffff},
		{GossipCapacityReply, 0xfe, 1}}
	message := EncodeGossip(entries)[0]
	read, ok := DecodeGossip(message)
	fmt.Printf("%x %v %v\n", message, ok, slices.Equal(read, entries))
	for cut := range message {
		read, ok := DecodeGossip(message[:cut])
		fmt.Print(" ", cut, ":", len(read), ok)
	}
	fmt.Println()
	for _, wrong := range [][]byte{nil, {0x80}, {0x78}, {0, 1, 2}, append(slices.Clone(message), 0xff), make([]byte, MaxGossipBytes+1)} {
		_, ok := DecodeGossip(wrong)
		fmt.Print(" ", ok)
	}
	fmt.Println("")
	many := make([]GossipEntry, 200)
	for n := range many {
		many[n] = GossipEntry{GossipAttemptStarted, uint8(n), 3}
	}
	var back []GossipEntry
	for _, message := range EncodeGossip(many) {
		part, ok := DecodeGossip(message)
		fmt.Print(len(message), " ", ok, ", ")
		back = append(back, part...)
	}
	fmt.Println(slices.Equal(back, many))
	// Output:
	// 404d34120750075fffff600100fe true true
	//  0:0 false 1:1 true 2:0 false 3:0 false 4:0 false 5:2 true 6:0 false 7:3 true 8:0 false 9:0 false 10:4 true 11:0 false 12:0 false 13:0 false
	//  false false false false false false
	// 256 true, 256 true, 256 true, 32 true, true
}

// Others tell a worker's keeper of their forwards and ask it; what is held there, by whomever, is not free. An end that
// is never told counts for 8 s at most, or a run after its sender has started anew.
func Example_ownerReplies() {
	h := newHarness(gossipConfig(3, 1), readyEndpoint('a', 0), readyEndpoint('c', 0))
	fmt.Println("keepers:", h.dispatcher.records[0].owner, h.dispatcher.records[1].owner)
	tag := h.dispatcher.workerAt(0).tag
	receive := func(from int, notes ...GossipEntry) { h.handleAt(h.now+50*ms, GossipReceived{from, notes}) }
	query := GossipEntry{Kind: GossipCapacityQuery, Tag: tag}
	receive(0, query)
	h.handleAt(60*ms, freeSlotsResult('a', 3))
	receive(0, query)
	receive(0, GossipEntry{GossipAttemptStarted, 1, tag}, GossipEntry{GossipAttemptStarted, 1, tag}, GossipEntry{GossipAttemptStarted, 2, tag})
	receive(2, query)
	receive(0, GossipEntry{Kind: GossipAttemptEnded, Serial: 1})
	receive(2, query)
	receive(0, GossipEntry{Kind: GossipAttemptEnded, Serial: 9}, GossipEntry{Kind: GossipRestarted})
	h.runUntil(h.now + 1200*ms)
	receive(2, query)
	receive(7, GossipEntry{GossipAttemptStarted, 3, tag}, GossipEntry{GossipAttemptStarted, 4, tag})
	receive(-1, GossipEntry{GossipAttemptStarted, 3, tag})
	receive(2, GossipEntry{GossipAttemptStarted, 3, tag + 1})
	receive(2, query)
	// Output:
	// 0s tells -1: anew
	// keepers: 1 0
	// 110ms tells 0: 3 free at a
	// 210ms tells 2: 1 free at a
	// 310ms tells 2: 2 free at a
	// 1.61s tells 2: 3 free at a
	// 1.81s tells 2: 3 free at a
}

// What one scheduler can't see, as another's forward fills the worker that its own report shows free, its keeper tells.
func Example_capacityQueries() {
	h := newHarness(gossipConfig(3, 2), readyEndpoint('a', 0), readyEndpoint('c', 0))
	fmt.Println("keepers:", h.dispatcher.records[0].owner, h.dispatcher.records[1].owner)
	h.handleAt(20*ms, arrival(1, 0, 0.1))
	reply := func(name byte, slots int) GossipReceived {
		w := h.dispatcher.workerAt(h.dispatcher.recordIndex[workerID(name)])
		return GossipReceived{w.owner, []GossipEntry{{GossipCapacityReply, uint8(int8(slots)), w.tag}}}
	}
	h.handleAt(30*ms, reply('c', 2), reply('a', -1))
	h.runUntil(90 * ms)
	h.handleAt(200*ms, h.outcome(1, 0, Succeeded))
	h.handleAt(400*ms, arrival(2, 0, 0.1))
	h.handleAt(410*ms, reply('c', 0), reply('a', 1))
	// Output:
	// 0s tells -1: anew
	// keepers: 1 0
	// 20ms tells 1: asks for a
	// 20ms tells 0: asks for c
	// 30ms 1 to c
	// 30ms tells 0: sent 1 to c
	// 200ms tells 0: ended 1
	// 400ms tells 1: asks for a
	// 400ms tells 0: asks for c
	// 410ms 2 to a
	// 410ms tells 1: sent 2 to a
}

// Messages of any kind, order and number cost quality and never a rule: each invocation gets one answer in time, what
// may run only once is sent once, and a worker that drains gets nothing.
func TestRulesHoldUnderNoisyGossip(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	dispatcher := New(gossipConfig(4, 2), 9)
	dispatcher.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: readyEndpoints(12)}})
	answers, sends, inFlight := map[InvocationID]int{}, map[InvocationID]int{}, map[InvocationID]Forward{}
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
		for id := rng.Intn(4); id > 0; id-- {
			garbage := make([]byte, 1+rng.Intn(20))
			rng.Read(garbage)
			garbage[0] = garbage[0]&0x3f | gossipVersion<<versionShift
			entries, _ := DecodeGossip(garbage)
			entries = append(entries, GossipEntry{GossipKind(rng.Intn(5)), uint8(rng.Intn(256)), workerTag(workerID(byte(1 + rng.Intn(14))))})
			events = append(events, GossipReceived{rng.Intn(6) - 1, append(entries, entries...)})
		}
		for id := InvocationID(1); id <= 1000; id++ {
			if forward, isInFlight := inFlight[id]; isInFlight && rng.Intn(10) == 0 {
				events = append(events, Outcome{Invocation: id, Worker: forward.Worker, Attempt: sends[id] - 1, Result: Succeeded, Answered: true})
				answers[id]++
				delete(inFlight, id)
			}
		}
		for _, action := range dispatcher.Handle(now, events) {
			switch a := action.(type) {
			case Forward:
				if sends[a.Invocation]++; a.Invocation%3 == 2 && sends[a.Invocation] > 1 || now >= 5*time.Second && a.Worker == drainedWorker || answers[a.Invocation] > 0 {
					t.Fatal(now, a)
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
			t.Fatal(id, answers[id])
		}
	}
	if records := len(dispatcher.records); records != 12 {
		t.Fatal(records)
	}
}

// While keepers answer, a worker that none of them has told of lately gets nothing, however free it looked once; a second
// round of questions goes out for who is held. When nobody answers any more, old figures count again.
func Example_onlyCurrentReplies() {
	h := newHarness(gossipConfig(3, 2), readyEndpoint('a', 0), readyEndpoint('c', 0))
	w := func(name byte) *worker { return h.dispatcher.workerAt(h.dispatcher.recordIndex[workerID(name)]) }
	reply := func(name byte, slots int) GossipReceived {
		return GossipReceived{w(name).owner, []GossipEntry{{GossipCapacityReply, uint8(int8(slots)), w(name).tag}}}
	}
	h.dispatcher.scheduler.runTimes = samples{0.2, 0.2}
	h.handleAt(20*ms, reply('a', 4), reply('c', 4))
	h.collects = true
	h.runUntil(700 * ms)
	h.lines, h.collects = nil, false
	h.handleAt(800*ms, reply('c', -2))
	h.handleAt(810*ms, arrival(1, 0, 0.2))
	h.handleAt(830*ms, reply('c', -2))
	h.runUntil(900 * ms)
	h.handleAt(910*ms, reply('a', 1))
	h.handleAt(1500*ms, arrival(2, 0, 0.2))
	h.runUntil(1600 * ms)
	// Output:
	// 0s tells -1: anew
	// 810ms tells 1: asks for a
	// 810ms tells 0: asks for c
	// 810ms tells 1: asks for a
	// 810ms tells 0: asks for c
	// 850ms tells 1: asks for a
	// 850ms tells 0: asks for c
	// 910ms 1 to a
	// 910ms tells 1: sent 1 to a
	// 1.5s tells 1: asks for a
	// 1.5s tells 0: asks for c
	// 1.5s tells 1: asks for a
	// 1.5s tells 0: asks for c
	// 1.54s tells 1: asks for a
	// 1.54s tells 0: asks for c
	// 1.56s 2 to c
	// 1.56s tells 0: sent 2 to c
}

// A keeper that leaves questions unanswered, as one that has gone or is cut off, is done without: its workers are asked
// themselves, and go by what they answer. Its next word ends that.
func Example_silentOwner() {
	h := newHarness(gossipConfig(3, 2), readyEndpoint('a', 0), readyEndpoint('c', 0))
	a, c := h.dispatcher.workerAt(0), h.dispatcher.workerAt(1)
	h.printHealthChecks, h.deferHealthChecks = true, true
	reply := func(slots int) GossipReceived {
		return GossipReceived{c.owner, []GossipEntry{{GossipCapacityReply, uint8(slots), c.tag}}}
	}
	for n := range InvocationID(6) {
		h.collects = n < 4
		at := time.Duration(n+1) * 400 * ms
		h.handleAt(at, arrival(n+1, 0, 0.2))
		h.handleAt(at+10*ms, reply(0))
		if n > 3 {
			h.handleAt(at+15*ms, freeSlotsResult('a', 3+float64(n)/10))
		}
		h.runUntil(at + 100*ms)
	}
	fmt.Println(a.ownerSilent, c.ownerSilent)
	h.handleAt(h.now+tickInterval, GossipReceived{a.owner, []GossipEntry{{GossipCapacityReply, 0, a.tag}}})
	fmt.Println(a.ownerSilent, c.ownerSilent)
	// Output:
	// 0s tells -1: anew
	// 2s probes a
	// 2s probes c
	// 2s tells 1: asks for a
	// 2s tells 0: asks for c
	// 2.015s 4 to a
	// 2.015s 5 to a
	// 2.015s tells 1: sent 1 to a sent 2 to a
	// 2.4s probes a
	// 2.4s tells 1: asks for a
	// 2.4s tells 0: asks for c
	// 2.415s 6 to a
	// 2.415s tells 1: sent 3 to a
	// 2.435s probes a
	// true false
	// false false
}

// The slot that a forward of ours leaves is ours at once, before its keeper hears of it: what is held takes it, and the
// keeper is told of both together.
func Example_ownFreedSlot() {
	h := newHarness(gossipConfig(3, 2), readyEndpoint('a', 0), readyEndpoint('c', 0))
	reply := func(name byte, slots int) GossipReceived {
		w := h.dispatcher.workerAt(h.dispatcher.recordIndex[workerID(name)])
		return GossipReceived{w.owner, []GossipEntry{{GossipCapacityReply, uint8(int8(slots)), w.tag}}}
	}
	h.handleAt(20*ms, arrival(1, 0, 0.1))
	h.handleAt(30*ms, reply('a', 1), reply('c', 0))
	h.runUntil(70 * ms)
	h.collects = true
	h.handleAt(400*ms, reply('a', 0), reply('c', 0), arrival(2, 0, 0.1))
	h.runUntil(480 * ms)
	h.lines, h.collects = nil, false
	h.handleAt(490*ms, h.outcome(1, 0, Succeeded))
	// Output:
	// 0s tells -1: anew
	// 20ms tells 1: asks for a
	// 20ms tells 0: asks for c
	// 30ms 1 to a
	// 30ms tells 1: sent 1 to a
	// 490ms 2 to a
	// 490ms tells 1: ended 1 sent 2 to a
}

// Of a worker that we keep we know what is free: with room it comes first, whatever others tell of theirs, and nobody is
// asked. Once it has none, keepers are.
func Example_ownedWorkersFirst() {
	h := newHarness(gossipConfig(3, 0), readyEndpoint('a', 0), readyEndpoint('c', 0))
	h.reportOften('a', 'c')
	notOwned := h.dispatcher.workerAt(0)
	fmt.Println("keepers:", h.dispatcher.records[0].owner, h.dispatcher.records[1].owner)
	h.handleAt(h.now+5*ms, freeSlotsResult('c', 2), GossipReceived{1, []GossipEntry{{GossipCapacityReply, 4, notOwned.tag}}})
	for n := range InvocationID(3) {
		h.handleAt(h.now+5*ms, arrival(n+1, 0, 0.1))
		h.runUntil(h.now + 2*tickInterval)
		h.handleAt(h.now, GossipReceived{1, []GossipEntry{{GossipCapacityReply, 3, notOwned.tag}}})
	}
	// Output:
	// 0s tells -1: anew
	// keepers: 1 0
	// 74ms 1 to c
	// 119ms 2 to c
	// 164ms tells 1: asks for a
	// 184ms 3 to a
	// 184ms tells 1: sent 3 to a
}
