package model

import (
	"math/rand/v2"
	"time"

	"stoatweir/internal/lab/scenario"
)

const (
	// A fifth of each burst period has three times the base rate, the rest half of it.
	burstPeriod = 5 * time.Second
	burstShare  = 0.2
	burstFactor = 3
	lullFactor  = 0.5
	// roughHintCV is the coefficient of variation of a rough hint.
	roughHintCV = 0.4
	// zeroRateStep is how far the arrivals of a constant load advance while its rate is 0.
	zeroRateStep = 10 * time.Millisecond
	// minCost is the least cost of a request, in seconds.
	minCost = 1e-6
	// retryBits are the low bits of a request's ID, which number the requests of its invocation.
	retryBits = 8
	// maxRetries fits into retryBits.
	maxRetries = 250
)

// Clients generate the load: an open loop, in which each invocation has its time whatever becomes of those before. It is a
// Source. What its clients do with replies is in retry.go.
type Clients struct {
	scenario        scenario.Scenario
	arrivalRand     *rand.Rand
	requestRand     *rand.Rand
	baseRate        float64 // invocations a second, without steps and bursts
	peakRate        float64 // at least the highest rate of the run
	lastArrival     time.Duration
	lastInvocation  int64
	extraRetries    int       // by faults; they come at once
	operationShares []float64 // running sums
	tenantShares    []float64 // running sums
	heavyFaults     []scenario.Fault
	rateSteps       []scenario.Step // also those of faults

	replied       map[int64]bool // requests whose end their clients know, while it may come again
	repliedExpiry []repliedRequest
}

func newClients(s scenario.Scenario, capacity float64) *Clients {
	c := &Clients{
		scenario:    s,
		arrivalRand: newRand(s.Seed, "times"),
		requestRand: newRand(s.Seed, "jobs"),
		replied:     map[int64]bool{},
	}
	shares := 0.0
	work := 0.0 // mean of an invocation, times shares
	for _, o := range s.Operations {
		shares += o.Share
		c.operationShares = append(c.operationShares, shares)
		work += o.Share * o.Work.D().Seconds() * float64(o.Slots)
	}
	tenantShares := 0.0
	for _, t := range s.Tenants {
		tenantShares += t.Share
		c.tenantShares = append(c.tenantShares, tenantShares)
	}
	c.baseRate = s.Load.Rate
	if c.baseRate == 0 && work > 0 {
		c.baseRate = s.Load.Utilization * capacity / (work / shares)
	}
	c.addSteps()
	return c
}

// addSteps collects what changes the rate and the requests, and finds the peak rate.
func (c *Clients) addSteps() {
	c.rateSteps = append(c.rateSteps, c.scenario.Load.Steps...)
	for _, f := range c.scenario.Faults {
		switch f.Kind {
		case scenario.Burst:
			c.rateSteps = append(c.rateSteps, scenario.Step{Start: f.Start, Duration: f.Duration, Factor: f.Factor})
		case scenario.HeavyRequests:
			c.heavyFaults = append(c.heavyFaults, f)
		}
	}
	c.peakRate = c.baseRate
	for _, step := range c.rateSteps {
		c.peakRate *= max(1, step.Factor)
	}
	if c.scenario.Load.Shape == scenario.ShapeBursts {
		c.peakRate *= burstFactor
	}
}

// Rate returns the intended rate at a time, in invocations a second.
func (c *Clients) Rate(at time.Duration) float64 {
	rate := c.baseRate
	for _, step := range c.rateSteps {
		if at >= step.Start.D() && at < step.Start.D()+step.Duration.D() {
			rate *= step.Factor
		}
	}
	if c.scenario.Load.Shape == scenario.ShapeBursts {
		if float64(at%burstPeriod) < burstShare*float64(burstPeriod) {
			rate *= burstFactor
		} else {
			rate *= lullFactor
		}
	}
	return rate
}

// Next returns the first request of the next invocation; false: the run's load is over.
func (c *Clients) Next() (Request, bool) {
	if c.peakRate <= 0 {
		return Request{}, false
	}
	for {
		var arrives bool
		if c.scenario.Load.Shape == scenario.ShapeConstant {
			arrives = c.stepConstant()
		} else {
			arrives = c.stepPoisson()
		}
		if c.lastArrival >= c.scenario.Length.D() {
			return Request{}, false
		}
		if arrives {
			return c.drawRequest(), true
		}
	}
}

// stepConstant advances to the next arrival at a constant rate; false: the rate is 0.
func (c *Clients) stepConstant() bool {
	rate := c.Rate(c.lastArrival)
	if rate <= 0 {
		c.lastArrival += zeroRateStep
		return false
	}
	c.lastArrival += time.Duration(float64(time.Second) / rate)
	return true
}

// stepPoisson advances to the next arrival of a Poisson process at the peak rate; false: it is thinned out, as the present
// rate is lower.
func (c *Clients) stepPoisson() bool {
	c.lastArrival += time.Duration(c.arrivalRand.ExpFloat64() / c.peakRate * float64(time.Second))
	if c.lastArrival >= c.scenario.Length.D() {
		return false
	}
	return c.arrivalRand.Float64()*c.peakRate < c.Rate(c.lastArrival)
}

// drawRequest draws a request of the scenario's operations and tenants.
func (c *Clients) drawRequest() Request {
	rng := c.requestRand
	operation := pickByShare(c.operationShares, rng)
	o := c.scenario.Operations[operation]
	cost := lognormal(rng, o.Work.D().Seconds(), o.CV)
	for _, f := range c.heavyFaults {
		active := c.lastArrival >= f.Start.D() && c.lastArrival < f.Start.D()+f.Duration.D()
		if active && (f.Operation == "" || f.Operation == o.Name) && rng.Float64() < f.Share {
			cost *= f.Factor
		}
	}
	r := c.NewRequest(operation, c.lastArrival, cost, rng)
	r.Tenant = pickByShare(c.tenantShares, rng)
	r.Zone = rng.IntN(len(c.scenario.Zones))
	if rng.Float64() < c.scenario.Clients.Disconnect {
		r.DisconnectAt = r.At + time.Duration(rng.Float64()*float64(o.Timeout))
	}
	return r
}

// NewRequest returns the first request of a new invocation of a known operation, time and cost, which is in seconds.
func (c *Clients) NewRequest(operation int, at time.Duration, cost float64, rng *rand.Rand) Request {
	o := c.scenario.Operations[operation]
	c.lastInvocation++
	r := Request{
		ID:         c.lastInvocation << retryBits,
		Invocation: c.lastInvocation,
		Operation:  operation,
		Cost:       max(cost, minCost),
		Slots:      o.Slots,
		IntendedAt: at,
		At:         at,
		Deadline:   at + o.Timeout.D(),
	}
	r.Objective = o.Objective.D() + time.Duration(o.Stretch*r.Cost*float64(time.Second))
	switch o.HintQuality {
	case scenario.HintsGood:
		r.Hint = r.Cost
	case scenario.HintsRough:
		r.Hint = r.Cost * lognormal(rng, 1, roughHintCV)
	}
	return r
}
