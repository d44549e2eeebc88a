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

// A number, a start and a count whose bytes all differ.
const goldenNumber, goldenEpoch, goldenCount = 0x0102, 0x030405060708090a, 0x0b0c0d0e

// goldenNotes has each kind of note with all that it carries, by itself, then all kinds in one call, then more than one datagram holds.
func goldenNotes() (calls [][]dispatch.GossipEntry) {
	kinds := []dispatch.GossipEntry{{Kind: dispatch.GossipRestarted}, {Kind: dispatch.GossipAttemptStarted, Serial: 0x21, Tag: 0x7fedc},
		{Kind: dispatch.GossipAttemptEnded, Serial: 0x43}, {Kind: dispatch.GossipCapacityQuery, Tag: 0x5a9b8}, {Kind: dispatch.GossipCapacityReply, Serial: 0xfe, Tag: 0x12345}}
	var many []dispatch.GossipEntry
	for n := range 100 {
		many = append(many, dispatch.GossipEntry{Kind: dispatch.GossipAttemptStarted, Serial: uint8(n + 1), Tag: uint32(n+1) * 5000})
	}
	for _, n := range kinds {
		calls = append(calls, []dispatch.GossipEntry{n})
	}
	return append(calls, kinds, many)
}

func goldenAddrs() (addrs []netip.AddrPort) {
	for n := range goldenNumber + 1 {
		addrs = append(addrs, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1)))
	}
	return addrs
}

// Datagrams are the same to the byte, and the recorded ones are read as the notes that they were written from.
func TestGoldenDatagrams(t *testing.T) {
	addrs := goldenAddrs()
	sending := newRoad(conn.NewLoop(time.Time{}), addrs, goldenNumber, goldenEpoch)
	sending.count = goldenCount - 1
	var lines strings.Builder
	for _, notes := range goldenNotes() {
		sending.Send(0, notes)
		for len(sending.out) > 0 {
			lines.WriteString(hex.EncodeToString((<-sending.out).bytes) + "\n")
		}
	}
	recorded := golden.Compare(t, "datagrams.hex", []byte(lines.String()))

	var wanted, got []dispatch.GossipEntry
	for _, notes := range goldenNotes() {
		wanted = append(wanted, notes...)
	}
	reading := newRoad(conn.NewLoop(time.Time{}), addrs, 0, 1)
	for line := range strings.Lines(string(recorded)) {
		b, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		told, ok := reading.sift(addrs[goldenNumber], b)
		if !ok || told.From != goldenNumber {
			t.Fatal(line, ok, told.From)
		}
		got = append(got, told.Entries...)
	}
	if diff := cmp.Diff(wanted, got); diff != "" {
		t.Error(diff)
	}
	s := reading.senders[goldenNumber]
	if s.epoch != goldenEpoch || s.last != sending.count || s.last <= goldenCount {
		t.Error(s, sending.count)
	}
}

// The counts keep their keys.
func TestGoldenFigures(t *testing.T) {
	r := &Transport{}
	c := &r.Counts
	c.Sent.Store(1)
	c.Heard.Store(2)
	c.Unsent.Store(3)
	c.Foreign.Store(4)
	c.Old.Store(5)
	c.Broken.Store(6)
	c.Crowded.Store(7)
	text, err := json.MarshalIndent(r.CountsByName(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]uint64
	if err := json.Unmarshal(golden.Compare(t, "figures.json", text), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r.CountsByName(), got); diff != "" {
		t.Error(diff)
	}
}
