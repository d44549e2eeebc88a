package soak

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"time"
)

const (
	malformedTimeout = 4 * time.Second // a scheduler must close a connection without a complete request within this time
	malformedKinds   = 5               // kinds of malformed input
	longTextBytes    = 200             // input of at least this length may get an answer, and its connection may stay open
)

// malformedText returns random input of a malformed client: a request that is cut off in its body,
// one that is cut off anywhere, garbage, many requests at once, or nothing.
func malformedText(rng *rand.Rand) string {
	text := "POST /render/k HTTP/1.1\r\nHost: soak\r\nX-Call-Id: bad\r\nX-Call-Class: render\r\n" +
		"X-Budget: 1.0\r\nContent-Length: 40\r\n\r\nhalf"
	switch rng.Intn(malformedKinds) {
	case 0:
		return text[:rng.Intn(len(text))]
	case 1:
		return strings.Repeat("\x00garbage ", 100) + "\r\n\r\n"
	case 2:
		return strings.Repeat("GET /-/ready HTTP/1.1\r\nHost: soak\r\n\r\n", 50)
	case 3:
		return ""
	default:
		return text
	}
}

// sendMalformed opens a connection, sends malformed input, and either disconnects at once or waits.
// It records a violation if the scheduler doesn't close the connection in time.
func (h *harness) sendMalformed(s *scheduler, rng *rand.Rand) {
	conn, err := net.DialTimeout("tcp", s.address, clientDialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(malformedTimeout))
	text := malformedText(rng)
	startedAt := time.Now()
	io.WriteString(conn, text)
	if rng.Intn(3) == 0 {
		return
	}
	_, err = io.Copy(io.Discard, conn)
	if !isTimeout(err) || s.frozenFor(startedAt, time.Now()) > 0 || len(text) >= longTextBytes {
		return
	}
	detail := fmt.Sprintf("connection still open %v after %q", roundToMillis(time.Since(startedAt)), text[:min(20, len(text))])
	h.observed.addViolation("F4 bad client", s.name(), detail)
}
