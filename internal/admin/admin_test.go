package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Whatever is sent, cut at any byte, ends in a word or in a reason.
func ExampleLine() {
	for _, text := range []string{"status\n", "status\r\n", "  stats \n", "\n", "status", "", "sta\x00tus\n", "status\nstandby\n",
		strings.Repeat("a", maxLine) + "\n", strings.Repeat("a", maxLine+1) + "\n"} {
		var first string
		for cut := range len(text) + 1 {
			var l Line
			whole, err := l.Feed([]byte(text[:cut]), false)
			if err == nil {
				whole, err = l.Feed([]byte(text[cut:]), true)
			}
			got := fmt.Sprintf("%.20q: whole %v, word %.10q, %v", text, whole, l.Word(), err)
			if cut == 0 {
				first = got
				fmt.Println(got)
			} else if !whole && err == nil || whole && got != first {
				fmt.Println("cut at", cut, got)
			}
		}
	}
	// Output:
	// "status\n": whole true, word "status", <nil>
	// "status\r\n": whole true, word "status", <nil>
	// "  stats \n": whole true, word "stats", <nil>
	// "\n": whole true, word "", <nil>
	// "status": whole false, word "status", the line has no end
	// "": whole false, word "", the line has no end
	// "sta\x00tus\n": whole false, word "sta", a NUL in the line
	// "status\nstandby\n": whole false, word "status", more than one line
	// "aaaaaaaaaaaaaaaaaaaa": whole true, word "aaaaaaaaaa", <nil>
	// "aaaaaaaaaaaaaaaaaaaa": whole false, word "aaaaaaaaaa", the line is over 256 bytes
}

func open(t *testing.T, calls Commands, most int) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d := New(calls, most)
	go d.Serve(l)
	return d, l.Addr().String()
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
	_, addr := open(t, Commands{
		"status": func() (string, error) { return "ready", nil },
		"stats":  func() (string, error) { return "2 figures\na 1\n.", nil },
		"broken": func() (string, error) { return "", errors.New("told to\nstop") },
	}, 4)
	for _, v := range [][2]string{
		{"status\n", "+OK ready\n"}, {"stats\r\n", "+OK 2 figures\na 1\n.\n"}, {"broken\n", "-ERR told to stop\n"},
		{"\n", "-ERR no call \"\"\n"}, {"statu\n", "-ERR no call \"statu\"\n"}, {"status", "-ERR the line has no end\n"},
		{"status\nstatus\n", "-ERR more than one line\n"}, {strings.Repeat("x", 100000), "-ERR the line is over 256 bytes\n"},
	} {
		if got := call(t, addr, v[0]); got != v[1] {
			t.Errorf("%.20q: %q", v[0], got)
		}
	}
}

// Callers that connect and finish no call keep nobody out, and hold no more descriptors than there are set aside.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	const most = 4
	d, addr := open(t, Commands{"status": func() (string, error) { return "ready", nil }}, most)
	oldest := dial(t, addr)
	for n := range 50 {
		c := dial(t, addr)
		if n%2 == 0 {
			io.WriteString(c, "sta")
		}
		if got := call(t, addr, "status\n"); got != "+OK ready\n" {
			t.Fatalf("with %d silent callers: %q", n+1, got)
		}
		if n := d.callers(); n > most {
			t.Fatal("callers at once:", n)
		}
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest unfinished caller is still there")
	}
	dial(t, addr).Close() // gone before it said a word, and before its answer
	c := dial(t, addr)
	io.WriteString(c, "status\n")
	c.Close()
	if got := call(t, addr, "status\n"); got != "+OK ready\n" {
		t.Errorf("after callers that left: %q", got)
	}
}
