package tenants

import "time"

// Account is the state of one tenant at one scheduler. It lasts until the tenant's last invocation
// has completed, also where the tenant has been removed before.
type Account struct {
	Index  int // among the dispatcher's tenants
	Name   string
	Handle string

	credentialIDs []string
	state         State
	weight        float64
	limits        Limits
	removed       bool // the tenant is; its last invocations may still be in flight

	inFlight int     // invocations
	heldWork float64 // hinted cost in flight, in seconds on a standard core

	tokens           float64 // of the token bucket, one an invocation
	tokensRefilledAt time.Duration
	retryBudget      float64 // retries that are admitted before the ratio must earn more

	allotment       float64 // invocations it may have in flight, as of the last allocation
	shareRejections int     // since the last allocation, for want of capacity
	peakInFlight    int     // since the last allocation
	lastActiveAt    time.Duration
	activePosition  int // in Controller.active, counted from 1; 0: not active

	costRatios      map[string][]float64 // by operation: time at workers over the hinted cost
	durations       []time.Duration      // of the last invocations, from admission to completion
	attemptsEndedAt []time.Duration      // of the last attempts
	attemptSeconds  []float64            // at their workers, of the same attempts

	workRate  float64 // workers' time in seconds a second
	workShare float64 // its fair share of all tenants' workRate
	overShare bool    // as last published to the dispatcher
	usage     Usage
}

func (a *Account) isActive() bool { return a.activePosition > 0 }

// typicalDuration returns how long it takes until an invocation of the tenant's own completes.
func (a *Account) typicalDuration() time.Duration {
	if len(a.durations) == 0 {
		return defaultRetryAfter
	}
	return median(a.durations)
}

// minCostSamples must have been measured of an operation before its hints are corrected.
const minCostSamples = 4

// EstimateCost turns the hinted cost of an operation into what the latest invocations with such
// hints have taken, in the unit of the hint; 0 if there is no estimate, and the operation's mean
// is to be used. The dispatcher learns the speed of workers from the work and hints of all tenants:
// one that hints too little would make all others' work look hopeless.
func (a *Account) EstimateCost(operation string, hint float64) float64 {
	ratios := a.costRatios[operation]
	if hint <= 0 || len(ratios) < minCostSamples {
		return 0
	}
	return hint * median(ratios)
}

// recordAttempt adds an attempt that ended now after some time at its worker.
func (a *Account) recordAttempt(now time.Duration, operation string, hint float64, took time.Duration) {
	a.attemptsEndedAt = appendSample(a.attemptsEndedAt, now)
	a.attemptSeconds = appendSample(a.attemptSeconds, took.Seconds())
	ratios, known := a.costRatios[operation]
	if known && hint > 0 {
		a.costRatios[operation] = appendSample(ratios, took.Seconds()/hint)
	}
}

// retainCostRatios drops the measurements of operations that the tenant no longer has.
func (a *Account) retainCostRatios(operations []Operation) {
	retained := map[string][]float64{}
	for _, operation := range operations {
		retained[operation.Name] = a.costRatios[operation.Name]
	}
	a.costRatios = retained
}
