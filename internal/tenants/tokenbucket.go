package tenants

import "time"

// bucketSize returns how many tokens a tenant's bucket holds at this scheduler.
func (c *Controller) bucketSize(a *Account) float64 {
	limits := a.limits
	switch {
	case limits.RatePerS == nil:
		return 1
	case limits.Burst == nil:
		return max(1, *limits.RatePerS/c.schedulers)
	default:
		return max(1, *limits.Burst/c.schedulers)
	}
}

// refill adds the tokens that have come in since the last refill.
func (c *Controller) refill(now time.Duration, a *Account) {
	if a.limits.RatePerS == nil {
		a.tokens = 1
	} else {
		earned := (now - a.tokensRefilledAt).Seconds() * *a.limits.RatePerS / c.schedulers
		a.tokens = min(c.bucketSize(a), a.tokens+earned)
	}
	a.tokensRefilledAt = now
}

// nextToken returns how long it takes until the bucket holds a whole token.
func (c *Controller) nextToken(a *Account) time.Duration {
	return time.Duration((1 - a.tokens) * c.schedulers / *a.limits.RatePerS * float64(time.Second))
}
