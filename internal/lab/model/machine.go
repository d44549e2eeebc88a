package model

import (
	"slices"
	"time"

	"stoatweir/internal/lab/scenario"
)

// MachineState is the state of a machine, in truth or by the endpoint list.
type MachineState uint8

// The states of a machine.
const (
	Gone MachineState = iota
	Ready
	Draining
)

const (
	// longAgo is the start time of machines that were warm when the run began.
	longAgo = -time.Hour
	// serviceTimeWindow is how many attempts the running mean of service times spans, roughly.
	serviceTimeWindow = 8
)

// LoadReport is what a machine reports of its load.
type LoadReport struct {
	FreeSlots float64
	Waiting   float64 // attempts in its queue
	Active    float64 // attempts in its queue and running
	ServiceMs float64 // recent mean
}

// pendingReport is a load report that is not visible yet.
type pendingReport struct {
	at     time.Duration // when it was made
	report LoadReport
}

// arrival is an attempt that a warming machine was sent.
type arrival struct {
	at   time.Duration
	work float64 // slot seconds at speed 1
}

// Machine is what one worker runs on. It serves its queue in order, as slots become free.
type Machine struct {
	UID       string
	Kind      int // index of its group
	Zone      int
	StartedAt time.Duration // below zero: before the run
	State     MachineState  // in truth

	index        int
	slots        int
	queueLimit   int
	speed        float64
	coldFrom     float64 // share of its capacity right after a start
	warmUp       time.Duration
	cancellation string

	queue     []*Attempt
	running   []*Attempt
	usedSlots int
	settledAt time.Duration // up to when the running attempts' work is done
	rate      float64       // of a slot since then; 1: speed 1
	timer     int           // number of the timer that counts

	warmingUp       bool
	down            bool // its process does not run
	silentFaults    int  // active faults of that kind
	hungFaults      int  // active faults of that kind
	slowdown        float64
	failShare       float64 // of attempts, which fail at once
	meanServiceTime time.Duration
	recentArrivals  []arrival // within the overload window, while warming up

	pendingReports []pendingReport
	visibleReport  LoadReport
	hasReport      bool          // a report is visible
	reportedAt     time.Duration // when the last report was made
}

func newMachine(index, kind, zone int, group scenario.WorkerGroup, speed float64, startedAt time.Duration) *Machine {
	m := &Machine{
		UID:          machineUID(index),
		Kind:         kind,
		Zone:         zone,
		StartedAt:    startedAt,
		State:        Ready,
		index:        index,
		slots:        group.Slots,
		queueLimit:   group.QueueLimit,
		speed:        speed,
		coldFrom:     group.ColdFrom,
		warmUp:       group.WarmUp.D(),
		cancellation: group.Cancellation,
		slowdown:     1,
		settledAt:    max(0, startedAt),
		warmingUp:    startedAt >= 0,
		reportedAt:   longAgo,
	}
	m.rate = m.slotRate(m.settledAt)
	return m
}

// Reachable reports whether there is a process on the machine that the network reaches.
func (m *Machine) Reachable() bool { return !m.down && m.State != Gone && m.silentFaults == 0 }

// Silent reports whether the machine has vanished from the network.
func (m *Machine) Silent() bool { return m.silentFaults > 0 && m.State != Gone }

// capacityShare is the share of its capacity that the machine has, which grows while it warms up.
func (m *Machine) capacityShare(now time.Duration) float64 {
	if !m.warmingUp {
		return 1
	}
	share := m.coldFrom + (1-m.coldFrom)*float64(now-m.StartedAt)/float64(m.warmUp)
	if share >= 1 {
		m.warmingUp = false
		return 1
	}
	return share
}

// slotRate is how fast a slot works.
func (m *Machine) slotRate(now time.Duration) float64 {
	if m.silentFaults > 0 || m.hungFaults > 0 || m.down {
		return 0
	}
	return m.speed * m.capacityShare(now) / m.slowdown
}

// remove takes an attempt off the machine.
func (m *Machine) remove(a *Attempt) {
	if at := slices.Index(m.running, a); at >= 0 {
		m.usedSlots -= a.Request.Slots
		m.running = slices.Delete(m.running, at, at+1)
	} else if at := slices.Index(m.queue, a); at >= 0 {
		m.queue = slices.Delete(m.queue, at, at+1)
	}
	a.state = attemptOver
}

// removeAll takes all attempts off the machine and returns them, the running ones first.
func (m *Machine) removeAll() []*Attempt {
	all := append(slices.Clone(m.running), m.queue...)
	m.running = nil
	m.queue = nil
	m.usedSlots = 0
	return all
}

// observe adds a service time to the running mean.
func (m *Machine) observe(serviceTime time.Duration) {
	m.meanServiceTime += (serviceTime - m.meanServiceTime) / serviceTimeWindow
}

// cancels reports whether the machine honors the cancellation of an attempt.
func (m *Machine) cancels(a *Attempt) bool {
	if m.silentFaults > 0 || m.hungFaults > 0 {
		return false
	}
	switch a.state {
	case attemptQueued:
		return m.cancellation != scenario.CancelNone
	case attemptRunning:
		return m.cancellation == scenario.CancelAll
	}
	return false
}

// makeReport makes a load report if the last one is old enough.
func (m *Machine) makeReport(now, interval time.Duration) {
	if now < m.reportedAt+interval {
		return
	}
	m.reportedAt = now - now%interval
	m.pendingReports = append(m.pendingReports, pendingReport{at: m.reportedAt, report: LoadReport{
		FreeSlots: float64(m.slots - m.usedSlots),
		Waiting:   float64(len(m.queue)),
		Active:    float64(len(m.running) + len(m.queue)),
		ServiceMs: m.meanServiceTime.Seconds() * 1e3,
	}})
}

// publishReports makes the reports visible that are old enough.
func (m *Machine) publishReports(now, delay time.Duration) {
	for len(m.pendingReports) > 0 && m.pendingReports[0].at+delay <= now {
		m.visibleReport = m.pendingReports[0].report
		m.hasReport = true
		m.pendingReports = m.pendingReports[1:]
	}
}

// forgetLoad drops what the machine's process knew.
func (m *Machine) forgetLoad() {
	m.recentArrivals = nil
	m.pendingReports = nil
	m.visibleReport = LoadReport{}
	m.hasReport = false
}
