package dispatch

import (
	"math"
	"slices"
	"time"
)

// The scheduler reads each worker through a cached view. A view depends on the worker's state, on
// the time and on the statistics of all workers. The state changes by messages; the time and the
// statistics change for all workers with each epoch. Refreshing all views in each epoch would cost
// time in proportion to the number of workers. An epoch is therefore only recorded, and a view is
// brought up to the last epoch that applies to it when it is read or before the worker's state
// changes.

// slowStartRecheckInterval is how long after joining the pool a worker in slow start is asked for its
// load again. Only few schedulers may use such a worker.
const slowStartRecheckInterval = poolCheckWindow / 4

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// refreshEpoch holds the inputs that all views depend on: the time and the statistics of all workers.
type refreshEpoch struct {
	number int
	at     time.Duration
	workerStats
	kindPace map[int]float64 // read-only: recordKindPace and setKindPace replace the scheduler's map
}

// viewEntry is the scheduler's view of one worker.
type viewEntry struct {
	workerView
	epoch   int  // number of the epoch that the view was computed for
	tracked bool // all epochs apply to it
	pooled  bool // epochs with a non-empty queue apply to it
}

// entryOf returns a worker's entry, which is created at the first use.
func (s *scheduler) entryOf(worker int) *viewEntry {
	if missing := worker + 1 - len(s.views); missing > 0 {
		s.views = append(s.views, make([]*viewEntry, missing)...)
	}
	if s.views[worker] == nil {
		s.views[worker] = &viewEntry{workerView: workerView{pooledAt: -1}}
	}
	return s.views[worker]
}

// currentView returns the view of a worker as of the last epoch that applies to it, or nil if the
// worker was never used.
func (s *scheduler) currentView(worker int) *workerView {
	if worker >= len(s.views) || s.views[worker] == nil {
		return nil
	}
	entry := s.views[worker]
	epoch := &s.poolEpoch
	if entry.tracked {
		epoch = &s.epoch
	} else if !entry.pooled {
		return &entry.workerView
	}
	if entry.epoch < epoch.number {
		w := s.dispatcher.records[worker].worker
		w.stats = epoch.workerStats
		w.estimate(epoch.at)
		entry.epoch = epoch.number
		entry.workerView = w.workerView
		entry.estimatePace(epoch.kindPace, epoch.workerStats)
	}
	return &entry.workerView
}

// refreshAll brings all views up to date before a change that affects all of them. It also makes
// the next epoch check every tracked worker for overdue progress.
func (s *scheduler) refreshAll() {
	for worker, entry := range s.views {
		s.currentView(worker)
		if entry != nil {
			entry.dueAt = 0
		}
	}
}

// publishView sends the scheduler a copy of the current view. The copies' memory is reused, as
// thousands are sent each second.
func (w *worker) publishView() {
	w.estimate(w.now)
	w.dueAt = w.earliestDue()
	view := w.spareView()
	*view = w.workerView
	w.scheduler.send(viewPublished{view})
}

// spareView returns memory for a view, which is that of a delivered one if there is any.
func (s *sharedState) spareView() *workerView {
	count := len(s.spareViews)
	if count == 0 {
		return new(workerView)
	}
	view := s.spareViews[count-1]
	s.spareViews = s.spareViews[:count-1]
	return view
}

// updateView stores a published view. If the pool exceeds its size, the workers that joined first are
// removed, except workers in slow start for which this scheduler's lottery rank is below
// slowStartPoolRanks.
func (s *scheduler) updateView(view *workerView) {
	view.estimatePace(s.kindPace, s.stats)
	s.storeView(view)
	for position := 0; len(s.pool) > int(s.poolSize) && position < len(s.pool); {
		pooled := s.currentView(s.pool[position])
		if pooled.lotteryRank >= slowStartPoolRanks || pooled.warmUpWeight == 1 {
			s.leavePool(position)
			continue
		}
		position++
		if s.now > pooled.pooledAt+slowStartRecheckInterval { // this is one of the few schedulers that may use it
			s.dispatcher.records[pooled.index].worker.send(joinPool{workerStats: s.stats})
		}
	}
}

