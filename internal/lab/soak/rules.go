package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	socketSlack       = 50 * time.Millisecond  // tolerance that the rules grant for socket operations
	maxToleratedPause = 150 * time.Millisecond // a scheduler that is paused for longer can't meet its deadlines
	disconnectSlack   = 100 * time.Millisecond // an attempt may start this long after its client has disconnected
	budgetSlack       = 150 * time.Millisecond // tolerance for the budget that is sent with an attempt
	// observationSlack is how late this process may observe an event, as it shares the machine with
	// all schedulers.
	observationSlack = 150 * time.Millisecond
	// clientGiveUpDelay is how long after its deadline a client gives up waiting for an answer.
	clientGiveUpDelay = 500*time.Millisecond + observationSlack
)

// check checks the observations against the rules, and adds counts and violations to the report.
func (o *observations) check(h *harness, report *Report) {
	for _, s := range h.schedulers {
		report.Violations = append(report.Violations, s.processViolations()...)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, req := range o.order {
		report.Attempts += len(req.attempts)
		if !req.disconnectedAt.IsZero() {
			report.Disconnects++
		}
		o.checkAnswer(req)
		for n, a := range req.attempts {
			o.checkClientWaits(a)
			o.checkBudget(a)
			o.checkRetry(req, n)
			o.checkDrain(h, a)
		}
	}
	for _, w := range h.workers {
		o.checkSlowStart(w)
	}
	report.Violations = append(report.Violations, o.violations...)
}

// addRequestViolation records that a rule was violated at a request. The lock must be held.
func (o *observations) addRequestViolation(rule string, req *request, format string, args ...any) {
	o.violations = append(o.violations, Violation{
		Rule:    rule,
		Subject: fmt.Sprintf("%s at %s", req.id, req.scheduler.name()),
		Detail:  fmt.Sprintf(format, args...),
	})
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// checkAnswer checks that a request got a final answer in time, that a result is the worker's, and
// that the request was rejected only if a retry is harmless.
func (o *observations) checkAnswer(req *request) {
	if !req.disconnectedAt.IsZero() || req.sentAt.IsZero() {
		return
	}
	if req.failure != "" {
		o.checkUnanswered(req)
		return
	}
	took := req.answeredAt.Sub(req.sentAt)
	switch {
	case req.status == http.StatusOK && req.body != resultOf(req.id):
		o.addRequestViolation("A4 result", req, "got %q", req.body)
	case req.status == http.StatusConflict || req.status == http.StatusBadRequest || req.status == http.StatusNotFound:
		o.addRequestViolation("A2 read", req, "answered %d", req.status)
	case took > req.budget+socketSlack+observationSlack+req.frozenFor():
		o.addRequestViolation("A1 late", req, "answered %d after %v, budget %v", req.status, roundToMillis(took), req.budget)
	case req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests:
		o.checkRejection(req)
	}
}

// checkUnanswered checks that the scheduler of an unanswered request was killed or frozen.
func (o *observations) checkUnanswered(req *request) {
	if req.frozenFor() > maxToleratedPause || req.scheduler.wasKilled(req.sentAt, req.answeredAt) {
		return
	}
	took := req.answeredAt.Sub(req.sentAt)
	o.addRequestViolation("A1 answer", req, "%s after %v, budget %v, %d attempts", req.failure, roundToMillis(took), req.budget, len(req.attempts))
}

// frozenFor returns how long the scheduler was frozen while it had the request.
func (req *request) frozenFor() time.Duration {
	return req.scheduler.frozenFor(req.sentAt.Add(-observationSlack), req.answeredAt)
}

// checkRejection checks that a rejected request may run again anywhere, or that none of its attempts
// may have run.
func (o *observations) checkRejection(req *request) {
	if req.class.effect == effectReadLike || req.class.dedupScope == scopeAll {
		return
	}
	for _, a := range req.attempts {
		if a.provedNotRunAt.IsZero() {
			o.addRequestViolation("A5 refusal", req, "rejected, though %s may have run it", a.worker.uid)
		}
	}
}

// checkClientWaits checks that an attempt didn't start after its client had disconnected or had its
// answer.
func (o *observations) checkClientWaits(a *attempt) {
	req := a.request
	const slack = disconnectSlack + observationSlack
	late := a.receivedAt.Sub(req.disconnectedAt)
	if !req.disconnectedAt.IsZero() && late > slack {
		o.addRequestViolation("A3 left", req, "sent to %s %v after its client had disconnected", a.worker.uid, roundToMillis(late))
	}
	late = a.receivedAt.Sub(req.answeredAt)
	if !req.answeredAt.IsZero() && req.failure == "" && late > slack {
		o.addRequestViolation("A3 answered", req, "sent to %s %v after its answer", a.worker.uid, roundToMillis(late))
	}
}

// checkBudget checks that the budget sent with an attempt is at most what is left of the client's.
func (o *observations) checkBudget(a *attempt) {
	req := a.request
	if req.sentAt.IsZero() {
		return
	}
	left := req.sentAt.Add(req.budget).Sub(a.receivedAt)
	if a.budget > left+budgetSlack+observationSlack+req.scheduler.frozenFor(req.sentAt, a.receivedAt) {
		o.addRequestViolation("E1 deadline", req, "%s was sent %v, but only %v was left", a.worker.uid, roundToMillis(a.budget), roundToMillis(left))
	}
}

// checkRetry checks that the effect class and the deduplication window and scope of the request allow
// its n-th attempt, and that no earlier attempt is in flight at the same worker.
func (o *observations) checkRetry(req *request, n int) {
	a := req.attempts[n]
	var first *attempt // the first that may have run
	for _, earlier := range req.attempts[:n] {
		if first == nil && earlier.mayHaveRunAt(a.receivedAt) {
			first = earlier
		}
		if earlier.worker == a.worker && earlier.isInFlight(a.receivedAt.Add(observationSlack)) {
			after := a.receivedAt.Sub(earlier.receivedAt)
			o.addRequestViolation("B3 one worker", req, "sent to %s again after %v, with an attempt in flight there", a.worker.uid, roundToMillis(after))
		}
	}
	if first != nil {
		o.checkRetryAfter(first, a)
	}
}

// mayHaveRunAt reports whether, at a given time, nothing had proved that the attempt had not run.
func (a *attempt) mayHaveRunAt(at time.Time) bool {
	return a.provedNotRunAt.IsZero() || a.provedNotRunAt.After(at)
}

func (a *attempt) isInFlight(at time.Time) bool {
	return a.endedAt.IsZero() || a.endedAt.After(at)
}

// checkRetryAfter checks that attempt a is allowed after first, the first attempt of the same request
// that may have run.
func (o *observations) checkRetryAfter(first, a *attempt) {
	req := a.request
	after := a.receivedAt.Sub(first.receivedAt)
	switch req.class.effect {
	case effectNonIdempotent:
		o.addRequestViolation("B1 once", req, "sent to %s %v after %s may have run it", a.worker.uid, roundToMillis(after), first.worker.uid)
	case effectKeyed:
		if first.worker.zone != a.worker.zone {
			o.addRequestViolation("B2 group", req, "sent to %s, outside the zone of %s", a.worker.uid, first.worker.uid)
		}
		if after > dedupWindow+socketSlack {
			o.addRequestViolation("B2 window", req, "sent to %s %v after %s", a.worker.uid, roundToMillis(after), first.worker.uid)
		}
	}
}
