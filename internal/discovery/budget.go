package discovery

import "time"

// The protocol gives a scheduler 6 s to know a change of the list, from the time at which discovery
// has the change and can be reached, and 4 s after an order to change the address of discovery. After
// that the change counts as known, whether or not it has arrived. A request to discovery may have
// been lost just before: on its way to a machine that was cut off, or in a process that accepted it
// and died. A request that is served immediately takes 0.1 s, the last term of each sum. Each sum
// stays below its deadline. All but the second and the last leave half a second to spare, the grace
// period in which attempts may still be sent to a worker that the change rules out:
//
//	a request is lost:               firstListTimeout 3 s + longest backoff (dispatcher or service) + 0.1 s
//	the first request is lost:       initial jitter 2.5 s + firstListTimeout 3 s + first backoff 0.375 s + 0.1 s
//	a watch times out, twice:        idleTimeout 3.2 s + first backoff 0.375 s + reconnectTimeout 1.4 s
//	                                 + second backoff 0.375 s + 0.1 s
//	the address changes, two
//	requests to the new one lost:    addressChangeJitter 0.3 s + candidateTimeout 1.5 s + 0.1 s
//	                                 + candidateTimeout 1.5 s + 0.2 s + 0.1 s
//
// The backoffs depend on the settings: dispatch.EndpointBackoff applies to polled lists, the
// service's own backoff to pushed lists. TestBudget checks the sums for them.
const (
	// updateDeadline is the time after which a change that discovery has counts as known by the
	// protocol.
	updateDeadline = 6 * time.Second

	// idleTimeout is how long an established watch may receive no complete list, change or
	// keep-alive before it fails. Discovery sends a keep-alive every 2 s, which may be late.
	idleTimeout = 3200 * time.Millisecond
	// firstListTimeout bounds the time from dialling until the watch is established by its first
	// complete list, change or keep-alive. Discovery serves requests one after another: a shorter
	// timeout would abandon more of the waiting requests, which would then queue again behind all
	// others.
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
	// candidateTimeout bounds the time from dialling a new address to its first complete list.
	candidateTimeout = 1500 * time.Millisecond
)

// maxTimeoutDoublings bounds how often consecutive failures double the timeout for the first list.
const maxTimeoutDoublings = 2

// listTimeout returns the timeout for the first list of the next request to discovery: half of
// PollWithin, doubled for each consecutive failure up to maxTimeoutDoublings times, but at least
// minListTimeout and at most firstListTimeout. While there is no watch, requests are admitted by the
// list known so far for as long as PollWithin, and for four times as long after a request to
// discovery that failed; half of that time is for the next request. The timeout grows with failures
// because half of a short PollWithin may be less than the queueing time at discovery, and no request
// would ever be served.
func (w *Watcher) listTimeout() time.Duration {
	if w.PollWithin == 0 {
		return firstListTimeout
	}
	timeout := w.PollWithin / 2 << min(w.consecutiveFailures, maxTimeoutDoublings)
	return min(firstListTimeout, max(timeout, minListTimeout))
}
