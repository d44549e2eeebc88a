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
type Verdict uint8

const (
	Taken        Verdict = iota // it has it
	TurnedAway                  // no room; not looked at
	Fails                       // an error, at once
	Breaks                      // the connection ends after the request has got through; it may run
	NoConnection                // nobody listens
	NoWord                      // nothing comes back
)

// Sign is what a machine calls back.
type Sign uint8

const (
	Started Sign = iota
	Progress
	Done
	Failed
	Returned // unstarted
	Lost     // with the process that had it
)

// Attempt is one forward at a machine.
type Attempt struct {
	Scheduler int
	Job       *Job
	Forward   int
	Machine   int

	left  float64       // of its cost
	noted time.Duration // when it last told of progress
	state attemptState
}

type attemptState uint8

const (
	away attemptState = iota
	waiting
	running
	over
)

// Report is what a machine tells of its load.
type Report struct{ FreeSlots, Waiting, Active, ServiceMs float64 }

// Standing is how a machine stands, in truth or by the list.
type Standing uint8

const (
	Gone Standing = iota
	Ready
	Draining
)

// Machine is one worker.
type Machine struct {
	UID       string
	Kind      int
	Zone      int
	StartedAt time.Duration // below zero: long ago
	Standing  Standing      // in truth

	index, slots, queueMost int
	speed, coldFrom         float64
	warm                    time.Duration
	cancels                 string
	cold                    bool

	queue, work  []*Attempt
	used         int
	at           time.Duration // up to when work is accounted for
	rate         float64       // of a slot since then
	version      int
	silent, hung int // troubles of that kind that hold
	down         bool
	slow         float64
	failing      float64
	served       time.Duration // a running mean of service times
	reports      []reported    // made, and not out yet
	shown        Report
	tells        bool // a report is out: until then there is none
	reportedAt   time.Duration
	recent       []arrived // work that came in of late, while cold
}

type reported struct {
	at time.Duration
	r  Report
}

type arrived struct {
	at   time.Duration
	work float64
}

// Fleet is all machines of a day, also those that come and go.
type Fleet struct {
	Machines []*Machine
	// Tell is called with what machines call back.
	Tell func(now time.Duration, a *Attempt, s Sign, share float64)
	// Stirred is called when a machine has come, gone, fallen silent or come back.
	Stirred func(now time.Duration, machine int)

	s        scenario.Scenario
	tally    *Tally
	judge    *Judge
	changed  func(now time.Duration, machine int, silently bool) // in standing or start
	due      eventqueue.Agenda[due]
	chance   *rand.Rand
	late     time.Duration // reports are so late
	absent   int           // troubles by which there are none
	broken   []float64     // shares of attempts that break
	refusals []float64     // shares of connections that are refused
	lost     []float64     // shares of call-backs that are lost
}

// due is when something happens at a machine by itself; only the last one that was planned counts.
type due struct{ machine, version int }

// knot is how long a cold machine's rate holds.
const knot = 250 * time.Millisecond

func newFleet(s scenario.Scenario, tally *Tally, judge *Judge) *Fleet {
	f := &Fleet{s: s, tally: tally, judge: judge, chance: chance(s.Seed, "fleet"),
		Tell: func(time.Duration, *Attempt, Sign, float64) {}, changed: func(time.Duration, int, bool) {}}
	n := 0
	for kind, g := range s.Workers {
		for range g.Count {
			zone := n % len(s.Zones)
			if g.Zone != "" {
				zone = slices.Index(s.Zones, g.Zone)
			}
			started := -time.Hour
			if g.Cold {
				started = 0
			}
			f.add(kind, zone, started)
			n++
		}
	}
	return f
}

func (f *Fleet) add(kind, zone int, started time.Duration) *Machine {
	g := f.s.Workers[kind]
	m := &Machine{UID: fmt.Sprintf("w-%05d", len(f.Machines)), Kind: kind, Zone: zone, StartedAt: started, Standing: Ready,
		index: len(f.Machines), slots: g.Slots, queueMost: g.Queue, speed: g.Speed * (1 + g.Spread*(2*f.chance.Float64()-1)),
		coldFrom: g.ColdFrom, warm: g.Warm.D(), cancels: g.Cancels, slow: 1, at: max(0, started), cold: started >= 0,
		reportedAt: -time.Hour}
	f.Machines = append(f.Machines, m)
	m.rate = m.pace(m.at)
	return m
}

