// Package http1 is HTTP/1.1 as a state machine: it is fed bytes and knows neither socket nor clock.
package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

// Limits on what a peer may make us keep.
const (
	MaxHead, MaxBody  = 16 << 10, 64 << 10
	maxLine, maxTrail = 256, 4 << 10 // of a chunk's size, and of what follows the last chunk
	maxInterim        = 8            // answers of a peer that would never come to the real one
)

// Bad is a message that can't be read on; Status is what a server answers to it.
type Bad struct {
	Status int
	Why    string
}

func (b *Bad) Error() string { return b.Why }

func bad(status int, format string, args ...any) error {
	return &Bad{status, fmt.Sprintf(format, args...)}
}

// Message is a request or an answer.
type Message struct {
	Method, Target string // of a request
	Status         int    // of an answer
	Header         textproto.MIMEHeader
	Body           []byte
	Close          bool // the connection ends with it
}

// Step tells how far Feed has come.
type Step uint8

const (
	More  Step = iota // all bytes are used up and the message goes on
	Head              // its head is there (streams only)
	Piece             // Parser.Piece is a part of its body (streams only)
	Whole             // all of it has come
)

type state uint8

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	toEnd // an answer's body that lasts until the connection ends
	whole
)

// Parser reads one message after the other. Answers: it reads answers, not requests. Stream: bodies are passed on
// in pieces, for answers that never end.
type Parser struct {
	Answers, Stream bool
	Message         *Message
	Piece           []byte

	state state
	head  []byte
	left  int
	asked bool

	interim int
}

// Started tells whether a message has begun and is not whole.
func (p *Parser) Started() bool { return p.state != inHead || len(p.head) > 0 }

// Expects tells, once a message, that its sender waits for leave before it sends the body.
func (p *Parser) Expects() bool {
	if p.state != inBody && p.state != inChunkSize || p.asked ||
		!strings.EqualFold(p.Message.Header.Get("Expect"), "100-continue") {
		return false
	}
	p.asked = true
	return true
}

// Feed uses bytes up and says how many. After an error the connection is of no more use.
func (p *Parser) Feed(b []byte) (used int, step Step, err error) {
	for {
		n, step, err := p.step(b[used:])
		used += n
		if err != nil || step != More || used == len(b) && p.state != whole {
			return used, step, err
		}
	}
}

func (p *Parser) step(b []byte) (n int, step Step, err error) {
	switch p.state {
	case inHead:
		n, err := p.feedHead(b)
		if err == nil && p.Stream && p.state != inHead {
			step = Head
		}
		return n, step, err
	case inBody, inChunk, toEnd:
		n = len(b)
		if p.state != toEnd {
			n = min(n, p.left)
			p.left -= n
		}
		if err := p.pass(b[:n]); err != nil {
			return n, More, err
		}
		if p.left == 0 && p.state == inBody {
			p.state = whole
		} else if p.left == 0 && p.state == inChunk {
			p.state = inChunkEnd
		}
		if p.Stream && n > 0 {
			step = Piece
		}
		return n, step, nil
	case inChunkSize, inChunkEnd, inTrailer:
		return p.feedLine(b)
	}
	p.state, p.head = inHead, nil
	return 0, Whole, nil
}

func (p *Parser) pass(b []byte) error {
	if p.Stream {
		p.Piece = b
		return nil
	}
	if len(p.Message.Body)+len(b) > MaxBody {
		return bad(413, "body over %d bytes", MaxBody)
	}
	if p.Message.Body == nil && p.state == inBody { // in one piece, and only once some of it has come
		p.Message.Body = make([]byte, 0, len(b)+p.left)
	}
	p.Message.Body = append(p.Message.Body, b...)
	return nil
}

// feedHead gathers bytes until the head is whole. Empty lines before a request are passed over, as is usual.
func (p *Parser) feedHead(b []byte) (int, error) {
	for n, c := range b {
		if len(p.head) == 0 && (c == '\r' || c == '\n') {
			continue
		}
		if c < ' ' && c != '\r' && c != '\n' && c != '\t' || c == 0x7f {
			return n, bad(400, "control byte %#x in the head", c)
		}
		if len(p.head) == MaxHead {
			return n, bad(431, "head over %d bytes", MaxHead)
		}
		if c != '\n' && bytes.HasSuffix(p.head, []byte("\r")) {
			return n, bad(400, "bare carriage return in the head") // others may see a line's end there
		}
		if p.head = append(p.head, c); c == '\n' &&
			(bytes.HasSuffix(p.head, []byte("\n\r\n")) || bytes.HasSuffix(p.head, []byte("\n\n"))) {
			return n + 1, p.readHead()
		}
	}
	return len(b), nil
}

