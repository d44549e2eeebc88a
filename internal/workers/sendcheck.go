package workers

import (
	"stoatweir/internal/conn"
	"stoatweir/internal/invariant"
)

// Causes for which the check before the first byte stops an attempt: the keys of
// Counts.StoppedAttempts.
const (
	stoppedWorker    = "worker"    // the worker is draining or gone, or has restarted or moved since it was chosen
	stoppedClient    = "client"    // the client has left or has its answer
	stoppedTimeout   = "timeout"   // the client timeout has passed
	stoppedWindow    = "window"    // the deduplication window has passed
	stoppedViolation = "violation" // the attempt would violate an invariant
)

// stopOutcome is the counter key and the close reason of an attempt that the check stops.
type stopOutcome struct {
	counter string
	reason  conn.CloseReason
}

// stopOutcomes maps the checker's reasons that stem from a change since the dispatcher's decision.
// Any other reason is a violation.
var stopOutcomes = map[invariant.Reason]stopOutcome{
	invariant.WorkerUnavailable: {counter: stoppedWorker, reason: conn.WorkerUnavailable},
	invariant.WorkerRestarted:   {counter: stoppedWorker, reason: conn.WorkerUnavailable},
	invariant.WorkerMoved:       {counter: stoppedWorker, reason: conn.WorkerUnavailable},
	invariant.ClientGone:        {counter: stoppedClient, reason: conn.NotSent},
	invariant.TimeoutPassed:     {counter: stoppedTimeout, reason: conn.NotSent},
	invariant.WindowPassed:      {counter: stoppedWindow, reason: conn.NotSent},
}

// checkSend asks the invariant checker immediately before the first byte of an attempt is written,
// because the connection may have taken long to be established and the process may have been
// paused. It returns conn.NotClosed if the attempt may be sent.
func (t *Transport) checkSend(a *attempt, check invariant.Attempt) conn.CloseReason {
	check.Current = a.target()
	check.Deadline = a.invocation.Deadline
	checkReason := t.Invariants.CheckSend(check)
	if checkReason == "" {
		return conn.NotClosed
	}
	outcome, known := stopOutcomes[checkReason]
	if !known {
		outcome = stopOutcome{counter: stoppedViolation, reason: conn.NotSent}
	}
	t.Counts.StoppedAttempts[outcome.counter]++
	return outcome.reason
}
