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

// bufferSize is the size of the buffers of a trace, in bytes.
const bufferSize = 1 << 16

// The errors of a single row: the next one can be read all the same.
var (
	errTooLong   = errors.New("the line is too long")
	errMalformed = errors.New("can't be read")
)

// rowReader splits a trace into rows.
type rowReader struct {
	in        *bufio.Reader
	separator string
	maxSize   int // of a line, in bytes
	line      int // number of the last line that was read, from 1
}

// empty reports whether there is nothing to read.
func (r *rowReader) empty() bool {
	_, err := r.in.Peek(1)
	return err != nil
}

// next returns the fields of the next line that is not empty. At the end the error is io.EOF.
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

// readLine reads one line with its end. Of a line that is too long it holds no more than a buffer.
func (r *rowReader) readLine() ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		part, err := r.in.ReadSlice('\n')
		if !tooLong {
			line = append(line, part...)
			if len(line) > r.maxSize {
				tooLong = true
				line = nil
			}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(part) == 0 && len(line) == 0 && !tooLong {
			return nil, io.EOF
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
		break
	}
	r.line++
	if tooLong {
		return nil, errTooLong
	}
	return line, nil
}

// quotedFields splits a line with quotes.
func (r *rowReader) quotedFields(line []byte) ([]string, error) {
	c := csv.NewReader(bytes.NewReader(line))
	c.Comma = rune(r.separator[0])
	c.FieldsPerRecord = -1 // any number
	fields, err := c.Read()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errMalformed, err)
	}
	return fields, nil
}
