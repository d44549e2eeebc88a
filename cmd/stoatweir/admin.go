package main

import (
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/admin"
	"stoatweir/internal/lifecycle"
)

const (
	// maxAdminCalls is how many operators' calls are served at once.
	maxAdminCalls = 8
	// loopTaskTimeout is how long a call waits for the event loop: callers wait for a second.
	loopTaskTimeout = 900 * time.Millisecond
	// listenAttemptsBeforeError is how often an address may be unavailable before that is logged.
	listenAttemptsBeforeError = 100
	// listenRetryDelay is the time between two attempts.
	listenRetryDelay = 50 * time.Millisecond
)

// errNoAnswer is the answer to an operator whose command the event loop has not carried out in time.
var errNoAnswer = errors.New("no answer in time; the order stands")

// adminCommands are the commands of operators. What only reads is answered from what the event loop has published.
func (s *service) adminCommands() admin.Commands {
	return admin.Commands{
		"status": s.adminStatus,
		"stats":  s.adminStats,
		"standby": func() (string, error) {
			return s.adminTransition("standby", func() bool { return s.lifecycle.Standby(s.loop.Now()) })
		},
		"active": func() (string, error) {
			return s.adminTransition("active", func() bool { return s.lifecycle.Active(s.loop.Now()) })
		},
	}
}

func (s *service) adminStatus() (string, error) {
	state := lifecycle.State(s.publishedState.Load())
	if state != lifecycle.Ready {
		return "", errors.New(state.String())
	}
	return "ready", nil
}

func (s *service) adminStats() (string, error) {
	totals := s.publishedTotals.Load()
	if totals == nil {
		return "", errors.New(lifecycle.Starting.String())
	}
	return "figures\n" + totals.Text() + ".", nil
}

// adminTransition has the event loop take a step of the life cycle, and waits for it.
func (s *service) adminTransition(command string, step func() bool) (string, error) {
	result := make(chan error, 1)
	s.loop.PostUrgent(loopTask(func() {
		if s.transition(command, step) {
			result <- nil
			return
		}
		result <- errors.New(s.lifecycle.State().String())
	}))
	select {
	case err := <-result:
		return lifecycle.State(s.publishedState.Load()).String(), err
	case <-time.After(loopTaskTimeout):
		return "", errNoAnswer
	}
}

// serveAdmin serves operators' calls. A nil listener is opened first, for which it waits: after a restart the process
// before may still have the address. Serving clients does not wait for that.
func serveAdmin(listener net.Listener, addr string, server *admin.Server, log *logrus.Entry) {
	for attempt := 0; listener == nil; attempt++ {
		opened, err := net.Listen("tcp", addr)
		if err == nil {
			listener = opened
			break
		}
		if attempt == listenAttemptsBeforeError {
			log.WithError(err).WithField("address", addr).Error("admin address unavailable, retrying")
		}
		time.Sleep(listenRetryDelay)
	}
	server.Serve(listener)
}
