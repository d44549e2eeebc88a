// Package baseline has plain policies to compare the decisions with. They are no part of the program that serves.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"stoatweir/dispatch"
)

// Names of the policies.
var Names = []string{"random", "least", "two"}

// Policy is one scheduler that sends each invocation on as soon as it comes: to a random worker, to the one with the
// least of ours outstanding, or to the better of two random ones. It keeps the rules, and nothing else: it neither holds
// nor ranks, probes or repeats what may have run.
type Policy struct {
	name    string
	rng     *rand.Rand
	dep     dispatch.Config
	ready   []dispatch.WorkerID
	out     map[dispatch.WorkerID]int
	held    map[dispatch.InvocationID]*held
	order   []*held // by deadline as they came
	now     time.Duration
	asked   time.Duration
	follows bool
	todo    []dispatch.Action
}

type held struct {
	inv    dispatch.InvocationID
	op     int
	due    time.Duration
	sent   int
	out    int
	mayRun bool
	over   bool
}

const (
	margin   = 40 * time.Millisecond // before its client's time is over an invocation is given up
	askAgain = time.Second
)

// New makes one.
func New(name string, dep dispatch.Config, seed uint64) (*Policy, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("%q is none of %v", name, Names)
	}
	return &Policy{name: name, rng: rand.New(rand.NewPCG(seed, 1)), dep: dep, out: map[dispatch.WorkerID]int{},
		held: map[dispatch.InvocationID]*held{}, asked: -time.Hour}, nil
}

// Handle takes the events of one moment.
func (p *Policy) Handle(now time.Duration, events []dispatch.Event) []dispatch.Action {
	p.now, p.todo = now, nil
	for _, e := range events {
		p.take(e)
	}
	if !p.follows && now >= p.asked+askAgain {
		p.asked, p.follows = now, true
		p.do(dispatch.WatchEndpoints{})
	}
	for len(p.order) > 0 && (p.order[0].over || p.order[0].due <= now) {
		if h := p.order[0]; !h.over {
			p.giveUp(h)
		}
		p.order = p.order[1:]
	}
	next := now + askAgain
	for _, h := range p.order {
		if !h.over {
			next = min(next, h.due)
		}
	}
	return append(p.todo, dispatch.SetTimer{At: next})
}

func (p *Policy) do(a dispatch.Action) { p.todo = append(p.todo, a) }

func (p *Policy) take(e dispatch.Event) {
	switch e := e.(type) {
	case dispatch.EndpointUpdate:
		p.list(e)
	case dispatch.Arrival:
		h := &held{inv: e.Invocation, op: e.Operation, due: p.now + e.Budget - margin}
		p.held[e.Invocation] = h
		at, _ := slices.BinarySearchFunc(p.order, h, func(a, b *held) int { return int(a.due - b.due) })
		p.order = slices.Insert(p.order, at, h)
		p.send(h)
	case dispatch.Outcome:
		p.out[e.Worker]--
		h := p.held[e.Invocation]
		if h == nil {
			return
		}
		h.out--
		switch e.Result {
		case dispatch.Succeeded:
			p.drop(h)
			return
		case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent:
		default:
			h.mayRun = true
		}
		if h.over || e.Answered {
			p.drop(h)
			return
		}
		if h.out == 0 {
			p.again(h)
		}
	case dispatch.ClientDisconnected:
		if h := p.held[e.Invocation]; h != nil {
			p.drop(h)
		}
	}
}

func (p *Policy) list(l dispatch.EndpointUpdate) {
	if l.Kind == dispatch.WatchFailed {
		p.follows = false
		return
	}
	if l.Kind == dispatch.FullUpdate {
		p.ready = p.ready[:0]
	}
	for _, e := range l.Endpoints {
		at := slices.Index(p.ready, e.Worker)
		switch {
		case e.State == dispatch.Ready && at < 0:
			p.ready = append(p.ready, e.Worker)
		case e.State != dispatch.Ready && at >= 0:
			p.ready = slices.Delete(p.ready, at, at+1)
		}
	}
}

// again sends once more what may be sent once more.
func (p *Policy) again(h *held) {
	repeatable := !h.mayRun || p.dep.Operations[h.op].Effect == dispatch.Idempotent
	if repeatable && h.sent < max(1, p.dep.Limits.MaxAttempts) && p.now < h.due {
		p.send(h)
		return
	}
	p.giveUp(h)
}

func (p *Policy) giveUp(h *held) {
	if h.mayRun || h.out > 0 {
		p.do(dispatch.Fail{Invocation: h.inv})
	} else {
		p.do(dispatch.Throttle{Invocation: h.inv})
	}
	if h.over = true; h.out == 0 {
		p.drop(h)
	}
}

func (p *Policy) drop(h *held) {
	if h.over = true; h.out <= 0 {
		delete(p.held, h.inv)
	}
}

func (p *Policy) send(h *held) {
	if len(p.ready) == 0 {
		p.giveUp(h)
		return
	}
	to := p.ready[p.rng.IntN(len(p.ready))]
	switch p.name {
	case "two":
		if other := p.ready[p.rng.IntN(len(p.ready))]; p.out[other] < p.out[to] {
			to = other
		}
	case "least":
		start := p.rng.IntN(len(p.ready))
		to = p.ready[start]
		for n := range p.ready {
			if w := p.ready[(start+n)%len(p.ready)]; p.out[w] < p.out[to] {
				to = w
			}
		}
	}
	p.out[to]++
	h.sent++
	h.out++
	p.do(dispatch.Forward{Invocation: h.inv, Worker: to})
}
