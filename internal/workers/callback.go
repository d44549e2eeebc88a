package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// The states that a callback may report, as they are on the wire.
const (
	callbackStarted  = "started"
	callbackRunning  = "running"
	callbackDone     = "done"
	callbackFailed   = "failed"
	callbackReturned = "returned"
	callbackLost     = "lost"
)

// Callback is a worker's report about an attempt that it has accepted.
type Callback struct {
	ID, WorkerUID, State string               // the invocation's ID, the worker's UID, and one of the callback states
	Progress             float64              // completed fraction of the work, from 0 to 1
	Result               *string              // the result, if the state is done; nil: none was reported
	Load                 *dispatch.LoadReport // the worker's load report; nil: none was reported
}

// HandleCallback applies a callback to its attempt and reports whether this process has the
// attempt. An attempt is removed when it ends, so repeated and late callbacks find none. An attempt
// that is not found may also have been sent by another process.
func (t *Transport) HandleCallback(cb Callback) bool {
	t.Counts.Callbacks++
	a := t.attemptsByCallback[callbackKey{callID: cb.ID, workerUID: cb.WorkerUID}]
	if a == nil {
		t.Counts.UnknownCallbacks++
		return false
	}
	hasResult := cb.State == callbackDone && cb.Result != nil
	if !a.written && !hasResult {
		t.Counts.UnknownCallbacks++ // late, for an earlier attempt at that worker: no byte of this one has been written
		return true
	}
	cb.Load = a.worker.filterReport(cb.Load, t.deployment.Report.Unknown())
	t.applyCallback(a, cb)
	return true
}

// applyCallback reports the progress of an attempt or ends it, depending on the callback's state.
func (t *Transport) applyCallback(a *attempt, cb Callback) {
	switch cb.State {
	case callbackStarted, callbackRunning:
		a.started = true
		t.OnEvent(dispatch.AttemptProgress{
			Invocation: a.invocation.Number,
			Worker:     a.worker.endpoint.Worker,
			Attempt:    a.number,
			Started:    cb.State == callbackStarted,
			Done:       cb.Progress,
		})
	case callbackDone:
		if cb.Result == nil {
			t.endAttempt(a, conn.Malformed, cb.Load)
			return
		}
		t.Deliver(a.invocation.Number, *cb.Result)
		t.endAttempt(a, conn.Succeeded, cb.Load)
	case callbackFailed:
		t.endAttempt(a, conn.WorkerError, cb.Load)
	case callbackReturned:
		t.endAttempt(a, conn.Returned, cb.Load)
	case callbackLost:
		t.endAttempt(a, conn.Lost, cb.Load)
	default:
		t.Counts.UnknownCallbacks++
	}
}
