// Package model is the laboratory's model of a day: workers, the list of workers, clients, troubles, and the judge of
// the rules. It has neither I/O nor a clock: whoever drives it says what has happened and when.
package model

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"stoatweir/internal/lab/scenario"
)

// Job is one try of an invocation, as its client hands it in.
type Request struct {
	ID, Invocation                 int64 // Origin: of the first try, which the tries of one invocation share
	Operation, Tenant, Zone, Retry int
	Cost                           float64 // seconds that it runs on a machine of speed 1
	Hint                           float64 // seconds; 0: none
	Slots                          int
	IntendedAt                     time.Duration // when the first try was to be sent: waiting counts from there
	At                             time.Duration // when this one is to be sent
	Deadline                       time.Duration // when its client stops waiting for this one
	DisconnectAt                   time.Duration // when its client goes away before that; 0: it does not
	Objective                      time.Duration
}

// Work is what it takes of a machine of speed 1, all slots together.
func (j *Request) Work() float64 { return j.Cost * float64(j.Slots) }

// Source gives the invocations of a day in the order in which they are meant to be sent.
type Source interface {
	// Next gives the next first try; false: there are no more.
	Next() (Request, bool)
}

// chance is a source of chance for one purpose: what is drawn for one must not move what is drawn for another, so that
// two deciders meet the same day.
func newRand(seed int64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(uint64(seed), h.Sum64()))
}

// World is the model.
type Model struct {
	Fleet      *Cluster
	Discovery  *Discovery
	Rules      *RuleChecker
	Statistics *Statistics
	Clients    *Clients

	// Kill and Revive are called when troubles hit schedulers.
	OnSchedulerKilled, OnSchedulerRestarted func(now time.Duration, scheduler int)

	scenario scenario.Scenario
	faults   []activeFault
	changes  []change // what troubles change, in order
	applied  int
}

// New makes the day of a scenario.
func New(s scenario.Scenario) *Model {
	w := &Model{scenario: s, OnSchedulerKilled: func(time.Duration, int) {}, OnSchedulerRestarted: func(time.Duration, int) {}}
	w.Statistics = newStatistics(s)
	w.Rules = newRuleChecker(s)
	w.Fleet = newCluster(s, w.Statistics, w.Rules)
	w.Rules.machine = func(n int) *Machine { return w.Fleet.Machines[n] }
	w.Discovery = newDiscovery(s, w.Fleet)
	w.Fleet.OnChange = func(time.Duration, int) {}
	w.Fleet.stateChanged = func(now time.Duration, machine int, silently bool) {
		w.Discovery.machineChanged(now, machine, silently)
		w.Fleet.OnChange(now, machine)
	}
	w.Clients = newClients(s, w.Fleet.Capacity())
	w.planFaults()
	return w
}

// Now moves the model on to a time: all that happens by itself until then has happened.
func (w *Model) AdvanceTo(now time.Duration) {
	for {
		at := w.NextTime()
		switch {
		case at > now:
			return
		case w.applied < len(w.changes) && w.changes[w.applied].at == at:
			w.applied++
			w.edge(w.changes[w.applied-1])
		case w.Discovery.nextTime() == at:
			w.Discovery.step(at)
		default:
			w.Fleet.step(at)
		}
	}
}

// Next is when something happens by itself again.
func (w *Model) NextTime() time.Duration {
	next := min(w.Fleet.nextTime(), w.Discovery.nextTime())
	if w.applied < len(w.changes) {
		next = min(next, w.changes[w.applied].at)
	}
	return next
}

// Never is later than anything that happens.
const Never = time.Duration(1 << 62)
