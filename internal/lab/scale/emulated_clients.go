package scale

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	leastRun  = 0.05 // seconds
	hintError = 0.2  // standard deviation of the logarithm of what clients estimate
)

// emulatedClients send each invocation at its time, whatever has become of those before, over
// connections that they reuse.
type emulatedClients struct {
	part  Part
	ctx   context.Context
	conns *connPool

	offered   atomic.Int64
	succeeded atomic.Int64
	throttled atomic.Int64
	failed    atomic.Int64
	broken    atomic.Int64
	inFlight  atomic.Int64
	mostLate  atomic.Int64 // ns, of an arrival against its plan
}

func newEmulatedClients(ctx context.Context, p Part) *emulatedClients {
	return &emulatedClients{part: p, ctx: ctx, conns: newConnPool()}
}

func (c *emulatedClients) execute(o Order) (Stats, error) {
	switch o.Do {
	case orderBegin, orderStats:
	case orderStart:
		for n := range c.part.Schedulers {
			go c.sendArrivals(n, o.For)
		}
	default:
		return Stats{}, fmt.Errorf("clients: %q is no order", o.Do)
	}
	return Stats{
		Offered:   c.offered.Load(),
		Succeeded: c.succeeded.Load(),
		Throttled: c.throttled.Load(),
		Errored:   c.failed.Load(),
		Broken:    c.broken.Load(),
		InHand:    c.inFlight.Load(),
		LateMost:  time.Duration(c.mostLate.Load()),
	}, nil
}

// arrival is an invocation to be sent; times are in seconds.
type arrival struct {
	at   float64 // since the first
	run  float64
	hint float64 // of run, as the client estimates it
}

// arrivals draws the invocations of one scheduler. Runs have no memory: a pool of requests in
// flight that holds the number aimed at goes on holding it, and it is filled within any time by a
// rate that has as many in flight at its end.
type arrivals struct {
	scenario Scenario
	rng      *rand.Rand
	mean     float64 // run, in seconds
	fill     float64 // seconds
	fillRate float64 // per second, until then
	at       float64 // of the last one
}

func newArrivals(s Scenario, scheduler int, fill time.Duration) *arrivals {
	mean := s.meanRun().Seconds()
	return &arrivals{
		scenario: s,
		rng:      rand.New(rand.NewPCG(uint64(s.Seed), uint64(scheduler))),
		mean:     mean,
		fill:     fill.Seconds(),
		fillRate: float64(s.InHand) / (mean * -math.Expm1(-fill.Seconds()/mean)),
	}
}

func (a *arrivals) next() arrival {
	rate := a.scenario.Starts
	if a.at < a.fill {
		rate = a.fillRate
	}
	if a.scenario.Even {
		a.at += 1 / rate
		run := max(a.mean, leastRun)
		return arrival{at: a.at, run: run, hint: run}
	}
	a.at += a.rng.ExpFloat64() / rate
	run := max(a.mean*a.rng.ExpFloat64(), leastRun)
	return arrival{at: a.at, run: run, hint: run * math.Exp(hintError*a.rng.NormFloat64())}
}

// sendArrivals sends the invocations of one scheduler until the process ends.
func (c *emulatedClients) sendArrivals(scheduler int, fill time.Duration) {
	s := c.part.Scenario
	arrivals := newArrivals(s, scheduler, fill)
	began := time.Now()
	for n := int64(1); ; n++ {
		a := arrivals.next()
		planned := began.Add(time.Duration(a.at * float64(time.Second)))
		select {
		case <-time.After(time.Until(planned)):
		case <-c.ctx.Done():
			return
		}
		late := int64(time.Since(planned))
		if late > c.mostLate.Load() {
			c.mostLate.Store(late)
		}
		go c.send(scheduler, n, s.Operations[int(n)%len(s.Operations)], a)
	}
}

// send sends an invocation, and counts what became of it.
func (c *emulatedClients) send(scheduler int, n int64, op Operation, a arrival) {
	c.offered.Add(1)
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	request := c.requestText(scheduler, n, op, a)
	nc, err := c.conns.get(scheduler, c.part.Schedulers[scheduler])
	if err != nil {
		c.broken.Add(1)
		return
	}
	response, err := exchange(nc, request)
	if err != nil {
		c.broken.Add(1)
		nc.Close()
		return
	}
	c.count(response.StatusCode)
	if response.Close {
		nc.Close()
		return
	}
	c.conns.put(scheduler, nc)
}

func (c *emulatedClients) count(status int) {
	switch status {
	case http.StatusOK:
		c.succeeded.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.throttled.Add(1)
	default:
		c.failed.Add(1)
	}
}

func (c *emulatedClients) requestText(scheduler int, n int64, op Operation, a arrival) string {
	const micros = 1e6 // of a second
	id := idOf(scheduler, n)
	s := c.part.Scenario
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%s/%d HTTP/1.1\r\nHost: %s\r\n", op.Name, int64(a.run*micros), c.part.Schedulers[scheduler])
	fmt.Fprintf(&text, "X-Call-Id: %s\r\nX-Call-Class: %s\r\n", id, op.Name)
	fmt.Fprintf(&text, "X-Budget: %.3f\r\nX-Call-Cost: %d\r\n", s.timeout().Seconds(), int64(a.hint*micros))
	if op.Effect == effectDeduplicated {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", id)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", s.Body, strings.Repeat("x", s.Body))
	return text.String()
}
