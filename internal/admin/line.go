package admin

import (
	"fmt"
	"strings"
)

// maxLineBytes is the maximum length of a line, which is far more than any command needs. It bounds
// the memory that a peer can use by sending without end.
const maxLineBytes = 256

// lineError says why a line is malformed. Its text is sent to the operator.
type lineError string

// Error returns the text that is sent to the operator.
func (e lineError) Error() string { return string(e) }

const (
	errSecondLine lineError = "more than one line"
	errNUL        lineError = "a NUL in the line"
	errNoNewline  lineError = "the line has no end"
)

var errTooLong = lineError(fmt.Sprintf("the line is over %d bytes", maxLineBytes))

// Line parses the single line that a connection may send. Its caller feeds it the received bytes;
// it does no I/O.
type Line struct {
	text     []byte
	complete bool
}

// Feed parses the next received bytes; eof says that no more will come. It returns whether the line
// is complete. The error is a lineError.
func (l *Line) Feed(b []byte, eof bool) (complete bool, err error) {
	for _, c := range b {
		switch {
		case l.complete:
			// The command may be in either of the two lines, so neither is executed.
			return false, errSecondLine
		case c == '\n':
			l.complete = true
		case c == 0:
			return false, errNUL
		case len(l.text) == maxLineBytes:
			return false, errTooLong
		default:
			l.text = append(l.text, c)
		}
	}
	if eof && !l.complete {
		return false, errNoNewline
	}
	return l.complete, nil
}

// Command returns the name of the command, without surrounding white space, once the line is complete.
func (l *Line) Command() string { return strings.TrimSpace(string(l.text)) }
