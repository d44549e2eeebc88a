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
	// maxConnections is the maximum number of connections of a watcher: the current watch, an
	// overdue one, and one to a new address.
	maxConnections = 3
	// noRevision as the requested revision asks discovery for the whole list.
	noRevision uint64 = 0
)

// Watcher maintains the watch of the endpoint list. It is not safe for concurrent use: its methods
// must be called in the goroutine of its loop, in which its callbacks run too.
type Watcher struct {
	// OnUpdate is called with each update. The failure of the current watch is also reported as an
	// update, of kind dispatch.WatchFailed; the callee decides when to call Watch again.
	OnUpdate func(Update)
	// OnFailure is called, before OnUpdate, with the cause of a failure as text for the log. After
	// a change of the address it is also called once if the new address cannot be reached.
	OnFailure func(cause string)
	// PollWithin is the time that the settings allow for polling the list; 0 means that changes are
	// pushed.
	PollWithin time.Duration
	// WallClock reads the machine's wall clock, which may be stepped.
	WallClock func() time.Time
	// Rand spreads the requests of schedulers whose address is changed at the same time; nil means
	// no jitter.
	Rand *rand.Rand
	// WatchesStarted counts the requests to discovery.
	WatchesStarted int

	loop  *conn.Loop
	quota *conn.Quota

	zones      nameIndex
	kinds      nameIndex
	ids        idTable
	startTimes *startTimes
	revision   uint64 // of the last list or change

	addr                string // for the next request
	current             *watch // nil: none
	overdue             *watch // timed out before its first list and may still be served, besides the current one or the candidate; nil: none
	lastTimedOut        bool   // the last watch to time out was established
	consecutiveFailures int    // number of consecutive failures of watches since anything was received

	changingAddress   bool
	candidate         *watch // watch of the new address until it is established; nil: none
	candidateAttempts int    // failed attempts to reach the new address
	candidateTimer    *conn.Timer
}

// NewWatcher returns a watcher that has sent no request yet. zones and kinds are the configured
// names in the order of their indices; start is the time at which the loop's clock was zero.
func NewWatcher(loop *conn.Loop, addr string, zones, kinds []string, start time.Time) *Watcher {
	w := &Watcher{
		WallClock: time.Now,
		loop:      loop,
		quota:     loop.NewQuota(maxConnections),
		zones:     newNameIndex(zones),
		kinds:     newNameIndex(kinds),
		ids:       newIDTable(),
		addr:      addr,
	}
	// WallClock may be replaced later, so it is read on each call.
	w.startTimes = newStartTimes(start, loop.Clock, func() time.Time { return w.WallClock() })
	return w
}

// ZoneIndex returns the index of a zone's name; a name not seen before gets the next index.
func (w *Watcher) ZoneIndex(name string) int { return w.zones.indexOf(name) }

// KindIndex returns the index of the name of a kind of workers; a name not seen before gets the
// next index.
func (w *Watcher) KindIndex(name string) int { return w.kinds.indexOf(name) }

// Kinds returns the names of all kinds of workers, in the order of their indices.
func (w *Watcher) Kinds() []string { return w.kinds.names() }

// Zones returns the names of all zones, in the order of their indices.
func (w *Watcher) Zones() []string { return w.zones.names() }

// ClockSteps returns the number of steps of the wall clock that were seen.
func (w *Watcher) ClockSteps() int { return w.startTimes.clockSteps }

// Established reports whether the current watch has received a complete list, change or keep-alive.
func (w *Watcher) Established() bool { return w.current != nil && w.current.established }

// Watch starts a watch from the known revision, and closes the current one if that is established.
// A request that has received nothing yet is left alone: discovery serves requests one after
// another, and a new request would queue behind all others. A request to a new address is left
// alone too.
func (w *Watcher) Watch() {
	if w.changingAddress || w.current != nil && !w.current.established {
		return
	}
	w.current.close()
	timeout := w.listTimeout()
	if w.lastTimedOut {
		// Applied once only: if many requests queue at discovery and each had a short timeout, none
		// would be served.
		timeout = min(timeout, reconnectTimeout)
	}
	w.lastTimedOut = false
	w.current = w.open(w.revision, timeout)
}

// open requests everything that follows a revision; timeout bounds the time to the first list.
func (w *Watcher) open(revision uint64, timeout time.Duration) *watch {
	w.WatchesStarted++
	opened := &watch{
		watcher:  w,
		addr:     w.addr,
		revision: revision,
		parser:   http1.Parser{ReadsResponses: true, Stream: true},
	}
	opened.conn = w.quota.Dial(w.addr, connectTimeout, opened)
	opened.setTimeout(timeout, opened.onTimeout)
	return opened
}

// watchFailed closes a watch that has failed, or keeps it as the overdue one, and handles the
// failure according to the role of the watch.
func (w *Watcher) watchFailed(failed *watch, cause error) {
	wasOverdue := failed == w.overdue
	if w.shouldKeepOverdue(failed, cause) {
		w.overdue = failed
		failed.setTimeout(overdueTimeout, failed.onOverdueTimeout)
	} else {
		failed.close()
	}
	switch {
	case wasOverdue:
		w.overdue = nil
	case failed == w.candidate:
		w.candidate = nil
		w.candidateFailed(cause)
	case failed == w.current && w.changingAddress:
		w.current = nil // expected: its address is being replaced, and the next one is being dialled
	case failed == w.current:
		w.current = nil
		w.consecutiveFailures++
		w.OnFailure(cause.Error())
		w.OnUpdate(Update{Kind: dispatch.WatchFailed})
	}
}

// shouldKeepOverdue reports whether a request that has timed out may stay open while the next one
// waits too. Discovery serves requests one after another. If the wait there is longer than a
// request's timeout and each request were closed at its timeout, none would ever be served. The
// oldest request is the closest to being served. While the address changes, that holds for the
// requests to the new address.
func (w *Watcher) shouldKeepOverdue(failed *watch, cause error) bool {
	next := w.current
	if w.changingAddress {
		next = w.candidate
	}
	return errors.Is(cause, errTimedOut) &&
		failed == next && !failed.established && failed.conn.Established() && w.overdue == nil
}

// watchReceived reports an update. The watch that received it becomes the current one, and the
// other watches are closed, except that those of a new address outlast an update from the old one.
func (w *Watcher) watchReceived(from *watch, update Update) {
	if from != w.current {
		w.current.close()
		w.current = from
	}
	if from.toNewAddress {
		from.toNewAddress = false
		w.changingAddress = false
		w.candidateTimer.Stop()
	}
	if !w.changingAddress {
		w.closeExcept(from)
	}
	w.consecutiveFailures = 0
	from.established = true
	from.extendTimeout()
	w.OnUpdate(update)
}

// closeExcept closes the overdue watch and the candidate, unless they have become the current one.
func (w *Watcher) closeExcept(current *watch) {
	for _, other := range []*watch{w.overdue, w.candidate} {
		if other != current {
			other.close()
		}
	}
	w.overdue = nil
	w.candidate = nil
}

// requireFullList makes the next watch request the whole list, because it is unknown to which list
// changes would apply. An overdue request to a new address has asked for the whole list anyway.
func (w *Watcher) requireFullList() {
	w.revision = noRevision
	if w.changingAddress {
		return
	}
	w.overdue.close()
	w.overdue = nil
}
