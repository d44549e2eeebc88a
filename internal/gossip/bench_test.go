package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// Benchmarks for the figures of docs/CAPACITY.md on messages between schedulers.

// udpOverheadBytes is the length of the IPv4 and UDP headers, in bytes.
const udpOverheadBytes = 20 + 8

// BenchmarkSend encodes a message up to the socket, for one or for all of the given number of
// schedulers, and validates it at one receiver.
func BenchmarkSend(b *testing.B) {
	for _, schedulers := range []int{4, 8, 15, 30} {
		for _, to := range []string{"one", "all"} {
			b.Run(fmt.Sprint(to, "_of_", schedulers), func(b *testing.B) {
				var addrs []netip.AddrPort
				for n := range schedulers {
					addrs = append(addrs, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+n)))
				}
				loop := conn.NewLoop(time.Now())
				sending := newTransport(loop, addrs, 0, 1)
				receiving := &Transport{loop: loop, addrs: addrs, self: schedulers - 1, epoch: 1, windows: map[int]sequenceWindow{}}
				entries := []dispatch.GossipEntry{{Kind: dispatch.GossipAttemptStarted, Serial: 7, Tag: 99}}
				receiver := schedulers - 1
				size := 0
				if to == "all" {
					receiver = Broadcast
				}
				for b.Loop() {
					sending.Send(receiver, entries)
					for len(sending.outbox) > 0 {
						d := <-sending.outbox
						size += len(d.payload) + udpOverheadBytes
						if d.to == addrs[receiving.self] {
							if _, ok := receiving.validate(addrs[0], d.payload, loop.Now()); !ok {
								b.Fatal("rejected")
							}
						}
					}
				}
				b.ReportMetric(float64(size)/float64(b.N), "bytes/op")
			})
		}
	}
}

// BenchmarkSerials measures how often the end of one attempt would be attributed to another: an
// entry holds the low eight bits of its sender's counter, by which the owner of the worker
// identifies the attempt. The given number of attempts of one sender are in flight at workers of 15
// owners and end in random order. It models the encoding alone.
func BenchmarkSerials(b *testing.B) {
	for _, inFlight := range []int{25, 50, 100, 200, 400, 800, 1500, 3000, 5900} {
		b.Run(fmt.Sprint(inFlight), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(misattributed(inFlight, 15, 20000), "mistaken")
			}
		})
	}
}

// misattributed returns the fraction of ends that an owner attributes to another attempt, or to
// none.
func misattributed(inFlight, owners, ends int) float64 {
	type attempt struct{ id, owner int }
	random := rand.New(rand.NewPCG(1, 1))
	known := make([]map[uint8]int, owners) // by owner, the attempt by its serial
	for owner := range known {
		known[owner] = map[uint8]int{}
	}
	var running []attempt
	wrong := 0
	sent := 0
	send := func() {
		a := attempt{id: sent, owner: random.IntN(owners)}
		known[a.owner][dispatch.GossipEntry{Serial: uint8(sent)}.Serial] = sent
		running = append(running, a)
		sent++
	}
	for range inFlight {
		send()
	}
	for range ends {
		index := random.IntN(len(running))
		ended := running[index]
		running[index] = running[len(running)-1]
		running = running[:len(running)-1]
		if id, found := known[ended.owner][uint8(ended.id)]; !found || id != ended.id {
			wrong++
		}
		delete(known[ended.owner], uint8(ended.id))
		send()
	}
	return float64(wrong) / float64(ends)
}
