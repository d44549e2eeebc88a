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
	minRunSeconds = 0.05 // seconds
	hintLogStdDev = 0.2  // standard deviation of the logarithm of what clients estimate
)

// emulatedClients send each invocation at its time, whatever has become of those before, over
// connections that they reuse.
type emulatedClients struct {
	config HollowConfig
	ctx    context.Context
	conns  *connPool

	offered          atomic.Int64
	succeeded        atomic.Int64
	throttled        atomic.Int64
	failed           atomic.Int64
	connectionErrors atomic.Int64
	inFlight         atomic.Int64
	maxLateness      atomic.Int64 // ns, of an arrival against its plan
}

func newEmulatedClients(ctx context.Context, config HollowConfig) *emulatedClients {
	return &emulatedClients{config: config, ctx: ctx, conns: newConnPool()}
}

func (c *emulatedClients) execute(order Order) (Stats, error) {
	switch order.Action {
	case orderBegin, orderStats:
	case orderStart:
		for n := range c.config.SchedulerAddrs {
			go c.sendArrivals(n, order.RampUp)
		}
	default:
		return Stats{}, fmt.Errorf("clients: %q is no order", order.Action)
	}
	return Stats{
		Offered:          c.offered.Load(),
		Succeeded:        c.succeeded.Load(),
		Throttled:        c.throttled.Load(),
		Failed:           c.failed.Load(),
		ConnectionErrors: c.connectionErrors.Load(),
		InFlight:         c.inFlight.Load(),
		MaxLateness:      time.Duration(c.maxLateness.Load()),
	}, nil
}

// arrival is an invocation to be sent; times are in seconds.
type arrival struct {
	at      float64 // since the first
	runTime float64
	hint    float64 // of run, as the client estimates it
}

// arrivals draws the invocations of one scheduler. Runs have no memory: a pool of requests in
// flight that holds the number aimed at goes on holding it, and it is filled within any time by a
// rate that has as many in flight at its end.
type arrivals struct {
	scenario   Scenario
	rng        *rand.Rand
	meanRun    float64 // run, in seconds
	rampUp     float64 // seconds
	rampUpRate float64 // per second, until then
	lastAt     float64 // of the last one
}

func newArrivals(s Scenario, scheduler int, rampUp time.Duration) *arrivals {
	meanRun := s.meanRun().Seconds()
	return &arrivals{
		scenario:   s,
		rng:        rand.New(rand.NewPCG(uint64(s.Seed), uint64(scheduler))),
		meanRun:    meanRun,
		rampUp:     rampUp.Seconds(),
		rampUpRate: float64(s.InFlight) / (meanRun * -math.Expm1(-rampUp.Seconds()/meanRun)),
	}
}

func (a *arrivals) next() arrival {
	rate := a.scenario.Starts
	if a.lastAt < a.rampUp {
		rate = a.rampUpRate
	}
	if a.scenario.EvenLoad {
		a.lastAt += 1 / rate
		runTime := max(a.meanRun, minRunSeconds)
		return arrival{at: a.lastAt, runTime: runTime, hint: runTime}
	}
	a.lastAt += a.rng.ExpFloat64() / rate
	runTime := max(a.meanRun*a.rng.ExpFloat64(), minRunSeconds)
	return arrival{at: a.lastAt, runTime: runTime, hint: runTime * math.Exp(hintLogStdDev*a.rng.NormFloat64())}
}

// sendArrivals sends the invocations of one scheduler until the process ends.
func (c *emulatedClients) sendArrivals(scheduler int, rampUp time.Duration) {
	s := c.config.Scenario
	arrivals := newArrivals(s, scheduler, rampUp)
	start := time.Now()
	for n := int64(1); ; n++ {
		a := arrivals.next()
		planned := start.Add(time.Duration(a.at * float64(time.Second)))
		select {
		case <-time.After(time.Until(planned)):
		case <-c.ctx.Done():
			return
		}
		lateness := int64(time.Since(planned))
		if lateness > c.maxLateness.Load() {
			c.maxLateness.Store(lateness)
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
	conn, err := c.conns.get(scheduler, c.config.SchedulerAddrs[scheduler])
	if err != nil {
		c.connectionErrors.Add(1)
		return
	}
	response, err := exchange(conn, request)
	if err != nil {
		c.connectionErrors.Add(1)
		conn.Close()
		return
	}
	c.count(response.StatusCode)
	if response.Close {
		conn.Close()
		return
	}
	c.conns.put(scheduler, conn)
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
	const microsPerSecond = 1e6 // of a second
	id := requestID(scheduler, n)
	s := c.config.Scenario
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%s/%d HTTP/1.1\r\nHost: %s\r\n", op.Name, int64(a.runTime*microsPerSecond), c.config.SchedulerAddrs[scheduler])
	fmt.Fprintf(&text, "X-Call-Id: %s\r\nX-Call-Class: %s\r\n", id, op.Name)
	fmt.Fprintf(&text, "X-Budget: %.3f\r\nX-Call-Cost: %d\r\n", s.timeout().Seconds(), int64(a.hint*microsPerSecond))
	if op.Effect == effectDeduplicated {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", id)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", s.BodyBytes, strings.Repeat("x", s.BodyBytes))
	return text.String()
}
