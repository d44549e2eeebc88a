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
func (d *Day) startScheduler(s *scheduler) {
	s.incarnation++
	text := d.scenario.Settings(s.number)
	stream := uint64(s.number)<<incarnationBits | uint64(s.incarnation)
	rng := rand.New(rand.NewPCG(uint64(d.scenario.Seed), stream))
	seed := int64(rng.Uint64() >> 1)
	decider, err := d.newDecider(s.number, seed, text)
	if err != nil {
		d.err = fmt.Errorf("scheduler %d: %w", s.number, err)
		return
	}
	s.decider = decider
	s.up = true
	s.startedAt = d.now
	s.lastHandled = notHandled
	s.requests = map[int64]*request{}
	s.idleConnections = map[int][]time.Duration{}
	s.events = nil
	s.watching = false
	s.timerAt = model.Never
	if s.incarnation == 1 {
		s.listVersion = d.World.Discovery.Version()
	}
	d.addEvent(s, d.endpointUpdate(s, d.World.Discovery.Snapshot(), dispatch.FullUpdate))
	d.addEvent(s, dispatch.TimerFired{})
}

// killScheduler ends a scheduler at once; its clients see their connections break.
func (d *Day) killScheduler(now time.Duration, n int) {
	s := d.schedulers[n]
	if !s.up {
		return
	}
	s.up = false
	s.failureKnownAt = now + d.scenario.Schedulers.FailureDetection.D()
	s.watching = false
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		if !r.answered {
			d.schedule(now, func() { d.clientReplied(r.Request, model.Unanswered, 0) })
		}
	}
	s.requests = map[int64]*request{}
}

func (d *Day) restartScheduler(now time.Duration, n int) {
	s := d.schedulers[n]
	if s.up {
		return
	}
	d.now = max(d.now, now)
	d.startScheduler(s)
}

// addEvent adds an event that the scheduler decides on at the present moment.
func (d *Day) addEvent(s *scheduler, event dispatch.Event) {
	s.events = append(s.events, event)
	if !s.pending {
		s.pending = true
		d.pending = append(d.pending, s)
	}
}

// decide has all schedulers with events decide, until no events follow at this moment.
func (d *Day) decide() {
	for len(d.pending) > 0 {
		pending := d.pending
		d.pending = nil
		for _, s := range pending {
			s.pending = false
			d.decideOne(s)
		}
	}
}

func (d *Day) decideOne(s *scheduler) {
	events := s.events
	s.events = nil
	if !s.up || len(events) == 0 {
		return
	}
	s.lastHandled = max(d.now-s.startedAt, s.lastHandled+1)
	for _, action := range s.decider.Handle(s.lastHandled, events) {
		d.carryOut(s, action)
	}
	for _, event := range events {
		if invocation, _ := event.About(); invocation != 0 {
			s.settle(int64(invocation))
		}
	}
}

// carryOut carries out an action of a scheduler.
func (d *Day) carryOut(s *scheduler, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		d.forward(s, a)
	case dispatch.Throttle:
		d.answer(s, s.requests[int64(a.Invocation)], model.Throttled, a.RetryAfter)
	case dispatch.Fail:
		d.answer(s, s.requests[int64(a.Invocation)], model.Errored, 0)
	case dispatch.Cancel:
		if r := s.requests[int64(a.Invocation)]; r != nil && a.Attempt < len(r.attempts) {
			d.cancel(s, r.attempts[a.Attempt])
		}
	case dispatch.HealthCheck:
		d.healthCheck(s, a.Worker)
	case dispatch.SetTimer:
		d.setTimer(s, a.At+s.startedAt)
	case dispatch.WatchEndpoints:
		d.watchEndpoints(s)
	case dispatch.Log:
		if d.Log != nil {
			d.Log(d.now, s.number, a.String())
		}
	}
}

// setTimer replaces the scheduler's timer.
func (d *Day) setTimer(s *scheduler, at time.Duration) {
	if s.timerAt == at && at > d.now {
		return
	}
	s.timerAt = at
	incarnation := s.incarnation
	d.schedule(at, func() {
		if s.incarnation == incarnation && s.timerAt == at {
			s.timerAt = model.Never
			d.addEvent(s, dispatch.TimerFired{})
		}
	})
}
