package tenants

import "time"

// bucketSize returns how many tokens a tenant's bucket can hold at this scheduler. It is at least 1,
// as otherwise nothing could be admitted.
func (c *Controller) bucketSize(a *Account) float64 {
	limits := a.limits
	switch {
	case limits.RatePerSecond == nil:
		return 1
	case limits.Burst == nil:
		return max(1, *limits.RatePerSecond/c.schedulers)
	default:
		return max(1, *limits.Burst/c.schedulers)
	}
}

// refill adds the tokens that have accrued since the last refill, up to the size of the bucket.
func (c *Controller) refill(now time.Duration, a *Account) {
	if a.limits.RatePerSecond == nil {
		a.tokens = 1
	} else {
		earned := (now - a.tokensRefilledAt).Seconds() * *a.limits.RatePerSecond / c.schedulers
		a.tokens = min(c.bucketSize(a), a.tokens+earned)
	}
	a.tokensRefilledAt = now
}

// nextToken returns the time until the bucket of a tenant with a rate limit holds a whole token.
func (c *Controller) nextToken(a *Account) time.Duration {
	return time.Duration((1 - a.tokens) * c.schedulers / *a.limits.RatePerSecond * float64(time.Second))
}
