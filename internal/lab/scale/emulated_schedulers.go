package scale

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"stoatweir/dispatch"
)

const (
	datagramVersion     = 1
	datagramHeaderBytes = 15 // version, index of the sender, incarnation, sequence number
	datagramBufferBytes = 2048
	tagBits             = 19              // length of a worker's tag in gossip
	maxEndDelay         = 4 * time.Second // longest time from the gossip of an attempt's start to that of its end
	maxReplySlots       = 99              // largest number of free slots that a reply states
)

// emulatedSchedulers emulate schedulers that only send and receive gossip. Each of them gossips its
// attempts at a worker to the real scheduler that owns the worker, as package dispatch does.
type emulatedSchedulers struct {
	config      HollowConfig
	ctx         context.Context
	sockets     []*net.UDPConn      // by emulated scheduler
	addrs       []netip.AddrPort    // gossip addresses of all schedulers, the real ones first
	tags        map[uint32]struct{} // of all workers
	ownedTags   [][]uint32          // tags of workers, by the real scheduler that owns them
	sequence    []atomic.Uint32     // number of the last datagram sent, by socket
	incarnation uint64

	received           atomic.Int64
	receivedBytes      atomic.Int64
	sent               atomic.Int64
	sentBytes          atomic.Int64
	unexpectedMessages atomic.Int64 // malformed, from unknown senders or about unknown workers
}

func newEmulatedSchedulers(ctx context.Context, config HollowConfig) (*emulatedSchedulers, error) {
	e := &emulatedSchedulers{
		config:      config,
		ctx:         ctx,
		incarnation: uint64(time.Now().UnixNano()),
		tags:        map[uint32]struct{}{},
		ownedTags:   make([][]uint32, len(config.GossipAddrs)),
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	if err := e.assignWorkers(); err != nil {
		return nil, err
	}
	for n := range e.sockets {
		go e.receive(n)
	}
	return e, nil
}

// listen opens a socket for each emulated scheduler.
func (e *emulatedSchedulers) listen() error {
	for _, peer := range e.config.GossipAddrs {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return err
		}
		e.addrs = append(e.addrs, addr)
	}
	host, err := netip.ParseAddr(e.config.ListenHost)
	if err != nil {
		return err
	}
	for range e.config.Scenario.TotalSchedulers - len(e.config.GossipAddrs) {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
		if err != nil {
			return err
		}
		e.sockets = append(e.sockets, socket)
		e.addrs = append(e.addrs, socket.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	e.sequence = make([]atomic.Uint32, len(e.sockets))
	return nil
}

// assignWorkers finds the workers that each real scheduler owns.
func (e *emulatedSchedulers) assignWorkers() error {
	for _, endpoint := range e.config.WorkerAddrs {
		addr, err := netip.ParseAddrPort(endpoint)
		if err != nil {
			return err
		}
		tag := workerTag(addr)
		e.tags[tag] = struct{}{}
		if owner := ownerOfTag(tag, e.config.Scenario.TotalSchedulers); owner < len(e.ownedTags) {
			e.ownedTags[owner] = append(e.ownedTags[owner], tag)
		}
	}
	return nil
}

// workerTag returns the tag of a worker and ownerOfTag its owner, both as package dispatch computes
// them. If the results differed, the gossip of real schedulers would name unknown tags, which are
// counted as unexpected.
func workerTag(addr netip.AddrPort) uint32 {
	address := addr.Addr().As16()
	hash := rendezvousHash(binary.LittleEndian.Uint64(address[8:])^uint64(addr.Port())<<16, 0)
	return uint32(hash >> (64 - tagBits))
}

// rendezvousHash returns the rank of a scheduler for a key, the same as in package dispatch.
func rendezvousHash(key uint64, scheduler int) uint64 {
	return rand.NewPCG(key, uint64(scheduler)).Uint64()
}

// ownerOfTag returns the scheduler with the highest rendezvous hash for a tag, among the given
// number of schedulers.
func ownerOfTag(tag uint32, schedulers int) (owner int) {
	var highest uint64
	for n := range schedulers {
		if hash := rendezvousHash(uint64(tag), n); hash > highest {
			highest = hash
			owner = n
		}
	}
	return owner
}

func (e *emulatedSchedulers) execute(order Order) (Stats, error) {
	switch order.Action {
	case orderBegin, orderStats:
	case orderStart:
		e.startGossip()
	default:
		return Stats{}, fmt.Errorf("others: unknown order %q, expected begin, stats or start", order.Action)
	}
	stats := Stats{
		MessagesIn:      e.received.Load(),
		MessagesOut:     e.sent.Load(),
		MessageBytesIn:  e.receivedBytes.Load(),
		MessageBytesOut: e.sentBytes.Load(),
		Unexpected:      e.unexpectedMessages.Load(),
	}
	for _, addr := range e.addrs {
		stats.Endpoints = append(stats.Endpoints, addr.String())
	}
	return stats, nil
}

// startGossip starts the gossip of each emulated scheduler to each real one that owns workers.
func (e *emulatedSchedulers) startGossip() {
	for from := range e.sockets {
		for to, tags := range e.ownedTags {
			if len(tags) > 0 {
				go e.sendAttempts(from, to)
			}
		}
	}
}

// sendAttempts gossips the attempts of one emulated scheduler at the workers that one real scheduler
// owns. The end of an attempt follows within maxEndDelay, because the serial number of an attempt
// has only one byte and is soon reused.
func (e *emulatedSchedulers) sendAttempts(from, to int) {
	s := e.config.Scenario
	tags := e.ownedTags[to]
	rng := rand.New(rand.NewPCG(uint64(s.Seed), uint64(from)<<16|uint64(to)))
	rate := s.Starts * float64(len(tags)) / float64(len(e.config.WorkerAddrs))
	for serial := uint8(0); ; serial++ {
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))):
		case <-e.ctx.Done():
			return
		}
		e.send(from, to, dispatch.GossipEntry{Kind: dispatch.GossipAttemptStarted, Serial: serial, Tag: tags[rng.IntN(len(tags))]})
		time.AfterFunc(min(s.meanRun(), maxEndDelay), func() {
			e.send(from, to, dispatch.GossipEntry{Kind: dispatch.GossipAttemptEnded, Serial: serial})
		})
	}
}

