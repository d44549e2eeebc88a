package main

import (
	"cmp"
	"errors"
	"time"

	"stoatweir/internal/admin"
	"stoatweir/internal/lifecycle"
)

const (
	// operatorsMost callers are served at once; their descriptors are set aside.
	maxAdminCalls = 8
	// orderIn is how long an order may take: a caller waits a second.
	loopTaskTimeout = 900 * time.Millisecond
)

// order is something that somebody waits for; it goes past the inbox.
type loopTask struct {
	*service
	do func()
}

// Take carries it out.
func (o loopTask) Run() { o.do() }

// calls are what operators may ask. Whatever only tells is read from what the loop has published.
func (s *service) adminCommands() admin.Commands {
	told := func(do func() bool) func() (string, error) {
		return func() (string, error) {
			held := make(chan error, 1)
			s.loop.PostUrgent(loopTask{s, func() {
				if do() {
					held <- nil
				} else {
					held <- errors.New(s.lifecycle.State().String())
				}
			}})
			select {
			case err := <-held:
				return lifecycle.State(s.publishedState.Load()).String(), err
			case <-time.After(loopTaskTimeout):
				return "", errors.New("no answer in time; the order stands")
			}
		}
	}
	return admin.Commands{
		"status": func() (string, error) {
			if state := lifecycle.State(s.publishedState.Load()); state != lifecycle.Ready {
				return "", errors.New(state.String())
			}
			return "ready", nil
		},
		"stats": func() (string, error) {
			f := s.publishedTotals.Load()
			if f == nil {
				return "", errors.New(lifecycle.Starting.String())
			}
			return "figures\n" + f.Text() + ".", nil
		},
		"standby": told(func() bool { return s.transition("standby", func() bool { return s.lifecycle.Standby(s.loop.Now()) }) }),
		"active":  told(func() bool { return s.transition("active", func() bool { return s.lifecycle.Active(s.loop.Now()) }) }),
	}
}

// lives carries out a step of the life cycle, and publishes where that has led.
func (s *service) transition(what string, step func() bool) bool {
	before := s.lifecycle.State()
	done := step()
	if now := s.lifecycle.State(); now != before {
		s.log.Info(what, ": ", before, " to ", now, ", ", s.clients.InFlight(), " in hand")
		if now == lifecycle.Ready {
			s.takeover.Ready()
		}
		s.publishedState.Store(uint32(now))
		s.applyLifecycle()
	} else if !done {
		s.log.Warn(what, ": not while ", now)
	}
	return done
}

// follow behaves as the life cycle has it, now and at each moment at which that changes.
func (s *service) applyLifecycle() {
	s.lifecycleTimer.Stop()
	now := s.loop.Now()
	s.clients.ApplyBehavior()
	m := s.lifecycle.Behavior(now)
	if m.Migrates {
		s.takeover.MigrateConnections()
	}
	if m.FailsRemaining {
		s.failRemaining("the time to stop is over")
	}
	waits := m.Migrates && !m.ClosesIdle && s.clients.HasMigratable()
	if m.Exits || m.ExitsWhenIdle && !waits && s.clients.InFlight() == 0 && !s.clients.Busy() && s.clients.StopAccepting() {
		s.loop.Stop()
		return
	}
	next, more := s.lifecycle.NextChange(now)
	if look := now + drainPollInterval; m.ExitsWhenIdle && (!more || look < next) {
		next, more = look, true
	}
	if more {
		s.lifecycleTimer = s.loop.After(next-now, s.applyLifecycle)
	}
}

// EndpointsKnown implements takeover.Lifecycle.
func (s *service) EndpointsKnown() {
	s.transition("the list is known", func() bool { s.lifecycle.EndpointsKnown(s.loop.Now()); return true })
}

// stop is the order to end. Clients go on coming for a while and what is in hand is still worth serving; what can't
// be served in time is answered as errored, which promises nothing, well before a kill would lose it.
func (s *service) stop() {
	longest := cmp.Or(s.deployment.LongestTimeout, s.clients.LongestTimeout) // where no setting tells, what clients said
	s.transition("told to stop", func() bool { s.lifecycle.Stop(s.loop.Now(), longest); return true })
}

// SuccessorServing implements takeover.Lifecycle.
func (s *service) SuccessorServing() {
	s.transition("the successor serves", func() bool { s.lifecycle.SuccessorChanged(s.loop.Now(), true); return true })
}

// SuccessorExited implements takeover.Lifecycle.
func (s *service) SuccessorExited() {
	s.transition("the successor has ended", func() bool { s.lifecycle.SuccessorChanged(s.loop.Now(), false); return true })
}

// Migrates implements takeover.Lifecycle.
func (s *service) Migrates() bool { return s.lifecycle.Behavior(s.loop.Now()).Migrates }
