package lifecycle

import (
	"cmp"
	"time"
)

const (
	// shutdownCloseDelay is the time after the order to stop during which clients may continue to use their
	// connections. In a rolling restart, a scheduler that was restarted before this one may not serve yet:
	// if connections were closed immediately, clients might find no scheduler.
	shutdownCloseDelay = 1500 * time.Millisecond
	// migrationPeriod is the time for which connections may be migrated before the remaining ones are
	// closed. Migrating all of them takes only a few moments, unless the successor rejects them.
	migrationPeriod = time.Second
	// maxClientTimeout bounds the client timeout for which the shutdown waits. The process is killed no
	// earlier than 0.7 s after the longest client timeout, of which at most maxClientTimeout counts.
	maxClientTimeout = 3 * time.Second
	// failDelay is the time from the end of that timeout until outstanding requests are failed. It leaves
	// 0.5 s before the process is killed to write the answers and to exit.
	failDelay = 200 * time.Millisecond
	// exitDelay is the time from the last answers, at failAt, to the exit. It is also the minimum time from
	// closing idle connections to the last answers.
	exitDelay = 200 * time.Millisecond
	// predecessorExitDelay is how much longer a process waits for the exit of its predecessor, which may
	// have been ordered to stop at the same time. It ends 0.1 s before the process is killed.
	predecessorExitDelay = 200 * time.Millisecond
)

// EndpointsKnown records that the endpoints are known, or that the process no longer waits for them. A
// starting process becomes ready.
func (l *Lifecycle) EndpointsKnown(now time.Duration) {
	l.endpointsKnown = true
	if l.state == Starting {
		l.enter(Ready, now)
	}
}

// Drain carries out an operator's order to drain. It returns false if the process is shutting down,
// which the order does not change.
func (l *Lifecycle) Drain(now time.Duration) bool {
	if l.state >= HandingOver {
		return false
	}
	l.enter(Standby, now)
	return true
}

// Activate carries out an operator's order to serve again, also during a drain. It returns false if the
// process is shutting down, which the order does not change.
func (l *Lifecycle) Activate(now time.Duration) bool {
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

// SuccessorChanged records that a successor now serves at the same address (present) or has exited. A
// stopping process starts to hand over as soon as there is a successor, and continues to stop without one
// if it exits. The times set by Stop stay, except that closeAt may become earlier.
func (l *Lifecycle) SuccessorChanged(now time.Duration, present bool) {
	l.successorServing = present
	switch {
	case present && l.state == Stopping:
		l.state = HandingOver
		l.closeAt = min(l.closeAt, now+migrationPeriod)
	case !present && l.state == HandingOver:
		l.state = Stopping
	}
}

// PredecessorChanged records that the process which this one replaces is still running (present) or has
// exited. A process that is ordered to stop does not exit before its predecessor: who started it knows the
// newest process as the scheduler, and may end what is left of the scheduler when that process exits.
func (l *Lifecycle) PredecessorChanged(present bool) { l.predecessorRunning = present }

// exitAt returns when a process that shuts down exits, whatever is outstanding.
func (l *Lifecycle) exitAt() time.Duration {
	if l.predecessorRunning {
		return l.failAt + exitDelay + predecessorExitDelay
	}
	return l.failAt + exitDelay
}

// Stop carries out the order to shut down. longestTimeout is the longest client timeout; 0 if neither the
// settings nor a client has specified one. A second order changes nothing.
func (l *Lifecycle) Stop(now, longestTimeout time.Duration) {
	if l.state >= HandingOver {
		return
	}
	timeout := min(cmp.Or(longestTimeout, shutdownCloseDelay-failDelay), maxClientTimeout)
	l.failAt = now + timeout + failDelay
	l.closeAt = min(l.closeTime(now), l.failAt-exitDelay)
	if l.successorServing {
		l.enter(HandingOver, now)
	} else {
		l.enter(Stopping, now)
	}
}

// closeTime returns the time at which client connections are closed after an order to stop at now, before
// Stop makes it earlier for short client timeouts.
func (l *Lifecycle) closeTime(now time.Duration) time.Duration {
	switch {
	case l.successorServing:
		return now + migrationPeriod
	case l.state == Standby:
		// The load balancer has directed clients to other schedulers since the start of the drain.
		return max(now, l.enteredAt+drainCloseDelay)
	default:
		return now + shutdownCloseDelay
	}
}
