package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

// ProtocolVersion is the version of the messages. A peer with another version is rejected, because
// requests would be lost if it understood only some of the messages.
const ProtocolVersion = 1

// maxPacketBytes bounds a packet. The largest one has the longest callback body and its header.
const maxPacketBytes = 96 << 10

// errMissingHeader is returned for a packet without the newline that ends the header.
var errMissingHeader = errors.New("a packet without a head")

// Kind is the type of a message.
type Kind string

// The kinds of messages, with their senders. The texts are on the wire between processes of different
// builds, so they must not change.
const (
	KindHello           Kind = "hello"   // successor: asks to take over
	KindWelcome         Kind = "welcome" // predecessor: accepts, with the listening socket
	KindRejected        Kind = "refused" // predecessor: rejects, with a reason
	KindReady           Kind = "ready"   // successor: reports that it serves from now on
	KindIDsAcquired     Kind = "taken"   // either: requests with these IDs are in flight in the sender
	KindIDsReleased     Kind = "freed"   // either: requests with these IDs are no longer in flight in the sender
	KindCallback        Kind = "news"    // either: a worker's callback whose request may be in flight in the receiver
	KindCallbackResult  Kind = "heard"   // the answer to KindCallback
	KindMigrate         Kind = "pass"    // predecessor: a client's connection, with the request that waits on it
	KindMigrateResult   Kind = "kept"    // the answer to KindMigrate
	KindSnapshotRequest Kind = "learn"   // successor: asks for the dispatcher's snapshot
	KindSnapshotPart    Kind = "lesson"  // predecessor: a part of the snapshot
	KindSnapshotEnd     Kind = "taught"  // predecessor: the snapshot is complete
)

// Message is one packet: a header in JSON, and a body that is sent unchanged.
type Message struct {
	// Kind determines which of the other fields are set.
	Kind Kind `json:"Kind"`
	// Version is ProtocolVersion in KindHello, KindWelcome and KindRejected, and the snapshot's version in
	// KindSnapshotPart.
	Version int `json:"Version,omitempty"`
	// ListenAddress is the TCP address that the successor wants to take over, in KindHello.
	ListenAddress string `json:"Listen,omitempty"`
	// ProcessName is the successor's configured name, in KindHello. Older builds leave it empty.
	ProcessName string `json:"Name,omitempty"`
	// Sockets is the successor's descriptor quota while both processes run, in KindWelcome.
	Sockets int `json:"Sockets,omitempty"`
	// MemoryMB is the successor's memory quota in MiB while both processes run, in KindWelcome.
	MemoryMB int `json:"MemoryMB,omitempty"`
	// Reason is why a successor was rejected, in KindRejected.
	Reason RejectionReason `json:"Why,omitempty"`
	// IDs are the request IDs of KindIDsAcquired and KindIDsReleased.
	IDs []string `json:"IDs,omitempty"`
	// Sequence is the number of a KindCallback or KindMigrate message, which its answer repeats.
	Sequence uint64 `json:"Number,omitempty"`
	// Accepted is true in an answer if the callback's request was found or the migrated connection was
	// adopted.
	Accepted bool `json:"OK,omitempty"`
	// OwnerUnknown is true in KindCallbackResult if the request is migrating, so that it is not known at
	// present which process has it.
	OwnerUnknown bool `json:"Unsure,omitempty"`

	// Connection describes the connection of KindMigrate.
	Connection *MigratedConnection `json:"Pass,omitempty"`
	// Body is the callback, the body of the migrating request, or the snapshot part.
	Body []byte `json:"-"`

	// Socket is the socket whose descriptor is sent with the message. It must stay open until the message
	// is written; the link does not close it.
	Socket syscall.Conn `json:"-"`
	// File is the descriptor that was received with the message. The handler of the message closes it.
	File *os.File `json:"-"`
}

// MigratedConnection describes a connection that migrates to the successor. It is a client's, or that of a
// worker that sends callbacks.
type MigratedConnection struct {
	// Buffered is the input that was read from the connection and is not parsed yet.
	Buffered []byte `json:"Read"`
	// CarriesCallbacks is true if a worker sends callbacks on the connection.
	CarriesCallbacks bool `json:"News,omitempty"`
	// Unused is true if neither a request nor a callback has arrived on the connection yet.
	Unused bool `json:"Fresh,omitempty"`
	// SilentFor is the time for which an unused connection has been open.
	SilentFor time.Duration `json:"Silent,omitempty"`
	// Invocation is the request that waits on the connection, in the encoding of this package's user; nil:
	// the connection is idle.
	Invocation json.RawMessage `json:"Invocation,omitempty"`
}

// encode returns the message as a packet: the header, a newline, and the body.
func (m Message) encode() ([]byte, error) {
	header, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	packet := append(header, '\n')
	packet = append(packet, m.Body...)
	if len(packet) > maxPacketBytes {
		return nil, fmt.Errorf("encoded message of %d bytes exceeds the packet size limit", len(packet))
	}
	return packet, nil
}

// decode parses a packet. The body of the message shares the packet's memory.
func decode(packet []byte) (Message, error) {
	header, body, found := bytes.Cut(packet, []byte("\n"))
	if !found {
		return Message{}, errMissingHeader
	}
	var m Message
	if err := json.Unmarshal(header, &m); err != nil {
		return m, err
	}
	m.Body = body
	return m, nil
}
