package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/scenario"
)

// Verdict is what comes back at once when a machine is met.
type Response uint8

const (
	Accepted          Response = iota // it has it
	Rejected                          // no room; not looked at
	FailedAtOnce                      // an error, at once
	ConnectionReset                   // the connection ends after the request has got through; it may run
	ConnectionRefused                 // nobody listens
	NoResponse                        // nothing comes back
)

// Sign is what a machine calls back.
type Callback uint8

const (
	Started Callback = iota
	Progress
	Completed
	Failed
	Returned // unstarted
	Lost     // with the process that had it
)

// Attempt is one forward at a machine.
type Attempt struct {
	Scheduler int
	Request   *Request
	Number    int
	Machine   int

	workLeft   float64       // of its cost
	progressAt time.Duration // when it last told of progress
	state      attemptState
}

type attemptState uint8

const (
	attemptNew attemptState = iota
	attemptQueued
	attemptRunning
	attemptOver
)

// Report is what a machine tells of its load.
type Report struct{ FreeSlots, Waiting, Active, ServiceMs float64 }

// Standing is how a machine stands, in truth or by the list.
type MachineState uint8

const (
	Gone MachineState = iota
	Ready
	Draining
)

// Machine is one worker.
type Machine struct {
	UID       string
	Kind      int
	Zone      int
	StartedAt time.Duration // below zero: long ago
	State     MachineState  // in truth

	index, slots, queueLimit int
	speed, coldFrom          float64
	warmUp                   time.Duration
	cancellation             string
	cold                     bool

	queue, running           []*Attempt
	usedSlots                int
	settledAt                time.Duration // up to when work is accounted for
	rate                     float64       // of a slot since then
	version                  int
	silentFaults, hungFaults int // troubles of that kind that hold
	down                     bool
	slowdown                 float64
	failShare                float64
	meanServiceTime          time.Duration   // a running mean of service times
	pendingReports           []pendingReport // made, and not out yet
	visibleReport            Report
	hasReport                bool // a report is out: until then there is none
	reportedAt               time.Duration
	recentArrivals           []arrival // work that came in of late, while cold
}

type pendingReport struct {
	at     time.Duration
	report Report
}

type arrival struct {
	at   time.Duration
	work float64
}

// Fleet is all machines of a day, also those that come and go.
type Cluster struct {
	Machines []*Machine
	// Tell is called with what machines call back.
	OnCallback func(now time.Duration, a *Attempt, s Callback, share float64)
	// Stirred is called when a machine has come, gone, fallen silent or come back.
	OnChange func(now time.Duration, machine int)

	scenario            scenario.Scenario
	statistics          *Statistics
	rules               *RuleChecker
	stateChanged        func(now time.Duration, machine int, silently bool) // in standing or start
	timers              eventqueue.Queue[machineTimer]
	rand                *rand.Rand
	reportDelay         time.Duration // reports are so late
	reportsAbsentFaults int           // troubles by which there are none
	resetShares         []float64     // shares of attempts that break
	refuseShares        []float64     // shares of connections that are refused
	lossShares          []float64     // shares of call-backs that are lost
}

// due is when something happens at a machine by itself; only the last one that was planned counts.
type machineTimer struct{ machine, version int }

// knot is how long a cold machine's rate holds.
const warmUpStep = 250 * time.Millisecond

func newCluster(s scenario.Scenario, tally *Statistics, judge *RuleChecker) *Cluster {
	f := &Cluster{scenario: s, statistics: tally, rules: judge, rand: newRand(s.Seed, "fleet"),
		OnCallback: func(time.Duration, *Attempt, Callback, float64) {}, stateChanged: func(time.Duration, int, bool) {}}
	n := 0
	for kind, g := range s.Workers {
		for range g.Count {
			zone := n % len(s.Zones)
			if g.Zone != "" {
				zone = slices.Index(s.Zones, g.Zone)
			}
			started := -time.Hour
			if g.StartsCold {
				started = 0
			}
			f.addMachine(kind, zone, started)
			n++
		}
	}
	return f
}

func (c *Cluster) addMachine(kind, zone int, started time.Duration) *Machine {
	g := c.scenario.Workers[kind]
	m := &Machine{UID: fmt.Sprintf("w-%05d", len(c.Machines)), Kind: kind, Zone: zone, StartedAt: started, State: Ready,
		index: len(c.Machines), slots: g.Slots, queueLimit: g.QueueLimit, speed: g.Speed * (1 + g.SpeedSpread*(2*c.rand.Float64()-1)),
		coldFrom: g.ColdFrom, warmUp: g.WarmUp.D(), cancellation: g.Cancellation, slowdown: 1, settledAt: max(0, started), cold: started >= 0,
		reportedAt: -time.Hour}
	c.Machines = append(c.Machines, m)
	m.rate = m.slotRate(m.settledAt)
	return m
}

