package conn

import (
	"slices"
	"time"
)

// young is how long a connection that has said nothing comes behind idle ones: a request may be there unread. stalled is
// how long one without a whole request may be without a byte until it comes before them.
var young, stalled = 100 * time.Millisecond, 700 * time.Millisecond

// goesOn is how long after its first bytes more of them show that a request is written slowly, not cut up on its way.
const goesOn = 20 * time.Millisecond

// Use tells what would be lost if a connection were closed for want of descriptors.
type State uint8

const (
	StateActive        State = iota // an invocation, or an answer
	StateNew                        // a request may be on its way, but nothing has come
	StateReading                    // a request that is not whole yet, and so is not taken
	StateReadingSlowly              // the same, and it has gone on
	StateIdle                       // nothing
	StateFinished                   // nothing, and nothing is to be expected
)

// Set says what the connection is in use for; it is Busy to begin with. Begun again is progress.
func (c *Conn) SetState(u State) {
	switch {
	case u == StateReading && (c.use == StateReadingSlowly || c.use == StateReading && c.loop.now >= c.since+goesOn):
		u = StateReadingSlowly
	case c.use == u || c.ended && u != StateActive:
		return
	}
	c.unlist()
	c.use, c.since = u, c.loop.now
	c.list()
}

func (c *Conn) unlist() {
	spare := &c.share.spare[c.use]
	if at := slices.Index(*spare, c); at >= 0 {
		*spare = slices.Delete(*spare, at, at+1)
	}
}

// list enters the connection among those that may end for want of descriptors. One that is stopped already goes its way.
func (c *Conn) list() {
	if c.use != StateActive && c.detached == nil {
		c.share.spare[c.use] = append(c.share.spare[c.use], c)
	}
}

func (c *Conn) release() {
	c.SetState(StateActive)
	delete(c.share.flushing, c)
	delete(c.share.parting, c)
	c.share.used--
	if c.share.OnFree != nil {
		c.share.OnFree()
	}
}

// Share is a part of the descriptors. Each side of the service has one of its own: a crowd on the one must not take
// what the other lives on.
type Quota struct {
	OnFree func() // a descriptor is free again; may be nil

	loop       *Loop
	used, most int
	rest       time.Duration              // between gulps
	spare      [StateFinished + 1][]*Conn // by use, oldest first
	flushing   map[*Conn]struct{}
	parting    map[*Conn]struct{} // stopped for want of descriptors: a request of theirs may have been read
}

// Share sets so many descriptors apart.
func (l *Loop) NewQuota(most int) *Quota {
	return &Quota{loop: l, most: most, rest: rest, flushing: map[*Conn]struct{}{}, parting: map[*Conn]struct{}{}}
}

// Resize gives the share more or less. What is over it goes as far as it may; what can't go keeps others from coming.
func (s *Quota) Resize(most int) {
	s.most = most
	s.EnsureFree(-1)
	if s.OnFree != nil {
		s.OnFree()
	}
}

// Flushed tells that no connection whose owner has done with it has bytes left to send, or has just sent its last: an end of
// the program before that could cost its peer an answer.
func (s *Quota) AllFlushed() bool { return len(s.flushing) == 0 }

// Room tells how many more descriptors there are, with none given up for them.
func (s *Quota) Available() int { return s.most - s.used }

// Used tells how many descriptors are in use.
func (s *Quota) Used() int { return s.used }

// Spare tells whether one more descriptor can be had with at least keep left. To make room, connections of least use
// end, the oldest first: those that say nothing or send half requests could hold all descriptors, and nobody else would
// get in. Their owners hear so as if the peer had closed them. What may still hold a request ends only once all that was
// read of it is in: Freed tells of that room.
func (s *Quota) EnsureFree(keep int) bool {
	for s.used-len(s.parting)+keep >= s.most {
		c := s.leastUseful()
		if c == nil {
			return false
		}
		if c.use == StateFinished || c.quits {
			c.crowdedOut()
			continue
		}
		use, since := c.use, c.since
		s.parting[c] = struct{}{}
		c.Detach(func() {
			if delete(s.parting, c); c.use != use || c.since != since || c.Readable() {
				c.Attach() // it has gone on, or goes on just now
				return
			}
			c.crowdedOut()
		})
	}
	return s.used+keep < s.most
}

func (c *Conn) crowdedOut() {
	owner := c.owner
	if c.Close(); owner != nil {
		owner.Disconnected(c, NoDescriptor)
	}
}

// leastUseful: those on which nothing is to come, those that say nothing, those that have stopped in the midst; then idle
// ones, whose clients lose nothing but a connection; then whatever has no whole request. Always the longest so.
func (s *Quota) leastUseful() *Conn {
	for _, v := range []struct {
		use  State
		span time.Duration
	}{{StateFinished, 0}, {StateNew, young}, {StateReading, stalled}, {StateReadingSlowly, stalled}, {StateIdle, 0}, {StateNew, young / 5},
		{StateReading, young}} {
		if spare := s.spare[v.use]; len(spare) > 0 && s.loop.now >= spare[0].since+v.span {
			return spare[0]
		}
	}
	mute, begun := s.spare[StateNew], s.spare[StateReading]
	switch {
	case len(mute) == 0 && len(begun) == 0 && len(s.spare[StateReadingSlowly]) > 0:
		return s.spare[StateReadingSlowly][0]
	case len(mute) == 0 && len(begun) == 0:
		return nil
	case len(begun) == 0 || len(mute) > 0 && mute[0].since < begun[0].since:
		return mute[0]
	}
	return begun[0]
}
