package gossip

import "encoding/binary"

// version is the first byte of each datagram.
const version = 1

// Offsets of the header fields, in bytes from the start of a datagram. Numbers are big-endian.
const (
	senderOffset   = 1                  // uint16, after the version
	epochOffset    = senderOffset + 2   // uint64
	sequenceOffset = epochOffset + 8    // uint32
	headerBytes    = sequenceOffset + 4 // the entries follow
)

// header identifies the sender of a datagram and the position of the datagram among all that this
// sender has sent.
type header struct {
	sender   uint16 // number of the scheduler
	epoch    uint64 // start of the sender by its wall clock, ns since 1970
	sequence uint32 // number of the datagram since the start of the sender; wraps around
}

// encode returns a datagram of the header and entries, which are encoded already.
func (h header) encode(entries []byte) []byte {
	b := make([]byte, 0, headerBytes+len(entries))
	b = append(b, version)
	b = binary.BigEndian.AppendUint16(b, h.sender)
	b = binary.BigEndian.AppendUint64(b, h.epoch)
	b = binary.BigEndian.AppendUint32(b, h.sequence)
	return append(b, entries...)
}

// decodeHeader splits a datagram into its header and its encoded entries. ok is false if the
// datagram is too short or of another version.
func decodeHeader(b []byte) (h header, entries []byte, ok bool) {
	if len(b) < headerBytes || b[0] != version {
		return header{}, nil, false
	}
	h = header{
		sender:   binary.BigEndian.Uint16(b[senderOffset:]),
		epoch:    binary.BigEndian.Uint64(b[epochOffset:]),
		sequence: binary.BigEndian.Uint32(b[sequenceOffset:]),
	}
	return h, b[headerBytes:], true
}
