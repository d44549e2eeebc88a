package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	helloIn = time.Second
	// pathMost is what an address of a Unix socket holds.
	pathMost = 107
)

// ErrNobody: no process is there to be replaced.
var ErrNobody = errors.New("nobody is there")

// Busy is why a newcomer is refused while another one is replacing us, or where it means another address.
const Busy = "another process is taking over"

// ErrBusy: that was the answer.
var ErrBusy = errors.New(Busy)

// Foreign is why a newcomer is refused that has another name: it would take over what is somebody else's.
const Foreign = "another scheduler serves there"

// ErrForeign: that was the answer.
var ErrForeign = errors.New(Foreign)

// Place is where processes that serve at an address find each other, in a directory that they share.
func Place(dir, listen string) (string, error) {
	h := fnv.New64a()
	h.Write([]byte(listen))
	path := filepath.Join(dir, fmt.Sprintf("stoatweir-%016x", h.Sum64()))
	if len(path)+len(".new") > pathMost {
		return "", fmt.Errorf("the path %.40s... is too long for a Unix socket", path)
	}
	return path, nil
}

// Find asks the process at a place for its listening socket. The error is ErrNobody where none lives there, also where
// one has left its file.
func Find(place, listen, name string) (*Link, Message, net.Listener, error) {
	nc, err := net.DialTimeout("unixpacket", place, helloIn)
	switch {
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, Message{}, nil, ErrNobody
	case err != nil:
		return nil, Message{}, nil, err
	}
	l := newLink(nc.(*net.UnixConn))
	m, listener, err := l.hello(listen, name)
	if err != nil {
		l.Close()
		return nil, m, nil, err
	}
	return l, m, listener, nil
}

func (l *Link) hello(listen, name string) (m Message, listener net.Listener, err error) {
	if err := ours(l.c); err != nil {
		return m, nil, err
	}
	l.c.SetReadDeadline(time.Now().Add(helloIn))
	if err := l.write(Message{Kind: Hello, Version: Version, Listen: listen, Name: name}, -1); err != nil {
		return m, nil, err
	}
	m, file, err := l.read()
	if file != nil {
		defer file.Close()
	}
	switch {
	case err != nil:
		return m, nil, err
	case m.Kind == Refused && m.Why == Busy:
		return m, nil, ErrBusy
	case m.Kind == Refused && m.Why == Foreign:
		return m, nil, ErrForeign
	case m.Kind == Refused:
		return m, nil, fmt.Errorf("refused: %s", m.Why)
	case m.Kind != Welcome || m.Version != Version:
		return m, nil, fmt.Errorf("answered %q of version %d", m.Kind, m.Version)
	case file == nil:
		return m, nil, errors.New("no socket came with the welcome")
	}
	if listener, err = net.FileListener(file); err == nil && listener.Addr().String() != listen {
		listener.Close()
		return m, nil, fmt.Errorf("the socket that came listens at %v", listener.Addr())
	}
	return m, listener, err
}

// Post is where a successor finds us.
type Post struct {
	l     *net.UnixListener
	place string
	file  os.FileInfo
}

// Keep takes a place over, from whoever has it: at no moment is the place without a process.
func Keep(place string) (*Post, error) {
	fresh := place + ".new"
	os.Remove(fresh) // left by one that died between the two steps
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: fresh, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	file, err := os.Lstat(fresh)
	if err == nil {
		err = os.Rename(fresh, place)
	}
	if err != nil {
		l.Close()
		os.Remove(fresh)
		return nil, err
	}
	return &Post{l, place, file}, nil
}

// Serve hears those that want to replace us until the post is closed.
func (p *Post) Serve(came func(*Newcomer)) {
	for {
		c, err := p.l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		// One at a time: whoever says nothing is given up within a second.
		if n, err := greet(c); err == nil {
			came(n)
		} else {
			c.Close()
		}
	}
}

// Close gives the place up, unless a successor has taken it.
func (p *Post) Close() {
	if p == nil {
		return
	}
	p.l.Close()
	if now, err := os.Lstat(p.place); err == nil && os.SameFile(now, p.file) {
		os.Remove(p.place)
	}
}

// Newcomer is a process that wants to replace us and has said so in words that we know.
type Newcomer struct {
	link         *Link
	Listen, Name string
}

func greet(c *net.UnixConn) (*Newcomer, error) {
	if err := ours(c); err != nil {
		return nil, err
	}
	l := newLink(c)
	c.SetReadDeadline(time.Now().Add(helloIn))
	m, file, err := l.read()
	if file != nil {
		file.Close()
	}
	if err == nil && (m.Kind != Hello || m.Version != Version) {
		err = fmt.Errorf("%q of version %d, not %d", m.Kind, m.Version, Version)
		l.write(Message{Kind: Refused, Version: Version, Why: err.Error()}, -1)
	}
	return &Newcomer{l, m.Listen, m.Name}, err
}

// Refuse sends it away.
func (n *Newcomer) Refuse(why string) {
	n.link.write(Message{Kind: Refused, Version: Version, Why: why}, -1)
	n.link.Close()
}

// Welcome gives it the listening socket, which from then on both have. The socket is not duplicated on our side:
// what net offers for that would set it to blocking for both.
func (n *Newcomer) Welcome(listener net.Listener, m Message) (*Link, error) {
	socket, is := listener.(syscall.Conn)
	if !is {
		return nil, errors.New("the listener has no descriptor")
	}
	m.Kind, m.Version, m.Socket = Welcome, Version, socket
	err := n.link.send(m)
	if err != nil {
		n.link.Close()
		return nil, err
	}
	return n.link, nil
}
