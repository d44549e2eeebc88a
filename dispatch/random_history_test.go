package dispatch

import (
	"math/rand"
	"testing"
	"time"
)

// history plays one instance on chance: what it decides is held against the effect classes and limits, which are kept here
// once more in the plainest way.
type history struct {
	*testing.T
	rng    *rand.Rand
	d      *Dispatcher
	dep    Config
	now    time.Duration
	zones  map[WorkerID]int // as listed; the cell is the same
	stands map[WorkerID]EndpointState
	asked  []WorkerID // probes that are out
	invs   map[InvocationID]*past
	alive  []InvocationID // in order
	counts map[string]int
}

// past is what has become of an invocation.
type past struct {
	op      int
	over    bool // answered, or its client has left
	givenUp time.Duration
	tries   []pastTry
}

type pastTry struct {
	worker   WorkerID
	zone     int
	sent     time.Duration
	out, ran bool
}

// first is the first forward that may have run.
func (p *past) first() *pastTry {
	for n := range p.tries {
		if t := &p.tries[n]; t.out || t.ran {
			return t
		}
	}
	return nil
}

// handle takes the actions of one moment.
func (h *history) handle(events ...Event) {
	for _, action := range h.d.Handle(h.now, events) {
		switch a := action.(type) {
		case HealthCheck:
			h.asked = append(h.asked, a.Worker)
		case Forward:
			h.forward(a)
		case Throttle:
			p := h.answered(a.Invocation)
			o := h.dep.Operations[p.op]
			if p.first() != nil && o.Effect != Idempotent && !(o.Effect == Deduplicated && o.DedupScope == ScopeAll) {
				h.Fatal(h.now, a, "throttled, and may have run")
			}
		case Fail:
			h.answered(a.Invocation)
		case Cancel:
			if t := &h.invs[a.Invocation].tries[a.Attempt]; t.out {
				h.handle(h.end(a.Invocation, a.Attempt, Cancelled))
			}
		}
	}
}

func (h *history) answered(id InvocationID) *past {
	p := h.invs[id]
	if p.over {
		h.Fatal(h.now, id, "is answered a second time, or after its client has left")
	}
	p.over = true
	h.counts["answered"]++
	return p
}

func (h *history) forward(a Forward) {
	p := h.invs[a.Invocation]
	o, first, out := h.dep.Operations[p.op], p.first(), 0
	for _, t := range p.tries {
		if t.out {
			out++
		}
		if t.worker == a.Worker && (t.out || t.ran) {
			h.Fatal(h.now, a, "to the worker that has it or had it")
		}
	}
	switch {
	case p.over:
		h.Fatal(h.now, a, "its client has its answer, or has left")
	case h.now >= p.givenUp:
		h.Fatal(h.now, a, "after the client timeout")
	case h.stands[a.Worker] != Ready:
		h.Fatal(h.now, a, "to a worker that is to get nothing")
	case out >= h.dep.Limits.MaxInFlight || len(p.tries) >= h.dep.Limits.MaxAttempts:
		h.Fatal(h.now, a, "beyond the limits")
	case first == nil || o.Effect == Idempotent:
		if a.NotAfter != 0 {
			h.Fatal(h.now, a, "nothing bounds it")
		}
	case o.Effect == NonIdempotent:
		h.Fatal(h.now, a, "may have run")
	case h.now >= first.sent+o.DedupWindow || a.NotAfter != first.sent+o.DedupWindow:
		h.Fatal(h.now, a, "past its window, or until another time:", first.sent, o.DedupWindow)
	case o.DedupScope != ScopeAll && h.zones[a.Worker] != first.zone:
		h.Fatal(h.now, a, "outside its group")
	default:
		h.counts["repeats"]++
	}
	p.tries = append(p.tries, pastTry{worker: a.Worker, zone: h.zones[a.Worker], sent: h.now, out: true})
	h.counts["forwards"]++
}

func (h *history) end(id InvocationID, fwd int, r Result) Outcome {
	p := h.invs[id]
	t := &p.tries[fwd]
	t.out, t.ran = false, r != Rejected && r != Unreachable && r != NotSent
	closed := p.over
	if r == Succeeded {
		p.over = true
	}
	return Outcome{Invocation: id, Worker: t.worker, Attempt: fwd, Result: r, Answered: closed || r == Succeeded}
}

// any is one of those that are held here or out; 0: there is none.
func (h *history) any() InvocationID {
	if len(h.alive) == 0 {
		return 0
	}
	n := h.rng.Intn(len(h.alive))
	id := h.alive[n]
	p := h.invs[id]
	if p.over && p.first() == nil || p.over && h.now > p.givenUp {
		h.alive = append(h.alive[:n], h.alive[n+1:]...)
	}
	return id
}

