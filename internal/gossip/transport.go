package gossip

import (
	"bytes"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

const (
	// queuePerScheduler is how many datagrams may wait for each scheduler, each way. More are dropped, as late
	// reports of attempts are worthless. One to all schedulers, and one from each of them, always fit.
	queuePerScheduler = 4
	// minQueue is the least number of datagrams that may wait, each way.
	minQueue = 256
	// bindRetryInterval is the time between attempts to bind: after a restart another process may still hold the
	// address. Until then nothing is sent or received, and nothing waits for it.
	bindRetryInterval = time.Second
)

// Broadcast as the receiver of Send means all other schedulers.
const Broadcast = -1

// Transport is one scheduler's socket for messages to and from the others. Send and OnReceive belong to the
// goroutine of the loop.
type Transport struct {
	// Counts say what became of datagrams.
	Counts Counts
	// OnReceive is called in the loop with the entries of each valid datagram. It is set before the loop runs.
	OnReceive func(dispatch.GossipReceived)

	loop       *conn.Loop
	addrs      []netip.AddrPort // of all schedulers, by number
	self       int              // number of this scheduler
	epoch      uint64           // start of this process by the wall clock, ns since 1970
	sequence   uint32           // of the last datagram sent
	windows    map[int]sequenceWindow
	queueLimit int // datagrams that may wait, each way
	outbox     chan outgoingDatagram
	inLoop     atomic.Int32 // datagrams that wait for the loop
	closed     chan struct{}
}

type outgoingDatagram struct {
	to      netip.AddrPort
	payload []byte
}

// Open returns a transport that begins to listen at addrs[self], and retries while that address is in use; failed
// is called once, in another goroutine, if the first attempt fails. started is the time by the wall clock, by which
// others recognise a restart.
func Open(loop *conn.Loop, addrs []netip.AddrPort, self int, started time.Time, failed func(error)) *Transport {
	t := newTransport(loop, addrs, self, uint64(started.UnixNano()))
	go t.serve(failed)
	return t
}

// newTransport returns one that has no socket yet.
func newTransport(loop *conn.Loop, addrs []netip.AddrPort, self int, epoch uint64) *Transport {
	queueLimit := max(minQueue, queuePerScheduler*len(addrs))
	return &Transport{
		loop:       loop,
		addrs:      addrs,
		self:       self,
		epoch:      epoch,
		windows:    map[int]sequenceWindow{},
		queueLimit: queueLimit,
		outbox:     make(chan outgoingDatagram, queueLimit),
		closed:     make(chan struct{}),
	}
}

// Close stops sending and receiving; it is called once. A nil Transport has nothing to close.
func (t *Transport) Close() {
	if t != nil {
		close(t.closed)
	}
}

// Send queues entries for the scheduler numbered to, or for all others where to is negative, as Broadcast is. It
// never blocks: what does not fit the queue is dropped and counted.
func (t *Transport) Send(to int, entries []dispatch.GossipEntry) {
	for _, encoded := range dispatch.EncodeGossip(entries) {
		t.sequence++
		h := header{sender: uint16(t.self), epoch: t.epoch, sequence: t.sequence}
		payload := h.encode(encoded)
		for number, addr := range t.addrs {
			if number == t.self || to >= 0 && number != to {
				continue
			}
			t.enqueue(outgoingDatagram{to: addr, payload: payload})
		}
	}
}

func (t *Transport) enqueue(d outgoingDatagram) {
	select {
	case t.outbox <- d:
	default:
		t.Counts.NotSent.Add(1)
	}
}

// serve binds the socket; from then on this goroutine writes and another one reads, until Close.
func (t *Transport) serve(failed func(error)) {
	socket := t.listen(failed)
	if socket == nil {
		return
	}
	defer socket.Close() // which also ends the reader
	go t.read(socket)
	t.write(socket)
}

// listen binds the own address; nil: the transport was closed before that was free.
func (t *Transport) listen(failed func(error)) *net.UDPConn {
	local := net.UDPAddrFromAddrPort(t.addrs[t.self])
	for attempt := 1; ; attempt++ {
		socket, err := net.ListenUDP("udp", local)
		if err == nil {
			return socket
		}
		if attempt == 1 {
			failed(err)
		}
		select {
		case <-t.closed:
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
}

func (t *Transport) write(socket *net.UDPConn) {
	for {
		select {
		case <-t.closed:
			return
		case d := <-t.outbox:
			// An error says at most that the receiver is not there, which is its own business.
			if _, err := socket.WriteToUDPAddrPort(d.payload, d.to); err != nil {
				t.Counts.NotSent.Add(1)
			} else {
				t.Counts.Sent.Add(1)
			}
		}
	}
}

func (t *Transport) read(socket *net.UDPConn) {
	buffer := make([]byte, headerBytes+dispatch.MaxGossipBytes+1) // one byte more shows what is too long
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		select {
		case <-t.closed:
			return
		default:
		}
		if err != nil {
			continue // such as the ICMP answer that nobody listens at some address
		}
		if int(t.inLoop.Load()) >= t.queueLimit {
			t.Counts.Dropped.Add(1)
			continue
		}
		t.inLoop.Add(1)
		t.loop.Post(receivedDatagram{
			transport: t,
			from:      netip.AddrPortFrom(from.Addr().Unmap(), from.Port()),
			payload:   bytes.Clone(buffer[:n]),
		})
	}
}
