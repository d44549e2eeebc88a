package dispatch

import "time"

const (
	// progressTimeout is how long after it was due a sign of progress counts as missing.
	progressTimeout = 300 * time.Millisecond
	// immediateStartSpan: an attempt that starts within this time has not waited at its worker.
	immediateStartSpan = 2 * tickInterval
	// fastFailure: a health check that fails sooner may have failed by the network's doing.
	fastFailure = progressTimeout / 2
	// maxRechecks bounds how often such a check is repeated at once.
	maxRechecks = 3

	// minEjection and maxEjection bound how long a worker is ejected; each further time is twice as long.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// maxEjections bounds how many ejections are counted.
	maxEjections = 5
	// reinstateChecks is how many health checks in a row an ejected worker must answer.
	reinstateChecks = 2
	// probationRuns is how many attempts must succeed, for each ejection of late, before probation ends. So many broken
	// connections in a row eject a worker.
	probationRuns = 3
	// probationGuard is for how long a worker on probation gets no work that must not run twice.
	probationGuard = 1250 * time.Millisecond

	// overdueRuns is how many usual running times of silence eject a worker.
	overdueRuns = 3
	// overdueWork is how often its own work an attempt may take where nothing reports its progress.
	overdueWork = 4
)

// ejectReason says to operators why a worker was ejected.
type ejectReason string

const (
	ejectRejects     ejectReason = "rejects what others accept"
	ejectFails       ejectReason = "fails attempts"
	ejectUnreachable ejectReason = "unreachable"
	ejectUnanswered  ejectReason = "health checks unanswered"
	ejectSilent      ejectReason = "no sign of progress"
)

// healthCheck asks the worker for its load, once a moment.
func (w *worker) healthCheck() {
	if !w.healthChecks || w.state != Ready || w.checkPending && w.checkedAt == w.now {
		return
	}
	w.checkedAt = w.now
	w.checkPending = true
	w.emit(HealthCheck{Worker: w.id})
}

// healthCheckEnded takes the end of a health check in.
func (w *worker) healthCheckEnded(check HealthCheckResult) {
	w.checkPending = false
	switch check.Result {
	case Succeeded:
		w.healthCheckSucceeded(check.Load)
	case Rejected, ReusedConnectionBroken: // checks are capped, connections break, which tells nothing
	default:
		w.healthCheckFailed(check.Latency)
	}
}

func (w *worker) healthCheckSucceeded(load *LoadReport) {
	w.checksMissed = 0
	w.checksAnswered++
	w.rejectedUntil = 0
	w.recordReport(load)
	if load == nil && w.now > w.reportedAt+reportTimeout {
		w.forgetReports()
	}
	w.reinstate(w.checksAnswered >= reinstateChecks)
}

func (w *worker) healthCheckFailed(latency time.Duration) {
	w.checksAnswered = 0
	w.checksMissed++
	// What fails at once may be the network's doing: it is tried again at once before it counts.
	w.recheck = latency < fastFailure && w.checksMissed < maxRechecks
	if !w.recheck && (w.checksMissed > 1 || w.lastProgress < w.now-latency) {
		w.eject(ejectUnanswered, true)
	}
}

// unreachable counts an attempt for which no connection came up.
func (w *worker) unreachable(sentAt time.Duration) {
	w.checksMissed++
	w.recheck = true
	if w.checksMissed > 1 || w.now-sentAt >= fastFailure {
		w.eject(ejectUnreachable, true)
	}
}

// eject takes the worker out of use. The span doubles each time, as health checks are not to be spent on the dead where
// there are few. silent: what it has counts as lost.
func (w *worker) eject(reason ejectReason, silent bool) {
	if w.state == Ready && (!w.ejected || silent && w.now >= w.ejectedUntil) {
		w.emit(ejectedLog(w.id, reason))
		w.ejectedUntil = w.now + min(minEjection<<w.ejections, maxEjection)
		w.ejected = true
		w.checksAnswered = 0
		w.ejections = min(w.ejections+1, maxEjections)
	}
	if silent {
		w.loseAttempts(w.now)
	}
}

// reinstate brings an ejected worker back on probation where it has shown that it works and its ejection is over.
func (w *worker) reinstate(works bool) {
	if !w.ejected || !works || w.now < w.ejectedUntil {
		return
	}
	w.ejected = false
	w.probationLeft = probationRuns * max(1, w.ejections)
	w.pooledAt = w.now
	w.reinstatedAt = w.now
	w.emit(reinstatedLog(w.id))
}

// loseAttempts has all attempts count as lost that were sent by a time.
func (w *worker) loseAttempts(sentBy time.Duration) {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.endedAt == 0 && !attempt.lost && attempt.sentAt <= sentBy {
			w.loseAttempt(attempt)
		}
	}
}

