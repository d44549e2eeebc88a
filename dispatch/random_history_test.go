package dispatch

import (
	"math/rand"
	"testing"
	"time"
)

// randomHistory drives one dispatcher with random events. It checks the actions against a second,
// simple implementation of the effect classes and limits.
type randomHistory struct {
	*testing.T
	rng           *rand.Rand
	dispatcher    *Dispatcher
	config        Config
	now           time.Duration
	zones         map[WorkerID]int // as listed; each worker's cell has the same number
	states        map[WorkerID]EndpointState
	pendingChecks []WorkerID // health checks in flight
	invocations   map[InvocationID]*historyInvocation
	open          []InvocationID // in order of arrival
	counts        map[string]int
}

// historyInvocation is the state of an invocation.
type historyInvocation struct {
	operation       int
	closed          bool // answered, or its client has disconnected
	clientTimeoutAt time.Duration
	attempts        []historyAttempt
}

// historyAttempt is the state of an attempt.
type historyAttempt struct {
	worker     WorkerID
	zone       int
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool // set when the attempt has ended
}

// firstThatMayHaveRun returns the first attempt that may have run, or nil.
func (v *historyInvocation) firstThatMayHaveRun() *historyAttempt {
	for n := range v.attempts {
		if attempt := &v.attempts[n]; attempt.inFlight || attempt.mayHaveRun {
			return attempt
		}
	}
	return nil
}

// handle passes the events of one moment to the dispatcher and checks the actions.
func (h *randomHistory) handle(events ...Event) {
	for _, action := range h.dispatcher.Handle(h.now, events) {
		switch a := action.(type) {
		case HealthCheck:
			h.pendingChecks = append(h.pendingChecks, a.Worker)
		case Forward:
			h.checkForward(a)
		case Throttle:
			inv := h.closeInvocation(a.Invocation)
			operation := h.config.Operations[inv.operation]
			repeatable := operation.Effect == Idempotent || operation.Effect == Deduplicated && operation.DedupScope == ScopeAll
			if inv.firstThatMayHaveRun() != nil && !repeatable {
				h.Fatal(h.now, a, "throttled, though it may have run and must not be repeated")
			}
		case Fail:
			h.closeInvocation(a.Invocation)
		case Cancel:
			if attempt := &h.invocations[a.Invocation].attempts[a.Attempt]; attempt.inFlight {
				h.handle(h.outcome(a.Invocation, a.Attempt, Cancelled))
			}
		}
	}
}

// closeInvocation closes an invocation and fails the test if it is closed already.
func (h *randomHistory) closeInvocation(id InvocationID) *historyInvocation {
	inv := h.invocations[id]
	if inv.closed {
		h.Fatal(h.now, id, "answered twice, or after its client disconnected")
	}
	inv.closed = true
	h.counts["answered"]++
	return inv
}

// checkForward checks an attempt against all rules and then records it as in flight.
func (h *randomHistory) checkForward(forward Forward) {
	inv := h.invocations[forward.Invocation]
	operation := h.config.Operations[inv.operation]
	first := inv.firstThatMayHaveRun()
	inFlight := 0
	for _, attempt := range inv.attempts {
		if attempt.inFlight {
			inFlight++
		}
		if attempt.worker == forward.Worker && (attempt.inFlight || attempt.mayHaveRun) {
			h.Fatal(h.now, forward, "sent to a worker that may already have run it")
		}
	}
	switch {
	case inv.closed:
		h.Fatal(h.now, forward, "sent after its client was answered or disconnected")
	case h.now >= inv.clientTimeoutAt:
		h.Fatal(h.now, forward, "sent after the client timeout")
	case h.states[forward.Worker] != Ready:
		h.Fatal(h.now, forward, "sent to a worker that is not ready")
	case inFlight >= h.config.Limits.MaxInFlight || len(inv.attempts) >= h.config.Limits.MaxAttempts:
		h.Fatal(h.now, forward, "sent beyond the limits on attempts")
	case first == nil || operation.Effect == Idempotent:
		if forward.NotAfter != 0 {
			h.Fatal(h.now, forward, "NotAfter is set, but no deduplication window applies")
		}
	case operation.Effect == NonIdempotent:
		h.Fatal(h.now, forward, "sent again, though non-idempotent and an attempt may have run")
	case h.now >= first.sentAt+operation.DedupWindow || forward.NotAfter != first.sentAt+operation.DedupWindow:
		h.Fatal(h.now, forward, "sent after its window, or with a wrong NotAfter; first attempt and window:", first.sentAt, operation.DedupWindow)
	case operation.DedupScope != ScopeAll && h.zones[forward.Worker] != first.zone:
		h.Fatal(h.now, forward, "sent outside its deduplication scope")
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

// outcome ends an attempt with a result.
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

// randomOpen returns the id of a random open invocation, or 0 if there is none.
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

// step performs one random event and expires all client timeouts that are due.
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
			h.handle(TimerFired{}) // the record's ages count back from the last moment handled
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

// Random histories consist of outcomes of all kinds, silent workers, draining, changes of zone and of
// limits, clients that disconnect, and migration. Nothing may be sent for a client that has
// disconnected or has its answer, or against an effect class, a deduplication window or scope, a limit
// or the endpoint list.
func TestRulesHoldOverRandomHistories(t *testing.T) {
	counts := map[string]int{}
	for seed := range int64(60) {
		config := testConfig()
		config.WorkersReportAccepted = seed%2 == 0
		config.WorkersReportStart = seed%3 == 0
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
		t.Error("too few repeats, disconnects or migrations: ", counts)
	}
}
