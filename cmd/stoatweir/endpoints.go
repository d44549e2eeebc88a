package main

import (
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
)

const (
	// maxPollInterval caps the poll interval of the endpoint list that the settings allow. A change
	// of the list counts as known 6 s after it was made, even if it has not been received: a failed
	// watch must be established again within that time.
	maxPollInterval = 5 * time.Second

	// The backoff between consecutive failed watches of a pushed list, together with the time that
	// a request to discovery may take, stays below maxPollInterval. The backoff also stays below the
	// drain grace of the settings, because an update that discovery pushes when it can be reached
	// again counts as known immediately.

	// minWatchBackoff is the backoff after the first failed watch.
	minWatchBackoff = 250 * time.Millisecond
	// maxWatchBackoff is the maximum backoff. A short drain grace lowers it.
	maxWatchBackoff = 2 * time.Second
	// maxWatchBackoffFloor is the lowest value to which a short drain grace can lower
	// maxWatchBackoff.
	maxWatchBackoffFloor = 50 * time.Millisecond
	// maxWatchBackoffDoublings keeps the shift from overflowing. maxWatchBackoff is reached after
	// fewer doublings.
	maxWatchBackoffDoublings = 8
)

// loadCachedEndpoints applies the endpoint list cached in the configuration and reports whether it
// contains any worker.
func (s *service) loadCachedEndpoints() bool {
	if len(s.cachedEndpoints) == 0 {
		return false
	}
	update, err := s.endpoints.Parse(s.cachedEndpoints)
	if err != nil {
		s.log.WithError(err).Warn("cached endpoint list unusable") // not fatal: discovery sends a list too
	}
	update.Kind = dispatch.FullUpdate
	s.workers.ApplyUpdate(update)
	s.Notify(update.EndpointUpdate())
	return len(update.Workers) > 0
}

// handleEndpointUpdate applies an update of the endpoint list, or handles the failure of its watch.
func (s *service) handleEndpointUpdate(update discovery.Update) {
	if update.Kind != dispatch.WatchFailed {
		s.workers.ApplyUpdate(update)
		s.loop.After(s.takeover.SettleDelay(), s.takeover.RequestSnapshot)
		s.failedWatches = 0
	} else if s.deployment.Dispatch.EndpointsPushed {
		s.loop.After(s.watchBackoff(), s.restartWatch) // the dispatcher doesn't request watches of pushed lists
		s.failedWatches++
	}
	s.Notify(update.EndpointUpdate())
}

// restartWatch starts a new watch unless a slow earlier one has been established in the meantime.
func (s *service) restartWatch() {
	if !s.endpoints.Established() {
		s.endpoints.Watch()
	}
}

// watchBackoff returns the time to wait before the next watch of a pushed list. It includes jitter
// so that the schedulers of a pool do not all reconnect to discovery at the same time.
func (s *service) watchBackoff() time.Duration {
	maxBackoff := maxWatchBackoff
	if s.deployment.DrainGrace > 0 {
		maxBackoff = min(maxBackoff, max(s.deployment.DrainGrace/2, maxWatchBackoffFloor))
	}
	backoff := min(minWatchBackoff<<min(s.failedWatches, maxWatchBackoffDoublings), maxBackoff)
	return backoff/2 + time.Duration(s.random.Int64N(int64(backoff/2)))
}

// applyPollInterval sets the poll interval of the watcher from the settings. A pushed list is not
// polled.
func (s *service) applyPollInterval() {
	s.endpoints.PollWithin = 0
	if !s.deployment.Dispatch.EndpointsPushed {
		s.endpoints.PollWithin = s.configured.Dispatch.Rules.PollWithin
	}
}
