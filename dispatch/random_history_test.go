package dispatch

import (
	"math/rand"
	"testing"
	"time"
)

// randomHistory drives one dispatcher with random events. Its actions are compared with the effect classes and limits, which
// are kept here once more in the plainest way.
type randomHistory struct {
	*testing.T
	rng           *rand.Rand
	dispatcher    *Dispatcher
	config        Config
	now           time.Duration
	zones         map[WorkerID]int // as listed; the cell is the same
	states        map[WorkerID]EndpointState
	pendingChecks []WorkerID // health checks that are in flight
	invocations   map[InvocationID]*historyInvocation
	open          []InvocationID // in order
	counts        map[string]int
}

// historyInvocation is what has become of an invocation.
type historyInvocation struct {
	operation       int
	closed          bool // answered, or its client has left
	clientTimeoutAt time.Duration
	attempts        []historyAttempt
}

// historyAttempt is what has become of an attempt.
type historyAttempt struct {
	worker     WorkerID
	zone       int
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool // it has ended
}

// firstThatMayHaveRun is nil where nothing can have run.
func (v *historyInvocation) firstThatMayHaveRun() *historyAttempt {
	for n := range v.attempts {
		if attempt := &v.attempts[n]; attempt.inFlight || attempt.mayHaveRun {
			return attempt
		}
	}
	return nil
}

// handle hands over the events of one moment, and checks the actions.
func (h *randomHistory) handle(events ...Event) {
	for _, action := range h.dispatcher.Handle(h.now, events) {
		switch a := action.(type) {
		case HealthCheck:
			h.pendingChecks = append(h.pendingChecks, a.Worker)
		case Forward:
			h.forward(a)
		case Throttle:
			inv := h.answered(a.Invocation)
			operation := h.config.Operations[inv.operation]
			repeatable := operation.Effect == Idempotent || operation.Effect == Deduplicated && operation.DedupScope == ScopeAll
			if inv.firstThatMayHaveRun() != nil && !repeatable {
				h.Fatal(h.now, a, "throttled, and may have run")
			}
		case Fail:
			h.answered(a.Invocation)
		case Cancel:
			if attempt := &h.invocations[a.Invocation].attempts[a.Attempt]; attempt.inFlight {
				h.handle(h.outcome(a.Invocation, a.Attempt, Cancelled))
			}
		}
	}
}

// answered closes an invocation, which may happen once.
func (h *randomHistory) answered(id InvocationID) *historyInvocation {
	inv := h.invocations[id]
	if inv.closed {
		h.Fatal(h.now, id, "is answered a second time, or after its client has left")
	}
	inv.closed = true
	h.counts["answered"]++
	return inv
}

// forward checks an attempt against all rules before it counts as in flight.
func (h *randomHistory) forward(forward Forward) {
	inv := h.invocations[forward.Invocation]
	operation := h.config.Operations[inv.operation]
	first := inv.firstThatMayHaveRun()
	inFlight := 0
	for _, attempt := range inv.attempts {
		if attempt.inFlight {
			inFlight++
		}
		if attempt.worker == forward.Worker && (attempt.inFlight || attempt.mayHaveRun) {
			h.Fatal(h.now, forward, "to a worker that it has been sent to")
		}
	}
	switch {
	case inv.closed:
		h.Fatal(h.now, forward, "its client has its answer, or has left")
	case h.now >= inv.clientTimeoutAt:
		h.Fatal(h.now, forward, "after the client timeout")
	case h.states[forward.Worker] != Ready:
		h.Fatal(h.now, forward, "to a worker that is to get nothing")
	case inFlight >= h.config.Limits.MaxInFlight || len(inv.attempts) >= h.config.Limits.MaxAttempts:
		h.Fatal(h.now, forward, "beyond the limits")
	case first == nil || operation.Effect == Idempotent:
		if forward.NotAfter != 0 {
			h.Fatal(h.now, forward, "nothing bounds it")
		}
	case operation.Effect == NonIdempotent:
		h.Fatal(h.now, forward, "may have run")
	case h.now >= first.sentAt+operation.DedupWindow || forward.NotAfter != first.sentAt+operation.DedupWindow:
		h.Fatal(h.now, forward, "past its window, or until another time:", first.sentAt, operation.DedupWindow)
	case operation.DedupScope != ScopeAll && h.zones[forward.Worker] != first.zone:
		h.Fatal(h.now, forward, "outside its scope")
	default:
		h.counts["repeats"]++
	}
	inv.attempts = append(inv.attempts, historyAttempt{
		worker:   forward.Worker,
		zone:     h.zones[forward.Worker],
		sentAt:   h.now,
		inFlight: true,
	})
	h.counts["forwards"]++
}

// outcome ends an attempt.
func (h *randomHistory) outcome(id InvocationID, number int, result Result) Outcome {
	inv := h.invocations[id]
	attempt := &inv.attempts[number]
	attempt.inFlight = false
	attempt.mayHaveRun = result != Rejected && result != Unreachable && result != NotSent
	closed := inv.closed
	if result == Succeeded {
		inv.closed = true
	}
	return Outcome{Invocation: id, Worker: attempt.worker, Attempt: number, Result: result, Answered: closed || result == Succeeded}
}

// randomOpen is one of the open invocations; 0: there is none.
func (h *randomHistory) randomOpen() InvocationID {
	if len(h.open) == 0 {
		return 0
	}
	n := h.rng.Intn(len(h.open))
	id := h.open[n]
	inv := h.invocations[id]
	if inv.closed && inv.firstThatMayHaveRun() == nil || inv.closed && h.now > inv.clientTimeoutAt {
		h.open = append(h.open[:n], h.open[n+1:]...)
	}
	return id
}

