package conn

import "stoatweir/dispatch"

// CloseReason is how a connection, or a request over it, came to its end.
type CloseReason uint8

// The close reasons. What they mean for the dispatcher is in dispatchResults.
const (
	Open              CloseReason = iota // it has not ended
	Refused                              // nobody listens at the address
	ConnectTimeout                       // it did not come up in time
	NoDescriptor                         // no descriptor was left for it
	WorkerUnavailable                    // it came up when nothing might be sent to the worker any more
	NotWritten                           // it broke before the request's last byte was written
	Closed                               // the peer closed it with the request unanswered, as workers do on what they can't read
	Reset                                // the peer or the network reset it with the request unanswered
	Stale                                // a reused one ended at its next use, with no byte of a response
	Stalled                              // the peer reads or sends nothing for too long
	Malformed                            // what the peer sent can't be read
	Rejected                             // the response says that the worker did not look at the request
	Returned                             // the worker accepted the request and returned it unstarted
	WorkerError                          // the worker failed on the request
	BadRequest                           // the worker says that the request itself is at fault
	Lost                                 // the worker accepted the request, and the process that had it died
	Succeeded                            // the worker's result is there
	TimedOut                             // we stopped waiting at the client timeout
	Cancelled                            // we cancelled it before that
	LocalError                           // our own machine could not connect: no port, buffer, descriptor or route
	NotSent                              // the client had its answer, or the window had passed, before it could be sent
)

// dispatchResults is the one place where close reasons become results for the dispatcher. Only what
// proves that nothing has run may map to Rejected, Unreachable or NotSent: all else counts as having
// run. What our own machine lacks says nothing about the worker, which Unreachable would eject.
var dispatchResults = [...]dispatch.Result{
	Open:              dispatch.TimedOut,
	Refused:           dispatch.Unreachable,
	ConnectTimeout:    dispatch.Unreachable,
	NoDescriptor:      dispatch.Rejected,
	WorkerUnavailable: dispatch.Unreachable,
	NotWritten:        dispatch.Unreachable,
	Closed:            dispatch.BadRequest,
	Reset:             dispatch.ConnectionBroken,
	Stale:             dispatch.ReusedConnectionBroken,
	Stalled:           dispatch.TimedOut,
	Malformed:         dispatch.Failed,
	Rejected:          dispatch.Rejected,
	Returned:          dispatch.Rejected,
	WorkerError:       dispatch.Failed,
	BadRequest:        dispatch.BadRequest,
	Lost:              dispatch.ConnectionBroken,
	Succeeded:         dispatch.Succeeded,
	TimedOut:          dispatch.TimedOut,
	Cancelled:         dispatch.Cancelled,
	LocalError:        dispatch.Rejected,
	NotSent:           dispatch.NotSent,
}

// Result returns the dispatcher's result for an attempt or a health check that ended so.
func (r CloseReason) Result() dispatch.Result { return dispatchResults[r] }

// ProvesNotRun reports whether the reason proves that nothing has run.
func (r CloseReason) ProvesNotRun() bool {
	switch r.Result() {
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent:
		return true
	}
	return false
}

// Written reports whether the whole request had been written when it ended so.
func (r CloseReason) Written() bool {
	switch r {
	case Closed, Reset, Stale, Malformed:
		return true
	}
	return false
}

// closeReasonNames are the keys under which ends are counted.
var closeReasonNames = [...]string{
	Open:              "open",
	Refused:           "refused",
	ConnectTimeout:    "connect timeout",
	NoDescriptor:      "no descriptor",
	WorkerUnavailable: "worker unavailable",
	NotWritten:        "not written",
	Closed:            "closed",
	Reset:             "reset",
	Stale:             "stale",
	Stalled:           "stalled",
	Malformed:         "malformed",
	Rejected:          "rejected",
	Returned:          "returned",
	WorkerError:       "worker error",
	BadRequest:        "bad request",
	Lost:              "lost",
	Succeeded:         "succeeded",
	TimedOut:          "timed out",
	Cancelled:         "cancelled",
	LocalError:        "local error",
	NotSent:           "not sent",
}

// String returns the reason's key under /-/counts.
func (r CloseReason) String() string { return closeReasonNames[r] }
