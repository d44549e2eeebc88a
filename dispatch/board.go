package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// This file keeps the board, where the desk sees each worker. It decides nothing. A worker's card depends on its book, on
// the time and on what was learned of all workers. The book changes by notes; the other two change for all at each beat.
// Handing them to each worker made a beat as dear as the fleet is large: now a beat only writes a round down, and a card is
// brought up to the last round that it had part in when somebody reads it, or before its book changes.

// round is what one beat brought.
type refreshEpoch struct {
	number int
	at     time.Duration
	fleetStats
	paced map[int]float64 // is not written to any more
}

// seat is one worker's on the board.
type viewEntry struct {
	workerView
	epoch           int // of the round that the card is from
	tracked, pooled bool
}

// look is desk to worker, by way of the door when a round begins: something may be due.
type refresh struct{}

// asked is door to desk: who is to be asked in a round. Who has something due besides goes first, as ever.
type orderedCheck struct {
	worker int
	joinPool
}

// entry is a worker's on the board.
func (s *scheduler) viewEntry(at int) *viewEntry {
	if more := at + 1 - len(s.views); more > 0 {
		s.views = append(s.views, make([]*viewEntry, more)...)
	}
	if s.views[at] == nil {
		s.views[at] = &viewEntry{workerView: workerView{pooledAt: -1}}
	}
	return s.views[at]
}

// current is a worker's card as of the last round that it had part in: those with work of ours in each, all others of the
// pool in those where something was held.
func (s *scheduler) currentView(at int) *workerView {
	if at >= len(s.views) || s.views[at] == nil {
		return nil
	}
	entry := s.views[at]
	r := &s.poolEpoch
	if entry.tracked {
		r = &s.epoch
	} else if !entry.pooled {
		return &entry.workerView
	}
	if entry.epoch < r.number {
		w := s.dispatcher.records[at].worker
		w.fleet = r.fleetStats
		w.estimate(r.at)
		entry.epoch, entry.workerView = r.number, w.workerView
		entry.estimatePace(r.paced, r.fleetStats)
	}
	return &entry.workerView
}

// anew brings all cards up to date before something changes that all depend on; then all look at the time once.
func (s *scheduler) refreshAll() {
	for at, entry := range s.views {
		if s.currentView(at); entry != nil {
			entry.dueAt = 0
		}
	}
}

// enter puts a card on the board. The pool is in the order in which its workers were last asked.
func (s *scheduler) storeView(n *workerView) {
	old := s.viewEntry(n.index)
	joins, leaves := n.eligible && (n.pooledAt > old.pooledAt || !old.eligible), !n.eligible && old.eligible
	if n.active && !old.tracked {
		s.tracked, old.tracked = append(s.tracked, n.index), true
	}
	if old.workerView, old.epoch = *n, s.epochs; joins || leaves {
		s.pool, old.pooled = slices.DeleteFunc(s.pool, func(at int) bool { return at == n.index }), joins
	}
	if joins {
		s.pool = append(s.pool, n.index)
	}
}

// leave takes the one at a place out of the pool, with its card as it is now: no more rounds reach it there.
func (s *scheduler) leavePool(place int) {
	s.currentView(s.pool[place])
	s.views[s.pool[place]].pooled = false
	s.pool = slices.Delete(s.pool, place, place+1)
}

