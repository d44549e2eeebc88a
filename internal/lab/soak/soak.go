// Package soak runs a few dozen real schedulers on loopback, with emulated workers, clients and an
// endpoint list, and injects faults that overlap in time and are drawn from a seed. It checks what the
// schedulers' peers see of each request against the rules, and searches the schedulers' logs for
// crashes and for violations that their own invariant checkers have found.
package soak

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Config describes one run.
type Config struct {
	Program       string        // path of the scheduler's binary, built with the tag soak
	Dir           string        // folder for logs and configurations
	Seed          int64         // of all random choices; endpoint updates are pushed if it is even, and polled if it is odd
	Schedulers    int           // number of scheduler addresses; at least 1
	Workers       int           // number of emulated workers; at least one per zone
	Clients       int           // number of clients of each scheduler
	FaultDuration time.Duration // time in which faults start; the start and the end of the run take extra time
	Only          []string      // names of the faults that may be injected; empty: all
}

// Violation is one violation of a rule, with its evidence.
type Violation struct {
	Rule    string // short name of the rule, such as "A1 answer"
	Subject string // the request, process or worker that violated it
	Detail  string // what was seen
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Report is the result of a run.
type Report struct {
	Seed        int64
	Faults      []InjectedFault
	Outcomes    map[string]int // number of requests by status code or other outcome
	Attempts    int            // number of attempts that reached a worker
	Disconnects int            // number of requests whose client disconnected
	Ready       time.Duration  // longest time from the start of a scheduler to its readiness
	Violations  []Violation
}

// InjectedFault is a fault that a run injected.
type InjectedFault struct {
	At      time.Duration // since the clients started
	Name    string
	Targets string // names of its targets
}

const (
	// settleTime is how long the clients run before the first fault and after the last.
	settleTime = time.Second
	// stopWithin is the time that a scheduler has to exit after SIGTERM: the longest client timeout
	// plus 0.7 s.
	stopWithin = longestTimeout + 700*time.Millisecond
	// readyWithin is the time that a scheduler has to become ready after its start.
	readyWithin = 10 * time.Second
)

var errTooFew = errors.New("a run needs at least one scheduler, and at least one worker for each zone")

// Run runs the schedulers with the faults of one seed. It returns an error if the run could not be set
// up; violated rules are in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Schedulers < 1 || c.Workers < zoneCount {
		return nil, errTooFew
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := newHarness(ctx, c)
	if err := h.open(); err != nil {
		h.close()
		return nil, err
	}
	ready := h.awaitReady()
	h.loadStartedAt = time.Now()
	stopClients := h.startClients()
	time.Sleep(settleTime)
	h.injectFaults()
	h.faultsRunning.Wait()
	time.Sleep(settleTime)
	stopClients()
	h.stopSchedulers()
	h.close()
	report := &Report{Seed: c.Seed, Faults: h.injectedFaults, Outcomes: h.outcomes, Ready: ready}
	h.observed.check(h, report)
	return report, nil
}
