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
type play struct {
	d      *Dispatcher
	now    time.Duration
	probes bool     // print these too
	untils bool     // print by when repeats have to leave
	quiet  bool     // gather lines instead of printing them
	waits  bool     // the answers to probes are on their way; else they are lost at once
	lines  []string // gathered since they were last told
	went   map[InvocationID][]WorkerID
}

func start(dep Config, workers ...Endpoint) *play {
	p := &play{d: New(dep, 1), went: map[InvocationID][]WorkerID{}}
	p.at(0, EndpointUpdate{Kind: FullUpdate, Endpoints: workers})
	return p
}

func id(name byte) WorkerID { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name}), 1) }

func ready(name byte, zone int) Endpoint {
	return Endpoint{Worker: id(name), Zone: zone, Cell: zone, State: Ready}
}

func free(name byte, slots float64) HealthCheckResult {
	load := UnknownLoad
	load.FreeSlots = slots
	return HealthCheckResult{Worker: id(name), Result: Succeeded, Load: &load}
}

func job(n InvocationID, op int, hint float64) Arrival {
	return Arrival{Invocation: n, Operation: op, Hint: hint, Slots: 1, Budget: 5 * time.Second}
}

// end is the outcome of a forward, from the worker that it went to.
func (p *play) end(n InvocationID, fwd int, r Result) Outcome {
	return Outcome{Invocation: n, Attempt: fwd, Worker: p.went[n][fwd], Result: r, Answered: r == Succeeded}
}

// at hands events over at a time and prints the answers; step lets time pass in beats.
func (p *play) at(when time.Duration, events ...Event) {
	p.now = when
	var lost []Event
	for _, action := range p.d.Handle(when, events) {
		if probe, is := action.(HealthCheck); is && !p.waits {
			lost = append(lost, HealthCheckResult{Worker: probe.Worker, Result: ReusedConnectionBroken})
		}
		line := p.line(action)
		if line != "" && p.quiet {
			p.lines = append(p.lines, line)
		} else if line != "" {
			fmt.Printf("%v %s\n", when, line)
		}
	}
	if len(lost) > 0 {
		p.at(when, lost...)
	}
}

// frequent has answers in a row show that reports are made often, so that young figures count.
func (p *play) frequent(names ...byte) {
	for n := range 2 * sampleCount {
		p.at(p.now+2*ms, free(names[n/2%len(names)], float64(1+n%3)))
	}
}

func (p *play) until(when time.Duration) {
	for p.now+tickInterval <= when {
		p.at(p.now+tickInterval, TimerFired{})
	}
}

// tell prints what was gathered on one line.
func (p *play) tell(title string) {
	fmt.Printf("%s: %s\n", title, cmp.Or(strings.Join(p.lines, "; "), "nothing"))
	p.lines = nil
}

func (p *play) line(action Action) string {
	name := func(w WorkerID) string { return string(rune(w.Addr().As4()[3])) }
	switch a := action.(type) {
	case Forward:
		p.went[a.Invocation] = append(p.went[a.Invocation], a.Worker)
		if p.untils && a.NotAfter > 0 {
			return fmt.Sprintf("%d to %s until %v", a.Invocation, name(a.Worker), a.NotAfter)
		}
		return fmt.Sprintf("%d to %s", a.Invocation, name(a.Worker))
	case Throttle:
		when := "at once"
		if dep := p.d.scheduler.retryAfter; a.RetryAfter >= dep*3/5 && a.RetryAfter <= dep && dep > 0 {
			when = fmt.Sprintf("after %v to %v", dep*3/5, dep) // chance sets when
		}
		return fmt.Sprintf("%d throttled, back %s", a.Invocation, when)
	case Fail:
		return fmt.Sprintf("%d errored", a.Invocation)
	case Cancel:
		return fmt.Sprintf("%d cancels forward %d", a.Invocation, a.Attempt)
	case WatchEndpoints:
		return "asks for the list"
	case Log:
		return strings.NewReplacer(id('a').String(), "a", id('b').String(), "b", id('c').String(), "c").Replace(a.String())
	case SendGossip:
		line := fmt.Sprintf("tells %d:", a.To)
		for _, n := range a.Entries {
			who := "?"
			for at := range p.d.records {
				if n.Tag == workerTag(p.d.records[at].Worker) {
					who = name(p.d.records[at].Worker)
				}
			}
			switch n.Kind {
			case GossipRestarted:
				line += " anew"
			case GossipAttemptStarted:
				line += fmt.Sprintf(" sent %d to %s", n.Serial, who)
			case GossipAttemptEnded:
				line += fmt.Sprintf(" ended %d", n.Serial)
			case GossipCapacityQuery:
				line += " asks for " + who
			case GossipCapacityReply:
				line += fmt.Sprintf(" %d free at %s", int8(n.Serial), who)
			}
		}
		return line
	case HealthCheck:
		if p.probes {
			return "probes " + name(a.Worker)
		}
	}
	return ""
}

// shop is a deployment with one operation of each effect class, the weights 1, 2 and 4.
func shop() Config {
	op := func(weight float64, effect Effect, scope DedupScope) Operation {
		return Operation{PriorityWeight: weight, LatencyObjective: 300 * ms, Stretch: 2,
			Effect: effect, DedupScope: scope, DedupWindow: 2 * time.Second, WorkerKind: -1}
	}
	return Config{
		Schedulers: 1, EndpointsPushed: true,
		Operations: []Operation{
			op(1, Idempotent, ScopeAll), op(2, Deduplicated, ScopeZone), op(4, NonIdempotent, ScopeAll),
		},
		Limits: Limits{HealthChecks: true, Cancel: true, MaxAttempts: 4, MaxInFlight: 2, MaxRetryAfter: 2 * time.Second},
		Rules: Rules{PollWithin: 10 * time.Second, SlowStartFrom: 0.1, SlowStartDuration: 20 * time.Second, OverloadFactor: 2,
			OverloadWindow: time.Second},
	}
}
