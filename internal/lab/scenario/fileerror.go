package scenario

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FileError is one error in a configuration file.
type FileError struct {
	File string
	Key  string // path of the key; empty: the error concerns the whole file
	Text string
	Line int // from 1; 0: not known
}

// Error returns the text, prefixed by the file, the line and the key, as far as they are known.
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

// DescribeDecodeError converts an error of the TOML decoder into a FileError, or joins one for each
// unknown key.
func DescribeDecodeError(file string, err error) error {
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

// newFileError returns a FileError with the key and line of a decoder's error.
func newFileError(file string, at *toml.DecodeError, text string) FileError {
	line, _ := at.Position()
	return FileError{File: file, Key: strings.Join(at.Key(), "."), Text: text, Line: line}
}
