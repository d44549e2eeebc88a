package discovery

import (
	"errors"
	"math/rand/v2"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

const (
	// maxConnections is how many connections a watcher has: the current watch, and one that is overdue or goes to
	// a new address.
	maxConnections = 2
	// noRevision asks discovery for the whole list.
	noRevision uint64 = 0
)

// Watcher holds the watch of the endpoint list. It is not safe for concurrent use: its methods are called, and
// call back, in the goroutine of its loop.
type Watcher struct {
	// OnUpdate is called with each update. A failure of the current watch is an update too, of kind
	// dispatch.WatchFailed: the callee decides when to call Watch again.
	OnUpdate func(Update)
	// OnFailure is called, before OnUpdate, with the cause of a failure as text for the log, and once for a new
	// address that can't be reached.
	OnFailure func(why string)
	// PollWithin is the time the settings give for polling; 0: changes are pushed.
	PollWithin time.Duration
	// WallClock reads the machine's wall clock, which may be stepped.
	WallClock func() time.Time
	// Rand spreads the requests of schedulers that change the address together; nil: there is no jitter.
	Rand *rand.Rand
	// WatchesStarted counts the requests to discovery.
	WatchesStarted int

	loop  *conn.Loop
	quota *conn.Quota

	zones      nameIndex
	kinds      nameIndex
	ids        idTable
	startTimes *startTimes
	revision   uint64 // of the last list

	addr         string // where the next request goes
	current      *watch // nil: none
	overdue      *watch // timed out before its first list and may still be served, beside the current one; nil: none
	lastTimedOut bool   // the last watch to time out was established
	failures     int    // watches in a row that failed before their first list

	changingAddress   bool
	candidate         *watch // the watch of the new address while that is not established; nil: none
	candidateAttempts int    // failed attempts to reach the new address
	candidateTimer    *conn.Timer
}

// New returns a watcher that has sent no request yet. zones and kinds are the configured names in the order of
// their indices; start is when the loop's clock stood at zero.
func New(loop *conn.Loop, addr string, zones, kinds []string, start time.Time) *Watcher {
	w := &Watcher{
		WallClock: time.Now,
		loop:      loop,
		quota:     loop.NewQuota(maxConnections),
		zones:     newNameIndex(zones),
		kinds:     newNameIndex(kinds),
		ids:       newIDTable(),
		addr:      addr,
	}
	// WallClock may be replaced later, so it is read with each call.
	w.startTimes = newStartTimes(start, loop.Clock, func() time.Time { return w.WallClock() })
	return w
}

// ZoneIndex returns the index of a zone's name; a name not seen before gets the next one.
func (w *Watcher) ZoneIndex(name string) int { return w.zones.indexOf(name) }

// KindIndex returns the index of the name of a kind of workers; a name not seen before gets the next one.
func (w *Watcher) KindIndex(name string) int { return w.kinds.indexOf(name) }

// Kinds returns the names of all kinds of workers by index.
func (w *Watcher) Kinds() []string { return w.kinds.names() }

// Zones returns the names of all zones by index.
func (w *Watcher) Zones() []string { return w.zones.names() }

// ClockSteps returns how often the wall clock was seen to be stepped.
func (w *Watcher) ClockSteps() int { return w.startTimes.steps }

// Established reports whether a watch is open that has received something.
func (w *Watcher) Established() bool { return w.current != nil && w.current.established }

// Watch begins a watch from the known revision and closes one that is established. A request that has received
// nothing yet is left alone: discovery serves requests in turn, and a new one would queue behind all others. So
// is one that goes to a new address.
func (w *Watcher) Watch() {
	if w.changingAddress || w.current != nil && !w.current.established {
		return
	}
	w.current.close()
	timeout := w.listTimeout()
	if w.lastTimedOut {
		// Once only: where many requests queue at discovery, a short timeout each time would have none served.
		timeout = min(timeout, reconnectTimeout)
	}
	w.lastTimedOut = false
	w.current = w.open(w.revision, timeout)
}

// open sends a request for all that follows a revision; timeout bounds the time to its first list.
func (w *Watcher) open(revision uint64, timeout time.Duration) *watch {
	w.WatchesStarted++
	opened := &watch{
		watcher:  w,
		addr:     w.addr,
		revision: revision,
		parser:   http1.Parser{ReadsResponses: true, Stream: true},
	}
	opened.conn = w.quota.Dial(w.addr, connectTimeout, opened)
	opened.setTimeout(timeout, opened.timedOut)
	return opened
}

// watchFailed ends a watch, or keeps it as the overdue one.
func (w *Watcher) watchFailed(failed *watch, cause error) {
	if w.worthKeeping(failed, cause) {
		w.overdue = failed
		failed.setTimeout(overdueTimeout, failed.overdueTimedOut)
	} else {
		failed.close()
	}
	switch {
	case failed == w.overdue && failed != w.current:
		w.overdue = nil
	case failed == w.candidate:
		w.candidate = nil
		w.candidateFailed(cause)
	case failed == w.current && w.changingAddress:
		w.current = nil // expected: its address goes away, and the next one is being dialled
	case failed == w.current:
		w.current = nil
		w.failures++
		w.OnFailure(cause.Error())
		w.OnUpdate(Update{Kind: dispatch.WatchFailed})
	}
}

// worthKeeping reports whether a request that has timed out may go on beside the next one. Discovery serves
// requests in turn, and where that takes longer than the timeout of one, none would ever be served; the oldest
// is nearest to its turn.
func (w *Watcher) worthKeeping(failed *watch, cause error) bool {
	return errors.Is(cause, errTimedOut) &&
		failed == w.current && !failed.established && failed.conn.Established() &&
		!w.changingAddress && w.overdue == nil
}

// watchReceived reports an update. The watch that brought it becomes the current one, and others end.
func (w *Watcher) watchReceived(from *watch, update Update) {
	if from == w.candidate || from == w.overdue {
		w.current.close()
		w.current = from
	}
	if from == w.candidate {
		w.candidate = nil
		w.changingAddress = false
	}
	if from != w.overdue {
		w.overdue.close()
	}
	w.overdue = nil
	w.failures = 0
	from.established = true
	from.extendTimeout()
	w.OnUpdate(update)
}

// requireFullList has the next watch request the whole list: changes would apply to an unknown one.
func (w *Watcher) requireFullList() {
	w.revision = noRevision
	w.overdue.close()
	w.overdue = nil
}
