package model

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

const (
	// duplicateReplyPeriod is how long after its deadline a request may still get another reply.
	duplicateReplyPeriod = 5 * time.Second
	// stormBackoff is the wait before each retry during a retry storm.
	stormBackoff = time.Millisecond
	// noScheduler is the index that Route returns when all schedulers are known to be down.
	noScheduler = -1
)

// repliedRequest is a request whose client has got a reply.
type repliedRequest struct {
	id        int64
	expiresAt time.Duration
}

// Route returns the index of the scheduler that a request is sent to: one of its zone, or of
// another zone if all of those are down; -1 if all schedulers are. The search starts at a scheduler
// chosen by a hash of the request.
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
		case c.scenario.ZoneOfScheduler(scheduler) == r.Zone:
			return scheduler
		case otherZone == noScheduler:
			otherZone = scheduler
		}
	}
	return otherZone
}

// Retry returns the retry that a client makes after a request ended with reply, or false if it
// makes none: the request succeeded, its client disconnected, or the retries or the time are used
// up. retryAfter is the delay that the scheduler asked for; 0: none.
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

// backoff draws the time that a client waits before its retry.
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

// FirstReply reports whether a request ends for its client for the first time, and records that it
// has ended. An answer, a broken connection and the client timeout of one request may follow one
// another, and only the first of them counts.
func (c *Clients) FirstReply(r *Request) bool {
	if c.replied[r.ID] {
		return false
	}
	c.replied[r.ID] = true
	c.repliedExpiry = append(c.repliedExpiry, repliedRequest{id: r.ID, expiresAt: r.Deadline + duplicateReplyPeriod})
	for len(c.repliedExpiry) > 0 && c.repliedExpiry[0].expiresAt < r.At {
		delete(c.replied, c.repliedExpiry[0].id)
		c.repliedExpiry = c.repliedExpiry[1:]
	}
	return true
}
