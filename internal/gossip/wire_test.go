package gossip

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/golden"
)

// Header fields of the golden datagrams. All their bytes differ, so that no two can be swapped
// unnoticed.
const (
	goldenSender   = 0x0102
	goldenEpoch    = 0x030405060708090a
	goldenSequence = 0x0b0c0d0e
)

// goldenEntries returns the entries of each call of Send: each kind of entry by itself with all its
// fields, then all kinds in one call, then more entries than one datagram holds.
func goldenEntries() (calls [][]dispatch.GossipEntry) {
	kinds := []dispatch.GossipEntry{
		{Kind: dispatch.GossipRestarted},
		{Kind: dispatch.GossipAttemptStarted, Serial: 0x21, Tag: 0x7fedc},
		{Kind: dispatch.GossipAttemptEnded, Serial: 0x43},
		{Kind: dispatch.GossipCapacityQuery, Tag: 0x5a9b8},
		{Kind: dispatch.GossipCapacityReply, Serial: 0xfe, Tag: 0x12345},
	}
	var many []dispatch.GossipEntry
	for n := range 100 {
		many = append(many, dispatch.GossipEntry{Kind: dispatch.GossipAttemptStarted, Serial: uint8(n + 1), Tag: uint32(n+1) * 5000})
	}
	for _, entry := range kinds {
		calls = append(calls, []dispatch.GossipEntry{entry})
	}
	return append(calls, kinds, many)
}

// goldenAddrs returns the addresses of all schedulers up to goldenSender.
func goldenAddrs() (addrs []netip.AddrPort) {
	for n := range goldenSender + 1 {
		addrs = append(addrs, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1)))
	}
	return addrs
}

// Encoding yields the recorded datagrams byte for byte, and the recorded datagrams are decoded to
// the entries from which they were encoded.
func TestGoldenDatagrams(t *testing.T) {
	addrs := goldenAddrs()
	sending := newTransport(conn.NewLoop(time.Time{}), addrs, goldenSender, goldenEpoch)
	sending.sequence = goldenSequence - 1
	var lines strings.Builder
	for _, entries := range goldenEntries() {
		sending.Send(0, entries)
		for len(sending.outbox) > 0 {
			lines.WriteString(hex.EncodeToString((<-sending.outbox).payload) + "\n")
		}
	}
	recorded := golden.Compare(t, "datagrams.hex", []byte(lines.String()))

	var wanted, got []dispatch.GossipEntry
	for _, entries := range goldenEntries() {
		wanted = append(wanted, entries...)
	}
	receiving := newTransport(conn.NewLoop(time.Time{}), addrs, 0, 1)
	for line := range strings.Lines(string(recorded)) {
		b, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		message, ok := receiving.validate(addrs[goldenSender], b, 0)
		if !ok || message.From != goldenSender {
			t.Fatalf("recorded datagram %q: accepted %v, from scheduler %d, want it accepted from %d", line, ok, message.From, goldenSender)
		}
		got = append(got, message.Entries...)
	}
	if diff := cmp.Diff(wanted, got); diff != "" {
		t.Errorf("decoded entries (-want +got):\n%s", diff)
	}
	window := receiving.windows[goldenSender]
	if window.epoch != goldenEpoch || window.highest != sending.sequence || window.highest <= goldenSequence {
		t.Errorf("got window %+v, want epoch %d and highest sequence number %d", window, goldenEpoch, sending.sequence)
	}
}

// The counts keep the names that operators see.
func TestGoldenCounts(t *testing.T) {
	transport := &Transport{}
	c := &transport.Counts
	c.Sent.Store(1)
	c.Received.Store(2)
	c.NotSent.Store(3)
	c.UnknownSender.Store(4)
	c.Stale.Store(5)
	c.Malformed.Store(6)
	c.Dropped.Store(7)
	text, err := json.MarshalIndent(transport.CountsByName(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]uint64
	if err := json.Unmarshal(golden.Compare(t, "figures.json", text), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(transport.CountsByName(), got); diff != "" {
		t.Errorf("recorded counts (-counted +recorded):\n%s", diff)
	}
}
