package virtual

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

const (
	// notHandled stands for the time of the last events of a scheduler that has had none.
	notHandled time.Duration = -1
	// incarnationBits are the low bits of a scheduler's stream of random numbers, which number its starts.
	incarnationBits = 20
)

// scheduler is one dispatcher.
type scheduler struct {
	number int
	zone   int

	up             bool
	incarnation    int           // how often it was started; what is in transit to an earlier incarnation is lost
	failureKnownAt time.Duration // while it is down: when clients avoid it

	// Of the present incarnation.
	decider         Decider
	startedAt       time.Duration
	lastHandled     time.Duration // since its start
	events          []dispatch.Event
	pending         bool // it is in the run's list of those with events
	requests        map[int64]*request
	timerAt         time.Duration
	listVersion     int // that it was sent; a restart keeps it, as the list is cached
	watching        bool
	idleConnections map[int][]time.Duration // by machine: since when each is idle
}

// current reports whether an incarnation is up.
func (s *scheduler) current(incarnation int) bool { return s.up && s.incarnation == incarnation }

// startScheduler starts an incarnation, which has the endpoint list of the moment from its cache.
func (sim *Simulation) startScheduler(s *scheduler) {
	s.incarnation++
	text := sim.scenario.Settings(s.number)
	stream := uint64(s.number)<<incarnationBits | uint64(s.incarnation)
	rng := rand.New(rand.NewPCG(uint64(sim.scenario.Seed), stream))
	seed := int64(rng.Uint64() >> 1)
	decider, err := sim.newDecider(s.number, seed, text)
	if err != nil {
		sim.err = fmt.Errorf("scheduler %d: %w", s.number, err)
		return
	}
	s.decider = decider
	s.up = true
	s.startedAt = sim.now
	s.lastHandled = notHandled
	s.requests = map[int64]*request{}
	s.idleConnections = map[int][]time.Duration{}
	s.events = nil
	s.watching = false
	s.timerAt = model.Never
	if s.incarnation == 1 {
		s.listVersion = sim.Model.Discovery.Version()
	}
	sim.addEvent(s, sim.endpointUpdate(s, sim.Model.Discovery.Snapshot(), dispatch.FullUpdate))
	sim.addEvent(s, dispatch.TimerFired{})
}

// killScheduler ends a scheduler at once; its clients see their connections break.
func (sim *Simulation) killScheduler(now time.Duration, n int) {
	s := sim.schedulers[n]
	if !s.up {
		return
	}
	s.up = false
	s.failureKnownAt = now + sim.scenario.Schedulers.FailureDetection.D()
	s.watching = false
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		if !r.answered {
			sim.schedule(now, func() { sim.clientReplied(r.Request, model.Unanswered, 0) })
		}
	}
	s.requests = map[int64]*request{}
}

func (sim *Simulation) restartScheduler(now time.Duration, n int) {
	s := sim.schedulers[n]
	if s.up {
		return
	}
	sim.now = max(sim.now, now)
	sim.startScheduler(s)
}

// addEvent adds an event that the scheduler decides on at the present moment.
func (sim *Simulation) addEvent(s *scheduler, event dispatch.Event) {
	s.events = append(s.events, event)
	if !s.pending {
		s.pending = true
		sim.pending = append(sim.pending, s)
	}
}

// decide has all schedulers with events decide, until no events follow at this moment.
func (sim *Simulation) decide() {
	for len(sim.pending) > 0 {
		pending := sim.pending
		sim.pending = nil
		for _, s := range pending {
			s.pending = false
			sim.decideOne(s)
		}
	}
}

func (sim *Simulation) decideOne(s *scheduler) {
	events := s.events
	s.events = nil
	if !s.up || len(events) == 0 {
		return
	}
	s.lastHandled = max(sim.now-s.startedAt, s.lastHandled+1)
	for _, action := range s.decider.Handle(s.lastHandled, events) {
		sim.carryOut(s, action)
	}
	for _, event := range events {
		if invocation, _ := event.About(); invocation != 0 {
			s.settle(int64(invocation))
		}
	}
}

// carryOut carries out an action of a scheduler.
func (sim *Simulation) carryOut(s *scheduler, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		sim.forward(s, a)
	case dispatch.Throttle:
		sim.answer(s, s.requests[int64(a.Invocation)], model.Throttled, a.RetryAfter)
	case dispatch.Fail:
		sim.answer(s, s.requests[int64(a.Invocation)], model.Errored, 0)
	case dispatch.Cancel:
		if r := s.requests[int64(a.Invocation)]; r != nil && a.Attempt < len(r.attempts) {
			sim.cancel(s, r.attempts[a.Attempt])
		}
	case dispatch.HealthCheck:
		sim.healthCheck(s, a.Worker)
	case dispatch.SetTimer:
		sim.setTimer(s, a.At+s.startedAt)
	case dispatch.WatchEndpoints:
		sim.watchEndpoints(s)
	case dispatch.Log:
		if sim.Log != nil {
			sim.Log(sim.now, s.number, a.String())
		}
	}
}

// setTimer replaces the scheduler's timer.
func (sim *Simulation) setTimer(s *scheduler, at time.Duration) {
	if s.timerAt == at && at > sim.now {
		return
	}
	s.timerAt = at
	incarnation := s.incarnation
	sim.schedule(at, func() {
		if s.incarnation == incarnation && s.timerAt == at {
			s.timerAt = model.Never
			sim.addEvent(s, dispatch.TimerFired{})
		}
	})
}
