// Package handover is how a process that is to replace another one finds it, gets its listening socket, and how the two
// talk for as long as both live: over a Unix socket of packets, so that a message and the descriptor that comes with it
// stay together and nothing has to be framed.
package handover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"
)

// Version of the messages. Another one is refused: half an understanding would lose invocations.
const Version = 1

// maxPacket holds the longest body of news with its head.
const maxPacket = 96 << 10

// Kind says what a message is about.
type Kind string

const (
	Hello   Kind = "hello"   // newcomer: it wants to take over
	Welcome Kind = "welcome" // to it, with the listening socket
	Refused Kind = "refused" // to it: it may not, and why
	Ready   Kind = "ready"   // newcomer: it serves from now on
	Taken   Kind = "taken"   // either: these ids are in hand here
	Freed   Kind = "freed"   // either: these are no longer
	News    Kind = "news"    // either: a worker's news that may be for the other one
	Heard   Kind = "heard"   // the answer to that
	Pass    Kind = "pass"    // from the one that ends: a client's connection, with the invocation that waits on it
	Kept    Kind = "kept"    // the answer to that
	Learn   Kind = "learn"   // newcomer: it asks for what was learned
	Lesson  Kind = "lesson"  // a part of that
	Taught  Kind = "taught"  // there is no more
)

// Message is one packet: a head, and a body that is passed on as it came.
type Message struct {
	Kind     Kind     `json:"Kind"`
	Version  int      `json:"Version,omitempty"`
	Listen   string   `json:"Listen,omitempty"`   // hello: the address to be taken over
	Name     string   `json:"Name,omitempty"`     // hello: whose; an older version does not say
	Sockets  int      `json:"Sockets,omitempty"`  // welcome: the newcomer's part while both live
	MemoryMB int      `json:"MemoryMB,omitempty"` // likewise
	Why      string   `json:"Why,omitempty"`
	IDs      []string `json:"IDs,omitempty"`
	Number   uint64   `json:"Number,omitempty"` // of news or a pass, in its answer too
	OK       bool     `json:"OK,omitempty"`     // news has found its owner; what was passed is kept
	Unsure   bool     `json:"Unsure,omitempty"` // its owner can't be told at this moment

	Pass *Passed `json:"Pass,omitempty"`
	Body []byte  `json:"-"` // of news, the request that is passed, or a part of the lesson

	Socket syscall.Conn `json:"-"` // to go with it
	File   *os.File     `json:"-"` // that came with it; whoever takes the message closes it
}

// Passed is a client's connection, or one that brings workers' news.
type Passed struct {
	Read       []byte          `json:"Read"` // was read of it and not used
	News       bool            `json:"News,omitempty"`
	Fresh      bool            `json:"Fresh,omitempty"`      // nothing has come over it yet
	Silent     time.Duration   `json:"Silent,omitempty"`     // for so long, of a fresh one
	Invocation json.RawMessage `json:"Invocation,omitempty"` // as those know it who keep invocations; none: it is idle
}

func (m Message) encode() ([]byte, error) {
	head, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	packet := append(append(head, '\n'), m.Body...)
	if len(packet) > maxPacket {
		return nil, fmt.Errorf("a message of %d bytes is too long", len(packet))
	}
	return packet, nil
}

func decode(packet []byte) (m Message, err error) {
	head, body, found := bytes.Cut(packet, []byte("\n"))
	if !found {
		return m, fmt.Errorf("a packet without a head")
	}
	if err := json.Unmarshal(head, &m); err != nil {
		return m, err
	}
	m.Body = body
	return m, nil
}
