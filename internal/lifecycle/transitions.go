package lifecycle

import (
	"cmp"
	"time"
)

const (
	// shutdownCloseDelay is how long clients may go on using their connections after the order to stop. A scheduler that
	// was restarted before may not be back yet: were the connections closed at once, its clients would find no scheduler.
	shutdownCloseDelay = 1500 * time.Millisecond
	// migrationPeriod is how long connections may be migrated before the remaining ones close. Migrating all of them takes
	// a few moments, unless the successor rejects them.
	migrationPeriod = time.Second
	// maxClientTimeout bounds the client timeout that the shutdown waits for. The kill comes no sooner than 0.7 s after the
	// longest client timeout, of which no more than this counts.
	maxClientTimeout = 3 * time.Second
	// failDelay is how long after that timeout outstanding requests are failed. It leaves half a second before the kill for
	// the answers to go out and the process to exit.
	failDelay = 200 * time.Millisecond
	// exitDelay is the time between the last answers and the exit, and at least that between the closing of idle
	// connections and the last answers.
	exitDelay = 200 * time.Millisecond
)

// EndpointsKnown records that there is an endpoint list to serve by, or that the wait for one is over.
func (l *Lifecycle) EndpointsKnown(now time.Duration) {
	l.endpointsKnown = true
	if l.state == Starting {
		l.enter(Ready, now)
	}
}

// Standby is an operator's order to drain. It returns false if the process is shutting down and can't carry it out.
func (l *Lifecycle) Standby(now time.Duration) bool {
	if l.state >= HandingOver {
		return false
	}
	l.enter(Standby, now)
	return true
}

// Active is an operator's order to serve again, also in the midst of a drain. It returns false if the process is
// shutting down and can't carry it out.
func (l *Lifecycle) Active(now time.Duration) bool {
	switch {
	case l.state >= HandingOver:
		return false
	case l.state == Standby && l.endpointsKnown:
		l.enter(Ready, now)
	case l.state == Standby:
		l.enter(Starting, now)
	}
	return true
}

// SuccessorChanged records whether another process serves at the same address from now on. A process that is stopping
// hands over to a successor at once, and goes on alone should the successor exit; the times set by Stop stay, but for
// an earlier close of the connections.
func (l *Lifecycle) SuccessorChanged(now time.Duration, present bool) {
	l.successor = present
	switch {
	case present && l.state == Stopping:
		l.state = HandingOver
		l.closeAt = min(l.closeAt, now+migrationPeriod)
	case !present && l.state == HandingOver:
		l.state = Stopping
	}
}

// Stop is the order to shut down. longestTimeout is the longest client timeout, 0 if neither the settings nor a client
// gives one. A second order changes nothing.
func (l *Lifecycle) Stop(now, longestTimeout time.Duration) {
	if l.state >= HandingOver {
		return
	}
	timeout := min(cmp.Or(longestTimeout, shutdownCloseDelay-failDelay), maxClientTimeout)
	l.failAt = now + timeout + failDelay
	l.closeAt = min(l.closeTime(now), l.failAt-exitDelay)
	if l.successor {
		l.enter(HandingOver, now)
	} else {
		l.enter(Stopping, now)
	}
}

// closeTime is when client connections close after an order to stop at now.
func (l *Lifecycle) closeTime(now time.Duration) time.Duration {
	switch {
	case l.successor:
		return now + migrationPeriod
	case l.state == Standby:
		// The front has been turning clients elsewhere since the drain began.
		return max(now, l.enteredAt+drainCloseDelay)
	default:
		return now + shutdownCloseDelay
	}
}
