package model

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"stoatweir/internal/lab/scenario"
)

// Clients hand invocations in, each at the time it is meant to be: an open loop, whatever becomes of the ones before.
type Clients struct {
	scenario        scenario.Scenario
	arrivalRand     *rand.Rand
	requestRand     *rand.Rand
	baseRate        float64 // usual
	peakRate        float64 // the highest that the day has
	lastArrival     time.Duration
	lastInvocation  int64
	extraRetries    int // further tries that clients make, at once
	operationShares []float64
	tenantShares    []float64
	heavyFaults     []scenario.Fault
	rateSteps       []scenario.Step
	replied         map[int64]bool // tries whose end their clients know, while it may be told again
	repliedExpiry   []repliedRequest
}

type repliedRequest struct {
	id       int64
	forgetAt time.Duration
}

// Reply is how a try ended for its client.
type Reply uint8

const (
	Succeeded Reply = iota
	Throttled
	Errored
	Unanswered  // the connection ended, or the time was over
	NoScheduler // nobody could be connected to: it was never handed in
	Disconnected
)

func newClients(s scenario.Scenario, capacity float64) *Clients {
	c := &Clients{scenario: s, arrivalRand: newRand(s.Seed, "times"), requestRand: newRand(s.Seed, "jobs"), replied: map[int64]bool{}}
	sum, each := 0.0, 0.0
	for _, o := range s.Operations {
		sum += o.Share
		c.operationShares = append(c.operationShares, sum)
		each += o.Share * o.Work.D().Seconds() * float64(o.Slots)
	}
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Share
		c.tenantShares = append(c.tenantShares, total)
	}
	if c.baseRate = s.Load.Rate; c.baseRate == 0 && each > 0 {
		c.baseRate = s.Load.Utilization * capacity / (each / sum)
	}
	c.rateSteps = append(c.rateSteps, s.Load.Steps...)
	for _, t := range s.Troubles {
		switch t.Kind {
		case scenario.Burst:
			c.rateSteps = append(c.rateSteps, scenario.Step{Start: t.Start, Duration: t.Duration, Factor: t.Factor})
		case scenario.HeavyRequests:
			c.heavyFaults = append(c.heavyFaults, t)
		}
	}
	c.peakRate = c.baseRate
	for _, step := range c.rateSteps {
		c.peakRate *= max(1, step.Factor)
	}
	if s.Load.Shape == "bursts" {
		c.peakRate *= burstFactor
	}
	return c
}

// Bursts: a fifth of each period has three times the usual rate, the rest half of it.
const (
	burstPeriod, burstShare    = 5 * time.Second, 0.2
	burstFactor, lullFactor    = 3, 0.5
	shapeConstant, shapeBursts = "constant", "bursts"
	roughHintCV                = 0.4 // of a rough hint
)

// Rate is how many are meant to come in a second, at a time.
func (c *Clients) Rate(at time.Duration) float64 {
	rate := c.baseRate
	for _, step := range c.rateSteps {
		if at >= step.Start.D() && at < step.Start.D()+step.Duration.D() {
			rate *= step.Factor
		}
	}
	if c.scenario.Load.Shape == shapeBursts {
		if float64(at%burstPeriod) < burstShare*float64(burstPeriod) {
			rate *= burstFactor
		} else {
			rate *= lullFactor
		}
	}
	return rate
}

// Next gives the next first try.
func (c *Clients) Next() (Request, bool) {
	if c.peakRate <= 0 {
		return Request{}, false
	}
	for {
		if c.scenario.Load.Shape == shapeConstant {
			rate := c.Rate(c.lastArrival)
			if rate <= 0 {
				c.lastArrival += 10 * time.Millisecond
			} else {
				c.lastArrival += time.Duration(float64(time.Second) / rate)
			}
			if c.lastArrival >= c.scenario.Length.D() {
				return Request{}, false
			}
			if rate <= 0 {
				continue
			}
		} else {
			// Thinned: drawn at the highest rate that the day has, and kept by the present one.
			c.lastArrival += time.Duration(c.arrivalRand.ExpFloat64() / c.peakRate * float64(time.Second))
			if c.lastArrival >= c.scenario.Length.D() {
				return Request{}, false
			}
			if c.arrivalRand.Float64()*c.peakRate >= c.Rate(c.lastArrival) {
				continue
			}
		}
		return c.draw(), true
	}
}

func pickByShare(sums []float64, rng *rand.Rand) int {
	if len(sums) == 0 {
		return 0
	}
	at := rng.Float64() * sums[len(sums)-1]
	for i, sum := range sums {
		if at < sum {
			return i
		}
	}
	return len(sums) - 1
}

