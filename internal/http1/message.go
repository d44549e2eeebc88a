package http1

import (
	"fmt"
	"net/textproto"
)

// Limits on how much memory a peer can make a parser use, and on sequences that it could send
// without end.
const (
	// MaxHeadBytes is the maximum length of a message's head, in bytes.
	MaxHeadBytes = 16 << 10
	// MaxBodyBytes is the maximum length of the body of a message that is not streamed, in bytes.
	MaxBodyBytes = 64 << 10
	// maxChunkLineBytes is the maximum length of the line with a chunk's size, in bytes.
	maxChunkLineBytes = 256
	// maxTrailerLineBytes is the maximum length of a trailer line, in bytes.
	maxTrailerLineBytes = 4 << 10
	// maxInterimResponses is the maximum number of interim responses before a final one.
	maxInterimResponses = 8
)

// Message is a request or a response.
type Message struct {
	Method string // requests only
	Target string // requests only
	Status int    // responses only
	Header textproto.MIMEHeader
	Body   []byte // nil if the message is streamed
	Close  bool   // the connection is closed after this message
}

// ParseError reports that a message can't be parsed. As the end of the message is unknown, its
// connection can't be used any more.
type ParseError struct {
	Status int // status code with which a server should respond
	Reason string
}

// Error returns the reason, without the status code.
func (e *ParseError) Error() string { return e.Reason }

// parseErrorf returns a *ParseError with a formatted reason.
func parseErrorf(status int, format string, args ...any) error {
	return &ParseError{Status: status, Reason: fmt.Sprintf(format, args...)}
}
