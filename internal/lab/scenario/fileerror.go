package scenario

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FileError is one thing that is wrong with a file.
type FileError struct {
	File string
	Key  string // empty: it concerns no key
	Text string
	Line int // 0: not known
}

// Error gives the text behind the place.
func (e FileError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return place + ": " + e.Text
	}
	return fmt.Sprintf("%s: %s: %s", place, e.Key, e.Text)
}

// Explain turns an error of the TOML decoder into FileErrors, joined.
func Explain(file string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var all []error
		for i := range unknownKeys.Errors {
			unknown := &unknownKeys.Errors[i]
			all = append(all, newFileError(file, unknown, "no such key"))
		}
		return errors.Join(all...)
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		return newFileError(file, malformed, strings.TrimPrefix(malformed.Error(), "toml: "))
	}
	return FileError{File: file, Text: err.Error()}
}

// newFileError is the error of a text at the decoder's place.
func newFileError(file string, at *toml.DecodeError, text string) FileError {
	line, _ := at.Position()
	return FileError{File: file, Key: strings.Join(at.Key(), "."), Text: text, Line: line}
}