// warmth is the part of its capacity that a machine has.
func (m *Machine) warmth(now time.Duration) float64 {
	if !m.cold {
		return 1
	}
	part := m.coldFrom + (1-m.coldFrom)*float64(now-m.StartedAt)/float64(m.warm)
	if part >= 1 {
		m.cold = false
		return 1
	}
	return part
}

// pace is how fast a slot works.
func (m *Machine) pace(now time.Duration) float64 {
	if m.silent > 0 || m.hung > 0 || m.down {
		return 0
	}
	return m.speed * m.warmth(now) / m.slow
}

// settle does the work of the time that has passed.
func (f *Fleet) settle(m *Machine, now time.Duration) {
	if now > m.at {
		done := m.rate * (now - m.at).Seconds()
		for _, a := range m.work {
			part := min(done, a.left)
			a.left -= part
			f.tally.worked += part * float64(a.Job.Slots)
		}
		m.at = now
	}
	m.rate = m.pace(now)
}

// plan finds when something happens at a machine by itself.
func (f *Fleet) plan(m *Machine, now time.Duration) {
	m.version++
	at := Never
	if m.rate > 0 {
		for _, a := range m.work {
			// Rounded up, so that nothing is left when the time has come.
			at = min(at, now+time.Duration(a.left/m.rate*float64(time.Second))+1)
			if p := f.s.Signs.Progress.D(); p > 0 {
				at = min(at, a.noted+p)
			}
		}
		if m.cold && len(m.work) > 0 {
			at = min(at, now+knot)
		}
	}
	if at < Never {
		f.due.Put(max(at, now), due{m.index, m.version})
	}
}

func (f *Fleet) next() time.Duration {
	for {
		at, d, more := f.due.First()
		if !more {
			return Never
		}
		if f.Machines[d.machine].version == d.version {
			return at
		}
		f.due.Pop()
	}
}

// step lets the next thing happen.
func (f *Fleet) step(now time.Duration) {
	_, d, _ := f.due.First()
	f.turn(f.Machines[d.machine], now)
}

// leastLeft is the work below which an attempt is done, as sums of parts are a little off.
const leastLeft = 1e-8

// turn brings a machine up to date: ends, notes, starts.
func (f *Fleet) turn(m *Machine, now time.Duration) {
	f.settle(m, now)
	if m.rate > 0 {
		for i := 0; i < len(m.work); {
			a := m.work[i]
			if a.left <= leastLeft {
				f.leave(m, a)
				m.served += (time.Duration(a.Job.Cost/m.rate*float64(time.Second)) - m.served) / 8
				f.tell(now, a, Done, 1)
				continue
			}
			if p := f.s.Signs.Progress.D(); p > 0 && now >= a.noted+p {
				a.noted = now
				f.tell(now, a, Progress, 1-a.left/a.Job.Cost)
			}
			i++
		}
		for len(m.queue) > 0 && m.used+m.queue[0].Job.Slots <= m.slots {
			a := m.queue[0]
			m.queue = slices.Delete(m.queue, 0, 1)
			m.used += a.Job.Slots
			m.work = append(m.work, a)
			a.state, a.noted = running, now
			f.tally.began(a)
			if f.s.Signs.Start {
				f.tell(now, a, Started, 0)
			}
		}
	}
	f.plan(m, now)
}

// leave takes an attempt off a machine.
func (f *Fleet) leave(m *Machine, a *Attempt) {
	if at := slices.Index(m.work, a); at >= 0 {
		m.used -= a.Job.Slots
		m.work = slices.Delete(m.work, at, at+1)
	} else if at := slices.Index(m.queue, a); at >= 0 {
		m.queue = slices.Delete(m.queue, at, at+1)
	}
	a.state = over
}

// tell calls back, if nothing comes between.
func (f *Fleet) tell(now time.Duration, a *Attempt, s Sign, share float64) {
	for _, part := range f.lost {
		if f.chance.Float64() < part {
			return
		}
	}
	f.Tell(now, a, s, share)
}

// Connect says whether a new connection to a machine comes up.
func (f *Fleet) Connect(machine int) Verdict {
	m := f.Machines[machine]
	switch {
	case m.silent > 0:
		return NoWord
	case m.down || m.Standing == Gone:
		return NoConnection
	}
	for _, part := range f.refusals {
		if f.chance.Float64() < part {
			return NoConnection
		}
	}
	return Taken
}

