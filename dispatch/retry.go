package dispatch

import (
	"slices"
	"time"
)

const (
	// maxBadRequests is the number of workers that must call an invocation a bad request before the
	// invocation itself counts as being at fault.
	maxBadRequests = 2
	// minTimeForAttempt is the least time before the client timeout with which an attempt is still begun.
	minTimeForAttempt = 2 * tickInterval
	// maxRetryAfter bounds the retry delay suggested to throttled clients.
	maxRetryAfter = 1250 * time.Millisecond
	// minTenantBackoff and maxTenantBackoff bound how long a worker that has rejected a tenant's
	// operation is sent no more of it. The time doubles with each further rejection.
	minTenantBackoff = minEjection / 8
	maxTenantBackoff = maxEjection
)

const (
	// noAttempt is passed to complete to cancel all attempts in flight.
	noAttempt = -1
	// resultReturned is passed to complete when the client got a result.
	resultReturned = -2
)

// rejectionKey identifies a worker and the kind of invocation that it has rejected.
type rejectionKey struct {
	worker    int
	operation int
	tenant    int
}

// backoff is the time during which a worker is not sent what it has rejected.
type backoff struct {
	until time.Duration
	span  time.Duration
}

// Reason says why an invocation was given up. It is informative only: no decision depends on it.
type Reason string

// The reasons for giving up an invocation.
const (
	ReasonTimeout    Reason = "the client timeout is near or past"
	ReasonTooLate    Reason = "an answer would be late and earn nothing"
	ReasonAttempts   Reason = "no further attempt is allowed"
	ReasonBadRequest Reason = "workers would not have it"
	ReasonMayHaveRun Reason = "an attempt may have run"
	ReasonWindow     Reason = "the window for repeats has passed"
)

// RejectionReason returns why the last call of Handle gave up an invocation, or an empty Reason if it
// did not.
func (d *Dispatcher) RejectionReason(id InvocationID) Reason { return d.scheduler.reasons[id] }

// rejectionReason returns the first condition of mayAttempt and cannotMeetDeadline that prevents
// another attempt.
func (s *scheduler) rejectionReason(v *invocation) Reason {
	operation := &s.operations[v.operation]
	_, first := v.inFlight()
	switch {
	case v.badRequests >= maxBadRequests:
		return ReasonBadRequest
	case first != nil && operation.effect == NonIdempotent:
		return ReasonMayHaveRun
	case first != nil && operation.effect == Deduplicated && s.now >= first.sentAt+operation.dedupWindow:
		return ReasonWindow
	case len(v.attempts) >= s.maxAttempts:
		return ReasonAttempts
	case v.deadline-s.now <= minTimeForAttempt:
		return ReasonTimeout
	}
	return ReasonTooLate
}

// inFlight counts the attempts in flight. first is the first attempt that may have run, or nil.
func (v *invocation) inFlight() (count int, first *requestAttempt) {
	for i := range v.attempts {
		attempt := &v.attempts[i]
		if attempt.inFlight {
			count++
		}
		if first == nil && (attempt.inFlight || attempt.mayHaveRun) {
			first = attempt
		}
	}
	return count, first
}

// mayAttempt reports whether the effect class and the limits allow one more attempt.
func (s *scheduler) mayAttempt(v *invocation) bool {
	count, first := v.inFlight()
	if len(v.attempts) >= s.maxAttempts || count >= s.maxInFlight || v.badRequests >= maxBadRequests {
		return false
	}
	operation := &s.operations[v.operation]
	return first == nil || operation.effect == Idempotent ||
		operation.effect == Deduplicated && s.now < first.sentAt+operation.dedupWindow
}

// retry queues an invocation again, or gives it up, if none of its attempts is expected to be answered.
func (s *scheduler) retry(index int) {
	v := &s.invocations[index]
	awaited := slices.ContainsFunc(v.attempts, func(attempt requestAttempt) bool {
		return attempt.inFlight && !attempt.stalled
	})
	if v.answered || awaited || slices.Contains(s.queue, index) {
		return
	}
	s.summarizePool()
	if s.mayAttempt(v) && !s.cannotMeetDeadline(v) {
		s.enqueue(index)
		return
	}
	s.giveUp(index)
}

// attemptStalled retries an invocation whose attempt is not expected to be answered in time.
func (s *scheduler) attemptStalled(stalled attemptStalled) {
	v := &s.invocations[stalled.invocation]
	if v.answered || stalled.number >= len(v.attempts) {
		return
	}
	v.attempts[stalled.number].stalled = true
	s.retry(stalled.invocation)
}

// attemptMayBeReturned retries an invocation whose attempt may have been returned. The attempt counts
// as in flight, as it may still be answered. It is cancelled only where it would prevent a retry.
func (s *scheduler) attemptMayBeReturned(returned attemptMayBeReturned) {
	v := &s.invocations[returned.invocation]
	if v.answered || returned.number >= len(v.attempts) {
		return
	}
	retriable := s.operations[v.operation].effect != NonIdempotent
	if s.maxInFlight <= 1 && s.cancelAllowed && retriable {
		s.emit(Cancel{Invocation: v.id, Attempt: returned.number}) // its outcome causes the retry
		return
	}
	s.attemptStalled(attemptStalled(returned))
}

