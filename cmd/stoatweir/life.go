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
	operatorsMost = 8
	// orderIn is how long an order may take: a caller waits a second.
	orderIn = 900 * time.Millisecond
)

// order is something that somebody waits for; it goes past the inbox.
type order struct {
	*service
	do func()
}

// Take carries it out.
func (o order) Run() { o.do() }

// calls are what operators may ask. Whatever only tells is read from what the loop has published.
func (s *service) calls() admin.Commands {
	told := func(do func() bool) func() (string, error) {
		return func() (string, error) {
			held := make(chan error, 1)
			s.loop.PostUrgent(order{s, func() {
				if do() {
					held <- nil
				} else {
					held <- errors.New(s.life.State().String())
				}
			}})
			select {
			case err := <-held:
				return lifecycle.State(s.stands.Load()).String(), err
			case <-time.After(orderIn):
				return "", errors.New("no answer in time; the order stands")
			}
		}
	}
	return admin.Commands{
		"status": func() (string, error) {
			if state := lifecycle.State(s.stands.Load()); state != lifecycle.Ready {
				return "", errors.New(state.String())
			}
			return "ready", nil
		},
		"stats": func() (string, error) {
			f := s.figures.Load()
			if f == nil {
				return "", errors.New(lifecycle.Starting.String())
			}
			return "figures\n" + f.Text() + ".", nil
		},
		"standby": told(func() bool { return s.lives("standby", func() bool { return s.life.Standby(s.loop.Now()) }) }),
		"active":  told(func() bool { return s.lives("active", func() bool { return s.life.Active(s.loop.Now()) }) }),
	}
}

// lives carries out a step of the life cycle, and publishes where that has led.
func (s *service) lives(what string, step func() bool) bool {
	before := s.life.State()
	done := step()
	if now := s.life.State(); now != before {
		s.log.Info(what, ": ", before, " to ", now, ", ", s.door.InFlight(), " in hand")
		if now == lifecycle.Ready {
			s.serves()
		}
		s.stands.Store(uint32(now))
		s.follow()
	} else if !done {
		s.log.Warn(what, ": not while ", now)
	}
	return done
}

// follow behaves as the life cycle has it, now and at each moment at which that changes.
func (s *service) follow() {
	s.steps.Stop()
	now := s.loop.Now()
	s.door.ApplyBehavior()
	m := s.life.Behavior(now)
	if m.Migrates && s.bond != nil && !s.bond.elder {
		s.pass()
	}
	if m.FailsRemaining {
		s.failRest("the time to stop is over")
	}
	waits := m.Migrates && !m.ClosesIdle && s.door.HasMigratable()
	if m.Exits || m.ExitsWhenIdle && !waits && s.door.InFlight() == 0 && !s.door.Busy() && s.door.StopAccepting() {
		s.loop.Stop()
		return
	}
	next, more := s.life.NextChange(now)
	if look := now + leaveLook; m.ExitsWhenIdle && (!more || look < next) {
		next, more = look, true
	}
	if more {
		s.steps = s.loop.After(next-now, s.follow)
	}
}

func (s *service) knows() {
	s.lives("the list is known", func() bool { s.life.EndpointsKnown(s.loop.Now()); return true })
}

// stop is the order to end. Clients go on coming for a while and what is in hand is still worth serving; what can't
// be served in time is answered as errored, which promises nothing, well before a kill would lose it.
func (s *service) stop() {
	longest := cmp.Or(s.site.LongestTimeout, s.door.LongestTimeout) // where no setting tells, what clients said
	s.lives("told to stop", func() bool { s.life.Stop(s.loop.Now(), longest); return true })
}
