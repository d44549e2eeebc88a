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

// process is one process of a scheduler; the scheduler's lock guards its times and its error.
type process struct {
	cmd           *exec.Cmd
	began         time.Time
	killed        time.Time     // when the harness killed it; zero: it did not
	stopRequested time.Time     // when the harness sent SIGTERM; zero: it did not
	exited        chan struct{} // closed at its exit
	err           error         // of its exit
	log           string        // path of its log
}

// interval is a stretch of time.
type interval struct {
	from time.Time
	to   time.Time // zero: it has no end
}

func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

func (s *scheduler) requestStop(p *process) {
	s.mu.Lock()
	p.stopRequested = time.Now()
	s.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGTERM)
}

// stop has the current process shut down gracefully, and kills it where it does not.
func (s *scheduler) stop(h *harness) {
	p := s.current()
	select {
	case <-p.exited:
		return // a crash, which processViolations reports
	default:
	}
	s.requestStop(p)
	time.AfterFunc(frontDelay, func() {
		if s.current() == p {
			s.routed.Store(false)
		}
	})
	s.awaitExit(h, p)
}

// awaitExit waits for a process that was asked to stop, and kills one that is late.
func (s *scheduler) awaitExit(h *harness, p *process) {
	select {
	case <-p.exited:
	case <-time.After(stopWithin):
		h.observed.addViolation("F2 stop", s.name(), fmt.Sprintf("still there %v after SIGTERM", stopWithin))
		s.killProcess(p)
	}
}

// kill kills all processes that are left.
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
	p.killed = time.Now()
	s.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.exited
}

// freeze stops the current process for a while.
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

// frozenFor returns the length of the freezes that overlap an interval.
func (s *scheduler) frozenFor(from, to time.Time) (length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.freezes {
		if f.overlaps(from, to) {
			length += f.to.Sub(f.from)
		}
	}
	return length
}

// frozenTooLong says whether it was frozen for longer than a scheduler has to tolerate; the lock is
// held.
func (s *scheduler) frozenTooLong() bool {
	return slices.ContainsFunc(s.freezes, func(f interval) bool { return f.to.Sub(f.from) > pauseTolerated })
}

// wasKilled says whether a process that began before an interval was killed before its end.
func (s *scheduler) wasKilled(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.killed.IsZero() || !p.began.Before(from) {
			continue
		}
		dead := interval{from: p.killed}
		if dead.overlaps(from, to) {
			return true
		}
	}
	return false
}

const ruleCrash = "G4 crash"

// processViolations are the violations that the logs and the exits of the processes show.
func (s *scheduler) processViolations() (violations []Violation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, p := range s.processes {
		name := s.processName(n)
		if p.killed.IsZero() && p.err != nil {
			violations = append(violations, Violation{Rule: ruleCrash, Request: name, Detail: p.err.Error()})
		}
		if p.killed.IsZero() && p.stopRequested.IsZero() {
			violations = append(violations, Violation{Rule: ruleCrash, Request: name, Detail: "it ended by itself"})
		}
		violations = append(violations, s.logViolations(name, p.log)...)
	}
	return violations
}

// logViolations are the violations that one log shows; the lock is held.
func (s *scheduler) logViolations(name, path string) (violations []Violation) {
	text, _ := os.ReadFile(path)
	for line := range strings.Lines(string(text)) {
		detail := strings.TrimSpace(line)
		switch {
		case strings.Contains(line, "answered late") && s.frozenTooLong():
		case strings.Contains(line, "a rule would have been broken"):
			violations = append(violations, Violation{Rule: "guard", Request: name, Detail: detail})
		case strings.Contains(line, "panic") && !strings.Contains(line, `"panics":0`):
			violations = append(violations, Violation{Rule: "G4 panic", Request: name, Detail: detail})
		}
	}
	return violations
}
