package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// freeSampleCount is how many load reports the estimate of a worker's free slots is based on.
	freeSampleCount = 8
	// typicalSampleWeight is the weight of the pool's typical free slots in that estimate, as a number
	// of load reports.
	typicalSampleWeight = 6
	// reportPairWindow bounds the gap between two load reports of a worker that are compared to find
	// out how often new reports are made.
	reportPairWindow = 10 * tickInterval
	// repeatedReportLags is the time, in report lags, within which an unchanged report counts as
	// the same one received again.
	repeatedReportLags = 5
	// reportTimeout is how long a worker may answer health checks without a load report before it
	// counts as having stopped reporting.
	reportTimeout = 1250 * time.Millisecond
	// minRunTimeSeconds is the shortest time constant with which the confidence in a report
	// decays.
	minRunTimeSeconds = 0.1
	// minServiceTimeSeconds keeps the pace of a worker finite where no service time is reported.
	minServiceTimeSeconds = 1e-6
	// maxServiceTimeRatio bounds the ratio of a worker's reported service time to the pool's.
	maxServiceTimeRatio = 8
	// slowServiceTimeRatio is the ratio to the pool's service time above which a reported one shows
	// a slow worker.
	slowServiceTimeRatio = 2
)

// worker is what this scheduler knows about one worker. Messages to it are handled one at a time;
// after each, its view is published to the scheduler.
type worker struct {
	mailbox[workerMessage]
	workerView
	scheduler *scheduler
	id        WorkerID
	tag       uint32 // identifies it in gossip
	owner     int    // the scheduler that owns its load data

	// As the endpoint list says.
	state      EndpointState
	startKnown bool
	startedAt  time.Duration

	attempts    []workerAttempt
	stats       workerStats // as of the last epoch or joinPool message
	freeSamples samples     // free plus reserved slots at the last reports, as recordFreeSlots describes
	paces       samples     // running time over hinted cost

	lastReport    LoadReport // as received
	reportedAt    time.Duration
	freeSampledAt time.Duration // the time that the last of freeSamples refers to

	// Health checks and ejection, see outlier.go.
	ejected             bool
	ejectedUntil        time.Duration
	ejections           int  // recent ones: each success outside probation removes one
	probationLeft       int  // successes still needed to end probation
	recheck             bool // a health check is due at the next tick
	checkedAt           time.Duration
	checksAnswered      int // in a row
	checksMissed        int // in a row
	consecutiveFailures int // attempts in a row that failed or whose connection broke
	lastProgress        time.Duration
	rejectedUntil       time.Duration

	// Gossip with the worker's owner, or with the schedulers that query this one as its owner.
	queriedAt       time.Duration
	unansweredSince time.Duration // time of the first query to its owner since the last reply; 0: none
	recentQueries   samples       // times of other schedulers' queries, in seconds
}

// workerView is the part of a worker's state that the scheduler reads. view.go describes when the
// scheduler's copy is refreshed.
type workerView struct {
	index int // of its record in the registry
	zone  int
	kind  int
	cell  int

	eligible     bool // ready, and not ejected
	onProbation  bool
	measured     bool // there are samples of its free slots
	rejecting    bool // it has recently rejected an attempt
	ownedHere    bool // this scheduler owns its load data
	ownerSilent  bool // its owner does not answer queries
	active       bool // it has attempts of this scheduler, is ejected or is to be rechecked, so every epoch applies to it
	checkPending bool // a health check or a capacity query is unanswered

	lotteryRank  int           // number of schedulers before this one in the slow-start lottery
	pooledAt     time.Duration // when it last joined the pool
	reinstatedAt time.Duration
	dueAt        time.Duration // before this time checkOverdue has no effect

	free         float64 // estimate of free slots
	lastFree     float64 // free slots in the last report, plus the slots reserved at that time
	maxFree      float64 // most slots ever seen free
	serviceTime  float64 // seconds, from its reports
	inFlight     float64 // slots of this scheduler's attempts
	reserved     float64 // slots of all known attempts
	confidence   float64 // how far lastFree is still valid, from 0 to 1
	pace         float64 // running time over hinted cost
	warmUpWeight float64 // part of its capacity during slow start; otherwise 1
	budgetUsed   float64 // of this scheduler's share of its slow-start budget, in seconds
}

// workerAttempt is the worker's record of an attempt.
type workerAttempt struct {
	invocation int // its index, or remoteInvocation, or noInvocation
	number     int // number of the attempt in its invocation, or the gossip serial of another scheduler's attempt
	slots      float64
	work       float64 // seconds on a standard core
	cost       float64 // use of the slow-start budget, in seconds
	lost       bool    // no answer is expected any more
	accepted   bool    // the worker has accepted it, or reported progress of it
	serial     uint8   // of this attempt in gossip
	sentAt     time.Duration
	startedAt  time.Duration // 0: not known to have started
	progressAt time.Duration // when it last reported a start or progress
	endedAt    time.Duration // when its slots are free again; 0 while it is in flight
}

