package conn

import "time"

// Quota limits the number of file descriptors that a group of connections may use. Each side of the
// service has its own quota, so that many connections on one side can't use up the descriptors that
// the other side needs.
type Quota struct {
	OnFree func() // called when a descriptor has been released or the limit has changed; may be nil

	loop         *Loop
	used         int
	limit        int
	discardPause time.Duration       // pause of a discarding reader after each read
	evictable    [stateCount][]*Conn // by state; the connection longest in the state comes first
	flushing     map[*Conn]struct{}  // closing connections whose peer may not have received the last answer
	evicting     map[*Conn]struct{}  // connections being detached for eviction; they may hold a request that was read but not handled
}

// NewQuota returns a quota that allows up to limit descriptors.
func (l *Loop) NewQuota(limit int) *Quota {
	return &Quota{
		loop:         l,
		limit:        limit,
		discardPause: discardPause,
		flushing:     map[*Conn]struct{}{},
		evicting:     map[*Conn]struct{}{},
	}
}

// Resize changes the limit. Excess connections are evicted if their state allows it. The others
// keep their descriptors, and EnsureFree fails until enough of them have been released.
func (q *Quota) Resize(limit int) {
	q.limit = limit
	q.evictDownTo(limit)
	if q.OnFree != nil {
		q.OnFree()
	}
}

// EnsureFree reports whether one more descriptor can be used and at least reserve descriptors are
// free after that, and evicts connections if necessary. The handlers of evicted connections are
// notified by Disconnected. A connection that may hold a received request is evicted only after
// everything that was read from it has been handled; EnsureFree returns false until then, and
// OnFree is called when the eviction has released the descriptor.
func (q *Quota) EnsureFree(reserve int) bool {
	if !q.evictDownTo(q.limit - reserve - 1) {
		return false
	}
	return q.used+reserve < q.limit
}

// Available returns the number of free descriptors without evicting a connection. It is negative
// while more descriptors are in use than the limit allows.
func (q *Quota) Available() int { return q.limit - q.used }

// Used returns the number of descriptors in use.
func (q *Quota) Used() int { return q.used }

// AllFlushed reports whether every connection closed by CloseAfterFlush has written all its bytes
// and its peer has probably received them. If the process exited earlier, the peer could lose an
// answer.
func (q *Quota) AllFlushed() bool { return len(q.flushing) == 0 }

// release returns the connection's descriptor to the quota.
func (c *Conn) release() {
	c.SetState(StateActive)
	delete(c.quota.flushing, c)
	delete(c.quota.evicting, c)
	c.quota.used--
	if c.quota.OnFree != nil {
		c.quota.OnFree()
	}
}
