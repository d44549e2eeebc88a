package discovery

// valueScanner extracts one JSON object after another from a byte stream that may be split
// anywhere. An object may be on one line or span several. The scanner only finds the end of an
// object; the decoder checks whether it is valid.
type valueScanner struct {
	text     []byte // of the current value; the caller empties it after scanComplete
	depth    int    // of nested objects and arrays
	inString bool
	escaped  bool // the previous byte was a backslash inside a string
}

// scanResult is the outcome of one call of feed.
type scanResult uint8

const (
	scanIncomplete scanResult = iota // all bytes are used, and no value or blank line has ended
	scanBlankLine                    // a blank line has ended
	scanComplete                     // text holds a complete value
)

// feed consumes bytes up to the end of a value or of a blank line, and returns their number.
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

// track updates the string and nesting state with one more byte.
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

// atEnd reports whether c ends the value. A line that does not hold an object ends with its
// newline, so that the decoder rejects it immediately.
func (v *valueScanner) atEnd(c byte) bool {
	return v.depth <= 0 && !v.inString && (c == '}' || c == ']' || c == '\n')
}
