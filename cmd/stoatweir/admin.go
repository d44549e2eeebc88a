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
	// maxConcurrentAdminCalls is the number of admin calls served at the same time.
	maxConcurrentAdminCalls = 8
	// loopTaskTimeout is how long an admin or tenant API call waits for the event loop. It is below
	// 1 s, which is how long the callers wait for their answer.
	loopTaskTimeout = 900 * time.Millisecond
	// listenAttemptsBeforeError is the number of failed attempts to listen at an address before an
	// error is logged.
	listenAttemptsBeforeError = 100
	// listenRetryDelay is the time between two attempts to listen.
	listenRetryDelay = 50 * time.Millisecond
)

// errLoopTaskTimeout is returned to an operator if the event loop has not executed the command
// within loopTaskTimeout. The command stays queued and is still executed.
var errLoopTaskTimeout = errors.New("no answer in time; the command stays queued")

// adminCommands returns the handlers of the admin commands. Read-only commands are answered from
// state that the event loop has published, without waiting for it.
func (s *service) adminCommands() admin.Commands {
	return admin.Commands{
		"status": s.adminStatus,
		"stats":  s.adminStats,
		"standby": func() (string, error) {
			return s.adminTransition("standby", func() bool { return s.lifecycle.Drain(s.loop.Now()) })
		},
		"active": func() (string, error) {
			return s.adminTransition("active", func() bool { return s.lifecycle.Activate(s.loop.Now()) })
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

// adminTransition runs a lifecycle transition on the event loop and waits for the result.
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
		return "", errLoopTaskTimeout
	}
}

// serveAdmin serves admin calls. If listener is nil, it first listens at addr and retries until
// that succeeds: during a restart the previous process may still hold the address. It runs on its
// own goroutine so that clients are served meanwhile.
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
