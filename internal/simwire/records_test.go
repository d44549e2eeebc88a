package simwire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
)

func decodeHex(text string) []byte {
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		panic(err)
	}
	return b
}

// printEvents decodes a frame, given in hexadecimal, and prints its events or the error.
func printEvents(frame string) {
	b, err := readBatch(bytes.NewReader(decodeHex(frame)))
	if err != nil {
		fmt.Println("error:", err)
		return
	}
	params := decodeParams{epoch: epoch(b.clock), report: settings.Report{Meanings: []string{"free slots", "waiting"}}}
	reader := newEventReader(b)
	for {
		r, more, err := reader.next(func(uint32) decodeParams { return params })
		if err != nil {
			fmt.Println("error:", err)
			return
		}
		if !more {
			return
		}
		if result, is := r.event.(dispatch.HealthCheckResult); is && result.Load != nil {
			fmt.Printf("%d load %+v\n", r.scheduler, *result.Load)
			result.Load = nil
			r.event = result
		}
		fmt.Printf("%d %T%+v\n", r.scheduler, r.event, r.event)
	}
}

// The frames are the examples of the protocol's specification, byte for byte.
func Example_events() {
	printEvents("0c000000 00000000 508d976e12d32040")
	printEvents(`59000000 03000000 508d976e12d32040
		03 03000000 c4913a5dfc7e0400 0000 0000 640ad2557c3bf091 b81e85eb51b8ce3f fa7e6abc7493883f 00000040 00000000 0100
		07 03000000 4d00000000000000
		06 05000000 192b6f0e4f080400`)
	printEvents(`4c000000 01000000 508d976e12d32040
		02 03000000 2900000000000000 01 02000000
		0a124a07 8b13 00 00 0000 01 0000803f 0000000000000000
		0a9011f2 b413 01 00 0000 01 0000c03f 6666666666661840`)
	printEvents("2d000000 01000000 508d976e12d32040 05 03000000 c4913a5dfc7e0400 00 6400 8b6ce7fba9f1923f 00 01 0a124a07 8b13 00")
	printEvents("2a000000 01000000 0000000000000000 08 01000000 0a124a07 8b13 6400 fca9f1d24d62503f 02 00004040 00008040")
	// Output:
	// 3 dispatch.Arrival{Invocation:1265522267820484 Operation:0 Tenant:0 Budget:240ms Hint:0.012 Slots:2}
	// 3 dispatch.TimerFired{}
	// 5 dispatch.ClientDisconnected{Invocation:1135035544447769}
	// 3 dispatch.EndpointUpdate{Kind:2 Endpoints:[{Worker:10.18.74.7:5003 Zone:0 Kind:0 Cell:0 State:1 StartKnown:false StartedAt:0s Incarnation:0} {Worker:10.144.17.242:5044 Zone:1 Kind:0 Cell:0 State:1 StartKnown:true StartedAt:-2.31225s Incarnation:1270578496506761185}]}
	// 3 dispatch.Outcome{Invocation:1265522267820484 Worker:10.18.74.7:5003 Attempt:0 Result:0 Answered:true Load:<nil>}
	// 1 load {FreeSlots:3 Queued:4 InFlight:0 Busy:0 ServiceTime:0 ErrorRate:0}
	// 1 dispatch.HealthCheckResult{Worker:10.18.74.7:5003 Result:0 Latency:1ms Load:<nil>}
}

// Replies are encoded as frames; an empty reply consists of its header.
func Example_actions() {
	r := newReply()
	fmt.Println(hex.EncodeToString(r.frame()))
	r.reset()
	worker := netip.AddrPortFrom(netip.AddrFrom4([4]byte{0x0a, 0x12, 0x4a, 0x07}), 0x138b)
	r.action(3, 0, dispatch.Forward{Invocation: 0x47efc5d3a91c4, Worker: worker})
	r.action(3, 8, dispatch.SetTimer{At: 500 * time.Millisecond})
	r.action(3, 0, dispatch.Log{Message: "two workers known"})
	b := r.frame()
	for _, cut := range []int{8, 27, 21} {
		fmt.Println(hex.EncodeToString(b[:cut]))
		b = b[cut:]
	}
	fmt.Println(hex.EncodeToString(b))
	// Output:
	// 0400000000000000
	// 4c00000003000000
	// 0103000000c4913a5dfc7e040000000000000000000a124a078b13
	// 050300000000000000000021400000000000000000
	// 0903000000110074776f20776f726b657273206b6e6f776e
}

// A malformed frame gives an error that tells the fault, and no event in place of the bad record.
func Example_malformed() {
	printEvents("0c00")
	printEvents("04000000 00000000")
	printEvents("ffffffff 00000000")
	printEvents("20000000 00000000 508d976e12d32040")
	printEvents("0c000000 01000000 508d976e12d32040")
	printEvents("11000000 01000000 508d976e12d32040 63 00000000")
	printEvents("12000000 00000000 508d976e12d32040 07 00000000 00")
	printEvents("15000000 01000000 508d976e12d32040 07 00000000 00000000")
	printEvents("1e000000 01000000 508d976e12d32040 02 00000000 0000000000000000 01 ffffff7f")
	printEvents("20000000 01000000 508d976e12d32040 01 00000000 0000000000000000 03000000 7b7d7d")
	// Output:
	// error: frame cut short in its length field
	// error: frame of 4 bytes is too short for its header
	// error: frame of 4294967295 bytes is over the limit of 268435456
	// error: frame cut short: 12 of 32 bytes
	// error: event code 0: record cut short: 1 bytes wanted, 0 left
	// error: event code 99: unknown event code
	// error: 6 bytes are left over after the last record
	// error: event code 7: record cut short: 8 bytes wanted, 4 left
	// error: event code 2: list of 2147483647 entries does not fit in 0 bytes
	// error: event code 1: settings: invalid character '}' after top-level value
}

func TestEndOfInput(t *testing.T) {
	if _, err := readBatch(strings.NewReader("")); err != io.EOF {
		t.Errorf("at the end of input: got error %v, want io.EOF", err)
	}
}
