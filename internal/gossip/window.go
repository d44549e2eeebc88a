package gossip

import "time"

const (
	// windowBits is how many sequence numbers up to the highest one a window remembers.
	windowBits = 64
	// maxAhead is how far ahead of the highest one a sequence number may be; beyond it, modulo 2^32, it is behind.
	maxAhead uint32 = 1 << 31
	// epochQuietPeriod is how long a sender must not have been heard before an earlier epoch passes for a later
	// start. An epoch is a time of the wall clock, which may be stepped back between two starts; no datagram is on
	// its way for that long.
	epochQuietPeriod = 2 * time.Second
)

// sequenceWindow is what was last received from one scheduler.
type sequenceWindow struct {
	epoch      uint64
	highest    uint32        // sequence number
	seen       uint64        // bit n: highest-n was received
	receivedAt time.Duration // by the loop's clock
}

// accept returns the window after a datagram, or false where that is a duplicate, too old, or from before the
// sender's last start.
func (w sequenceWindow) accept(h header, now time.Duration) (sequenceWindow, bool) {
	if h.epoch < w.epoch && now < w.receivedAt+epochQuietPeriod {
		return w, false
	}
	if h.epoch != w.epoch {
		return sequenceWindow{epoch: h.epoch, highest: h.sequence, seen: 1, receivedAt: now}, true
	}
	ahead := h.sequence - w.highest
	behind := w.highest - h.sequence
	switch {
	case ahead == 0:
		return w, false
	case ahead <= maxAhead:
		w.seen = w.seen<<min(ahead, windowBits) | 1
		w.highest = h.sequence
	case behind >= windowBits || w.seen>>behind&1 == 1:
		return w, false
	default: // overtaken on its way
		w.seen |= 1 << behind
	}
	w.receivedAt = now
	return w, true
}
