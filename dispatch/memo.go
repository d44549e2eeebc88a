package dispatch

import "encoding/binary"

// This file holds what schedulers tell one another, as notes and as bytes. It decides nothing: a note that is lost, late,
// foreign or broken leaves the one that would have read it with less knowledge, and no more.

// Note is one thing told.
type GossipEntry struct {
	Kind   GossipKind
	Serial uint8  // the forward, by its sender's count; NoteFree: the free slots, as int8
	Tag    uint32 // the worker
}

// NoteKind is what a note says.
type GossipKind uint8

const (
	GossipRestarted      GossipKind = iota // the scheduler has just started, and knows nothing of its forwards before
	GossipAttemptStarted                   // a forward is on its way to a worker
	GossipAttemptEnded                     // a forward holds no slot any more
	GossipCapacityQuery                    // how much is free at a worker?
	GossipCapacityReply                    // so much is
	gossipPacked         = 255             // packed already
)

// Tell sends notes to another scheduler.
type SendGossip struct {
	To      int // below 0: all
	Entries []GossipEntry
}

type outgoingGossip struct {
	to int
	GossipEntry
}

// Told brings another scheduler's notes, in its order.
type GossipReceived struct {
	From    int // its number
	Entries []GossipEntry
}

func (e GossipReceived) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

const (
	memoVersion = 1
	tagBits     = 19 // of a worker's id: two of two hundred workers share a tag once in twenty-five fleets
	// MemoMost is the most bytes that a message may have.
	MaxGossipBytes = 256
)

// form is how a kind of note is written. Bytes are paid for, so a note has none to spare: the first has the version, the
// kind and the tag's first bits.
type entryLayout struct{ hasTag, hasSerial bool }

var gossipLayouts = map[GossipKind]entryLayout{GossipRestarted: {}, GossipAttemptStarted: {true, true}, GossipAttemptEnded: {false, true}, GossipCapacityQuery: {true, false},
	GossipCapacityReply: {true, true}}

func (f entryLayout) size() int {
	size := 1
	if f.hasTag {
		size += 2
	}
	if f.hasSerial {
		size++
	}
	return size
}

// Memos packs notes into messages that may be sent.
func EncodeGossip(notes []GossipEntry) (memos [][]byte) {
	var b []byte
	for _, n := range notes {
		f := gossipLayouts[n.Kind]
		if len(b)+f.size() > MaxGossipBytes {
			memos, b = append(memos, b), nil
		}
		b = append(b, memoVersion<<6|byte(n.Kind)<<3|byte(n.Tag>>16&7))
		if f.hasTag {
			b = binary.LittleEndian.AppendUint16(b, uint16(n.Tag))
		}
		if f.hasSerial {
			b = append(b, n.Serial)
		}
	}
	return append(memos, b)
}

// ReadMemo unpacks a message. One of another version, cut short or too long is none: nothing of it is taken.
func DecodeGossip(b []byte) (notes []GossipEntry, ok bool) {
	if len(b) == 0 || len(b) > MaxGossipBytes {
		return nil, false
	}
	for len(b) > 0 {
		n := GossipEntry{Kind: GossipKind(b[0] >> 3 & 7)}
		f, known := gossipLayouts[n.Kind]
		if b[0]>>6 != memoVersion || !known || len(b) < f.size() {
			return nil, false
		}
		if f.hasTag {
			n.Tag = uint32(b[0]&7)<<16 | uint32(binary.LittleEndian.Uint16(b[1:]))
		}
		if f.hasSerial {
			n.Serial = b[f.size()-1]
		}
		notes, b = append(notes, n), b[f.size():]
	}
	return notes, true
}

// tagOf names a worker in few bits, the same at every scheduler.
func workerTag(id WorkerID) uint32 {
	a := id.Addr().As16()
	h := rendezvousHash(binary.LittleEndian.Uint64(a[8:])^uint64(id.Port())<<16, 0)
	return uint32(h >> (64 - tagBits))
}

// hear enters what other schedulers tell in the books of the workers that it is about.
func (d *Dispatcher) receiveGossip(t GossipReceived) {
	if !d.gossips || t.From < 0 || t.From >= int(d.schedulers) || t.From == d.self {
		return // not allowed, or there is no such scheduler: what it says may be anything
	}
	for _, n := range t.Entries {
		key := [2]int{t.From, int(n.Serial)}
		at, known := d.tagIndex[n.Tag]
		switch n.Kind {
		case GossipRestarted:
			for _, at := range d.owned {
				d.workerAt(at).send(gossipMessage{t.From, n})
			}
			continue
		case GossipAttemptStarted:
			if known {
				d.remoteAttempts[key] = at
			}
		case GossipCapacityReply:
			d.ownerAnsweredAt = d.now
		case GossipAttemptEnded:
			at, known = d.remoteAttempts[key]
			delete(d.remoteAttempts, key)
		}
		if known {
			d.workerAt(at).send(gossipMessage{t.From, n})
		}
	}
}

// keeper is the scheduler that is told of all that is sent to a worker and knows best what is free there.
func (d *Dispatcher) ownerOf(id WorkerID) (who int) {
	for other, most := 0, uint64(0); d.gossips && other < int(d.schedulers); other++ {
		if m := rendezvousHash(uint64(workerTag(id)), other); m > most {
			who, most = other, m
		}
	}
	return who
}
