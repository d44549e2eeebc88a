package discovery

// valueScanner collects one JSON object after the other from a byte stream that is cut anywhere. An object may
// be on one line or span many. The scanner finds its end only; whether it is valid is for the decoder.
type valueScanner struct {
	text     []byte // of the present value; the caller empties it after scanComplete
	depth    int    // of nested objects and arrays
	inString bool
	escaped  bool // the byte before was a backslash inside a string
}

// scanResult is how far one call of feed has come.
type scanResult uint8

const (
	scanIncomplete scanResult = iota // all bytes are used and the value goes on, or none has begun
	scanBlankLine                    // a line without a value has ended
	scanComplete                     // text holds a whole value
)

// feed consumes bytes up to the end of a value or of a blank line, and returns how many.
func (v *valueScanner) feed(b []byte) (used int, result scanResult) {
	for n, c := range b {
		if v.depth == 0 && len(v.text) == 0 {
			switch c {
			case '\n':
				return n + 1, scanBlankLine
			case ' ', '\t', '\r':
				continue
			}
		}
		v.text = append(v.text, c)
		v.track(c)
		if v.atEnd(c) {
			v.depth = 0
			return n + 1, scanComplete
		}
	}
	return len(b), scanIncomplete
}

// track follows strings and nesting over one more byte.
func (v *valueScanner) track(c byte) {
	switch {
	case v.escaped:
		v.escaped = false
	case v.inString:
		v.escaped = c == '\\'
		v.inString = c != '"'
	case c == '"':
		v.inString = true
	case c == '{' || c == '[':
		v.depth++
	case c == '}' || c == ']':
		v.depth--
	}
}

// atEnd reports whether c ends the value. A line that is no object ends with its newline, so that the decoder
// rejects it at once.
func (v *valueScanner) atEnd(c byte) bool {
	return v.depth <= 0 && !v.inString && (c == '}' || c == ']' || c == '\n')
}
