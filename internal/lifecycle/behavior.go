package lifecycle

import "time"

const (
	// drainCloseDelay is how long clients may go on using their connections after the order to drain: the front takes
	// 0.3 s to turn them elsewhere.
	drainCloseDelay = time.Second
	// drainAdmitPeriod is how long a draining process admits requests: at 4 s no client may be waiting whose request came
	// in the last 2 s.
	drainAdmitPeriod = 1900 * time.Millisecond
	// drainPartialDelay is when connections with a partial request close: at 4 s none may be left without a whole request,
	// and a close takes a moment.
	drainPartialDelay = 3400 * time.Millisecond
)

// Behavior is what the process does and lets through at one moment.
type Behavior struct {
	Ready          bool // the address is served: readiness checks succeed
	Accepts        bool // connections are accepted
	Admits         bool // new requests are admitted
	ClosesIdle     bool // idle client connections close, and each answer closes its own connection
	ClosesPartial  bool // client connections with a partial request close too
	Migrates       bool // connections and the requests that wait on them migrate to the successor
	KeepsCallbacks bool // connections that bring worker callbacks stay open while others close
	ExitsWhenIdle  bool // the process exits once no request is outstanding
	FailsRemaining bool // outstanding requests are failed now, as no time is left
	Exits          bool // the process exits
}

// Behavior returns how the process behaves at now.
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

func (l *Lifecycle) drainBehavior(now time.Duration) Behavior {
	age := now - l.enteredAt
	return Behavior{
		Accepts:        true,
		Admits:         age < drainAdmitPeriod,
		ClosesIdle:     age >= drainCloseDelay,
		ClosesPartial:  age >= drainPartialDelay,
		KeepsCallbacks: true,
	}
}

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
		ExitsWhenIdle:  closes || handingOver,
		FailsRemaining: fails,
		Exits:          now >= l.failAt+exitDelay,
	}
}

// NextChange returns the next time after now at which the behavior changes with no event; false if there is none.
func (l *Lifecycle) NextChange(now time.Duration) (time.Duration, bool) {
	var changes []time.Duration // ascending
	switch l.state {
	case Standby:
		changes = []time.Duration{
			l.enteredAt + drainCloseDelay,
			l.enteredAt + drainAdmitPeriod,
			l.enteredAt + drainPartialDelay,
		}
	case Stopping, HandingOver:
		changes = []time.Duration{l.closeAt, l.failAt, l.failAt + exitDelay}
	}
	for _, change := range changes {
		if change > now {
			return change, true
		}
	}
	return 0, false
}
