package conn

import (
	"slices"
	"time"
)

// slowRequestGap is how long after its first bytes more of them show that a request is sent slowly,
// not cut up on its way.
const slowRequestGap = 20 * time.Millisecond

// State is what a connection is in use for, and so what would be lost if it were evicted.
type State uint8

// The states of a connection.
const (
	StateActive        State = iota // an invocation, or a response
	StateNew                        // nothing was received, but a request may be on its way
	StateReading                    // a request that is not whole yet, and so is not admitted
	StateReadingSlowly              // the same, and more of it came later
	StateIdle                       // nothing
	StateFinished                   // nothing, and nothing is to be expected

	stateCount
)

// SetState says what the connection is in use for; it begins with StateActive. StateReading again is
// progress of the request.
func (c *Conn) SetState(state State) {
	if state == StateReading && c.readsSlowly() {
		state = StateReadingSlowly
	} else if c.state == state || c.closed && state != StateActive {
		return
	}
	c.removeEvictable()
	c.state = state
	c.stateSince = c.loop.now
	c.addEvictable()
}

// readsSlowly reports whether more bytes of a request make it one that is sent slowly.
func (c *Conn) readsSlowly() bool {
	switch c.state {
	case StateReadingSlowly:
		return true
	case StateReading:
		return c.loop.now >= c.stateSince+slowRequestGap
	}
	return false
}

// addEvictable enters the connection among those that may be evicted. One that is detached is about
// to end, or to pass to another process.
func (c *Conn) addEvictable() {
	if c.state != StateActive && c.onDetached == nil {
		c.quota.evictable[c.state] = append(c.quota.evictable[c.state], c)
	}
}

// removeEvictable removes the connection from those that may be evicted.
func (c *Conn) removeEvictable() {
	conns := &c.quota.evictable[c.state]
	if i := slices.Index(*conns, c); i >= 0 {
		*conns = slices.Delete(*conns, i, i+1)
	}
}
