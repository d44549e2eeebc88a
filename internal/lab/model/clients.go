package model

import (
	"math/rand/v2"
	"time"

	"stoatweir/internal/lab/scenario"
)

const (
	// With the bursts shape, the first fifth of each period has three times the base rate, and the
	// rest has half of it.
	burstPeriod = 5 * time.Second
	burstShare  = 0.2
	burstFactor = 3
	lullFactor  = 0.5
	// roughHintCV is the coefficient of variation of the error of a rough hint.
	roughHintCV = 0.4
	// zeroRateStep is how far a constant load advances its clock at a time while the rate is 0.
	zeroRateStep = 10 * time.Millisecond
	// minCost is the minimum cost of a request, in seconds.
	minCost = 1e-6
	// retryNumberBits is the number of low bits of a request's ID that hold its retry number.
	retryNumberBits = 8
	// maxRetries is the maximum number of retries of an invocation; it fits into retryNumberBits.
	maxRetries = 250
)

// Clients generates the load as an open loop: the arrival times of invocations don't depend on how
// earlier ones ended. It implements Source. How clients route requests and react to replies is in
// retry.go.
type Clients struct {
	scenario         scenario.Scenario
	arrivalRand      *rand.Rand
	requestRand      *rand.Rand
	baseRate         float64 // invocations per second, before steps and bursts
	peakRate         float64 // upper bound of the rate over the run, in invocations per second
	lastArrival      time.Duration
	lastInvocationID int64
	extraRetries     int       // additional retries per invocation during retry storms
	operationShares  []float64 // cumulative, by operation
	tenantShares     []float64 // cumulative, by tenant
	heavyFaults      []scenario.Fault
	rateSteps        []scenario.Step // of the load and of burst faults

	replied       map[int64]bool   // by request ID: the client has got a reply; kept while another one may come
	repliedExpiry []repliedRequest // the entries of replied, oldest first
}

func newClients(s scenario.Scenario, capacity float64) *Clients {
	c := &Clients{
		scenario:    s,
		arrivalRand: newRand(s.Seed, "times"),
		requestRand: newRand(s.Seed, "jobs"),
		replied:     map[int64]bool{},
	}
	shares := 0.0
	work := 0.0 // mean work of an invocation in slot seconds, times the sum of the shares
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

// addSteps collects the rate steps and the faults that change the load, and computes the peak rate.
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

// Rate returns the intended rate at a time, in invocations per second.
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

// Next returns the first request of the next invocation, or false when the run's load has ended.
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

// stepConstant advances to the next arrival at a constant rate. It returns false if the rate is 0
// and there is no arrival.
func (c *Clients) stepConstant() bool {
	rate := c.Rate(c.lastArrival)
	if rate <= 0 {
		c.lastArrival += zeroRateStep
		return false
	}
	c.lastArrival += time.Duration(float64(time.Second) / rate)
	return true
}

// stepPoisson advances to the next arrival of a Poisson process at the peak rate. It returns false
// if the arrival is dropped: thinning reduces the peak rate to the current rate.
func (c *Clients) stepPoisson() bool {
	c.lastArrival += time.Duration(c.arrivalRand.ExpFloat64() / c.peakRate * float64(time.Second))
	if c.lastArrival >= c.scenario.Length.D() {
		return false
	}
	return c.arrivalRand.Float64()*c.peakRate < c.Rate(c.lastArrival)
}

// drawRequest draws a request that arrives now: its operation, cost, tenant and zone, and whether
// its client disconnects.
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

// NewRequest returns the first request of a new invocation of the given operation, arrival time and
// cost in seconds. It draws from rng only for a rough hint.
func (c *Clients) NewRequest(operation int, at time.Duration, cost float64, rng *rand.Rand) Request {
	o := c.scenario.Operations[operation]
	c.lastInvocationID++
	r := Request{
		ID:         c.lastInvocationID << retryNumberBits,
		Invocation: c.lastInvocationID,
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
