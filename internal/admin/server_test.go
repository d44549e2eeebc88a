package admin

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// start serves commands at an address of its own.
func start(t *testing.T, commands Commands, maxCallers int) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := New(commands, maxCallers)
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

// call sends a text and returns the whole answer.
func call(t *testing.T, addr, text string) string {
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

func TestAnswers(t *testing.T) {
	_, addr := start(t, Commands{
		"status": func() (string, error) { return "ready", nil },
		"stats":  func() (string, error) { return "2 figures\na 1\n.", nil },
		"broken": func() (string, error) { return "", errors.New("told to\nstop") },
	}, 4)
	for _, v := range [][2]string{
		{"status\n", "+OK ready\n"},
		{"stats\r\n", "+OK 2 figures\na 1\n.\n"},
		{"broken\n", "-ERR told to stop\n"},
		{"\n", "-ERR no call \"\"\n"},
		{"statu\n", "-ERR no call \"statu\"\n"},
		{"status", "-ERR the line has no end\n"},
		{"status\nstatus\n", "-ERR more than one line\n"},
		{strings.Repeat("x", 100000), "-ERR the line is over 256 bytes\n"},
	} {
		if got := call(t, addr, v[0]); got != v[1] {
			t.Errorf("%.20q: %q", v[0], got)
		}
	}
}

// Callers that connect and send no whole line keep no other out, and hold no more descriptors than the limit.
func TestSilentCallersDoNotExcludeOthers(t *testing.T) {
	const maxCallers = 4
	s, addr := start(t, Commands{"status": func() (string, error) { return "ready", nil }}, maxCallers)
	oldest := dial(t, addr)
	for n := range 50 {
		c := dial(t, addr)
		if n%2 == 0 {
			io.WriteString(c, "sta")
		}
		if got := call(t, addr, "status\n"); got != "+OK ready\n" {
			t.Fatalf("with %d silent callers: %q", n+1, got)
		}
		if n := s.callers.count(); n > maxCallers {
			t.Fatal("callers at once:", n)
		}
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest unfinished caller is still there")
	}
	dial(t, addr).Close() // disconnects before its line, and the next one before its answer
	c := dial(t, addr)
	io.WriteString(c, "status\n")
	c.Close()
	if got := call(t, addr, "status\n"); got != "+OK ready\n" {
		t.Errorf("after callers that left: %q", got)
	}
}
