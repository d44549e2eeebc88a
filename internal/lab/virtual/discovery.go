package virtual

import (
	"fmt"
	"hash/fnv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

var endpointStates = map[model.MachineState]dispatch.EndpointState{
	model.Gone:     dispatch.Gone,
	model.Ready:    dispatch.Ready,
	model.Draining: dispatch.Draining,
}

// watchEndpoints queries discovery; an answer becomes a watch.
func (d *Day) watchEndpoints(s *scheduler) {
	incarnation := s.incarnation
	s.watching = false
	at, answered := d.World.Discovery.Query(d.now + d.jitter(d.scenario.Network.SameZone.D()))
	d.schedule(at+d.jitter(d.scenario.Network.SameZone.D()), func() {
		if !s.current(incarnation) {
			return
		}
		if !answered || d.World.Discovery.Down() {
			d.addEvent(s, dispatch.EndpointUpdate{Kind: dispatch.WatchFailed})
			return
		}
		s.watching = true
		d.sendChanges(s)
	})
}

// sendChanges sends a scheduler what has changed since the version that it has.
func (d *Day) sendChanges(s *scheduler) {
	changed := d.World.Discovery.Since(s.listVersion)
	s.listVersion = d.World.Discovery.Version()
	d.addEvent(s, d.endpointUpdate(s, changed, dispatch.DeltaUpdate))
}

// endpointsChanged brings a change of the list to all schedulers that watch it.
func (d *Day) endpointsChanged(now time.Duration, _ int) {
	for _, s := range d.schedulers {
		if !s.up || !s.watching {
			continue
		}
		incarnation := s.incarnation
		d.schedule(now+d.jitter(d.scenario.Network.SameZone.D()), func() {
			if s.current(incarnation) && s.watching && s.listVersion < d.World.Discovery.Version() {
				d.sendChanges(s)
			}
		})
	}
}

// discoveryDown ends all watches.
func (d *Day) discoveryDown(now time.Duration) {
	for _, s := range d.schedulers {
		if !s.up || !s.watching {
			continue
		}
		s.watching = false
		incarnation := s.incarnation
		d.schedule(now, func() {
			if s.incarnation == incarnation {
				d.addEvent(s, dispatch.EndpointUpdate{Kind: dispatch.WatchFailed})
			}
		})
	}
}

// endpointUpdate is an update for a scheduler's decider, whose times count from its start.
func (d *Day) endpointUpdate(s *scheduler, endpoints []model.Endpoint, kind dispatch.UpdateKind) dispatch.EndpointUpdate {
	update := dispatch.EndpointUpdate{Kind: kind}
	for _, e := range endpoints {
		d.World.Rules.EndpointReceived(d.now, s.number, e.Machine, e.State)
		update.Endpoints = append(update.Endpoints, d.endpoint(s, e))
	}
	return update
}

func (d *Day) endpoint(s *scheduler, e model.Endpoint) dispatch.Endpoint {
	m := d.World.Fleet.Machines[e.Machine]
	endpoint := dispatch.Endpoint{
		Worker: workerID(e.Machine),
		Zone:   m.Zone,
		Kind:   m.Kind,
		Cell:   m.Zone,
		State:  endpointStates[e.State],
	}
	if e.StartedAt >= 0 {
		endpoint.StartKnown = true
		endpoint.StartedAt = e.StartedAt - s.startedAt
		endpoint.Incarnation = incarnationOf(m.UID, e.StartedAt)
	}
	return endpoint
}

// incarnationOf tells the starts of a worker apart.
func incarnationOf(uid string, startedAt time.Duration) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, uid, startedAt)
	return h.Sum64()
}
