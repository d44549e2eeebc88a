package dispatch

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// ms keeps the times of examples short.
const ms = time.Millisecond

// harness drives one dispatcher and prints its actions, for traces that people can read. Workers are named by letters.
type harness struct {
	dispatcher        *Dispatcher
	now               time.Duration
	printHealthChecks bool                        // else health checks are left out
	printNotAfter     bool                        // print until when a forward may leave, where a window bounds it
	collects          bool                        // collect lines for printCollected instead of printing them
	deferHealthChecks bool                        // their results are given by the test; else each fails at once
	lines             []string                    // collected since they were last printed
	attemptWorkers    map[InvocationID][]WorkerID // by the attempt's number
}

// newIdleHarness has a dispatcher that has not handled an event yet.
func newIdleHarness(config Config, seed int64) *harness {
	return &harness{
		dispatcher:     New(config, seed),
		attemptWorkers: map[InvocationID][]WorkerID{},
	}
}

// newHarness starts a dispatcher with the seed 1, whose first event is a full update with the given workers.
func newHarness(config Config, workers ...Endpoint) *harness {
	h := newIdleHarness(config, 1)
	h.handleAt(0, EndpointUpdate{Kind: FullUpdate, Endpoints: workers})
	return h
}

// workerID is the worker that a letter names.
func workerID(name byte) WorkerID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name}), 1)
}

// readyEndpoint is a ready worker of any kind in a zone, and in the cell of the same number.
func readyEndpoint(name byte, zone int) Endpoint {
	return Endpoint{Worker: workerID(name), Zone: zone, Cell: zone, State: Ready}
}

// freeSlotsResult is a health check that succeeded, with a report of free slots alone.
func freeSlotsResult(name byte, slots float64) HealthCheckResult {
	load := UnknownLoad
	load.FreeSlots = slots
	return HealthCheckResult{Worker: workerID(name), Result: Succeeded, Load: &load}
}

// arrival is an invocation of one slot with a client timeout of five seconds.
func arrival(id InvocationID, operation int, hint float64) Arrival {
	return Arrival{
		Invocation: id,
		Operation:  operation,
		Hint:       hint,
		Slots:      1,
		Budget:     5 * time.Second,
	}
}

// outcome is how an attempt ended, at the worker that it was forwarded to.
func (h *harness) outcome(invocation InvocationID, attempt int, result Result) Outcome {
	return Outcome{
		Invocation: invocation,
		Attempt:    attempt,
		Worker:     h.attemptWorkers[invocation][attempt],
		Result:     result,
		Answered:   result == Succeeded,
	}
}

// handleAt hands over the events of one moment, and prints or collects the actions.
func (h *harness) handleAt(at time.Duration, events ...Event) {
	h.now = at
	var lost []Event
	for _, action := range h.dispatcher.Handle(at, events) {
		if check, isCheck := action.(HealthCheck); isCheck && !h.deferHealthChecks {
			lost = append(lost, HealthCheckResult{Worker: check.Worker, Result: ReusedConnectionBroken})
		}
		line := h.line(action)
		if line != "" && h.collects {
			h.lines = append(h.lines, line)
		} else if line != "" {
			fmt.Printf("%v %s\n", at, line)
		}
	}
	if len(lost) > 0 {
		h.handleAt(at, lost...)
	}
}

// reportOften has the workers report so often in a row that recent reports are trusted.
func (h *harness) reportOften(names ...byte) {
	for n := range 2 * sampleCount {
		h.handleAt(h.now+2*ms, freeSlotsResult(names[n/2%len(names)], float64(1+n%3)))
	}
}

// runUntil lets time pass in ticks.
func (h *harness) runUntil(end time.Duration) {
	for h.now+tickInterval <= end {
		h.handleAt(h.now+tickInterval, TimerFired{})
	}
}

