package main

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
)

const (
	// maxPollInterval is the longest interval at which the endpoint list is polled, whatever the settings allow. A change
	// counts as known 6 s later, whether or not it has come: a watch that has failed must be established again within that.
	maxPollInterval = 5 * time.Second

	// The backoff between watches of a pushed list that fail in a row is inside maxPollInterval, with what a call may take,
	// and inside the drain grace of the settings: what is pushed at the return of discovery counts as known at once.

	// watchBackoffMin is the first backoff.
	watchBackoffMin = 250 * time.Millisecond
	// watchBackoffMax is the longest backoff.
	watchBackoffMax = 2 * time.Second
	// watchBackoffMaxFloor is the least that a short drain grace makes of watchBackoffMax.
	watchBackoffMaxFloor = 50 * time.Millisecond
	// maxWatchBackoffDoublings keeps the shift from overflowing; watchBackoffMax is reached before.
	maxWatchBackoffDoublings = 8
)

// loadCachedEndpoints applies the configuration's endpoint list, and reports whether it names any worker.
func (s *service) loadCachedEndpoints() bool {
	if len(s.cachedEndpoints) == 0 {
		return false
	}
	update, err := s.endpoints.Parse(s.cachedEndpoints)
	if err != nil {
		s.log.WithError(err).Warn("cached endpoint list unusable") // discovery brings another one
	}
	update.Kind = dispatch.FullUpdate
	s.workers.ApplyUpdate(update)
	s.Notify(update.EndpointUpdate())
	return len(update.Workers) > 0
}

// handleEndpointUpdate applies a change of the endpoint list, or the failure of its watch.
func (s *service) handleEndpointUpdate(update discovery.Update) {
	if update.Kind != dispatch.WatchFailed {
		s.workers.ApplyUpdate(update)
		s.loop.After(s.takeover.SettleDelay(), s.takeover.RequestSnapshot)
		s.failedWatches = 0
	} else if s.deployment.Dispatch.EndpointsPushed {
		s.loop.After(s.watchBackoff(), s.restartWatch) // the dispatcher does not ask for endpoints that are pushed
		s.failedWatches++
	}
	s.Notify(update.EndpointUpdate())
}

// restartWatch begins the next watch, unless one that was slow has been established meanwhile.
func (s *service) restartWatch() {
	if !s.endpoints.Established() {
		s.endpoints.Watch()
	}
}

// watchBackoff is how long the next watch of a pushed list waits, with jitter: a pool must not return to its list all at
// once.
func (s *service) watchBackoff() time.Duration {
	longest := watchBackoffMax
	if s.deployment.DrainGrace > 0 {
		longest = min(longest, max(s.deployment.DrainGrace/2, watchBackoffMaxFloor))
	}
	backoff := min(watchBackoffMin<<min(s.failedWatches, maxWatchBackoffDoublings), longest)
	return backoff/2 + time.Duration(s.random.Int64N(int64(backoff/2)))
}

// applyPollInterval gives the watcher the poll interval of the settings; a pushed list is not polled.
func (s *service) applyPollInterval() {
	s.endpoints.PollWithin = 0
	if !s.deployment.Dispatch.EndpointsPushed {
		s.endpoints.PollWithin = s.configured.Dispatch.Rules.PollWithin
	}
}
