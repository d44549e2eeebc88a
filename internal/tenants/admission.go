package tenants

import (
	"math"
	"time"
)

// RejectionKind is the reason why an invocation was rejected; NotRejected if it was admitted.
type RejectionKind string

// The kinds of rejection. Answers to clients and usage counters use these strings.
const (
	NotRejected           RejectionKind = ""
	Unauthenticated       RejectionKind = "unauthenticated"
	RejectedBySuspension  RejectionKind = "suspended"
	RejectedBySize        RejectionKind = "request_size"
	RejectedByRate        RejectionKind = "rate"
	RejectedByConcurrency RejectionKind = "concurrency"
	RejectedByHeldWork    RejectionKind = "held_work"
	RejectedByRetries     RejectionKind = "retry_budget"
	RejectedByShare       RejectionKind = "share"
)

// RejectionKinds are the kinds that Usage counts.
var RejectionKinds = []RejectionKind{RejectedBySuspension, RejectedBySize, RejectedByRate, RejectedByConcurrency,
	RejectedByHeldWork, RejectedByRetries, RejectedByShare}

const (
	// minRetryAfter and maxRetryAfter bound the advised delay before a retry, after jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// defaultRetryAfter is the advised delay, before jitter, while no invocation has completed.
	defaultRetryAfter = 4 * minRetryAfter
	// retryBudgetRetryAfter is the advised delay, before jitter, if the retry budget is spent. Only
	// first attempts earn more budget, so without any the client can only wait until the retry
	// storm is over.
	retryBudgetRetryAfter = maxRetryAfter / 2
	// The advised delay is multiplied by a random factor between retryAfterJitterBase and
	// retryAfterJitterBase + retryAfterJitterSpread, so that clients that were rejected at the same
	// moment do not retry at the same moment.
	retryAfterJitterBase   = 0.75
	retryAfterJitterSpread = 0.75
)

// Decision says whether a Request is admitted. RetryAfter is the delay after which a retry may
// succeed; 0 if a retry can't succeed.
type Decision struct {
	Kind       RejectionKind
	RetryAfter time.Duration
}

// Request holds the properties of an invocation that decide whether it is admitted.
type Request struct {
	Bytes int     // size of its body
	Work  float64 // its hinted cost, in seconds on a standard core; 0 if no hint was given
	Retry bool
}

// Identify returns the account that a credential belongs to. It is nil if the credential's id is
// unknown, the secret does not match or the credential has expired. An unknown id takes as much time
// as a known one, so that timing doesn't reveal which ids exist.
func (c *Controller) Identify(id, secret string, now time.Time) *Account {
	entry, known := c.credentials[id]
	verified := entry.credential.Verify(secret, now)
	if !known || !verified {
		return nil
	}
	return entry.account
}

// Admit decides whether an invocation is admitted. Each admitted invocation must later be passed to
// Completed.
func (c *Controller) Admit(now time.Duration, a *Account, r Request) Decision {
	c.accountVisits++
	decision := c.evaluate(now, a, r)
	if decision.Kind != NotRejected {
		a.usage.Throttled[decision.Kind]++
		if decision.RetryAfter > 0 {
			decision.RetryAfter = c.jitter(decision.RetryAfter)
		}
		return decision
	}
	a.tokens--
	a.chargeRetryBudget(r.Retry)
	c.countAdmitted(a, r)
	return decision
}

// evaluate checks the tenant's own limits, and then whether its share of the capacity permits one
// more invocation.
func (c *Controller) evaluate(now time.Duration, a *Account, r Request) Decision {
	if now >= c.allocatedAt+allocationInterval {
		c.allocate(now)
	}
	if a.removed || a.state != Active {
		return Decision{Kind: RejectedBySuspension}
	}
	limits := &a.limits
	if limits.RequestBytes != nil && r.Bytes > *limits.RequestBytes {
		return Decision{Kind: RejectedBySize}
	}
	if r.Retry && a.retryBudgetSpent() {
		return Decision{Kind: RejectedByRetries, RetryAfter: retryBudgetRetryAfter}
	}
	c.refill(now, a)
	if limits.RatePerSecond != nil && a.tokens < 1 {
		return Decision{Kind: RejectedByRate, RetryAfter: c.nextToken(a)}
	}
	if limits.Concurrency != nil && float64(a.inFlight) >= c.concurrencyHere(*limits.Concurrency) {
		return Decision{Kind: RejectedByConcurrency, RetryAfter: a.typicalDuration()}
	}
	if limits.HeldWorkSeconds != nil && a.inFlight > 0 && a.heldWork+r.Work > *limits.HeldWorkSeconds/c.schedulers {
		return Decision{Kind: RejectedByHeldWork, RetryAfter: a.typicalDuration()}
	}
	// The tenant becomes active only now: invocations that its own limits reject must not make the
	// shares of other tenants smaller.
	c.activate(now, a)
	if !c.hasCapacity(a) {
		a.shareRejections++
		return Decision{Kind: RejectedByShare, RetryAfter: a.typicalDuration()}
	}
	return Decision{}
}

// concurrencyHere returns this scheduler's part of a limit on invocations in flight, rounded up. It
// is at least 1, so that the tenant can use every scheduler.
func (c *Controller) concurrencyHere(limit int) float64 {
	return max(1, math.Ceil(float64(limit)/c.schedulers))
}

// jitter randomizes the advised delay before a retry and bounds it by minRetryAfter and
// maxRetryAfter.
func (c *Controller) jitter(retryAfter time.Duration) time.Duration {
	factor := retryAfterJitterBase + retryAfterJitterSpread*c.random.Float64()
	jittered := time.Duration(float64(retryAfter) * factor)
	return min(max(jittered, minRetryAfter), maxRetryAfter)
}

// AdmitMigrated counts an invocation that has migrated here. It is not checked against any limit,
// because another process has already admitted it.
func (c *Controller) AdmitMigrated(now time.Duration, a *Account, r Request) {
	c.activate(now, a)
	c.countAdmitted(a, r)
}

// MigrationReturned undoes Completed with Migrated for an invocation whose migration failed: it is in
// flight here again.
func (c *Controller) MigrationReturned(now time.Duration, a *Account, r Request) {
	c.AdmitMigrated(now, a, r)
	a.usage.Admitted--
	a.usage.Bytes -= int64(r.Bytes)
	a.usage.Completed[Migrated]--
}

// countAdmitted counts an invocation as admitted and in flight.
func (c *Controller) countAdmitted(a *Account, r Request) {
	c.inFlight++
	a.inFlight++
	a.heldWork += r.Work
	a.peakInFlight = max(a.peakInFlight, a.inFlight)
	a.usage.Admitted++
	a.usage.Bytes += int64(r.Bytes)
}

// Completed counts the end of an admitted invocation. took is the time since its admission.
func (c *Controller) Completed(now time.Duration, a *Account, r Request, took time.Duration, disposition Disposition) {
	c.accountVisits++
	c.inFlight--
	a.inFlight--
	a.lastActiveAt = now
	a.heldWork -= r.Work
	if a.inFlight == 0 {
		a.heldWork = 0 // removes the rounding error of the sum
	}
	a.usage.Completed[disposition]++
	a.durations = appendSample(a.durations, took)
	c.releaseRemoved(a)
}

// AttemptEnded records how long an attempt was at its worker. A tenant's use is measured by this time
// and not by its hints: clients may give any hint, and the tenant with the lowest hints would get
// the most work done.
func (c *Controller) AttemptEnded(now time.Duration, a *Account, operation string, hint float64, took time.Duration) {
	a.recordAttempt(now, operation, hint, took)
}
