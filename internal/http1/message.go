package http1

import (
	"fmt"
	"net/textproto"
)

// Limits on what a peer may have a parser hold, and on what it may send without an end.
const (
	// MaxHead is the longest head of a message, in bytes.
	MaxHead = 16 << 10
	// MaxBody is the longest body of a message that is not streamed, in bytes.
	MaxBody = 64 << 10
	// maxChunkLine is the longest line with the size of a chunk, in bytes.
	maxChunkLine = 256
	// maxTrailerLine is the longest line of a trailer, in bytes.
	maxTrailerLine = 4 << 10
	// maxInterim is how many interim responses may come before the final one.
	maxInterim = 8
)

// Message is a request or a response.
type Message struct {
	Method string // of a request
	Target string // of a request
	Status int    // of a response
	Header textproto.MIMEHeader
	Body   []byte // nil where the message is streamed
	Close  bool   // the connection ends with this message
}

// ParseError is the error of a message that can't be parsed. The connection it came on is of no more use.
type ParseError struct {
	Status int // what a server responds with
	Reason string
}

// Error returns the reason.
func (b *ParseError) Error() string { return b.Reason }

func parseErrorf(status int, format string, args ...any) error {
	return &ParseError{Status: status, Reason: fmt.Sprintf(format, args...)}
}
