package http1

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// feed passes text to the parser in pieces of at most pieceSize bytes. It returns a line for each
// step other than StepNeedMore, and stops after an error.
func feed(p *Parser, text string, pieceSize int) (lines []string) {
	for b := []byte(text); len(b) > 0; {
		piece := b[:min(pieceSize, len(b))]
		b = b[len(piece):]
		for more := true; more; {
			n, step, err := p.Feed(piece)
			piece = piece[n:]
			m := p.Message
			switch {
			case err != nil:
				return append(lines, fmt.Sprintf("%d: %v", err.(*ParseError).Status, err))
			case step == StepComplete && p.ReadsResponses:
				lines = append(lines, fmt.Sprintf("%d %q close=%v", m.Status, m.Body, m.Close))
			case step == StepComplete:
				lines = append(lines, fmt.Sprintf("%s %s %q close=%v", m.Method, m.Target, m.Body, m.Close))
			case step == StepHead:
				lines = append(lines, fmt.Sprintf("head %d", m.Status))
			case step == StepBodyPiece:
				lines = append(lines, fmt.Sprintf("piece %q", p.BodyPiece))
			}
			more = step != StepNeedMore
		}
	}
	return lines
}

// printSteps prints the lines that feed returns.
func printSteps(p *Parser, text string, pieceSize int) {
	for _, line := range feed(p, text, pieceSize) {
		fmt.Println(line)
	}
}

// Requests are parsed identically whether they arrive at once or byte by byte, even if a body with
// a Content-Length contains the bytes that end a chunked body.
func Example_requests() {
	text := "\r\nPOST /render/7f?x=1 HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\n0\r\n\r\nabcd" +
		"GET /-/ready HTTP/1.1\r\nConnection: Keep-Alive, Close\r\n\r\n" +
		"POST /a HTTP/1.1\nTransfer-Encoding: chunked\n\n3;x=y\r\nabc\r\n2\nde\r\n0\r\nTrail: 1\r\n\r\n" +
		"GET /old HTTP/1.0\r\n\r\n"
	printSteps(&Parser{}, text, 1000)
	fmt.Println(slices.Equal(feed(&Parser{}, text, 1000), feed(&Parser{}, text, 1)))
	// Output:
	// POST /render/7f?x=1 "0\r\n\r\nabcd" close=false
	// GET /-/ready "" close=true
	// POST /a "abcde" close=false
	// GET /old "" close=true
	// true
}

// Interim responses are skipped. The body of a response without a length ends when the connection
// is closed. A streamed body is returned in pieces.
func Example_responses() {
	p := &Parser{ReadsResponses: true}
	printSteps(p, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"+
		"HTTP/1.1 503\r\nX-Rejected: 1\r\nContent-Length: 2\r\n\r\nno", 7)
	printSteps(p, "HTTP/1.1 200 OK\r\n\r\nTEXT x0=1", 5)
	fmt.Println(p.ConnectionClosed(), string(p.Message.Body), p.Started())
	printSteps(&Parser{ReadsResponses: true, Stream: true},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n3\r\n1}\n\r\n1\r\n\n\r\n0\r\n\r\n", 1000)
	// Output:
	// 202 "" close=false
	// 204 "" close=false
	// 503 "no" close=false
	// true TEXT x0=1 false
	// head 200
	// piece "{\"a\":"
	// piece "1}\n"
	// piece "\n"
	// 200 "" close=false
}

// Messages that another parser could interpret differently are rejected, and so are messages that
// exceed the limits on what the parser stores.
func Example_malformed() {
	for _, text := range []string{
		"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 300) + "\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4000\r\n"+strings.Repeat("a", 0x4000)+"\r\n", 5),
		"POST /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
		"POST /a HTTP/1.1\r\nA : b\r\n\r\n",
		"POST /a HTTP/1.1\r\nno colon\r\n\r\n",
		"POST /a HTTP/1.1\r\nA: b\rContent-Length: 3\r\n\r\n",
		"POST /a HTTP/1.1\r\nA: \x00\r\n\r\n",
		"POST a HTTP/1.1\r\n\r\n",
		"POST /a b HTTP/1.1\r\n\r\n",
		"POST /a HTTP/2.0\r\n\r\n",
		"\x16\x03\x01\x02\x00\x01",
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", MaxHeadBytes) + "\r\n\r\n",
	} {
		printSteps(&Parser{}, text, 4096)
	}
	printSteps(&Parser{ReadsResponses: true}, "HTTP/1.1 abc\r\n\r\n", 99)
	printSteps(&Parser{ReadsResponses: true}, "SSH-2.0-thing\r\n\r\n", 99)
	// Output:
	// 400: more than one length
	// 400: more than one length
	// 400: more than one length
	// 501: unknown transfer coding
	// 400: malformed length
	// 400: malformed length
	// 413: body over 65536 bytes
	// 400: malformed chunk size
	// 400: chunk longer than its size
	// 400: line too long between chunks
	// 413: body over 65536 bytes
	// 400: folded line in the head
	// 400: malformed header
	// 400: malformed header
	// 400: bare carriage return in the head
	// 400: control byte 0x0 in the head
	// 400: malformed request line
	// 400: malformed request line
	// 505: no HTTP/1.1
	// 400: control byte 0x16 in the head
	// 431: head over 16384 bytes
	// 502: malformed status line
	// 502: malformed status line
}

