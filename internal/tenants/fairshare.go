package tenants

import (
	"math"
	"slices"
	"time"
)

const (
	// allocationInterval is the age at which allotments are computed anew before the next admission.
	allocationInterval = 100 * time.Millisecond
	// idleTimeout is how long a tenant with nothing in flight still counts as active.
	idleTimeout = time.Second
	// uncontendedFraction is the fraction of the capacity below which shares are not enforced: while
	// fewer invocations are in flight, capacity is not scarce.
	uncontendedFraction = 0.5
	// overShareMargin is the hysteresis of Account.overShare, as a fraction of the tenant's share,
	// so that noise in the measured rate does not make it flap.
	overShareMargin = 0.1
	// minRateWindowSeconds is the shortest time over which a work rate is averaged.
	minRateWindowSeconds = 0.1
	// overShareQuotaPerSecond is the quota of a tenant over its share, in seconds per second. It is
	// so small that all of the tenant's work exceeds it.
	overShareQuotaPerSecond = 1e-9
)

// Quota is the worker time that a tenant may use per second, in seconds, before its work is queued
// behind that of other tenants. Index is the tenant's Account.Index. Reassigned is set if the index
// has been given to a new tenant: what the dispatcher has measured for the index no longer applies.
type Quota struct {
	Index          int
	QuotaPerSecond float64
	Reassigned     bool
}

// activate adds a tenant to the active ones, among which the capacity is divided.
func (c *Controller) activate(now time.Duration, a *Account) {
	a.lastActiveAt = now
	if a.isActive() {
		return
	}
	c.active = append(c.active, a)
	c.SharesChanged = true
	a.activePosition = len(c.active)
	c.activeWeight += a.weight
	a.allotment = c.weightShare(a)
}

// deactivate removes a tenant from the active ones.
func (c *Controller) deactivate(a *Account) {
	if !a.isActive() {
		return
	}
	last := c.active[len(c.active)-1]
	c.active[a.activePosition-1] = last
	last.activePosition = a.activePosition
	c.active = c.active[:len(c.active)-1]
	a.activePosition = 0
	c.activeWeight -= a.weight
	if len(c.active) == 0 {
		c.activeWeight = 0 // removes the rounding error of the sum
	}
}

// weightShare returns a tenant's part of the capacity, in invocations in flight, if the capacity is
// divided among the active tenants by weight alone.
func (c *Controller) weightShare(a *Account) float64 {
	return c.capacity * a.weight / max(c.activeWeight, a.weight)
}

// allocate deactivates idle tenants and divides the capacity among the active ones.
func (c *Controller) allocate(now time.Duration) {
	c.allocatedAt = now
	for _, a := range slices.Clone(c.active) {
		c.accountVisits++
		if a.inFlight == 0 && now >= a.lastActiveAt+idleTimeout {
			c.deactivate(a)
		}
	}
	claims := make([]Claim, len(c.active))
	for i, a := range c.active {
		claims[i] = Claim{Weight: a.weight, Demand: float64(a.peakInFlight + a.shareRejections)}
		a.peakInFlight = a.inFlight
		a.shareRejections = 0
	}
	for i, share := range MaxMin(c.capacity, claims) {
		a := c.active[i]
		a.allotment = max(share, c.weightShare(a))
	}
}

// hasCapacity reports whether one more invocation of an active tenant may be admitted. A tenant can
// use its share by weight at once, even if other tenants use the whole capacity at that moment: they
// give it back as their invocations complete and no more of them are admitted.
func (c *Controller) hasCapacity(a *Account) bool {
	inFlight := float64(a.inFlight)
	total := float64(c.inFlight)
	return inFlight < c.weightShare(a) ||
		total < uncontendedFraction*c.capacity ||
		total < c.capacity && inFlight < a.allotment
}

// Quotas returns the quotas that have changed since the last call. While workers can't serve
// everything, the work of a tenant that uses more than its share by weight is queued behind the work
// of all tenants that do not. This holds however small its invocations are: if they were ranked by
// size alone, a flood of small invocations would make all others wait. The tenant can still use what
// the others leave.
func (c *Controller) Quotas(now time.Duration) []Quota {
	changed := c.pendingQuotas
	c.pendingQuotas = nil
	c.SharesChanged = false
	totalRate := 0.0
	for _, a := range c.active {
		c.accountVisits++
		a.workRate = a.measureWorkRate(now)
		totalRate += a.workRate
	}
	for _, a := range c.active {
		a.workShare = totalRate * a.weight / c.activeWeight
		overShare := len(c.active) > 1 && a.workRate > a.overShareThreshold()
		if overShare != a.overShare {
			a.overShare = overShare
			changed = append(changed, Quota{Index: a.Index, QuotaPerSecond: a.quotaPerSecond()})
		}
	}
	return changed
}

// Republish makes the next call of Quotas return the quotas of all tenants, for a dispatcher that was
// restarted.
func (c *Controller) Republish() {
	c.pendingQuotas = nil
	for _, a := range c.accounts {
		if a != nil {
			quota := Quota{Index: a.Index, QuotaPerSecond: a.quotaPerSecond(), Reassigned: true}
			c.pendingQuotas = append(c.pendingQuotas, quota)
		}
	}
}

// overShareThreshold returns the work rate, in seconds per second, above which a tenant counts as over
// its share. The threshold is lower for a tenant that is over its share already.
func (a *Account) overShareThreshold() float64 {
	if a.overShare {
		return a.workShare * (1 - overShareMargin)
	}
	return a.workShare * (1 + overShareMargin)
}

func (a *Account) quotaPerSecond() float64 {
	if a.overShare {
		return overShareQuotaPerSecond
	}
	return math.Inf(1)
}

// measureWorkRate returns the worker time that a tenant's latest attempts have used, in seconds per
// second.
func (a *Account) measureWorkRate(now time.Duration) float64 {
	if len(a.attemptsEndedAt) == 0 {
		return 0
	}
	sum := 0.0
	for _, seconds := range a.attemptSeconds {
		sum += seconds
	}
	return sum / max(minRateWindowSeconds, (now-a.attemptsEndedAt[0]).Seconds())
}
