// Package admin is the operators' door: a line a connection, beside the clients' address and out of a crowd's way.
package admin

import (
	"errors"
	"fmt"
	"strings"
)

// maxLine is far more than any order needs; a caller that sends without end is no operator.
const maxLine = 256

// Line reads the one line of a connection. It is fed bytes and knows no socket.
type Line struct {
	text []byte
	done bool
}

// Feed takes bytes in. ended says that no more will come. Whole tells that the line is there.
func (l *Line) Feed(b []byte, ended bool) (whole bool, err error) {
	for _, c := range b {
		switch {
		case l.done:
			// Which of the two lines was meant can't be known: neither is carried out.
			return false, errors.New("more than one line")
		case c == '\n':
			l.done = true
		case c == 0:
			return false, errors.New("a NUL in the line")
		case len(l.text) == maxLine:
			return false, fmt.Errorf("the line is over %d bytes", maxLine)
		default:
			l.text = append(l.text, c)
		}
	}
	if !l.done && ended {
		return false, errors.New("the line has no end")
	}
	return l.done, nil
}

// Word is the call, once the line is whole.
func (l *Line) Word() string { return strings.TrimSpace(string(l.text)) }
