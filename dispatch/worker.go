package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// freeSampleCount is how many load reports a worker's estimate of free slots rests on.
	freeSampleCount = 8
	// usualSampleWeight is for how many reports what is usual in the pool stands.
	usualSampleWeight = 6
	// reportPairSpan: two reports that come within this time tell how often reports are made.
	reportPairSpan = 10 * tickInterval
	// repeatedReportLags: an unchanged report within so many lags is the same one seen again.
	repeatedReportLags = 5
	// reportTimeout: a worker that answers health checks for so long without a load report has ceased to report.
	reportTimeout = 1250 * time.Millisecond
	// minRunTime is the shortest usual running time, in seconds, by which reports age.
	minRunTime = 0.1
	// minServiceTime keeps the pace of a worker that reports no service time finite, in seconds.
	minServiceTime = 1e-6
	// maxServiceRatio bounds how far a worker's reported service time may lie over the pool's.
	maxServiceRatio = 8
	// slowServiceRatio is from which on a reported service time shows a slow worker.
	slowServiceRatio = 2
)

// worker is what this scheduler knows of one worker. Its messages are handled one at a time; after each, its view is
// published to the scheduler.
type worker struct {
	mailbox[workerMessage]
	workerView
	scheduler *scheduler
	id        WorkerID
	tag       uint32 // names it in gossip
	owner     int    // the scheduler that owns its load data

	// As the endpoint list has it.
	state      EndpointState
	startKnown bool
	startedAt  time.Duration

	attempts    []workerAttempt
	stats       workerStats // as of when it was last asked
	freeSamples samples     // free or ours at the last few reports, less what was usual; the last at freeSampledAt
	paces       samples     // running time over hinted cost

	lastReport    LoadReport // as it came
	reportedAt    time.Duration
	freeSampledAt time.Duration

	// Health checks and ejection, see outlier.go.
	ejected           bool
	ejectedUntil      time.Duration
	ejections         int // of late
	probationLeft     int // successes still wanted on probation
	recheck           bool
	checkedAt         time.Duration
	checksAnswered    int // in a row
	checksMissed      int // in a row
	consecutiveBreaks int // attempts in a row whose connection broke
	lastProgress      time.Duration
	rejectedUntil     time.Duration

	// Gossip with its owner, or with those that ask us as its owner.
	queriedAt       time.Duration
	unansweredSince time.Duration // the first query to its owner since the last answer; 0: none
	recentQueries   samples       // when others asked, in seconds
}

// workerView is what the scheduler sees of a worker. The scheduler's copy is brought up to date as view.go tells.
type workerView struct {
	index int // of its record
	zone  int
	kind  int
	cell  int

	eligible     bool // ready, and not ejected
	onProbation  bool
	measured     bool // there are samples of its free slots
	rejecting    bool // it has rejected an attempt of late
	ownedHere    bool // this scheduler owns its load data
	ownerSilent  bool // its owner does not answer
	active       bool // it has work of ours, or is ejected: time matters to it
	checkPending bool

	lotteryRank  int           // schedulers before this one in the slow-start lottery
	pooledAt     time.Duration // when it last joined the pool
	reinstatedAt time.Duration
	dueAt        time.Duration // before that nothing comes of checkOverdue

	free         float64 // estimate of free slots
	lastFree     float64 // as last reported, with what was reserved then
	maxFree      float64 // the most that were ever seen free
	serviceTime  float64 // seconds, by its reports
	inFlight     float64 // slots of our own attempts
	reserved     float64 // slots of all attempts that we know of
	confidence   float64 // how far lastFree still holds: 1 is fully
	pace         float64 // running time over hinted cost
	warmUpWeight float64 // part of its capacity in slow start; else 1
	budgetUsed   float64 // of our part of its slow-start budget, in seconds
}

// workerAttempt is an attempt as the worker's state has it.
type workerAttempt struct {
	invocation int // or remoteInvocation, or noInvocation
	number     int // of another scheduler's: its serial
	slots      float64
	work       float64 // seconds on a standard core
	cost       float64 // what it uses of the slow-start budget
	lost       bool    // no answer is expected any more
	accepted   bool
	serial     uint8 // for gossip
	sentAt     time.Duration
	startedAt  time.Duration // 0: not known to have started
	progressAt time.Duration
	endedAt    time.Duration // when its slots are free again; 0 while it is in flight
}

// noInvocation stands for an attempt that uses a budget and is of no invocation here.
const noInvocation = -1

// remoteInvocation stands for all invocations of another scheduler.
func remoteInvocation(scheduler int) int { return noInvocation - 1 - scheduler }

func newWorker(d *Dispatcher, index int, id WorkerID) *worker {
	w := &worker{scheduler: &d.scheduler, id: id, tag: workerTag(id), workerView: workerView{index: index}}
	w.mailbox = mailbox[workerMessage]{sharedState: &d.sharedState, handle: w.handleMessage}
	return w
}

