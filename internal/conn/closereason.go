package conn

import "stoatweir/dispatch"

// CloseReason is the reason why a connection, or a request sent over it, ended.
type CloseReason uint8

// The close reasons. dispatchResults has the dispatcher's result for each of them.
const (
	NotClosed         CloseReason = iota // the connection or request has not ended
	Refused                              // the connection was refused: no process listens at the address
	ConnectTimeout                       // the connection was not established in time
	NoDescriptor                         // no file descriptor was available
	WorkerUnavailable                    // once connected, the worker was no longer allowed to receive requests
	NotWritten                           // the connection failed before the last byte of the request was written
	Closed                               // the peer closed it before answering, as workers do on unreadable requests
	Reset                                // the peer or the network reset it before the request was answered
	Stale                                // a reused connection ended before the first byte of the response
	Stalled                              // the peer read or sent nothing for too long
	Malformed                            // the peer sent bytes that can't be parsed
	Rejected                             // the response says that the worker did not process the request
	Returned                             // the worker accepted the request and returned it unstarted
	WorkerError                          // the worker failed while processing the request
	BadRequest                           // the worker says that the request itself is invalid
	Lost                                 // the worker accepted the request, and the process running it died
	Succeeded                            // the worker returned a result
	TimedOut                             // the client timeout passed before the worker answered
	Cancelled                            // this process cancelled the request before the client timeout
	LocalError                           // this machine could not connect: no port, buffer, descriptor or route
	NotSent                              // the client was answered or left, or a time limit passed, before the request was sent
)

// dispatchResults is the only mapping from close reasons to results for the dispatcher. A reason
// may map to Rejected, Unreachable or NotSent only if it proves that the request has not run; the
// dispatcher assumes for all other results that it may have run. Unreachable makes the dispatcher
// eject the worker, so a lack of local resources, which says nothing about the worker, must not map
// to it.
var dispatchResults = [...]dispatch.Result{
	NotClosed:         dispatch.TimedOut,
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

// Result returns the dispatcher's result for an attempt or a health check that ended for reason r.
func (r CloseReason) Result() dispatch.Result { return dispatchResults[r] }

// ProvesNotRun reports whether the reason proves that the worker has not run any of the request.
func (r CloseReason) ProvesNotRun() bool {
	switch r.Result() {
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent:
		return true
	}
	return false
}

// Written reports whether r implies that the whole request had been written to the connection.
func (r CloseReason) Written() bool {
	switch r {
	case Closed, Reset, Stale, Malformed:
		return true
	}
	return false
}

// closeReasonNames are the keys of the counters of ended connections and requests.
var closeReasonNames = [...]string{
	NotClosed:         "open",
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

// String returns the key of the reason's counter in the /-/counts response.
func (r CloseReason) String() string { return closeReasonNames[r] }
