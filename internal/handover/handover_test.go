package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func dir(t *testing.T) string {
	t.Helper()
	d, err := os.MkdirTemp("", "ho")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(d) })
	return d
}

func listening(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// keep lets a process be found that welcomes whoever comes, and passes on its side of the link.
func keep(t *testing.T, place string, l net.Listener) chan *Link {
	t.Helper()
	p, err := Keep(place)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	links := make(chan *Link, 1)
	go p.Serve(func(n *Newcomer) {
		if n.Listen != l.Addr().String() {
			n.Refuse("another address")
			return
		}
		link, err := n.Welcome(l, Message{Sockets: 100})
		if err == nil {
			links <- link
		}
	})
	return links
}

// What waits in the queue of the listening socket is served by the successor, whatever becomes of the old process.
// With a socket of one's own at the same address it would be reset: that is why the socket is passed.
func TestPendingConnections(t *testing.T) {
	for _, passed := range []bool{true, false} {
		old := listening(t)
		addr := old.Addr().String()
		if !passed {
			old.Close()
			old = reusing(t, addr)
		}
		var pending []net.Conn
		for range 20 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			pending = append(pending, c)
		}
		next := old
		if passed {
			place, err := Place(dir(t), addr)
			if err != nil {
				t.Fatal(err)
			}
			keep(t, place, old)
			link, m, l, err := Find(place, addr, "n0")
			if err != nil || m.Sockets != 100 {
				t.Fatal(m, err)
			}
			defer link.Close()
			defer l.Close()
			next = l.(*net.TCPListener)
		} else {
			next = reusing(t, addr)
		}
		old.Close()
		go func() {
			for {
				c, err := next.Accept()
				if err != nil {
					return
				}
				io.WriteString(c, "served")
				c.Close()
			}
		}()
		served := 0
		for _, c := range pending {
			c.SetDeadline(time.Now().Add(2 * time.Second))
			if b, _ := io.ReadAll(c); string(b) == "served" {
				served++
			}
		}
		if passed && served != len(pending) || !passed && served > 0 {
			t.Error("passed:", passed, "served:", served, "of", len(pending))
		}
	}
}

