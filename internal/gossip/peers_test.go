package gossip

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// stand is one scheduler's end in a test: a socket of its own.
func stand(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// open makes a road whose number is 0 and which runs; heard gathers what it takes.
func open(t *testing.T, others ...netip.AddrPort) (r *Transport, heard chan dispatch.GossipReceived) {
	t.Helper()
	c, own := stand(t)
	c.Close()
	loop := conn.NewLoop(time.Now())
	heard = make(chan dispatch.GossipReceived, 1000)
	r = Open(loop, append([]netip.AddrPort{own}, others...), 0, time.Now(), func(err error) { t.Log(err) })
	r.OnReceive = func(told dispatch.GossipReceived) { heard <- told }
	ended := make(chan struct{})
	go func() { loop.Run(func() {}); close(ended) }()
	t.Cleanup(func() { r.Close(); loop.PostUrgent(stopper{loop}); <-ended })
	return r, heard
}

type stopper struct{ *conn.Loop }

func (s stopper) Run() { s.Stop() }

func frame(number uint16, epoch uint64, count uint32, notes ...dispatch.GossipEntry) []byte {
	b := binary.BigEndian.AppendUint16([]byte{version}, number)
	b = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(b, epoch), count)
	return append(b, dispatch.EncodeGossip(notes)[0]...)
}

var word = dispatch.GossipEntry{Kind: dispatch.GossipAttemptStarted, Serial: 5, Tag: 77}

// What is doubled, old, foreign, cut or garbled is dropped and counted; what was overtaken on its way is taken.
func Example_sift() {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	r := &Transport{addrs: []netip.AddrPort{at(1), at(2), at(3)}, senders: map[int]sender{}}
	take := func(title string, port uint16, b []byte) {
		told, ok := r.sift(at(port), b)
		fmt.Println(title+":", ok, told.From, len(told.Entries))
	}
	good := frame(1, 100, 10, word)
	take("first", 2, good)
	take("doubled", 2, good)
	take("next but one", 2, frame(1, 100, 12, word))
	take("overtaken", 2, frame(1, 100, 11, word))
	take("overtaken and doubled", 2, frame(1, 100, 11, word))
	take("far behind", 2, frame(1, 100, 1<<32-88, word))
	take("its sender anew", 2, frame(1, 200, 1, dispatch.GossipEntry{Kind: dispatch.GossipRestarted}))
	take("from before that", 2, frame(1, 100, 13, word))
	take("another's address", 3, frame(1, 200, 2, word))
	take("our own number", 1, frame(0, 200, 2, word))
	take("no such number", 2, frame(9, 200, 2, word))
	take("no content", 2, frame(1, 200, 3)[:header])
	take("cut", 2, frame(1, 200, 4, word)[:header+2])
	take("half a header", 2, good[:header/2])
	take("empty", 2, nil)
	take("another version", 2, append([]byte{9}, good[1:]...))
	take("too long", 2, append(frame(1, 200, 5, word), make([]byte, dispatch.MaxGossipBytes)...))
	take("count goes round", 3, frame(2, 1, 1<<32-1, word))
	take("and on", 3, frame(2, 1, 0, word))
	fmt.Println(r.CountsByName())
	// Output:
	// first: true 1 1
	// doubled: false 0 0
	// next but one: true 1 1
	// overtaken: true 1 1
	// overtaken and doubled: false 0 0
	// far behind: false 0 0
	// its sender anew: true 1 1
	// from before that: false 0 0
	// another's address: false 0 0
	// our own number: false 0 0
	// no such number: false 0 0
	// no content: false 0 0
	// cut: false 0 0
	// half a header: false 0 0
	// empty: false 0 0
	// another version: false 0 0
	// too long: false 0 0
	// count goes round: true 2 1
	// and on: true 2 1
	// map[broken:6 crowded:0 foreign:3 heard:0 old:4 sent:0 unsent:0]
}

// On loopback: our notes reach the one they are for, or all; theirs reach us; silence is nothing to wait for.
func TestThereAndBack(t *testing.T) {
	first, a := stand(t)
	second, b := stand(t)
	gone, c := stand(t)
	gone.Close() // a scheduler that is not there costs nobody anything
	r, heard := open(t, a, b, c)
	read := func(s *net.UDPConn) (notes []dispatch.GossipEntry) {
		t.Helper()
		buffer := make([]byte, 1000)
		s.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := s.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		notes, ok := dispatch.DecodeGossip(buffer[header:n])
		if !ok || buffer[0] != version {
			t.Fatal(buffer[:n])
		}
		return notes
	}
	r.Send(-1, []dispatch.GossipEntry{{Kind: dispatch.GossipRestarted}})
	r.Send(2, []dispatch.GossipEntry{word, word})
	r.Send(3, []dispatch.GossipEntry{word})
	if n := read(first); len(n) != 1 || n[0].Kind != dispatch.GossipRestarted {
		t.Fatal(n)
	}
	read(second)
	if n := read(second); !slices.Equal(n, []dispatch.GossipEntry{word, word}) {
		t.Fatal(n)
	}
	for n := range 5 {
		first.WriteToUDPAddrPort(frame(1, 7, uint32(n), word), r.addrs[0])
		first.WriteToUDPAddrPort([]byte("garbage"), r.addrs[0])
		second.WriteToUDPAddrPort(frame(1, 7, uint32(n+10), word), r.addrs[0])
	}
	for n := range 5 {
		select {
		case told := <-heard:
			if told.From != 1 || len(told.Entries) != 1 || told.Entries[0] != word {
				t.Fatal(told)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("heard ", n, " of 5: ", r.CountsByName())
		}
	}
	for until := time.Now().Add(5 * time.Second); r.Counts.Foreign.Load() < 5 || r.Counts.Broken.Load() < 5; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(r.CountsByName())
		}
	}
}

// Our address is taken, as by a process that is on its way out: the road opens once it is free, and nothing waits for it.
func TestTakenAddress(t *testing.T) {
	holder, own := stand(t)
	other, a := stand(t)
	failed := make(chan error, 1)
	r := Open(conn.NewLoop(time.Now()), []netip.AddrPort{own, a}, 0, time.Now(), func(err error) { failed <- err })
	defer r.Close()
	select {
	case <-failed:
	case <-time.After(5 * time.Second):
		t.Fatal("no word that the address is taken")
	}
	for range 3 * r.queued {
		r.Send(1, []dispatch.GossipEntry{word})
	}
	if n := r.Counts.Unsent.Load(); n != uint64(2*r.queued) {
		t.Fatal(n, " dropped where ", r.queued, " may wait")
	}
	holder.Close()
	other.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := other.Read(make([]byte, 500)); err != nil {
		t.Fatal(err)
	}
}

// A message to all of 1,024 schedulers goes out whole, and one from each of them comes in, also while nobody empties the queues.
func TestManySchedulers(t *testing.T) {
	const schedulers = 1024
	var addrs []netip.AddrPort
	for n := range schedulers {
		addrs = append(addrs, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(20000+n)))
	}
	r := newRoad(conn.NewLoop(time.Now()), addrs, 0, 1)
	r.Send(-1, []dispatch.GossipEntry{{Kind: dispatch.GossipRestarted}})
	if len(r.out) != schedulers-1 || r.Counts.Unsent.Load() != 0 || r.queued < schedulers {
		t.Error("out:", len(r.out), "unsent:", r.Counts.Unsent.Load(), "room:", r.queued)
	}
}
