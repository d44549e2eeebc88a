package tenants

import "time"

// Account is the state of one tenant at one scheduler. The account of a removed tenant is kept until
// the last of its invocations has completed.
type Account struct {
	Index  int // identifies the tenant to the dispatcher; reused after the tenant is removed
	Name   string
	Handle string

	credentialIDs []string
	state         State
	weight        float64
	limits        Limits
	removed       bool // the tenant was removed; some of its invocations may still be in flight

	inFlight int     // number of invocations in flight
	heldWork float64 // sum of the hinted costs of these, in seconds on a standard core

	tokens           float64 // level of the token bucket; each invocation takes one token
	tokensRefilledAt time.Duration
	retryBudget      float64 // retries that are admitted before first attempts must earn more

	allotment       float64 // invocations that it may have in flight, as of the last allocation
	shareRejections int     // invocations rejected for lack of capacity since the last allocation
	peakInFlight    int     // highest inFlight since the last allocation
	lastActiveAt    time.Duration
	activePosition  int // position in Controller.active, counted from 1; 0 if not active

	costRatios      map[string][]float64 // latest ratios of time at workers to hinted cost, by operation
	durations       []time.Duration      // latest times from the admission of an invocation to its completion
	attemptsEndedAt []time.Duration      // when the latest attempts ended, oldest first
	attemptSeconds  []float64            // how long the same attempts were at their workers

	workRate  float64 // worker time used, in seconds per second
	workShare float64 // its fair share of the sum of all active tenants' workRate
	overShare bool    // workRate exceeds workShare, as last published to the dispatcher
	usage     Usage
}

func (a *Account) isActive() bool { return a.activePosition > 0 }

// typicalDuration returns the median time from the admission of one of the tenant's invocations to
// its completion. Clients are advised to wait for this time before a retry, because one of the
// invocations in flight is likely to have completed by then.
func (a *Account) typicalDuration() time.Duration {
	if len(a.durations) == 0 {
		return defaultRetryAfter
	}
	return median(a.durations)
}

// minCostSamples is how many attempts of an operation must have been measured before its cost hints
// are corrected.
const minCostSamples = 4

// EstimateCost corrects the hinted cost of an invocation by the ratio of worker time to hint that
// the latest attempts of the operation had. The result is in the unit of the hint; it is 0 if there
// is no estimate and the caller should use the operation's mean. The dispatcher learns the speed of
// workers from the work and hints of all tenants together, so without the correction a tenant whose
// hints are too low would make the work of all others look too slow to meet its objective.
func (a *Account) EstimateCost(operation string, hint float64) float64 {
	ratios := a.costRatios[operation]
	if hint <= 0 || len(ratios) < minCostSamples {
		return 0
	}
	return hint * median(ratios)
}

// recordAttempt adds the measurements of an attempt that ended now. took is its time at its worker.
func (a *Account) recordAttempt(now time.Duration, operation string, hint float64, took time.Duration) {
	a.attemptsEndedAt = appendSample(a.attemptsEndedAt, now)
	a.attemptSeconds = appendSample(a.attemptSeconds, took.Seconds())
	ratios, known := a.costRatios[operation]
	if known && hint > 0 {
		a.costRatios[operation] = appendSample(ratios, took.Seconds()/hint)
	}
}

// retainCostRatios keeps the measurements of the given operations and drops all others.
func (a *Account) retainCostRatios(operations []Operation) {
	retained := map[string][]float64{}
	for _, operation := range operations {
		retained[operation.Name] = a.costRatios[operation.Name]
	}
	a.costRatios = retained
}