// handleMessage brings the state up to the last epoch, changes it and publishes it.
func (w *worker) handleMessage(message workerMessage) {
	w.scheduler.currentView(w.index)
	message.deliverToWorker(w)
	w.publishView()
}

// applyRecord follows the worker's record in the registry.
func (w *worker) applyRecord(record recordChanged) {
	w.lotteryRank = record.lotteryRank
	w.owner = record.owner
	w.ownedHere = w.gossipEnabled && record.owner == w.schedulerIndex
	w.state = record.State
	if record.State == Gone {
		w.loseAttempts(w.now)
		return
	}
	if record.StartKnown && (!w.startKnown || record.StartedAt > w.startedAt) {
		w.restarted(record.StartedAt)
	}
	w.zone = record.Zone
	w.kind = record.Kind
	w.cell = record.Cell
}

// restarted forgets what was measured of the incarnation before.
func (w *worker) restarted(at time.Duration) {
	w.startKnown = true
	w.startedAt = at
	w.freeSamples = nil
	w.lastReport = LoadReport{}
	w.paces = nil
	w.pace = 0
	w.ejected = false
	w.probationLeft = 0
	w.checksMissed = 0
	w.loseAttempts(at)
}

// joinPool has the worker asked for its load, itself or by its owner.
func (w *worker) joinPool(join joinPool) {
	w.stats = join.workerStats
	w.pooledAt = w.now
	w.recheck = join.unmeasured && !join.viaGossip
	if join.viaGossip && !w.ownedHere && !(w.checkPending && w.queriedAt == w.now) {
		w.queryOwner()
	}
	// Where its owner does not answer it is asked as if it had none.
	if !join.viaGossip || w.ownerSilent && w.rng.Intn(maxQueriesPerInvocation) == 0 {
		w.healthCheck()
	}
}

// addAttempt enters an attempt that the worker gets.
func (w *worker) addAttempt(attempt workerAttempt) {
	w.lastSerial++
	attempt.serial = w.lastSerial
	w.attempts = append(w.attempts, attempt)
	w.sendGossip(w.owner, GossipEntry{Kind: GossipAttemptStarted, Serial: attempt.serial, Tag: w.tag})
}

// inFlightAttempt finds an attempt of ours that has not ended; nil: there is none.
func (w *worker) inFlightAttempt(invocation, number int) *workerAttempt {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.invocation == invocation && attempt.number == number && attempt.endedAt == 0 {
			return attempt
		}
	}
	return nil
}

// reservedAt is how many slots the attempts that we know of held at a time. What is lost holds nothing: were it to run
// on, reports would say so.
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

// slotsInFlight is how many slots our own attempts hold.
func (w *worker) slotsInFlight() (slots float64) {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.endedAt == 0 && !attempt.lost {
			slots += attempt.slots
		}
	}
	return slots
}

// estimate computes the view of the worker at a time.
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

// estimateFree sets how many slots are free, and how far that can be trusted.
func (w *worker) estimateFree(now time.Duration) {
	if w.ownedHere { // all that is there is known
		w.confidence = 1
		w.free = math.Round(w.lastFree - w.reserved)
		return
	}
	count := len(w.freeSamples)
	if count == 0 {
		return
	}
	// All schedulers chase the worker that looked emptiest: the older its last report, the more the mean of the last
	// few counts, and the fewer there are, the more what is usual anywhere.
	age := max(0, now-w.freeSampledAt).Seconds()
	w.confidence = math.Exp(-age / max(w.stats.runTime, minRunTime))
	faded := w.stats.usualFree + w.freeSamples.sum()/float64(count+usualSampleWeight)
	w.free = math.Round(min(w.confidence*w.lastFree+(1-w.confidence)*faded-w.reserved, w.maxFree))
}

// estimateActivity sets whether time matters to the worker, and what was used of our part of its slow-start budget.
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

// recordReport takes a load report in. One that equals the last and comes soon after is the same one seen again.
func (w *worker) recordReport(load *LoadReport) {
	if load == nil {
		return
	}
	first := w.lastReport == LoadReport{}
	changed := *load != w.lastReport
	gap := w.now - w.reportedAt
	w.lastReport = *load
	w.reportedAt = w.now
	if gap < reportPairSpan && !first {
		pair := reportPair{gap: gap.Seconds()}
		if changed {
			pair.changed = 1
		}
		w.scheduler.send(pair)
	}
	if !changed && gap < repeatedReportLags*w.stats.lag || load.FreeSlots < 0 {
		return
	}
	// What fails fast leaves its slots free: they are counted as if it had run.
	free := math.Round(load.FreeSlots - load.Queued - load.ErrorRate*w.stats.runTime)
	w.maxFree = max(w.maxFree, free)
	w.serviceTime = load.ServiceTime
	w.recordFreeSlots(w.now-w.stats.lag, free)
	w.forgetAttempts(w.now - max(w.stats.lag, w.overloadWindow))
}

