package model

import (
	"cmp"
	"slices"
	"time"

	"stoatweir/internal/lab/scenario"
)

// minFailShare is the share below which no attempt fails, as sums of shares are a little off.
const minFailShare = 1e-9

// activeFault is a fault of the scenario with what it hits.
type activeFault struct {
	scenario.Fault
	machines   []int
	schedulers []int
}

// start and end are when the fault holds.
func (f *activeFault) start() time.Duration { return f.Start.D() }
func (f *activeFault) end() time.Duration   { return f.Start.D() + f.Duration.D() }

// change is what a fault changes at one time.
type change struct {
	at    time.Duration
	apply func(now time.Duration)
}

// planFaults draws what all faults hit beforehand, each with a random source of its own, so that no decision can move them.
func (m *Model) planFaults() {
	for i, fault := range m.scenario.Faults {
		purpose := "trouble " + fault.Kind + string(rune('0'+i%10)) + string(rune('a'+i/10))
		rng := newRand(m.scenario.Seed, purpose)
		machines := sample(rng, m.machinesIn(fault.Zone), machineShare(fault))
		schedulers := sample(rng, m.schedulersIn(fault.Zone), fault.Share)
		m.planFault(&activeFault{Fault: fault, machines: machines, schedulers: schedulers})
	}
	slices.SortStableFunc(m.changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
}

// machineShare is the share of the machines that a fault hits.
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
	for _, machine := range m.Fleet.Machines {
		if zone == "" || m.scenario.Zones[machine.Zone] == zone {
			all = append(all, machine.index)
		}
	}
	return all
}

func (m *Model) schedulersIn(zone string) []int {
	var all []int
	for n := range m.scenario.Schedulers.Count {
		if zone == "" || m.scenario.Zones[m.scenario.Zone(n)] == zone {
			all = append(all, n)
		}
	}
	return all
}

// schedule adds a change.
func (m *Model) schedule(at time.Duration, apply func(now time.Duration)) {
	m.changes = append(m.changes, change{at: at, apply: apply})
}

// during schedules what a fault changes when it begins and when it is over. Faults of one kind may overlap, one inside the
// other: the first end must not lift both.
func (m *Model) during(f *activeFault, begin, end func(now time.Duration)) {
	m.schedule(f.start(), begin)
	m.schedule(f.end(), end)
}

// duringOnMachines does the same for each machine that the fault hits.
func (m *Model) duringOnMachines(f *activeFault, begin, end func(now time.Duration, machine *Machine)) {
	m.during(f,
		func(now time.Duration) { m.Fleet.updateEach(now, f.machines, begin) },
		func(now time.Duration) { m.Fleet.updateEach(now, f.machines, end) })
}

// duringShare adds the fault's share to those in effect.
func (m *Model) duringShare(f *activeFault, shares *[]float64) {
	m.during(f,
		func(time.Duration) { *shares = append(*shares, f.Share) },
		func(time.Duration) {
			at := slices.Index(*shares, f.Share)
			*shares = slices.Delete(*shares, at, at+1)
		})
}

// planFault schedules what a fault changes.
func (m *Model) planFault(f *activeFault) {
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
		m.duringShare(f, &m.Fleet.refuseShares)
	case scenario.AttemptsReset:
		m.duringShare(f, &m.Fleet.resetShares)
	case scenario.CallbacksLost:
		m.duringShare(f, &m.Fleet.lossShares)
	case scenario.SchedulersKilled:
		m.planKill(f)
	case scenario.RetryStorm:
		m.during(f,
			func(time.Duration) { m.Clients.extraRetries += int(f.Factor) },
			func(time.Duration) { m.Clients.extraRetries -= int(f.Factor) })
	}
}

func (m *Model) planReportFault(f *activeFault) {
	c := m.Fleet
	switch f.Kind {
	case scenario.ReportsLate:
		m.during(f,
			func(time.Duration) { c.reportDelay += f.Delay.D() },
			func(time.Duration) { c.reportDelay -= f.Delay.D() })
	case scenario.ReportsAbsent:
		m.during(f,
			func(time.Duration) { c.reportsAbsentFaults++ },
			func(time.Duration) { c.reportsAbsentFaults-- })
	}
}

func (m *Model) planDiscoveryFault(f *activeFault) {
	d := m.Discovery
	switch f.Kind {
	case scenario.DiscoveryStale:
		m.during(f,
			func(time.Duration) { d.extraDelay += f.Delay.D() },
			func(time.Duration) { d.extraDelay -= f.Delay.D() })
	case scenario.DiscoveryOverloaded:
		m.during(f,
			func(time.Duration) { d.slowdown *= f.Factor },
			func(time.Duration) { d.slowdown /= f.Factor })
	case scenario.DiscoveryDown:
		m.during(f,
			func(now time.Duration) {
				d.downFaults++
				if d.downFaults == 1 {
					d.OnOutage(now)
				}
			},
			func(time.Duration) { d.downFaults-- })
	}
}

func (m *Model) planKill(f *activeFault) {
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