// loseAttempt notifies the scheduler, once: after a reinstatement new work is to show how the worker does.
func (w *worker) loseAttempt(attempt *workerAttempt) {
	attempt.lost = true
	w.scheduler.send(attemptStalled{invocation: attempt.invocation, number: attempt.number})
}

// acceptanceOverdue: the connection may have gone silent under the request, whatever else the worker reports.
func (w *worker) acceptanceOverdue(attempt *workerAttempt) bool {
	return w.notifiesAccepted && !attempt.accepted && w.now >= attempt.sentAt+progressTimeout
}

// progressOvertaken: the worker has reported on others since this attempt's progress was due: it has lost this one, or its
// answer.
func (w *worker) progressOvertaken(attempt *workerAttempt) bool {
	return w.progressInterval > 0 && attempt.startedAt > 0 &&
		w.lastProgress > attempt.progressAt+w.progressInterval+progressTimeout
}

// waitsToStart: the worker will report when the attempt starts, and has not.
func (w *worker) waitsToStart(attempt *workerAttempt) bool {
	return w.notifiesStart && attempt.startedAt == 0
}

// progressDue is when a sign of progress of an attempt is due.
func (w *worker) progressDue(attempt *workerAttempt) time.Duration {
	switch {
	case w.waitsToStart(attempt):
		return attempt.sentAt
	case w.progressInterval > 0:
		return max(attempt.sentAt, attempt.progressAt) + w.progressInterval
	default:
		return attempt.sentAt + seconds(overdueWork*attempt.work*max(1, w.pace))
	}
}

// checkOverdue looks for overdue signs of progress. A hung worker shows the most free slots and would draw all work, but
// a busy one must not lose its place: suspicion asks, silence beyond what waiting explains decides.
func (w *worker) checkOverdue() {
	silence := w.ejectIfSilent()
	if !w.healthChecks { // nobody may ask it: time alone lets it be tried again
		w.reinstate(true)
	}
	sinceCheck := w.now - w.checkedAt
	suspected := silence > 0 && sinceCheck >= max(progressTimeout, silence)
	returning := w.ejected && w.now >= w.ejectedUntil && sinceCheck >= minEjection/2
	if w.recheck && sinceCheck >= tickInterval || suspected || returning {
		w.recheck = false
		w.healthCheck()
	}
}

// ejectIfSilent goes through the attempts in flight, and gives for how long the longest one has been overdue.
func (w *worker) ejectIfSilent() (longest time.Duration) {
	tolerated := seconds(w.toleratedSilence())
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.endedAt != 0 || attempt.lost || w.ejected {
			continue
		}
		if w.acceptanceOverdue(attempt) || w.progressOvertaken(attempt) {
			w.loseAttempt(attempt)
			continue
		}
		if w.waitsToStart(attempt) {
			w.recordLateStart(attempt)
		}
		silence := w.now - max(w.progressDue(attempt), w.lastProgress) - progressTimeout
		longest = max(longest, silence)
		if silence > tolerated {
			w.eject(ejectSilent, true)
		}
	}
	return longest
}

// toleratedSilence is in seconds.
func (w *worker) toleratedSilence() float64 {
	tolerated := overdueRuns * w.stats.runTime * max(1, w.pace)
	if w.lastReport.FreeSlots <= 0 {
		// In thin traffic nothing else of ours shows that a full worker works: its queue explains silence.
		tolerated *= 2 + w.lastReport.Queued/max(1, w.maxFree)
	}
	return tolerated
}

// noteLateStart notes, once, that an attempt has not started at once.
func (w *worker) recordLateStart(attempt *workerAttempt) {
	expected := attempt.sentAt + immediateStartSpan
	if w.now < expected || w.now >= expected+tickInterval {
		return
	}
	w.scheduler.send(startObserved{immediate: 0})
	if w.measured {
		w.recordFreeSlots(w.now, -attempt.slots) // it waits: nothing is free now, whatever the last report says
	}
}

// earliestDue is the earliest time at which checkOverdue may have a result; it may be too early, never too late.
func (w *worker) earliestDue() time.Duration {
	next := never
	if w.recheck {
		next = w.checkedAt + tickInterval
	}
	if w.ejected {
		return min(next, max(w.ejectedUntil, w.checkedAt+minEjection/2))
	}
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.endedAt == 0 && !attempt.lost {
			next = min(next, w.attemptDue(attempt))
		}
	}
	return next
}

// attemptDue is the earliest time at which checkOverdue may have a result for one attempt.
func (w *worker) attemptDue(attempt *workerAttempt) time.Duration {
	if w.progressOvertaken(attempt) {
		return 0
	}
	next := max(w.progressDue(attempt), w.lastProgress) + progressTimeout
	if w.notifiesAccepted && !attempt.accepted {
		next = min(next, attempt.sentAt+progressTimeout)
	}
	if expected := attempt.sentAt + immediateStartSpan; w.waitsToStart(attempt) && w.now < expected+tickInterval {
		next = min(next, expected)
	}
	return next
}
