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

func temporaryDir(t *testing.T) string {
	t.Helper()
	d, err := os.MkdirTemp("", "ho")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(d) })
	return d
}

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// acceptSuccessors listens as a predecessor that accepts every successor, and gives its side of each link.
func acceptSuccessors(t *testing.T, path string, l net.Listener) chan *Link {
	t.Helper()
	p, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	links := make(chan *Link, 1)
	go p.Serve(func(n *Handshake) {
		if n.ListenAddress != l.Addr().String() {
			n.Reject("another address")
			return
		}
		link, err := n.Accept(l, Message{Sockets: 100})
		if err == nil {
			links <- link
		}
	})
	return links
}

// Connections in the accept queue of the listening socket are served by the successor, whatever becomes of the predecessor.
// With a socket of one's own at the same address they would be reset: that is why the descriptor is passed.
func TestPendingConnectionsAreServedBySuccessor(t *testing.T) {
	for _, passed := range []bool{true, false} {
		old := listenTCP(t)
		addr := old.Addr().String()
		if !passed {
			old.Close()
			old = listenShared(t, addr)
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
			path, err := SocketPath(temporaryDir(t), addr)
			if err != nil {
				t.Fatal(err)
			}
			acceptSuccessors(t, path, old)
			predecessor, err := Dial(path, addr, "n0")
			if err != nil || predecessor.Welcome.Sockets != 100 {
				t.Fatal(predecessor, err)
			}
			defer predecessor.Link.Close()
			defer predecessor.Listener.Close()
			next = predecessor.Listener.(*net.TCPListener)
		} else {
			next = listenShared(t, addr)
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

func listenShared(t *testing.T, addr string) *net.TCPListener {
	t.Helper()
	l, err := ListenReusePort(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// A stale socket file, none at all, and a peer that hangs, exits, or speaks another version.
func TestDialFailsWithoutUsablePredecessor(t *testing.T) {
	d := temporaryDir(t)
	path, err := SocketPath(d, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Dial(path, "127.0.0.1:1", "n0"); !errors.Is(err, ErrNoPredecessor) {
		t.Error("nobody:", err)
	}
	dead, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	dead.SetUnlinkOnClose(false)
	dead.Close()
	if _, err := Dial(path, "127.0.0.1:1", "n0"); !errors.Is(err, ErrNoPredecessor) {
		t.Error("a file of the dead:", err)
	}
	os.Remove(path)
	if _, err := SocketPath(filepath.Join(d, strings.Repeat("x", 120)), "127.0.0.1:1"); err == nil {
		t.Error("a path that no Unix address holds is taken")
	}
	peer := func(answer func(*Link)) string {
		path := filepath.Join(temporaryDir(t), "p")
		l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
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
		return path
	}
	for what, answer := range map[string]func(*Link){
		"answered \"welcome\" of version 7": func(l *Link) { l.write(Message{Kind: KindWelcome, Version: 7}, noDescriptor) },
		"no socket came with the welcome":   func(l *Link) { l.write(Message{Kind: KindWelcome, Version: Version}, noDescriptor) },
		"refused: busy":                     func(l *Link) { l.write(Message{Kind: KindRejected, Reason: "busy"}, noDescriptor) },
		"EOF":                               func(l *Link) { l.Close() },
		"i/o timeout":                       func(l *Link) {},
		"a packet without a head":           func(l *Link) { l.conn.Write([]byte("{}")) },
		"the socket that came listens at":   func(l *Link) { sendWelcome(t, l) },
	} {
		if predecessor, err := Dial(peer(answer), "127.0.0.1:1", "n0"); err == nil || !strings.Contains(err.Error(), what) {
			t.Error("wanted", what, "got", err, predecessor)
		}
	}
}

func sendWelcome(t *testing.T, l *Link) {
	raw, err := listenTCP(t).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	raw.Control(func(fd uintptr) { l.write(Message{Kind: KindWelcome, Version: Version}, int(fd)) })
}

// A successor of another version gets a rejection; one that sends nothing does not block the next one for long.
func TestHandshakeRejectsOtherVersionsAndSurvivesSilentPeers(t *testing.T) {
	l := listenTCP(t)
	path := filepath.Join(temporaryDir(t), "p")
	links := acceptSuccessors(t, path, l)
	dial := func() *Link {
		c, err := net.Dial("unixpacket", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return newLink(c.(*net.UnixConn))
	}
	other := dial()
	other.write(Message{Kind: KindHello, Version: 7}, noDescriptor)
	if m, _, err := other.read(); err != nil || m.Kind != KindRejected || m.Reason != `"hello" of version 7, not 1` {
		t.Error(m, err)
	}
	dial() // silent
	var err error
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		if _, err = Dial(path, l.Addr().String(), "n0"); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal("after a silent one:", err)
	}
	<-links
}

// A successor's socket replaces the predecessor's at the path, and closing the predecessor's does not remove it.
func TestListenReplacesSocketWithoutGap(t *testing.T) {
	path := filepath.Join(temporaryDir(t), "p")
	os.WriteFile(path+".new", []byte("left"), 0o600)
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	if c, err := net.Dial("unixpacket", path); err != nil {
		t.Error("the old one's end took the path away:", err)
	} else {
		c.Close()
	}
	second.Close()
	if left, _ := filepath.Glob(path + "*"); len(left) > 0 {
		t.Error("left behind:", left)
	}
}

// Messages go both ways whole and in order, the longest too; each side is notified once that the link is closed. The link to a
// peer that reads nothing is closed without blocking.
func TestLinkDeliversInOrderAndClosesHungPeers(t *testing.T) {
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
	b.Start(func(m Message) { got <- m; b.Send(Message{Kind: KindCallbackResult, Sequence: m.Sequence}) }, func() { gone <- "b" })
	for n := range uint64(3) {
		a.Send(Message{Kind: KindCallback, Sequence: n, Body: []byte(strings.Repeat("\n", 64<<10))})
		m, answer := <-got, <-got
		if m.Kind != KindCallback || m.Sequence != n || len(m.Body) != 64<<10 || answer.Kind != KindCallbackResult || answer.Sequence != n {
			t.Error(m.Kind, m.Sequence, len(m.Body), answer)
		}
	}
	b.Close()
	if ends := []string{<-gone, <-gone}; fmt.Sprint(ends) != "[a b]" && fmt.Sprint(ends) != "[b a]" {
		t.Error(ends)
	}
	c, _ := pair()
	c.Start(func(Message) {}, func() { gone <- "c" })
	began := time.Now()
	for range 4 * outboundCapacity {
		c.Send(Message{Kind: KindCallback, Body: make([]byte, 64<<10)})
	}
	if took := time.Since(began); took > time.Second {
		t.Error("a hung peer cost", took)
	}
	if <-gone != "c" {
		t.Error("a hung peer is not given up")
	}
}
