package http1

import (
	"bufio"
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// controlDEL is DEL, the only ASCII control character above the space.
const controlDEL = 0x7f

// feedHead collects bytes until the head is complete and then parses it. It returns the number of
// bytes consumed. Blank lines before the head are skipped, as RFC 9112 recommends.
func (p *Parser) feedHead(b []byte) (int, error) {
	for n, c := range b {
		if len(p.pending) == 0 && (c == '\r' || c == '\n') {
			continue
		}
		if isForbiddenInHead(c) {
			return n, parseErrorf(StatusBadRequest, "control byte %#x in the head", c)
		}
		if len(p.pending) == MaxHeadBytes {
			return n, parseErrorf(StatusHeaderFieldsTooLarge, "head over %d bytes", MaxHeadBytes)
		}
		if c != '\n' && bytes.HasSuffix(p.pending, []byte("\r")) {
			// Other parsers may take a bare carriage return for the end of a line.
			return n, parseErrorf(StatusBadRequest, "bare carriage return in the head")
		}
		p.pending = append(p.pending, c)
		if c == '\n' && endsWithBlankLine(p.pending) {
			return n + 1, p.parseHead()
		}
	}
	return len(b), nil
}

// isForbiddenInHead reports whether c is a control character other than tab, CR and LF.
func isForbiddenInHead(c byte) bool {
	return c < ' ' && c != '\r' && c != '\n' && c != '\t' || c == controlDEL
}

// endsWithBlankLine reports whether head ends with an empty line, terminated by CRLF or LF.
func endsWithBlankLine(head []byte) bool {
	return bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n"))
}

// parseHead parses the complete head in p.pending and determines how the body is framed.
func (p *Parser) parseHead() error {
	// Parsers disagree on folded lines, so one of them could miss a header that another one sees.
	if bytes.Contains(p.pending, []byte("\n ")) || bytes.Contains(p.pending, []byte("\n\t")) {
		return parseErrorf(StatusBadRequest, "folded line in the head")
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(p.pending)))
	startLine, err := reader.ReadLine()
	if err != nil {
		return parseErrorf(StatusBadRequest, "missing start line")
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return parseErrorf(StatusBadRequest, "malformed header")
	}
	for name := range header {
		// Parsers disagree on names that end with a space: one could see a Content-Length where
		// another does not.
		if !IsToken(name) {
			return parseErrorf(StatusBadRequest, "malformed header")
		}
	}
	m := &Message{Header: header}
	version, err := p.parseStartLine(m, startLine)
	if err != nil {
		return err
	}
	if version != version11 && version != version10 {
		return parseErrorf(StatusVersionNotSupported, "no HTTP/1.1")
	}
	m.Close = closesConnection(header, version)
	if version == version10 && len(header["Transfer-Encoding"]) > 0 {
		// Other parsers may ignore Transfer-Encoding in HTTP/1.0.
		return parseErrorf(StatusBadRequest, "Transfer-Encoding in HTTP/1.0")
	}
	return p.determineFraming(m)
}

// parseStartLine parses a status line or request line into m and returns its HTTP version.
func (p *Parser) parseStartLine(m *Message, line string) (version string, err error) {
	if p.ReadsResponses {
		return parseStatusLine(m, line)
	}
	return parseRequestLine(m, line)
}

// parseStatusLine parses the status line of a response into m and returns its HTTP version.
func parseStatusLine(m *Message, line string) (version string, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != statusDigits || status < minStatus {
		return "", parseErrorf(StatusBadGateway, "malformed status line")
	}
	m.Status = status
	return version, nil
}

// parseRequestLine parses the request line into m and returns its HTTP version. Only targets that
// are a path are accepted.
func parseRequestLine(m *Message, line string) (version string, err error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !IsToken(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return "", parseErrorf(StatusBadRequest, "malformed request line")
	}
	m.Method = parts[0]
	m.Target = parts[1]
	return parts[2], nil
}

// closesConnection reports whether the sender closes the connection after the message: in HTTP/1.1
// if it says so, in HTTP/1.0 unless it asks to keep the connection open.
func closesConnection(header textproto.MIMEHeader, version string) bool {
	hasClose := false
	hasKeepAlive := false
	for _, line := range header["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				hasClose = true
			case "keep-alive":
				hasKeepAlive = true
			}
		}
	}
	return hasClose || version == version10 && !hasKeepAlive
}

// IsToken reports whether s is a token as defined by RFC 9110: not empty, and without spaces,
// delimiters and control characters.
func IsToken(s string) bool {
	for _, c := range s {
		if !isTokenRune(c) {
			return false
		}
	}
	return s != ""
}

// isTokenRune reports whether c may occur in a token.
func isTokenRune(c rune) bool {
	return 'A' <= c && c <= 'Z' || 'a' <= c && c <= 'z' || '0' <= c && c <= '9' ||
		strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}