// step has one random thing happen, and all client timeouts that are due.
func (h *randomHistory) step(next *InvocationID) {
	h.now += time.Duration(h.rng.Intn(30)) * ms
	names := []byte("abcdef")
	worker := workerID(names[h.rng.Intn(len(names))])
	switch h.rng.Intn(12) {
	case 0, 1, 2:
		*next++
		a := arrival(*next, h.rng.Intn(len(h.config.Operations)), 0.05+h.rng.Float64()/2)
		a.Budget = time.Duration(300+h.rng.Intn(4000)) * ms
		h.invocations[*next] = &historyInvocation{
			operation:       a.Operation,
			clientTimeoutAt: h.now + a.Budget,
		}
		h.open = append(h.open, *next)
		h.handle(a)
	case 3, 4:
		if n := len(h.pendingChecks); n > 0 {
			load := UnknownLoad
			load.FreeSlots = float64(h.rng.Intn(3)) + h.rng.Float64()/100
			results := []Result{Succeeded, Succeeded, Succeeded, ReusedConnectionBroken, TimedOut}
			check := HealthCheckResult{
				Worker:  h.pendingChecks[0],
				Result:  results[h.rng.Intn(len(results))],
				Latency: 20 * ms,
			}
			h.pendingChecks = h.pendingChecks[1:]
			if check.Result == Succeeded {
				check.Load = &load
			}
			h.handle(check)
		}
	case 5, 6, 7:
		if id := h.randomOpen(); id > 0 {
			for number, attempt := range h.invocations[id].attempts {
				if attempt.inFlight && h.rng.Intn(2) == 0 {
					h.handle(h.outcome(id, number, Result(h.rng.Intn(int(ReusedConnectionBroken)+1))))
					break
				}
			}
		}
	case 8:
		if id := h.randomOpen(); id > 0 && !h.invocations[id].closed && h.rng.Intn(3) == 0 {
			h.invocations[id].closed = true
			h.counts["left"]++
			h.handle(ClientDisconnected{Invocation: id})
		}
	case 9:
		h.states[worker] = []EndpointState{Gone, Ready, Ready, Draining}[h.rng.Intn(4)]
		if h.states[worker] == Ready && h.rng.Intn(4) == 0 {
			h.zones[worker] = h.rng.Intn(2)
		}
		h.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{
			Worker: worker,
			Zone:   h.zones[worker],
			Cell:   h.zones[worker],
			Kind:   AnyKind,
			State:  h.states[worker],
		}}})
	case 10:
		if h.rng.Intn(5) == 0 {
			h.config.Limits.MaxAttempts = 1 + h.rng.Intn(4)
			h.config.Limits.MaxInFlight = 1 + h.rng.Intn(2)
			h.config.Limits.Cancel = h.rng.Intn(2) == 0
			previous := []int{0, 1, 2, 3, 4}
			h.handle(Reconfigured{Config: h.config, PreviousOperations: previous})
		}
	case 11:
		if id := h.randomOpen(); id > 0 {
			h.handle(TimerFired{}) // ages count back from the last moment
			if record, isOpen := h.dispatcher.MigrationRecord(id); isOpen {
				h.counts["migrated"]++
				h.handle(MigratedOut{Invocation: id})
				age := time.Duration(h.rng.Intn(400)) * ms
				h.now += age
				h.handle(record.Aged(age))
			}
		}
	}
	for _, openID := range h.open { // client timeouts
		for number, attempt := range h.invocations[openID].attempts {
			if attempt.inFlight && h.now >= h.invocations[openID].clientTimeoutAt {
				h.handle(h.outcome(openID, number, TimedOut))
			}
		}
	}
	h.handle(TimerFired{})
}

// Over random histories (outcomes of all kinds, silent workers, draining, changes of zone, limits that change, clients that
// disconnect, migration) nothing is sent for a client that has disconnected or has its answer, nor against an effect class, a
// deduplication window or scope, a limit or the endpoint list.
func TestRulesHoldOverRandomHistories(t *testing.T) {
	counts := map[string]int{}
	for seed := range int64(60) {
		config := testConfig()
		config.NotifiesAccepted = seed%2 == 0
		config.NotifiesStart = seed%3 == 0
		for _, scope := range []DedupScope{ScopeAll, ScopeCell} {
			operation := config.Operations[1]
			operation.DedupScope = scope
			config.Operations = append(config.Operations, operation)
		}
		for n := range config.Operations {
			config.Operations[n].DedupWindow = time.Duration(seed%5) * 400 * ms
			config.Operations[n].LateWeight = 0.5
		}
		h := &randomHistory{
			T:           t,
			rng:         rand.New(rand.NewSource(seed)),
			dispatcher:  New(config, seed),
			config:      config,
			zones:       map[WorkerID]int{},
			states:      map[WorkerID]EndpointState{},
			invocations: map[InvocationID]*historyInvocation{},
			counts:      counts,
		}
		var endpoints []Endpoint
		for n, name := range []byte("abcdef") {
			endpoint := readyEndpoint(name, n%2)
			endpoint.Kind = AnyKind
			h.zones[endpoint.Worker] = endpoint.Zone
			h.states[endpoint.Worker] = Ready
			endpoints = append(endpoints, endpoint)
		}
		h.handle(EndpointUpdate{Kind: FullUpdate, Endpoints: endpoints})
		next := InvocationID(0)
		for range 1500 {
			h.step(&next)
		}
	}
	t.Log(counts)
	if counts["repeats"] < 100 || counts["left"] < 500 || counts["migrated"] < 500 {
		t.Error("too little has happened: ", counts)
	}
}
