package model

import (
	"slices"
	"time"

	"stoatweir/internal/lab/scenario"
)

// MachineState is the state of a machine: the actual one, or the one in the endpoint list.
type MachineState uint8

// The states of a machine.
const (
	Gone MachineState = iota
	Ready
	Draining
)

const (
	// longBeforeRun is the start time of machines that are warm when the run begins. As the initial
	// time of the last load report, it makes the first health check produce a report.
	longBeforeRun = -time.Hour
	// serviceTimeWindow is the approximate number of attempts that the running mean of service
	// times covers.
	serviceTimeWindow = 8
)

// LoadReport is the load that a machine reports with a health check.
type LoadReport struct {
	FreeSlots float64
	Queued    float64 // attempts in the queue
	InFlight  float64 // attempts in the queue or running
	ServiceMs float64 // exponentially weighted mean of recent service times, in milliseconds
}

// pendingReport is a load report that is not published yet.
type pendingReport struct {
	at     time.Duration // when it was made
	report LoadReport
}

// arrival is an attempt that a machine has received while it warms up.
type arrival struct {
	at   time.Duration
	work float64 // slot seconds at speed 1
}

// Machine is a machine that runs one worker process. It serves its queue in order, as slots become
// free.
type Machine struct {
	UID       string
	Kind      int // index of its worker group
	Zone      int
	StartedAt time.Duration // of the process; negative: before the run
	State     MachineState  // the actual state, whatever the endpoint list has

	index        int
	slots        int
	queueLimit   int
	speed        float64
	coldFrom     float64 // share of its capacity that it has right after a start
	warmUp       time.Duration
	cancellation string

	queue         []*Attempt
	running       []*Attempt
	usedSlots     int
	workDoneUntil time.Duration // the time up to which workLeft and rate are current
	rate          float64       // work per slot from then on, in seconds at speed 1 per second
	timerNumber   int           // number of the current timer; timers with another number are stale

	warmingUp       bool
	down            bool    // its process is not running
	silentFaults    int     // active faults that take it off the network
	hungFaults      int     // active faults during which it is hung
	slowdown        float64 // factor by which faults slow it down; 1: none
	failShare       float64 // share of its attempts that fail at once
	meanServiceTime time.Duration
	recentArrivals  []arrival // within the overload window, while warming up

	pendingReports []pendingReport
	visibleReport  LoadReport
	hasReport      bool          // visibleReport is set
	reportedAt     time.Duration // start of the report interval in which the last report was made
}

func newMachine(index, kind, zone int, group scenario.WorkerGroup, speed float64, startedAt time.Duration) *Machine {
	m := &Machine{
		UID:           machineUID(index),
		Kind:          kind,
		Zone:          zone,
		StartedAt:     startedAt,
		State:         Ready,
		index:         index,
		slots:         group.Slots,
		queueLimit:    group.QueueLimit,
		speed:         speed,
		coldFrom:      group.ColdFrom,
		warmUp:        group.WarmUp.D(),
		cancellation:  group.Cancellation,
		slowdown:      1,
		workDoneUntil: max(0, startedAt),
		warmingUp:     startedAt >= 0,
		reportedAt:    longBeforeRun,
	}
	m.rate = m.slotRate(m.workDoneUntil)
	return m
}

// Reachable reports whether the machine's process is running and can be reached over the network.
func (m *Machine) Reachable() bool { return !m.down && m.State != Gone && m.silentFaults == 0 }

// Silent reports whether a fault has taken the machine off the network.
func (m *Machine) Silent() bool { return m.silentFaults > 0 && m.State != Gone }

// capacityShare returns the share of its full capacity that the machine has at a time. It grows
// linearly during the warm-up and clears warmingUp at its end.
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

// slotRate returns the work that each slot does, in seconds at speed 1 per second.
func (m *Machine) slotRate(now time.Duration) float64 {
	if m.silentFaults > 0 || m.hungFaults > 0 || m.down {
		return 0
	}
	return m.speed * m.capacityShare(now) / m.slowdown
}

// remove removes an attempt from the running ones or from the queue.
func (m *Machine) remove(a *Attempt) {
	if index := slices.Index(m.running, a); index >= 0 {
		m.usedSlots -= a.Request.Slots
		m.running = slices.Delete(m.running, index, index+1)
	} else if index := slices.Index(m.queue, a); index >= 0 {
		m.queue = slices.Delete(m.queue, index, index+1)
	}
	a.state = attemptEnded
}

// removeAll removes all attempts and returns them, the running ones first.
func (m *Machine) removeAll() []*Attempt {
	all := append(slices.Clone(m.running), m.queue...)
	m.running = nil
	m.queue = nil
	m.usedSlots = 0
	return all
}

// recordServiceTime adds a service time to the exponentially weighted mean.
func (m *Machine) recordServiceTime(serviceTime time.Duration) {
	m.meanServiceTime += (serviceTime - m.meanServiceTime) / serviceTimeWindow
}

// cancels reports whether the machine stops an attempt that is cancelled.
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

// makeReport makes a load report unless one was already made in the current report interval.
func (m *Machine) makeReport(now, interval time.Duration) {
	if now < m.reportedAt+interval {
		return
	}
	m.reportedAt = now - now%interval
	m.pendingReports = append(m.pendingReports, pendingReport{at: m.reportedAt, report: LoadReport{
		FreeSlots: float64(m.slots - m.usedSlots),
		Queued:    float64(len(m.queue)),
		InFlight:  float64(len(m.running) + len(m.queue)),
		ServiceMs: m.meanServiceTime.Seconds() * 1e3,
	}})
}

// publishReports makes those reports visible that were made at least delay ago.
func (m *Machine) publishReports(now, delay time.Duration) {
	for len(m.pendingReports) > 0 && m.pendingReports[0].at+delay <= now {
		m.visibleReport = m.pendingReports[0].report
		m.hasReport = true
		m.pendingReports = m.pendingReports[1:]
	}
}

// resetLoad clears the load state that is lost when the machine's process ends.
func (m *Machine) resetLoad() {
	m.recentArrivals = nil
	m.pendingReports = nil
	m.visibleReport = LoadReport{}
	m.hasReport = false
}
