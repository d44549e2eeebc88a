package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// tickInterval is how often time alone may change a decision.
	tickInterval = 20 * time.Millisecond
	// runningSetShare is the design's epsilon: the share of the queue's weight that makes up the running set.
	runningSetShare = 0.6
	// defaultStaleQueueShare is which part of a worker's slots may have work queued on stale reports.
	defaultStaleQueueShare = 0.5
	// medianHintRatio is running time over hinted cost in the middle of all work.
	medianHintRatio = 1.4
	// waitShare is which part of an invocation's slack may be spent waiting.
	waitShare = 0.5
	// surePaceFactor: a worker is surely in time if it is at so many times its pace.
	surePaceFactor = 1.5
	// minConfidence: while owners answer, workers of whose load we are less sure are left out.
	minConfidence = 0.6
)

// Preferences among workers with capacity, in slots: each goes before all differences in capacity that are usual.
const (
	surePreference  = minPoolSize * minPoolSize
	ownedPreference = minPoolSize
	zonePreference  = 0.5
)

// noWorker stands for none.
const noWorker = -1

// selection is the choice of a worker for one invocation.
type selection struct {
	worker int  // or noWorker
	roomy  bool // over half of the pooled workers have free slots
}

// schedule is the design's step: the running set, release in rank order, hedged requests from the capacity that is left.
func (s *scheduler) schedule() {
	total := 0.0
	for _, index := range s.queue {
		total += s.invocations[index].weight
	}
	if len(s.queue) > 0 {
		s.summarizePool()
	}
	checksPending := slices.ContainsFunc(s.pool, func(worker int) bool { return s.views[worker].checkPending })
	above := 0.0
	var running []int
	for place := 0; place < len(s.queue); {
		index := s.queue[place]
		v := &s.invocations[index]
		inRunningSet := above < runningSetShare*total
		above += v.weight
		switch s.release(index, checksPending) {
		case staysQueued:
			place++
		case forwarded:
			if inRunningSet && s.operations[v.operation].effect == Idempotent && len(v.attempts) == 1 {
				running = append(running, index)
			}
		}
	}
	s.hedge(running)
	s.planTimer()
}

// releaseResult is what came of a queued invocation at its turn.
type releaseResult uint8

const (
	staysQueued releaseResult = iota
	forwarded
	givenUp
)

// release sends a queued invocation to a worker, or gives it up, or leaves it.
func (s *scheduler) release(index int, checksPending bool) releaseResult {
	v := &s.invocations[index]
	// What it was queued for may have passed since, or the limits have changed.
	if !s.mayAttempt(v) || s.cannotMeetDeadline(v) {
		s.giveUp(index)
		return givenUp
	}
	if checksPending && s.now < v.arrivedAt+tickInterval {
		return staysQueued
	}
	selected := s.selectWorker(v)
	if selected.worker == noWorker {
		s.growPool(v)
		return staysQueued
	}
	s.forward(index, selected.worker)
	return forwarded
}

// planTimer asks to be woken when time alone may change a decision.
func (s *scheduler) planTimer() {
	next := s.now + seconds(max(0, 1-s.checkCredit/minChecksPerSecond))
	if len(s.queue) > 0 || s.now < s.forwardedAt+2*tickInterval {
		next = min(next, s.now+tickInterval)
	} else if len(s.tracked) > 0 {
		next = min(next, s.now+progressTimeout/3)
	}
	s.dispatcher.send(timerRequest{at: next})
}

// forward sends an invocation to a worker.
func (s *scheduler) forward(index, worker int) {
	v := &s.invocations[index]
	view := &s.views[worker].workerView
	record := &s.dispatcher.records[worker]
	s.dequeue(index)
	s.emit(Forward{Invocation: v.id, Worker: record.Worker, NotAfter: s.requirementsOf(v).notAfter})
	v.attempts = append(v.attempts, requestAttempt{
		worker:   worker,
		zone:     view.zone,
		cell:     view.cell,
		sentAt:   s.now,
		inFlight: true,
	})
	s.forwardedAt = s.now
	view.free -= v.slots
	view.reserved += v.slots
	view.inFlight += v.slots
	view.budgetUsed += v.budgetCost
	record.worker.send(attemptSent{workerAttempt{
		invocation: index,
		number:     len(v.attempts) - 1,
		slots:      v.slots,
		work:       v.work,
		cost:       v.budgetCost,
		sentAt:     s.now,
	}})
}

// requirementsOf returns which workers may have an invocation next: its first attempt that may have run fixes where
// repeats are dropped.
func (s *scheduler) requirementsOf(v *invocation) requirements {
	operation := &s.operations[v.operation]
	r := anyWorker
	r.kind = operation.kind
	_, first := v.inFlight()
	if first == nil || operation.effect != Deduplicated {
		return r
	}
	r.notAfter = first.sentAt + operation.dedupWindow
	switch operation.scope {
	case ScopeZone:
		r.zone = first.zone
	case ScopeCell:
		r.cell = first.cell
	}
	return r
}

