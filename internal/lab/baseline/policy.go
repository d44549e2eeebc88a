// Package baseline has plain policies to compare the decision module with. They are no part of the program that serves.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"stoatweir/dispatch"
)

// The policies.
const (
	random    = "random" // a random worker
	leastLoad = "least"  // the worker with the fewest attempts of this scheduler in flight
	twoChoice = "two"    // the better of two random workers
)

// Names of the policies.
var Names = []string{random, leastLoad, twoChoice}

const (
	// deadlineMargin is how long before the client timeout a request gets its final answer.
	deadlineMargin = 40 * time.Millisecond
	// watchRetryInterval is the least time between two watches of the endpoint list, and the longest between two timers.
	watchRetryInterval = time.Second
	// neverWatched stands for the time of a watch that never was.
	neverWatched = -time.Hour
	// randStream is the stream of random numbers that a Policy draws from, besides its seed.
	randStream = 1
)

// Policy decides for one scheduler: it forwards each request as it arrives. It keeps the rules, and does no more: it neither
// queues nor ranks, makes no health checks, and retries nothing that may have run.
type Policy struct {
	name       string
	config     dispatch.Config
	rand       *rand.Rand
	ready      []dispatch.WorkerID
	inFlight   map[dispatch.WorkerID]int // attempts
	requests   map[dispatch.InvocationID]*request
	byDeadline []*request
	now        time.Duration
	watchedAt  time.Duration
	watching   bool
	actions    []dispatch.Action // of the present moment
}

// request is a request that is not answered, or has attempts in flight.
type request struct {
	id         dispatch.InvocationID
	operation  int
	deadline   time.Duration // for the final answer
	attempts   int
	inFlight   int
	mayHaveRun bool
	answered   bool
}

// New returns the policy of that name. The error reports that there is none.
func New(name string, config dispatch.Config, seed uint64) (*Policy, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("%q is none of %v", name, Names)
	}
	return &Policy{
		name:      name,
		config:    config,
		rand:      rand.New(rand.NewPCG(seed, randStream)),
		inFlight:  map[dispatch.WorkerID]int{},
		requests:  map[dispatch.InvocationID]*request{},
		watchedAt: neverWatched,
	}, nil
}

// Handle takes the events of one moment and returns the actions that follow.
func (p *Policy) Handle(now time.Duration, events []dispatch.Event) []dispatch.Action {
	p.now = now
	p.actions = nil
	for _, event := range events {
		p.handle(event)
	}
	if !p.watching && now >= p.watchedAt+watchRetryInterval {
		p.watchedAt = now
		p.watching = true
		p.act(dispatch.WatchEndpoints{})
	}
	p.expire()
	p.act(dispatch.SetTimer{At: p.nextTimer()})
	return p.actions
}

func (p *Policy) act(a dispatch.Action) { p.actions = append(p.actions, a) }

// expire gives the final answer to requests whose deadline has come.
func (p *Policy) expire() {
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

// nextTimer is the next deadline, or the next time to watch the list if that is sooner.
func (p *Policy) nextTimer() time.Duration {
	next := p.now + watchRetryInterval
	for _, r := range p.byDeadline {
		if !r.answered {
			next = min(next, r.deadline)
		}
	}
	return next
}

func (p *Policy) handle(event dispatch.Event) {
	switch e := event.(type) {
	case dispatch.EndpointUpdate:
		p.applyUpdate(e)
	case dispatch.Arrival:
		p.admit(e)
	case dispatch.Outcome:
		p.attemptEnded(e)
	case dispatch.ClientDisconnected:
		if r := p.requests[e.Invocation]; r != nil {
			p.close(r)
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

func (p *Policy) admit(a dispatch.Arrival) {
	r := &request{id: a.Invocation, operation: a.Operation, deadline: p.now + a.Budget - deadlineMargin}
	p.requests[a.Invocation] = r
	byDeadline := func(a, b *request) int { return int(a.deadline - b.deadline) }
	index, _ := slices.BinarySearchFunc(p.byDeadline, r, byDeadline)
	p.byDeadline = slices.Insert(p.byDeadline, index, r)
	p.forward(r)
}

func (p *Policy) attemptEnded(o dispatch.Outcome) {
	p.inFlight[o.Worker]--
	r := p.requests[o.Invocation]
	if r == nil {
		return
	}
	r.inFlight--
	switch o.Result {
	case dispatch.Succeeded:
		p.close(r)
		return
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent:
		// It has not run.
	default:
		r.mayHaveRun = true
	}
	if r.answered || o.Answered {
		p.close(r)
		return
	}
	if r.inFlight == 0 {
		p.retry(r)
	}
}

// retry forwards a request once more if that is allowed, and answers it otherwise.
func (p *Policy) retry(r *request) {
	retryable := !r.mayHaveRun || p.config.Operations[r.operation].Effect == dispatch.Idempotent
	if retryable && r.attempts < max(1, p.config.Limits.MaxAttempts) && p.now < r.deadline {
		p.forward(r)
		return
	}
	p.fail(r)
}

// fail gives the final answer to a request without a result.
func (p *Policy) fail(r *request) {
	if r.mayHaveRun || r.inFlight > 0 {
		p.act(dispatch.Fail{Invocation: r.id})
	} else {
		p.act(dispatch.Throttle{Invocation: r.id})
	}
	p.close(r)
}

// close marks a request as answered, and forgets it once no attempt is in flight.
func (p *Policy) close(r *request) {
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
	p.act(dispatch.Forward{Invocation: r.id, Worker: worker})
}

// selectWorker picks a ready worker. There must be one.
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

// leastLoaded is the worker with the fewest attempts in flight; of equal ones the first from a random place on.
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
