package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/scenario"
)

const (
	// warmUpStep is the longest time for which the speed of a warming machine is treated as constant.
	warmUpStep = 250 * time.Millisecond
	// minWorkLeft is the remaining work, in seconds, up to which an attempt counts as complete. It
	// absorbs rounding errors.
	minWorkLeft = 1e-8
)

// Cluster holds all machines of a run, including successors started during it and machines that are
// gone.
type Cluster struct {
	Machines []*Machine
	// OnCallback is called for each callback of a machine; share is the completed share of the
	// attempt.
	OnCallback func(now time.Duration, a *Attempt, callback Callback, share float64)
	// OnChange is called when a machine has started or stopped, or its state has changed.
	OnChange func(now time.Duration, machine int)

	scenario     scenario.Scenario
	statistics   *Statistics
	rules        *RuleChecker
	stateChanged func(now time.Duration, machine int, silently bool)
	timers       eventqueue.Queue[machineTimer]
	rand         *rand.Rand

	// Effects of active faults.
	reportDelay         time.Duration // added to the delay of load reports
	reportsAbsentFaults int           // active faults that suppress load reports
	resetShares         []float64     // shares of attempts whose connection is reset, one entry per fault
	refuseShares        []float64     // shares of connections that are refused, one entry per fault
	lossShares          []float64     // shares of callbacks that are lost, one entry per fault
}

// machineTimer is an entry of the timer queue. It is stale unless its number is the timerNumber of
// the machine.
type machineTimer struct{ machine, number int }

func machineUID(index int) string { return fmt.Sprintf("w-%05d", index) }

func newCluster(s scenario.Scenario, statistics *Statistics, rules *RuleChecker) *Cluster {
	c := &Cluster{
		OnCallback:   func(time.Duration, *Attempt, Callback, float64) {},
		OnChange:     func(time.Duration, int) {},
		scenario:     s,
		statistics:   statistics,
		rules:        rules,
		stateChanged: func(time.Duration, int, bool) {},
		rand:         newRand(s.Seed, "fleet"),
	}
	for kind, group := range s.Workers {
		for range group.Count {
			zone := len(c.Machines) % len(s.Zones)
			if group.Zone != "" {
				zone = slices.Index(s.Zones, group.Zone)
			}
			startedAt := longBeforeRun
			if group.StartsCold {
				startedAt = 0
			}
			c.addMachine(kind, zone, startedAt)
		}
	}
	return c
}

func (c *Cluster) addMachine(kind, zone int, startedAt time.Duration) *Machine {
	group := c.scenario.Workers[kind]
	speed := group.Speed * (1 + group.SpeedSpread*(2*c.rand.Float64()-1))
	m := newMachine(len(c.Machines), kind, zone, group, speed, startedAt)
	c.Machines = append(c.Machines, m)
	return m
}

// Capacity is the total throughput of the ready machines when warm, in slot seconds of work at
// speed 1 per second.
func (c *Cluster) Capacity() float64 {
	sum := 0.0
	for _, m := range c.Machines {
		if m.State == Ready {
			sum += float64(m.slots) * m.speed
		}
	}
	return sum
}

// advanceWork applies the work done since the machine's last update to its running attempts, and
// recomputes its rate.
func (c *Cluster) advanceWork(m *Machine, now time.Duration) {
	if now > m.workDoneUntil {
		done := m.rate * (now - m.workDoneUntil).Seconds()
		for _, a := range m.running {
			part := min(done, a.workLeft)
			a.workLeft -= part
			c.statistics.workDone += part * float64(a.Request.Slots)
		}
		m.workDoneUntil = now
	}
	m.rate = m.slotRate(now)
}

// update advances a machine to now: attempts complete, report progress and start, and the next
// timer is set.
func (c *Cluster) update(m *Machine, now time.Duration) {
	c.advanceWork(m, now)
	if m.rate > 0 {
		c.completeAttempts(m, now)
		c.startAttempts(m, now)
	}
	c.setTimer(m, now)
}

func (c *Cluster) completeAttempts(m *Machine, now time.Duration) {
	for i := 0; i < len(m.running); {
		a := m.running[i]
		if a.workLeft <= minWorkLeft {
			m.remove(a)
			m.recordServiceTime(time.Duration(a.Request.Cost / m.rate * float64(time.Second)))
			c.sendCallback(now, a, Completed, 1)
			continue
		}
		if interval := c.scenario.Notifications.Progress.D(); interval > 0 && now >= a.progressAt+interval {
			a.progressAt = now
			c.sendCallback(now, a, Progress, 1-a.workLeft/a.Request.Cost)
		}
		i++
	}
}

func (c *Cluster) startAttempts(m *Machine, now time.Duration) {
	for len(m.queue) > 0 && m.usedSlots+m.queue[0].Request.Slots <= m.slots {
		a := m.queue[0]
		m.queue = slices.Delete(m.queue, 0, 1)
		m.usedSlots += a.Request.Slots
		m.running = append(m.running, a)
		a.state = attemptRunning
		a.progressAt = now
		c.statistics.runStarted(a)
		if c.scenario.Notifications.Start {
			c.sendCallback(now, a, Started, 0)
		}
	}
}

// setTimer schedules the machine's next completion, progress callback or warm-up step, whichever
// comes first.
func (c *Cluster) setTimer(m *Machine, now time.Duration) {
	m.timerNumber++
	at := Never
	if m.rate > 0 {
		for _, a := range m.running {
			// Rounded up by 1 ns, so that no work is left when the timer fires.
			at = min(at, now+time.Duration(a.workLeft/m.rate*float64(time.Second))+1)
			if interval := c.scenario.Notifications.Progress.D(); interval > 0 {
				at = min(at, a.progressAt+interval)
			}
		}
		if m.warmingUp && len(m.running) > 0 {
			at = min(at, now+warmUpStep)
		}
	}
	if at < Never {
		c.timers.Push(max(at, now), machineTimer{machine: m.index, number: m.timerNumber})
	}
}

// nextTime returns the time of the next timer that is not stale, or Never. It discards stale timers
// before it.
func (c *Cluster) nextTime() time.Duration {
	for {
		at, timer, more := c.timers.Peek()
		if !more {
			return Never
		}
		if c.Machines[timer.machine].timerNumber == timer.number {
			return at
		}
		c.timers.Pop()
	}
}

// step handles the next timer. nextTime must have been called, so that the timer is not stale.
func (c *Cluster) step(now time.Duration) {
	_, timer, _ := c.timers.Peek()
	c.update(c.Machines[timer.machine], now)
}

// sendCallback calls OnCallback unless a fault loses the callback.
func (c *Cluster) sendCallback(now time.Duration, a *Attempt, callback Callback, share float64) {
	if drawAny(c.rand, c.lossShares) {
		return
	}
	c.OnCallback(now, a, callback, share)
}

// stopProcess ends a machine's process. All its attempts are lost, which is reported unless the
// machine is silent.
func (c *Cluster) stopProcess(now time.Duration, m *Machine) {
	c.advanceWork(m, now)
	m.down = true
	lost := m.removeAll()
	m.resetLoad()
	for _, a := range lost {
		a.state = attemptEnded
		if m.silentFaults == 0 {
			c.sendCallback(now, a, Lost, 0)
		}
	}
	c.update(m, now)
}

// startProcess starts a machine's process, which begins cold and warms up.
func (c *Cluster) startProcess(now time.Duration, m *Machine) {
	c.advanceWork(m, now)
	m.down = false
	m.StartedAt = now
	m.warmingUp = true
	c.stateChanged(now, m.index, false)
	c.update(m, now)
}
