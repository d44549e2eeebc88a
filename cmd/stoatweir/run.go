package main

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/takeover"
)

const (
	// endpointWait is how long a start without a cached endpoint list waits for the list before it reports that it is ready.
	endpointWait = time.Second
	// cachedEndpointWait is the same with a cached list. There is no time to lose then: while schedulers are restarted in
	// turn, the next one may have been stopped already, and clients have nobody to ask. Workers that have gone since show by
	// themselves, and the list follows.
	cachedEndpointWait = 50 * time.Millisecond
	// successorEndpointWait is the same for a successor: the predecessor serves meanwhile, but it must be ready within 6 s.
	successorEndpointWait = 3500 * time.Millisecond
)

// run serves at an address until the order to stop has been carried out.
func (s *service) run(address takeover.Address) {
	cached := s.loadCachedEndpoints()
	s.loop.After(readyDelay(address.Shared, cached), s.EndpointsKnown) // with discovery down we must serve too
	s.takeover.Start(address)
	if s.deployment.Dispatch.EndpointsPushed {
		s.endpoints.Watch() // the dispatcher does not ask for endpoints that are pushed; here the first list is asked for
	}
	if s.tenancy != nil {
		s.tenancy.updateQuotas()
	}
	s.Notify(dispatch.TimerFired{}) // the dispatcher has things to begin, also where nothing is known
	s.Decide()
	s.publishTotals()
	s.loop.Run(s.Decide)
	s.close()
}

// readyDelay is how long a start waits for an endpoint list at most.
func readyDelay(shared, cached bool) time.Duration {
	switch {
	case shared:
		return successorEndpointWait
	case cached:
		return cachedEndpointWait
	default:
		return endpointWait
	}
}

// close releases what outlives the event loop.
func (s *service) close() {
	for _, id := range s.clients.Unanswered() {
		s.workers.Invariants.CheckClose(id)
	}
	s.takeover.Close()
	s.gossip.Close()
	if s.tenancy != nil {
		s.tenancy.registry.Close()
	}
}