// Take hands an attempt to a machine.
func (f *Fleet) Take(now time.Duration, a *Attempt) Verdict {
	m := f.Machines[a.Machine]
	if m.silent > 0 {
		return NoWord
	}
	if m.down || m.Standing == Gone {
		return NoConnection
	}
	f.tally.Forwards++
	if f.press(now, m, a); m.down {
		return Breaks
	}
	if m.failing > 0 && f.chance.Float64() < m.failing {
		a.state = over
		return Fails
	}
	if a.Job.Slots > m.slots || len(m.queue) >= m.queueMost {
		a.state = over
		return TurnedAway
	}
	a.left, a.state = a.Job.Cost, waiting
	m.queue = append(m.queue, a)
	f.turn(m, now)
	for _, part := range f.broken {
		if f.chance.Float64() < part {
			return Breaks
		}
	}
	return Taken
}

// press counts what a cold machine is sent, and has it fall over where that is too much.
func (f *Fleet) press(now time.Duration, m *Machine, a *Attempt) {
	warmth := m.warmth(now)
	if !m.cold {
		m.recent = nil
		return
	}
	span := f.s.Rules.Fall.D()
	m.recent = append(m.recent, arrived{now, a.Job.Work()})
	for m.recent[0].at <= now-span {
		m.recent = m.recent[1:]
	}
	sum := 0.0
	for _, r := range m.recent {
		sum += r.work
	}
	most := f.s.Rules.FallMultiple * float64(m.slots) * m.speed * warmth / m.slow * span.Seconds()
	if len(m.recent) < 2 { // a single one can't be split by anybody
		return
	}
	f.tally.ColdUse = max(f.tally.ColdUse, sum/most)
	if sum > most {
		f.judge.pushed(now, m, a, sum, most)
		f.die(now, m)
		f.changed(now, m.index, false)
	}
}

// Cancel stops an attempt as far as its machine does, and tells whether it had begun.
func (f *Fleet) Cancel(now time.Duration, a *Attempt) {
	m := f.Machines[a.Machine]
	if a.state != waiting && a.state != running || m.silent > 0 || m.hung > 0 || m.cancels == "none" ||
		a.state == running && m.cancels != "all" {
		return
	}
	f.settle(m, now)
	f.leave(m, a)
	f.turn(m, now)
}

// Probe asks a machine for its report; nil: it tells none.
func (f *Fleet) Probe(now time.Duration, machine int) (*Report, Verdict) {
	m := f.Machines[machine]
	switch {
	case m.silent > 0 || m.hung > 0:
		return nil, NoWord
	case m.down || m.Standing == Gone:
		return nil, NoConnection
	}
	if every := f.s.Reports.Every.D(); now >= m.reportedAt+every {
		m.reportedAt = now - now%every
		m.reports = append(m.reports, reported{m.reportedAt, Report{FreeSlots: float64(m.slots - m.used), Waiting: float64(len(m.queue)),
			Active: float64(len(m.work) + len(m.queue)), ServiceMs: m.served.Seconds() * 1e3}})
	}
	for len(m.reports) > 0 && m.reports[0].at+f.s.Reports.Delay.D()+f.late <= now {
		m.shown, m.reports, m.tells = m.reports[0].r, m.reports[1:], true
	}
	if f.absent > 0 || len(f.s.Reports.Fields) == 0 || !m.tells {
		return nil, Taken
	}
	r := m.shown
	return &r, Taken
}

// die ends a machine's process with all that it has.
func (f *Fleet) die(now time.Duration, m *Machine) {
	f.settle(m, now)
	m.down = true
	held := append(slices.Clone(m.work), m.queue...)
	m.work, m.queue, m.used, m.recent, m.reports, m.shown, m.tells = nil, nil, 0, nil, nil, Report{}, false
	for _, a := range held {
		a.state = over
		if m.silent == 0 {
			f.tell(now, a, Lost, 0)
		}
	}
	f.turn(m, now)
}

// start brings a machine's process back, cold.
func (f *Fleet) start(now time.Duration, m *Machine) {
	f.settle(m, now)
	m.down, m.StartedAt, m.cold = false, now, true
	f.changed(now, m.index, false)
	f.turn(m, now)
}

// Listens tells whether there is a process at a machine that its network reaches.
func (m *Machine) Listens() bool { return !m.down && m.Standing != Gone && m.silent == 0 }

// Silent tells whether a machine has vanished from the network.
func (m *Machine) Silent() bool { return m.silent > 0 && m.Standing != Gone }

// Capacity is what all machines can do: seconds of work in a second.
func (f *Fleet) Capacity() (sum float64) {
	for _, m := range f.Machines {
		if m.Standing == Ready {
			sum += float64(m.slots) * m.speed
		}
	}
	return sum
}
