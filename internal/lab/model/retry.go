package model

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

const (
	// duplicateReplyPeriod is how long after its deadline a request can end once more.
	duplicateReplyPeriod = 5 * time.Second
	// stormBackoff is the backoff of clients during a retry storm.
	stormBackoff = time.Millisecond
	// noScheduler stands for no scheduler that could be sent to.
	noScheduler = -1
)

// repliedRequest is a request whose end its client knows.
type repliedRequest struct {
	id       int64
	forgetAt time.Duration
}

// Route returns the scheduler that a request goes to: one of its zone, or of another if all of these are known to be down;
// -1: all are.
func (c *Clients) Route(r *Request, down func(scheduler int) bool) int {
	h := fnv.New64a()
	fmt.Fprint(h, c.scenario.Seed, r.ID)
	count := c.scenario.Schedulers.Count
	first := int(h.Sum64() % uint64(count))
	otherZone := noScheduler
	for offset := range count {
		scheduler := (first + offset) % count
		switch {
		case down(scheduler):
		case c.scenario.Zone(scheduler) == r.Zone:
			return scheduler
		case otherZone == noScheduler:
			otherZone = scheduler
		}
	}
	return otherZone
}

// Retry returns the retry after a request that ended without a result, if its client makes one. retryAfter is the
// scheduler's advice, 0 if it gave none.
func (c *Clients) Retry(now time.Duration, r *Request, reply Reply, retryAfter time.Duration) (Request, bool) {
	if reply == Succeeded || reply == Disconnected {
		return Request{}, false
	}
	if r.Retry >= c.scenario.Clients.Retries+c.extraRetries || r.Retry >= maxRetries {
		return Request{}, false
	}
	deadline := r.IntendedAt + c.scenario.Operations[r.Operation].Timeout.D()
	next := *r
	next.Retry++
	next.ID++
	next.At = now + c.backoff(r, retryAfter)
	next.Deadline = deadline
	if next.At >= deadline {
		return Request{}, false
	}
	return next, true
}

// backoff draws how long a client waits before its retry.
func (c *Clients) backoff(r *Request, retryAfter time.Duration) time.Duration {
	rng := rand.New(rand.NewPCG(uint64(c.scenario.Seed), uint64(r.ID)))
	wait := time.Duration((0.5 + rng.Float64()) * float64(c.scenario.Clients.Backoff))
	if retryAfter > 0 && rng.Float64() < c.scenario.Clients.HonorRetryAfter {
		wait = max(wait, retryAfter)
	}
	if c.extraRetries > 0 {
		return stormBackoff
	}
	return wait
}

// FirstReply reports whether this is the first time that a request ends for its client: an answer, a broken connection and
// the client's timeout may follow one another.
func (c *Clients) FirstReply(r *Request) bool {
	if c.replied[r.ID] {
		return false
	}
	c.replied[r.ID] = true
	c.repliedExpiry = append(c.repliedExpiry, repliedRequest{id: r.ID, forgetAt: r.Deadline + duplicateReplyPeriod})
	for len(c.repliedExpiry) > 0 && c.repliedExpiry[0].forgetAt < r.At {
		delete(c.replied, c.repliedExpiry[0].id)
		c.repliedExpiry = c.repliedExpiry[1:]
	}
	return true
}