// giveUp gives a final answer without a result. If an attempt is in flight, it only takes the
// invocation out of the queue, because the attempt may still be answered.
func (s *scheduler) giveUp(index int) {
	v := &s.invocations[index]
	s.reasons[v.id] = s.rejectionReason(v)
	count, first := v.inFlight()
	if count > 0 {
		s.dequeue(index)
		return
	}
	if s.retriableByClient(v, first) {
		s.emit(Throttle{Invocation: v.id, RetryAfter: s.jitteredRetryAfter()})
	} else {
		s.emit(Fail{Invocation: v.id})
	}
	s.complete(index, noAttempt)
}

// retriableByClient reports whether the client may safely send the invocation again.
func (s *scheduler) retriableByClient(v *invocation, first *requestAttempt) bool {
	if v.badRequests >= maxBadRequests {
		return false
	}
	operation := &s.operations[v.operation]
	return first == nil || operation.effect == Idempotent ||
		operation.effect == Deduplicated && operation.scope == ScopeAll
}

// jitteredRetryAfter returns a retry delay with jitter, so that clients throttled by many schedulers
// at the same moment do not all return at the same moment.
func (s *scheduler) jitteredRetryAfter() time.Duration {
	return s.retryAfter*3/5 + time.Duration(s.rng.Int63n(int64(s.retryAfter)*2/5+1))
}

// complete ends an invocation: no answer is owed any more. It cancels the attempts in flight except
// the one numbered keptAttempt, which may be noAttempt. resultReturned means that the client got a
// result, which counts towards the operation's served share.
func (s *scheduler) complete(index, keptAttempt int) {
	v := &s.invocations[index]
	if !v.answered {
		operation := &s.operations[v.operation]
		operation.servedShares.add(s.servedShare(v, operation, keptAttempt))
	}
	s.dequeue(index)
	v.finished = true
	for number, attempt := range v.attempts {
		if attempt.inFlight && !v.answered && number != keptAttempt && s.cancelAllowed {
			s.emit(Cancel{Invocation: v.id, Attempt: number})
		}
		v.finished = v.finished && !attempt.inFlight
	}
	v.answered = true
	if v.finished {
		s.releaseInvocation(index)
	}
}

// servedShare returns the value that an invocation earned by its end, as a fraction of its weight.
func (s *scheduler) servedShare(v *invocation, operation *operation, keptAttempt int) float64 {
	if keptAttempt != resultReturned {
		return 0
	}
	if s.now-v.arrivedAt > operation.objective+seconds(operation.stretch*v.work) {
		return operation.lateWeight
	}
	return 1
}

// releaseInvocation releases the memory of an invocation for which no more events will arrive.
func (s *scheduler) releaseInvocation(index int) {
	s.freeInvocations = append(s.freeInvocations, index)
	s.dispatcher.send(invocationReleased{id: s.invocations[index].id})
}

// attemptEnded processes the end of an attempt.
func (s *scheduler) attemptEnded(message eventMessage, outcome Outcome) {
	v := &s.invocations[message.invocation]
	if outcome.Attempt >= len(v.attempts) || !v.attempts[outcome.Attempt].inFlight {
		return
	}
	attempt := &v.attempts[outcome.Attempt]
	attempt.inFlight = false
	attempt.mayHaveRun = !outcome.Result.provesNotRun()
	key := rejectionKey{worker: attempt.worker, operation: v.operation, tenant: v.tenant}
	switch outcome.Result {
	case BadRequest: // the request or the worker may be at fault: the next worker's result decides
		attempt.badRequest = true
		v.badRequests++
	case Succeeded:
		s.notifyBadRequestWorkers(v)
		delete(s.rejections, key)
		s.recordRun(v, attempt.worker, message.runTime)
	case Rejected, Unreachable:
		s.backOff(key)
	}
	switch {
	case v.answered || outcome.Answered || outcome.Result == Succeeded:
		s.complete(message.invocation, resultReturned)
	case s.now < v.deadline && outcome.Result != NotSent:
		s.retry(message.invocation)
	default:
		s.giveUp(message.invocation)
	}
}

// notifyBadRequestWorkers tells the workers that called an invocation a bad request that another
// worker ran it.
func (s *scheduler) notifyBadRequestWorkers(v *invocation) {
	for _, attempt := range v.attempts {
		if attempt.badRequest {
			s.dispatcher.records[attempt.worker].worker.send(rejectedValidRequest{})
		}
	}
}

// backOff stops sending a worker, for a while, what it has rejected. Without this, a worker that
// rejects a tenant's work while its health checks show capacity would keep getting the tenant's
// first invocation.
func (s *scheduler) backOff(key rejectionKey) {
	span := min(max(2*s.rejections[key].span, minTenantBackoff), maxTenantBackoff)
	s.rejections[key] = backoff{until: s.now + span, span: span}
}

// recordRun records the running time, in seconds, of an attempt that succeeded.
func (s *scheduler) recordRun(v *invocation, worker int, runTime float64) {
	operation := &s.operations[v.operation]
	operation.runTimes.add(runTime)
	operation.costRatios.add(runTime / v.work)
	s.runTimes.add(runTime)
	view := s.currentView(worker)
	operation.hintErrors.add(runTime / (v.work * view.pace))
	if view.warmUpWeight == 1 {
		s.recordKindPace(view.kind, runTime/v.work)
	}
}