func reusing(t *testing.T, addr string) *net.TCPListener {
	t.Helper()
	l, err := Reuse(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// A file that the dead have left, none at all, a peer that hangs, ends, or speaks another version.
func TestFindFails(t *testing.T) {
	d := dir(t)
	place, err := Place(d, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Find(place, "127.0.0.1:1", "n0"); !errors.Is(err, ErrNobody) {
		t.Error("nobody:", err)
	}
	dead, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: place, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	dead.SetUnlinkOnClose(false)
	dead.Close()
	if _, _, _, err := Find(place, "127.0.0.1:1", "n0"); !errors.Is(err, ErrNobody) {
		t.Error("a file of the dead:", err)
	}
	os.Remove(place)
	if _, err := Place(filepath.Join(d, strings.Repeat("x", 120)), "127.0.0.1:1"); err == nil {
		t.Error("a path that no Unix address holds is taken")
	}
	peer := func(answer func(*Link)) string {
		place := filepath.Join(dir(t), "p")
		l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: place, Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			c, err := l.AcceptUnix()
			if err != nil {
				return
			}
			link := newLink(c)
			// Held until the test is over: a connection that nothing refers to is closed when memory is collected,
			// and the peer that hangs would end.
			t.Cleanup(link.Close)
			link.read()
			answer(link)
		}()
		return place
	}
	for what, answer := range map[string]func(*Link){
		"answered \"welcome\" of version 7": func(l *Link) { l.write(Message{Kind: Welcome, Version: 7}, -1) },
		"no socket came with the welcome":   func(l *Link) { l.write(Message{Kind: Welcome, Version: Version}, -1) },
		"refused: busy":                     func(l *Link) { l.write(Message{Kind: Refused, Why: "busy"}, -1) },
		"EOF":                               func(l *Link) { l.Close() },
		"i/o timeout":                       func(l *Link) {},
		"a packet without a head":           func(l *Link) { l.c.Write([]byte("{}")) },
		"the socket that came listens at":   func(l *Link) { welcome(t, l) },
	} {
		if link, _, _, err := Find(peer(answer), "127.0.0.1:1", "n0"); err == nil || !strings.Contains(err.Error(), what) {
			t.Error("wanted", what, "got", err, link)
		}
	}
}

func welcome(t *testing.T, l *Link) {
	raw, err := listening(t).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	raw.Control(func(fd uintptr) { l.write(Message{Kind: Welcome, Version: Version}, int(fd)) })
}

// A newcomer of another version is told so; one that says nothing does not keep the next one out for long.
func TestGreet(t *testing.T) {
	l := listening(t)
	place := filepath.Join(dir(t), "p")
	links := keep(t, place, l)
	dial := func() *Link {
		c, err := net.Dial("unixpacket", place)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return newLink(c.(*net.UnixConn))
	}
	other := dial()
	other.write(Message{Kind: Hello, Version: 7}, -1)
	if m, _, err := other.read(); err != nil || m.Kind != Refused || m.Why != `"hello" of version 7, not 1` {
		t.Error(m, err)
	}
	dial() // silent
	var err error
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		if _, _, _, err = Find(place, l.Addr().String(), "n0"); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal("after a silent one:", err)
	}
	<-links
}

// The place passes from one process to the next without a gap, and the old one's end does not take it away.
func TestKeep(t *testing.T) {
	place := filepath.Join(dir(t), "p")
	os.WriteFile(place+".new", []byte("left"), 0o600)
	first, err := Keep(place)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Keep(place)
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	if c, err := net.Dial("unixpacket", place); err != nil {
		t.Error("the old one's end took the place away:", err)
	} else {
		c.Close()
	}
	second.Close()
	if left, _ := filepath.Glob(place + "*"); len(left) > 0 {
		t.Error("left behind:", left)
	}
}

// Messages go both ways whole and in order, the longest too; each side hears the other's end once. A peer that reads
// nothing is given up without a wait.
func TestLink(t *testing.T) {
	pair := func() (*Link, *Link) {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		var ends [2]*Link
		for i, fd := range fds {
			f := os.NewFile(uintptr(fd), "")
			c, err := net.FileConn(f)
			if err != nil {
				t.Fatal(err)
			}
			f.Close()
			ends[i] = newLink(c.(*net.UnixConn))
		}
		return ends[0], ends[1]
	}
	a, b := pair()
	got, gone := make(chan Message, 10), make(chan string, 2)
	a.Start(func(m Message) { got <- m }, func() { gone <- "a" })
	b.Start(func(m Message) { got <- m; b.Send(Message{Kind: Heard, Number: m.Number}) }, func() { gone <- "b" })
	for n := range uint64(3) {
		a.Send(Message{Kind: News, Number: n, Body: []byte(strings.Repeat("\n", 64<<10))})
		m, answer := <-got, <-got
		if m.Kind != News || m.Number != n || len(m.Body) != 64<<10 || answer.Kind != Heard || answer.Number != n {
			t.Error(m.Kind, m.Number, len(m.Body), answer)
		}
	}
	b.Close()
	if ends := []string{<-gone, <-gone}; fmt.Sprint(ends) != "[a b]" && fmt.Sprint(ends) != "[b a]" {
		t.Error(ends)
	}
	c, _ := pair()
	c.Start(func(Message) {}, func() { gone <- "c" })
	began := time.Now()
	for range 4 * waiting {
		c.Send(Message{Kind: News, Body: make([]byte, 64<<10)})
	}
	if took := time.Since(began); took > time.Second {
		t.Error("a hung peer cost", took)
	}
	if <-gone != "c" {
		t.Error("a hung peer is not given up")
	}
}