// candidate is a worker that an invocation may go to.
type candidate struct {
	worker int
	score  float64 // free slots, with preferences
}

// selectWorker chooses the candidate with the highest score.
func (s *scheduler) selectWorker(v *invocation) selection {
	selected := selection{worker: noWorker, roomy: 2*s.summary.withFree > s.summary.pooled}
	if len(s.candidates) == 0 {
		return selected
	}
	r := s.requirementsOf(v)
	limits := s.timeLimits(v, r)
	best := candidate{worker: noWorker}
	from := s.rng.Intn(len(s.candidates))
	for n := range s.candidates {
		worker := s.candidates[(from+n)%len(s.candidates)]
		view := &s.views[worker].workerView
		if !r.matches(view.kind, view.zone, view.cell) || !s.isEligible(v, worker, view) {
			continue
		}
		score, fits := s.score(v, view, limits)
		if !fits {
			continue
		}
		if best.worker == noWorker || score > best.score ||
			score == best.score && view.pace < s.views[best.worker].pace {
			best = candidate{worker: worker, score: score}
		}
	}
	selected.worker = best.worker
	return selected
}

// timeLimits are what an invocation's waiting time leaves to a worker.
type timeLimits struct {
	waited time.Duration
	timely bool          // better queued for a worker that can do it in time than sent to one that can't
	latest time.Duration // left to the latency objective, for work of usual length
}

func (s *scheduler) timeLimits(v *invocation, r requirements) timeLimits {
	operation := &s.operations[v.operation]
	waited := s.now - v.arrivedAt
	return timeLimits{
		waited: waited,
		timely: len(v.attempts) == 0 && r.kind < 0 &&
			(operation.lateHasValue || waited <= s.slack(v, s.summary.fastestPace)),
		latest: operation.objective + seconds(medianHintRatio*operation.stretch*v.work) - waited,
	}
}

// score is a worker's free slots, with preferences. False: it has not enough for the invocation.
func (s *scheduler) score(v *invocation, view *workerView, limits timeLimits) (score float64, fits bool) {
	score = s.freeSlotsOf(v, view)
	left := s.slack(v, view.pace) - limits.waited
	inTime := s.operations[v.operation].lateHasValue || left >= 0
	// Stale reports show no slots that have been free for less: work that can wait may queue there.
	waitable := max(0, min(1, left.Seconds()/s.stats.runTime))
	capacity := score + s.staleQueueShare*(1-view.confidence)*view.maxFree*waitable
	if capacity < v.slots+v.reserve || limits.timely && !inTime {
		return 0, false
	}
	if seconds(v.work*view.pace*surePaceFactor) <= limits.latest {
		score += surePreference // before those that may be too slow
	}
	if view.hasOwnedCapacity(v) {
		score += ownedPreference // what others report of theirs may be gone by the time that we are there
	}
	if view.zone == s.zone {
		score += zonePreference // among equals our own zone, then the faster one
	}
	return score, true
}

// freeSlotsOf is how many slots a worker has free, or how many it counts for where that was not measured.
func (s *scheduler) freeSlotsOf(v *invocation, view *workerView) float64 {
	summary := &s.summary
	switch {
	case summary.measured == 0 && view.rejecting:
		return 0
	case summary.measured == 0: // nowhere measured: the workers where we have least, up to the mean
		return v.slots + math.Floor(summary.reserved/summary.pooled-view.reserved)
	case !view.measured: // new to the pool: it counts at the mean
		return math.Round((summary.free+summary.reservedMeasured)/summary.measured - view.reserved)
	}
	return view.free
}

// hasOwnedCapacity reports whether we know, as its owner, that a worker has capacity for an invocation.
func (v *workerView) hasOwnedCapacity(j *invocation) bool {
	return v.ownedHere && v.warmUpWeight == 1 && v.free >= j.slots
}

// isEligible reports whether a worker may get an invocation, whatever its free slots.
func (s *scheduler) isEligible(v *invocation, worker int, view *workerView) bool {
	if len(s.rejections) > 0 {
		key := rejectionKey{worker: worker, operation: v.operation, tenant: v.tenant}
		if s.rejections[key].until > s.now {
			return false
		}
	}
	if view.onProbation && (view.inFlight > 0 || s.guardsProbation(v, view)) {
		return false
	}
	attempted := slices.ContainsFunc(v.attempts, func(attempt requestAttempt) bool {
		return attempt.worker == worker && (attempt.inFlight || attempt.mayHaveRun)
	})
	if attempted {
		return false
	}
	return view.warmUpWeight == 1 || s.withinSlowStartBudget(v.budgetCost, view)
}

// guardsProbation: work that must not run twice does not go to a worker that has just been reinstated.
func (s *scheduler) guardsProbation(v *invocation, view *workerView) bool {
	return s.operations[v.operation].effect == NonIdempotent && s.now < view.reinstatedAt+probationGuard
}
