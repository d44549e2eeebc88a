package main

import (
	"cmp"
	"time"

	"stoatweir/internal/lifecycle"
)

// drainPollInterval is how often a draining process looks whether it is idle.
const drainPollInterval = 10 * time.Millisecond

// transition takes a step of the life cycle and applies what follows from it. step reports whether it is allowed in the
// present state.
func (s *service) transition(event string, step func() bool) bool {
	before := s.lifecycle.State()
	done := step()
	now := s.lifecycle.State()
	if now == before {
		if !done {
			s.log.WithField("event", event).WithField("state", now.String()).Warn("lifecycle command rejected")
		}
		return done
	}
	s.log.WithField("event", event).
		WithField("from", before.String()).
		WithField("to", now.String()).
		WithField("in_flight", s.clients.InFlight()).
		Info("lifecycle state changed")
	if now == lifecycle.Ready {
		s.takeover.Ready()
	}
	s.publishedState.Store(uint32(now))
	s.applyLifecycle()
	return done
}

// applyLifecycle behaves as the life cycle has it, now and at each moment at which that changes.
func (s *service) applyLifecycle() {
	s.lifecycleTimer.Stop()
	now := s.loop.Now()
	s.clients.ApplyBehavior()
	behavior := s.lifecycle.Behavior(now)
	if behavior.Migrates {
		s.takeover.MigrateConnections()
	}
	if behavior.FailsRemaining {
		s.failRemaining(reasonTimeToStopOver)
	}
	if behavior.Exits || behavior.ExitsWhenIdle && s.drained(behavior) {
		s.loop.Stop()
		return
	}
	next, changes := s.lifecycle.NextChange(now)
	poll := now + drainPollInterval
	if behavior.ExitsWhenIdle && (!changes || poll < next) {
		next = poll
		changes = true
	}
	if changes {
		s.lifecycleTimer = s.loop.After(next-now, s.applyLifecycle)
	}
}

// drained reports whether nothing is owed any more, and stops accepting connections if so.
func (s *service) drained(behavior lifecycle.Behavior) bool {
	if behavior.Migrates && !behavior.ClosesIdle && s.clients.HasMigratable() {
		return false
	}
	return s.clients.InFlight() == 0 && !s.clients.Busy() && s.clients.StopAccepting()
}

// stop is the order to exit. Clients go on coming for a while, and requests in flight are still worth serving; those that
// can't be served in time are answered as errored, which promises nothing, well before a kill would lose them.
func (s *service) stop() {
	longestTimeout := cmp.Or(s.deployment.LongestTimeout, s.clients.LongestTimeout) // without a setting: what clients said
	s.transition("stop requested", func() bool {
		s.lifecycle.Stop(s.loop.Now(), longestTimeout)
		return true
	})
}

// EndpointsKnown implements takeover.Lifecycle.
func (s *service) EndpointsKnown() {
	s.transition("endpoints known", func() bool {
		s.lifecycle.EndpointsKnown(s.loop.Now())
		return true
	})
}

// SuccessorServing implements takeover.Lifecycle.
func (s *service) SuccessorServing() {
	s.transition("successor serving", func() bool {
		s.lifecycle.SuccessorChanged(s.loop.Now(), true)
		return true
	})
}

// SuccessorExited implements takeover.Lifecycle.
func (s *service) SuccessorExited() {
	s.transition("successor exited", func() bool {
		s.lifecycle.SuccessorChanged(s.loop.Now(), false)
		return true
	})
}

// Migrates implements takeover.Lifecycle.
func (s *service) Migrates() bool { return s.lifecycle.Behavior(s.loop.Now()).Migrates }
