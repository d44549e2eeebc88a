package dispatch

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// pooled is a deployment whose schedulers may tell one another.
func pooled(peers, me int) Config {
	dep := shop()
	dep.Schedulers, dep.Index, dep.Limits.Gossip = peers, me, true
	return dep
}

// Bytes that are garbled, cut short, of another version or too long are no message; nothing of them is taken.
func Example_memos() {
	notes := []GossipEntry{{Kind: GossipRestarted}, {GossipAttemptStarted, 7, 0x51234}, {Kind: GossipAttemptEnded, Serial: 7}, {Kind: GossipCapacityQuery, Tag: 0x7ffff},
		{GossipCapacityReply, 0xfe, 1}}
	memo := EncodeGossip(notes)[0]
	read, ok := DecodeGossip(memo)
	fmt.Printf("%x %v %v\n", memo, ok, slices.Equal(read, notes))
	for cut := range memo {
		read, ok := DecodeGossip(memo[:cut])
		fmt.Print(" ", cut, ":", len(read), ok)
	}
	fmt.Println()
	for _, wrong := range [][]byte{nil, {0x80}, {0x78}, {0, 1, 2}, append(slices.Clone(memo), 0xff), make([]byte, MaxGossipBytes+1)} {
		_, ok := DecodeGossip(wrong)
		fmt.Print(" ", ok)
	}
	fmt.Println("")
	many := make([]GossipEntry, 200)
	for n := range many {
		many[n] = GossipEntry{GossipAttemptStarted, uint8(n), 3}
	}
	var back []GossipEntry
	for _, memo := range EncodeGossip(many) {
		part, ok := DecodeGossip(memo)
		fmt.Print(len(memo), " ", ok, ", ")
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
func Example_keeper() {
	p := start(pooled(3, 1), ready('a', 0), ready('c', 0))
	fmt.Println("keepers:", p.d.records[0].owner, p.d.records[1].owner)
	tag := p.d.workerAt(0).tag
	hear := func(from int, notes ...GossipEntry) { p.at(p.now+50*ms, GossipReceived{from, notes}) }
	ask := GossipEntry{Kind: GossipCapacityQuery, Tag: tag}
	hear(0, ask)
	p.at(60*ms, free('a', 3))
	hear(0, ask)
	hear(0, GossipEntry{GossipAttemptStarted, 1, tag}, GossipEntry{GossipAttemptStarted, 1, tag}, GossipEntry{GossipAttemptStarted, 2, tag})
	hear(2, ask)
	hear(0, GossipEntry{Kind: GossipAttemptEnded, Serial: 1})
	hear(2, ask)
	hear(0, GossipEntry{Kind: GossipAttemptEnded, Serial: 9}, GossipEntry{Kind: GossipRestarted})
	p.until(p.now + 1200*ms)
	hear(2, ask)
	hear(7, GossipEntry{GossipAttemptStarted, 3, tag}, GossipEntry{GossipAttemptStarted, 4, tag})
	hear(-1, GossipEntry{GossipAttemptStarted, 3, tag})
	hear(2, GossipEntry{GossipAttemptStarted, 3, tag + 1})
	hear(2, ask)
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
func Example_asking() {
	p := start(pooled(3, 2), ready('a', 0), ready('c', 0))
	fmt.Println("keepers:", p.d.records[0].owner, p.d.records[1].owner)
	p.at(20*ms, job(1, 0, 0.1))
	answer := func(name byte, slots int) GossipReceived {
		w := p.d.workerAt(p.d.recordIndex[id(name)])
		return GossipReceived{w.owner, []GossipEntry{{GossipCapacityReply, uint8(int8(slots)), w.tag}}}
	}
	p.at(30*ms, answer('c', 2), answer('a', -1))
	p.until(90 * ms)
	p.at(200*ms, p.end(1, 0, Succeeded))
	p.at(400*ms, job(2, 0, 0.1))
	p.at(410*ms, answer('c', 0), answer('a', 1))
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
func TestNoisyMessages(t *testing.T) {
	chance := rand.New(rand.NewSource(3))
	d := New(pooled(4, 2), 9)
	d.Handle(0, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: fleet(12)}})
	answers, sends, out := map[InvocationID]int{}, map[InvocationID]int{}, map[InvocationID]Forward{}
	drained := id(5)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * ms {
		events := []Event{TimerFired{}}
		if n := InvocationID(now/(10*ms)) + 1; now < 10*time.Second {
			events = append(events, job(n, int(n)%3, 0.1))
		}
		if now == 5*time.Second {
			gone := ready(5, 0)
			gone.State = Draining
			events = append(events, EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{gone}})
		}
		for n := chance.Intn(4); n > 0; n-- {
			garbage := make([]byte, 1+chance.Intn(20))
			chance.Read(garbage)
			garbage[0] = garbage[0]&0x3f | gossipVersion<<versionShift
			notes, _ := DecodeGossip(garbage)
			notes = append(notes, GossipEntry{GossipKind(chance.Intn(5)), uint8(chance.Intn(256)), workerTag(id(byte(1 + chance.Intn(14))))})
			events = append(events, GossipReceived{chance.Intn(6) - 1, append(notes, notes...)})
		}
		for n := InvocationID(1); n <= 1000; n++ {
			if f, is := out[n]; is && chance.Intn(10) == 0 {
				events = append(events, Outcome{Invocation: n, Worker: f.Worker, Attempt: sends[n] - 1, Result: Succeeded, Answered: true})
				answers[n]++
				delete(out, n)
			}
		}
		for _, action := range d.Handle(now, events) {
			switch a := action.(type) {
			case Forward:
				if sends[a.Invocation]++; a.Invocation%3 == 2 && sends[a.Invocation] > 1 || now >= 5*time.Second && a.Worker == drained || answers[a.Invocation] > 0 {
					t.Fatal(now, a)
				}
				out[a.Invocation] = a
			case Throttle:
				answers[a.Invocation]++
			case Fail:
				answers[a.Invocation]++
			}
		}
	}
	for n := InvocationID(1); n <= 1000; n++ {
		if answers[n] != 1 {
			t.Fatal(n, answers[n])
		}
	}
	if books := len(d.records); books != 12 {
		t.Fatal(books)
	}
}

// While keepers answer, a worker that none of them has told of lately gets nothing, however free it looked once; a second
// round of questions goes out for who is held. When nobody answers any more, old figures count again.
func Example_onlyFresh() {
	p := start(pooled(3, 2), ready('a', 0), ready('c', 0))
	w := func(name byte) *worker { return p.d.workerAt(p.d.recordIndex[id(name)]) }
	answer := func(name byte, slots int) GossipReceived {
		return GossipReceived{w(name).owner, []GossipEntry{{GossipCapacityReply, uint8(int8(slots)), w(name).tag}}}
	}
	p.d.scheduler.runTimes = samples{0.2, 0.2}
	p.at(20*ms, answer('a', 4), answer('c', 4))
	p.quiet = true
	p.until(700 * ms)
	p.lines, p.quiet = nil, false
	p.at(800*ms, answer('c', -2))
	p.at(810*ms, job(1, 0, 0.2))
	p.at(830*ms, answer('c', -2))
	p.until(900 * ms)
	p.at(910*ms, answer('a', 1))
	p.at(1500*ms, job(2, 0, 0.2))
	p.until(1600 * ms)
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
func Example_silentKeeper() {
	p := start(pooled(3, 2), ready('a', 0), ready('c', 0))
	a, c := p.d.workerAt(0), p.d.workerAt(1)
	p.probes, p.waits = true, true
	answers := func(slots int) GossipReceived {
		return GossipReceived{c.owner, []GossipEntry{{GossipCapacityReply, uint8(slots), c.tag}}}
	}
	for n := range InvocationID(6) {
		p.quiet = n < 4
		at := time.Duration(n+1) * 400 * ms
		p.at(at, job(n+1, 0, 0.2))
		p.at(at+10*ms, answers(0))
		if n > 3 {
			p.at(at+15*ms, free('a', 3+float64(n)/10))
		}
		p.until(at + 100*ms)
	}
	fmt.Println(a.ownerSilent, c.ownerSilent)
	p.at(p.now+tickInterval, GossipReceived{a.owner, []GossipEntry{{GossipCapacityReply, 0, a.tag}}})
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
func Example_ownSlot() {
	p := start(pooled(3, 2), ready('a', 0), ready('c', 0))
	answer := func(name byte, slots int) GossipReceived {
		w := p.d.workerAt(p.d.recordIndex[id(name)])
		return GossipReceived{w.owner, []GossipEntry{{GossipCapacityReply, uint8(int8(slots)), w.tag}}}
	}
	p.at(20*ms, job(1, 0, 0.1))
	p.at(30*ms, answer('a', 1), answer('c', 0))
	p.until(70 * ms)
	p.quiet = true
	p.at(400*ms, answer('a', 0), answer('c', 0), job(2, 0, 0.1))
	p.until(480 * ms)
	p.lines, p.quiet = nil, false
	p.at(490*ms, p.end(1, 0, Succeeded))
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
func Example_keptFirst() {
	p := start(pooled(3, 0), ready('a', 0), ready('c', 0))
	p.frequent('a', 'c')
	theirs := p.d.workerAt(0)
	fmt.Println("keepers:", p.d.records[0].owner, p.d.records[1].owner)
	p.at(p.now+5*ms, free('c', 2), GossipReceived{1, []GossipEntry{{GossipCapacityReply, 4, theirs.tag}}})
	for n := range InvocationID(3) {
		p.at(p.now+5*ms, job(n+1, 0, 0.1))
		p.until(p.now + 2*tickInterval)
		p.at(p.now, GossipReceived{1, []GossipEntry{{GossipCapacityReply, 3, theirs.tag}}})
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
