package dispatch

import "time"

const (
	// progressTimeout is how long after its due time a sign of progress counts as missing.
	progressTimeout = 300 * time.Millisecond
	// immediateStartWindow bounds the delay with which an attempt still counts as started at once,
	// that is without waiting in its worker's queue.
	immediateStartWindow = 2 * tickInterval
	// fastFailureLatency is the latency below which a failed health check may be a network fault
	// and not the worker's.
	fastFailureLatency = progressTimeout / 2
	// maxRechecks bounds how many such failures in a row are checked again at once.
	maxRechecks = 3

	// minEjection and maxEjection bound the length of an ejection, which doubles each time.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// maxCountedEjections caps the count of recent ejections, which determines the length of the
	// next one and of the probation after it.
	maxCountedEjections = 5
	// reinstateChecks is how many health checks in a row an ejected worker must answer before it is
	// reinstated.
	reinstateChecks = 2
	// probationSuccesses is how many attempts must succeed for each recent ejection before probation
	// ends. The same number of broken connections in a row ejects a worker.
	probationSuccesses = 3
	// nonIdempotentHoldoff is how long after its reinstatement a worker gets no non-idempotent work.
	nonIdempotentHoldoff = 1250 * time.Millisecond

	// toleratedSilentRuns is the silence that is tolerated before a worker is ejected, in typical
	// running times.
	toleratedSilentRuns = 3
	// unreportedRunFactor is the time an attempt may take where its progress is not reported, as a
	// multiple of its hinted cost.
	unreportedRunFactor = 4
)

// ejectReason tells operators why a worker was ejected.
type ejectReason string

const (
	ejectRejectsValidRequests ejectReason = "rejects what others accept"
	ejectFailsAttempts        ejectReason = "fails attempts"
	ejectUnreachable          ejectReason = "unreachable"
	ejectChecksUnanswered     ejectReason = "health checks unanswered"
	ejectNoProgress           ejectReason = "no sign of progress"
)

// healthCheck sends the worker a health check, which asks for its load. It does nothing where health
// checks are not allowed, the worker is not ready, or a check was already sent in this call of Handle.
func (w *worker) healthCheck() {
	if !w.healthChecks || w.state != Ready || w.checkPending && w.checkedAt == w.now {
		return
	}
	w.checkedAt = w.now
	w.checkPending = true
	w.emit(HealthCheck{Worker: w.id})
}

// healthCheckEnded processes the result of a health check.
func (w *worker) healthCheckEnded(check HealthCheckResult) {
	w.checkPending = false
	switch check.Result {
	case Succeeded:
		w.healthCheckSucceeded(check.Load)
	case Rejected, ReusedConnectionBroken:
		// Workers limit health checks, and idle connections break: neither result says anything about
		// the worker.
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
		w.discardReports()
	}
	w.reinstate(w.checksAnswered >= reinstateChecks)
}

func (w *worker) healthCheckFailed(latency time.Duration) {
	w.checksAnswered = 0
	w.checksMissed++
	// A check that fails fast may be a network fault: it is repeated at once before it counts.
	w.recheck = latency < fastFailureLatency && w.checksMissed < maxRechecks
	if !w.recheck && (w.checksMissed > 1 || w.lastProgress < w.now-latency) {
		w.eject(ejectChecksUnanswered, true)
	}
}

// attemptUnreachable counts an attempt for which no connection could be established.
func (w *worker) attemptUnreachable(sentAt time.Duration) {
	w.checksMissed++
	w.recheck = true
	if w.checksMissed > 1 || w.now-sentAt >= fastFailureLatency {
		w.eject(ejectUnreachable, true)
	}
}

// eject takes the worker out of use. The duration doubles each time, so that a small budget of health
// checks is not spent on dead workers. With attemptsLost set, its attempts in flight count as lost.
func (w *worker) eject(reason ejectReason, attemptsLost bool) {
	if w.state == Ready && (!w.ejected || attemptsLost && w.now >= w.ejectedUntil) {
		w.emit(ejectedLog(w.id, reason))
		w.ejectedUntil = w.now + min(minEjection<<w.ejections, maxEjection)
		w.ejected = true
		w.checksAnswered = 0
		w.ejections = min(w.ejections+1, maxCountedEjections)
	}
	if attemptsLost {
		w.markAttemptsLost(w.now)
	}
}

// reinstate returns an ejected worker to use, on probation, if it has shown that it works and its
// ejection time is over.
func (w *worker) reinstate(works bool) {
	if !w.ejected || !works || w.now < w.ejectedUntil {
		return
	}
	w.ejected = false
	w.probationLeft = probationSuccesses * max(1, w.ejections)
	w.pooledAt = w.now
	w.reinstatedAt = w.now
	w.emit(reinstatedLog(w.id))
}

