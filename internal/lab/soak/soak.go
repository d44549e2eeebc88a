// Package soak runs a few dozen real schedulers on loopback, with emulated workers, clients and an
// endpoint list, while faults that a seed draws overlap in time. What the peers see of each request
// is checked against the rules, and so is what the schedulers' own invariant checkers log.
package soak

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Config describes one run.
type Config struct {
	Program    string        // path of the scheduler's binary, built with the tag soak
	Dir        string        // folder for logs and configurations
	Seed       int64         // of all draws; an even one has endpoint updates pushed
	Schedulers int           // processes; at least one
	Workers    int           // emulated workers; at least one a zone
	Clients    int           // clients of each scheduler
	Span       time.Duration // for how long faults begin; the start and the end come on top
	Only       []string      // names of the faults that may be injected; empty: all
}

// Violation is one broken rule with its evidence.
type Violation struct {
	Rule    string // its short name, such as "A1 answer"
	Request string // the request, process or worker that it was seen at
	Detail  string // what was seen
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Request, v.Detail) }

// Report is the result of a run.
type Report struct {
	Seed        int64
	Faults      []InjectedFault
	Answers     map[string]int // requests by status or other outcome
	Attempts    int            // that reached a worker
	Disconnects int            // requests whose client disconnected
	Ready       time.Duration  // the longest time from the start of a scheduler to its readiness
	Violations  []Violation
}

// InjectedFault is a fault that a run injected.
type InjectedFault struct {
	At   time.Duration // since the clients began
	Name string
	On   string // its targets
}

const (
	// settleTime passes before the first fault and after the last.
	settleTime = time.Second
	// stopWithin is the time that a scheduler has to exit after SIGTERM: the longest client timeout
	// and 0.7 s.
	stopWithin = longestTimeout + 700*time.Millisecond
	// readyWithin is the time that a scheduler has to become ready after its start.
	readyWithin = 10 * time.Second
)

var errTooSmall = errors.New("a run needs a scheduler, and a worker for each zone")

// Run plays one seed. An error says that the run could not be set up; broken rules are in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Schedulers < 1 || c.Workers < zones {
		return nil, errTooSmall
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := newHarness(ctx, c)
	if err := h.open(); err != nil {
		h.close()
		return nil, err
	}
	ready := h.awaitReady()
	h.loadBegan = time.Now()
	stopClients := h.startClients()
	time.Sleep(settleTime)
	h.injectFaults()
	h.faultsRunning.Wait()
	time.Sleep(settleTime)
	stopClients()
	h.stopSchedulers()
	h.close()
	report := &Report{Seed: c.Seed, Faults: h.injected, Answers: h.outcomes, Ready: ready}
	h.observed.check(h, report)
	return report, nil
}
