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

// listenLocal opens a loopback socket for one scheduler and returns it with its address.
func listenLocal(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startTransport starts the transport of scheduler 0. received collects the messages that it
// accepts.
func startTransport(t *testing.T, others ...netip.AddrPort) (transport *Transport, received chan dispatch.GossipReceived) {
	t.Helper()
	c, own := listenLocal(t)
	c.Close()
	loop := conn.NewLoop(time.Now())
	received = make(chan dispatch.GossipReceived, 1000)
	transport = Open(loop, append([]netip.AddrPort{own}, others...), 0, time.Now(), func(err error) { t.Log(err) })
	transport.OnReceive = func(message dispatch.GossipReceived) { received <- message }
	ended := make(chan struct{})
	go func() {
		loop.Run(func() {})
		close(ended)
	}()
	t.Cleanup(func() {
		transport.Close()
		loop.PostUrgent(stopLoop{loop})
		<-ended
	})
	return transport, received
}

// stopLoop is a task that stops its loop.
type stopLoop struct{ *conn.Loop }

func (s stopLoop) Run() { s.Stop() }

// encodeDatagram returns a datagram, built independently of the transport's encoder.
func encodeDatagram(number uint16, epoch uint64, sequence uint32, entries ...dispatch.GossipEntry) []byte {
	b := binary.BigEndian.AppendUint16([]byte{version}, number)
	b = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(b, epoch), sequence)
	return append(b, dispatch.EncodeGossip(entries)[0]...)
}

// attemptStarted is an arbitrary valid entry.
var attemptStarted = dispatch.GossipEntry{Kind: dispatch.GossipAttemptStarted, Serial: 5, Tag: 77}

// Datagrams that are duplicated, stale, from an unknown sender, truncated or undecodable are
// dropped and counted. A datagram that was overtaken in transit is accepted.
func Example_validate() {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	transport := &Transport{addrs: []netip.AddrPort{at(1), at(2), at(3)}, windows: map[int]sequenceWindow{}}
	receive := func(title string, port uint16, b []byte) {
		message, ok := transport.validate(at(port), b, 0)
		fmt.Println(title+":", ok, message.From, len(message.Entries))
	}
	valid := encodeDatagram(1, 100, 10, attemptStarted)
	receive("first", 2, valid)
	receive("duplicated", 2, valid)
	receive("next but one", 2, encodeDatagram(1, 100, 12, attemptStarted))
	receive("overtaken", 2, encodeDatagram(1, 100, 11, attemptStarted))
	receive("overtaken and duplicated", 2, encodeDatagram(1, 100, 11, attemptStarted))
	receive("far behind", 2, encodeDatagram(1, 100, 1<<32-88, attemptStarted))
	receive("its sender restarted", 2, encodeDatagram(1, 200, 1, dispatch.GossipEntry{Kind: dispatch.GossipRestarted}))
	receive("from before that", 2, encodeDatagram(1, 100, 13, attemptStarted))
	receive("another's address", 3, encodeDatagram(1, 200, 2, attemptStarted))
	receive("our own number", 1, encodeDatagram(0, 200, 2, attemptStarted))
	receive("no such number", 2, encodeDatagram(9, 200, 2, attemptStarted))
	receive("no content", 2, encodeDatagram(1, 200, 3)[:headerBytes])
	receive("cut", 2, encodeDatagram(1, 200, 4, attemptStarted)[:headerBytes+2])
	receive("half a header", 2, valid[:headerBytes/2])
	receive("empty", 2, nil)
	receive("another version", 2, append([]byte{9}, valid[1:]...))
	receive("too long", 2, append(encodeDatagram(1, 200, 5, attemptStarted), make([]byte, dispatch.MaxGossipBytes)...))
	receive("sequence wraps around", 3, encodeDatagram(2, 1, 1<<32-1, attemptStarted))
	receive("and goes on", 3, encodeDatagram(2, 1, 0, attemptStarted))
	fmt.Println(transport.CountsByName())
	// Output:
	// first: true 1 1
	// duplicated: false 0 0
	// next but one: true 1 1
	// overtaken: true 1 1
	// overtaken and duplicated: false 0 0
	// far behind: false 0 0
	// its sender restarted: true 1 1
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
	// sequence wraps around: true 2 1
	// and goes on: true 2 1
	// map[broken:6 crowded:0 foreign:3 heard:0 old:4 sent:0 unsent:0]
}