// Messages are written with a Content-Length header, except responses with status 204 and requests
// without a body that are not POST.
func Example_write() {
	fmt.Printf("%q\n", EncodeResponse(503, nil, Field{Name: "Retry-After", Value: "0.5"}))
	fmt.Printf("%q\n", EncodeResponse(204, nil))
	fmt.Printf("%q\n", EncodeRequest("POST", "/a", "b", []byte("xy"), Field{Name: "X-Call-Id", Value: "9b"}))
	fmt.Printf("%q\n", EncodeRequest("DELETE", "/jobs/9b", "b", nil))
	// Output:
	// "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
	// "HTTP/1.1 204 No Content\r\n\r\n"
	// "POST /a HTTP/1.1\r\nHost: b\r\nX-Call-Id: 9b\r\nContent-Length: 2\r\n\r\nxy"
	// "DELETE /jobs/9b HTTP/1.1\r\nHost: b\r\n\r\n"
}

// FuzzFeed checks that any input is parsed identically however it is split, and that no body
// exceeds MaxBodyBytes.
func FuzzFeed(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET / HTTP/1.1\r\n\r\n", 3, false)
	f.Add("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", 1, false)
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest", 2, true)
	f.Fuzz(func(t *testing.T, text string, pieceSize int, readsResponses bool) {
		wholeParser, splitParser := &Parser{ReadsResponses: readsResponses}, &Parser{ReadsResponses: readsResponses}
		linesWhole, linesSplit := feed(wholeParser, text, len(text)+1), feed(splitParser, text, max(1, pieceSize))
		if !slices.Equal(linesWhole, linesSplit) || wholeParser.ConnectionClosed() != splitParser.ConnectionClosed() {
			t.Errorf("parsed at once: %q, in pieces: %q", linesWhole, linesSplit)
		}
		if m := wholeParser.Message; m != nil && len(m.Body) > MaxBodyBytes {
			t.Errorf("body of %d bytes exceeds MaxBodyBytes", len(m.Body))
		}
	})
}

// A message split in two at any byte must be parsed as if it had arrived at once.
func TestSplitInputParsesIdentically(t *testing.T) {
	for _, test := range []struct {
		text           string
		readsResponses bool
	}{
		{"POST /render/7f?x=1 HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\n0\r\n\r\nabcdGET /-/ready HTTP/1.1\r\n\r\n", false},
		{"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrail: 1\r\n\r\n", false},
		{"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false},
		{"POST /a HTTP/1.1\r\nX: a\rb\r\n\r\n", false},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 204 No Content\r\n\r\n", true},
	} {
		whole := feed(&Parser{ReadsResponses: test.readsResponses}, test.text, len(test.text))
		for cut := 1; cut < len(test.text); cut++ {
			p := &Parser{ReadsResponses: test.readsResponses}
			parts := feed(p, test.text[:cut], cut)
			if n := len(parts); n == 0 || !strings.Contains(parts[n-1], ": ") { // no error: the parser can continue
				parts = append(parts, feed(p, test.text[cut:], len(test.text))...)
			}
			if !slices.Equal(parts, whole) {
				t.Errorf("%.30q split at %d: %q, parsed at once: %q", test.text, cut, parts, whole)
			}
		}
	}
}

// Up to maxInterimResponses interim responses before each final response are skipped. A larger
// number is rejected, because a peer could otherwise send them without end.
func Example_interimResponses() {
	printStatuses := func(interimCount int) {
		p := Parser{ReadsResponses: true}
		text := strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", interimCount) + "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
		for rest := []byte(text + text); len(rest) > 0; {
			used, step, err := p.Feed(rest)
			if err != nil {
				fmt.Println(interimCount, err)
				return
			}
			rest = rest[used:]
			if step == StepComplete {
				fmt.Println(interimCount, p.Message.Status)
			}
		}
	}
	printStatuses(maxInterimResponses)
	printStatuses(maxInterimResponses + 1)
	// Output:
	// 8 202
	// 8 202
	// 9 more than 8 interim responses
}