// noInvocation is the invocation of an attempt that uses a slow-start budget but belongs to no
// invocation of this instance.
const noInvocation = -1

// remoteInvocation returns the index that stands for all invocations of another scheduler.
func remoteInvocation(scheduler int) int { return noInvocation - 1 - scheduler }

func newWorker(d *Dispatcher, index int, id WorkerID) *worker {
	w := &worker{scheduler: &d.scheduler, id: id, tag: workerTag(id), workerView: workerView{index: index}}
	w.mailbox = mailbox[workerMessage]{sharedState: &d.sharedState, handle: w.handleMessage}
	return w
}

// handleMessage brings the state up to the last epoch, applies the message and publishes the view.
func (w *worker) handleMessage(message workerMessage) {
	w.scheduler.currentView(w.index)
	message.deliverToWorker(w)
	w.publishView()
}

// applyRecord applies a change of the worker's record in the registry.
func (w *worker) applyRecord(record recordChanged) {
	w.lotteryRank = record.lotteryRank
	w.owner = record.owner
	w.ownedHere = w.gossipEnabled && record.owner == w.schedulerIndex
	w.state = record.State
	if record.State == Gone {
		w.markAttemptsLost(w.now)
		return
	}
	if record.StartKnown && (!w.startKnown || record.StartedAt > w.startedAt) {
		w.resetAfterRestart(record.StartedAt)
	}
	w.zone = record.Zone
	w.kind = record.Kind
	w.cell = record.Cell
}

// resetAfterRestart discards what was measured of the previous incarnation.
func (w *worker) resetAfterRestart(at time.Duration) {
	w.startKnown = true
	w.startedAt = at
	w.freeSamples = nil
	w.lastReport = LoadReport{}
	w.paces = nil
	w.pace = 0
	w.ejected = false
	w.probationLeft = 0
	w.checksMissed = 0
	w.markAttemptsLost(at)
}

// joinPool adds the worker to the pool and asks for its load, by a health check or through its owner.
func (w *worker) joinPool(join joinPool) {
	w.stats = join.workerStats
	w.pooledAt = w.now
	w.recheck = join.unmeasured && !join.viaGossip
	if join.viaGossip && !w.ownedHere && !(w.checkPending && w.queriedAt == w.now) {
		w.queryOwner()
	}
	// A worker whose owner does not answer is also asked directly, as if it had no owner, with a
	// probability of 1/maxQueriesPerInvocation.
	if !join.viaGossip || w.ownerSilent && w.rng.Intn(maxQueriesPerInvocation) == 0 {
		w.healthCheck()
	}
}

// addAttempt records an attempt that is sent to the worker, and notifies the worker's owner.
func (w *worker) addAttempt(attempt workerAttempt) {
	w.lastSerial++
	attempt.serial = w.lastSerial
	w.attempts = append(w.attempts, attempt)
	w.sendGossip(w.owner, GossipEntry{Kind: GossipAttemptStarted, Serial: attempt.serial, Tag: w.tag})
}

// inFlightAttempt returns the attempt of this scheduler with a number if it has not ended, or nil.
func (w *worker) inFlightAttempt(invocation, number int) *workerAttempt {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.invocation == invocation && attempt.number == number && attempt.endedAt == 0 {
			return attempt
		}
	}
	return nil
}

// reservedAt returns how many slots the known attempts held at a time. Lost attempts hold none: if
// they were still running, load reports would show it.
func (w *worker) reservedAt(at time.Duration) (slots float64) {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		held := attempt.sentAt <= at && (attempt.endedAt == 0 || at < attempt.endedAt)
		if held && !attempt.lost && attempt.sentAt >= w.startedAt {
			slots += attempt.slots
		}
	}
	return slots
}

// slotsInFlight returns how many slots this scheduler's attempts hold. Those of other schedulers
// are left out: their endedAt is always set.
func (w *worker) slotsInFlight() (slots float64) {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.endedAt == 0 && !attempt.lost {
			slots += attempt.slots
		}
	}
	return slots
}

// estimate computes the worker's view for a time.
func (w *worker) estimate(now time.Duration) {
	w.eligible = w.state == Ready && !w.ejected
	w.onProbation = w.probationLeft > 0
	w.measured = len(w.freeSamples) > 0
	w.rejecting = now < w.rejectedUntil
	w.ownerSilent = w.unansweredSince > 0 && now > w.unansweredSince+maxOwnerReplyAge
	w.reserved = w.reservedAt(now)
	w.inFlight = w.slotsInFlight()
	w.estimateFree(now)
	w.warmUpWeight = w.warmUpWeightAt(now)
	w.estimateActivity(now)
}

