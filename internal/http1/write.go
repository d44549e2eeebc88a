package http1

import (
	"strconv"
)

// Field is a header to write. Values come from heads that were read, or are our own: no line's end is in them.
type Field struct {
	Name  string `json:"Name"`
	Value string `json:"Value"`
}

var reasons = map[int]string{200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// Answer writes an answer.
func Answer(status int, body []byte, fields ...Field) []byte {
	b := append(make([]byte, 0, 160+len(body)), "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	b = append(b, "\r\n"...)
	return finish(b, status != 204, body, fields)
}

// Request writes a request.
func Request(method, target, host string, body []byte, fields ...Field) []byte {
	b := make([]byte, 0, 240+len(target)+len(body))
	for _, part := range []string{method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n"} {
		b = append(b, part...)
	}
	return finish(b, method == "POST" || len(body) > 0, body, fields)
}

func finish(b []byte, length bool, body []byte, fields []Field) []byte {
	for _, f := range fields {
		for _, part := range []string{f.Name, ": ", f.Value, "\r\n"} {
			b = append(b, part...)
		}
	}
	if length {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
