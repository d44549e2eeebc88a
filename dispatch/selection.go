package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// tickInterval is the interval at which decisions that depend on time alone are reconsidered.
	tickInterval = 20 * time.Millisecond
	// runningSetShare is the epsilon of SRPTMS+C: the share of the queue's weight that forms the
	// running set.
	runningSetShare = 0.6
	// defaultStaleQueueShare is the part of a worker's slots for which work may be queued there
	// while its load report is stale.
	defaultStaleQueueShare = 0.5
	// medianHintRatio is the median ratio of running time to hinted cost over all work.
	medianHintRatio = 1.4
	// maxWaitShare is the part of an invocation's spare time, which is the extension of its objective
	// less its running time, that it may spend waiting (see slack).
	maxWaitShare = 0.5
	// paceSafetyFactor is the safety margin with which a worker counts as certain to finish in time:
	// it would do so even if it were slower by this factor.
	paceSafetyFactor = 1.5
	// minConfidence is the confidence in a worker's load below which it is left out while owners
	// answer.
	minConfidence = 0.6
)

// Preferences among workers with capacity, in slots. The two large ones exceed the usual
// differences in free slots; zonePreference only decides between equals.
const (
	inTimePreference = minPoolSize * minPoolSize
	ownedPreference  = minPoolSize
	zonePreference   = 0.5
)

// noWorker is the index that stands for no worker.
const noWorker = -1

// selection is the worker selected for an invocation.
type selection struct {
	worker       int  // or noWorker
	mostHaveFree bool // more than half of the pooled workers have free slots
}

// schedule is the scheduling step of SRPTMS+C: it determines the running set, releases invocations
// in rank order, and sends hedged requests with the remaining capacity.
func (s *scheduler) schedule() {
	total := 0.0
	for _, index := range s.queue {
		total += s.invocations[index].weight
	}
	if len(s.queue) > 0 {
		s.summarizePool()
	}
	checksPending := slices.ContainsFunc(s.pool, func(worker int) bool { return s.views[worker].checkPending })
	weightAhead := 0.0
	var running []int
	for position := 0; position < len(s.queue); {
		index := s.queue[position]
		v := &s.invocations[index]
		inRunningSet := weightAhead < runningSetShare*total
		weightAhead += v.weight
		switch s.release(index, checksPending) {
		case staysQueued:
			position++
		case forwarded:
			if inRunningSet && s.operations[v.operation].effect == Idempotent && len(v.attempts) == 1 {
				running = append(running, index)
			}
		}
	}
	s.hedge(running)
	s.requestTimer()
}

// releaseResult is what became of a queued invocation in a scheduling step.
type releaseResult uint8

const (
	staysQueued releaseResult = iota
	forwarded
	givenUp
)

