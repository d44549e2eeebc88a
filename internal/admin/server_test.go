package admin

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// startServer serves commands on a free loopback port and returns its address.
func startServer(t *testing.T, commands Commands, maxConnections int) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := New(commands, maxConnections)
	go s.Serve(l)
	return s, l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

// sendLine sends a text on a new connection and returns the whole answer.
func sendLine(t *testing.T, addr, text string) string {
	t.Helper()
	c := dial(t, addr)
	io.WriteString(c, text)
	c.(*net.TCPConn).CloseWrite()
	got, err := io.ReadAll(c)
	if err != nil {
		t.Error(err)
	}
	return string(got)
}

func TestCommandsAreAnswered(t *testing.T) {
	_, addr := startServer(t, Commands{
		"status": func() (string, error) { return "ready", nil },
		"stats":  func() (string, error) { return "2 figures\na 1\n.", nil },
		"broken": func() (string, error) { return "", errors.New("told to\nstop") },
	}, 4)
	for _, testCase := range [][2]string{
		{"status\n", "+OK ready\n"},
		{"stats\r\n", "+OK 2 figures\na 1\n.\n"},
		{"broken\n", "-ERR told to stop\n"},
		{"\n", "-ERR no call \"\"\n"},
		{"statu\n", "-ERR no call \"statu\"\n"},
		{"status", "-ERR the line has no end\n"},
		{"status\nstatus\n", "-ERR more than one line\n"},
		{strings.Repeat("x", 100000), "-ERR the line is over 256 bytes\n"},
	} {
		if got := sendLine(t, addr, testCase[0]); got != testCase[1] {
			t.Errorf("wrong answer to %.20q: %q", testCase[0], got)
		}
	}
}

// Connections that never send a complete line must not keep other operators out, and there must
// never be more open connections than the limit.
func TestSilentConnectionsDoNotExcludeOthers(t *testing.T) {
	const maxConnections = 4
	s, addr := startServer(t, Commands{"status": func() (string, error) { return "ready", nil }}, maxConnections)
	oldest := dial(t, addr)
	for n := range 50 {
		c := dial(t, addr)
		if n%2 == 0 {
			io.WriteString(c, "sta")
		}
		if got := sendLine(t, addr, "status\n"); got != "+OK ready\n" {
			t.Fatalf("wrong answer beside %d silent connections: %q", n+1, got)
		}
		if n := s.connections.count(); n > maxConnections {
			t.Fatal("more open connections than the limit:", n)
		}
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection without a command was not closed")
	}
	dial(t, addr).Close() // disconnects before its line; the next connection before its answer
	c := dial(t, addr)
	io.WriteString(c, "status\n")
	c.Close()
	if got := sendLine(t, addr, "status\n"); got != "+OK ready\n" {
		t.Errorf("wrong answer after connections that disconnected early: %q", got)
	}
}
