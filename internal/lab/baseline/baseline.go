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
	policy     string
	rng        *rand.Rand
	config     dispatch.Config
	ready      []dispatch.WorkerID
	inFlight   map[dispatch.WorkerID]int
	requests   map[dispatch.InvocationID]*request
	byDeadline []*request // by deadline as they came
	now        time.Duration
	watchedAt  time.Duration
	watching   bool
	actions    []dispatch.Action
}

type request struct {
	id         dispatch.InvocationID
	operation  int
	deadline   time.Duration
	attempts   int
	inFlight   int
	mayHaveRun bool
	answered   bool
}

const (
	deadlineMargin     = 40 * time.Millisecond // before its client's time is over an invocation is given up
	watchRetryInterval = time.Second
)

// New makes one.
func New(name string, dep dispatch.Config, seed uint64) (*Policy, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("%q is none of %v", name, Names)
	}
	return &Policy{policy: name, rng: rand.New(rand.NewPCG(seed, 1)), config: dep, inFlight: map[dispatch.WorkerID]int{},
		requests: map[dispatch.InvocationID]*request{}, watchedAt: -time.Hour}, nil
}

// Handle takes the events of one moment.
func (p *Policy) Handle(now time.Duration, events []dispatch.Event) []dispatch.Action {
	p.now, p.actions = now, nil
	for _, e := range events {
		p.take(e)
	}
	if !p.watching && now >= p.watchedAt+watchRetryInterval {
		p.watchedAt, p.watching = now, true
		p.do(dispatch.WatchEndpoints{})
	}
	for len(p.byDeadline) > 0 && (p.byDeadline[0].answered || p.byDeadline[0].deadline <= now) {
		if h := p.byDeadline[0]; !h.answered {
			p.giveUp(h)
		}
		p.byDeadline = p.byDeadline[1:]
	}
	next := now + watchRetryInterval
	for _, h := range p.byDeadline {
		if !h.answered {
			next = min(next, h.deadline)
		}
	}
	return append(p.actions, dispatch.SetTimer{At: next})
}

func (p *Policy) do(a dispatch.Action) { p.actions = append(p.actions, a) }

func (p *Policy) take(e dispatch.Event) {
	switch e := e.(type) {
	case dispatch.EndpointUpdate:
		p.list(e)
	case dispatch.Arrival:
		h := &request{id: e.Invocation, operation: e.Operation, deadline: p.now + e.Budget - deadlineMargin}
		p.requests[e.Invocation] = h
		at, _ := slices.BinarySearchFunc(p.byDeadline, h, func(a, b *request) int { return int(a.deadline - b.deadline) })
		p.byDeadline = slices.Insert(p.byDeadline, at, h)
		p.send(h)
	case dispatch.Outcome:
		p.inFlight[e.Worker]--
		h := p.requests[e.Invocation]
		if h == nil {
			return
		}
		h.inFlight--
		switch e.Result {
		case dispatch.Succeeded:
			p.drop(h)
			return
		case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent:
		default:
			h.mayHaveRun = true
		}
		if h.answered || e.Answered {
			p.drop(h)
			return
		}
		if h.inFlight == 0 {
			p.again(h)
		}
	case dispatch.ClientDisconnected:
		if h := p.requests[e.Invocation]; h != nil {
			p.drop(h)
		}
	}
}

func (p *Policy) list(l dispatch.EndpointUpdate) {
	if l.Kind == dispatch.WatchFailed {
		p.watching = false
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
func (p *Policy) again(h *request) {
	repeatable := !h.mayHaveRun || p.config.Operations[h.operation].Effect == dispatch.Idempotent
	if repeatable && h.attempts < max(1, p.config.Limits.MaxAttempts) && p.now < h.deadline {
		p.send(h)
		return
	}
	p.giveUp(h)
}

func (p *Policy) giveUp(h *request) {
	if h.mayHaveRun || h.inFlight > 0 {
		p.do(dispatch.Fail{Invocation: h.id})
	} else {
		p.do(dispatch.Throttle{Invocation: h.id})
	}
	if h.answered = true; h.inFlight == 0 {
		p.drop(h)
	}
}

func (p *Policy) drop(h *request) {
	if h.answered = true; h.inFlight <= 0 {
		delete(p.requests, h.id)
	}
}

func (p *Policy) send(h *request) {
	if len(p.ready) == 0 {
		p.giveUp(h)
		return
	}
	to := p.ready[p.rng.IntN(len(p.ready))]
	switch p.policy {
	case "two":
		if other := p.ready[p.rng.IntN(len(p.ready))]; p.inFlight[other] < p.inFlight[to] {
			to = other
		}
	case "least":
		start := p.rng.IntN(len(p.ready))
		to = p.ready[start]
		for n := range p.ready {
			if w := p.ready[(start+n)%len(p.ready)]; p.inFlight[w] < p.inFlight[to] {
				to = w
			}
		}
	}
	p.inFlight[to]++
	h.attempts++
	h.inFlight++
	p.do(dispatch.Forward{Invocation: h.id, Worker: to})
}
