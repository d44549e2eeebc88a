package conn

import (
	"slices"
	"time"
)

// slowRequestGap is the shortest time between the first bytes of a request and later ones that
// makes the peer count as sending slowly. Shorter gaps occur when the network splits a request into
// packets.
const slowRequestGap = 20 * time.Millisecond

// State says what a connection is used for, which determines what would be lost by evicting it.
type State uint8

// The states of a connection.
const (
	StateActive        State = iota // carries an invocation or a response; never evicted
	StateNew                        // nothing received yet, but a request may be on its way
	StateReading                    // part of a request received; it is not admitted before it is complete
	StateReadingSlowly              // like StateReading, but later parts arrived after slowRequestGap
	StateIdle                       // not in use; another request may follow
	StateFinished                   // not in use; no further request is expected

	stateCount
)

// SetState sets the connection's state, which is StateActive at first. Setting StateReading again
// means that more of the request was received: once slowRequestGap has passed since the first
// bytes, each such call sets StateReadingSlowly and restarts the time in that state.
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

// readsSlowly reports whether a request of which more bytes were just received is being sent
// slowly.
func (c *Conn) readsSlowly() bool {
	switch c.state {
	case StateReadingSlowly:
		return true
	case StateReading:
		return c.loop.now >= c.stateSince+slowRequestGap
	}
	return false
}

// addEvictable adds the connection to those that may be evicted, unless it is active or detached. A
// detached connection is about to be closed or passed to another process.
func (c *Conn) addEvictable() {
	if c.state != StateActive && c.onDetached == nil {
		c.quota.evictable[c.state] = append(c.quota.evictable[c.state], c)
	}
}

// removeEvictable removes the connection from those that may be evicted, if it is one of them.
func (c *Conn) removeEvictable() {
	conns := &c.quota.evictable[c.state]
	if i := slices.Index(*conns, c); i >= 0 {
		*conns = slices.Delete(*conns, i, i+1)
	}
}
