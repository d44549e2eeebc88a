package gossip

import "time"

const (
	// windowBits is the number of sequence numbers, up to the highest one, that a window remembers.
	windowBits = 64
	// maxSequenceAhead is the largest distance by which a sequence number may be ahead of the
	// highest one; modulo 2^32, a larger distance means that it is behind.
	maxSequenceAhead uint32 = 1 << 31
	// epochQuietPeriod is how long nothing must have been received from a sender before a lower
	// epoch is accepted as a later start. An epoch is a time of the wall clock, which may be
	// stepped back between two starts. No datagram is in transit for that long.
	epochQuietPeriod = 2 * time.Second
)

// sequenceWindow records which datagrams were last received from one scheduler.
type sequenceWindow struct {
	epoch      uint64
	highest    uint32        // highest sequence number received
	seen       uint64        // bit n is set if highest-n was received
	receivedAt time.Duration // of the last datagram, by the loop's clock
}

// accept returns the window as updated by a datagram, or false if the datagram is a duplicate, too
// old, or from before the sender's last start.
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
	case ahead <= maxSequenceAhead:
		w.seen = w.seen<<min(ahead, windowBits) | 1
		w.highest = h.sequence
	case behind >= windowBits || w.seen>>behind&1 == 1:
		return w, false
	default: // overtaken in transit
		w.seen |= 1 << behind
	}
	w.receivedAt = now
	return w, true
}
