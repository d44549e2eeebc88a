package dispatch

import (
	"math"
	"slices"
	"time"
)

// The scheduler sees each worker by a cached view. A view depends on the worker's state, on the time and on what was
// learned of all workers. The state changes by messages; the other two change for all workers with each epoch. Bringing
// all views up to date with each epoch would cost as much as there are workers: an epoch is only written down, and a
// view is brought up to the last epoch that counts for it when somebody reads it, or before the worker's state changes.

// ownedRejoinSpan: a worker in slow start that only few schedulers may use is asked again after this time in the pool.
const ownedRejoinSpan = poolSpan / 4

// never is later than all that happens.
const never = time.Duration(math.MaxInt64)

// refreshEpoch is what all views depend on.
type refreshEpoch struct {
	number int
	at     time.Duration
	workerStats
	kindPace map[int]float64 // is not written to any more
}

// viewEntry is the scheduler's view of one worker.
type viewEntry struct {
	workerView
	epoch   int  // that the view is from
	tracked bool // all epochs count for it
	pooled  bool // epochs at which something was queued count for it
}

// entryOf gives a worker's entry, which is made at its first use.
func (s *scheduler) entryOf(worker int) *viewEntry {
	if missing := worker + 1 - len(s.views); missing > 0 {
		s.views = append(s.views, make([]*viewEntry, missing)...)
	}
	if s.views[worker] == nil {
		s.views[worker] = &viewEntry{workerView: workerView{pooledAt: -1}}
	}
	return s.views[worker]
}

// currentView is the view of a worker as of the last epoch that counts for it; nil: it was never used.
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

// refreshAll brings all views up to date before something changes that all depend on. All workers look at the time once
// after that.
func (s *scheduler) refreshAll() {
	for worker, entry := range s.views {
		s.currentView(worker)
		if entry != nil {
			entry.dueAt = 0
		}
	}
}

// publishView sends the scheduler a copy of the view as it is now. Copies are used again: there are thousands a second.
func (w *worker) publishView() {
	w.estimate(w.now)
	w.dueAt = w.earliestDue()
	view := w.spareView()
	*view = w.workerView
	w.scheduler.send(viewPublished{view})
}

func (s *sharedState) spareView() *workerView {
	count := len(s.spareViews)
	if count == 0 {
		return new(workerView)
	}
	view := s.spareViews[count-1]
	s.spareViews = s.spareViews[:count-1]
	return view
}

// updateView stores a view, and keeps the pool within its size.
func (s *scheduler) updateView(view *workerView) {
	view.estimatePace(s.kindPace, s.stats)
	s.storeView(view)
	for place := 0; len(s.pool) > int(s.poolSize) && place < len(s.pool); {
		pooled := s.currentView(s.pool[place])
		if pooled.lotteryRank >= slowStartWatchers || pooled.warmUpWeight == 1 {
			s.leavePool(place)
			continue
		}
		place++
		if s.now > pooled.pooledAt+ownedRejoinSpan { // we are one of few that may use it
			s.dispatcher.records[pooled.index].worker.send(joinPool{workerStats: s.stats})
		}
	}
}

// storeView replaces the view of a worker, which joins or leaves the pool by it. The pool is in the order in which its
// workers joined last.
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

// leavePool takes a worker out of the pool, with its view as it is now: no more epochs count for it there.
func (s *scheduler) leavePool(place int) {
	worker := s.pool[place]
	s.currentView(worker)
	s.views[worker].pooled = false
	s.pool = slices.Delete(s.pool, place, place+1)
}

// beginEpoch writes an epoch down. Only those workers look at the time for which something is due, and the first one, so
// that the pool is brought to its size; nothing would come of it for the others.
func (s *scheduler) beginEpoch() {
	s.dropInactive()
	s.epochCount++
	s.epoch = refreshEpoch{number: s.epochCount, at: s.now, workerStats: s.stats, kindPace: s.kindPace}
	queued := len(s.queue) > 0
	if queued {
		s.poolEpoch = s.epoch
	}
	for n, worker := range s.tracked {
		if n == 0 || s.views[worker].dueAt <= s.now || s.hasOrderedCheck(worker) {
			s.refreshWorker(worker, queued)
		}
	}
	if queued && (len(s.orderedChecks) > 0 || len(s.tracked) == 0) {
		s.refreshPooled()
	}
	for len(s.orderedChecks) > 0 {
		s.deliverChecks(s.orderedChecks[0].worker)
	}
}

// dropInactive stops tracking workers that have nothing of ours any more.
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

// refreshPooled is the pool's part of an epoch at which something is queued.
func (s *scheduler) refreshPooled() {
	for n, worker := range s.pool {
		first := n == 0 && len(s.tracked) == 0
		if !s.views[worker].tracked && (first || s.hasOrderedCheck(worker)) {
			s.refreshWorker(worker, true)
		}
	}
}

// refreshWorker has a worker look at the time, twice if the epoch counts for it as a tracked and as a pooled one.
func (s *scheduler) refreshWorker(worker int, queued bool) {
	w := s.dispatcher.records[worker].worker
	w.send(epochStart{})
	if entry := s.views[worker]; queued && entry.tracked && entry.pooled {
		w.send(epochStart{})
	}
	s.deliverChecks(worker)
}

func (s *scheduler) hasOrderedCheck(worker int) bool {
	return slices.ContainsFunc(s.orderedChecks, func(check deferredCheck) bool { return check.worker == worker })
}

// deliverChecks hands over what was ordered for a worker.
func (s *scheduler) deliverChecks(worker int) {
	rest := s.orderedChecks[:0]
	for _, check := range s.orderedChecks {
		if check.worker == worker {
			s.dispatcher.workerAt(worker).send(check.joinPool)
		} else {
			rest = append(rest, check)
		}
	}
	s.orderedChecks = rest
}
