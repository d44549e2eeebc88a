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
	s        scenario.Scenario
	times    *rand.Rand
	jobs     *rand.Rand
	rate     float64 // usual
	most     float64 // the highest that the day has
	at       time.Duration
	next     int64
	storm    int // further tries that clients make, at once
	shares   []float64
	tenants  []float64
	heavies  []scenario.Trouble
	boundary []scenario.Step
	replied  map[int64]bool // tries whose end their clients know, while it may be told again
	forget   []endedTry
}

type endedTry struct {
	id int64
	at time.Duration
}

// Reply is how a try ended for its client.
type Reply uint8

const (
	Succeeded Reply = iota
	Throttled
	Errored
	Unanswered // the connection ended, or the time was over
	NoneThere  // nobody could be connected to: it was never handed in
	Left
)

func newClients(s scenario.Scenario, capacity float64) *Clients {
	c := &Clients{s: s, times: chance(s.Seed, "times"), jobs: chance(s.Seed, "jobs"), replied: map[int64]bool{}}
	sum, each := 0.0, 0.0
	for _, o := range s.Operations {
		sum += o.Share
		c.shares = append(c.shares, sum)
		each += o.Share * o.Work.D().Seconds() * float64(o.Slots)
	}
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Share
		c.tenants = append(c.tenants, total)
	}
	if c.rate = s.Load.Rate; c.rate == 0 && each > 0 {
		c.rate = s.Load.Of * capacity / (each / sum)
	}
	c.boundary = append(c.boundary, s.Load.Steps...)
	for _, t := range s.Troubles {
		switch t.Kind {
		case scenario.Burst:
			c.boundary = append(c.boundary, scenario.Step{At: t.At, For: t.For, Factor: t.Factor})
		case scenario.Heavy:
			c.heavies = append(c.heavies, t)
		}
	}
	c.most = c.rate
	for _, step := range c.boundary {
		c.most *= max(1, step.Factor)
	}
	if s.Load.Shape == "bursts" {
		c.most *= burstHigh
	}
	return c
}

// Bursts: a fifth of each period has three times the usual rate, the rest half of it.
const (
	burstPeriod, burstPart = 5 * time.Second, 0.2
	burstHigh, burstLow    = 3, 0.5
	constant, bursts       = "constant", "bursts"
	roughCV                = 0.4 // of a rough hint
)

// Rate is how many are meant to come in a second, at a time.
func (c *Clients) Rate(at time.Duration) float64 {
	rate := c.rate
	for _, step := range c.boundary {
		if at >= step.At.D() && at < step.At.D()+step.For.D() {
			rate *= step.Factor
		}
	}
	if c.s.Load.Shape == bursts {
		if float64(at%burstPeriod) < burstPart*float64(burstPeriod) {
			rate *= burstHigh
		} else {
			rate *= burstLow
		}
	}
	return rate
}

// Next gives the next first try.
func (c *Clients) Next() (Job, bool) {
	if c.most <= 0 {
		return Job{}, false
	}
	for {
		if c.s.Load.Shape == constant {
			rate := c.Rate(c.at)
			if rate <= 0 {
				c.at += 10 * time.Millisecond
			} else {
				c.at += time.Duration(float64(time.Second) / rate)
			}
			if c.at >= c.s.Length.D() {
				return Job{}, false
			}
			if rate <= 0 {
				continue
			}
		} else {
			// Thinned: drawn at the highest rate that the day has, and kept by the present one.
			c.at += time.Duration(c.times.ExpFloat64() / c.most * float64(time.Second))
			if c.at >= c.s.Length.D() {
				return Job{}, false
			}
			if c.times.Float64()*c.most >= c.Rate(c.at) {
				continue
			}
		}
		return c.draw(), true
	}
}

func pick(sums []float64, rng *rand.Rand) int {
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

func (c *Clients) draw() Job {
	op := pick(c.shares, c.jobs)
	o := c.s.Operations[op]
	cost := lognormal(c.jobs, o.Work.D().Seconds(), o.CV)
	for _, t := range c.heavies {
		if c.at >= t.At.D() && c.at < t.At.D()+t.For.D() && (t.Of == "" || t.Of == o.Name) && c.jobs.Float64() < t.Share {
			cost *= t.Factor
		}
	}
	j := c.Job(op, c.at, cost, c.jobs)
	j.Tenant, j.Zone = pick(c.tenants, c.jobs), c.jobs.IntN(len(c.s.Zones))
	if c.jobs.Float64() < c.s.Clients.Leave {
		j.Leaves = j.At + time.Duration(c.jobs.Float64()*float64(o.Timeout))
	}
	return j
}

// Job makes the first try of an invocation of a known operation, time and cost.
func (c *Clients) Job(op int, at time.Duration, cost float64, rng *rand.Rand) Job {
	o := c.s.Operations[op]
	c.next++
	j := Job{ID: c.next << 8, Origin: c.next, Op: op, Cost: max(cost, 1e-6), Slots: o.Slots, Meant: at, At: at,
		Deadline: at + o.Timeout.D()}
	j.Objective = o.Objective.D() + time.Duration(o.Stretch*j.Cost*float64(time.Second))
	switch o.Hints {
	case "good":
		j.Hint = j.Cost
	case "rough":
		j.Hint = j.Cost * lognormal(rng, 1, roughCV)
	}
	return j
}

// Front deals a try out among the schedulers of its zone, or of another where all of these are known to be gone; -1: all are.
func (c *Clients) Front(j *Job, gone func(scheduler int) bool) int {
	h := fnv.New64a()
	fmt.Fprint(h, c.s.Seed, j.ID)
	all, other := c.s.Schedulers.Count, -1
	at := int(h.Sum64() % uint64(all))
	for n := range all {
		x := (at + n) % all
		switch {
		case gone(x):
		case c.s.Zone(x) == j.Zone:
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
func (c *Clients) Again(now time.Duration, j *Job, how Reply, advice time.Duration) (Job, bool) {
	if how == Succeeded || how == Left || j.Try >= c.s.Clients.Retries+c.storm || j.Try >= 250 {
		return Job{}, false
	}
	end := j.Meant + c.s.Operations[j.Op].Timeout.D()
	rng := rand.New(rand.NewPCG(uint64(c.s.Seed), uint64(j.ID)))
	wait := time.Duration((0.5 + rng.Float64()) * float64(c.s.Clients.Backoff))
	if advice > 0 && rng.Float64() < c.s.Clients.Honour {
		wait = max(wait, advice)
	}
	if c.storm > 0 {
		wait = time.Millisecond
	}
	next := *j
	next.Try++
	next.ID++
	next.At = now + wait
	next.Deadline = end
	if next.At >= end {
		return Job{}, false
	}
	return next, true
}

// First tells whether this is the first word that a client has of the end of a try: an answer, a broken connection and
// its own time-out may follow one another.
func (c *Clients) First(j *Job) bool {
	if c.replied[j.ID] {
		return false
	}
	c.replied[j.ID] = true
	c.forget = append(c.forget, endedTry{j.ID, j.Deadline + replyAgain})
	for len(c.forget) > 0 && c.forget[0].at < j.At {
		delete(c.replied, c.forget[0].id)
		c.forget = c.forget[1:]
	}
	return true
}

// replyAgain is how long after its time a try can still end once more.
const replyAgain = 5 * time.Second
