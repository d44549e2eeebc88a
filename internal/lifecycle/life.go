// Package lifecycle says how a process stands between its start and its end. All who must know ask here: readiness, the
// operators, the door for clients, and the stop. It has neither clock nor I/O: what has happened is told with its time.
package lifecycle

import (
	"cmp"
	"time"
)

// State is where in its life a process is.
type State uint8

const (
	Starting    State = iota // there is no list to serve by yet
	Ready                    // it serves
	Standby                  // operators have taken it out; it stays
	HandingOver              // told to stop while a successor serves at the same address
	Stopping                 // told to stop
)

var names = [...]string{"starting", "ready", "standby", "handing over", "stopping"}

func (s State) String() string { return names[s] }

const (
	// shutAfter is how long clients may go on using their connections after the order to stop: a scheduler that was
	// stopped before may not be back yet, and with the connections closed at once they would have nobody to ask.
	shutAfter = 1500 * time.Millisecond
	// drainShut is the same after the order to drain: the front takes 0.3 s to turn elsewhere.
	drainShut = time.Second
	// drainTakes: at 4 s no client may be held that came in the last 2 s.
	drainTakes = 1900 * time.Millisecond
	// drainSweep: nor may a connection without an invocation; what closes then has time to go.
	drainSweep = 3400 * time.Millisecond
	// passFor is how long connections may be passed on before those that are left close: all of them go in a few moments,
	// unless the successor will not have them.
	passFor = time.Second
	// The kill comes no sooner than the longest that a client waits, of which longMost counts, and 0.7 s: what is owed is
	// given up leaveAfter past that wait, and half a second is left for the answers to go out and for us to end.
	longMost, leaveAfter = 3 * time.Second, 200 * time.Millisecond
	// leaveMargin is between the last answers and our end, and between the end of idle connections and the last answers.
	leaveMargin = 200 * time.Millisecond
)

// Manner is how a process behaves at a moment.
type Behavior struct {
	Ready          bool // the address is served
	Accepts        bool // connections are accepted
	Admits         bool // new invocations are taken
	ClosesIdle     bool // idle connections of clients close, and each answer closes its own
	ClosesPartial  bool // so do those that have begun a request and not ended it
	Migrates       bool // connections and what waits on them go to the successor
	KeepsCallbacks bool // connections that bring workers' news stay while others shut
	ExitsWhenIdle  bool // the process ends once nothing is owed
	FailsRemaining bool // what is still owed is answered now, as there is no more time
	Exits          bool // the process ends
}

// Cycle is the state machine. Its zero value is a process that starts.
type Lifecycle struct {
	state     State
	knows     bool          // there is a list to serve by, whatever the state
	successor bool          // another process serves at the same address
	since     time.Duration // of the state
	shutAt    time.Duration // stopping: when connections close
	last      time.Duration // and when what is owed is given up
}

// State tells the present one.
func (c *Lifecycle) State() State { return c.state }

func (c *Lifecycle) enter(s State, now time.Duration) {
	if c.state != s {
		c.state, c.since = s, now
	}
}

// Knows: there is a list to serve by, or the wait for one is over.
func (c *Lifecycle) EndpointsKnown(now time.Duration) {
	if c.knows = true; c.state == Starting {
		c.enter(Ready, now)
	}
}

// Standby is the order to drain. False: it can't be carried out.
func (c *Lifecycle) Standby(now time.Duration) bool {
	if c.state >= HandingOver {
		return false
	}
	c.enter(Standby, now)
	return true
}

// Active is the order to take clients again, also in the midst of a drain.
func (c *Lifecycle) Active(now time.Duration) bool {
	switch {
	case c.state >= HandingOver:
		return false
	case c.state == Standby && c.knows:
		c.enter(Ready, now)
	case c.state == Standby:
		c.enter(Starting, now)
	}
	return true
}

// Successor tells whether another process serves at the same address from now on. Who was told to stop hands over to it
// at once, and goes on alone should it end.
func (c *Lifecycle) SuccessorChanged(now time.Duration, stands bool) {
	c.successor = stands
	switch {
	case stands && c.state == Stopping:
		c.state, c.shutAt = HandingOver, min(c.shutAt, now+passFor)
	case !stands && c.state == HandingOver:
		c.state = Stopping
	}
}

// Stop is the order to end; longest is the longest that a client waits, 0 where neither settings nor clients have told. A
// second order changes nothing.
func (c *Lifecycle) Stop(now, longest time.Duration) {
	if c.state >= HandingOver {
		return
	}
	c.last = now + min(cmp.Or(longest, shutAfter-leaveAfter), longMost) + leaveAfter
	switch {
	case c.successor:
		c.shutAt = now + passFor
	case c.state == Standby: // who was to turn elsewhere has had the time for it
		c.shutAt = max(now, c.since+drainShut)
	default:
		c.shutAt = now + shutAfter
	}
	c.shutAt = min(c.shutAt, c.last-leaveMargin)
	if c.successor {
		c.enter(HandingOver, now)
	} else {
		c.enter(Stopping, now)
	}
}

// At tells how the process behaves.
func (c *Lifecycle) Behavior(now time.Duration) (m Behavior) {
	age := now - c.since
	switch c.state {
	case Starting:
		m = Behavior{Admits: true, Accepts: true}
	case Ready:
		m = Behavior{Ready: true, Admits: true, Accepts: true}
	case Standby:
		m = Behavior{Admits: age < drainTakes, Accepts: true, ClosesIdle: age >= drainShut, ClosesPartial: age >= drainSweep, KeepsCallbacks: true}
	case HandingOver, Stopping:
		shuts := now >= c.shutAt
		handing := c.state == HandingOver
		m = Behavior{Ready: handing, Accepts: !handing, Admits: now < c.last, ClosesIdle: shuts, ExitsWhenIdle: shuts || handing, KeepsCallbacks: handing,
			Migrates: handing && now < c.last, FailsRemaining: now >= c.last,
			Exits: now >= c.last+leaveMargin}
	}
	return m
}

// Next is when the behaviour changes by time alone; false: not any more.
func (c *Lifecycle) NextChange(now time.Duration) (time.Duration, bool) {
	var times []time.Duration
	switch c.state {
	case Standby:
		times = []time.Duration{c.since + drainShut, c.since + drainTakes, c.since + drainSweep}
	case Stopping, HandingOver:
		times = []time.Duration{c.shutAt, c.last, c.last + leaveMargin}
	}
	for _, at := range times {
		if at > now {
			return at, true
		}
	}
	return 0, false
}
