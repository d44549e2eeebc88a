// Package baseline has simple load-balancing policies, with which the decision module is compared.
// They are not part of the production scheduler.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"stoatweir/dispatch"
)

// The names of the policies.
const (
	random    = "random" // a worker chosen uniformly at random
	leastLoad = "least"  // the worker with the fewest attempts of this scheduler in flight
	twoChoice = "two"    // of two random workers, the one with fewer attempts of this scheduler in flight
)

// PolicyNames lists the policies that New accepts.
var PolicyNames = []string{random, leastLoad, twoChoice}

const (
	// deadlineMargin is how long before the client timeout an unfinished request gets its final
	// answer.
	deadlineMargin = 40 * time.Millisecond
	// watchRetryInterval is the minimum time between two watches of the endpoint list, and the
	// maximum time between two timers.
	watchRetryInterval = time.Second
	// neverWatched is the value of watchedAt before the first watch.
	neverWatched = -time.Hour
	// randomStream selects the random stream of a Policy, together with its seed.
	randomStream = 1
)

// Policy makes the decisions of one scheduler: it forwards each request when it arrives. It keeps
// the rules and does nothing else: it does not queue or rank requests, makes no health checks, and
// does not retry an operation that is not idempotent if an attempt may have run.
type Policy struct {
	name       string
	config     dispatch.Config
	rand       *rand.Rand
	ready      []dispatch.WorkerID
	inFlight   map[dispatch.WorkerID]int // attempts, by worker
	requests   map[dispatch.InvocationID]*request
	byDeadline []*request // in the order of their deadlines
	now        time.Duration
	watchedAt  time.Duration
	watching   bool
	actions    []dispatch.Action // decided on in the current call of Handle
}

// request is a request that is not answered yet, or has attempts in flight.
type request struct {
	id         dispatch.InvocationID
	operation  int
	deadline   time.Duration // when the final answer is due
	attempts   int
	inFlight   int
	mayHaveRun bool
	answered   bool
}

// New returns a new Policy. It returns an error if name is not one of PolicyNames.
func New(name string, config dispatch.Config, seed uint64) (*Policy, error) {
	if !slices.Contains(PolicyNames, name) {
		return nil, fmt.Errorf("unknown policy %q: must be one of %v", name, PolicyNames)
	}
	return &Policy{
		name:      name,
		config:    config,
		rand:      rand.New(rand.NewPCG(seed, randomStream)),
		inFlight:  map[dispatch.WorkerID]int{},
		requests:  map[dispatch.InvocationID]*request{},
		watchedAt: neverWatched,
	}, nil
}

// Handle handles the events of one point in time and returns the resulting actions.
func (p *Policy) Handle(now time.Duration, events []dispatch.Event) []dispatch.Action {
	p.now = now
	p.actions = nil
	for _, event := range events {
		p.handleEvent(event)
	}
	if !p.watching && now >= p.watchedAt+watchRetryInterval {
		p.watchedAt = now
		p.watching = true
		p.addAction(dispatch.WatchEndpoints{})
	}
	p.failExpired()
	p.addAction(dispatch.SetTimer{At: p.nextTimer()})
	return p.actions
}

func (p *Policy) addAction(a dispatch.Action) { p.actions = append(p.actions, a) }

// failExpired sends the final answer to requests whose deadline has passed.
func (p *Policy) failExpired() {
	for len(p.byDeadline) > 0 {
		first := p.byDeadline[0]
		if !first.answered && first.deadline > p.now {
			return
		}
		if !first.answered {
			p.fail(first)
		}
		p.byDeadline = p.byDeadline[1:]
	}
}

// nextTimer returns the next deadline, or watchRetryInterval from now if that is sooner.
func (p *Policy) nextTimer() time.Duration {
	next := p.now + watchRetryInterval
	for _, r := range p.byDeadline {
		if !r.answered {
			next = min(next, r.deadline)
		}
	}
	return next
}

func (p *Policy) handleEvent(event dispatch.Event) {
	switch e := event.(type) {
	case dispatch.EndpointUpdate:
		p.applyUpdate(e)
	case dispatch.Arrival:
		p.handleArrival(e)
	case dispatch.Outcome:
		p.handleOutcome(e)
	case dispatch.ClientDisconnected:
		if r := p.requests[e.Invocation]; r != nil {
			p.closeRequest(r)
		}
	}
}

