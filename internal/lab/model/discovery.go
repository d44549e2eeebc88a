package model

import (
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/scenario"
)

// maxQueryWait is how long a query may wait in the queue.
const maxQueryWait = 3 * time.Second

// Endpoint is what the list says of a machine.
type Endpoint struct {
	Machine   int
	State     MachineState
	StartedAt time.Duration
}

// Discovery is the service that has the endpoint list. It learns of changes with a delay, and serves queries one at a time.
type Discovery struct {
	OnChange func(now time.Duration, version int) // the list has changed
	OnOutage func(now time.Duration)              // all watches end
	Queries  int

	scenario   scenario.Scenario
	cluster    *Cluster
	rules      *RuleChecker
	log        []Endpoint                 // by version: the endpoint that it changed
	endpoints  []Endpoint                 // by machine, as they are now
	listed     []bool                     // by machine
	pending    eventqueue.Queue[Endpoint] // changes that it will learn of
	extraDelay time.Duration              // of changes, by faults
	slowdown   float64                    // of queries, by faults
	downFaults int                        // active faults by which it answers no query
	busyUntil  time.Duration              // when all queries so far are served
}

func newDiscovery(s scenario.Scenario, cluster *Cluster) *Discovery {
	d := &Discovery{
		OnChange: func(time.Duration, int) {},
		OnOutage: func(time.Duration) {},
		scenario: s,
		cluster:  cluster,
		rules:    cluster.rules,
		slowdown: 1,
	}
	for _, m := range cluster.Machines {
		d.apply(Endpoint{Machine: m.index, State: Ready, StartedAt: m.StartedAt})
	}
	return d
}

// apply makes a change a new version of the list.
func (d *Discovery) apply(e Endpoint) {
	for len(d.endpoints) <= e.Machine {
		d.endpoints = append(d.endpoints, Endpoint{})
		d.listed = append(d.listed, false)
	}
	d.endpoints[e.Machine] = e
	d.listed[e.Machine] = true
	d.log = append(d.log, e)
}

// machineChanged is called at the moment of a change; silently: the machine could not tell of it.
func (d *Discovery) machineChanged(now time.Duration, machine int, silently bool) {
	m := d.cluster.Machines[machine]
	e := Endpoint{Machine: machine, State: m.State, StartedAt: m.StartedAt}
	if m.down || m.silentFaults > 0 {
		e.State = Gone
	}
	delay := d.scenario.Discovery.ChangeDelay.D()
	if silently {
		delay = d.scenario.Discovery.SilentChangeDelay.D()
	}
	d.pending.Push(now+delay+d.extraDelay, e)
}

func (d *Discovery) nextTime() time.Duration { return d.pending.NextTime(Never) }

// step learns of the next change.
func (d *Discovery) step(now time.Duration) {
	e := d.pending.Pop()
	// What has changed again meanwhile is pending too, but a machine that was back before it was missed has never been
	// gone.
	if m := d.cluster.Machines[e.Machine]; e.State == Gone && m.Reachable() {
		return
	}
	if e.Machine < len(d.endpoints) && d.listed[e.Machine] && d.endpoints[e.Machine] == e {
		return
	}
	d.apply(e)
	d.rules.endpointChanged(now, e)
	if !d.Down() {
		d.OnChange(now, len(d.log))
	}
}

// Version is the present version of the list.
func (d *Discovery) Version() int { return len(d.log) }

// Down reports whether it answers no query.
func (d *Discovery) Down() bool { return d.downFaults > 0 }

// Since returns what has changed after a version: each machine once, in the order of their last changes.
func (d *Discovery) Since(version int) []Endpoint {
	from := max(0, version)
	lastChange := map[int]int{}
	for v := from; v < len(d.log); v++ {
		lastChange[d.log[v].Machine] = v
	}
	var changed []Endpoint
	for v := from; v < len(d.log); v++ {
		if lastChange[d.log[v].Machine] == v {
			changed = append(changed, d.log[v])
		}
	}
	return changed
}

// Snapshot returns the whole list.
func (d *Discovery) Snapshot() []Endpoint {
	var all []Endpoint
	for machine, e := range d.endpoints {
		if d.listed[machine] && e.State != Gone {
			all = append(all, e)
		}
	}
	return all
}

// Query queues a query and returns when it ends, and whether with an answer.
func (d *Discovery) Query(now time.Duration) (at time.Duration, answered bool) {
	d.Queries++
	if d.Down() {
		return now + d.scenario.Discovery.CallDuration.D(), false
	}
	each := time.Duration(d.slowdown / d.scenario.Discovery.CallsPerSecond * float64(time.Second))
	d.busyUntil = max(d.busyUntil, now)
	if d.busyUntil-now+each > maxQueryWait {
		return now + maxQueryWait, false
	}
	d.busyUntil += each
	return d.busyUntil + d.scenario.Discovery.CallDuration.D(), true
}
