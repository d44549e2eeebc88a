package main

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/takeover"
)

const (
	// initialListTimeout is how long a process without a cached endpoint list waits for the list
	// before it reports ready.
	initialListTimeout = time.Second
	// cachedListTimeout is the same with a cached list. It is short because during a rolling
	// restart the next scheduler may already have been stopped, which would leave clients without
	// any scheduler. Workers of the cached list that are gone are detected when they are used, and
	// the current list arrives later.
	cachedListTimeout = 50 * time.Millisecond
	// successorListTimeout is the same for a successor. It can be longer because the predecessor
	// serves in the meantime, but the successor must be ready within 6 s.
	successorListTimeout = 3500 * time.Millisecond
)

// run serves at an address until the service has stopped.
func (s *service) run(address takeover.Address) {
	hasCachedWorkers := s.loadCachedEndpoints()
	s.loop.After(initialListTimeoutFor(address.Shared, hasCachedWorkers), s.EndpointsKnown) // serve even if discovery is down
	s.takeover.Start(address)
	if s.deployment.Dispatch.EndpointsPushed {
		s.endpoints.Watch() // the dispatcher doesn't request watches of pushed lists
	}
	if s.tenancy != nil {
		s.tenancy.updateQuotas()
	}
	s.Notify(dispatch.TimerFired{}) // lets the dispatcher start its periodic work even if no endpoints are known
	s.Decide()
	s.publishTotals()
	s.loop.Run(s.Decide)
	s.close()
}

// initialListTimeoutFor returns how long the process waits for its first endpoint list before it
// reports ready.
func initialListTimeoutFor(hasPredecessor, hasCachedWorkers bool) time.Duration {
	switch {
	case hasPredecessor:
		return successorListTimeout
	case hasCachedWorkers:
		return cachedListTimeout
	default:
		return initialListTimeout
	}
}

// close releases the resources that are still open after the event loop has ended.
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
