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
	datagramVersion = 1
	datagramHead    = 15   // bytes: version, index of the sender, incarnation, sequence number
	datagramBuffer  = 2048 // bytes
	tagBits         = 19   // of a worker's tag in gossip
	longestNotified = 4 * time.Second
	maxReplied      = 99 // free slots in a reply
)

// emulatedSchedulers only send and receive gossip: what one of them sends to workers that a real
// one owns is sent to that one too, as the decisions do.
type emulatedSchedulers struct {
	part        Part
	ctx         context.Context
	sockets     []*net.UDPConn   // of the emulated ones
	addrs       []netip.AddrPort // of all, the real ones first
	tags        map[uint32]struct{}
	owned       [][]uint32      // tags of workers, by the real scheduler that owns them
	sequence    []atomic.Uint32 // of the last datagram, by socket
	incarnation uint64

	received      atomic.Int64
	receivedBytes atomic.Int64
	sent          atomic.Int64
	sentBytes     atomic.Int64
	unexpected    atomic.Int64 // malformed, of unknown senders or on unknown workers
}

func newEmulatedSchedulers(ctx context.Context, p Part) (*emulatedSchedulers, error) {
	e := &emulatedSchedulers{
		part:        p,
		ctx:         ctx,
		incarnation: uint64(time.Now().UnixNano()),
		tags:        map[uint32]struct{}{},
		owned:       make([][]uint32, len(p.Peers)),
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
	for _, peer := range e.part.Peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return err
		}
		e.addrs = append(e.addrs, addr)
	}
	host, err := netip.ParseAddr(e.part.Host)
	if err != nil {
		return err
	}
	for range e.part.Scenario.Told - len(e.part.Peers) {
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

// assignWorkers finds which of the workers the real schedulers own.
func (e *emulatedSchedulers) assignWorkers() error {
	for _, endpoint := range e.part.Endpoints {
		addr, err := netip.ParseAddrPort(endpoint)
		if err != nil {
			return err
		}
		tag := tagOf(addr)
		e.tags[tag] = struct{}{}
		if owner := ownerOf(tag, e.part.Scenario.Told); owner < len(e.owned) {
			e.owned[owner] = append(e.owned[owner], tag)
		}
	}
	return nil
}

// tagOf returns the tag of a worker, and ownerOf its owner, as the decisions do. Where they differ
// from those, the gossip of real schedulers is on no worker, which is counted as unexpected.
func tagOf(addr netip.AddrPort) uint32 {
	b := addr.Addr().As16()
	hash := mix(binary.LittleEndian.Uint64(b[8:])^uint64(addr.Port())<<16, 0)
	return uint32(hash >> (64 - tagBits))
}

func mix(start uint64, scheduler int) uint64 { return rand.NewPCG(start, uint64(scheduler)).Uint64() }

// ownerOf returns the scheduler of the highest hash with a tag, of so many.
func ownerOf(tag uint32, schedulers int) (owner int) {
	var highest uint64
	for n := range schedulers {
		if hash := mix(uint64(tag), n); hash > highest {
			highest = hash
			owner = n
		}
	}
	return owner
}

func (e *emulatedSchedulers) execute(order Order) (Stats, error) {
	switch order.Do {
	case orderBegin, orderStats:
	case orderStart:
		e.startGossip()
	default:
		return Stats{}, fmt.Errorf("others: %q is no order", order.Do)
	}
	stats := Stats{
		MessagesIn:      e.received.Load(),
		MessagesOut:     e.sent.Load(),
		MessageBytesIn:  e.receivedBytes.Load(),
		MessageBytesOut: e.sentBytes.Load(),
		Strange:         e.unexpected.Load(),
	}
	for _, addr := range e.addrs {
		stats.Endpoints = append(stats.Endpoints, addr.String())
	}
	return stats, nil
}

func (e *emulatedSchedulers) startGossip() {
	for from := range e.sockets {
		for to, tags := range e.owned {
			if len(tags) > 0 {
				go e.sendAttempts(from, to)
			}
		}
	}
}

// sendAttempts sends what an emulated scheduler has to say of its attempts at the workers that a
// real one owns. The end of an attempt is sent soon, as serials are few.
func (e *emulatedSchedulers) sendAttempts(from, to int) {
	s := e.part.Scenario
	tags := e.owned[to]
	rng := rand.New(rand.NewPCG(uint64(s.Seed), uint64(from)<<16|uint64(to)))
	rate := s.Starts * float64(len(tags)) / float64(len(e.part.Endpoints))
	for serial := uint8(0); ; serial++ {
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))):
		case <-e.ctx.Done():
			return
		}
		e.send(from, to, dispatch.GossipEntry{Kind: dispatch.GossipAttemptStarted, Serial: serial, Tag: tags[rng.IntN(len(tags))]})
		time.AfterFunc(min(s.meanRun(), longestNotified), func() {
			e.send(from, to, dispatch.GossipEntry{Kind: dispatch.GossipAttemptEnded, Serial: serial})
		})
	}
}

func (e *emulatedSchedulers) send(from, to int, entry dispatch.GossipEntry) {
	for _, message := range dispatch.EncodeGossip([]dispatch.GossipEntry{entry}) {
		b := []byte{datagramVersion}
		b = binary.BigEndian.AppendUint16(b, uint16(len(e.part.Peers)+from))
		b = binary.BigEndian.AppendUint64(b, e.incarnation)
		b = binary.BigEndian.AppendUint32(b, e.sequence[from].Add(1))
		b = append(b, message...)
		if _, err := e.sockets[from].WriteToUDPAddrPort(b, e.addrs[to]); err == nil {
			e.sent.Add(1)
			e.sentBytes.Add(int64(len(b)))
		}
	}
}

// receive receives the datagrams of one emulated scheduler until the process ends.
func (e *emulatedSchedulers) receive(socket int) {
	b := make([]byte, datagramBuffer)
	for {
		n, from, err := e.sockets[socket].ReadFromUDPAddrPort(b)
		if e.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		e.received.Add(1)
		e.receivedBytes.Add(int64(n))
		sender := slices.Index(e.addrs, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if n < datagramHead || sender < 0 || sender >= len(e.part.Peers) {
			e.unexpected.Add(1)
			continue
		}
		e.handle(socket, sender, b[datagramHead:n])
	}
}

// handle counts what is wrong with a message, and replies to the queries of a worker's free
// capacity in it.
func (e *emulatedSchedulers) handle(socket, sender int, message []byte) {
	entries, ok := dispatch.DecodeGossip(message)
	if !ok {
		e.unexpected.Add(1)
	}
	for _, entry := range entries {
		if entry.Kind != dispatch.GossipAttemptStarted && entry.Kind != dispatch.GossipCapacityQuery {
			continue
		}
		if _, known := e.tags[entry.Tag]; !known {
			e.unexpected.Add(1)
		}
		if entry.Kind == dispatch.GossipCapacityQuery {
			e.replyCapacity(socket, sender, entry.Tag)
		}
	}
}

func (e *emulatedSchedulers) replyCapacity(socket, sender int, tag uint32) {
	free := max(0, float64(e.part.Scenario.Slots)-e.part.Scenario.Others)
	e.send(socket, sender, dispatch.GossipEntry{
		Kind:   dispatch.GossipCapacityReply,
		Serial: uint8(int8(min(free, maxReplied))),
		Tag:    tag,
	})
}
