package model

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"stoatweir/internal/lab/scenario"
)

// spell is a trouble with its victims.
type activeFault struct {
	scenario.Fault
	machines   []int
	schedulers []int
}

// edge is a moment at which a trouble changes something.
type change struct {
	at    time.Duration
	spell int
	apply func(now time.Duration)
}

// plan draws the victims of all troubles beforehand, each from its own chance: no decision can move them.
func (w *Model) planFaults() {
	for i, t := range w.scenario.Troubles {
		rng := newRand(w.scenario.Seed, "trouble "+t.Kind+string(rune('0'+i%10))+string(rune('a'+i/10)))
		sp := activeFault{Fault: t}
		share := t.Share
		if t.Kind == scenario.MachinesFailing {
			share = t.Factor
		} else if t.Kind == scenario.ZoneLost {
			share = 1
		}
		var there []int
		for _, m := range w.Fleet.Machines {
			if t.Zone == "" || w.scenario.Zones[m.Zone] == t.Zone {
				there = append(there, m.index)
			}
		}
		sp.machines = sample(rng, there, share)
		var all []int
		for n := range w.scenario.Schedulers.Count {
			if t.Zone == "" || w.scenario.Zones[w.scenario.Zone(n)] == t.Zone {
				all = append(all, n)
			}
		}
		sp.schedulers = sample(rng, all, t.Share)
		w.faults = append(w.faults, sp)
		w.planFault(i)
	}
	slices.SortStableFunc(w.changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
}

// some draws a share, at least one where there is any.
func sample(rng *rand.Rand, of []int, share float64) []int {
	rng.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
	n := int(math.Ceil(share*float64(len(of)) - 1e-9))
	return of[:min(max(n, 0), len(of))]
}

func (w *Model) schedule(spell int, at time.Duration, do func(now time.Duration)) {
	w.changes = append(w.changes, change{at, spell, do})
}

func (w *Model) edge(e change) { e.apply(e.at) }

// edgesOf says what a trouble changes, when.
func (w *Model) planFault(i int) {
	sp := &w.faults[i]
	t, f := sp.Fault, w.Fleet
	from, to := t.Start.D(), t.Start.D()+t.Duration.D()
	// while is for what holds of each machine for a time: two troubles of one kind on one machine may overlap, one inside
	// the other, and the first end must not lift both.
	while := func(on, off func(now time.Duration, m *Machine)) {
		w.schedule(i, from, func(now time.Duration) { f.updateEach(now, sp.machines, on) })
		w.schedule(i, to, func(now time.Duration) { f.updateEach(now, sp.machines, off) })
	}
	shares := func(of *[]float64) {
		w.schedule(i, from, func(time.Duration) { *of = append(*of, t.Share) })
		w.schedule(i, to, func(time.Duration) {
			at := slices.Index(*of, t.Share)
			*of = slices.Delete(*of, at, at+1)
		})
	}
	switch t.Kind {
	case scenario.MachinesSilent, scenario.ZoneLost:
		while(func(now time.Duration, m *Machine) {
			if m.State == Gone {
				return
			}
			if m.silentFaults++; m.silentFaults == 1 {
				f.stopProcess(now, m)
				f.stateChanged(now, m.index, true)
			}
		}, func(now time.Duration, m *Machine) {
			if m.silentFaults == 0 {
				return
			}
			if m.silentFaults--; m.silentFaults == 0 && m.State != Gone {
				f.startProcess(now, m)
			}
		})
	case scenario.MachinesHung:
		while(func(now time.Duration, m *Machine) { m.hungFaults++ }, func(now time.Duration, m *Machine) { m.hungFaults-- })
	case scenario.MachinesSlow:
		while(func(now time.Duration, m *Machine) { m.slowdown *= t.Factor }, func(now time.Duration, m *Machine) { m.slowdown /= t.Factor })
	case scenario.MachinesFailing:
		while(func(now time.Duration, m *Machine) { m.failShare += t.Share }, func(now time.Duration, m *Machine) {
			if m.failShare -= t.Share; m.failShare < 1e-9 {
				m.failShare = 0
			}
		})
	case scenario.MachinesRestarted:
		w.schedule(i, from, func(now time.Duration) {
			f.updateEach(now, sp.machines, func(now time.Duration, m *Machine) {
				if m.State != Gone && m.silentFaults == 0 {
					f.stopProcess(now, m)
					f.stateChanged(now, m.index, false)
				}
			})
		})
		w.schedule(i, from+t.Delay.D(), func(now time.Duration) {
			f.updateEach(now, sp.machines, func(now time.Duration, m *Machine) {
				if m.State != Gone && m.silentFaults == 0 && m.down {
					f.startProcess(now, m)
				}
			})
		})
	case scenario.MachinesReplaced:
		w.planReplacement(i)
	case scenario.ReportsLate:
		w.schedule(i, from, func(time.Duration) { f.reportDelay += t.Delay.D() })
		w.schedule(i, to, func(time.Duration) { f.reportDelay -= t.Delay.D() })
	case scenario.ReportsAbsent:
		w.schedule(i, from, func(time.Duration) { f.reportsAbsentFaults++ })
		w.schedule(i, to, func(time.Duration) { f.reportsAbsentFaults-- })
	case scenario.DiscoveryStale:
		w.schedule(i, from, func(time.Duration) { w.Discovery.extraDelay += t.Delay.D() })
		w.schedule(i, to, func(time.Duration) { w.Discovery.extraDelay -= t.Delay.D() })
	case scenario.DiscoveryOverloaded:
		w.schedule(i, from, func(time.Duration) { w.Discovery.slowdown *= t.Factor })
		w.schedule(i, to, func(time.Duration) { w.Discovery.slowdown /= t.Factor })
	case scenario.DiscoveryDown:
		w.schedule(i, from, func(now time.Duration) {
			if w.Discovery.downFaults++; w.Discovery.downFaults == 1 {
				w.Discovery.OnOutage(now)
			}
		})
		w.schedule(i, to, func(time.Duration) { w.Discovery.downFaults-- })
	case scenario.ConnectionsRefused:
		shares(&f.refuseShares)
	case scenario.AttemptsReset:
		shares(&f.resetShares)
	case scenario.CallbacksLost:
		shares(&f.lossShares)
	case scenario.SchedulersKilled:
		for _, n := range sp.schedulers {
			w.schedule(i, from, func(now time.Duration) { w.Rules.SchedulerKilled(now, n); w.OnSchedulerKilled(now, n) })
			w.schedule(i, from+w.scenario.Schedulers.RestartDelay.D(), func(now time.Duration) { w.OnSchedulerRestarted(now, n) })
		}
	case scenario.RetryStorm:
		w.schedule(i, from, func(time.Duration) { w.Clients.extraRetries += int(t.Factor) })
		w.schedule(i, to, func(time.Duration) { w.Clients.extraRetries -= int(t.Factor) })
	}
}

func (c *Cluster) updateEach(now time.Duration, machines []int, do func(now time.Duration, m *Machine)) {
	for _, n := range machines {
		m := c.Machines[n]
		c.settle(m, now)
		do(now, m)
		c.update(m, now)
	}
}

// replace plans the batches: each drains while its successors start, and is gone after the trouble's delay.
func (w *Model) planReplacement(i int) {
	sp := &w.faults[i]
	t, f := sp.Fault, w.Fleet
	batch := max(1, int(math.Ceil(t.Batch*float64(len(sp.machines)))))
	batches := (len(sp.machines) + batch - 1) / batch
	for n := range batches {
		these := sp.machines[n*batch : min(len(sp.machines), (n+1)*batch)]
		at := t.Start.D() + time.Duration(float64(t.Duration)*float64(n)/float64(batches))
		w.schedule(i, at, func(now time.Duration) {
			for _, old := range these {
				m := f.Machines[old]
				m.State = Draining
				f.stateChanged(now, old, false)
				next := f.addMachine(m.Kind, m.Zone, now)
				f.stateChanged(now, next.index, false)
			}
		})
		w.schedule(i, at+t.Delay.D(), func(now time.Duration) {
			f.updateEach(now, these, func(now time.Duration, m *Machine) {
				f.stopProcess(now, m)
				m.State = Gone
				f.stateChanged(now, m.index, false)
			})
		})
	}
}
