package conn

import (
	"errors"
	"syscall"

	"stoatweir/dispatch"
)

// Ending is how a connection, or what was asked over it, has come to its end.
type Ending uint8

const (
	Open       Ending = iota // it has not ended
	Refused                  // nobody listens there
	NeverUp                  // it did not come up in time
	Crowded                  // no descriptor was left for it
	Withheld                 // it came up when the worker was no longer to get anything
	CutShort                 // it broke before the request's last byte was written
	Closed                   // the peer closed it with the request unanswered, as workers do on what they can't read
	Reset                    // the peer or the network reset it with the request unanswered
	Stale                    // it was a kept one that ended at its next use, with no byte of an answer
	Stalled                  // the peer reads or sends nothing for too long
	Garbage                  // what the peer sent can't be read
	TurnedAway               // the answer says that the worker did not look at it
	HandedBack               // taken, and given back unstarted
	Faulted                  // the worker failed on it
	Unfit                    // the worker says that the request itself is at fault
	Lost                     // taken, and the process that had it died
	Served                   // the worker's result is there
	Expired                  // we stopped waiting at the client timeout
	CalledOff                // we gave it up before
	Unsent                   // the client had its answer, or its window had passed, before it could go out
)

// results is the one place where endings become what the module is told. Only what proves that nothing has run may
// stand beside Full, Unreachable or NotSent: all else counts as having run. Our own want of descriptors is no word on the
// worker, which Unreachable would set aside.
var results = [...]dispatch.Result{
	Open: dispatch.TimedOut, Refused: dispatch.Unreachable, NeverUp: dispatch.Unreachable,
	Crowded: dispatch.Full, Withheld: dispatch.Unreachable, CutShort: dispatch.Unreachable,
	Closed: dispatch.Unfit, Reset: dispatch.Broken, Stale: dispatch.Dropped, Stalled: dispatch.TimedOut, Garbage: dispatch.Failed,
	TurnedAway: dispatch.Full, HandedBack: dispatch.Full, Faulted: dispatch.Failed, Unfit: dispatch.Unfit, Lost: dispatch.Broken,
	Served: dispatch.Succeeded, Expired: dispatch.TimedOut, CalledOff: dispatch.Cancelled, Unsent: dispatch.NotSent,
}

// Result is the module's word for the ending of a forward or a probe.
func (e Ending) Result() dispatch.Result { return results[e] }

// NeverRan tells whether it proves that nothing has run.
func (e Ending) NeverRan() bool {
	switch e.Result() {
	case dispatch.Full, dispatch.Unreachable, dispatch.NotSent:
		return true
	}
	return false
}

// Written tells whether the whole request had gone out when it came to that end.
func (e Ending) Written() bool {
	switch e {
	case Closed, Reset, Stale, Garbage:
		return true
	}
	return false
}

var names = [...]string{"open", "refused", "never up", "crowded", "withheld", "cut short", "closed", "reset",
	"stale", "stalled", "garbage", "turned away", "handed back", "faulted", "unfit", "lost", "served", "expired", "called off", "unsent"}

func (e Ending) String() string { return names[e] }

// dialled tells how an attempt to connect has failed.
func dialled(err error) Ending {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return Refused
	}
	return NeverUp
}
