package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// feedLine collects a line between chunks or of the trailer, and handles it once it is complete. It
// returns the number of bytes consumed.
func (p *Parser) feedLine(b []byte) (int, error) {
	newline := bytes.IndexByte(b, '\n')
	n := newline + 1
	if newline < 0 {
		n = len(b)
	}
	p.pending = append(p.pending, b[:n]...)
	if len(p.pending) > p.maxLineBytes() {
		return n, parseErrorf(StatusBadRequest, "line too long between chunks")
	}
	if newline < 0 {
		return n, nil
	}
	line := strings.TrimSuffix(strings.TrimSuffix(string(p.pending), "\n"), "\r")
	p.pending = p.pending[:0]
	return n, p.handleLine(line)
}

// maxLineBytes returns the maximum length of a line in the current state, in bytes.
func (p *Parser) maxLineBytes() int {
	if p.state == stateTrailer {
		return maxTrailerLineBytes
	}
	return maxChunkLineBytes
}

// handleLine handles a complete line, without its line break, and sets the next state.
func (p *Parser) handleLine(line string) error {
	switch p.state {
	case stateChunkEnd:
		if line != "" {
			return parseErrorf(StatusBadRequest, "chunk longer than its size")
		}
		p.state = stateChunkSize
	case stateChunkSize:
		digits, _, _ := strings.Cut(line, ";") // chunk extensions are ignored
		size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, lengthBitSize)
		if err != nil {
			return parseErrorf(StatusBadRequest, "malformed chunk size")
		}
		p.remaining = int(size)
		p.state = stateChunk
		if size == 0 {
			p.state = stateTrailer
		}
	case stateTrailer:
		if line == "" {
			p.state = stateComplete
		}
	}
	return nil
}
