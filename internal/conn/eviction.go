package conn

import "time"

var (
	// newConnGrace is the age below which a connection that has sent nothing is evicted only after
	// idle connections: its first request may have arrived and not been read yet.
	newConnGrace = 100 * time.Millisecond
	// stalledRequestAge is how long a connection with an incomplete request may receive no bytes
	// before it is evicted ahead of idle connections.
	stalledRequestAge = 700 * time.Millisecond
)

// newConnGraceDivisor divides newConnGrace to give the minimum age of new connections that are
// evicted after idle ones.
const newConnGraceDivisor = 5

// evictionRule selects the connections that have been in a state for at least minAge.
type evictionRule struct {
	state  State
	minAge time.Duration
}

// evictionOrder returns the rules in the order in which connections are evicted: first finished
// connections, those that have sent nothing, and those that have stalled within a request; then
// idle ones, whose clients lose only the connection; then younger ones without a complete request.
func evictionOrder() [7]evictionRule {
	return [...]evictionRule{
		{state: StateFinished},
		{state: StateNew, minAge: newConnGrace},
		{state: StateReading, minAge: stalledRequestAge},
		{state: StateReadingSlowly, minAge: stalledRequestAge},
		{state: StateIdle},
		{state: StateNew, minAge: newConnGrace / newConnGraceDivisor},
		{state: StateReading, minAge: newConnGrace},
	}
}

// evictDownTo evicts connections until at most limit descriptors are in use, not counting
// connections whose eviction is in progress. It returns false if no more connections may be
// evicted.
func (q *Quota) evictDownTo(limit int) bool {
	for q.used-len(q.evicting) > limit {
		c := q.evictionCandidate()
		if c == nil {
			return false
		}
		if c.state == StateFinished || c.closing {
			c.evict()
		} else {
			c.evictWhenDetached()
		}
	}
	return true
}

// evictionCandidate returns the connection to evict next: of those that the first matching eviction
// rule selects, the one that has been in its state longest. If no rule selects any, it returns a
// connection without a complete request, whatever its age. It returns nil if none may be evicted.
func (q *Quota) evictionCandidate() *Conn {
	for _, rule := range evictionOrder() {
		c := q.oldest(rule.state)
		if c != nil && q.loop.now >= c.stateSince+rule.minAge {
			return c
		}
	}
	oldestNew := q.oldest(StateNew)
	oldestReading := q.oldest(StateReading)
	switch {
	case oldestNew == nil && oldestReading == nil:
		return q.oldest(StateReadingSlowly)
	case oldestReading == nil:
		return oldestNew
	case oldestNew != nil && oldestNew.stateSince < oldestReading.stateSince:
		return oldestNew
	}
	return oldestReading
}

// oldest returns the evictable connection that has been in a state longest, or nil if there is
// none.
func (q *Quota) oldest(state State) *Conn {
	conns := q.evictable[state]
	if len(conns) == 0 {
		return nil
	}
	return conns[0]
}

// evictWhenDetached detaches the connection and then evicts it, unless it has changed state or
// received input in the meantime.
func (c *Conn) evictWhenDetached() {
	state := c.state
	since := c.stateSince
	c.quota.evicting[c] = struct{}{}
	c.Detach(func() {
		delete(c.quota.evicting, c)
		if c.state != state || c.stateSince != since || c.Readable() {
			c.Attach()
			return
		}
		c.evict()
	})
}

// evict closes the connection and notifies its handler with NoDescriptor.
func (c *Conn) evict() {
	handler := c.handler
	c.Close()
	if handler != nil {
		handler.Disconnected(c, NoDescriptor)
	}
}
