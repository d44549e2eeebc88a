package model

import (
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/scenario"
)

// Entry is what the list says of a machine.
type Endpoint struct {
	Machine   int
	State     MachineState
	StartedAt time.Duration
}

// List is the service that tells schedulers of workers. It learns of changes late, and has room for so many calls.
type Discovery struct {
	// Changed is called with each entry that changes, Died when all watches end.
	OnChange func(now time.Duration, rev int)
	OnOutage func(now time.Duration)
	Queries  int

	scenario   scenario.Scenario
	cluster    *Cluster
	log        []Endpoint // by version: the entry that it brought
	endpoints  []Endpoint // by machine, as they stand
	listed     []bool
	pending    eventqueue.Queue[Endpoint] // changes on their way
	extraDelay time.Duration
	slowdown   float64
	downFaults int
	busyUntil  time.Duration // until when all calls taken so far are through
	rules      *RuleChecker
}

func newDiscovery(s scenario.Scenario, f *Cluster) *Discovery {
	l := &Discovery{scenario: s, cluster: f, slowdown: 1, rules: f.rules, OnChange: func(time.Duration, int) {}, OnOutage: func(time.Duration) {}}
	for _, m := range f.Machines {
		l.apply(Endpoint{m.index, Ready, m.StartedAt})
	}
	return l
}

func (d *Discovery) apply(e Endpoint) {
	for len(d.endpoints) <= e.Machine {
		d.endpoints, d.listed = append(d.endpoints, Endpoint{}), append(d.listed, false)
	}
	d.endpoints[e.Machine], d.listed[e.Machine] = e, true
	d.log = append(d.log, e)
}

// change is told by the fleet the moment something changes.
func (d *Discovery) machineChanged(now time.Duration, machine int, silently bool) {
	m := d.cluster.Machines[machine]
	e := Endpoint{machine, m.State, m.StartedAt}
	after := d.scenario.Discovery.ChangeDelay.D()
	if m.down || m.silentFaults > 0 {
		e.State = Gone
	}
	if silently {
		after = d.scenario.Discovery.SilentChangeDelay.D()
	}
	d.pending.Push(now+after+d.extraDelay, e)
}

func (d *Discovery) nextTime() time.Duration { return d.pending.NextTime(Never) }

func (d *Discovery) step(now time.Duration) {
	c := d.pending.Pop()
	// What has changed again meanwhile is on its way too, but a machine that was back before anybody noticed has never
	// been away.
	if m := d.cluster.Machines[c.Machine]; c.State == Gone && m.State != Gone && !m.down && m.silentFaults == 0 {
		return
	}
	if c.Machine < len(d.endpoints) && d.listed[c.Machine] && d.endpoints[c.Machine] == c {
		return
	}
	d.apply(c)
	d.rules.endpointChanged(now, c)
	if d.downFaults == 0 {
		d.OnChange(now, len(d.log))
	}
}

// Rev is the present version.
func (d *Discovery) Version() int { return len(d.log) }

// Dead tells whether it answers nobody.
func (d *Discovery) Down() bool { return d.downFaults > 0 }

// Since gives what has changed after a version, each machine once, in the order of the changes.
func (d *Discovery) Since(rev int) (entries []Endpoint) {
	last := map[int]int{}
	for at := max(0, rev); at < len(d.log); at++ {
		last[d.log[at].Machine] = at
	}
	for at := max(0, rev); at < len(d.log); at++ {
		if last[d.log[at].Machine] == at {
			entries = append(entries, d.log[at])
		}
	}
	return entries
}

// Whole is the list as it stands.
func (d *Discovery) Snapshot() (entries []Endpoint) {
	for i, e := range d.endpoints {
		if d.listed[i] && e.State != Gone {
			entries = append(entries, e)
		}
	}
	return entries
}

// callMost is how long a call may wait in the queue.
const maxQueryWait = 3 * time.Second

// Call takes a call in: when its answer goes out, and whether it is one.
func (d *Discovery) Query(now time.Duration) (at time.Duration, answered bool) {
	d.Queries++
	if d.downFaults > 0 {
		return now + d.scenario.Discovery.CallDuration.D(), false
	}
	each := time.Duration(d.slowdown / d.scenario.Discovery.CallsPerSecond * float64(time.Second))
	if d.busyUntil = max(d.busyUntil, now); d.busyUntil-now+each > maxQueryWait {
		return now + maxQueryWait, false
	}
	d.busyUntil += each
	return d.busyUntil + d.scenario.Discovery.CallDuration.D(), true
}
