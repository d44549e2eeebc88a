package model

import (
	"cmp"
	"slices"
	"time"

	"stoatweir/internal/lab/scenario"
)

// minFailShare is the share below which no attempt fails. It absorbs the rounding errors of adding
// and subtracting shares.
const minFailShare = 1e-9

// targetedFault is a fault of the scenario with the machines and schedulers that it affects.
type targetedFault struct {
	scenario.Fault
	machines   []int
	schedulers []int
}

// start and end are the times at which the fault begins and ends.
func (f *targetedFault) start() time.Duration { return f.Start.D() }
func (f *targetedFault) end() time.Duration   { return f.Start.D() + f.Duration.D() }

// scheduledChange is a change to the model that a fault makes at one time.
type scheduledChange struct {
	at    time.Duration
	apply func(now time.Duration)
}

// planFaults draws the targets of all faults and schedules their effects. This happens before the
// run and with a separate random source for each fault, so that the decisions under test cannot
// influence the faults.
func (m *Model) planFaults() {
	for i, fault := range m.scenario.Faults {
		purpose := "trouble " + fault.Kind + string(rune('0'+i%10)) + string(rune('a'+i/10))
		rng := newRand(m.scenario.Seed, purpose)
		machines := sample(rng, m.machinesIn(fault.Zone), machineShare(fault))
		schedulers := sample(rng, m.schedulersIn(fault.Zone), fault.Share)
		m.planFault(&targetedFault{Fault: fault, machines: machines, schedulers: schedulers})
	}
	slices.SortStableFunc(m.changes, func(a, b scheduledChange) int { return cmp.Compare(a.at, b.at) })
}

// machineShare is the share of the machines that a fault affects.
func machineShare(f scenario.Fault) float64 {
	switch f.Kind {
	case scenario.MachinesFailing:
		return f.Factor
	case scenario.ZoneLost:
		return 1
	}
	return f.Share
}

func (m *Model) machinesIn(zone string) []int {
	var all []int
	for _, machine := range m.Cluster.Machines {
		if zone == "" || m.scenario.Zones[machine.Zone] == zone {
			all = append(all, machine.index)
		}
	}
	return all
}

func (m *Model) schedulersIn(zone string) []int {
	var all []int
	for n := range m.scenario.Schedulers.Count {
		if zone == "" || m.scenario.Zones[m.scenario.ZoneOfScheduler(n)] == zone {
			all = append(all, n)
		}
	}
	return all
}

// schedule adds a change that is applied at the given time.
func (m *Model) schedule(at time.Duration, apply func(now time.Duration)) {
	m.changes = append(m.changes, scheduledChange{at: at, apply: apply})
}

// scheduleBeginAndEnd schedules the changes at the start and the end of a fault. Faults of one kind may
// overlap or be nested: end must undo only what begin did, so that the first end does not lift the
// other fault.
func (m *Model) scheduleBeginAndEnd(f *targetedFault, begin, end func(now time.Duration)) {
	m.schedule(f.start(), begin)
	m.schedule(f.end(), end)
}

// scheduleOnMachines schedules the changes that a fault makes to each machine it affects, at its
// start and its end.
func (m *Model) scheduleOnMachines(f *targetedFault, begin, end func(now time.Duration, machine *Machine)) {
	m.scheduleBeginAndEnd(f,
		func(now time.Duration) { m.Cluster.updateEach(now, f.machines, begin) },
		func(now time.Duration) { m.Cluster.updateEach(now, f.machines, end) })
}

// scheduleShare schedules that the fault's share is added to shares at its start and removed at its end.
func (m *Model) scheduleShare(f *targetedFault, shares *[]float64) {
	m.scheduleBeginAndEnd(f,
		func(time.Duration) { *shares = append(*shares, f.Share) },
		func(time.Duration) {
			index := slices.Index(*shares, f.Share)
			*shares = slices.Delete(*shares, index, index+1)
		})
}

// planFault schedules the changes that a fault makes. Burst and HeavyRequests are absent: Clients
// applies them.
func (m *Model) planFault(f *targetedFault) {
	switch f.Kind {
	case scenario.MachinesSilent, scenario.ZoneLost, scenario.MachinesHung, scenario.MachinesSlow, scenario.MachinesFailing:
		m.planMachineFault(f)
	case scenario.MachinesRestarted:
		m.planRestart(f)
	case scenario.MachinesReplaced:
		m.planReplacement(f)
	case scenario.ReportsLate, scenario.ReportsAbsent:
		m.planReportFault(f)
	case scenario.DiscoveryStale, scenario.DiscoveryOverloaded, scenario.DiscoveryDown:
		m.planDiscoveryFault(f)
	case scenario.ConnectionsRefused:
		m.scheduleShare(f, &m.Cluster.refuseShares)
	case scenario.AttemptsReset:
		m.scheduleShare(f, &m.Cluster.resetShares)
	case scenario.CallbacksLost:
		m.scheduleShare(f, &m.Cluster.lossShares)
	case scenario.SchedulersKilled:
		m.planKill(f)
	case scenario.RetryStorm:
		m.scheduleBeginAndEnd(f,
			func(time.Duration) { m.Clients.extraRetries += int(f.Factor) },
			func(time.Duration) { m.Clients.extraRetries -= int(f.Factor) })
	}
}

func (m *Model) planReportFault(f *targetedFault) {
	c := m.Cluster
	switch f.Kind {
	case scenario.ReportsLate:
		m.scheduleBeginAndEnd(f,
			func(time.Duration) { c.reportDelay += f.Delay.D() },
			func(time.Duration) { c.reportDelay -= f.Delay.D() })
	case scenario.ReportsAbsent:
		m.scheduleBeginAndEnd(f,
			func(time.Duration) { c.reportsAbsentFaults++ },
			func(time.Duration) { c.reportsAbsentFaults-- })
	}
}

func (m *Model) planDiscoveryFault(f *targetedFault) {
	d := m.Discovery
	switch f.Kind {
	case scenario.DiscoveryStale:
		m.scheduleBeginAndEnd(f,
			func(time.Duration) { d.extraDelay += f.Delay.D() },
			func(time.Duration) { d.extraDelay -= f.Delay.D() })
	case scenario.DiscoveryOverloaded:
		m.scheduleBeginAndEnd(f,
			func(time.Duration) { d.slowdown *= f.Factor },
			func(time.Duration) { d.slowdown /= f.Factor })
	case scenario.DiscoveryDown:
		m.scheduleBeginAndEnd(f,
			func(now time.Duration) {
				d.downFaults++
				if d.downFaults == 1 {
					d.OnOutage(now)
				}
			},
			func(time.Duration) { d.downFaults-- })
	}
}

func (m *Model) planKill(f *targetedFault) {
	for _, n := range f.schedulers {
		m.schedule(f.start(), func(now time.Duration) {
			m.Rules.SchedulerKilled(now, n)
			m.OnSchedulerKilled(now, n)
		})
		m.schedule(f.start()+m.scenario.Schedulers.RestartDelay.D(), func(now time.Duration) {
			m.OnSchedulerRestarted(now, n)
		})
	}
}
