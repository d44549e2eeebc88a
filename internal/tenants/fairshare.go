package tenants

import (
	"math"
	"slices"
	"time"
)

const (
	// allocationInterval is how old the allotments may be that admission goes by.
	allocationInterval = 100 * time.Millisecond
	// idleAfter is how long a tenant with nothing in flight counts as active.
	idleAfter = time.Second
	// uncontendedPart is the part of the capacity that is not divided: while less is in flight,
	// nothing is scarce.
	uncontendedPart = 0.5
	// overShareMargin is how far from its share, as a part of it, a tenant must be for a new
	// quota: it must not flap on noise.
	overShareMargin = 0.1
	// minRateWindowS is the shortest span, in seconds, over which work is averaged.
	minRateWindowS = 0.1
	// overShareQuota is the quota, in seconds a second, that all work is beyond.
	overShareQuota = 1e-9
)

// Quota is the worker time that a tenant may use a second before its work is queued behind that of
// others. Reassigned is set where the index has a new tenant, of which nothing is known yet.
type Quota struct {
	Index          int
	QuotaPerSecond float64
	Reassigned     bool
}

// activate makes a tenant one of those that the capacity is divided among.
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

// deactivate undoes activate.
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
		c.activeWeight = 0 // sums of fractions leave a rest
	}
}

// weightShare returns a tenant's part of the capacity by weight alone, among the active ones.
func (c *Controller) weightShare(a *Account) float64 {
	return c.capacity * a.weight / max(c.activeWeight, a.weight)
}

// allocate divides the capacity among the active tenants.
func (c *Controller) allocate(now time.Duration) {
	c.allocatedAt = now
	for _, a := range slices.Clone(c.active) {
		c.accountVisits++
		if a.inFlight == 0 && now >= a.lastActiveAt+idleAfter {
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

// hasCapacity reports whether one more invocation of an active tenant fits. A share by weight is
// available at once, whoever uses the capacity: theirs is reclaimed as it completes, and no more
// is admitted.
func (c *Controller) hasCapacity(a *Account) bool {
	inFlight := float64(a.inFlight)
	total := float64(c.inFlight)
	return inFlight < c.weightShare(a) ||
		total < uncontendedPart*c.capacity ||
		total < c.capacity && inFlight < a.allotment
}

// Quotas returns the quotas that have changed since the last call. While not everything can be
// served, the work of a tenant that uses more than its share by weight is queued behind that of
// all who do not, however small its invocations: ranked by size, a flood of small ones would make
// everybody else wait. What others leave it still gets.
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

// Republish makes the next Quotas return all of them, for a dispatcher that has been restarted.
func (c *Controller) Republish() {
	c.pendingQuotas = nil
	for _, a := range c.accounts {
		if a != nil {
			quota := Quota{Index: a.Index, QuotaPerSecond: a.quotaPerSecond(), Reassigned: true}
			c.pendingQuotas = append(c.pendingQuotas, quota)
		}
	}
}

// overShareThreshold returns the work rate, in seconds a second, above which a tenant is over its
// share. It is lower for one that is over it already.
func (a *Account) overShareThreshold() float64 {
	if a.overShare {
		return a.workShare * (1 - overShareMargin)
	}
	return a.workShare * (1 + overShareMargin)
}

func (a *Account) quotaPerSecond() float64 {
	if a.overShare {
		return overShareQuota
	}
	return math.Inf(1)
}

// measureWorkRate returns how much worker time a tenant has used a second, in seconds, by its last
// few attempts.
func (a *Account) measureWorkRate(now time.Duration) float64 {
	if len(a.attemptsEndedAt) == 0 {
		return 0
	}
	sum := 0.0
	for _, seconds := range a.attemptSeconds {
		sum += seconds
	}
	return sum / max(minRateWindowS, (now-a.attemptsEndedAt[0]).Seconds())
}
