package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// A scheduler that restarts after its wall clock was stepped back is accepted within seconds. A
// late datagram from before the restart is rejected.
func TestRestartOnSteppedClockIsAccepted(t *testing.T) {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	transport := &Transport{addrs: []netip.AddrPort{at(1), at(2)}, windows: map[int]sequenceWindow{}}
	hour := uint64(time.Hour)
	var now time.Duration
	accepted := func(epoch uint64, sequence uint32) bool {
		_, ok := transport.validate(at(2), encodeDatagram(1, epoch, sequence, attemptStarted), now)
		return ok
	}
	now = time.Second
	if !accepted(2*hour, 7) {
		t.Fatal("the first datagram of the sender is rejected")
	}
	now += 100 * time.Millisecond
	if accepted(hour, 3) {
		t.Error("a datagram of a lower epoch that may be late is accepted")
	}
	now += 5 * time.Second
	if !accepted(hour, 1) {
		t.Error("a restart on a clock that was stepped back is rejected")
	}
	now += 10 * time.Millisecond
	if !accepted(hour, 2) {
		t.Error("the second datagram after that restart is rejected")
	}
	if !accepted(3*hour, 1) {
		t.Error("a start with a higher epoch is not accepted immediately")
	}
}
