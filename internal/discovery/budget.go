package discovery

import "time"

// By the protocol a scheduler must know a change of the list 6 s after discovery had it and could be
// reached, and 4 s after an order to change the address: from then on the change counts as known,
// whether or not it has arrived. A request may have been lost just before, on its way to a machine
// that was cut off or in a process that accepted it and died. A request that is served immediately
// takes 0.1 s, the last term of each sum. Each sum stays below its deadline. All but the second and
// the last leave half a second to spare, the grace period in which a worker may still be sent to:
//
//	a request is lost:              firstListTimeout 3 s + longest backoff (dispatcher or service) + 0.1 s
//	the first request is lost:      initial jitter 2.5 s + firstListTimeout 3 s + first backoff 0.375 s + 0.1 s
//	a watch times out:              idleTimeout 3.2 s + first backoff 0.375 s + reconnectTimeout 1.4 s
//	                                + second backoff 0.375 s + 0.1 s
//	the address changes, two lost:  addressChangeJitter 0.3 s + candidateTimeout 1.5 s + 0.1 s
//	                                + candidateTimeout 1.5 s + 0.2 s + 0.1 s
//
// The backoffs depend on the settings: dispatch.EndpointBackoff applies to polled lists, the
// service's own backoff to pushed lists. TestBudget checks the sums for them.
const (
	// updateDeadline is how long after discovery had it a change counts as known by the protocol.
	updateDeadline = 6 * time.Second

	// idleTimeout is how long an established watch may receive no whole list or keep-alive before
	// it fails. Discovery sends a keep-alive every 2 s, which may be late.
	idleTimeout = 3200 * time.Millisecond
	// firstListTimeout bounds the time from dialling to the first whole list. Discovery serves
	// requests one after another: a shorter timeout would abandon more of the waiting requests,
	// which would then queue again behind all others.
	firstListTimeout = 3 * time.Second
	// reconnectTimeout bounds the time to the first list of the request that follows an established
	// watch which timed out.
	reconnectTimeout = 1400 * time.Millisecond
	// minListTimeout is the shortest timeout for the first list, whatever the settings say, as a
	// response needs time to travel.
	minListTimeout = 250 * time.Millisecond
	// overdueTimeout is how much longer a request that has timed out may wait to be served, while
	// the next request waits too.
	overdueTimeout = 15 * time.Second
	// connectTimeout bounds dialling, and is included in the timeouts above.
	connectTimeout = time.Second

	// candidateBackoffBase is the unit of the backoff between attempts to reach a new address,
	// which doubles with each attempt.
	candidateBackoffBase = 50 * time.Millisecond
	// candidateBackoffMax is the longest of these backoffs. Half of each backoff is jitter.
	candidateBackoffMax = time.Second
	// addressChangeJitter spreads the first attempts of schedulers that are reconfigured at the
	// same time.
	addressChangeJitter = 300 * time.Millisecond
	// candidateTimeout bounds the time from dialling a new address to the first whole list.
	candidateTimeout = 1500 * time.Millisecond
)

// maxTimeoutDoublings bounds how often consecutive failures double the timeout for the first list.
const maxTimeoutDoublings = 2

// listTimeout returns the timeout for the first list of the next request. While there is no watch,
// requests are admitted by the list known so far for as long as PollWithin, and for four times as
// long after a request that failed. Half of the time that applies is given to the next request, up
// to firstListTimeout. The timeout grows with failures: if half of a short PollWithin is less than
// the queueing time at discovery, no request would ever be served.
func (w *Watcher) listTimeout() time.Duration {
	if w.PollWithin == 0 {
		return firstListTimeout
	}
	timeout := w.PollWithin / 2 << min(w.consecutiveFailures, maxTimeoutDoublings)
	return min(firstListTimeout, max(timeout, minListTimeout))
}
