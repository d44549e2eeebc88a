package http1

import "strings"

// Step says why Feed returned.
type Step uint8

const (
	// StepNeedMore means that all bytes were consumed and the message is not complete.
	StepNeedMore Step = iota
	// StepHead means that the head is complete; only with Parser.Stream.
	StepHead
	// StepBodyPiece means that Parser.BodyPiece holds a part of the body; only with Parser.Stream.
	StepBodyPiece
	// StepComplete means that the message is complete.
	StepComplete
)

// state is the part of the message to which the next byte belongs.
type state uint8

const (
	stateHead state = iota
	stateBody
	stateChunkSize
	stateChunk
	stateChunkEnd // the line break after the data of a chunk
	stateTrailer
	stateUntilClose // a response body that ends when the connection is closed
	stateComplete
)

// Parser parses consecutive messages from a stream of bytes. Its zero value parses requests.
type Parser struct {
	// ReadsResponses makes the parser expect responses instead of requests.
	ReadsResponses bool
	// Stream makes the parser return bodies in pieces as they arrive, for responses of unlimited
	// length.
	Stream bool
	// Message is the last message whose head was complete.
	Message *Message
	// BodyPiece is the latest part of a streamed body. It is a slice of the bytes passed to Feed and
	// valid until the next call.
	BodyPiece []byte

	state            state
	pending          []byte // incomplete head, or incomplete line between chunks
	remaining        int    // bytes of the body or chunk still to be received
	continueReported bool   // TakeExpectContinue has returned true for this message
	interimResponses int    // interim responses since the last final one
}

// Started reports whether part of a message has been parsed and the message is not complete.
func (p *Parser) Started() bool { return p.state != stateHead || len(p.pending) > 0 }

// TakeExpectContinue reports whether the sender waits for a 100 Continue response before it sends
// the body. It returns true at most once per message.
func (p *Parser) TakeExpectContinue() bool {
	atBody := p.state == stateBody || p.state == stateChunkSize
	if !atBody || p.continueReported || !strings.EqualFold(p.Message.Header.Get("Expect"), "100-continue") {
		return false
	}
	p.continueReported = true
	return true
}

// Feed parses bytes until the next step and returns how many it has consumed. All errors are of
// type *ParseError. The parser can't be used after an error.
func (p *Parser) Feed(b []byte) (used int, step Step, err error) {
	for {
		n, step, err := p.advance(b[used:])
		used += n
		if err != nil || step != StepNeedMore || used == len(b) && p.state != stateComplete {
			return used, step, err
		}
	}
}

// ConnectionClosed must be called when the connection has ended. It reports whether that completes
// the message, as it does for a response body without a length.
func (p *Parser) ConnectionClosed() bool {
	if p.state != stateUntilClose {
		return false
	}
	p.reset()
	return true
}

// reset prepares the parser for the head of the next message.
func (p *Parser) reset() {
	p.state = stateHead
	p.pending = nil
}

// advance parses bytes in the current state and returns how many it has consumed.
func (p *Parser) advance(b []byte) (n int, step Step, err error) {
	switch p.state {
	case stateHead:
		n, err = p.feedHead(b)
		if err == nil && p.Stream && p.state != stateHead {
			step = StepHead
		}
		return n, step, err
	case stateBody, stateChunk, stateUntilClose:
		return p.feedBody(b)
	case stateChunkSize, stateChunkEnd, stateTrailer:
		n, err = p.feedLine(b)
		return n, StepNeedMore, err
	default:
		p.reset()
		return 0, StepComplete, nil
	}
}

// feedBody consumes bytes of the body or of the current chunk.
func (p *Parser) feedBody(b []byte) (n int, step Step, err error) {
	n = len(b)
	if p.state != stateUntilClose {
		n = min(n, p.remaining)
		p.remaining -= n
	}
	if err := p.appendBody(b[:n]); err != nil {
		return n, StepNeedMore, err
	}
	if p.remaining == 0 {
		p.endBody()
	}
	if p.Stream && n > 0 {
		step = StepBodyPiece
	}
	return n, step, nil
}

// endBody sets the state that follows the last byte of a body or chunk of known length.
func (p *Parser) endBody() {
	switch p.state {
	case stateBody:
		p.state = stateComplete
	case stateChunk:
		p.state = stateChunkEnd
	}
}

// appendBody adds bytes to the body of the message, or makes them the current piece of a stream.
func (p *Parser) appendBody(b []byte) error {
	if p.Stream {
		p.BodyPiece = b
		return nil
	}
	if len(p.Message.Body)+len(b) > MaxBodyBytes {
		return parseErrorf(StatusContentTooLarge, "body over %d bytes", MaxBodyBytes)
	}
	if p.Message.Body == nil && p.state == stateBody {
		// The body's length is known from the head, but the body is allocated only once its first
		// bytes have arrived.
		p.Message.Body = make([]byte, 0, len(b)+p.remaining)
	}
	p.Message.Body = append(p.Message.Body, b...)
	return nil
}
