package dispatch

import (
	"slices"
	"time"
)

const (
	// maxBadRequests: an invocation that so many workers would not have is at fault itself.
	maxBadRequests = 2
	// minTimeLeft: with less time left to the client timeout nothing is begun any more.
	minTimeLeft = 2 * tickInterval
	// maxRetryAfter bounds how long a throttled client is asked to wait.
	maxRetryAfter = 1250 * time.Millisecond
	// minTenantBackoff and maxTenantBackoff bound for how long a worker that rejects a tenant's operation gets no more of
	// it; each further time is twice as long.
	minTenantBackoff = minEjection / 8
	maxTenantBackoff = maxEjection
)

const (
	// noAttempt stands for none: no attempt is spared its Cancel.
	noAttempt = -1
	// keepAttempts completes an invocation whose client got a result.
	keepAttempts = -2
)

// rejectionKey is a worker and what it has rejected.
type rejectionKey struct {
	worker    int
	operation int
	tenant    int
}

// backoff is for how long a worker gets no more of what it has rejected.
type backoff struct {
	until time.Duration
	span  time.Duration
}

// Reason is why an invocation was given up. It is for people: nothing is decided by it.
type Reason string

// The reasons.
const (
	ReasonTimeout  Reason = "the client timeout is near or past"
	ReasonTooLate  Reason = "an answer would be late and earn nothing"
	ReasonAttempts Reason = "no further attempt is allowed"
	ReasonUnfit    Reason = "workers would not have it"
	ReasonUnproven Reason = "an attempt may have run"
	ReasonWindow   Reason = "the window for repeats has passed"
)

// RejectionReason returns why an invocation was given up by the last call of Handle; empty: it was not.
func (d *Dispatcher) RejectionReason(id InvocationID) Reason { return d.scheduler.reasons[id] }

// rejectionReason names the first of the conditions of mayAttempt and cannotMeetDeadline that does not hold.
func (s *scheduler) rejectionReason(v *invocation) Reason {
	operation := &s.operations[v.operation]
	_, first := v.inFlight()
	switch {
	case v.badRequests >= maxBadRequests:
		return ReasonUnfit
	case first != nil && operation.effect == NonIdempotent:
		return ReasonUnproven
	case first != nil && operation.effect == Deduplicated && s.now >= first.sentAt+operation.dedupWindow:
		return ReasonWindow
	case len(v.attempts) >= s.maxAttempts:
		return ReasonAttempts
	case v.deadline-s.now <= minTimeLeft:
		return ReasonTimeout
	}
	return ReasonTooLate
}

// inFlight counts the attempts in flight. first is the first one that may have run; nil: none.
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

// retry queues an invocation again of which no answer is to be expected, or gives it up.
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

// giveUp gives a final answer without a result, unless an attempt is in flight: that may still be answered.
func (s *scheduler) giveUp(index int) {
	v := &s.invocations[index]
	s.reasons[v.id] = s.rejectionReason(v)
	count, first := v.inFlight()
	if count > 0 {
		s.dequeue(index)
		return
	}
	if s.retriableByClient(v, first) {
		s.emit(Throttle{Invocation: v.id, RetryAfter: s.drawRetryAfter()})
	} else {
		s.emit(Fail{Invocation: v.id})
	}
	s.complete(index, noAttempt)
}

// retriableByClient reports whether the client may safely ask again.
func (s *scheduler) retriableByClient(v *invocation, first *requestAttempt) bool {
	if v.badRequests >= maxBadRequests {
		return false
	}
	operation := &s.operations[v.operation]
	return first == nil || operation.effect == Idempotent ||
		operation.effect == Deduplicated && operation.scope == ScopeAll
}

// drawRetryAfter: the clients that many schedulers throttle at one moment must not all come back at one moment.
func (s *scheduler) drawRetryAfter() time.Duration {
	return s.retryAfter*3/5 + time.Duration(s.rng.Int63n(int64(s.retryAfter)*2/5+1))
}

// complete ends an invocation: no answer is owed any more. Attempts in flight are cancelled but for the one that is
// named, or but for none, or, where the client got a result, as if it were still to be answered.
func (s *scheduler) complete(index, spared int) {
	v := &s.invocations[index]
	if !v.answered {
		operation := &s.operations[v.operation]
		operation.served.add(s.servedShare(v, operation, spared))
	}
	s.dequeue(index)
	v.finished = true
	for number, attempt := range v.attempts {
		if attempt.inFlight && !v.answered && number != spared && s.cancels {
			s.emit(Cancel{Invocation: v.id, Attempt: number})
		}
		v.finished = v.finished && !attempt.inFlight
	}
	v.answered = true
	if v.finished {
		s.free(index)
	}
}

// servedShare is what the end of an invocation brought, as a part of its weight.
func (s *scheduler) servedShare(v *invocation, operation *operation, spared int) float64 {
	if spared != keepAttempts {
		return 0
	}
	if s.now-v.arrivedAt > operation.objective+seconds(operation.stretch*v.work) {
		return operation.lateWeight
	}
	return 1
}

// free gives the memory of an invocation back of which nothing more will be reported.
func (s *scheduler) free(index int) {
	s.freeInvocations = append(s.freeInvocations, index)
	s.dispatcher.send(invocationReleased{id: s.invocations[index].id})
}

// attemptEnded follows the end of an attempt.
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
	case BadRequest: // its own fault or the worker's: the next worker's result tells which
		attempt.badRequest = true
		v.badRequests++
	case Succeeded:
		s.blameRejecters(v)
		delete(s.rejections, key)
		s.learnRun(v, attempt.worker, message.runTime)
	case Rejected, Unreachable:
		s.backOff(key)
	}
	switch {
	case v.answered || outcome.Answered || outcome.Result == Succeeded:
		s.complete(message.invocation, keepAttempts)
	case s.now < v.deadline && outcome.Result != NotSent:
		s.retry(message.invocation)
	default:
		s.giveUp(message.invocation)
	}
}

// blameRejecters notifies the workers that would not have an invocation that another one ran it.
func (s *scheduler) blameRejecters(v *invocation) {
	for _, attempt := range v.attempts {
		if attempt.badRequest {
			s.dispatcher.records[attempt.worker].worker.send(rejectedValidRequest{})
		}
	}
}

// backOff keeps what a worker has rejected from it for a while. One that rejects a tenant's work while its health checks
// show capacity would draw the tenant's first invocation for ever.
func (s *scheduler) backOff(key rejectionKey) {
	span := min(max(2*s.rejections[key].span, minTenantBackoff), maxTenantBackoff)
	s.rejections[key] = backoff{until: s.now + span, span: span}
}

// learnRun learns from an attempt that succeeded after a running time in seconds.
func (s *scheduler) learnRun(v *invocation, worker int, runTime float64) {
	operation := &s.operations[v.operation]
	operation.runTimes.add(runTime)
	operation.costRatios.add(runTime / v.work)
	s.runTimes.add(runTime)
	view := s.currentView(worker)
	operation.hintErrors.add(runTime / (v.work * view.pace))
	if view.warmUpWeight == 1 {
		s.learnKindPace(view.kind, runTime/v.work)
	}
}
