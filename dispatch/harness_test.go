package dispatch

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

const ms = time.Millisecond

// play drives one instance and prints what it does, for traces that people can read. Workers are named by letters.
type harness struct {
	dispatcher        *Dispatcher
	now               time.Duration
	printHealthChecks bool     // print these too
	printNotAfter     bool     // print by when repeats have to leave
	collects          bool     // gather lines instead of printing them
	deferHealthChecks bool     // the answers to probes are on their way; else they are lost at once
	lines             []string // gathered since they were last told
	attemptWorkers    map[InvocationID][]WorkerID
}

func newHarness(config Config, workers ...Endpoint) *harness {
	h := &harness{dispatcher: New(config, 1), attemptWorkers: map[InvocationID][]WorkerID{}}
	h.handleAt(0, EndpointUpdate{Kind: FullUpdate, Endpoints: workers})
	return h
}

func workerID(name byte) WorkerID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name}), 1)
}

func readyEndpoint(name byte, zone int) Endpoint {
	return Endpoint{Worker: workerID(name), Zone: zone, Cell: zone, State: Ready}
}

func freeSlotsResult(name byte, slots float64) HealthCheckResult {
	load := UnknownLoad
	load.FreeSlots = slots
	return HealthCheckResult{Worker: workerID(name), Result: Succeeded, Load: &load}
}

func arrival(id InvocationID, operation int, hint float64) Arrival {
	return Arrival{Invocation: id, Operation: operation, Hint: hint, Slots: 1, Budget: 5 * time.Second}
}

// end is the outcome of a forward, from the worker that it went to.
func (p *harness) outcome(invocation InvocationID, attempt int, result Result) Outcome {
	return Outcome{Invocation: invocation, Attempt: attempt, Worker: p.attemptWorkers[invocation][attempt], Result: result, Answered: result == Succeeded}
}

// at hands events over at a time and prints the answers; step lets time pass in beats.
func (p *harness) handleAt(at time.Duration, events ...Event) {
	p.now = at
	var lost []Event
	for _, action := range p.dispatcher.Handle(at, events) {
		if check, isCheck := action.(HealthCheck); isCheck && !p.deferHealthChecks {
			lost = append(lost, HealthCheckResult{Worker: check.Worker, Result: ReusedConnectionBroken})
		}
		line := p.line(action)
		if line != "" && p.collects {
			p.lines = append(p.lines, line)
		} else if line != "" {
			fmt.Printf("%v %s\n", at, line)
		}
	}
	if len(lost) > 0 {
		p.handleAt(at, lost...)
	}
}

// frequent has answers in a row show that reports are made often, so that young figures count.
func (p *harness) reportOften(names ...byte) {
	for n := range 2 * sampleCount {
		p.handleAt(p.now+2*ms, freeSlotsResult(names[n/2%len(names)], float64(1+n%3)))
	}
}

func (p *harness) runUntil(end time.Duration) {
	for p.now+tickInterval <= end {
		p.handleAt(p.now+tickInterval, TimerFired{})
	}
}

// tell prints what was gathered on one line.
func (p *harness) printCollected(title string) {
	fmt.Printf("%s: %s\n", title, cmp.Or(strings.Join(p.lines, "; "), "nothing"))
	p.lines = nil
}

func (p *harness) line(action Action) string {
	name := func(w WorkerID) string { return string(rune(w.Addr().As4()[3])) }
	switch a := action.(type) {
	case Forward:
		p.attemptWorkers[a.Invocation] = append(p.attemptWorkers[a.Invocation], a.Worker)
		if p.printNotAfter && a.NotAfter > 0 {
			return fmt.Sprintf("%d to %s until %v", a.Invocation, name(a.Worker), a.NotAfter)
		}
		return fmt.Sprintf("%d to %s", a.Invocation, name(a.Worker))
	case Throttle:
		when := "at once"
		if longest := p.dispatcher.scheduler.retryAfter; a.RetryAfter >= longest*3/5 && a.RetryAfter <= longest && longest > 0 {
			when = fmt.Sprintf("after %v to %v", longest*3/5, longest) // chance sets when
		}
		return fmt.Sprintf("%d throttled, back %s", a.Invocation, when)
	case Fail:
		return fmt.Sprintf("%d errored", a.Invocation)
	case Cancel:
		return fmt.Sprintf("%d cancels forward %d", a.Invocation, a.Attempt)
	case WatchEndpoints:
		return "asks for the list"
	case Log:
		return strings.NewReplacer(workerID('a').String(), "a", workerID('b').String(), "b", workerID('c').String(), "c").Replace(a.String())
	case SendGossip:
		line := fmt.Sprintf("tells %d:", a.To)
		for _, entry := range a.Entries {
			worker := "?"
			for index := range p.dispatcher.records {
				if entry.Tag == workerTag(p.dispatcher.records[index].Worker) {
					worker = name(p.dispatcher.records[index].Worker)
				}
			}
			switch entry.Kind {
			case GossipRestarted:
				line += " anew"
			case GossipAttemptStarted:
				line += fmt.Sprintf(" sent %d to %s", entry.Serial, worker)
			case GossipAttemptEnded:
				line += fmt.Sprintf(" ended %d", entry.Serial)
			case GossipCapacityQuery:
				line += " asks for " + worker
			case GossipCapacityReply:
				line += fmt.Sprintf(" %d free at %s", int8(entry.Serial), worker)
			}
		}
		return line
	case HealthCheck:
		if p.printHealthChecks {
			return "probes " + name(a.Worker)
		}
	}
	return ""
}

// shop is a deployment with one operation of each effect class, the weights 1, 2 and 4.
func testConfig() Config {
	operation := func(weight float64, effect Effect, scope DedupScope) Operation {
		return Operation{PriorityWeight: weight, LatencyObjective: 300 * ms, Stretch: 2,
			Effect: effect, DedupScope: scope, DedupWindow: 2 * time.Second, WorkerKind: -1}
	}
	return Config{
		Schedulers: 1, EndpointsPushed: true,
		Operations: []Operation{
			operation(1, Idempotent, ScopeAll), operation(2, Deduplicated, ScopeZone), operation(4, NonIdempotent, ScopeAll),
		},
		Limits: Limits{HealthChecks: true, Cancel: true, MaxAttempts: 4, MaxInFlight: 2, MaxRetryAfter: 2 * time.Second},
		Rules: Rules{PollWithin: 10 * time.Second, SlowStartFrom: 0.1, SlowStartDuration: 20 * time.Second, OverloadFactor: 2,
			OverloadWindow: time.Second},
	}
}
