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
	// warmUpStep is how long the rate of a warming machine is taken as constant.
	warmUpStep = 250 * time.Millisecond
	// minWorkLeft is the work below which an attempt is complete, in seconds: sums of parts are a little off.
	minWorkLeft = 1e-8
)

// Cluster is all machines of a run, also those that come and go.
type Cluster struct {
	Machines []*Machine
	// OnCallback is called with what machines call back; share is how much of the attempt is done.
	OnCallback func(now time.Duration, a *Attempt, callback Callback, share float64)
	// OnChange is called when a machine has started or stopped, or its state has changed.
	OnChange func(now time.Duration, machine int)

	scenario     scenario.Scenario
	statistics   *Statistics
	rules        *RuleChecker
	stateChanged func(now time.Duration, machine int, silently bool)
	timers       eventqueue.Queue[machineTimer]
	rand         *rand.Rand

	// By active faults.
	reportDelay         time.Duration
	reportsAbsentFaults int
	resetShares         []float64 // of attempts
	refuseShares        []float64 // of connections
	lossShares          []float64 // of callbacks
}

// machineTimer is when something happens at a machine next. Only the machine's last timer counts.
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
			startedAt := longAgo
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

// Capacity is what the ready machines can do when warm, in slot seconds at speed 1 a second.
func (c *Cluster) Capacity() float64 {
	sum := 0.0
	for _, m := range c.Machines {
		if m.State == Ready {
			sum += float64(m.slots) * m.speed
		}
	}
	return sum
}

// settle does the work of the time since the machine was settled last.
func (c *Cluster) settle(m *Machine, now time.Duration) {
	if now > m.settledAt {
		done := m.rate * (now - m.settledAt).Seconds()
		for _, a := range m.running {
			part := min(done, a.workLeft)
			a.workLeft -= part
			c.statistics.workDone += part * float64(a.Request.Slots)
		}
		m.settledAt = now
	}
	m.rate = m.slotRate(now)
}

// update brings a machine up to date: attempts complete, report progress and start.
func (c *Cluster) update(m *Machine, now time.Duration) {
	c.settle(m, now)
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
			m.observe(time.Duration(a.Request.Cost / m.rate * float64(time.Second)))
			c.callBack(now, a, Completed, 1)
			continue
		}
		if interval := c.scenario.Notifications.Progress.D(); interval > 0 && now >= a.progressAt+interval {
			a.progressAt = now
			c.callBack(now, a, Progress, 1-a.workLeft/a.Request.Cost)
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
			c.callBack(now, a, Started, 0)
		}
	}
}

// setTimer sets the machine's timer to its next completion, progress or step of its warm-up.
func (c *Cluster) setTimer(m *Machine, now time.Duration) {
	m.timer++
	at := Never
	if m.rate > 0 {
		for _, a := range m.running {
			// Rounded up, so that no work is left when the time has come.
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
		c.timers.Push(max(at, now), machineTimer{machine: m.index, number: m.timer})
	}
}

// nextTime is the time of the next timer that counts. It drops those before it.
func (c *Cluster) nextTime() time.Duration {
	for {
		at, timer, more := c.timers.Peek()
		if !more {
			return Never
		}
		if c.Machines[timer.machine].timer == timer.number {
			return at
		}
		c.timers.Pop()
	}
}

// step handles the next timer, which nextTime has found.
func (c *Cluster) step(now time.Duration) {
	_, timer, _ := c.timers.Peek()
	c.update(c.Machines[timer.machine], now)
}

// callBack calls back, unless a fault loses the callback.
func (c *Cluster) callBack(now time.Duration, a *Attempt, callback Callback, share float64) {
	if happens(c.rand, c.lossShares) {
		return
	}
	c.OnCallback(now, a, callback, share)
}

// stopProcess ends a machine's process with all its attempts.
func (c *Cluster) stopProcess(now time.Duration, m *Machine) {
	c.settle(m, now)
	m.down = true
	lost := m.removeAll()
	m.forgetLoad()
	for _, a := range lost {
		a.state = attemptOver
		if m.silentFaults == 0 {
			c.callBack(now, a, Lost, 0)
		}
	}
	c.update(m, now)
}

// startProcess starts a machine's process, which is cold.
func (c *Cluster) startProcess(now time.Duration, m *Machine) {
	c.settle(m, now)
	m.down = false
	m.StartedAt = now
	m.warmingUp = true
	c.stateChanged(now, m.index, false)
	c.update(m, now)
}
