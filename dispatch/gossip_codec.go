package dispatch

import "encoding/binary"

const (
	gossipVersion = 1
	// MaxGossipBytes is the maximum size of a message.
	MaxGossipBytes = 256
	// tagBits is the size of a worker's tag. With 200 workers, two of them share a tag in one of 25
	// deployments.
	tagBits = 19
)

// The first byte of an entry holds the version, the kind and the high bits of the tag.
const (
	versionShift = 6
	kindShift    = 3
	kindMask     = 7
	tagHighShift = 16
	tagHighMask  = 7
	tagLowBytes  = 2
)

// entryLayout lists the fields of a kind of entry. Gossip bytes have a cost, so an entry only holds
// the fields that it needs.
type entryLayout struct {
	hasTag    bool
	hasSerial bool
}

var gossipLayouts = map[GossipKind]entryLayout{
	GossipRestarted:      {},
	GossipAttemptStarted: {hasTag: true, hasSerial: true},
	GossipAttemptEnded:   {hasSerial: true},
	GossipCapacityQuery:  {hasTag: true},
	GossipCapacityReply:  {hasTag: true, hasSerial: true},
}

func (l entryLayout) size() int {
	size := 1
	if l.hasTag {
		size += tagLowBytes
	}
	if l.hasSerial {
		size++
	}
	return size
}

// EncodeGossip encodes entries into messages of at most MaxGossipBytes.
func EncodeGossip(entries []GossipEntry) (messages [][]byte) {
	var message []byte
	for _, entry := range entries {
		if len(message)+gossipLayouts[entry.Kind].size() > MaxGossipBytes {
			messages = append(messages, message)
			message = nil
		}
		message = appendEntry(message, entry)
	}
	return append(messages, message)
}

func appendEntry(message []byte, entry GossipEntry) []byte {
	layout := gossipLayouts[entry.Kind]
	head := gossipVersion<<versionShift | byte(entry.Kind)<<kindShift | byte(entry.Tag>>tagHighShift&tagHighMask)
	message = append(message, head)
	if layout.hasTag {
		message = binary.LittleEndian.AppendUint16(message, uint16(entry.Tag))
	}
	if layout.hasSerial {
		message = append(message, entry.Serial)
	}
	return message
}

// DecodeGossip decodes a message. ok is false, and no entry is returned, if any part of the message
// is malformed, has another version or is cut short, or if the message is empty or too long.
func DecodeGossip(message []byte) (entries []GossipEntry, ok bool) {
	if len(message) == 0 || len(message) > MaxGossipBytes {
		return nil, false
	}
	for len(message) > 0 {
		entry, size := decodeEntry(message)
		if size == 0 {
			return nil, false
		}
		entries = append(entries, entry)
		message = message[size:]
	}
	return entries, true
}

// decodeEntry decodes the first entry of a message and returns its size, or 0 if it is malformed.
func decodeEntry(message []byte) (entry GossipEntry, size int) {
	entry.Kind = GossipKind(message[0] >> kindShift & kindMask)
	layout, known := gossipLayouts[entry.Kind]
	size = layout.size()
	if message[0]>>versionShift != gossipVersion || !known || len(message) < size {
		return GossipEntry{}, 0
	}
	if layout.hasTag {
		high := uint32(message[0]&tagHighMask) << tagHighShift
		entry.Tag = high | uint32(binary.LittleEndian.Uint16(message[1:]))
	}
	if layout.hasSerial {
		entry.Serial = message[size-1]
	}
	return entry, size
}

// workerTag returns the short number that identifies a worker in gossip, identical at every
// scheduler.
func workerTag(id WorkerID) uint32 {
	address := id.Addr().As16()
	key := binary.LittleEndian.Uint64(address[8:]) ^ uint64(id.Port())<<16
	return uint32(rendezvousHash(key, 0) >> (64 - tagBits))
}