func (p *Policy) applyUpdate(update dispatch.EndpointUpdate) {
	switch update.Kind {
	case dispatch.WatchFailed:
		p.watching = false
		return
	case dispatch.FullUpdate:
		p.ready = p.ready[:0]
	}
	for _, endpoint := range update.Endpoints {
		index := slices.Index(p.ready, endpoint.Worker)
		listed := index >= 0
		switch {
		case endpoint.State == dispatch.Ready && !listed:
			p.ready = append(p.ready, endpoint.Worker)
		case endpoint.State != dispatch.Ready && listed:
			p.ready = slices.Delete(p.ready, index, index+1)
		}
	}
}

func (p *Policy) handleArrival(a dispatch.Arrival) {
	r := &request{id: a.Invocation, operation: a.Operation, deadline: p.now + a.Budget - deadlineMargin}
	p.requests[a.Invocation] = r
	compareDeadlines := func(a, b *request) int { return int(a.deadline - b.deadline) }
	index, _ := slices.BinarySearchFunc(p.byDeadline, r, compareDeadlines)
	p.byDeadline = slices.Insert(p.byDeadline, index, r)
	p.forward(r)
}

func (p *Policy) handleOutcome(o dispatch.Outcome) {
	p.inFlight[o.Worker]--
	r := p.requests[o.Invocation]
	if r == nil {
		return
	}
	r.inFlight--
	switch o.Result {
	case dispatch.Succeeded:
		p.closeRequest(r)
		return
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent:
		// It has not run.
	default:
		r.mayHaveRun = true
	}
	if r.answered || o.Answered {
		p.closeRequest(r)
		return
	}
	if r.inFlight == 0 {
		p.retry(r)
	}
}

// retry forwards a request again if that is allowed, and fails it otherwise.
func (p *Policy) retry(r *request) {
	retryable := !r.mayHaveRun || p.config.Operations[r.operation].Effect == dispatch.Idempotent
	if retryable && r.attempts < max(1, p.config.Limits.MaxAttempts) && p.now < r.deadline {
		p.forward(r)
		return
	}
	p.fail(r)
}

// fail sends the final answer to a request that has no result: an error if an attempt may have run,
// otherwise a throttle.
func (p *Policy) fail(r *request) {
	if r.mayHaveRun || r.inFlight > 0 {
		p.addAction(dispatch.Fail{Invocation: r.id})
	} else {
		p.addAction(dispatch.Throttle{Invocation: r.id})
	}
	p.closeRequest(r)
}

// closeRequest marks a request as answered, and removes it once no attempt is in flight.
func (p *Policy) closeRequest(r *request) {
	r.answered = true
	if r.inFlight <= 0 {
		delete(p.requests, r.id)
	}
}

func (p *Policy) forward(r *request) {
	if len(p.ready) == 0 {
		p.fail(r)
		return
	}
	worker := p.selectWorker()
	p.inFlight[worker]++
	r.attempts++
	r.inFlight++
	p.addAction(dispatch.Forward{Invocation: r.id, Worker: worker})
}

// selectWorker selects a ready worker by the policy. There must be at least one.
func (p *Policy) selectWorker() dispatch.WorkerID {
	first := p.randomWorker()
	switch p.name {
	case twoChoice:
		if second := p.randomWorker(); p.inFlight[second] < p.inFlight[first] {
			return second
		}
	case leastLoad:
		return p.leastLoaded()
	}
	return first
}

func (p *Policy) randomWorker() dispatch.WorkerID { return p.ready[p.rand.IntN(len(p.ready))] }

// leastLoaded returns the ready worker with the fewest attempts in flight. Ties are broken by
// starting the search at a random worker.
func (p *Policy) leastLoaded() dispatch.WorkerID {
	start := p.rand.IntN(len(p.ready))
	least := p.ready[start]
	for offset := range p.ready {
		worker := p.ready[(start+offset)%len(p.ready)]
		if p.inFlight[worker] < p.inFlight[least] {
			least = worker
		}
	}
	return least
}
