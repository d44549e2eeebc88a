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
	// queuedDatagramsPerScheduler is the number of datagrams per scheduler that may be queued in
	// each direction. Excess datagrams are dropped, as late reports of attempts are worthless. One
	// datagram to every scheduler, and one from each, always fit.
	queuedDatagramsPerScheduler = 4
	// minQueuedDatagrams is the minimum capacity of the queue in each direction.
	minQueuedDatagrams = 256
	// bindRetryInterval is the time between attempts to bind the socket: after a restart, another
	// process may still hold the address. Until the socket is bound nothing is sent or received,
	// and no caller waits for it.
	bindRetryInterval = time.Second
)

// Broadcast as the receiver of Send stands for all other schedulers.
const Broadcast = -1

// Transport is the socket of one scheduler for messages to and from the others. Send must be called
// in the goroutine of the loop, in which OnReceive is called too.
type Transport struct {
	// Counts are the numbers of datagrams by outcome.
	Counts Counts
	// OnReceive is called in the loop with the entries of each valid datagram. It must be set
	// before the loop runs.
	OnReceive func(dispatch.GossipReceived)

	loop          *conn.Loop
	addrs         []netip.AddrPort       // of all schedulers, by their numbers
	self          int                    // number of this scheduler
	epoch         uint64                 // start of this process by the wall clock, ns since 1970
	sequence      uint32                 // of the last datagram sent
	windows       map[int]sequenceWindow // by the sender's number
	queueLimit    int                    // capacity of the queue in each direction, in datagrams
	outbox        chan outgoingDatagram
	pendingInLoop atomic.Int32 // datagrams that were passed to the loop and not processed yet
	closed        chan struct{}
}

// outgoingDatagram is a datagram that waits to be written.
type outgoingDatagram struct {
	to      netip.AddrPort
	payload []byte
}

// Open returns a transport that starts to listen at addrs[self] and retries while that address is
// in use. If the first attempt fails, onBindError is called once, in another goroutine. started is
// the start of this process by the wall clock, by which others recognise a restart.
func Open(loop *conn.Loop, addrs []netip.AddrPort, self int, started time.Time, onBindError func(error)) *Transport {
	t := newTransport(loop, addrs, self, uint64(started.UnixNano()))
	go t.serve(onBindError)
	return t
}

// newTransport returns a transport without a socket.
func newTransport(loop *conn.Loop, addrs []netip.AddrPort, self int, epoch uint64) *Transport {
	queueLimit := max(minQueuedDatagrams, queuedDatagramsPerScheduler*len(addrs))
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

// Close stops sending and receiving. It must be called at most once, and does nothing on a nil
// Transport.
func (t *Transport) Close() {
	if t != nil {
		close(t.closed)
	}
}

// Send queues entries for the scheduler with the number to, or for all others if to is negative, as
// Broadcast is. It never blocks: datagrams that do not fit the queue are dropped and counted.
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

// serve binds the socket. This goroutine then writes and another one reads, until Close.
func (t *Transport) serve(onBindError func(error)) {
	socket := t.listen(onBindError)
	if socket == nil {
		return
	}
	defer socket.Close() // also ends the reader
	go t.read(socket)
	t.write(socket)
}

// listen binds this scheduler's address. It returns nil if the transport is closed before the
// address is free.
func (t *Transport) listen(onBindError func(error)) *net.UDPConn {
	local := net.UDPAddrFromAddrPort(t.addrs[t.self])
	for attempt := 1; ; attempt++ {
		socket, err := net.ListenUDP("udp", local)
		if err == nil {
			return socket
		}
		if attempt == 1 {
			onBindError(err)
		}
		select {
		case <-t.closed:
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
}

// write sends queued datagrams until Close.
func (t *Transport) write(socket *net.UDPConn) {
	for {
		select {
		case <-t.closed:
			return
		case d := <-t.outbox:
			// An error says at most that the receiver is not there, and delivery is best-effort.
			if _, err := socket.WriteToUDPAddrPort(d.payload, d.to); err != nil {
				t.Counts.NotSent.Add(1)
			} else {
				t.Counts.Sent.Add(1)
			}
		}
	}
}

// read passes received datagrams to the loop until Close.
func (t *Transport) read(socket *net.UDPConn) {
	buffer := make([]byte, headerBytes+dispatch.MaxGossipBytes+1) // one more byte makes datagrams that are too long detectable
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		select {
		case <-t.closed:
			return
		default:
		}
		if err != nil {
			continue // for example an ICMP reply that no process listens at a receiver's address
		}
		if int(t.pendingInLoop.Load()) >= t.queueLimit {
			t.Counts.Dropped.Add(1)
			continue
		}
		t.pendingInLoop.Add(1)
		t.loop.Post(receivedDatagram{
			transport: t,
			from:      netip.AddrPortFrom(from.Addr().Unmap(), from.Port()),
			payload:   bytes.Clone(buffer[:n]),
		})
	}
}
