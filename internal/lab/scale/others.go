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

// others are schedulers that only send and take messages: what one of them sends to workers that a real one keeps is told
// to that one, as the decisions have it.
type others struct {
	p       Part
	ctx     context.Context
	sockets []*net.UDPConn // by number, less the real ones
	addrs   []netip.AddrPort
	tags    map[uint32]bool
	kept    [][]uint32 // tags of workers, by the real scheduler that keeps them
	counts  []atomic.Uint32
	epoch   uint64

	in, out, bytesIn, bytesOut, strange atomic.Int64
}

func newOthers(ctx context.Context, p Part) (*others, error) {
	o := &others{p: p, ctx: ctx, epoch: uint64(time.Now().UnixNano()), tags: map[uint32]bool{}, kept: make([][]uint32, len(p.Peers))}
	for _, addr := range p.Peers {
		a, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		o.addrs = append(o.addrs, a)
	}
	for range p.Scenario.Told - len(p.Peers) {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(p.Host), 0)))
		if err != nil {
			return nil, err
		}
		o.sockets = append(o.sockets, c)
		o.addrs = append(o.addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	o.counts = make([]atomic.Uint32, len(o.sockets))
	for _, e := range p.Endpoints {
		a, err := netip.ParseAddrPort(e)
		if err != nil {
			return nil, err
		}
		tag := tagOf(a)
		o.tags[tag] = true
		if k := keeperOf(tag, p.Scenario.Told); k < len(o.kept) {
			o.kept[k] = append(o.kept[k], tag)
		}
	}
	for at := range o.sockets {
		go o.hear(at)
	}
	return o, nil
}

// tagOf and keeperOf name a worker and who keeps it as the decisions do. Where they differ from those, what real schedulers
// tell is of no worker, which is counted as strange.
func tagOf(a netip.AddrPort) uint32 {
	b := a.Addr().As16()
	h := mix(binary.LittleEndian.Uint64(b[8:])^uint64(a.Port())<<16, 0)
	return uint32(h >> (64 - 19))
}

func mix(start uint64, scheduler int) uint64 { return rand.NewPCG(start, uint64(scheduler)).Uint64() }

func keeperOf(tag uint32, told int) (who int) {
	for other, most := 0, uint64(0); other < told; other++ {
		if m := mix(uint64(tag), other); m > most {
			who, most = other, m
		}
	}
	return who
}

func (o *others) carry(order Order) (s Stats, err error) {
	switch order.Do {
	case "begin", "stats":
	case "start":
		for at := range o.sockets {
			for to := range o.p.Peers {
				if len(o.kept[to]) > 0 {
					go o.tell(at, to)
				}
			}
		}
	default:
		return s, fmt.Errorf("others: %q is no order", order.Do)
	}
	s = Stats{MessagesIn: o.in.Load(), MessagesOut: o.out.Load(), MessageBytesIn: o.bytesIn.Load(), MessageBytesOut: o.bytesOut.Load(), Strange: o.strange.Load()}
	for _, a := range o.addrs {
		s.Endpoints = append(s.Endpoints, a.String())
	}
	return s, nil
}

// tell plays what one of us sends to the workers that a real scheduler keeps. A forward's end is told soon, as serials are few.
func (o *others) tell(at, to int) {
	s := o.p.Scenario
	chance := rand.New(rand.NewPCG(uint64(s.Seed), uint64(at)<<16|uint64(to)))
	rate := s.Starts * float64(len(o.kept[to])) / float64(len(o.p.Endpoints))
	for serial := uint8(0); ; serial++ {
		select {
		case <-time.After(time.Duration(chance.ExpFloat64() / rate * float64(time.Second))):
		case <-o.ctx.Done():
			return
		}
		o.send(at, to, dispatch.GossipEntry{Kind: dispatch.GossipAttemptStarted, Serial: serial, Tag: o.kept[to][chance.IntN(len(o.kept[to]))]})
		time.AfterFunc(min(s.run(), 4*time.Second), func() {
			o.send(at, to, dispatch.GossipEntry{Kind: dispatch.GossipAttemptEnded, Serial: serial})
		})
	}
}

func (o *others) send(at, to int, n dispatch.GossipEntry) {
	for _, memo := range dispatch.EncodeGossip([]dispatch.GossipEntry{n}) {
		b := binary.BigEndian.AppendUint16([]byte{1}, uint16(len(o.p.Peers)+at))
		b = binary.BigEndian.AppendUint64(b, o.epoch)
		b = binary.BigEndian.AppendUint32(b, o.counts[at].Add(1))
		b = append(b, memo...)
		if _, err := o.sockets[at].WriteToUDPAddrPort(b, o.addrs[to]); err == nil {
			o.out.Add(1)
			o.bytesOut.Add(int64(len(b)))
		}
	}
}

// hear answers who asks what is free at a worker that is kept here.
func (o *others) hear(at int) {
	b := make([]byte, 2048)
	for {
		n, from, err := o.sockets[at].ReadFromUDPAddrPort(b)
		if o.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		o.in.Add(1)
		o.bytesIn.Add(int64(n))
		who := slices.Index(o.addrs, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if n < 15 || who < 0 || who >= len(o.p.Peers) {
			o.strange.Add(1)
			continue
		}
		notes, sound := dispatch.DecodeGossip(b[15:n])
		if !sound {
			o.strange.Add(1)
		}
		for _, note := range notes {
			switch note.Kind {
			case dispatch.GossipAttemptStarted, dispatch.GossipCapacityQuery:
				if !o.tags[note.Tag] {
					o.strange.Add(1)
				}
			}
			if note.Kind == dispatch.GossipCapacityQuery {
				free := max(0, float64(o.p.Scenario.Slots)-o.p.Scenario.Others)
				o.send(at, who, dispatch.GossipEntry{Kind: dispatch.GossipCapacityReply, Serial: uint8(int8(min(free, 99))), Tag: note.Tag})
			}
		}
	}
}
