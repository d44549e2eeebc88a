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
	minRunSeconds = 0.05 // shortest run time of an invocation
	hintLogStdDev = 0.2  // standard deviation of the logarithm of a client's estimate of a run time
)

// emulatedClients send each invocation at its scheduled time, whether or not earlier ones have been
// answered (an open loop). They reuse connections.
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
	maxLateness      atomic.Int64 // nanoseconds from the scheduled time of an arrival to its sending
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
		return Stats{}, fmt.Errorf("clients: unknown order %q, expected begin, stats or start", order.Action)
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

// arrival is an invocation to be sent. Times are in seconds.
type arrival struct {
	at      float64 // since the load was started
	runTime float64
	hint    float64 // run time as the client estimates it
}

// arrivals draws the invocations of one scheduler. Run times are exponentially distributed, hence
// memoryless: once the target number of requests is in flight, the regular rate of starts keeps it
// there. During a ramp-up of any length, arrivals have the constant rate at which the target number is
// in flight at its end.
type arrivals struct {
	scenario   Scenario
	rng        *rand.Rand
	meanRun    float64 // run time, in seconds
	rampUp     float64 // seconds
	rampUpRate float64 // arrivals per second during the ramp-up
	lastAt     float64 // seconds from the start to the last arrival
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

// next draws the next arrival. With an even load, intervals and run times are constant.
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

// send sends an invocation and counts its outcome.
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

// count counts an answer by its status.
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

// requestText returns the HTTP request of an invocation. The last element of its path is the run
// time in microseconds, which emulated workers read.
func (c *emulatedClients) requestText(scheduler int, n int64, op Operation, a arrival) string {
	const microsPerSecond = 1e6
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