// storeView replaces the view of a worker and updates its membership of the pool. The pool is
// ordered by when its workers last joined.
func (s *scheduler) storeView(view *workerView) {
	entry := s.entryOf(view.index)
	joins := view.eligible && (view.pooledAt > entry.pooledAt || !entry.eligible)
	leaves := !view.eligible && entry.eligible
	if view.active && !entry.tracked {
		s.tracked = append(s.tracked, view.index)
		entry.tracked = true
	}
	entry.workerView = *view
	entry.epoch = s.epochCount
	if joins || leaves {
		s.pool = slices.DeleteFunc(s.pool, func(worker int) bool { return worker == view.index })
		entry.pooled = joins
	}
	if joins {
		s.pool = append(s.pool, view.index)
	}
}

// leavePool removes a worker from the pool. Its view is brought up to date first, as epochs that
// apply only to pooled workers no longer apply to it.
func (s *scheduler) leavePool(position int) {
	worker := s.pool[position]
	s.currentView(worker)
	s.views[worker].pooled = false
	s.pool = slices.Delete(s.pool, position, position+1)
}

// beginEpoch records a new epoch. Only workers for which something is due are sent an epochStart;
// for the others it would have no effect. The first tracked worker is always sent one, as the
// update of its view keeps the pool within its size.
func (s *scheduler) beginEpoch() {
	s.dropInactive()
	s.epochCount++
	s.epoch = refreshEpoch{number: s.epochCount, at: s.now, workerStats: s.stats, kindPace: s.kindPace}
	queued := len(s.queue) > 0
	if queued {
		s.poolEpoch = s.epoch
	}
	for n, worker := range s.tracked {
		if n == 0 || s.views[worker].dueAt <= s.now || s.hasDeferredCheck(worker) {
			s.refreshWorker(worker, queued)
		}
	}
	if queued && (len(s.epochChecks) > 0 || len(s.tracked) == 0) {
		s.refreshPooled()
	}
	for len(s.epochChecks) > 0 {
		s.deliverChecks(s.epochChecks[0].worker)
	}
}

// dropInactive stops tracking workers that are no longer active.
func (s *scheduler) dropInactive() {
	tracked := s.tracked[:0]
	for _, worker := range s.tracked {
		entry := s.views[worker]
		if entry.active {
			tracked = append(tracked, worker)
		} else {
			entry.tracked = false
		}
	}
	s.tracked = tracked
}

// refreshPooled sends an epochStart to the pooled workers that are not tracked and have a deferred
// check, and to the first pooled worker if no worker is tracked. It is called in epochs with a
// non-empty queue.
func (s *scheduler) refreshPooled() {
	for n, worker := range s.pool {
		first := n == 0 && len(s.tracked) == 0
		if !s.views[worker].tracked && (first || s.hasDeferredCheck(worker)) {
			s.refreshWorker(worker, true)
		}
	}
}

// refreshWorker sends a worker an epochStart, and a second one if the epoch applies to it both as a
// tracked and as a pooled worker, and then its deferred checks.
func (s *scheduler) refreshWorker(worker int, queued bool) {
	w := s.dispatcher.records[worker].worker
	w.send(epochStart{})
	if entry := s.views[worker]; queued && entry.tracked && entry.pooled {
		w.send(epochStart{})
	}
	s.deliverChecks(worker)
}

func (s *scheduler) hasDeferredCheck(worker int) bool {
	return slices.ContainsFunc(s.epochChecks, func(check deferredCheck) bool { return check.worker == worker })
}

// deliverChecks sends a worker its deferred checks.
func (s *scheduler) deliverChecks(worker int) {
	rest := s.epochChecks[:0]
	for _, check := range s.epochChecks {
		if check.worker == worker {
			s.dispatcher.workerAt(worker).send(check.joinPool)
		} else {
			rest = append(rest, check)
		}
	}
	s.epochChecks = rest
}