func (c *Clients) draw() Request {
	op := pickByShare(c.operationShares, c.requestRand)
	o := c.scenario.Operations[op]
	cost := lognormal(c.requestRand, o.Work.D().Seconds(), o.CV)
	for _, t := range c.heavyFaults {
		if c.lastArrival >= t.Start.D() && c.lastArrival < t.Start.D()+t.Duration.D() && (t.Operation == "" || t.Operation == o.Name) && c.requestRand.Float64() < t.Share {
			cost *= t.Factor
		}
	}
	j := c.NewRequest(op, c.lastArrival, cost, c.requestRand)
	j.Tenant, j.Zone = pickByShare(c.tenantShares, c.requestRand), c.requestRand.IntN(len(c.scenario.Zones))
	if c.requestRand.Float64() < c.scenario.Clients.Disconnect {
		j.DisconnectAt = j.At + time.Duration(c.requestRand.Float64()*float64(o.Timeout))
	}
	return j
}

// Job makes the first try of an invocation of a known operation, time and cost.
func (c *Clients) NewRequest(op int, at time.Duration, cost float64, rng *rand.Rand) Request {
	o := c.scenario.Operations[op]
	c.lastInvocation++
	j := Request{ID: c.lastInvocation << 8, Invocation: c.lastInvocation, Operation: op, Cost: max(cost, 1e-6), Slots: o.Slots, IntendedAt: at, At: at,
		Deadline: at + o.Timeout.D()}
	j.Objective = o.Objective.D() + time.Duration(o.Stretch*j.Cost*float64(time.Second))
	switch o.HintQuality {
	case "good":
		j.Hint = j.Cost
	case "rough":
		j.Hint = j.Cost * lognormal(rng, 1, roughHintCV)
	}
	return j
}

// Front deals a try out among the schedulers of its zone, or of another where all of these are known to be gone; -1: all are.
func (c *Clients) Route(j *Request, gone func(scheduler int) bool) int {
	h := fnv.New64a()
	fmt.Fprint(h, c.scenario.Seed, j.ID)
	all, other := c.scenario.Schedulers.Count, -1
	at := int(h.Sum64() % uint64(all))
	for n := range all {
		x := (at + n) % all
		switch {
		case gone(x):
		case c.scenario.Zone(x) == j.Zone:
			return x
		case other < 0:
			other = x
		}
	}
	return other
}

// lognormal has the mean and the coefficient of variation given.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	n := rng.NormFloat64() // drawn also where it is not needed, so that other draws stay where they are
	if cv <= 0 {
		return mean
	}
	v := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(v)*n-v/2)
}

// Again gives the next try after one that ended without a result, if its client makes one.
func (c *Clients) Retry(now time.Duration, j *Request, how Reply, advice time.Duration) (Request, bool) {
	if how == Succeeded || how == Disconnected || j.Retry >= c.scenario.Clients.Retries+c.extraRetries || j.Retry >= 250 {
		return Request{}, false
	}
	end := j.IntendedAt + c.scenario.Operations[j.Operation].Timeout.D()
	rng := rand.New(rand.NewPCG(uint64(c.scenario.Seed), uint64(j.ID)))
	wait := time.Duration((0.5 + rng.Float64()) * float64(c.scenario.Clients.Backoff))
	if advice > 0 && rng.Float64() < c.scenario.Clients.HonorRetryAfter {
		wait = max(wait, advice)
	}
	if c.extraRetries > 0 {
		wait = time.Millisecond
	}
	next := *j
	next.Retry++
	next.ID++
	next.At = now + wait
	next.Deadline = end
	if next.At >= end {
		return Request{}, false
	}
	return next, true
}

// First tells whether this is the first word that a client has of the end of a try: an answer, a broken connection and
// its own time-out may follow one another.
func (c *Clients) FirstReply(j *Request) bool {
	if c.replied[j.ID] {
		return false
	}
	c.replied[j.ID] = true
	c.repliedExpiry = append(c.repliedExpiry, repliedRequest{j.ID, j.Deadline + duplicateReplyPeriod})
	for len(c.repliedExpiry) > 0 && c.repliedExpiry[0].forgetAt < j.At {
		delete(c.replied, c.repliedExpiry[0].id)
		c.repliedExpiry = c.repliedExpiry[1:]
	}
	return true
}

// replyAgain is how long after its time a try can still end once more.
const duplicateReplyPeriod = 5 * time.Second
