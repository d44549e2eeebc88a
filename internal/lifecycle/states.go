package lifecycle

import "time"

// State is a state in the lifecycle of a process.
type State uint8

// The states of a process, in an order on which comparisons rely: once the state is HandingOver or
// Stopping, no order changes it, and only the start and exit of a successor move the process between these
// two.
const (
	Starting    State = iota // no endpoint list is known yet
	Ready                    // serving
	Standby                  // drained by an operator; the process keeps running
	HandingOver              // shutting down while a successor serves at the same address
	Stopping                 // shutting down with no successor
)

var stateNames = [...]string{"starting", "ready", "standby", "handing over", "stopping"}

// String returns the name of the state for logs and admin answers.
func (s State) String() string { return stateNames[s] }

// Lifecycle is the state machine of one process. The zero value is a process in state Starting. It is not
// safe for concurrent use.
type Lifecycle struct {
	state              State
	enteredAt          time.Duration // when the state was entered
	endpointsKnown     bool          // EndpointsKnown was called, in whatever state
	successorServing   bool          // another process serves at the same address
	predecessorRunning bool          // the process that this one replaces has not exited yet

	// Set by Stop.
	closeAt time.Duration // when client connections are closed
	failAt  time.Duration // when outstanding requests are failed
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// enter changes the state. Entering the current state again does not change enteredAt.
func (l *Lifecycle) enter(s State, now time.Duration) {
	if l.state == s {
		return
	}
	l.state = s
	l.enteredAt = now
}
