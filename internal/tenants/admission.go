package tenants

import (
	"math"
	"time"
)

// RejectionKind is the limit that an invocation was rejected by; None if it was admitted.
type RejectionKind string

// The kinds of rejection, as clients and counters spell them.
const (
	None            RejectionKind = ""
	Unauthenticated RejectionKind = "unauthenticated"
	TenantSuspended RejectionKind = "suspended"
	Size            RejectionKind = "request_size"
	Rate            RejectionKind = "rate"
	Concurrency     RejectionKind = "concurrency"
	HeldWork        RejectionKind = "held_work"
	Retries         RejectionKind = "retry_budget"
	Share           RejectionKind = "share"
)

// RejectionKinds are the kinds that Usage counts.
var RejectionKinds = []RejectionKind{TenantSuspended, Size, Rate, Concurrency, HeldWork, Retries, Share}

const (
	// minRetryAfter and maxRetryAfter bound the advice of when to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// defaultRetryAfter is the advice, before jitter, while no invocation has completed.
	defaultRetryAfter = 4 * minRetryAfter
	// retryBudgetRetryAfter is the advice, before jitter, where the retry budget is spent: first
	// attempts earn it, and without any there is nothing to wait for but the storm's end.
	retryBudgetRetryAfter = maxRetryAfter / 2
	// retryAfterJitterBase and retryAfterJitterSpread give the range of the random factor that
	// advice is multiplied by: clients rejected at once must not retry at once.
	retryAfterJitterBase   = 0.75
	retryAfterJitterSpread = 0.75
)

// Decision is the answer to a Request. RetryAfter is when a retry may succeed; 0: it is of no use.
type Decision struct {
	Kind       RejectionKind
	RetryAfter time.Duration
}

// Request is what an invocation asks to be admitted with.
type Request struct {
	Bytes int     // of its body
	Work  float64 // its hinted cost, in seconds on a standard core; 0: none was given
	Retry bool
}

// Identify returns the account that a credential belongs to; nil if the credential is unknown, does
// not match or has expired. An unknown id takes as much time as a known one.
func (c *Controller) Identify(id, secret string, now time.Time) *Account {
	held, known := c.credentials[id]
	verified := held.credential.Verify(secret, now)
	if !known || !verified {
		return nil
	}
	return held.account
}

// Admit decides whether an invocation is admitted. One that is must be passed to Completed.
func (c *Controller) Admit(now time.Duration, a *Account, r Request) Decision {
	c.accountVisits++
	decision := c.evaluate(now, a, r)
	if decision.Kind != None {
		a.usage.Throttled[decision.Kind]++
		if decision.RetryAfter > 0 {
			decision.RetryAfter = c.jitter(decision.RetryAfter)
		}
		return decision
	}
	a.tokens--
	a.chargeRetryBudget(r.Retry)
	c.begin(a, r)
	return decision
}

// evaluate checks the tenant's own limits and then its share of the capacity.
func (c *Controller) evaluate(now time.Duration, a *Account, r Request) Decision {
	if now >= c.allocatedAt+allocationInterval {
		c.allocate(now)
	}
	if a.removed || a.state != Active {
		return Decision{Kind: TenantSuspended}
	}
	limits := &a.limits
	if limits.RequestBytes != nil && r.Bytes > *limits.RequestBytes {
		return Decision{Kind: Size}
	}
	if r.Retry && a.retryBudgetSpent() {
		return Decision{Kind: Retries, RetryAfter: retryBudgetRetryAfter}
	}
	c.refill(now, a)
	if limits.RatePerS != nil && a.tokens < 1 {
		return Decision{Kind: Rate, RetryAfter: c.nextToken(a)}
	}
	if limits.Concurrency != nil && float64(a.inFlight) >= c.concurrencyHere(*limits.Concurrency) {
		return Decision{Kind: Concurrency, RetryAfter: a.typicalDuration()}
	}
	if limits.HeldWorkS != nil && a.inFlight > 0 && a.heldWork+r.Work > *limits.HeldWorkS/c.schedulers {
		return Decision{Kind: HeldWork, RetryAfter: a.typicalDuration()}
	}
	// Only now is it active: what its own limits reject must not make others' shares smaller.
	c.activate(now, a)
	if !c.hasCapacity(a) {
		a.shareRejections++
		return Decision{Kind: Share, RetryAfter: a.typicalDuration()}
	}
	return Decision{}
}

// concurrencyHere returns this scheduler's part of a limit of invocations in flight.
func (c *Controller) concurrencyHere(limit int) float64 {
	return max(1, math.Ceil(float64(limit)/c.schedulers))
}

// jitter spreads and bounds the advice of when to retry.
func (c *Controller) jitter(retryAfter time.Duration) time.Duration {
	factor := retryAfterJitterBase + retryAfterJitterSpread*c.random.Float64()
	spread := time.Duration(float64(retryAfter) * factor)
	return min(max(spread, minRetryAfter), maxRetryAfter)
}

// AdmitMigrated admits an invocation that another process had admitted, without a decision.
func (c *Controller) AdmitMigrated(now time.Duration, a *Account, r Request) {
	c.activate(now, a)
	c.begin(a, r)
}

// MigrationReturned takes back an invocation that had been completed as Migrated.
func (c *Controller) MigrationReturned(now time.Duration, a *Account, r Request) {
	c.AdmitMigrated(now, a, r)
	a.usage.Admitted--
	a.usage.Bytes -= int64(r.Bytes)
	a.usage.Completed[Migrated]--
}

// begin counts an invocation as in flight.
func (c *Controller) begin(a *Account, r Request) {
	c.inFlight++
	a.inFlight++
	a.heldWork += r.Work
	a.peakInFlight = max(a.peakInFlight, a.inFlight)
	a.usage.Admitted++
	a.usage.Bytes += int64(r.Bytes)
}

// Completed ends an admitted invocation that took some time since its admission.
func (c *Controller) Completed(now time.Duration, a *Account, r Request, took time.Duration, disposition Disposition) {
	c.accountVisits++
	c.inFlight--
	a.inFlight--
	a.lastActiveAt = now
	a.heldWork -= r.Work
	if a.inFlight == 0 {
		a.heldWork = 0 // sums of fractions leave a rest
	}
	a.usage.Completed[disposition]++
	a.durations = appendSample(a.durations, took)
	c.releaseRemoved(a)
}

// AttemptEnded counts an attempt by how long it was at its worker. Hints alone do not count: a
// client may give any, and who hinted little would get the most.
func (c *Controller) AttemptEnded(now time.Duration, a *Account, operation string, hint float64, took time.Duration) {
	a.recordAttempt(now, operation, hint, took)
}
