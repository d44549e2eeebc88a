package conn

import "time"

// Quota is a part of the descriptors. Each side of the service has one of its own: a crowd on the one
// must not take what the other needs.
type Quota struct {
	OnFree func() // is called when a descriptor is free again; may be nil

	loop         *Loop
	used         int
	limit        int
	discardPause time.Duration       // of readers that discard, after each read
	evictable    [stateCount][]*Conn // by state, the longest in it first
	flushing     map[*Conn]struct{}  // closing, and their last answer may not have arrived
	evicting     map[*Conn]struct{}  // being detached to be evicted: a request of theirs may have been read
}

// NewQuota returns a quota of limit descriptors.
func (l *Loop) NewQuota(limit int) *Quota {
	return &Quota{
		loop:         l,
		limit:        limit,
		discardPause: discardPause,
		flushing:     map[*Conn]struct{}{},
		evicting:     map[*Conn]struct{}{},
	}
}

// Resize changes the number of descriptors. Connections beyond it are evicted as far as they may be;
// the others keep new ones from coming.
func (q *Quota) Resize(limit int) {
	q.limit = limit
	q.evictDownTo(limit)
	if q.OnFree != nil {
		q.OnFree()
	}
}

// EnsureFree reports whether one more descriptor can be used with at least reserve left after it, and
// evicts connections for that. Their handlers are notified as if the peer had closed them. What may
// still hold a request is evicted only once all that was read of it is in: OnFree is called then.
func (q *Quota) EnsureFree(reserve int) bool {
	if !q.evictDownTo(q.limit - reserve - 1) {
		return false
	}
	return q.used+reserve < q.limit
}

// Available returns the number of free descriptors, with no connection evicted for them.
func (q *Quota) Available() int { return q.limit - q.used }

// Used returns the number of descriptors in use.
func (q *Quota) Used() int { return q.used }

// AllFlushed reports whether no connection that its owner has closed has bytes left to write, or has
// just written its last: an end of the program before that could cost its peer an answer.
func (q *Quota) AllFlushed() bool { return len(q.flushing) == 0 }

// release gives the connection's descriptor back.
func (c *Conn) release() {
	c.SetState(StateActive)
	delete(c.quota.flushing, c)
	delete(c.quota.evicting, c)
	c.quota.used--
	if c.quota.OnFree != nil {
		c.quota.OnFree()
	}
}
