package conn

import (
	"errors"
	"syscall"

	"stoatweir/dispatch"
)

// Ending is how a connection, or what was asked over it, has come to its end.
type CloseReason uint8

const (
	Open              CloseReason = iota // it has not ended
	Refused                              // nobody listens there
	ConnectTimeout                       // it did not come up in time
	NoDescriptor                         // no descriptor was left for it
	WorkerUnavailable                    // it came up when the worker was no longer to get anything
	NotWritten                           // it broke before the request's last byte was written
	Closed                               // the peer closed it with the request unanswered, as workers do on what they can't read
	Reset                                // the peer or the network reset it with the request unanswered
	Stale                                // it was a kept one that ended at its next use, with no byte of an answer
	Stalled                              // the peer reads or sends nothing for too long
	Malformed                            // what the peer sent can't be read
	Rejected                             // the answer says that the worker did not look at it
	Returned                             // taken, and given back unstarted
	WorkerError                          // the worker failed on it
	BadRequest                           // the worker says that the request itself is at fault
	Lost                                 // taken, and the process that had it died
	Succeeded                            // the worker's result is there
	TimedOut                             // we stopped waiting at the client timeout
	Cancelled                            // we gave it up before
	LocalError                           // our own machine could not make it: no port, no buffer, no descriptor, no way out
	NotSent                              // the client had its answer, or its window had passed, before it could go out
)

// results is the one place where endings become what the module is told. Only what proves that nothing has run may
// stand beside Full, Unreachable or NotSent: all else counts as having run. What our own machine has not got is no word on the
// worker, which Unreachable would set aside.
var results = [...]dispatch.Result{
	Open: dispatch.TimedOut, Refused: dispatch.Unreachable, ConnectTimeout: dispatch.Unreachable,
	NoDescriptor: dispatch.Rejected, WorkerUnavailable: dispatch.Unreachable, NotWritten: dispatch.Unreachable,
	Closed: dispatch.BadRequest, Reset: dispatch.ConnectionBroken, Stale: dispatch.ReusedConnectionBroken, Stalled: dispatch.TimedOut, Malformed: dispatch.Failed,
	Rejected: dispatch.Rejected, Returned: dispatch.Rejected, WorkerError: dispatch.Failed, BadRequest: dispatch.BadRequest, Lost: dispatch.ConnectionBroken,
	Succeeded: dispatch.Succeeded, TimedOut: dispatch.TimedOut, Cancelled: dispatch.Cancelled, LocalError: dispatch.Rejected, NotSent: dispatch.NotSent,
}

// Result is the module's word for the ending of a forward or a probe.
func (e CloseReason) Result() dispatch.Result { return results[e] }

// NeverRan tells whether it proves that nothing has run.
func (e CloseReason) ProvesNotRun() bool {
	switch e.Result() {
	case dispatch.Rejected, dispatch.Unreachable, dispatch.NotSent:
		return true
	}
	return false
}

// Written tells whether the whole request had gone out when it came to that end.
func (e CloseReason) Written() bool {
	switch e {
	case Closed, Reset, Stale, Malformed:
		return true
	}
	return false
}

var names = [...]string{"open", "refused", "connect timeout", "no descriptor", "worker unavailable", "not written", "closed", "reset",
	"stale", "stalled", "malformed", "rejected", "returned", "worker error", "bad request", "lost", "succeeded", "timed out", "cancelled", "local error", "not sent"}

func (e CloseReason) String() string { return names[e] }

// ownErrors are those by which our own machine says that it can't connect to anybody now.
var ownErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
	syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.EACCES}

// dialled tells how an attempt to connect has failed.
func dialled(err error) CloseReason {
	for _, own := range ownErrors {
		if errors.Is(err, own) {
			return LocalError
		}
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return Refused
	}
	return ConnectTimeout
}
