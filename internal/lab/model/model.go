// Package model models the environment of the schedulers in a run: the machines that workers run
// on, discovery, the clients, the faults, and a checker of the rules that schedulers must keep. It
// has neither I/O nor a clock: before its driver reports an event to it, the driver calls AdvanceTo
// with the event's time.
package model

import (
	"time"

	"stoatweir/internal/lab/scenario"
)

// Never stands for the time of an event that is not scheduled; it is later than any event.
const Never = time.Duration(1 << 62)

// Model is the state of one run. It is not safe for concurrent use.
type Model struct {
	Cluster    *Cluster
	Discovery  *Discovery
	Rules      *RuleChecker
	Statistics *Statistics
	Clients    *Clients

	// OnSchedulerKilled is called when a fault kills a scheduler, and OnSchedulerRestarted when it
	// starts again.
	OnSchedulerKilled, OnSchedulerRestarted func(now time.Duration, scheduler int)

	scenario       scenario.Scenario
	changes        []scheduledChange // made by faults, ordered by time
	appliedChanges int               // number of changes already applied
}

// New returns the model of a scenario at the start of its run.
func New(s scenario.Scenario) *Model {
	m := &Model{
		OnSchedulerKilled:    func(time.Duration, int) {},
		OnSchedulerRestarted: func(time.Duration, int) {},
		scenario:             s,
	}
	m.Statistics = newStatistics(s)
	m.Rules = newRuleChecker(s)
	m.Cluster = newCluster(s, m.Statistics, m.Rules)
	m.Rules.machine = func(n int) *Machine { return m.Cluster.Machines[n] }
	m.Discovery = newDiscovery(s, m.Cluster)
	m.Cluster.stateChanged = func(now time.Duration, machine int, silently bool) {
		m.Discovery.machineChanged(now, machine, silently)
		m.Cluster.OnChange(now, machine)
	}
	m.Clients = newClients(s, m.Cluster.Capacity())
	m.planFaults()
	return m
}

// AdvanceTo handles all events that the model has scheduled up to and including now. Of events at the
// same time, those of faults come first, then those of discovery, then those of the machines.
func (m *Model) AdvanceTo(now time.Duration) {
	for {
		at := m.NextTime()
		switch {
		case at > now:
			return
		case m.appliedChanges < len(m.changes) && m.changes[m.appliedChanges].at == at:
			next := m.changes[m.appliedChanges]
			m.appliedChanges++
			next.apply(next.at)
		case m.Discovery.nextTime() == at:
			m.Discovery.step(at)
		default:
			m.Cluster.step(at)
		}
	}
}

// NextTime returns the time of the model's next scheduled event, or Never.
func (m *Model) NextTime() time.Duration {
	next := min(m.Cluster.nextTime(), m.Discovery.nextTime())
	if m.appliedChanges < len(m.changes) {
		next = min(next, m.changes[m.appliedChanges].at)
	}
	return next
}
