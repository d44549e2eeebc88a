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
	// noEventsHandled is the value of lastHandled before the first events.
	noEventsHandled time.Duration = -1
	// incarnationBits is the number of low bits of a scheduler's random stream number that hold its
	// incarnation.
	incarnationBits = 20
)

// scheduler is one scheduler of the run.
type scheduler struct {
	number int
	zone   int

	up             bool
	incarnation    int           // number of its starts; messages to an earlier incarnation are lost
	failureKnownAt time.Duration // while it is down: when clients detect that and start to avoid it

	// State of the current incarnation.
	decider         Decider
	startedAt       time.Duration
	lastHandled     time.Duration    // time of the last events, since startedAt
	events          []dispatch.Event // not handled yet
	pending         bool             // it is in Simulation.pending
	requests        map[int64]*request
	timerAt         time.Duration
	listVersion     int // last version of the endpoint list sent to it; kept across restarts, as the list is cached
	watching        bool
	idleConnections map[int][]time.Duration // by machine: the time since which each connection is idle, oldest first
}

// current reports whether the scheduler is up and in the given incarnation.
func (s *scheduler) current(incarnation int) bool { return s.up && s.incarnation == incarnation }

// startScheduler starts a new incarnation of a scheduler. Its first events are the current endpoint
// list, as if from its cache, and a timer.
func (sim *Simulation) startScheduler(s *scheduler) {
	s.incarnation++
	settingsJSON := sim.scenario.Settings(s.number)
	stream := uint64(s.number)<<incarnationBits | uint64(s.incarnation)
	rng := rand.New(rand.NewPCG(uint64(sim.scenario.Seed), stream))
	seed := int64(rng.Uint64() >> 1)
	decider, err := sim.newDecider(s.number, seed, settingsJSON)
	if err != nil {
		sim.err = fmt.Errorf("scheduler %d: %w", s.number, err)
		return
	}
	s.decider = decider
	s.up = true
	s.startedAt = sim.now
	s.lastHandled = noEventsHandled
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

// killScheduler stops a scheduler abruptly. The connections of clients with unanswered requests
// break.
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

// restartScheduler starts a killed scheduler again. It has no effect on one that is up.
func (sim *Simulation) restartScheduler(now time.Duration, n int) {
	s := sim.schedulers[n]
	if s.up {
		return
	}
	sim.now = max(sim.now, now)
	sim.startScheduler(s)
}

// addEvent queues an event that the scheduler handles at the current time.
func (sim *Simulation) addEvent(s *scheduler, event dispatch.Event) {
	s.events = append(s.events, event)
	if !s.pending {
		s.pending = true
		sim.pending = append(sim.pending, s)
	}
}

// decide lets all schedulers handle their events, and repeats that until no more events follow at
// the current time.
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

// decideOne lets a scheduler handle its queued events, executes its actions, and removes requests
// that are finished.
func (sim *Simulation) decideOne(s *scheduler) {
	events := s.events
	s.events = nil
	if !s.up || len(events) == 0 {
		return
	}
	s.lastHandled = max(sim.now-s.startedAt, s.lastHandled+1)
	for _, action := range s.decider.Handle(s.lastHandled, events) {
		sim.execute(s, action)
	}
	for _, event := range events {
		if invocation, _ := event.About(); invocation != 0 {
			s.removeIfFinished(int64(invocation))
		}
	}
}

// execute performs an action that a scheduler has decided on.
func (sim *Simulation) execute(s *scheduler, action dispatch.Action) {
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

// setTimer replaces the scheduler's timer. A timer that was set before does not fire.
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
