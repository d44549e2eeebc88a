package dispatch

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// ms abbreviates the unit of the times in examples.
const ms = time.Millisecond

// harness drives one dispatcher and prints its actions as a readable trace. Workers are named by
// letters.
type harness struct {
	dispatcher        *Dispatcher
	now               time.Duration
	printHealthChecks bool                        // print health checks, which are left out otherwise
	printNotAfter     bool                        // print NotAfter of forwards that a deduplication window bounds
	collects          bool                        // collect lines for printCollected instead of printing them
	deferHealthChecks bool                        // the test provides health check results; otherwise each check fails at once
	lines             []string                    // collected since printCollected was last called
	attemptWorkers    map[InvocationID][]WorkerID // the workers of an invocation's attempts, by attempt number
}

// newIdleHarness returns a harness whose dispatcher has not handled an event yet.
func newIdleHarness(config Config, seed int64) *harness {
	return &harness{
		dispatcher:     New(config, seed),
		attemptWorkers: map[InvocationID][]WorkerID{},
	}
}

// newHarness returns a harness with seed 1, whose dispatcher has handled a full update with the
// given workers.
func newHarness(config Config, workers ...Endpoint) *harness {
	h := newIdleHarness(config, 1)
	h.handleAt(0, EndpointUpdate{Kind: FullUpdate, Endpoints: workers})
	return h
}

// workerID returns the id of the worker with a letter as its name.
func workerID(name byte) WorkerID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name}), 1)
}

// readyEndpoint returns a ready worker of kind 0 in a zone, and in the cell of the same number.
func readyEndpoint(name byte, zone int) Endpoint {
	return Endpoint{Worker: workerID(name), Zone: zone, Cell: zone, State: Ready}
}

// freeSlotsResult returns a successful health check whose load report has free slots only.
func freeSlotsResult(name byte, slots float64) HealthCheckResult {
	load := UnknownLoad
	load.FreeSlots = slots
	return HealthCheckResult{Worker: workerID(name), Result: Succeeded, Load: &load}
}

// arrival returns the arrival of an invocation of one slot with a client timeout of five seconds.
func arrival(id InvocationID, operation int, hint float64) Arrival {
	return Arrival{
		Invocation: id,
		Operation:  operation,
		Hint:       hint,
		Slots:      1,
		Budget:     5 * time.Second,
	}
}

// outcome returns the outcome of an attempt at the worker that it was forwarded to.
func (h *harness) outcome(invocation InvocationID, attempt int, result Result) Outcome {
	return Outcome{
		Invocation: invocation,
		Attempt:    attempt,
		Worker:     h.attemptWorkers[invocation][attempt],
		Result:     result,
		Answered:   result == Succeeded,
	}
}

// handleAt passes the events of one moment to the dispatcher, and prints or collects its actions.
func (h *harness) handleAt(at time.Duration, events ...Event) {
	h.now = at
	var failedChecks []Event
	for _, action := range h.dispatcher.Handle(at, events) {
		if check, isCheck := action.(HealthCheck); isCheck && !h.deferHealthChecks {
			failedChecks = append(failedChecks, HealthCheckResult{Worker: check.Worker, Result: ReusedConnectionBroken})
		}
		line := h.line(action)
		if line != "" && h.collects {
			h.lines = append(h.lines, line)
		} else if line != "" {
			fmt.Printf("%v %s\n", at, line)
		}
	}
	if len(failedChecks) > 0 {
		h.handleAt(at, failedChecks...)
	}
}

// reportOften sends so many load reports in a row that the dispatcher trusts recent reports.
func (h *harness) reportOften(names ...byte) {
	for n := range 2 * sampleCount {
		h.handleAt(h.now+2*ms, freeSlotsResult(names[n/2%len(names)], float64(1+n%3)))
	}
}

// runUntil advances time to an end in steps of tickInterval.
func (h *harness) runUntil(end time.Duration) {
	for h.now+tickInterval <= end {
		h.handleAt(h.now+tickInterval, TimerFired{})
	}
}

// printCollected prints the collected lines as one line, and discards them.
func (h *harness) printCollected(title string) {
	fmt.Printf("%s: %s\n", title, cmp.Or(strings.Join(h.lines, "; "), "nothing"))
	h.lines = nil
}

// letter returns the name of a worker: the reverse of workerID.
func letter(id WorkerID) string { return string(rune(id.Addr().As4()[3])) }

// line returns an action as text, or an empty string if it is not printed.
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

// gossipText returns an entry as text, with a leading space.
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

// testConfig returns a configuration with one operation of each effect class, with the weights 1, 2
// and 4.
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
			PollWithin:           10 * time.Second,
			InitialCapacityShare: 0.1,
			SlowStartDuration:    20 * time.Second,
			OverloadFactor:       2,
			OverloadWindow:       time.Second,
		},
	}
}
