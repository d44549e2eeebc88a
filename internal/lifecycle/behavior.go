package lifecycle

import "time"

const (
	// drainCloseDelay is the time after the order to drain during which clients may continue to use their
	// connections. The load balancer in front takes 0.3 s to direct them to another scheduler.
	drainCloseDelay = time.Second
	// drainAdmitPeriod is the time after the order to drain during which requests are admitted. It is
	// below 2 s because 4 s after the order, no client may be waiting for the answer to a request that
	// arrived in the last 2 s.
	drainAdmitPeriod = 1900 * time.Millisecond
	// drainPartialCloseDelay is the time from the order to drain until connections with a partial request
	// are closed. 4 s after the order, no connection without a complete request may be left, and closing
	// takes a moment.
	drainPartialCloseDelay = 3400 * time.Millisecond
)

// Behavior tells what the process does and what it allows clients to do at one moment.
type Behavior struct {
	Ready          bool // the address is served, so readiness checks succeed
	Accepts        bool // connections are accepted
	Admits         bool // new requests are admitted
	ClosesIdle     bool // idle client connections are closed, and others after their next answer
	ClosesPartial  bool // client connections with a partial request are closed too
	Migrates       bool // connections and the requests that wait on them migrate to the successor
	KeepsCallbacks bool // connections with worker callbacks stay open while others are closed
	ExitsWhenIdle  bool // the process exits as soon as no request is outstanding
	FailsRemaining bool // outstanding requests are failed, as no time is left to serve them
	Exits          bool // the process exits
}

// Behavior returns the behavior of the process at time now.
func (l *Lifecycle) Behavior(now time.Duration) Behavior {
	switch l.state {
	case Starting:
		return Behavior{Accepts: true, Admits: true}
	case Ready:
		return Behavior{Ready: true, Accepts: true, Admits: true}
	case Standby:
		return l.drainBehavior(now)
	default:
		return l.shutdownBehavior(now)
	}
}

// drainBehavior returns the behavior in state Standby.
func (l *Lifecycle) drainBehavior(now time.Duration) Behavior {
	elapsed := now - l.enteredAt
	return Behavior{
		Accepts:        true,
		Admits:         elapsed < drainAdmitPeriod,
		ClosesIdle:     elapsed >= drainCloseDelay,
		ClosesPartial:  elapsed >= drainPartialCloseDelay,
		KeepsCallbacks: true,
	}
}

// shutdownBehavior returns the behavior in the states HandingOver and Stopping.
func (l *Lifecycle) shutdownBehavior(now time.Duration) Behavior {
	handingOver := l.state == HandingOver
	closes := now >= l.closeAt
	fails := now >= l.failAt
	return Behavior{
		Ready:          handingOver,
		Accepts:        !handingOver,
		Admits:         !fails,
		ClosesIdle:     closes,
		Migrates:       handingOver && !fails,
		KeepsCallbacks: handingOver,
		ExitsWhenIdle:  (closes || handingOver) && !l.predecessorRunning,
		FailsRemaining: fails,
		Exits:          now >= l.exitAt(),
	}
}

// NextChange returns the first time after now at which the behavior changes without an event; false if
// there is none.
func (l *Lifecycle) NextChange(now time.Duration) (time.Duration, bool) {
	var changes []time.Duration // ascending
	switch l.state {
	case Standby:
		changes = []time.Duration{
			l.enteredAt + drainCloseDelay,
			l.enteredAt + drainAdmitPeriod,
			l.enteredAt + drainPartialCloseDelay,
		}
	case Stopping, HandingOver:
		changes = []time.Duration{l.closeAt, l.failAt, l.exitAt()}
	}
	for _, change := range changes {
		if change > now {
			return change, true
		}
	}
	return 0, false
}
