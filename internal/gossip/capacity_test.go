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

// The figures of docs/CAPACITY.md for messages between schedulers.

// inUDP is what an IPv4 datagram has before its bytes.
const inUDP = 20 + 8

// BenchmarkSend writes a message to its last byte before the socket, to so many schedulers, and reads it at each.
func BenchmarkSend(b *testing.B) {
	for _, schedulers := range []int{4, 8, 15, 30} {
		for _, to := range []string{"one", "all"} {
			b.Run(fmt.Sprint(to, "_of_", schedulers), func(b *testing.B) {
				var addrs []netip.AddrPort
				for n := range schedulers {
					addrs = append(addrs, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+n)))
				}
				loop := conn.NewLoop(time.Now())
				r := newRoad(loop, addrs, 0, 1)
				other := &Transport{loop: loop, addrs: addrs, me: schedulers - 1, epoch: 1, senders: map[int]sender{}}
				notes, who, size := []dispatch.GossipEntry{{Kind: dispatch.GossipAttemptStarted, Serial: 7, Tag: 99}}, schedulers-1, 0
				if to == "all" {
					who = -1
				}
				for b.Loop() {
					r.Send(who, notes)
					for len(r.out) > 0 {
						d := <-r.out
						if size += len(d.bytes) + inUDP; d.to == addrs[other.me] {
							if _, ok := other.sift(addrs[0], d.bytes); !ok {
								b.Fatal("not taken")
							}
						}
					}
				}
				b.ReportMetric(float64(size)/float64(b.N), "bytes/op")
			})
		}
	}
}

// BenchmarkSerials tells how often a note's end would name another forward: a note has the last eight bits of its sender's
// count, and a keeper knows by them which forward has ended. So many forwards of one sender are out, over 15 keepers, and
// end in any order; a model of the form alone.
func BenchmarkSerials(b *testing.B) {
	for _, out := range []int{25, 50, 100, 200, 400, 800, 1500, 3000, 5900} {
		b.Run(fmt.Sprint(out), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(mistaken(out, 15, 20000), "mistaken")
			}
		})
	}
}

// mistaken is the part of ends that take another forward, or none, out of the keeper's book.
func mistaken(out, keepers, ends int) float64 {
	type forward struct{ id, keeper int }
	chance, books := rand.New(rand.NewPCG(1, 1)), make([]map[uint8]int, keepers)
	for k := range books {
		books[k] = map[uint8]int{}
	}
	var all []forward
	wrong, sent := 0, 0
	send := func() {
		f := forward{sent, chance.IntN(keepers)}
		books[f.keeper][dispatch.GossipEntry{Serial: uint8(sent)}.Serial] = sent
		all, sent = append(all, f), sent+1
	}
	for range out {
		send()
	}
	for range ends {
		at := chance.IntN(len(all))
		f := all[at]
		all[at] = all[len(all)-1]
		all = all[:len(all)-1]
		if was, known := books[f.keeper][uint8(f.id)]; !known || was != f.id {
			wrong++
		}
		delete(books[f.keeper], uint8(f.id))
		send()
	}
	return float64(wrong) / float64(ends)
}
