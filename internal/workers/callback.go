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
func (t *Transport) HandleCallback(callback Callback) bool {
	t.Counts.Callbacks++
	a := t.attemptsByCallback[callbackKey{callID: callback.ID, workerUID: callback.WorkerUID}]
	if a == nil {
		t.Counts.UnknownCallbacks++
		return false
	}
	hasResult := callback.State == callbackDone && callback.Result != nil
	if !a.sendStarted && !hasResult {
		t.Counts.UnknownCallbacks++ // late, for an earlier attempt at that worker: no byte of this one has been written
		return true
	}
	callback.Load = a.worker.filterReport(callback.Load, t.deployment.Report.Unknown())
	t.applyCallback(a, callback)
	return true
}

// applyCallback reports the progress of an attempt or ends it, depending on the callback's state.
func (t *Transport) applyCallback(a *attempt, callback Callback) {
	switch callback.State {
	case callbackStarted, callbackRunning:
		a.started = true
		t.OnEvent(dispatch.AttemptProgress{
			Invocation: a.invocation.Number,
			Worker:     a.worker.endpoint.Worker,
			Attempt:    a.number,
			Started:    callback.State == callbackStarted,
			Done:       callback.Progress,
		})
	case callbackDone:
		if callback.Result == nil {
			t.endAttempt(a, conn.Malformed, callback.Load)
			return
		}
		t.Deliver(a.invocation.Number, *callback.Result)
		t.endAttempt(a, conn.Succeeded, callback.Load)
	case callbackFailed:
		t.endAttempt(a, conn.WorkerError, callback.Load)
	case callbackReturned:
		t.handleReturned(a, callback.Load)
	case callbackLost:
		t.endAttempt(a, conn.Lost, callback.Load)
	default:
		t.Counts.UnknownCallbacks++
	}
}

// handleReturned ends an attempt that its worker has returned unstarted.
//
// A callback names the invocation and the worker, but not the attempt, and a worker repeats a
// callback whose response it has not received. If an earlier attempt was written to the same worker,
// the callback may therefore be a repeat of the one that returned the earlier attempt, while this
// one waits or runs at the worker. It proves nothing about this attempt, which stays in flight.
func (t *Transport) handleReturned(a *attempt, load *dispatch.LoadReport) {
	if !a.invocation.writtenBefore(a.number, a.worker) {
		t.endAttempt(a, conn.Returned, load)
		return
	}
	t.Counts.AmbiguousReturns++
	if a.started {
		return // a worker returns only what it has not started, so this is a repeat
	}
	t.OnEvent(dispatch.AttemptProgress{
		Invocation:    a.invocation.Number,
		Worker:        a.worker.endpoint.Worker,
		Attempt:       a.number,
		MayBeReturned: true,
	})
}