// warmth is the part of its capacity that a machine has.
func (m *Machine) capacityShare(now time.Duration) float64 {
	if !m.cold {
		return 1
	}
	part := m.coldFrom + (1-m.coldFrom)*float64(now-m.StartedAt)/float64(m.warmUp)
	if part >= 1 {
		m.cold = false
		return 1
	}
	return part
}

// pace is how fast a slot works.
func (m *Machine) slotRate(now time.Duration) float64 {
	if m.silentFaults > 0 || m.hungFaults > 0 || m.down {
		return 0
	}
	return m.speed * m.capacityShare(now) / m.slowdown
}

// settle does the work of the time that has passed.
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

// plan finds when something happens at a machine by itself.
func (c *Cluster) scheduleNext(m *Machine, now time.Duration) {
	m.version++
	at := Never
	if m.rate > 0 {
		for _, a := range m.running {
			// Rounded up, so that nothing is left when the time has come.
			at = min(at, now+time.Duration(a.workLeft/m.rate*float64(time.Second))+1)
			if p := c.scenario.Notifications.Progress.D(); p > 0 {
				at = min(at, a.progressAt+p)
			}
		}
		if m.cold && len(m.running) > 0 {
			at = min(at, now+warmUpStep)
		}
	}
	if at < Never {
		c.timers.Push(max(at, now), machineTimer{m.index, m.version})
	}
}

func (c *Cluster) nextTime() time.Duration {
	for {
		at, d, more := c.timers.Peek()
		if !more {
			return Never
		}
		if c.Machines[d.machine].version == d.version {
			return at
		}
		c.timers.Pop()
	}
}

// step lets the next thing happen.
func (c *Cluster) step(now time.Duration) {
	_, d, _ := c.timers.Peek()
	c.update(c.Machines[d.machine], now)
}

// leastLeft is the work below which an attempt is done, as sums of parts are a little off.
const minWorkLeft = 1e-8

// turn brings a machine up to date: ends, notes, starts.
func (c *Cluster) update(m *Machine, now time.Duration) {
	c.settle(m, now)
	if m.rate > 0 {
		for i := 0; i < len(m.running); {
			a := m.running[i]
			if a.workLeft <= minWorkLeft {
				c.removeAttempt(m, a)
				m.meanServiceTime += (time.Duration(a.Request.Cost/m.rate*float64(time.Second)) - m.meanServiceTime) / 8
				c.callBack(now, a, Completed, 1)
				continue
			}
			if p := c.scenario.Notifications.Progress.D(); p > 0 && now >= a.progressAt+p {
				a.progressAt = now
				c.callBack(now, a, Progress, 1-a.workLeft/a.Request.Cost)
			}
			i++
		}
		for len(m.queue) > 0 && m.usedSlots+m.queue[0].Request.Slots <= m.slots {
			a := m.queue[0]
			m.queue = slices.Delete(m.queue, 0, 1)
			m.usedSlots += a.Request.Slots
			m.running = append(m.running, a)
			a.state, a.progressAt = attemptRunning, now
			c.statistics.runStarted(a)
			if c.scenario.Notifications.Start {
				c.callBack(now, a, Started, 0)
			}
		}
	}
	c.scheduleNext(m, now)
}

// leave takes an attempt off a machine.
func (c *Cluster) removeAttempt(m *Machine, a *Attempt) {
	if at := slices.Index(m.running, a); at >= 0 {
		m.usedSlots -= a.Request.Slots
		m.running = slices.Delete(m.running, at, at+1)
	} else if at := slices.Index(m.queue, a); at >= 0 {
		m.queue = slices.Delete(m.queue, at, at+1)
	}
	a.state = attemptOver
}

// tell calls back, if nothing comes between.
func (c *Cluster) callBack(now time.Duration, a *Attempt, s Callback, share float64) {
	for _, part := range c.lossShares {
		if c.rand.Float64() < part {
			return
		}
	}
	c.OnCallback(now, a, s, share)
}

// Connect says whether a new connection to a machine comes up.
func (c *Cluster) Connect(machine int) Response {
	m := c.Machines[machine]
	switch {
	case m.silentFaults > 0:
		return NoResponse
	case m.down || m.State == Gone:
		return ConnectionRefused
	}
	for _, part := range c.refuseShares {
		if c.rand.Float64() < part {
			return ConnectionRefused
		}
	}
	return Accepted
}

// Take hands an attempt to a machine.
func (c *Cluster) Submit(now time.Duration, a *Attempt) Response {
	m := c.Machines[a.Machine]
	if m.silentFaults > 0 {
		return NoResponse
	}
	if m.down || m.State == Gone {
		return ConnectionRefused
	}
	c.statistics.Forwards++
	if c.checkOverload(now, m, a); m.down {
		return ConnectionReset
	}
	if m.failShare > 0 && c.rand.Float64() < m.failShare {
		a.state = attemptOver
		return FailedAtOnce
	}
	if a.Request.Slots > m.slots || len(m.queue) >= m.queueLimit {
		a.state = attemptOver
		return Rejected
	}
	a.workLeft, a.state = a.Request.Cost, attemptQueued
	m.queue = append(m.queue, a)
	c.update(m, now)
	for _, part := range c.resetShares {
		if c.rand.Float64() < part {
			return ConnectionReset
		}
	}
	return Accepted
}

