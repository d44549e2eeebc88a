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
	went   map[InvID][]WorkerID
}

func start(dep Deployment, workers ...Entry) *play {
	p := &play{d: New(dep, 1), went: map[InvID][]WorkerID{}}
	p.at(0, Listing{Form: ListWhole, Entries: workers})
	return p
}

func id(name byte) WorkerID { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name}), 1) }

func ready(name byte, zone int) Entry {
	return Entry{Worker: id(name), Zone: zone, Cell: zone, Standing: Ready}
}

func free(name byte, slots float64) Answer {
	load := NoLoad
	load.FreeSlots = slots
	return Answer{Worker: id(name), Result: Succeeded, Load: &load}
}

func job(n InvID, op int, hint float64) Arrival {
	return Arrival{Inv: n, Operation: op, Hint: hint, Slots: 1, Budget: 5 * time.Second}
}

// end is the outcome of a forward, from the worker that it went to.
func (p *play) end(n InvID, fwd int, r Result) Outcome {
	return Outcome{Inv: n, Forward: fwd, Worker: p.went[n][fwd], Result: r, Closed: r == Succeeded}
}

// at hands events over at a time and prints the answers; step lets time pass in beats.
func (p *play) at(when time.Duration, events ...Event) {
	p.now = when
	var lost []Event
	for _, action := range p.d.Handle(when, events) {
		if probe, is := action.(Probe); is && !p.waits {
			lost = append(lost, Answer{Worker: probe.Worker, Result: Dropped})
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
	for p.now+beat <= when {
		p.at(p.now+beat, Due{})
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
		p.went[a.Inv] = append(p.went[a.Inv], a.Worker)
		if p.untils && a.Until > 0 {
			return fmt.Sprintf("%d to %s until %v", a.Inv, name(a.Worker), a.Until)
		}
		return fmt.Sprintf("%d to %s", a.Inv, name(a.Worker))
	case Throttled:
		when := "at once"
		if dep := p.d.desk.after; a.After >= dep*3/5 && a.After <= dep && dep > 0 {
			when = fmt.Sprintf("after %v to %v", dep*3/5, dep) // chance sets when
		}
		return fmt.Sprintf("%d throttled, back %s", a.Inv, when)
	case Errored:
		return fmt.Sprintf("%d errored", a.Inv)
	case Cancel:
		return fmt.Sprintf("%d cancels forward %d", a.Inv, a.Forward)
	case Follow:
		return "asks for the list"
	case Log:
		return strings.NewReplacer(id('a').String(), "a", id('b').String(), "b", id('c').String(), "c").Replace(a.Text)
	case Tell:
		line := fmt.Sprintf("tells %d:", a.To)
		for _, n := range a.Notes {
			who := "?"
			for at := range p.d.list {
				if n.Tag == tagOf(p.d.list[at].Worker) {
					who = name(p.d.list[at].Worker)
				}
			}
			switch n.Kind {
			case NoteAnew:
				line += " anew"
			case NoteSent:
				line += fmt.Sprintf(" sent %d to %s", n.Serial, who)
			case NoteEnded:
				line += fmt.Sprintf(" ended %d", n.Serial)
			case NoteAsk:
				line += " asks for " + who
			case NoteFree:
				line += fmt.Sprintf(" %d free at %s", int8(n.Serial), who)
			}
		}
		return line
	case Probe:
		if p.probes {
			return "probes " + name(a.Worker)
		}
	}
	return ""
}

// shop is a deployment with one operation of each effect class, the weights 1, 2 and 4.
func shop() Deployment {
	op := func(weight float64, effect Effect, scope Scope) Operation {
		return Operation{BilledValue: weight, LatencyObjective: 300 * ms, Stretch: 2,
			Effect: effect, Scope: scope, DedupWindow: 2 * time.Second, Kind: -1}
	}
	return Deployment{
		Peers: 1, Pushed: true,
		Operations: []Operation{
			op(1, Idempotent, ScopeAll), op(2, Deduplicated, ScopeZone), op(4, NonIdempotent, ScopeAll),
		},
		Allowed: Allowances{Probes: true, Cancel: true, MaxForwards: 4, MaxOut: 2, MaxRetryAfter: 2 * time.Second},
		Rules: Rules{AskWithin: 10 * time.Second, ColdFrom: 0.1, WarmAfter: 20 * time.Second, FallMultiple: 2,
			Fall: time.Second},
	}
}
