package main

import (
	"cmp"
	"time"

	"stoatweir/internal/lifecycle"
)

// drainPollInterval is how often a draining process checks whether it is idle and can exit.
const drainPollInterval = 10 * time.Millisecond

// transition performs a lifecycle transition and applies its consequences. step performs the
// transition and reports whether it is allowed in the current state; transition returns that
// result. event names the cause in the log.
func (s *service) transition(event string, step func() bool) bool {
	before := s.lifecycle.State()
	allowed := step()
	after := s.lifecycle.State()
	if after == before {
		if !allowed {
			s.log.WithField("event", event).WithField("state", after.String()).Warn("lifecycle command rejected")
		}
		return allowed
	}
	s.log.WithField("event", event).
		WithField("from", before.String()).
		WithField("to", after.String()).
		WithField("in_flight", s.clients.InFlight()).
		Info("lifecycle state changed")
	if after == lifecycle.Ready {
		s.takeover.Ready()
	}
	s.publishedState.Store(uint32(after))
	s.applyLifecycle()
	return allowed
}

// applyLifecycle applies the behavior that the lifecycle prescribes at this time, and schedules
// itself for the next change.
func (s *service) applyLifecycle() {
	s.lifecycleTimer.Stop()
	now := s.loop.Now()
	s.clients.ApplyBehavior()
	behavior := s.lifecycle.Behavior(now)
	if behavior.Migrates {
		s.takeover.MigrateConnections()
	}
	if behavior.FailsRemaining {
		s.failRemaining(reasonStopTimeOver)
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

// drained reports whether the process can exit: no request is in flight, no connection is busy or
// left to migrate, and none is being accepted. If the first two hold, it stops accepting
// connections.
func (s *service) drained(behavior lifecycle.Behavior) bool {
	if behavior.Migrates && !behavior.ClosesIdle && s.clients.HasMigratable() {
		return false
	}
	return s.clients.InFlight() == 0 && !s.clients.Busy() && s.clients.StopAccepting()
}

// stop starts the shutdown. Clients keep connecting for a while, and requests in flight are still
// served. Requests that cannot be completed in time are failed well before the process would be
// killed and lose them; the answer to a failed request leaves open whether it has run.
func (s *service) stop() {
	longestTimeout := cmp.Or(s.deployment.LongestTimeout, s.clients.LongestTimeout) // without a setting, the longest that clients sent
	s.transition("stop requested", func() bool {
		s.lifecycle.Stop(s.loop.Now(), longestTimeout)
		return true
	})
}

// EndpointsKnown ends the wait for the first endpoint list. It implements takeover.Lifecycle.
func (s *service) EndpointsKnown() {
	s.transition("endpoints known", func() bool {
		s.lifecycle.EndpointsKnown(s.loop.Now())
		return true
	})
}

// SuccessorServing records that a successor is serving. It implements takeover.Lifecycle.
func (s *service) SuccessorServing() {
	s.transition("successor serving", func() bool {
		s.lifecycle.SuccessorChanged(s.loop.Now(), true)
		return true
	})
}

// SuccessorExited records that the successor has exited. It implements takeover.Lifecycle.
func (s *service) SuccessorExited() {
	s.transition("successor exited", func() bool {
		s.lifecycle.SuccessorChanged(s.loop.Now(), false)
		return true
	})
}

// PredecessorChanged records that the predecessor is running or has exited. It implements
// takeover.Lifecycle.
func (s *service) PredecessorChanged(present bool) {
	s.lifecycle.PredecessorChanged(present)
	s.applyLifecycle()
}

// ShouldMigrate reports whether connections are to be migrated to the successor. It implements
// takeover.Lifecycle.
func (s *service) ShouldMigrate() bool { return s.lifecycle.Behavior(s.loop.Now()).Migrates }