// press counts what a cold machine is sent, and has it fall over where that is too much.
func (c *Cluster) checkOverload(now time.Duration, m *Machine, a *Attempt) {
	warmth := m.capacityShare(now)
	if !m.cold {
		m.recentArrivals = nil
		return
	}
	span := c.scenario.Rules.OverloadWindow.D()
	m.recentArrivals = append(m.recentArrivals, arrival{now, a.Request.Work()})
	for m.recentArrivals[0].at <= now-span {
		m.recentArrivals = m.recentArrivals[1:]
	}
	sum := 0.0
	for _, r := range m.recentArrivals {
		sum += r.work
	}
	most := c.scenario.Rules.OverloadMultiple * float64(m.slots) * m.speed * warmth / m.slowdown * span.Seconds()
	if len(m.recentArrivals) < 2 { // a single one can't be split by anybody
		return
	}
	c.statistics.MaxWarmUpLoad = max(c.statistics.MaxWarmUpLoad, sum/most)
	if sum > most {
		c.rules.overloaded(now, m, a, sum, most)
		c.stopProcess(now, m)
		c.stateChanged(now, m.index, false)
	}
}

// Cancel stops an attempt as far as its machine does, and tells whether it had begun.
func (c *Cluster) Cancel(now time.Duration, a *Attempt) {
	m := c.Machines[a.Machine]
	if a.state != attemptQueued && a.state != attemptRunning || m.silentFaults > 0 || m.hungFaults > 0 || m.cancellation == "none" ||
		a.state == attemptRunning && m.cancellation != "all" {
		return
	}
	c.settle(m, now)
	c.removeAttempt(m, a)
	c.update(m, now)
}

// Probe asks a machine for its report; nil: it tells none.
func (c *Cluster) HealthCheck(now time.Duration, machine int) (*Report, Response) {
	m := c.Machines[machine]
	switch {
	case m.silentFaults > 0 || m.hungFaults > 0:
		return nil, NoResponse
	case m.down || m.State == Gone:
		return nil, ConnectionRefused
	}
	if every := c.scenario.LoadReports.Interval.D(); now >= m.reportedAt+every {
		m.reportedAt = now - now%every
		m.pendingReports = append(m.pendingReports, pendingReport{m.reportedAt, Report{FreeSlots: float64(m.slots - m.usedSlots), Waiting: float64(len(m.queue)),
			Active: float64(len(m.running) + len(m.queue)), ServiceMs: m.meanServiceTime.Seconds() * 1e3}})
	}
	for len(m.pendingReports) > 0 && m.pendingReports[0].at+c.scenario.LoadReports.Delay.D()+c.reportDelay <= now {
		m.visibleReport, m.pendingReports, m.hasReport = m.pendingReports[0].report, m.pendingReports[1:], true
	}
	if c.reportsAbsentFaults > 0 || len(c.scenario.LoadReports.Fields) == 0 || !m.hasReport {
		return nil, Accepted
	}
	r := m.visibleReport
	return &r, Accepted
}

// die ends a machine's process with all that it has.
func (c *Cluster) stopProcess(now time.Duration, m *Machine) {
	c.settle(m, now)
	m.down = true
	held := append(slices.Clone(m.running), m.queue...)
	m.running, m.queue, m.usedSlots, m.recentArrivals, m.pendingReports, m.visibleReport, m.hasReport = nil, nil, 0, nil, nil, Report{}, false
	for _, a := range held {
		a.state = attemptOver
		if m.silentFaults == 0 {
			c.callBack(now, a, Lost, 0)
		}
	}
	c.update(m, now)
}

// start brings a machine's process back, cold.
func (c *Cluster) startProcess(now time.Duration, m *Machine) {
	c.settle(m, now)
	m.down, m.StartedAt, m.cold = false, now, true
	c.stateChanged(now, m.index, false)
	c.update(m, now)
}

// Listens tells whether there is a process at a machine that its network reaches.
func (m *Machine) Reachable() bool { return !m.down && m.State != Gone && m.silentFaults == 0 }

// Silent tells whether a machine has vanished from the network.
func (m *Machine) Silent() bool { return m.silentFaults > 0 && m.State != Gone }

// Capacity is what all machines can do: seconds of work in a second.
func (c *Cluster) Capacity() (sum float64) {
	for _, m := range c.Machines {
		if m.State == Ready {
			sum += float64(m.slots) * m.speed
		}
	}
	return sum
}
