package admin

import (
	"fmt"
	"strings"
)

// maxLine is the longest line in bytes. It is far more than any command needs; a caller that sends without end is no
// operator.
const maxLine = 256

// lineError is what is wrong with a line. Its text is sent to the caller.
type lineError string

// Error returns the text.
func (e lineError) Error() string { return string(e) }

const (
	errSecondLine lineError = "more than one line"
	errNUL        lineError = "a NUL in the line"
	errNoNewline  lineError = "the line has no end"
)

var errTooLong = lineError(fmt.Sprintf("the line is over %d bytes", maxLine))

// Line parses the one line of a connection. It is fed bytes and does no I/O.
type Line struct {
	text  []byte
	whole bool
}

// Feed parses further bytes; ended reports that no more will come. It returns whether the line is whole.
func (l *Line) Feed(b []byte, ended bool) (whole bool, err error) {
	for _, c := range b {
		switch {
		case l.whole:
			// Which of the two lines was meant can't be known: neither is carried out.
			return false, errSecondLine
		case c == '\n':
			l.whole = true
		case c == 0:
			return false, errNUL
		case len(l.text) == maxLine:
			return false, errTooLong
		default:
			l.text = append(l.text, c)
		}
	}
	if ended && !l.whole {
		return false, errNoNewline
	}
	return l.whole, nil
}

// Word is the command's word, once the line is whole.
func (l *Line) Word() string { return strings.TrimSpace(string(l.text)) }