// send sends an entry in a datagram of its own; from is the index of the emulated scheduler, to that
// of the real one.
func (e *emulatedSchedulers) send(from, to int, entry dispatch.GossipEntry) {
	for _, message := range dispatch.EncodeGossip([]dispatch.GossipEntry{entry}) {
		datagram := []byte{datagramVersion}
		datagram = binary.BigEndian.AppendUint16(datagram, uint16(len(e.config.GossipAddrs)+from))
		datagram = binary.BigEndian.AppendUint64(datagram, e.incarnation)
		datagram = binary.BigEndian.AppendUint32(datagram, e.sequence[from].Add(1))
		datagram = append(datagram, message...)
		if _, err := e.sockets[from].WriteToUDPAddrPort(datagram, e.addrs[to]); err == nil {
			e.sent.Add(1)
			e.sentBytes.Add(int64(len(datagram)))
		}
	}
}

// receive receives the datagrams of one emulated scheduler until the process ends.
func (e *emulatedSchedulers) receive(socket int) {
	buffer := make([]byte, datagramBufferBytes)
	for {
		n, from, err := e.sockets[socket].ReadFromUDPAddrPort(buffer)
		if e.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		e.received.Add(1)
		e.receivedBytes.Add(int64(n))
		sender := slices.Index(e.addrs, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if n < datagramHeaderBytes || sender < 0 || sender >= len(e.config.GossipAddrs) {
			e.unexpectedMessages.Add(1)
			continue
		}
		e.handle(socket, sender, buffer[datagramHeaderBytes:n])
	}
}

// handle counts the unexpected parts of a message and replies to its queries of a worker's free
// capacity.
func (e *emulatedSchedulers) handle(socket, sender int, message []byte) {
	entries, ok := dispatch.DecodeGossip(message)
	if !ok {
		e.unexpectedMessages.Add(1)
	}
	for _, entry := range entries {
		if entry.Kind != dispatch.GossipAttemptStarted && entry.Kind != dispatch.GossipCapacityQuery {
			continue
		}
		if _, known := e.tags[entry.Tag]; !known {
			e.unexpectedMessages.Add(1)
		}
		if entry.Kind == dispatch.GossipCapacityQuery {
			e.sendCapacityReply(socket, sender, entry.Tag)
		}
	}
}

// sendCapacityReply replies with the mean number of free slots of a worker.
func (e *emulatedSchedulers) sendCapacityReply(socket, sender int, tag uint32) {
	free := max(0, float64(e.config.Scenario.Slots)-e.config.Scenario.OtherLoad)
	e.send(socket, sender, dispatch.GossipEntry{
		Kind:   dispatch.GossipCapacityReply,
		Serial: uint8(int8(min(free, maxReplySlots))),
		Tag:    tag,
	})
}