// On loopback, entries reach the scheduler that they are sent to, or all schedulers, and entries
// from others are received. A scheduler that does not listen delays none of the others.
func TestSendAndReceive(t *testing.T) {
	first, firstAddr := listenLocal(t)
	second, secondAddr := listenLocal(t)
	closed, closedAddr := listenLocal(t)
	closed.Close()
	transport, received := startTransport(t, firstAddr, secondAddr, closedAddr)
	readEntries := func(s *net.UDPConn) (entries []dispatch.GossipEntry) {
		t.Helper()
		buffer := make([]byte, 1000)
		s.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := s.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		entries, ok := dispatch.DecodeGossip(buffer[headerBytes:n])
		if !ok || buffer[0] != version {
			t.Fatalf("received a datagram that is not valid: %x", buffer[:n])
		}
		return entries
	}
	transport.Send(Broadcast, []dispatch.GossipEntry{{Kind: dispatch.GossipRestarted}})
	transport.Send(2, []dispatch.GossipEntry{attemptStarted, attemptStarted})
	transport.Send(3, []dispatch.GossipEntry{attemptStarted})
	if entries := readEntries(first); len(entries) != 1 || entries[0].Kind != dispatch.GossipRestarted {
		t.Fatal("want the broadcast entry alone, got", entries)
	}
	readEntries(second)
	if entries := readEntries(second); !slices.Equal(entries, []dispatch.GossipEntry{attemptStarted, attemptStarted}) {
		t.Fatal("want the two entries sent to this scheduler, got", entries)
	}
	for n := range 5 {
		first.WriteToUDPAddrPort(encodeDatagram(1, 7, uint32(n), attemptStarted), transport.addrs[0])
		first.WriteToUDPAddrPort([]byte("garbage"), transport.addrs[0])
		second.WriteToUDPAddrPort(encodeDatagram(1, 7, uint32(n+10), attemptStarted), transport.addrs[0])
	}
	for n := range 5 {
		select {
		case message := <-received:
			if message.From != 1 || len(message.Entries) != 1 || message.Entries[0] != attemptStarted {
				t.Fatalf("got %+v, want one entry %+v from scheduler 1", message, attemptStarted)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("received ", n, " of 5: ", transport.CountsByName())
		}
	}
	counts := &transport.Counts
	deadline := time.Now().Add(5 * time.Second)
	for counts.UnknownSender.Load() < 5 || counts.Malformed.Load() < 5 {
		if time.Now().After(deadline) {
			t.Fatal("want 5 datagrams from unknown senders and 5 malformed ones counted, got", transport.CountsByName())
		}
		time.Sleep(time.Millisecond)
	}
}

// This scheduler's address is in use, for example by a process that is shutting down. The socket is
// bound once the address is free, and no call blocks until then.
func TestBindRetriesWhileAddressInUse(t *testing.T) {
	holder, ownAddr := listenLocal(t)
	other, otherAddr := listenLocal(t)
	failed := make(chan error, 1)
	transport := Open(conn.NewLoop(time.Now()), []netip.AddrPort{ownAddr, otherAddr}, 0, time.Now(), func(err error) { failed <- err })
	defer transport.Close()
	select {
	case <-failed:
	case <-time.After(5 * time.Second):
		t.Fatal("the failure to bind the address in use was not reported")
	}
	for range 3 * transport.queueLimit {
		transport.Send(1, []dispatch.GossipEntry{attemptStarted})
	}
	if n := transport.Counts.NotSent.Load(); n != uint64(2*transport.queueLimit) {
		t.Fatal(n, " datagrams dropped, want twice the queue limit of ", transport.queueLimit, " datagrams")
	}
	holder.Close()
	other.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := other.Read(make([]byte, 500)); err != nil {
		t.Fatal(err)
	}
}

// A message to all of 1,024 schedulers fits the queue, and so does one from each of them, even
// while nothing is taken from the queue.
func TestManySchedulers(t *testing.T) {
	const schedulers = 1024
	var addrs []netip.AddrPort
	for n := range schedulers {
		addrs = append(addrs, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(20000+n)))
	}
	transport := newTransport(conn.NewLoop(time.Now()), addrs, 0, 1)
	transport.Send(Broadcast, []dispatch.GossipEntry{{Kind: dispatch.GossipRestarted}})
	if len(transport.outbox) != schedulers-1 || transport.Counts.NotSent.Load() != 0 || transport.queueLimit < schedulers {
		t.Error("out:", len(transport.outbox), "unsent:", transport.Counts.NotSent.Load(), "limit:", transport.queueLimit)
	}
}
