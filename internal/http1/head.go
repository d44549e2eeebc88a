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

// deleteByte is the one control byte that is not below the blank.
const deleteByte = 0x7f

// feedHead collects bytes until the head is complete. Blank lines before it are skipped, as RFC 9112 recommends.
func (p *Parser) feedHead(b []byte) (int, error) {
	for n, c := range b {
		if len(p.pending) == 0 && (c == '\r' || c == '\n') {
			continue
		}
		if forbiddenInHead(c) {
			return n, parseErrorf(StatusBadRequest, "control byte %#x in the head", c)
		}
		if len(p.pending) == MaxHead {
			return n, parseErrorf(StatusHeaderFieldsTooLarge, "head over %d bytes", MaxHead)
		}
		if c != '\n' && bytes.HasSuffix(p.pending, []byte("\r")) {
			return n, parseErrorf(StatusBadRequest, "bare carriage return in the head") // others may see the end of a line there
		}
		p.pending = append(p.pending, c)
		if c == '\n' && endsWithBlankLine(p.pending) {
			return n + 1, p.parseHead()
		}
	}
	return len(b), nil
}

func forbiddenInHead(c byte) bool {
	return c < ' ' && c != '\r' && c != '\n' && c != '\t' || c == deleteByte
}

func endsWithBlankLine(head []byte) bool {
	return bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n"))
}

func (p *Parser) parseHead() error {
	// A folded line hides a header from one of two parsers.
	if bytes.Contains(p.pending, []byte("\n ")) || bytes.Contains(p.pending, []byte("\n\t")) {
		return parseErrorf(StatusBadRequest, "folded line in the head")
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(p.pending)))
	startLine, err := reader.ReadLine()
	if err != nil {
		return parseErrorf(StatusBadRequest, "no first line")
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return parseErrorf(StatusBadRequest, "malformed header")
	}
	for name := range header {
		if !Token(name) { // a length under a name that ends in a blank would be seen by one of two parsers
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
		return parseErrorf(StatusBadRequest, "chunks in HTTP/1.0") // others may not see them
	}
	return p.frame(m)
}

// parseStartLine reads a status line or a request line into m and returns the version in it.
func (p *Parser) parseStartLine(m *Message, line string) (version string, err error) {
	if p.ReadsResponses {
		return parseStatusLine(m, line)
	}
	return parseRequestLine(m, line)
}

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

func parseRequestLine(m *Message, line string) (version string, err error) {
	words := strings.Split(line, " ")
	if len(words) != 3 || !Token(words[0]) || !strings.HasPrefix(words[1], "/") {
		return "", parseErrorf(StatusBadRequest, "malformed request line")
	}
	m.Method = words[0]
	m.Target = words[1]
	return words[2], nil
}

// closesConnection reports whether the connection ends with the message. HTTP/1.0 has to ask for the contrary.
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

// Token reports whether s is a token in the sense of RFC 9110: not empty, and without blanks, separators and
// control characters.
func Token(s string) bool {
	for _, c := range s {
		if !tokenRune(c) {
			return false
		}
	}
	return s != ""
}

func tokenRune(c rune) bool {
	return 'A' <= c && c <= 'Z' || 'a' <= c && c <= 'z' || '0' <= c && c <= '9' ||
		strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}
