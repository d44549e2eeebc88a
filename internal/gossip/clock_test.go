package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// A scheduler that starts anew on a wall clock which has been stepped back is heard within seconds, and what is late from before its start
// is not.
func TestStartOnSteppedClock(t *testing.T) {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	r := &Transport{addrs: []netip.AddrPort{at(1), at(2)}, senders: map[int]sender{}}
	hour := uint64(time.Hour)
	heard := func(epoch uint64, count uint32) bool {
		_, ok := r.sift(at(2), frame(1, epoch, count, word))
		return ok
	}
	if r.now = time.Second; !heard(2*hour, 7) {
		t.Fatal("the first start is not heard")
	}
	if r.now += 100 * time.Millisecond; heard(hour, 3) {
		t.Error("what may be late from before the start is taken")
	}
	if r.now += 5 * time.Second; !heard(hour, 1) {
		t.Error("a start on a clock that was stepped back is not heard")
	}
	if r.now += 10 * time.Millisecond; !heard(hour, 2) {
		t.Error("nor is what follows")
	}
	if !heard(3*hour, 1) {
		t.Error("a later start is not heard at once")
	}
}
