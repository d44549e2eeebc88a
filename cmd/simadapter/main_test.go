package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"
)

// frame encodes a batch of records, which are given in hexadecimal with optional spaces.
func frame(t *testing.T, clock float64, records ...string) []byte {
	t.Helper()
	var body []byte
	for _, r := range records {
		b, err := hex.DecodeString(strings.ReplaceAll(r, " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		body = append(body, b...)
	}
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)+12))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(clock))
	return append(out, body...)
}

// start returns the record that starts an instance, in hexadecimal.
func start(instance, settings string) string {
	size := binary.LittleEndian.AppendUint32(nil, uint32(len(settings)))
	return "01" + instance + "0700000000000000" + hex.EncodeToString(size) + hex.EncodeToString([]byte(settings))
}

const (
	settings = `{"Discovery": "push", "PeersTotal": 1, "Operations": [{"Effect": "read_like", "LatencyObjective": 1}]}`
	list     = "0100000000000000 01 01000000 0a124a07 8b13 00 00 0000 01 0000803f 0000000000000000"
	arrival  = "0900000000000000 0000 0000 0000000000000000 0000000000001440 0000000000000000 0000803f 00000000 0000"
)

func TestInstancesShareNoState(t *testing.T) {
	var in, out bytes.Buffer
	in.Write(frame(t, 5))
	in.Write(frame(t, 6, start("01000000", settings), "02 01000000"+list, start("02000000", settings)))
	in.Write(frame(t, 7, "03 02000000"+arrival, "03 01000000"+arrival))
	in.Write(frame(t, 8, "0a 01000000", "07 01000000 0000000000000000"))
	if err := serve(&in, &out); err != nil {
		t.Fatal(err)
	}
	var got []string
	for out.Len() > 0 {
		size := binary.LittleEndian.Uint32(out.Next(4))
		got = append(got, hex.EncodeToString(out.Next(int(size))))
	}
	want := []string{
		"00000000", // no event
		// both instances set a timer; only instance 1 has got an endpoint list
		"02000000" + "050100000014ae47e17a1418400000000000000000" + "050200000014ae47e17a1418400000000000000000",
		// instance 2 queues its request, as it has no endpoint list; instance 1 forwards to its
		// worker; actions are in the order of the events
		"03000000" + "050200000014ae47e17a141c400000000000000000" +
			"0101000000090000000000000000000000000000000a124a078b13" + "050100000014ae47e17a141c400000000000000000",
		"00000000", // the timer of a stopped instance has no effect
	}
	if len(got) != len(want) {
		t.Fatalf("%d replies, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("reply %d:\n got %s\nwant %s", i, got[i], want[i])
		}
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	for name, input := range map[string][]byte{
		"settings that are not JSON": frame(t, 5, start("01000000", "{")),
		"an unknown event":           frame(t, 5, "63 01000000"),
		"a frame cut short":          frame(t, 5, "07 01000000 0000000000000000")[:20],
	} {
		if err := serve(bytes.NewReader(input), &bytes.Buffer{}); err == nil {
			t.Errorf("%s was accepted without an error", name)
		}
	}
}

// A panic of the dispatcher is reported to the simulator as an error and does not crash the
// adapter.
func TestPanicIsReportedOnTheWire(t *testing.T) {
	var out bytes.Buffer
	input := frame(t, 5, start("01000000", `{"PeersTotal": 1}`), "03 01000000"+arrival)
	if err := serve(bytes.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("the decisions panicked: ")) || out.Bytes()[8] != 10 {
		t.Errorf("the panic is not reported in %q", out.Bytes())
	}
}
