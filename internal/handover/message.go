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

// Version is the version of the messages. A peer of another version is rejected: messages that are understood in part
// would lose requests.
const Version = 1

// maxPacketBytes is the largest packet: the longest callback body with its head.
const maxPacketBytes = 96 << 10

// errNoHead is returned for a packet without the line that ends its head.
var errNoHead = errors.New("a packet without a head")

// Kind is the type of a message.
type Kind string

// The kinds of messages, with who sends them. Their texts are on the wire between processes of different builds.
const (
	KindHello           Kind = "hello"   // successor: asks to take over
	KindWelcome         Kind = "welcome" // predecessor: accepts, with the listening socket
	KindRejected        Kind = "refused" // predecessor: rejects, with a reason
	KindReady           Kind = "ready"   // successor: it serves from now on
	KindIDsAcquired     Kind = "taken"   // either: requests with these IDs are in flight here
	KindIDsReleased     Kind = "freed"   // either: they are no longer
	KindCallback        Kind = "news"    // either: a worker's callback whose request may be the peer's
	KindCallbackResult  Kind = "heard"   // the answer to KindCallback
	KindMigrate         Kind = "pass"    // predecessor: a client's connection, with the request that waits on it
	KindMigrateResult   Kind = "kept"    // the answer to KindMigrate
	KindSnapshotRequest Kind = "learn"   // successor: asks for the dispatcher's snapshot
	KindSnapshotPart    Kind = "lesson"  // predecessor: a part of the snapshot
	KindSnapshotEnd     Kind = "taught"  // predecessor: no further part follows
)

// Message is one packet: a head in JSON, and a body that is forwarded as it is.
type Message struct {
	// Kind says which of the other fields are set.
	Kind Kind `json:"Kind"`
	// Version is Version in KindHello and KindWelcome, and the snapshot's version in KindSnapshotPart.
	Version int `json:"Version,omitempty"`
	// ListenAddress is the TCP address to be taken over, in KindHello.
	ListenAddress string `json:"Listen,omitempty"`
	// ProcessName is the configured name of the successor, in KindHello. Older builds leave it empty.
	ProcessName string `json:"Name,omitempty"`
	// Sockets is the successor's quota of descriptors while both processes live, in KindWelcome.
	Sockets int `json:"Sockets,omitempty"`
	// MemoryMB is the successor's quota of memory in MiB while both processes live, in KindWelcome.
	MemoryMB int `json:"MemoryMB,omitempty"`
	// Reason is why a successor was rejected, in KindRejected.
	Reason RejectionReason `json:"Why,omitempty"`
	// IDs are the requests of KindIDsAcquired and KindIDsReleased.
	IDs []string `json:"IDs,omitempty"`
	// Sequence numbers KindCallback and KindMigrate; the answer repeats it.
	Sequence uint64 `json:"Number,omitempty"`
	// Accepted says in an answer that the callback has found its request, or that the migrated connection is adopted.
	Accepted bool `json:"OK,omitempty"`
	// OwnerUnknown says in KindCallbackResult that the request is migrating, so that its owner can't be told now.
	OwnerUnknown bool `json:"Unsure,omitempty"`

	// Connection describes the connection of KindMigrate.
	Connection *MigratedConnection `json:"Pass,omitempty"`
	// Body is the callback, the body of the migrating request, or a part of the snapshot.
	Body []byte `json:"-"`

	// Socket is the descriptor to be sent with the message; it is borrowed until the message is written.
	Socket syscall.Conn `json:"-"`
	// File is the descriptor that was received with the message. The receiver of the message closes it.
	File *os.File `json:"-"`
}

// MigratedConnection describes a connection of a client, or of a worker that sends callbacks, that goes to the successor.
type MigratedConnection struct {
	// Buffered was read from the connection and is not parsed yet.
	Buffered []byte `json:"Read"`
	// CarriesCallbacks says that the connection is a worker's.
	CarriesCallbacks bool `json:"News,omitempty"`
	// Unused says that nothing has been read from the connection yet.
	Unused bool `json:"Fresh,omitempty"`
	// SilentFor is how long an unused connection has been open.
	SilentFor time.Duration `json:"Silent,omitempty"`
	// Invocation is the request that waits on the connection, in the encoding of this package's user; nil: it is idle.
	Invocation json.RawMessage `json:"Invocation,omitempty"`
}

// encode gives the message as a packet: the head, a line end, and the body.
func (m Message) encode() ([]byte, error) {
	head, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	packet := append(head, '\n')
	packet = append(packet, m.Body...)
	if len(packet) > maxPacketBytes {
		return nil, fmt.Errorf("a message of %d bytes is too long", len(packet))
	}
	return packet, nil
}

// decode reads a packet. The message's body shares the packet's memory.
func decode(packet []byte) (Message, error) {
	head, body, found := bytes.Cut(packet, []byte("\n"))
	if !found {
		return Message{}, errNoHead
	}
	var m Message
	if err := json.Unmarshal(head, &m); err != nil {
		return m, err
	}
	m.Body = body
	return m, nil
}
