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
	malformedTimeout = 4 * time.Second // the scheduler has to close a connection without a whole request by then
	malformedKinds   = 5
	longText         = 200 // bytes from which a text may be answered and its connection stay open
)

// malformedText draws what a malformed client sends: a request that breaks off in its body, one
// that breaks off anywhere, garbage, many requests at once, or nothing.
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

// sendMalformed is a client that breaks the protocol and waits, or disconnects at once. A scheduler
// has to close its connection.
func (h *harness) sendMalformed(s *scheduler, rng *rand.Rand) {
	conn, err := net.DialTimeout("tcp", s.address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(malformedTimeout))
	text := malformedText(rng)
	began := time.Now()
	io.WriteString(conn, text)
	if rng.Intn(3) == 0 {
		return
	}
	_, err = io.Copy(io.Discard, conn)
	if !isTimeout(err) || s.frozenFor(began, time.Now()) > 0 || len(text) >= longText {
		return
	}
	detail := fmt.Sprintf("no end after %v of %q", toMillis(time.Since(began)), text[:min(20, len(text))])
	h.observed.addViolation("F4 bad client", s.name(), detail)
}