// forgetAttempts drops attempts that ended before a time.
func (w *worker) forgetAttempts(oldest time.Duration) {
	w.attempts = slices.DeleteFunc(w.attempts, func(attempt workerAttempt) bool {
		return attempt.endedAt != 0 && attempt.endedAt < oldest
	})
}

// recordFreeSlots enters how many slots were free at a time, beside those that were reserved then.
func (w *worker) recordFreeSlots(at time.Duration, free float64) {
	capacity := free + w.reservedAt(at)
	w.lastFree = min(capacity, w.maxFree)
	w.freeSampledAt = at
	if !w.ownedHere {
		// By how much it lies off what is usual: when all have filled or emptied, old reports tell no more.
		w.freeSamples.add(w.lastFree - w.stats.usualFree)
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

// showsCapacity reports whether a report shows the capacity of a worker that we own: a full one may have more queued
// than it reports.
func (w *worker) showsCapacity(capacity, free float64) bool {
	return w.lastReport.Queued > 0 || free > 0 || len(w.freeSamples) == 0 ||
		capacity < w.freeSamples.quantile(median)
}

// forgetReports: the worker has ceased to report, so that what was free once tells nothing; our own counts do.
func (w *worker) forgetReports() {
	w.freeSamples = nil
	w.free = 0
	w.maxFree = 0
	w.confidence = 0
}

// attemptProgressed follows a worker's progress report on an attempt.
func (w *worker) attemptProgressed(invocation int, progress AttemptProgress) {
	attempt := w.inFlightAttempt(invocation, progress.Attempt)
	if attempt == nil {
		return
	}
	attempt.accepted = true
	if progress.Accepted { // no sign that work goes on: a worker that hangs accepts all it gets
		return
	}
	w.lastProgress = w.now
	attempt.progressAt = w.now
	if progress.Started {
		if attempt.startedAt == 0 && w.now < attempt.sentAt+immediateStartSpan {
			w.scheduler.send(startObserved{immediate: 1})
		}
		attempt.startedAt = w.now
	} else if attempt.startedAt == 0 { // its first progress report
		attempt.startedAt = w.now - w.progressInterval
	}
	w.reinstate(true)
}

// attemptEnded enters how an attempt has ended, and notifies the scheduler.
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

// applyOutcome changes what is known of the worker by an attempt that has ended, and gives how long it ran, in seconds.
func (w *worker) applyOutcome(attempt *workerAttempt, result Result) (runTime float64) {
	switch result {
	case Succeeded:
		return w.attemptSucceeded(attempt)
	case Failed, ConnectionBroken:
		// A worker that fails fast shows the most free slots and would draw all work; the network breaks some.
		w.recheck = result == ConnectionBroken
		w.consecutiveBreaks++
		if !w.recheck || w.consecutiveBreaks >= probationRuns {
			w.eject(ejectFails, false)
		}
	case Cancelled: // it may go on: its slots stay reserved for as long as it would have run
		attempt.endedAt = max(w.now, attempt.sentAt+seconds(attempt.work*max(0.5, w.pace)))
	case Rejected:
		attempt.endedAt = attempt.sentAt // it uses the slow-start budget all the same
		w.rejectedUntil = w.now + minEjection
		if w.measured {
			w.recordFreeSlots(w.now, 0)
		}
	case Unreachable:
		attempt.endedAt = attempt.sentAt
		attempt.cost = 0
		w.unreachable(attempt.sentAt)
	case NotSent:
		attempt.endedAt = attempt.sentAt
		attempt.cost = 0
	}
	return 0
}

// attemptSucceeded learns the worker's pace, and gives how long the attempt ran, in seconds.
func (w *worker) attemptSucceeded(attempt *workerAttempt) (runTime float64) {
	runTime = (w.now - cmp.Or(attempt.startedAt, attempt.sentAt)).Seconds()
	w.rejectedUntil = 0
	w.consecutiveBreaks = 0
	w.paces.add(runTime / attempt.work * w.warmUpWeight) // past its slow start, which comes on top
	w.pace = w.paces.quantile(median)
	if w.gossipEnabled && !w.ownedHere {
		w.recordFreeSlots(w.now, 1) // the slot that it leaves is ours at once, before its owner is notified
	}
	w.reinstate(true)
	w.probationLeft = max(0, w.probationLeft-1)
	if w.probationLeft == 0 {
		w.ejections = max(0, w.ejections-1)
	}
	return runTime
}

// estimatePace sets what the scheduler takes for a worker's pace: its reports may show that it is slow, long before the
// few results of thin traffic do.
func (v *workerView) estimatePace(kindPace map[int]float64, stats workerStats) {
	if v.pace == 0 {
		usual := max(stats.serviceTime, v.serviceTime/maxServiceRatio, minServiceTime)
		v.pace = cmp.Or(kindPace[v.kind], 1) * max(1, v.serviceTime/usual/slowServiceRatio)
	}
	v.pace /= v.warmUpWeight
}