// markAttemptsLost marks all attempts in flight that were sent at or before a time as lost.
func (w *worker) markAttemptsLost(sentBy time.Duration) {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.endedAt == 0 && !attempt.lost && attempt.sentAt <= sentBy {
			w.markAttemptLost(attempt)
		}
	}
}

// markAttemptLost marks an attempt as lost and notifies the scheduler, once. A lost attempt is not
// judged again: after a reinstatement only new work shows whether the worker works.
func (w *worker) markAttemptLost(attempt *workerAttempt) {
	attempt.lost = true
	w.scheduler.send(attemptStalled{invocation: attempt.invocation, number: attempt.number})
}

// acceptanceOverdue reports whether the worker should have accepted the attempt by now. The
// connection may have gone silent after the request was sent, even if the worker still reports on
// other attempts.
func (w *worker) acceptanceOverdue(attempt *workerAttempt) bool {
	return w.notifiesAccepted && !attempt.accepted && w.now >= attempt.sentAt+progressTimeout
}

// progressOvertaken reports whether the worker has reported on other attempts since progress of
// this one was due. It has then lost this attempt or its answer.
func (w *worker) progressOvertaken(attempt *workerAttempt) bool {
	return w.progressInterval > 0 && attempt.startedAt > 0 &&
		w.lastProgress > attempt.progressAt+w.progressInterval+progressTimeout
}

// awaitsStart reports whether the worker reports starts and has not yet reported that the attempt has
// started.
func (w *worker) awaitsStart(attempt *workerAttempt) bool {
	return w.notifiesStart && attempt.startedAt == 0
}

// progressDue returns when the next sign of progress of an attempt is due.
func (w *worker) progressDue(attempt *workerAttempt) time.Duration {
	switch {
	case w.awaitsStart(attempt):
		return attempt.sentAt
	case w.progressInterval > 0:
		return max(attempt.sentAt, attempt.progressAt) + w.progressInterval
	default:
		return attempt.sentAt + seconds(unreportedRunFactor*attempt.work*max(1, w.pace))
	}
}

// checkOverdue looks for overdue signs of progress. A hung worker reports the most free slots and
// would attract all work, but a busy one must not be ejected: a suspected worker is health checked
// first, and ejected only after a silence longer than queueing explains.
func (w *worker) checkOverdue() {
	silence := w.ejectIfSilent()
	if !w.healthChecks { // without health checks, the end of the ejection time alone reinstates it
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

// ejectIfSilent ejects the worker if an attempt in flight has been silent for too long, and returns
// for how long the longest overdue one has been overdue.
func (w *worker) ejectIfSilent() (longest time.Duration) {
	tolerated := seconds(w.toleratedSilenceSeconds())
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.endedAt != 0 || attempt.lost || w.ejected {
			continue
		}
		if w.acceptanceOverdue(attempt) || w.progressOvertaken(attempt) {
			w.markAttemptLost(attempt)
			continue
		}
		if w.awaitsStart(attempt) {
			w.recordLateStart(attempt)
		}
		silence := w.now - max(w.progressDue(attempt), w.lastProgress) - progressTimeout
		longest = max(longest, silence)
		if silence > tolerated {
			w.eject(ejectNoProgress, true)
		}
	}
	return longest
}

// toleratedSilenceSeconds returns how long progress may be overdue before the worker is ejected.
func (w *worker) toleratedSilenceSeconds() float64 {
	tolerated := toleratedSilentRuns * w.stats.runTime * max(1, w.pace)
	if w.lastReport.FreeSlots <= 0 {
		// With little traffic, this scheduler has no other attempts at a full worker that show that it
		// still works. The worker's own queue explains the silence.
		tolerated *= 2 + w.lastReport.Queued/max(1, w.maxFree)
	}
	return tolerated
}

// recordLateStart records, once, that an attempt did not start at once.
func (w *worker) recordLateStart(attempt *workerAttempt) {
	expected := attempt.sentAt + immediateStartWindow
	if w.now < expected || w.now >= expected+tickInterval {
		return
	}
	w.scheduler.send(startObserved{immediate: 0})
	if w.measured {
		w.recordFreeSlots(w.now, -attempt.slots) // it is queued: nothing is free, whatever the last report says
	}
}

// earliestDue returns the earliest time at which checkOverdue may have an effect. It may be too
// early, never too late.
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

// attemptDue returns the earliest time at which checkOverdue may have an effect for one attempt.
func (w *worker) attemptDue(attempt *workerAttempt) time.Duration {
	if w.progressOvertaken(attempt) {
		return 0
	}
	next := max(w.progressDue(attempt), w.lastProgress) + progressTimeout
	if w.notifiesAccepted && !attempt.accepted {
		next = min(next, attempt.sentAt+progressTimeout)
	}
	if expected := attempt.sentAt + immediateStartWindow; w.awaitsStart(attempt) && w.now < expected+tickInterval {
		next = min(next, expected)
	}
	return next
}