func (h *history) step(next *InvocationID) {
	h.now += time.Duration(h.rng.Intn(30)) * ms
	names := []byte("abcdef")
	worker := id(names[h.rng.Intn(len(names))])
	switch h.rng.Intn(12) {
	case 0, 1, 2:
		*next++
		a := job(*next, h.rng.Intn(len(h.dep.Operations)), 0.05+h.rng.Float64()/2)
		a.Budget = time.Duration(300+h.rng.Intn(4000)) * ms
		h.invs[*next], h.alive = &past{op: a.Operation, givenUp: h.now + a.Budget}, append(h.alive, *next)
		h.handle(a)
	case 3, 4:
		if n := len(h.asked); n > 0 {
			load := UnknownLoad
			load.FreeSlots = float64(h.rng.Intn(3)) + h.rng.Float64()/100
			a := HealthCheckResult{Worker: h.asked[0], Result: []Result{Succeeded, Succeeded, Succeeded, ReusedConnectionBroken, TimedOut}[h.rng.Intn(5)], Latency: 20 * ms}
			if h.asked = h.asked[1:]; a.Result == Succeeded {
				a.Load = &load
			}
			h.handle(a)
		}
	case 5, 6, 7:
		if inv := h.any(); inv > 0 {
			for fwd, t := range h.invs[inv].tries {
				if t.out && h.rng.Intn(2) == 0 {
					h.handle(h.end(inv, fwd, Result(h.rng.Intn(int(ReusedConnectionBroken)+1))))
					break
				}
			}
		}
	case 8:
		if inv := h.any(); inv > 0 && !h.invs[inv].over && h.rng.Intn(3) == 0 {
			h.invs[inv].over = true
			h.counts["left"]++
			h.handle(ClientDisconnected{Invocation: inv})
		}
	case 9:
		h.stands[worker] = []EndpointState{Gone, Ready, Ready, Draining}[h.rng.Intn(4)]
		if h.stands[worker] == Ready && h.rng.Intn(4) == 0 {
			h.zones[worker] = h.rng.Intn(2)
		}
		h.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{Worker: worker, Zone: h.zones[worker], Cell: h.zones[worker], Kind: -1,
			State: h.stands[worker]}}})
	case 10:
		if h.rng.Intn(5) == 0 {
			h.dep.Limits.MaxAttempts, h.dep.Limits.MaxInFlight = 1+h.rng.Intn(4), 1+h.rng.Intn(2)
			h.dep.Limits.Cancel = h.rng.Intn(2) == 0
			from := []int{0, 1, 2, 3, 4}
			h.handle(Reconfigured{Config: h.dep, PreviousOperations: from})
		}
	case 11:
		if inv := h.any(); inv > 0 {
			h.handle(TimerFired{}) // ages count back from the last moment
			if r, held := h.d.MigrationRecord(inv); held {
				h.counts["passed"]++
				h.handle(MigratedOut{Invocation: inv})
				way := time.Duration(h.rng.Intn(400)) * ms
				h.now += way
				h.handle(r.Aged(way))
			}
		}
	}
	for _, id := range h.alive { // client timeouts
		for fwd, t := range h.invs[id].tries {
			if t.out && h.now >= h.invs[id].givenUp {
				h.handle(h.end(id, fwd, TimedOut))
			}
		}
	}
	h.handle(TimerFired{})
}

// Over random histories (outcomes of all kinds, silent workers, drains, moves, limits that change, clients that leave,
// hand-overs) nothing is sent for a client that has left or has its answer, nor against an effect class, a window, a group,
// a limit or the list.
func TestNothingUnboundOverRandomHistories(t *testing.T) {
	counts := map[string]int{}
	for seed := range int64(60) {
		dep := shop()
		dep.NotifiesAccepted, dep.NotifiesStart = seed%2 == 0, seed%3 == 0
		for _, scope := range []DedupScope{ScopeAll, ScopeCell} {
			o := dep.Operations[1]
			o.DedupScope = scope
			dep.Operations = append(dep.Operations, o)
		}
		for n := range dep.Operations {
			dep.Operations[n].DedupWindow, dep.Operations[n].LateWeight = time.Duration(seed%5)*400*ms, 0.5
		}
		h := &history{T: t, rng: rand.New(rand.NewSource(seed)), d: New(dep, seed), dep: dep, zones: map[WorkerID]int{},
			stands: map[WorkerID]EndpointState{}, invs: map[InvocationID]*past{}, counts: counts}
		var list []Endpoint
		for n, name := range []byte("abcdef") {
			e := ready(name, n%2)
			e.Kind = -1
			h.zones[e.Worker], h.stands[e.Worker] = e.Zone, Ready
			list = append(list, e)
		}
		h.handle(EndpointUpdate{Kind: FullUpdate, Endpoints: list})
		next := InvocationID(0)
		for range 1500 {
			h.step(&next)
		}
	}
	t.Log(counts)
	if counts["repeats"] < 100 || counts["left"] < 500 || counts["passed"] < 500 {
		t.Error("too little has happened: ", counts)
	}
}
