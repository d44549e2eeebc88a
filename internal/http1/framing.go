package http1

import (
	"strconv"
	"strings"
)

// lengthBitSize is the number of bits that the length of a body or chunk must fit into, so that it
// is a non-negative 32-bit integer.
const lengthBitSize = 31

// determineFraming selects how the end of m's body is recognised, and sets the parser's next state.
// A message with two lengths, or with both a length and a transfer coding, is rejected even if they
// agree: if two parsers follow different ones, they can disagree on where the message ends, which
// allows request smuggling.
func (p *Parser) determineFraming(m *Message) error {
	lengths := m.Header["Content-Length"]
	codings := m.Header["Transfer-Encoding"]
	if len(lengths) > 1 || len(codings) > 1 || len(lengths) > 0 && len(codings) > 0 {
		return parseErrorf(StatusBadRequest, "more than one length")
	}
	if p.ReadsResponses && m.Status < minFinalStatus {
		return p.skipInterimResponse()
	}
	switch {
	case p.ReadsResponses && (m.Status == StatusNoContent || m.Status == StatusNotModified):
		p.state = stateComplete
	case len(codings) > 0:
		if strings.ToLower(strings.TrimSpace(codings[0])) != "chunked" {
			return parseErrorf(StatusNotImplemented, "unknown transfer coding")
		}
		p.state = stateChunkSize
	case len(lengths) > 0:
		if err := p.frameByContentLength(lengths[0]); err != nil {
			return err
		}
	case p.ReadsResponses:
		p.state = stateUntilClose
		m.Close = true
	default:
		p.state = stateComplete
	}
	p.Message = m
	p.pending = p.pending[:0]
	p.continueReported = false
	p.interimResponses = 0
	return nil
}

// skipInterimResponse discards an interim response, which is followed by the final one, and limits
// their number.
func (p *Parser) skipInterimResponse() error {
	p.interimResponses++
	if p.interimResponses > maxInterimResponses {
		return parseErrorf(StatusBadGateway, "more than %d interim responses", maxInterimResponses)
	}
	p.reset()
	return nil
}

// frameByContentLength sets the next state from the value of a Content-Length header.
func (p *Parser) frameByContentLength(length string) error {
	n, err := strconv.ParseUint(length, 10, lengthBitSize)
	if err != nil || strings.HasPrefix(length, "+") {
		return parseErrorf(StatusBadRequest, "malformed length")
	}
	if n > MaxBodyBytes && !p.Stream {
		return parseErrorf(StatusContentTooLarge, "body over %d bytes", MaxBodyBytes)
	}
	p.remaining = int(n)
	p.state = stateBody
	if n == 0 {
		p.state = stateComplete
	}
	return nil
}