// printCollected prints the collected lines as one.
func (h *harness) printCollected(title string) {
	fmt.Printf("%s: %s\n", title, cmp.Or(strings.Join(h.lines, "; "), "nothing"))
	h.lines = nil
}

// letter names a worker of workerID.
func letter(id WorkerID) string { return string(rune(id.Addr().As4()[3])) }

// line is an action in words; empty: it is not printed.
func (h *harness) line(action Action) string {
	switch a := action.(type) {
	case Forward:
		h.attemptWorkers[a.Invocation] = append(h.attemptWorkers[a.Invocation], a.Worker)
		if h.printNotAfter && a.NotAfter > 0 {
			return fmt.Sprintf("%d to %s until %v", a.Invocation, letter(a.Worker), a.NotAfter)
		}
		return fmt.Sprintf("%d to %s", a.Invocation, letter(a.Worker))
	case Throttle:
		when := "at once"
		if longest := h.dispatcher.scheduler.retryAfter; a.RetryAfter >= longest*3/5 && a.RetryAfter <= longest && longest > 0 {
			when = fmt.Sprintf("after %v to %v", longest*3/5, longest) // it is random
		}
		return fmt.Sprintf("%d throttled, retry %s", a.Invocation, when)
	case Fail:
		return fmt.Sprintf("%d failed", a.Invocation)
	case Cancel:
		return fmt.Sprintf("%d cancels attempt %d", a.Invocation, a.Attempt)
	case WatchEndpoints:
		return "watches the endpoint list"
	case Log:
		text := a.String()
		for _, id := range []WorkerID{workerID('a'), workerID('b'), workerID('c')} {
			text = strings.ReplaceAll(text, id.String(), letter(id))
		}
		return text
	case SendGossip:
		line := fmt.Sprintf("gossips to %d:", a.To)
		for _, entry := range a.Entries {
			line += h.gossipText(entry)
		}
		return line
	case HealthCheck:
		if h.printHealthChecks {
			return "health checks " + letter(a.Worker)
		}
	}
	return ""
}

// gossipText is what an entry says, after a space.
func (h *harness) gossipText(entry GossipEntry) string {
	worker := "?"
	for index := range h.dispatcher.records {
		if id := h.dispatcher.records[index].Worker; entry.Tag == workerTag(id) {
			worker = letter(id)
		}
	}
	switch entry.Kind {
	case GossipRestarted:
		return " restarted"
	case GossipAttemptStarted:
		return fmt.Sprintf(" sent %d to %s", entry.Serial, worker)
	case GossipAttemptEnded:
		return fmt.Sprintf(" ended %d", entry.Serial)
	case GossipCapacityQuery:
		return " queries " + worker
	case GossipCapacityReply:
		return fmt.Sprintf(" %d free at %s", int8(entry.Serial), worker)
	}
	return ""
}

// testConfig is a deployment with one operation of each effect class, the weights 1, 2 and 4.
func testConfig() Config {
	operation := func(weight float64, effect Effect, scope DedupScope) Operation {
		return Operation{
			PriorityWeight:   weight,
			LatencyObjective: 300 * ms,
			Stretch:          2,
			Effect:           effect,
			DedupScope:       scope,
			DedupWindow:      2 * time.Second,
			WorkerKind:       AnyKind,
		}
	}
	return Config{
		Schedulers:      1,
		EndpointsPushed: true,
		Operations: []Operation{
			operation(1, Idempotent, ScopeAll),
			operation(2, Deduplicated, ScopeZone),
			operation(4, NonIdempotent, ScopeAll),
		},
		Limits: Limits{
			HealthChecks:  true,
			Cancel:        true,
			MaxAttempts:   4,
			MaxInFlight:   2,
			MaxRetryAfter: 2 * time.Second,
		},
		Rules: Rules{
			PollWithin:        10 * time.Second,
			SlowStartFrom:     0.1,
			SlowStartDuration: 20 * time.Second,
			OverloadFactor:    2,
			OverloadWindow:    time.Second,
		},
	}
}
