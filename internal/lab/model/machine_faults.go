package model

import (
	"math"
	"time"

	"stoatweir/internal/lab/scenario"
)

// planMachineFault schedules a fault that changes the state of machines from its start to its end.
func (m *Model) planMachineFault(f *targetedFault) {
	switch f.Kind {
	case scenario.MachinesSilent, scenario.ZoneLost:
		m.scheduleOnMachines(f, m.Cluster.beginSilentFault, m.Cluster.endSilentFault)
	case scenario.MachinesHung:
		m.scheduleOnMachines(f,
			func(_ time.Duration, machine *Machine) { machine.hungFaults++ },
			func(_ time.Duration, machine *Machine) { machine.hungFaults-- })
	case scenario.MachinesSlow:
		m.scheduleOnMachines(f,
			func(_ time.Duration, machine *Machine) { machine.slowdown *= f.Factor },
			func(_ time.Duration, machine *Machine) { machine.slowdown /= f.Factor })
	case scenario.MachinesFailing:
		m.scheduleOnMachines(f,
			func(_ time.Duration, machine *Machine) { machine.failShare += f.Share },
			func(_ time.Duration, machine *Machine) {
				machine.failShare -= f.Share
				if machine.failShare < minFailShare {
					machine.failShare = 0
				}
			})
	}
}

// updateEach applies a change to each machine: work up to now is done at the old rate, and the
// machine is updated afterwards.
func (c *Cluster) updateEach(now time.Duration, machines []int, apply func(now time.Duration, m *Machine)) {
	for _, index := range machines {
		m := c.Machines[index]
		c.advanceWork(m, now)
		apply(now, m)
		c.update(m, now)
	}
}

// beginSilentFault takes a machine off the network, which ends its process. Silent faults may
// overlap.
func (c *Cluster) beginSilentFault(now time.Duration, m *Machine) {
	if m.State == Gone {
		return
	}
	m.silentFaults++
	if m.silentFaults == 1 {
		c.stopProcess(now, m)
		c.stateChanged(now, m.index, true)
	}
}

// endSilentFault brings a machine back to the network, with a new process, when its last silent
// fault ends.
func (c *Cluster) endSilentFault(now time.Duration, m *Machine) {
	if m.silentFaults == 0 {
		return
	}
	m.silentFaults--
	if m.silentFaults == 0 && m.State != Gone {
		c.startProcess(now, m)
	}
}

// planRestart schedules that the processes of the fault's machines exit, and start again after the
// fault's delay.
func (m *Model) planRestart(f *targetedFault) {
	c := m.Cluster
	m.schedule(f.start(), func(now time.Duration) {
		c.updateEach(now, f.machines, func(now time.Duration, machine *Machine) {
			if machine.State != Gone && machine.silentFaults == 0 {
				c.stopProcess(now, machine)
				c.stateChanged(now, machine.index, false)
			}
		})
	})
	m.schedule(f.start()+f.Delay.D(), func(now time.Duration) {
		c.updateEach(now, f.machines, func(now time.Duration, machine *Machine) {
			if machine.State != Gone && machine.silentFaults == 0 && machine.down {
				c.startProcess(now, machine)
			}
		})
	})
}

// planReplacement schedules the replacement of machines in batches, spread evenly over the fault's
// duration. The machines of a batch start to drain when their successors start, and are gone after
// the fault's delay.
func (m *Model) planReplacement(f *targetedFault) {
	count := len(f.machines)
	batchSize := max(1, int(math.Ceil(f.Batch*float64(count))))
	batches := (count + batchSize - 1) / batchSize
	for n := range batches {
		batch := f.machines[n*batchSize : min(count, (n+1)*batchSize)]
		at := f.start() + time.Duration(float64(f.Duration)*float64(n)/float64(batches))
		m.schedule(at, func(now time.Duration) { m.Cluster.replace(now, batch) })
		m.schedule(at+f.Delay.D(), func(now time.Duration) { m.Cluster.updateEach(now, batch, m.Cluster.retire) })
	}
}

// replace sets machines to draining and starts a successor for each.
func (c *Cluster) replace(now time.Duration, machines []int) {
	for _, index := range machines {
		m := c.Machines[index]
		m.State = Draining
		c.stateChanged(now, index, false)
		successor := c.addMachine(m.Kind, m.Zone, now)
		c.stateChanged(now, successor.index, false)
	}
}

// retire stops a machine permanently.
func (c *Cluster) retire(now time.Duration, m *Machine) {
	c.stopProcess(now, m)
	m.State = Gone
	c.stateChanged(now, m.index, false)
}
