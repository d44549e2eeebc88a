package virtual

import (
	"fmt"
	"hash/fnv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/model"
)

// endpointStates maps the model's states of a machine to those of the decision module.
var endpointStates = map[model.MachineState]dispatch.EndpointState{
	model.Gone:     dispatch.Gone,
	model.Ready:    dispatch.Ready,
	model.Draining: dispatch.Draining,
}

// watchEndpoints queries discovery. If the query is answered, the scheduler gets the changes since
// its version of the list and watches for further ones.
func (sim *Simulation) watchEndpoints(s *scheduler) {
	incarnation := s.incarnation
	s.watching = false
	at, answered := sim.Model.Discovery.Query(sim.now + sim.jitter(sim.scenario.Network.SameZone.D()))
	sim.schedule(at+sim.jitter(sim.scenario.Network.SameZone.D()), func() {
		if !s.current(incarnation) {
			return
		}
		if !answered || sim.Model.Discovery.Down() {
			sim.addEvent(s, dispatch.EndpointUpdate{Kind: dispatch.WatchFailed})
			return
		}
		s.watching = true
		sim.sendChanges(s)
	})
}

// sendChanges sends a scheduler the changes since its version of the list.
func (sim *Simulation) sendChanges(s *scheduler) {
	changed := sim.Model.Discovery.Since(s.listVersion)
	s.listVersion = sim.Model.Discovery.Version()
	sim.addEvent(s, sim.endpointUpdate(s, changed, dispatch.DeltaUpdate))
}

// scheduleUpdates schedules the delivery of a change of the list to all schedulers that watch it.
func (sim *Simulation) scheduleUpdates(now time.Duration, _ int) {
	for _, s := range sim.schedulers {
		if !s.up || !s.watching {
			continue
		}
		incarnation := s.incarnation
		sim.schedule(now+sim.jitter(sim.scenario.Network.SameZone.D()), func() {
			if s.current(incarnation) && s.watching && s.listVersion < sim.Model.Discovery.Version() {
				sim.sendChanges(s)
			}
		})
	}
}

// endWatches ends the watches of all schedulers, as discovery is down.
func (sim *Simulation) endWatches(now time.Duration) {
	for _, s := range sim.schedulers {
		if !s.up || !s.watching {
			continue
		}
		s.watching = false
		incarnation := s.incarnation
		sim.schedule(now, func() {
			if s.incarnation == incarnation {
				sim.addEvent(s, dispatch.EndpointUpdate{Kind: dispatch.WatchFailed})
			}
		})
	}
}

// endpointUpdate returns an update for a scheduler's decider, and records it with the rule checker.
// Its times are relative to the scheduler's start.
func (sim *Simulation) endpointUpdate(s *scheduler, endpoints []model.Endpoint, kind dispatch.UpdateKind) dispatch.EndpointUpdate {
	update := dispatch.EndpointUpdate{Kind: kind}
	for _, e := range endpoints {
		sim.Model.Rules.EndpointReceived(sim.now, s.number, e.Machine, e.State)
		update.Endpoints = append(update.Endpoints, sim.endpoint(s, e))
	}
	return update
}

// endpoint converts an entry of the endpoint list for a scheduler's decider.
func (sim *Simulation) endpoint(s *scheduler, e model.Endpoint) dispatch.Endpoint {
	m := sim.Model.Cluster.Machines[e.Machine]
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
		endpoint.Incarnation = incarnationID(m.UID, e.StartedAt)
	}
	return endpoint
}

// incarnationID returns an ID of a start of a worker's process: a hash that differs between its
// starts.
func incarnationID(uid string, startedAt time.Duration) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, uid, startedAt)
	return h.Sum64()
}