// estimateFree sets the estimate of free slots and the confidence in it.
func (w *worker) estimateFree(now time.Duration) {
	if w.ownedHere { // all attempts at the worker are known
		w.confidence = 1
		w.free = math.Round(w.lastFree - w.reserved)
		return
	}
	count := len(w.freeSamples)
	if count == 0 {
		return
	}
	// All schedulers send to the worker that last looked emptiest. So the older the worker's last
	// report is, the more the mean of its last reports counts. The fewer reports there are, the more
	// the pool's typical value counts in that mean.
	age := max(0, now-w.freeSampledAt).Seconds()
	w.confidence = math.Exp(-age / max(w.stats.runTime, minRunTimeSeconds))
	decayed := w.stats.typicalFree + w.freeSamples.sum()/float64(count+typicalSampleWeight)
	w.free = math.Round(min(w.confidence*w.lastFree+(1-w.confidence)*decayed-w.reserved, w.maxFree))
}

// estimateActivity sets whether every epoch applies to the worker, and how much of this scheduler's
// share of the worker's slow-start budget is used.
func (w *worker) estimateActivity(now time.Duration) {
	w.active = w.ejected || w.recheck
	w.budgetUsed = 0
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.endedAt == 0 {
			w.active = true
		}
		if w.warmUpWeight < 1 && attempt.sentAt+w.overloadWindow > now && attempt.sentAt > w.startedAt {
			w.budgetUsed += attempt.cost
		}
	}
}

// recordReport processes a load report; nil: none was received. A report that equals the last one
// and comes soon after it counts as the same report received again.
func (w *worker) recordReport(load *LoadReport) {
	if load == nil {
		return
	}
	first := w.lastReport == LoadReport{}
	changed := *load != w.lastReport
	gap := w.now - w.reportedAt
	w.lastReport = *load
	w.reportedAt = w.now
	if gap < reportPairWindow && !first {
		pair := reportPair{gap: gap.Seconds()}
		if changed {
			pair.changed = 1
		}
		w.scheduler.send(pair)
	}
	if !changed && gap < repeatedReportLags*w.stats.lag || load.FreeSlots < 0 {
		return
	}
	// Attempts that fail fast leave their slots free: they count as if they had run.
	free := math.Round(load.FreeSlots - load.Queued - load.ErrorRate*w.stats.runTime)
	w.maxFree = max(w.maxFree, free)
	w.serviceTime = load.ServiceTime
	w.recordFreeSlots(w.now-w.stats.lag, free)
	w.pruneAttempts(w.now - max(w.stats.lag, w.overloadWindow))
}

// pruneAttempts removes the attempts that ended before a time.
func (w *worker) pruneAttempts(oldest time.Duration) {
	w.attempts = slices.DeleteFunc(w.attempts, func(attempt workerAttempt) bool {
		return attempt.endedAt != 0 && attempt.endedAt < oldest
	})
}

// recordFreeSlots records how many slots were free at a time. Together with the slots reserved at that
// time, they are the capacity that is available to the known attempts.
func (w *worker) recordFreeSlots(at time.Duration, free float64) {
	capacity := free + w.reservedAt(at)
	w.lastFree = min(capacity, w.maxFree)
	w.freeSampledAt = at
	if !w.ownedHere {
		// The sample is the difference from the pool's typical value: once all workers have filled
		// up or emptied, the absolute values of old reports are no longer valid.
		w.freeSamples.add(w.lastFree - w.stats.typicalFree)
	} else if w.showsCapacity(capacity, free) {
		w.freeSamples.add(capacity)
	}
	w.freeSamples = w.freeSamples.last(freeSampleCount)
	if w.ownedHere {
		w.lastFree = w.freeSamples.quantile(median)
		w.maxFree = max(1, w.lastFree)
		capacity = free
	}
	if w.warmUpWeight == 1 {
		w.scheduler.send(freeSlotsObserved(min(capacity, w.maxFree)))
	}
}

// showsCapacity reports whether a load report shows the capacity of a worker whose load data this
// scheduler owns: a full worker may have more invocations queued than it reports.
func (w *worker) showsCapacity(capacity, free float64) bool {
	return w.lastReport.Queued > 0 || free > 0 || len(w.freeSamples) == 0 ||
		capacity < w.freeSamples.quantile(median)
}