// begin writes a round down. Only those look at the time for whom something is due, and the first, so that the pool is
// brought to its size; nothing would come of it for the others.
func (s *scheduler) beginEpoch() {
	busy := s.tracked[:0]
	for _, at := range s.tracked {
		if entry := s.views[at]; entry.workerView.active {
			busy = append(busy, at)
		} else {
			entry.tracked = false
		}
	}
	s.tracked, s.epochs = busy, s.epochs+1
	s.epoch = refreshEpoch{s.epochs, s.now, s.fleet, s.kindPace}
	all := len(s.queue) > 0
	if all {
		s.poolEpoch = s.epoch
	}
	wake := func(at int) {
		w := s.dispatcher.records[at].worker
		if w.send(refresh{}); all && s.views[at].tracked && s.views[at].pooled {
			w.send(refresh{})
		}
		s.deliverChecks(at)
	}
	for n, at := range s.tracked {
		if n == 0 || s.views[at].dueAt <= s.now || s.hasOrderedCheck(at) {
			wake(at)
		}
	}
	if all && (len(s.orderedChecks) > 0 || len(s.tracked) == 0) {
		for n, at := range s.pool {
			if !s.views[at].tracked && (n == 0 && len(s.tracked) == 0 || s.hasOrderedCheck(at)) {
				wake(at)
			}
		}
	}
	for len(s.orderedChecks) > 0 {
		s.deliverChecks(s.orderedChecks[0].worker)
	}
}

func (s *scheduler) hasOrderedCheck(at int) bool {
	for _, a := range s.orderedChecks {
		if a.worker == at {
			return true
		}
	}
	return false
}

// ask hands over what a round asks of a worker.
func (s *scheduler) deliverChecks(at int) {
	rest := s.orderedChecks[:0]
	for _, a := range s.orderedChecks {
		if a.worker == at {
			s.dispatcher.workerAt(at).send(a.joinPool)
		} else {
			rest = append(rest, a)
		}
	}
	s.orderedChecks = rest
}

// never is later than all that happens.
const never = time.Duration(math.MaxInt64)

// nextDue is the earliest time at which looking at the time may have a result; it may be too early, never too late.
func (w *worker) earliestDue() time.Duration {
	next := never
	if w.recheck {
		next = w.checkedAt + tickInterval
	}
	if w.ejected {
		return min(next, max(w.ejectedUntil, w.checkedAt+minEjection/2))
	}
	for i := range w.attempts {
		e := &w.attempts[i]
		if e.endedAt != 0 || e.lost {
			continue
		}
		if w.notifiesAccepted && !e.accepted {
			next = min(next, e.sentAt+progressTimeout)
		}
		due := e.sentAt
		switch {
		case w.progressInterval > 0 && e.startedAt > 0 && w.lastProgress > e.progressAt+w.progressInterval+progressTimeout:
			return 0
		case w.notifiesStart && e.startedAt == 0:
			if begin := e.sentAt + 2*tickInterval; w.now < begin+tickInterval {
				next = min(next, begin)
			}
		case w.progressInterval > 0:
			due = max(due, e.progressAt) + w.progressInterval
		default:
			due += seconds(4 * e.work * max(1, w.pace))
		}
		next = min(next, max(due, w.lastProgress)+progressTimeout)
	}
	return next
}

// showPace sets what the desk takes for a worker's pace: its reports may show that it is slow, long before the few finishes
// of thin traffic do.
func (v *workerView) estimatePace(paced map[int]float64, all fleetStats) {
	if v.pace == 0 {
		v.pace = cmp.Or(paced[v.kind], 1) * max(1, v.serviceTime/max(all.serviceTime, v.serviceTime/8, 1e-6)/2)
	}
	v.pace /= v.warmUpWeight
}

// show posts a copy of the card as it is now. Copies are used again, as there are thousands a second.
func (w *worker) publishView() {
	w.estimate(w.now)
	w.dueAt = w.earliestDue()
	var c *workerView
	if n := len(w.spareViews); n > 0 {
		c, w.spareViews = w.spareViews[n-1], w.spareViews[:n-1]
	} else {
		c = new(workerView)
	}
	*c = w.workerView
	w.scheduler.send(c)
}

// setPaced leaves the rounds that were written down as they are.
func (s *scheduler) setKindPace(kind int, pace float64) {
	s.kindPace = maps.Clone(s.kindPace)
	s.kindPace[kind] = pace
}

// ask has a worker asked, in a round when its turn in that comes.
func (d *Dispatcher) orderCheck(at int, w poolRequest, a joinPool) {
	if w.nextEpoch {
		d.scheduler.send(orderedCheck{at, a})
	} else {
		d.workerAt(at).send(a)
	}
}
