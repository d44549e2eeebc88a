package trace

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
)

// bufferBytes is the size of the buffers for reading and writing a trace.
const bufferBytes = 1 << 16

// Errors of a single row, after which the next row can still be read.
var (
	errTooLong   = errors.New("the line is too long")
	errMalformed = errors.New("the line cannot be parsed")
)

// rowReader reads the lines of a trace and splits them into fields.
type rowReader struct {
	in           *bufio.Reader
	separator    string // one character
	maxLineBytes int    // longer lines return errTooLong
	lineNumber   int    // number of the last line that was read; the first is 1
}

// empty reports whether there is nothing left to read.
func (r *rowReader) empty() bool {
	_, err := r.in.Peek(1)
	return err != nil
}

// next returns the fields of the next line that is not empty. The error is io.EOF at the end of the
// trace, and errTooLong or errMalformed for a line that cannot be used.
func (r *rowReader) next() ([]string, error) {
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		if bytes.IndexByte(line, '"') >= 0 {
			return r.quotedFields(line)
		}
		return strings.Split(string(line), r.separator), nil
	}
}

// readLine returns the next line including its line ending. A line over maxLineBytes is read to its
// end but not kept, so that memory stays bounded, and the error is errTooLong.
func (r *rowReader) readLine() ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		chunk, err := r.in.ReadSlice('\n')
		if !tooLong {
			line = append(line, chunk...)
			if len(line) > r.maxLineBytes {
				tooLong = true
				line = nil
			}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(chunk) == 0 && len(line) == 0 && !tooLong {
			return nil, io.EOF
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
		break
	}
	r.lineNumber++
	if tooLong {
		return nil, errTooLong
	}
	return line, nil
}

// quotedFields splits a line that contains quotes.
func (r *rowReader) quotedFields(line []byte) ([]string, error) {
	c := csv.NewReader(bytes.NewReader(line))
	c.Comma = rune(r.separator[0])
	c.FieldsPerRecord = -1 // rows may have different numbers of fields
	fields, err := c.Read()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errMalformed, err)
	}
	return fields, nil
}
