package http1

import "strconv"

// Typical lengths of message heads, in bytes, which are allocated in addition to the known lengths.
const (
	typicalResponseHeadBytes = 160
	typicalRequestHeadBytes  = 240 // without the target
)

// Field is a header field to write. The value must not contain a line break, and is not checked: it
// comes from a parsed head or from this program.
type Field struct {
	Name  string `json:"Name"`
	Value string `json:"Value"`
}

// EncodeResponse returns an encoded response. It has a Content-Length header unless the status is
// StatusNoContent.
func EncodeResponse(status int, body []byte, fields ...Field) []byte {
	b := make([]byte, 0, typicalResponseHeadBytes+len(body))
	b = append(b, version11...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\n"...)
	return appendFieldsAndBody(b, fields, body, status != StatusNoContent)
}

// EncodeRequest returns an encoded request. It has a Content-Length header if it has a body or its
// method is POST.
func EncodeRequest(method, target, host string, body []byte, fields ...Field) []byte {
	b := make([]byte, 0, typicalRequestHeadBytes+len(target)+len(body))
	for _, part := range []string{method, " ", target, " ", version11, "\r\nHost: ", host, "\r\n"} {
		b = append(b, part...)
	}
	return appendFieldsAndBody(b, fields, body, method == "POST" || len(body) > 0)
}

// appendFieldsAndBody appends the given header fields, a Content-Length header if withLength is
// set, and the body.
func appendFieldsAndBody(b []byte, fields []Field, body []byte, withLength bool) []byte {
	for _, f := range fields {
		for _, part := range []string{f.Name, ": ", f.Value, "\r\n"} {
			b = append(b, part...)
		}
	}
	if withLength {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
