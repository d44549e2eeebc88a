package conn

import "time"

var (
	// newGrace is how long a connection that has sent nothing is evicted after idle ones only: a
	// request may be there unread.
	newGrace = 100 * time.Millisecond
	// stalledAfter is how long a connection without a whole request may receive no byte until it is
	// evicted before idle ones.
	stalledAfter = 700 * time.Millisecond
)

// newGraceDivisor divides newGrace for what is evicted after idle connections.
const newGraceDivisor = 5

// evictionRule names the connections that have been in a state for some time at least.
type evictionRule struct {
	state  State
	minAge time.Duration
}

// evictionOrder returns whom to evict first: those on which nothing is to come, those that send
// nothing, those that have stopped in the midst of a request; then idle ones, whose clients lose
// nothing but a connection; then those without a whole request that have had some time.
func evictionOrder() [7]evictionRule {
	return [...]evictionRule{
		{state: StateFinished},
		{state: StateNew, minAge: newGrace},
		{state: StateReading, minAge: stalledAfter},
		{state: StateReadingSlowly, minAge: stalledAfter},
		{state: StateIdle},
		{state: StateNew, minAge: newGrace / newGraceDivisor},
		{state: StateReading, minAge: newGrace},
	}
}

// evictDownTo evicts connections until at most limit descriptors are in use, those that are being
// evicted left out. False: there is none left that may be evicted.
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

// evictionCandidate returns the connection whose loss costs least, of several the longest in its
// state; nil: none may be evicted. Those without a whole request come last, however short that is.
func (q *Quota) evictionCandidate() *Conn {
	for _, rule := range evictionOrder() {
		c := q.oldest(rule.state)
		if c != nil && q.loop.now >= c.stateSince+rule.minAge {
			return c
		}
	}
	silent := q.oldest(StateNew)
	reading := q.oldest(StateReading)
	switch {
	case silent == nil && reading == nil:
		return q.oldest(StateReadingSlowly)
	case reading == nil:
		return silent
	case silent != nil && silent.stateSince < reading.stateSince:
		return silent
	}
	return reading
}

// oldest returns the evictable connection that has been in a state for longest; nil: there is none.
func (q *Quota) oldest(state State) *Conn {
	conns := q.evictable[state]
	if len(conns) == 0 {
		return nil
	}
	return conns[0]
}

// evictWhenDetached evicts the connection once all that was read is in, unless it has gone on by
// then.
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

// evict closes the connection and notifies its handler.
func (c *Conn) evict() {
	handler := c.handler
	c.Close()
	if handler != nil {
		handler.Disconnected(c, NoDescriptor)
	}
}
