package discovery

import "time"

// A change counts as known 6 s after discovery had it and could be reached, whether or not it has arrived, and
// 4 s after an order to change the address. A request may have been lost just before: to a machine that was cut
// off, or to a process that accepted it and died. One that is served at once takes 0.1 s, the last term of each
// sum. Each sum stays below its deadline, all but the second and the last with half a second to spare, the grace
// in which a worker may still be sent to:
//
//	a request is lost:              firstListTimeout 3 s + longest backoff (dispatcher or service) + 0.1 s
//	the first request is lost:      initial jitter 2.5 s + firstListTimeout 3 s + first backoff 0.375 s + 0.1 s
//	a watch times out:              idleTimeout 3.2 s + first backoff 0.375 s + reconnectTimeout 1.4 s
//	                                + second backoff 0.375 s + 0.1 s
//	the address changes, two lost:  addressChangeJitter 0.3 s + candidateTimeout 1.5 s + 0.1 s
//	                                + candidateTimeout 1.5 s + 0.2 s + 0.1 s
//
// The backoffs follow the settings (dispatch.EndpointBackoff, and the service's for pushed lists); TestBudget
// adds up what they are.
const (
	// updateDeadline is how long after discovery had it a change counts as known, by the protocol.
	updateDeadline = 6 * time.Second

	// idleTimeout ends an established watch on which nothing whole has arrived. Discovery sends a keep-alive
	// every 2 s, which may be late.
	idleTimeout = 3200 * time.Millisecond
	// firstListTimeout bounds the time from dialling to the first whole list. Discovery serves requests in turn:
	// with less, more of those that wait would be given up and queue again behind all others.
	firstListTimeout = 3 * time.Second
	// reconnectTimeout is the same for the request that follows an established watch which timed out.
	reconnectTimeout = 1400 * time.Millisecond
	// minListTimeout is the least time to the first list, whatever the settings say: a response has to travel.
	minListTimeout = 250 * time.Millisecond
	// overdueTimeout is how much longer a request that has timed out may wait for its turn, beside the next one.
	overdueTimeout = 15 * time.Second
	// connectTimeout bounds dialling; it is part of the timeouts above.
	connectTimeout = time.Second

	// candidateBackoffBase is the unit of the backoff between attempts to reach a new address, doubled with each.
	candidateBackoffBase = 50 * time.Millisecond
	// candidateBackoffMax is the longest of these backoffs. Half of each is jitter.
	candidateBackoffMax = time.Second
	// addressChangeJitter spreads the first attempts of schedulers that are reconfigured together.
	addressChangeJitter = 300 * time.Millisecond
	// candidateTimeout bounds the time from dialling a new address to the first whole list.
	candidateTimeout = 1500 * time.Millisecond
)

// maxFailureShift bounds how often failures in a row double the time to the first list.
const maxFailureShift = 2

// listTimeout is how long the next request may take to its first list. Without a watch, requests are admitted
// by what is known for as long as PollWithin gives, four times as long after a request that failed: half of the
// one or of the other is the request's, up to firstListTimeout. It grows with failures, as where the queue at
// discovery is longer than half of a short time no request would ever be served.
func (w *Watcher) listTimeout() time.Duration {
	if w.PollWithin == 0 {
		return firstListTimeout
	}
	share := w.PollWithin / 2 << min(w.failures, maxFailureShift)
	return min(firstListTimeout, max(share, minListTimeout))
}
