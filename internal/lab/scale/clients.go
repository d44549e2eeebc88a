package scale

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clients hand in each invocation at its time, whatever has become of those before, over connections that they keep.
type clients struct {
	p   Part
	ctx context.Context

	mu   sync.Mutex
	idle [][]net.Conn // by scheduler

	offered, succeeded, throttled, errored, broken, inHand, late atomic.Int64
}

func newClients(ctx context.Context, p Part) (*clients, error) {
	return &clients{p: p, ctx: ctx, idle: make([][]net.Conn, len(p.Schedulers))}, nil
}

func (c *clients) carry(o Order) (Stats, error) {
	switch o.Do {
	case "begin", "stats":
	case "start":
		for n := range c.p.Schedulers {
			go c.arrive(n, o.For)
		}
	default:
		return Stats{}, fmt.Errorf("clients: %q is no order", o.Do)
	}
	return Stats{Offered: c.offered.Load(), Succeeded: c.succeeded.Load(), Throttled: c.throttled.Load(), Errored: c.errored.Load(),
		Broken: c.broken.Load(), InHand: c.inHand.Load(), LateMost: time.Duration(c.late.Load())}, nil
}

// arrive plays the arrivals of one scheduler. Runs have no memory: a pool that holds the number aimed at goes on holding it,
// and it is filled within any time at a rate that has as many under way at its end.
func (c *clients) arrive(scheduler int, fill time.Duration) {
	s := c.p.Scenario
	chance := rand.New(rand.NewPCG(uint64(s.Seed), uint64(scheduler)))
	mean := s.run().Seconds()
	first := float64(s.InHand) / (mean * -math.Expm1(-fill.Seconds()/mean))
	began := time.Now()
	at := 0.0
	for n := int64(1); ; n++ {
		rate := s.Starts
		if at < fill.Seconds() {
			rate = first
		}
		gap := 1.0
		if !s.Even {
			gap = chance.ExpFloat64()
		}
		at += gap / rate
		run := mean * chance.ExpFloat64()
		if s.Even {
			run = mean
		}
		run = max(run, 0.05)
		hint := run
		if !s.Even {
			hint *= math.Exp(0.2 * chance.NormFloat64()) // clients know it roughly
		}
		when := began.Add(time.Duration(at * float64(time.Second)))
		select {
		case <-time.After(time.Until(when)):
		case <-c.ctx.Done():
			return
		}
		if late := int64(time.Since(when)); late > c.late.Load() {
			c.late.Store(late)
		}
		go c.hand(scheduler, n, s.Operations[int(n)%len(s.Operations)], run, hint)
	}
}

func (c *clients) hand(scheduler int, n int64, op Operation, run, hint float64) {
	c.offered.Add(1)
	c.inHand.Add(1)
	defer c.inHand.Add(-1)
	addr, id := c.p.Schedulers[scheduler], idOf(scheduler, n)
	key := ""
	if op.Effect == "deduplicated" {
		key = "Idempotency-Key: " + id + "\r\n"
	}
	request := fmt.Sprintf("POST /%s/%d HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %.3f\r\nX-Call-Cost: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		op.Name, int64(run*1e6), addr, id, op.Name, c.p.Scenario.timeout().Seconds(), int64(hint*1e6), key, c.p.Scenario.Body, body(c.p.Scenario.Body))
	c.mu.Lock()
	var nc net.Conn
	if kept := c.idle[scheduler]; len(kept) > 0 {
		nc, c.idle[scheduler] = kept[len(kept)-1], kept[:len(kept)-1]
	}
	c.mu.Unlock()
	if nc == nil {
		var err error
		if nc, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
			c.broken.Add(1)
			return
		}
	}
	if _, err := io.WriteString(nc, request); err != nil {
		c.broken.Add(1)
		nc.Close()
		return
	}
	out, err := http.ReadResponse(bufio.NewReaderSize(nc, 256), nil)
	if err != nil {
		c.broken.Add(1)
		nc.Close()
		return
	}
	io.Copy(io.Discard, out.Body)
	switch out.StatusCode {
	case 200:
		c.succeeded.Add(1)
	case 429, 503:
		c.throttled.Add(1)
	default:
		c.errored.Add(1)
	}
	if out.Close {
		nc.Close()
		return
	}
	c.mu.Lock()
	c.idle[scheduler] = append(c.idle[scheduler], nc)
	c.mu.Unlock()
}

func body(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'x'
	}
	return string(b)
}
