package gossip

import (
	"net/netip"
	"time"

	"stoatweir/dispatch"
)

// receivedDatagram is the loop task that processes one datagram from the reader goroutine.
type receivedDatagram struct {
	transport *Transport
	from      netip.AddrPort
	payload   []byte
}

// Run validates the datagram and passes its entries to OnReceive.
func (d receivedDatagram) Run() {
	t := d.transport
	t.pendingInLoop.Add(-1)
	if received, ok := t.validate(d.from, d.payload, t.loop.Now()); ok {
		t.Counts.Received.Add(1)
		t.OnReceive(received)
	}
}

// validate decodes a datagram. If the datagram is malformed, stale, or not from the scheduler that
// it names, validate increments the matching count and returns false. Only a valid datagram changes
// the window of its sender.
func (t *Transport) validate(from netip.AddrPort, payload []byte, now time.Duration) (_ dispatch.GossipReceived, ok bool) {
	h, encoded, ok := decodeHeader(payload)
	if !ok {
		t.Counts.Malformed.Add(1)
		return dispatch.GossipReceived{}, false
	}
	sender := int(h.sender)
	if sender >= len(t.addrs) || sender == t.self || t.addrs[sender] != from {
		t.Counts.UnknownSender.Add(1)
		return dispatch.GossipReceived{}, false
	}
	entries, ok := dispatch.DecodeGossip(encoded)
	if !ok {
		t.Counts.Malformed.Add(1)
		return dispatch.GossipReceived{}, false
	}
	window, ok := t.windows[sender].accept(h, now)
	if !ok {
		t.Counts.Stale.Add(1)
		return dispatch.GossipReceived{}, false
	}
	t.windows[sender] = window
	return dispatch.GossipReceived{From: sender, Entries: entries}, true
}
