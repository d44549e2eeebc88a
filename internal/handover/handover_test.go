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

// socketDir returns a temporary directory with a path short enough for Unix sockets.
func socketDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "ho")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// listenTCP returns a listener at a free port, which is closed when the test ends.
func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// acceptSuccessors listens at path as a predecessor that passes listener to every successor that asks for
// its address. The channel receives the predecessor's side of each link.
func acceptSuccessors(t *testing.T, path string, listener net.Listener) chan *Link {
	t.Helper()
	predecessor, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(predecessor.Close)
	links := make(chan *Link, 1)
	go predecessor.Serve(func(handshake *Handshake) {
		if handshake.ListenAddress != listener.Addr().String() {
			handshake.Reject("another address")
			return
		}
		link, err := handshake.Accept(listener, Message{Sockets: 100})
		if err == nil {
			links <- link
		}
	})
	return links
}

// Connections in the accept queue of the listening socket are served by the successor after the predecessor
// has closed the socket. This is why the descriptor is passed: if the successor opened its own socket at
// the same address, these connections would be reset.
func TestPendingConnectionsAreServedBySuccessor(t *testing.T) {
	for _, passed := range []bool{true, false} {
		predecessorSocket := listenTCP(t)
		addr := predecessorSocket.Addr().String()
		if !passed {
			predecessorSocket.Close()
			predecessorSocket = listenShared(t, addr)
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
		successorSocket := predecessorSocket
		if passed {
			path, err := SocketPath(socketDir(t), addr)
			if err != nil {
				t.Fatal(err)
			}
			acceptSuccessors(t, path, predecessorSocket)
			predecessor, err := Dial(path, addr, "n0")
			if err != nil || predecessor.Welcome.Sockets != 100 {
				t.Fatalf("got predecessor %+v and error %v, want 100 sockets and no error", predecessor, err)
			}
			defer predecessor.Link.Close()
			defer predecessor.Listener.Close()
			successorSocket = predecessor.Listener.(*net.TCPListener)
		} else {
			successorSocket = listenShared(t, addr)
		}
		predecessorSocket.Close()
		go func() {
			for {
				c, err := successorSocket.Accept()
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
			t.Error("socket passed:", passed, "want all connections served if passed, else none; served:", served, "of", len(pending))
		}
	}
}

// listenShared returns a listener at an address at which another one may already listen.
func listenShared(t *testing.T, addr string) *net.TCPListener {
	t.Helper()
	l, err := ListenReusePort(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// Dial returns ErrNoPredecessor if there is no socket file or only a stale one, and an error that tells the
// cause if the peer hangs, closes the connection, rejects, or sends an invalid welcome.
func TestDialFailsWithoutUsablePredecessor(t *testing.T) {
	dir := socketDir(t)
	path, err := SocketPath(dir, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Dial(path, "127.0.0.1:1", "n0"); !errors.Is(err, ErrNoPredecessor) {
		t.Error("no socket file: want ErrNoPredecessor, got", err)
	}
	stale, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	stale.Close()
	if _, err := Dial(path, "127.0.0.1:1", "n0"); !errors.Is(err, ErrNoPredecessor) {
		t.Error("stale socket file: want ErrNoPredecessor, got", err)
	}
	os.Remove(path)
	if _, err := SocketPath(filepath.Join(dir, strings.Repeat("x", 120)), "127.0.0.1:1"); err == nil {
		t.Error("SocketPath accepted a path that is too long for a Unix socket address")
	}
	listenAsPeer := func(answer func(*Link)) string {
		path := filepath.Join(socketDir(t), "p")
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
			// The cleanup keeps the connection referenced until the test ends. Otherwise the garbage
			// collector would close it, and the hanging peer would close its connection instead.
			t.Cleanup(link.Close)
			link.read()
			answer(link)
		}()
		return path
	}
	for wantError, answer := range map[string]func(*Link){
		"answered \"welcome\" of version 7": func(l *Link) { l.write(Message{Kind: KindWelcome, Version: 7}, noDescriptor) },
		"no socket came with the welcome":   func(l *Link) { l.write(Message{Kind: KindWelcome, Version: ProtocolVersion}, noDescriptor) },
		"refused: busy":                     func(l *Link) { l.write(Message{Kind: KindRejected, Reason: "busy"}, noDescriptor) },
		"EOF":                               func(l *Link) { l.Close() },
		"i/o timeout":                       func(l *Link) {},
		"a packet without a head":           func(l *Link) { l.conn.Write([]byte("{}")) },
		"the socket that came listens at":   func(l *Link) { sendWelcome(t, l) },
	} {
		if predecessor, err := Dial(listenAsPeer(answer), "127.0.0.1:1", "n0"); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Error("want error with", wantError, "got", err, predecessor)
		}
	}
}

// sendWelcome sends a welcome with a listener at another address than the successor has asked for.
func sendWelcome(t *testing.T, l *Link) {
	raw, err := listenTCP(t).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	raw.Control(func(fd uintptr) { l.write(Message{Kind: KindWelcome, Version: ProtocolVersion}, int(fd)) })
}

// A successor with another protocol version is rejected, and one that sends nothing does not block the next
// one for longer than the handshake timeout.
func TestHandshakeRejectsOtherVersionsAndSurvivesSilentPeers(t *testing.T) {
	listener := listenTCP(t)
	path := filepath.Join(socketDir(t), "p")
	links := acceptSuccessors(t, path, listener)
	dial := func() *Link {
		c, err := net.Dial("unixpacket", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return newLink(c.(*net.UnixConn))
	}
	otherVersion := dial()
	otherVersion.write(Message{Kind: KindHello, Version: 7}, noDescriptor)
	if m, _, err := otherVersion.read(); err != nil || m.Kind != KindRejected || m.Reason != `"hello" of version 7, not 1` {
		t.Errorf("hello of version 7: got answer %+v and error %v, want a rejection that names both versions", m, err)
	}
	dial() // sends nothing
	var err error
	for start := time.Now(); time.Since(start) < 3*time.Second; {
		if _, err = Dial(path, listener.Addr().String(), "n0"); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal("no successor was accepted within 3 s after one that sends nothing:", err)
	}
	<-links
}

// A successor's socket replaces the predecessor's at the path, and closing the predecessor's listener does
// not remove it. Closing the successor's leaves no file behind.
func TestListenReplacesSocketWithoutGap(t *testing.T) {
	path := filepath.Join(socketDir(t), "p")
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
		t.Error("closing the replaced listener removed the path of the new one:", err)
	} else {
		c.Close()
	}
	second.Close()
	if files, _ := filepath.Glob(path + "*"); len(files) > 0 {
		t.Error("want no files after both listeners are closed, got", files)
	}
}

// A link delivers messages of up to 64 KiB complete and in order in both directions, and notifies each side
// once when it is closed. The link to a peer that does not read is closed, and Send does not block.
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
	received, closed := make(chan Message, 10), make(chan string, 2)
	a.Start(func(m Message) { received <- m }, func() { closed <- "a" })
	b.Start(func(m Message) { received <- m; b.Send(Message{Kind: KindCallbackResult, Sequence: m.Sequence}) }, func() { closed <- "b" })
	for n := range uint64(3) {
		a.Send(Message{Kind: KindCallback, Sequence: n, Body: []byte(strings.Repeat("\n", 64<<10))})
		m, answer := <-received, <-received
		if m.Kind != KindCallback || m.Sequence != n || len(m.Body) != 64<<10 || answer.Kind != KindCallbackResult || answer.Sequence != n {
			t.Errorf("message %d: got kind %q, sequence %d, body of %d bytes; answer %+v", n, m.Kind, m.Sequence, len(m.Body), answer)
		}
	}
	b.Close()
	if closedLinks := []string{<-closed, <-closed}; fmt.Sprint(closedLinks) != "[a b]" && fmt.Sprint(closedLinks) != "[b a]" {
		t.Error("want one close reported by each side, got", closedLinks)
	}
	c, _ := pair()
	c.Start(func(Message) {}, func() { closed <- "c" })
	start := time.Now()
	for range 4 * outboundQueueCapacity {
		c.Send(Message{Kind: KindCallback, Body: make([]byte, 64<<10)})
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Error("sending to a peer that does not read: want at most 1 s, took", elapsed)
	}
	if <-closed != "c" {
		t.Error("the link to a peer that does not read was not closed")
	}
}
