// Package model is the laboratory's model of a run: the machines that workers run on, discovery, the clients, the faults,
// and the checker of the rules. It has neither I/O nor a clock: its driver feeds it what happens and when, and calls AdvanceTo
// before.
package model

import (
	"time"

	"stoatweir/internal/lab/scenario"
)

// Never is later than any event.
const Never = time.Duration(1 << 62)

// Model is the model of one run. It is not safe for concurrent use.
type Model struct {
	Fleet      *Cluster
	Discovery  *Discovery
	Rules      *RuleChecker
	Statistics *Statistics
	Clients    *Clients

	// OnSchedulerKilled and OnSchedulerRestarted are called when a fault hits a scheduler, and when it is over.
	OnSchedulerKilled, OnSchedulerRestarted func(now time.Duration, scheduler int)

	scenario scenario.Scenario
	changes  []change // by faults, in the order of their times
	applied  int      // of the changes
}

// New returns the model of a scenario.
func New(s scenario.Scenario) *Model {
	m := &Model{
		OnSchedulerKilled:    func(time.Duration, int) {},
		OnSchedulerRestarted: func(time.Duration, int) {},
		scenario:             s,
	}
	m.Statistics = newStatistics(s)
	m.Rules = newRuleChecker(s)
	m.Fleet = newCluster(s, m.Statistics, m.Rules)
	m.Rules.machine = func(n int) *Machine { return m.Fleet.Machines[n] }
	m.Discovery = newDiscovery(s, m.Fleet)
	m.Fleet.stateChanged = func(now time.Duration, machine int, silently bool) {
		m.Discovery.machineChanged(now, machine, silently)
		m.Fleet.OnChange(now, machine)
	}
	m.Clients = newClients(s, m.Fleet.Capacity())
	m.planFaults()
	return m
}

// AdvanceTo lets everything happen that the model has scheduled until now. Of one moment, faults come first, then
// discovery, then the machines.
func (m *Model) AdvanceTo(now time.Duration) {
	for {
		at := m.NextTime()
		switch {
		case at > now:
			return
		case m.applied < len(m.changes) && m.changes[m.applied].at == at:
			next := m.changes[m.applied]
			m.applied++
			next.apply(next.at)
		case m.Discovery.nextTime() == at:
			m.Discovery.step(at)
		default:
			m.Fleet.step(at)
		}
	}
}

// NextTime returns when the model's next scheduled event is; Never: there is none.
func (m *Model) NextTime() time.Duration {
	next := min(m.Fleet.nextTime(), m.Discovery.nextTime())
	if m.applied < len(m.changes) {
		next = min(next, m.changes[m.applied].at)
	}
	return next
}
