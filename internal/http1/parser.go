package http1

import "strings"

// Step is what Feed has come to.
type Step uint8

const (
	// More: all bytes are used and the message goes on.
	More Step = iota
	// Head: the head is complete; streams only.
	Head
	// Piece: Parser.Piece holds a part of the body; streams only.
	Piece
	// Whole: the message is complete.
	Whole
)

// state is the part of a message that the next byte belongs to.
type state uint8

const (
	stateHead state = iota
	stateBody
	stateChunkSize
	stateChunk
	stateChunkEnd // the line break behind the data of a chunk
	stateTrailer
	stateUntilClose // the body of a response that lasts until the connection ends
	stateComplete
)

// Parser reads one message after the other from a stream of bytes. Its zero value reads requests.
type Parser struct {
	// ReadsResponses has it read responses.
	ReadsResponses bool
	// Stream has it hand out bodies in pieces as they come, for responses without an end.
	Stream bool
	// Message is the last message whose head was complete.
	Message *Message
	// Piece is valid until the next call of Feed, and part of the bytes that were fed.
	Piece []byte

	state            state
	pending          []byte // of the head, or of a line between chunks
	remaining        int    // bytes of the body, or of the chunk, that are still to come
	continueReported bool   // Expects has returned true for this message
	interim          int    // interim responses since the last final one
}

// Started reports whether a message has begun and is not complete.
func (p *Parser) Started() bool { return p.state != stateHead || len(p.pending) > 0 }

// Expects reports, once a message, that its sender waits for 100 Continue before it sends the body.
func (p *Parser) Expects() bool {
	atBody := p.state == stateBody || p.state == stateChunkSize
	if !atBody || p.continueReported || !strings.EqualFold(p.Message.Header.Get("Expect"), "100-continue") {
		return false
	}
	p.continueReported = true
	return true
}

// Feed consumes bytes up to the next step, and returns how many. Its errors are of type *ParseError; after one the parser
// is of no more use.
func (p *Parser) Feed(b []byte) (used int, step Step, err error) {
	for {
		n, step, err := p.advance(b[used:])
		used += n
		if err != nil || step != More || used == len(b) && p.state != stateComplete {
			return used, step, err
		}
	}
}

// End is called when the connection has ended, and reports whether that completes the message.
func (p *Parser) End() bool {
	if p.state != stateUntilClose {
		return false
	}
	p.reset()
	return true
}

// reset makes the parser ready for the head of another message.
func (p *Parser) reset() {
	p.state = stateHead
	p.pending = nil
}

// advance consumes bytes that belong to one state.
func (p *Parser) advance(b []byte) (n int, step Step, err error) {
	switch p.state {
	case stateHead:
		n, err = p.feedHead(b)
		if err == nil && p.Stream && p.state != stateHead {
			step = Head
		}
		return n, step, err
	case stateBody, stateChunk, stateUntilClose:
		return p.feedBody(b)
	case stateChunkSize, stateChunkEnd, stateTrailer:
		n, err = p.feedLine(b)
		return n, More, err
	default:
		p.reset()
		return 0, Whole, nil
	}
}

func (p *Parser) feedBody(b []byte) (n int, step Step, err error) {
	n = len(b)
	if p.state != stateUntilClose {
		n = min(n, p.remaining)
		p.remaining -= n
	}
	if err := p.appendBody(b[:n]); err != nil {
		return n, More, err
	}
	if p.remaining == 0 {
		p.endBody()
	}
	if p.Stream && n > 0 {
		step = Piece
	}
	return n, step, nil
}

// endBody moves on from the last byte of a body or chunk of known length.
func (p *Parser) endBody() {
	switch p.state {
	case stateBody:
		p.state = stateComplete
	case stateChunk:
		p.state = stateChunkEnd
	}
}

func (p *Parser) appendBody(b []byte) error {
	if p.Stream {
		p.Piece = b
		return nil
	}
	if len(p.Message.Body)+len(b) > MaxBody {
		return parseErrorf(StatusContentTooLarge, "body over %d bytes", MaxBody)
	}
	if p.Message.Body == nil && p.state == stateBody {
		// The whole length is known, but nothing is allocated for it before some of the body has come.
		p.Message.Body = make([]byte, 0, len(b)+p.remaining)
	}
	p.Message.Body = append(p.Message.Body, b...)
	return nil
}