// release forwards a queued invocation to a worker, gives it up, or leaves it in the queue.
func (s *scheduler) release(index int, checksPending bool) releaseResult {
	v := &s.invocations[index]
	// Its deadline may have passed, or the limits may have changed, since it was queued.
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

// requestTimer requests a timer for when time alone may change a decision.
func (s *scheduler) requestTimer() {
	next := s.now + seconds(max(0, 1-s.checkCredit/minChecksPerSecond))
	if len(s.queue) > 0 || s.now < s.forwardedAt+2*tickInterval {
		next = min(next, s.now+tickInterval)
	} else if len(s.tracked) > 0 {
		next = min(next, s.now+progressTimeout/3)
	}
	s.dispatcher.send(timerRequest{at: next})
}

// forward sends an invocation to a worker. The view is updated at once, for the decisions that
// follow in this step.
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

// requirementsOf returns which workers an invocation may go to next. The first attempt that may
// have run determines the zone or cell in which workers drop repeats of a deduplicated invocation.
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

// candidate is a worker that an invocation may be sent to.
type candidate struct {
	worker int
	score  float64 // free slots, with preferences
}

// selectWorker selects the candidate with the highest score, and among equals the fastest one. It
// starts at a random candidate, so that ties are broken at random.
func (s *scheduler) selectWorker(v *invocation) selection {
	selected := selection{worker: noWorker, mostHaveFree: 2*s.summary.withFree > s.summary.pooled}
	if len(s.candidates) == 0 {
		return selected
	}
	r := s.requirementsOf(v)
	limits := s.timeLimits(v, r)
	best := candidate{worker: noWorker}
	start := s.rng.Intn(len(s.candidates))
	for n := range s.candidates {
		worker := s.candidates[(start+n)%len(s.candidates)]
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

// timeLimits are the limits that the time an invocation has waited sets for the selection of a worker.
type timeLimits struct {
	waited       time.Duration // since its arrival
	mustBeInTime bool          // it is better queued for a worker that can finish in time than sent to one that cannot
	timeLeft     time.Duration // time left to the latency objective, assuming the median running time for its hint
}

func (s *scheduler) timeLimits(v *invocation, r requirements) timeLimits {
	operation := &s.operations[v.operation]
	waited := s.now - v.arrivedAt
	return timeLimits{
		waited: waited,
		mustBeInTime: len(v.attempts) == 0 && r.kind < 0 &&
			(operation.lateHasValue || waited <= s.slack(v, s.summary.fastestPace)),
		timeLeft: operation.objective + seconds(medianHintRatio*operation.stretch*v.work) - waited,
	}
}

// score returns a worker's free slots plus preferences. fits is false if the worker lacks the
// capacity, or the time, for the invocation.
func (s *scheduler) score(v *invocation, view *workerView, limits timeLimits) (score float64, fits bool) {
	score = s.freeSlotsOf(v, view)
	left := s.slack(v, view.pace) - limits.waited
	inTime := s.operations[v.operation].lateHasValue || left >= 0
	// A stale report does not show the slots that have become free since: work that can wait may
	// queue there.
	queueableShare := max(0, min(1, left.Seconds()/s.stats.runTime))
	capacity := score + s.staleQueueShare*(1-view.confidence)*view.maxFree*queueableShare
	if capacity < v.slots+v.reserve || limits.mustBeInTime && !inTime {
		return 0, false
	}
	if seconds(v.work*view.pace*paceSafetyFactor) <= limits.timeLeft {
		score += inTimePreference // ahead of workers that may be too slow
	}
	if view.hasOwnedCapacity(v) {
		score += ownedPreference // slots that other owners report may be taken before the attempt arrives
	}
	if view.zone == s.zone {
		score += zonePreference // among equals this scheduler's zone, then the faster worker
	}
	return score, true
}

// freeSlotsOf returns how many free slots a worker has, or an assumed number where they were not
// measured.
func (s *scheduler) freeSlotsOf(v *invocation, view *workerView) float64 {
	summary := &s.summary
	switch {
	case summary.measured == 0 && view.rejecting:
		return 0
	case summary.measured == 0: // measured nowhere: workers with the fewest reserved slots, up to the mean
		return v.slots + math.Floor(summary.reserved/summary.pooled-view.reserved)
	case !view.measured: // new to the pool: assumed to have the mean capacity
		return math.Round((summary.free+summary.reservedMeasured)/summary.measured - view.reserved)
	}
	return view.free
}

// hasOwnedCapacity reports whether this scheduler, as the owner of the worker's load data, knows
// that the worker has capacity for an invocation.
func (view *workerView) hasOwnedCapacity(v *invocation) bool {
	return view.ownedHere && view.warmUpWeight == 1 && view.free >= v.slots
}

// isEligible reports whether a worker may get an invocation, regardless of its free slots.
func (s *scheduler) isEligible(v *invocation, worker int, view *workerView) bool {
	if len(s.rejections) > 0 {
		key := rejectionKey{worker: worker, operation: v.operation, tenant: v.tenant}
		if s.rejections[key].until > s.now {
			return false
		}
	}
	if view.onProbation && (view.inFlight > 0 || s.withheldOnProbation(v, view)) {
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

// withheldOnProbation reports whether an invocation must not go to a worker because it is not
// idempotent and the worker has just been reinstated.
func (s *scheduler) withheldOnProbation(v *invocation, view *workerView) bool {
	return s.operations[v.operation].effect == NonIdempotent && s.now < view.reinstatedAt+nonIdempotentHoldoff
}
