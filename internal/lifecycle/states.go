package lifecycle

import "time"

// State is a state of the process.
type State uint8

// The states of a process. From HandingOver on no order changes the state any more; only the successor's coming and
// going moves the process between HandingOver and Stopping.
const (
	Starting    State = iota // no endpoint list is known yet
	Ready                    // serving
	Standby                  // drained by an operator; the process stays up
	HandingOver              // shutting down while a successor serves at the same address
	Stopping                 // shutting down with no successor
)

var stateNames = [...]string{"starting", "ready", "standby", "handing over", "stopping"}

// String gives the state as the logs have it.
func (s State) String() string { return stateNames[s] }

// Lifecycle is the state machine of one process. Its zero value is a process that starts. It is not safe for concurrent
// use.
type Lifecycle struct {
	state          State
	enteredAt      time.Duration // when the state was entered
	endpointsKnown bool          // there is a list to serve by, whatever the state
	successor      bool          // another process serves at the same address

	// Set by Stop.
	closeAt time.Duration // when client connections close
	failAt  time.Duration // when outstanding requests are answered with a failure
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// enter changes the state; entering the current state again keeps the time of its entry.
func (l *Lifecycle) enter(s State, now time.Duration) {
	if l.state == s {
		return
	}
	l.state = s
	l.enteredAt = now
}
