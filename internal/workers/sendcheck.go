package workers

import (
	"stoatweir/internal/conn"
	"stoatweir/internal/invariant"
)

// Why the check before the first byte stopped an attempt: the keys of Counts.Stopped.
const (
	stoppedWorker    = "worker"    // it is draining or gone, has restarted or moved since it was chosen
	stoppedClient    = "client"    // it has left, or has its answer
	stoppedTimeout   = "timeout"   // the client timeout has passed
	stoppedWindow    = "window"    // the deduplication window has passed
	stoppedViolation = "violation" // the attempt breaks a rule
)

// stop is how an attempt that may not be sent is counted and ends.
type stop struct {
	counter string
	reason  conn.CloseReason
}

// stopReasons maps what had changed since the decision; any other reason of the checker is a
// violation.
var stopReasons = map[invariant.Reason]stop{
	invariant.WorkerUnavailable: {counter: stoppedWorker, reason: conn.WorkerUnavailable},
	invariant.WorkerRestarted:   {counter: stoppedWorker, reason: conn.WorkerUnavailable},
	invariant.WorkerMoved:       {counter: stoppedWorker, reason: conn.WorkerUnavailable},
	invariant.ClientGone:        {counter: stoppedClient, reason: conn.NotSent},
	invariant.TimeoutPassed:     {counter: stoppedTimeout, reason: conn.NotSent},
	invariant.WindowPassed:      {counter: stoppedWindow, reason: conn.NotSent},
}

// checkSend asks the checker directly before the first byte of an attempt is written, as the
// connection may have taken long to come up and this process long to run. conn.Open allows the
// send.
func (t *Transport) checkSend(a *attempt, check invariant.Attempt) conn.CloseReason {
	check.Current = a.target()
	check.Deadline = a.invocation.Deadline
	why := t.Invariants.CheckSend(check)
	if why == "" {
		return conn.Open
	}
	s, known := stopReasons[why]
	if !known {
		s = stop{counter: stoppedViolation, reason: conn.NotSent}
	}
	t.Counts.Stopped[s.counter]++
	return s.reason
}