func (p *Parser) readHead() error {
	for _, fold := range []string{"\n ", "\n\t"} { // a folded line hides a header from one side
		if bytes.Contains(p.head, []byte(fold)) {
			return bad(400, "folded line in the head")
		}
	}
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(p.head)))
	first, err := r.ReadLine()
	if err != nil {
		return bad(400, "no first line")
	}
	header, err := r.ReadMIMEHeader()
	if err != nil {
		return bad(400, "malformed header")
	}
	for name := range header {
		if !Token(name) { // a length under a name with a blank behind it would be seen by one side alone
			return bad(400, "malformed header")
		}
	}
	m := &Message{Header: header}
	version := ""
	if p.Answers {
		rest := ""
		version, rest, _ = strings.Cut(first, " ")
		code, _, _ := strings.Cut(rest, " ")
		if m.Status, err = strconv.Atoi(code); err != nil || len(code) != 3 || m.Status < 100 {
			return bad(502, "malformed status line")
		}
	} else {
		words := strings.Split(first, " ")
		if len(words) != 3 || !Token(words[0]) || !strings.HasPrefix(words[1], "/") {
			return bad(400, "malformed request line")
		}
		m.Method, m.Target, version = words[0], words[1], words[2]
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return bad(505, "no HTTP/1.1")
	}
	keep := false
	for _, line := range header["Connection"] {
		for word := range strings.SplitSeq(line, ",") {
			word = strings.ToLower(strings.TrimSpace(word))
			m.Close, keep = m.Close || word == "close", keep || word == "keep-alive"
		}
	}
	m.Close = m.Close || version == "HTTP/1.0" && !keep
	if version == "HTTP/1.0" && len(header["Transfer-Encoding"]) > 0 {
		return bad(400, "chunks in HTTP/1.0") // others may not see them
	}
	return p.frame(m)
}

// Token tells whether a text may stand as one word in a head: no blank, no separator, nothing that ends a line.
func Token(s string) bool {
	for _, c := range s {
		if !('A' <= c && c <= 'Z' || 'a' <= c && c <= 'z' || '0' <= c && c <= '9' ||
			strings.ContainsRune("!#$%&'*+-.^_`|~", c)) {
			return false
		}
	}
	return s != ""
}

// frame finds where the body ends. Two lengths, or a length beside chunks, are how requests are smuggled past a
// peer that picks the other one: refused, even where they agree.
func (p *Parser) frame(m *Message) error {
	lengths, codings := m.Header["Content-Length"], m.Header["Transfer-Encoding"]
	switch {
	case len(lengths) > 1 || len(codings) > 1 || len(lengths) > 0 && len(codings) > 0:
		return bad(400, "more than one length")
	case p.Answers && m.Status < 200: // an interim answer: the real one follows
		if p.interim++; p.interim > maxInterim {
			return bad(502, "more than %d interim answers", maxInterim)
		}
		p.state, p.head = inHead, nil
		return nil
	case p.Answers && (m.Status == 204 || m.Status == 304):
		p.state = whole
	case len(codings) > 0:
		if strings.ToLower(strings.TrimSpace(codings[0])) != "chunked" {
			return bad(501, "unknown transfer coding")
		}
		p.state = inChunkSize
	case len(lengths) > 0:
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || strings.HasPrefix(lengths[0], "+") {
			return bad(400, "malformed length")
		}
		if n > MaxBody && !p.Stream {
			return bad(413, "body over %d bytes", MaxBody)
		}
		if p.left, p.state = int(n), inBody; n == 0 {
			p.state = whole
		}
	case p.Answers:
		p.state, m.Close = toEnd, true
	default:
		p.state = whole
	}
	p.Message, p.head, p.asked, p.interim = m, p.head[:0], false, 0
	return nil
}

// feedLine reads the lines between chunks.
func (p *Parser) feedLine(b []byte) (int, Step, error) {
	end := bytes.IndexByte(b, '\n')
	n := end + 1
	if end < 0 {
		n = len(b)
	}
	if p.head = append(p.head, b[:n]...); len(p.head) > maxLine && p.state != inTrailer || len(p.head) > maxTrail {
		return n, More, bad(400, "line too long between chunks")
	}
	if end < 0 {
		return n, More, nil
	}
	line := strings.TrimSuffix(strings.TrimSuffix(string(p.head), "\n"), "\r")
	p.head = p.head[:0]
	switch p.state {
	case inChunkEnd:
		if line != "" {
			return n, More, bad(400, "chunk longer than its size")
		}
		p.state = inChunkSize
	case inChunkSize:
		digits, _, _ := strings.Cut(line, ";")
		size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
		if err != nil {
			return n, More, bad(400, "malformed chunk size")
		}
		if p.left, p.state = int(size), inChunk; size == 0 {
			p.state = inTrailer
		}
	case inTrailer:
		if line == "" {
			p.state = whole
		}
	}
	return n, More, nil
}

// End says that the connection has ended, and tells whether the message became whole by that.
func (p *Parser) End() bool {
	if p.state != toEnd {
		return false
	}
	p.state, p.head = inHead, nil
	return true
}
