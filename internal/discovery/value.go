package discovery

// value gathers one JSON object after the other from bytes that come cut anywhere, each on one line or indented over many.
// It looks for its end alone; whether it is sound is for whoever reads it.
type value struct {
	text    []byte
	depth   int
	quoted  bool // inside a string
	escaped bool // behind a backslash in it
}

type step uint8

const (
	more     step = iota // all bytes are used up and the value goes on, or none has begun
	empty                // a line ended with no value on it
	complete             // text is whole; whoever takes it empties it
)

func (v *value) feed(b []byte) (used int, s step) {
	for n, c := range b {
		if v.depth == 0 && len(v.text) == 0 {
			switch c {
			case '\n':
				return n + 1, empty
			case ' ', '\t', '\r':
				continue
			}
		}
		v.text = append(v.text, c)
		switch {
		case v.escaped:
			v.escaped = false
		case v.quoted:
			v.escaped, v.quoted = c == '\\', c != '"'
		case c == '"':
			v.quoted = true
		case c == '{' || c == '[':
			v.depth++
		case c == '}' || c == ']':
			v.depth--
		}
		if v.depth <= 0 && !v.quoted && (c == '}' || c == ']' || c == '\n') {
			v.depth = 0 // a line that is no object is whole too: it can't be read
			return n + 1, complete
		}
	}
	return len(b), more
}