// discardReports discards the load reports of a worker that has stopped reporting. Its former free
// slots are no longer valid, and this scheduler's own counts are used instead.
func (w *worker) discardReports() {
	w.freeSamples = nil
	w.free = 0
	w.maxFree = 0
	w.confidence = 0
}

// attemptProgressed processes a worker's progress report on an attempt.
func (w *worker) attemptProgressed(invocation int, progress AttemptProgress) {
	attempt := w.inFlightAttempt(invocation, progress.Attempt)
	if attempt == nil {
		return
	}
	attempt.accepted = true
	if progress.MayBeReturned {
		w.scheduler.send(attemptMayBeReturned{invocation: invocation, number: progress.Attempt})
		return
	}
	if progress.Accepted { // not a sign of progress: a hung worker accepts everything
		return
	}
	w.lastProgress = w.now
	attempt.progressAt = w.now
	if progress.Started {
		if attempt.startedAt == 0 && w.now < attempt.sentAt+immediateStartWindow {
			w.scheduler.send(startObserved{immediate: 1})
		}
		attempt.startedAt = w.now
	} else if attempt.startedAt == 0 { // its first progress report
		attempt.startedAt = w.now - w.progressInterval
	}
	w.reinstate(true)
}

// attemptEnded records how an attempt ended, and passes the event on to the scheduler.
func (w *worker) attemptEnded(message eventMessage, outcome Outcome) {
	w.recordReport(outcome.Load)
	attempt := w.inFlightAttempt(message.invocation, outcome.Attempt)
	if attempt != nil {
		serial := attempt.serial
		attempt.endedAt = w.now
		w.lastProgress = w.now
		message.runTime = w.applyOutcome(attempt, outcome.Result)
		w.gossipEnded(serial, outcome.Result)
	}
	w.scheduler.send(message)
}

// applyOutcome updates the worker's state with the result of an attempt, and returns how long the
// attempt ran, in seconds; 0 if it did not succeed.
func (w *worker) applyOutcome(attempt *workerAttempt, result Result) (runTime float64) {
	switch result {
	case Succeeded:
		return w.attemptSucceeded(attempt)
	case Failed, ConnectionBroken:
		// A worker that fails attempts fast reports the most free slots and would attract all work.
		// A single broken connection may be the network's fault, so it only causes a health check.
		w.recheck = result == ConnectionBroken
		w.consecutiveFailures++
		if !w.recheck || w.consecutiveFailures >= probationSuccesses {
			w.eject(ejectFailsAttempts, false)
		}
	case Cancelled: // it may still be running: its slots stay reserved for as long as it would have run
		attempt.endedAt = max(w.now, attempt.sentAt+seconds(attempt.work*max(0.5, w.pace)))
	case Rejected:
		attempt.endedAt = attempt.sentAt // it still counts against the slow-start budget
		w.rejectedUntil = w.now + minEjection
		if w.measured {
			w.recordFreeSlots(w.now, 0)
		}
	case Unreachable:
		attempt.endedAt = attempt.sentAt
		attempt.cost = 0
		w.attemptUnreachable(attempt.sentAt)
	case NotSent:
		attempt.endedAt = attempt.sentAt
		attempt.cost = 0
	}
	return 0
}

// attemptSucceeded updates the worker's pace, and returns how long the attempt ran, in seconds.
func (w *worker) attemptSucceeded(attempt *workerAttempt) (runTime float64) {
	runTime = (w.now - cmp.Or(attempt.startedAt, attempt.sentAt)).Seconds()
	w.rejectedUntil = 0
	w.consecutiveFailures = 0
	w.paces.add(runTime / attempt.work * w.warmUpWeight) // as if warm: estimatePace adds the effect of slow start
	w.pace = w.paces.quantile(median)
	if w.gossipEnabled && !w.ownedHere {
		w.recordFreeSlots(w.now, 1) // the slot it leaves can be used here at once, before the owner is notified
	}
	w.reinstate(true)
	w.probationLeft = max(0, w.probationLeft-1)
	if w.probationLeft == 0 {
		w.ejections = max(0, w.ejections-1)
	}
	return runTime
}

// estimatePace sets the pace that the scheduler assumes for the worker. Without results, it is
// estimated from the worker's kind and its reports. With little traffic, reports may show a slow
// worker long before results do.
func (view *workerView) estimatePace(kindPace map[int]float64, stats workerStats) {
	if view.pace == 0 {
		typical := max(stats.serviceTime, view.serviceTime/maxServiceTimeRatio, minServiceTimeSeconds)
		view.pace = cmp.Or(kindPace[view.kind], 1) * max(1, view.serviceTime/typical/slowServiceTimeRatio)
	}
	view.pace /= view.warmUpWeight
}
