package soak

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"
)

// process is one operating system process of a scheduler. The scheduler's lock guards its times and
// its error.
type process struct {
	cmd             *exec.Cmd
	startedAt       time.Time
	killedAt        time.Time     // when the harness killed it; zero: it did not
	stopRequestedAt time.Time     // when the harness sent SIGTERM; zero: it did not
	exited          chan struct{} // closed at its exit
	err             error         // result of its exit
	log             string        // path of its log
}

// interval is a span of time.
type interval struct {
	from time.Time
	to   time.Time // zero: it is open-ended
}

func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

func (s *scheduler) requestStop(p *process) {
	s.mu.Lock()
	p.stopRequestedAt = time.Now()
	s.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGTERM)
}

// stop shuts the current process down gracefully, and kills it if it doesn't exit in time.
func (s *scheduler) stop(h *harness) {
	p := s.current()
	select {
	case <-p.exited:
		return // a crash, which processViolations reports
	default:
	}
	s.requestStop(p)
	s.stopRouting(p)
	s.awaitExit(h, p)
}

// stopRouting has clients open no new connections a moment later, unless a further process has been
// started by then.
func (s *scheduler) stopRouting(p *process) {
	time.AfterFunc(routingDelay, func() {
		if s.current() == p {
			s.routed.Store(false)
		}
	})
}

// stopBoth shuts two processes down that replace each other. Whoever started them takes the exit of the
// successor for the exit of the scheduler, so the predecessor must have exited by then.
func (s *scheduler) stopBoth(h *harness, predecessor, successor *process) {
	s.requestStop(predecessor)
	s.requestStop(successor)
	s.stopRouting(successor)
	s.awaitExit(h, successor)
	select {
	case <-predecessor.exited:
	case <-time.After(observationSlack):
		h.observed.addViolation("F2 order", s.name(), "the successor exited before its predecessor")
		s.awaitExit(h, predecessor)
	}
}

// awaitLog waits until the log of the process contains a text, or the process is late or has exited.
func (p *process) awaitLog(text string) {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		written, _ := os.ReadFile(p.log)
		if strings.Contains(string(written), text) {
			return
		}
		select {
		case <-p.exited:
			return
		default:
		}
	}
}

// awaitExit waits for the exit of a process that was asked to stop. If the process is late, it
// records a violation and kills the process.
func (s *scheduler) awaitExit(h *harness, p *process) {
	select {
	case <-p.exited:
	case <-time.After(stopWithin):
		h.observed.addViolation("F2 stop", s.name(), fmt.Sprintf("still running %v after SIGTERM", stopWithin))
		s.killProcess(p)
	}
}

// kill kills all processes that are still running.
func (s *scheduler) kill() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		select {
		case <-p.exited:
		default:
			s.killProcess(p)
		}
	}
}

func (s *scheduler) killProcess(p *process) {
	s.mu.Lock()
	p.killedAt = time.Now()
	s.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.exited
}

// freeze suspends the current process for a while.
func (s *scheduler) freeze(length time.Duration) {
	p := s.current()
	from := time.Now()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.cmd.Process.Signal(syscall.SIGCONT)
	s.mu.Lock()
	s.freezes = append(s.freezes, interval{from: from, to: time.Now()})
	s.mu.Unlock()
}

// frozenFor returns the total length of all freezes that overlap an interval.
func (s *scheduler) frozenFor(from, to time.Time) (length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, freeze := range s.freezes {
		if freeze.overlaps(from, to) {
			length += freeze.to.Sub(freeze.from)
		}
	}
	return length
}

// frozenTooLong reports whether a freeze was longer than a scheduler has to tolerate. The lock must be
// held.
func (s *scheduler) frozenTooLong() bool {
	return slices.ContainsFunc(s.freezes, func(freeze interval) bool { return freeze.to.Sub(freeze.from) > maxToleratedPause })
}

// wasKilled reports whether a process that started before the time from was killed before the time to.
func (s *scheduler) wasKilled(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.killedAt.IsZero() || !p.startedAt.Before(from) {
			continue
		}
		afterKill := interval{from: p.killedAt}
		if afterKill.overlaps(from, to) {
			return true
		}
	}
	return false
}

const ruleCrash = "G4 crash"

// processViolations returns the violations that the logs and the exits of the processes show.
func (s *scheduler) processViolations() (violations []Violation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, p := range s.processes {
		name := s.processName(n)
		if p.killedAt.IsZero() && p.err != nil {
			violations = append(violations, Violation{Rule: ruleCrash, Subject: name, Detail: p.err.Error()})
		}
		if p.killedAt.IsZero() && p.stopRequestedAt.IsZero() {
			violations = append(violations, Violation{Rule: ruleCrash, Subject: name, Detail: "exited without a request to stop"})
		}
		violations = append(violations, s.logViolations(name, p.log)...)
	}
	return violations
}

// logViolations returns the violations that one log shows. The lock must be held.
func (s *scheduler) logViolations(name, path string) (violations []Violation) {
	text, _ := os.ReadFile(path)
	for line := range strings.Lines(string(text)) {
		detail := strings.TrimSpace(line)
		switch {
		case strings.Contains(line, "answered late") && s.frozenTooLong():
		case strings.Contains(line, "a rule would have been broken"):
			violations = append(violations, Violation{Rule: "guard", Subject: name, Detail: detail})
		case strings.Contains(line, "panic") && !strings.Contains(line, `"panics":0`):
			violations = append(violations, Violation{Rule: "G4 panic", Subject: name, Detail: detail})
		}
	}
	return violations
}
