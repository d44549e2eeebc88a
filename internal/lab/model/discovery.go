package model

import (
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/scenario"
)

// maxQueryWait is the maximum time a query spends in the queue, including its own service time,
// before it fails.
const maxQueryWait = 3 * time.Second

// Endpoint is a machine's entry in the endpoint list.
type Endpoint struct {
	Machine   int
	State     MachineState
	StartedAt time.Duration
}

// Discovery is the service that publishes the endpoint list. It learns of changes with a delay, and
// serves queries one at a time.
type Discovery struct {
	OnChange func(now time.Duration, version int) // called when the list has changed, unless discovery is down
	OnOutage func(now time.Duration)              // called when discovery goes down, which ends all watches
	Queries  int                                  // queries received, failed ones included

	scenario   scenario.Scenario
	cluster    *Cluster
	rules      *RuleChecker
	changes    []Endpoint                 // entry v-1 is the endpoint that version v changed
	endpoints  []Endpoint                 // by machine: the current entry
	listed     []bool                     // by machine: whether endpoints has an entry for it
	pending    eventqueue.Queue[Endpoint] // changes that discovery has not learned of yet
	extraDelay time.Duration              // added by faults to the time until it learns of a change
	slowdown   float64                    // factor by which faults reduce the query rate; 1: none
	downFaults int                        // active faults during which it answers no query
	busyUntil  time.Duration              // when all queries received so far will have been served
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

// apply adds a change to the list as a new version.
func (d *Discovery) apply(e Endpoint) {
	for len(d.endpoints) <= e.Machine {
		d.endpoints = append(d.endpoints, Endpoint{})
		d.listed = append(d.listed, false)
	}
	d.endpoints[e.Machine] = e
	d.listed[e.Machine] = true
	d.changes = append(d.changes, e)
}

// machineChanged schedules the change of a machine to reach the list. A silent change, which the
// machine could not announce, takes SilentChangeDelay instead of ChangeDelay.
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

// step applies the next pending change to the list.
func (d *Discovery) step(now time.Duration) {
	e := d.pending.Pop()
	// A later change of the machine has its own pending entry. A machine that is reachable again by
	// the time discovery would notice its absence is never listed as gone.
	if m := d.cluster.Machines[e.Machine]; e.State == Gone && m.Reachable() {
		return
	}
	if e.Machine < len(d.endpoints) && d.listed[e.Machine] && d.endpoints[e.Machine] == e {
		return
	}
	d.apply(e)
	d.rules.endpointChanged(now, e)
	if !d.Down() {
		d.OnChange(now, len(d.changes))
	}
}

// Version is the current version of the list; it grows by 1 with each change.
func (d *Discovery) Version() int { return len(d.changes) }

// Down reports whether a fault stops discovery from answering queries and sending updates.
func (d *Discovery) Down() bool { return d.downFaults > 0 }

// Since returns the endpoints that have changed after a version: each machine once, in the order of
// their last changes.
func (d *Discovery) Since(version int) []Endpoint {
	from := max(0, version)
	lastChange := map[int]int{}
	for v := from; v < len(d.changes); v++ {
		lastChange[d.changes[v].Machine] = v
	}
	var changed []Endpoint
	for v := from; v < len(d.changes); v++ {
		if lastChange[d.changes[v].Machine] == v {
			changed = append(changed, d.changes[v])
		}
	}
	return changed
}

// Snapshot returns the current list, without machines that are gone.
func (d *Discovery) Snapshot() []Endpoint {
	var all []Endpoint
	for machine, e := range d.endpoints {
		if d.listed[machine] && e.State != Gone {
			all = append(all, e)
		}
	}
	return all
}

// Query queues a query and returns when it ends and whether it is answered.
func (d *Discovery) Query(now time.Duration) (at time.Duration, answered bool) {
	d.Queries++
	if d.Down() {
		return now + d.scenario.Discovery.CallDuration.D(), false
	}
	serviceTime := time.Duration(d.slowdown / d.scenario.Discovery.CallsPerSecond * float64(time.Second))
	d.busyUntil = max(d.busyUntil, now)
	if d.busyUntil-now+serviceTime > maxQueryWait {
		return now + maxQueryWait, false
	}
	d.busyUntil += serviceTime
	return d.busyUntil + d.scenario.Discovery.CallDuration.D(), true
}
