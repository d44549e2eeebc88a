package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	socketSlack     = 50 * time.Millisecond  // that the rules grant on sockets
	pauseTolerated  = 150 * time.Millisecond // a scheduler that pauses for longer can't keep to its deadlines
	disconnectSlack = 100 * time.Millisecond // an attempt may begin so long after its client has disconnected
	budgetSlack     = 150 * time.Millisecond // of the deadline that an attempt is sent
	// observationSlack is how late this process may see things, as it shares the machine with all
	// schedulers.
	observationSlack = 150 * time.Millisecond
	// unansweredAfter is the time after a client's deadline at which it gives up.
	unansweredAfter = 500*time.Millisecond + observationSlack
)

// check checks what was seen against the rules, and reports it.
func (o *observations) check(h *harness, report *Report) {
	for _, s := range h.schedulers {
		report.Violations = append(report.Violations, s.processViolations()...)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, q := range o.order {
		report.Attempts += len(q.attempts)
		if !q.disconnectedAt.IsZero() {
			report.Disconnects++
		}
		o.checkAnswer(q)
		for n, a := range q.attempts {
			o.checkClientWaits(a)
			o.checkBudget(a)
			o.checkRetry(q, n)
			o.checkDrain(h, a)
		}
	}
	for _, w := range h.workers {
		o.checkSlowStart(w)
	}
	report.Violations = append(report.Violations, o.violations...)
}

// requestViolation adds a violation at a request; the lock is held.
func (o *observations) requestViolation(rule string, q *request, format string, args ...any) {
	o.violations = append(o.violations, Violation{
		Rule:    rule,
		Request: fmt.Sprintf("%s at %s", q.id, q.scheduler.name()),
		Detail:  fmt.Sprintf(format, args...),
	})
}

func toMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// checkAnswer: a request gets one final answer in time, that of a worker, and is rejected only
// where a retry is harmless.
func (o *observations) checkAnswer(q *request) {
	if !q.disconnectedAt.IsZero() || q.sentAt.IsZero() {
		return
	}
	if q.failure != "" {
		o.checkUnanswered(q)
		return
	}
	took := q.answeredAt.Sub(q.sentAt)
	switch {
	case q.status == http.StatusOK && q.body != resultOf(q.id):
		o.requestViolation("A4 result", q, "got %q", q.body)
	case q.status == http.StatusConflict || q.status == http.StatusBadRequest || q.status == http.StatusNotFound:
		o.requestViolation("A2 read", q, "answered %d", q.status)
	case took > q.budget+socketSlack+observationSlack+q.frozenFor():
		o.requestViolation("A1 late", q, "answered %d after %v of %v", q.status, toMillis(took), q.budget)
	case q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests:
		o.checkRejection(q)
	}
}

// checkUnanswered: only a scheduler that was killed or frozen may fail to answer.
func (o *observations) checkUnanswered(q *request) {
	if q.frozenFor() > pauseTolerated || q.scheduler.wasKilled(q.sentAt, q.answeredAt) {
		return
	}
	took := q.answeredAt.Sub(q.sentAt)
	o.requestViolation("A1 answer", q, "%s after %v of %v, %d attempts", q.failure, toMillis(took), q.budget, len(q.attempts))
}

// frozenFor is how long the scheduler was frozen while it had the request.
func (q *request) frozenFor() time.Duration {
	return q.scheduler.frozenFor(q.sentAt.Add(-observationSlack), q.answeredAt)
}

// checkRejection: a request is rejected only where none of its attempts may have run, or where it
// may run again anywhere.
func (o *observations) checkRejection(q *request) {
	if q.class.effect == effectReadLike || q.class.dedupScope == scopeAll {
		return
	}
	for _, a := range q.attempts {
		if a.provedNotRunAt.IsZero() {
			o.requestViolation("A5 refusal", q, "refused, and %s may have run it", a.worker.uid)
		}
	}
}

// checkClientWaits: no attempt begins after the client has disconnected or has its answer.
func (o *observations) checkClientWaits(a *attempt) {
	q := a.request
	const slack = disconnectSlack + observationSlack
	late := a.receivedAt.Sub(q.disconnectedAt)
	if !q.disconnectedAt.IsZero() && late > slack {
		o.requestViolation("A3 left", q, "sent to %s %v after its client had left", a.worker.uid, toMillis(late))
	}
	late = a.receivedAt.Sub(q.answeredAt)
	if !q.answeredAt.IsZero() && q.failure == "" && late > slack {
		o.requestViolation("A3 answered", q, "sent to %s %v after its answer", a.worker.uid, toMillis(late))
	}
}

// checkBudget: an attempt is sent what is left of the client's budget at most.
func (o *observations) checkBudget(a *attempt) {
	q := a.request
	if q.sentAt.IsZero() {
		return
	}
	left := q.sentAt.Add(q.budget).Sub(a.receivedAt)
	if a.budget > left+budgetSlack+observationSlack+q.scheduler.frozenFor(q.sentAt, a.receivedAt) {
		o.requestViolation("E1 deadline", q, "%s was sent %v and %v was left", a.worker.uid, toMillis(a.budget), toMillis(left))
	}
}

// checkRetry: the n-th attempt keeps to what the effect class, the deduplication window and scope,
// and the limit on copies allow.
func (o *observations) checkRetry(q *request, n int) {
	a := q.attempts[n]
	var first *attempt // that may have run
	for _, before := range q.attempts[:n] {
		if first == nil && before.mayHaveRunAt(a.receivedAt) {
			first = before
		}
		if before.worker == a.worker && before.isInFlight(a.receivedAt.Add(observationSlack)) {
			after := a.receivedAt.Sub(before.receivedAt)
			o.requestViolation("B3 one worker", q, "sent to %s again %v later, with the first one out", a.worker.uid, toMillis(after))
		}
	}
	if first != nil {
		o.checkRetryAfter(first, a)
	}
}

// mayHaveRunAt says whether it was not known at a moment that the attempt has not run.
func (a *attempt) mayHaveRunAt(at time.Time) bool {
	return a.provedNotRunAt.IsZero() || a.provedNotRunAt.After(at)
}

func (a *attempt) isInFlight(at time.Time) bool {
	return a.endedAt.IsZero() || a.endedAt.After(at)
}

// checkRetryAfter: attempt a of the same request is allowed after the first that may have run.
func (o *observations) checkRetryAfter(first, a *attempt) {
	q := a.request
	after := a.receivedAt.Sub(first.receivedAt)
	switch q.class.effect {
	case effectNonIdempotent:
		o.requestViolation("B1 once", q, "sent to %s %v after %s may have run it", a.worker.uid, toMillis(after), first.worker.uid)
	case effectKeyed:
		if first.worker.zone != a.worker.zone {
			o.requestViolation("B2 group", q, "sent to %s, outside the zone of %s", a.worker.uid, first.worker.uid)
		}
		if after > dedupWindow+socketSlack {
			o.requestViolation("B2 window", q, "sent to %s %v after %s", a.worker.uid, toMillis(after), first.worker.uid)
		}
	}
}
