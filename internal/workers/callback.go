package workers

import (
	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// States that a callback may report.
const (
	callbackStarted  = "started"
	callbackRunning  = "running"
	callbackDone     = "done"
	callbackFailed   = "failed"
	callbackReturned = "returned"
	callbackLost     = "lost"
)

// Callback is what a worker reports about an attempt that it has accepted.
type Callback struct {
	ID, WorkerUID, State string               // the invocation's id, the worker's uid, one of the callback states
	Progress             float64              // of the work that is done, 0 to 1
	Result               *string              // the result, with the state done
	Load                 *dispatch.LoadReport // the worker's load; nil: not reported
}

// HandleCallback applies a callback to its attempt and reports whether the attempt is one of this
// process. The end of an attempt removes it, so that repeated and late callbacks find none; another
// process may have sent what is not known here.
func (t *Transport) HandleCallback(cb Callback) bool {
	t.Counts.Callbacks++
	a := t.attemptsByCallback[callbackKey{callID: cb.ID, workerUID: cb.WorkerUID}]
	if a == nil {
		t.Counts.UnknownCallbacks++
		return false
	}
	hasResult := cb.State == callbackDone && cb.Result != nil
	if !a.written && !hasResult {
		t.Counts.UnknownCallbacks++ // late, and of an earlier attempt at that worker: nothing of this one has been written
		return true
	}
	cb.Load = a.worker.filterReport(cb.Load, t.deployment.Report.Unknown())
	t.applyCallback(a, cb)
	return true
}

// applyCallback reports the progress of an attempt or ends it.
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
