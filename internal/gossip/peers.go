// Package gossip carries messages between schedulers as datagrams. What is lost, late, doubled or foreign is not made good:
// the decisions bear it. No connection, no queue that grows, no word that anybody waits for.
package gossip

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

const (
	version = 1
	// A datagram begins with the version, its sender's number, when that one started and a count.
	header = 1 + 2 + 8 + 4
	// So many datagrams may wait to go out, and to come in, for each scheduler; more are dropped, as old news of forwards is
	// worth nothing. One told to all of them, and one from each of them, always fit.
	queuedEach, queuedLeast = 4, 256
	// An epoch is a start by the wall clock, which may be stepped back between two of them: a lower one is a later start if the one before
	// has been silent for longer than a datagram is on its way.
	epochSilence = 2 * time.Second
	// Another process may still hold the address after a restart: without it nothing is told, and the rest goes on.
	bindAgain = time.Second
)

// Counts are for operators.
type Counts struct {
	Sent, Heard atomic.Uint64
	Unsent      atomic.Uint64 // too much at once, or no road
	Foreign     atomic.Uint64 // not from the address of the scheduler that it names
	Old         atomic.Uint64 // from before a restart of its sender, or come twice
	Broken      atomic.Uint64 // of another version, cut short, or garbled
	Crowded     atomic.Uint64 // more came than could be taken in
}

// Road is one scheduler's way to the others.
type Transport struct {
	Counts    Counts
	OnReceive func(dispatch.GossipReceived)

	loop    *conn.Loop
	addrs   []netip.AddrPort // by number
	now     time.Duration    // the moment of what is being taken in
	me      int
	epoch   uint64
	count   uint32
	senders map[int]sender
	out     chan datagram
	queued  int          // datagrams that may wait, each way
	waiting atomic.Int32 // notes in the loop's inbox
	quit    chan struct{}
}

// sender is what was last heard of another scheduler.
type sender struct {
	epoch uint64
	last  uint32        // the highest count
	heard time.Duration // when that was
	seen  uint64        // and which of the 64 up to it
}

type datagram struct {
	to    netip.AddrPort
	bytes []byte
}

// Open begins to listen at our own address and goes on trying where that is taken. started tells our starts apart.
func Open(loop *conn.Loop, addrs []netip.AddrPort, me int, started time.Time, failed func(error)) *Transport {
	r := newRoad(loop, addrs, me, uint64(started.UnixNano()))
	go r.run(failed)
	return r
}

// newRoad has room by the number of schedulers, and does not run yet.
func newRoad(loop *conn.Loop, addrs []netip.AddrPort, me int, epoch uint64) *Transport {
	queued := max(queuedLeast, queuedEach*len(addrs))
	return &Transport{loop: loop, addrs: addrs, me: me, epoch: epoch, senders: map[int]sender{}, queued: queued,
		out: make(chan datagram, queued), quit: make(chan struct{})}
}

// Close ends it.
func (r *Transport) Close() {
	if r != nil {
		close(r.quit)
	}
}

// run binds, and from then on one goroutine reads and this one writes.
func (r *Transport) run(failed func(error)) {
	var socket *net.UDPConn
	for told := false; socket == nil; {
		var err error
		if socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(r.addrs[r.me])); err != nil {
			if socket = nil; !told {
				failed(err)
			}
			told = true
			select {
			case <-r.quit:
				return
			case <-time.After(bindAgain):
			}
		}
	}
	go r.read(socket)
	for {
		select {
		case <-r.quit:
			socket.Close()
			return
		case d := <-r.out:
			// Who is not there is told nothing, which is all there is to say of an error.
			if _, err := socket.WriteToUDPAddrPort(d.bytes, d.to); err != nil {
				r.Counts.Unsent.Add(1)
			} else {
				r.Counts.Sent.Add(1)
			}
		}
	}
}

func (r *Transport) read(socket *net.UDPConn) {
	buffer := make([]byte, header+dispatch.MaxGossipBytes+1) // one byte more shows what is too long
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		select {
		case <-r.quit:
			return
		default:
		}
		if err != nil {
			continue // an answer that nobody is there at some address
		}
		if int(r.waiting.Load()) >= r.queued {
			r.Counts.Crowded.Add(1)
			continue
		}
		r.waiting.Add(1)
		r.loop.Post(come{r, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), buffer[:n]...)})
	}
}

type come struct {
	*Transport
	from  netip.AddrPort
	bytes []byte
}

// Take hands on what makes sense.
func (c come) Run() {
	c.waiting.Add(-1)
	c.now = c.loop.Now()
	if told, ok := c.sift(c.from, c.bytes); ok {
		c.Counts.Heard.Add(1)
		c.OnReceive(told)
	}
}

// sift reads a datagram. It takes nothing of one that is broken, foreign or from before its sender's last start.
func (r *Transport) sift(from netip.AddrPort, b []byte) (told dispatch.GossipReceived, ok bool) {
	if len(b) < header || b[0] != version {
		r.Counts.Broken.Add(1)
		return told, false
	}
	number := int(binary.BigEndian.Uint16(b[1:]))
	if number >= len(r.addrs) || number == r.me || r.addrs[number] != from {
		r.Counts.Foreign.Add(1)
		return told, false
	}
	notes, ok := dispatch.DecodeGossip(b[header:])
	if !ok {
		r.Counts.Broken.Add(1)
		return told, false
	}
	epoch, count, s := binary.BigEndian.Uint64(b[3:]), binary.BigEndian.Uint32(b[11:]), r.senders[number]
	switch ahead := count - s.last; {
	case epoch < s.epoch && r.now < s.heard+epochSilence:
		r.Counts.Old.Add(1)
		return told, false
	case epoch != s.epoch:
		s = sender{epoch: epoch, last: count, seen: 1}
	case ahead == 0 || ahead > 1<<31 && (-ahead >= 64 || s.seen>>-ahead&1 == 1):
		r.Counts.Old.Add(1)
		return told, false
	case ahead > 1<<31: // overtaken on its way
		s.seen |= 1 << -ahead
	default:
		s.seen, s.last = s.seen<<min(ahead, 64)|1, count
	}
	s.heard = r.now
	r.senders[number] = s
	return dispatch.GossipReceived{From: number, Entries: notes}, true
}

// Send tells another scheduler, or all where to is below 0. It never waits.
func (r *Transport) Send(to int, notes []dispatch.GossipEntry) {
	for _, memo := range dispatch.EncodeGossip(notes) {
		r.count++
		b := append(make([]byte, 0, header+len(memo)), version)
		b = binary.BigEndian.AppendUint16(b, uint16(r.me))
		b = binary.BigEndian.AppendUint64(b, r.epoch)
		b = append(binary.BigEndian.AppendUint32(b, r.count), memo...)
		for n, addr := range r.addrs {
			if n == r.me || to >= 0 && n != to {
				continue
			}
			select {
			case r.out <- datagram{addr, b}:
			default:
				r.Counts.Unsent.Add(1)
			}
		}
	}
}

// Figures are the counts by name.
func (r *Transport) CountsByName() map[string]uint64 {
	c := &r.Counts
	return map[string]uint64{"sent": c.Sent.Load(), "heard": c.Heard.Load(), "unsent": c.Unsent.Load(),
		"foreign": c.Foreign.Load(), "old": c.Old.Load(), "broken": c.Broken.Load(), "crowded": c.Crowded.Load()}
}
