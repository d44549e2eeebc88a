package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	writeIn = time.Second
	// waiting messages are so many at most: a peer that hangs must cost neither memory nor a wait.
	waiting = 512
)

// Link is a connection between the two processes. Messages are written by a goroutine of its own.
type Link struct {
	c    *net.UnixConn
	out  chan Message
	once sync.Once
	over chan struct{}
}

func newLink(c *net.UnixConn) *Link {
	return &Link{c: c, out: make(chan Message, waiting), over: make(chan struct{})}
}

// Start reads and writes until the link ends: told hears each message, gone hears the end, once and last. Both are
// called by the goroutine that reads.
func (l *Link) Start(told func(Message), gone func()) {
	l.c.SetDeadline(time.Time{})
	go func() {
		for {
			select {
			case m := <-l.out:
				if l.send(m) != nil {
					l.Close()
					return
				}
			case <-l.over:
				return
			}
		}
	}()
	go func() {
		defer gone()
		defer l.Close()
		for {
			m, file, err := l.read()
			if m.File = file; err != nil {
				if file != nil {
					file.Close()
				}
				return
			}
			told(m)
		}
	}()
}

// Send leaves a message. A peer that does not read is given up.
func (l *Link) Send(m Message) {
	select {
	case l.out <- m:
	default:
		l.Close()
	}
}

// send writes a message with the descriptor that belongs to it, which is only borrowed for that.
func (l *Link) send(m Message) error {
	if m.Socket == nil {
		return l.write(m, -1)
	}
	raw, err := m.Socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err = raw.Control(func(fd uintptr) { failed = l.write(m, int(fd)) }); err == nil {
		err = failed
	}
	return err
}

// Close ends the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.over)
		l.c.Close()
	})
}

// write sends a message, with a descriptor unless that is negative.
func (l *Link) write(m Message, fd int) error {
	packet, err := m.encode()
	if err != nil {
		return err
	}
	var rights []byte
	if fd >= 0 {
		rights = unix.UnixRights(fd)
	}
	l.c.SetWriteDeadline(time.Now().Add(writeIn))
	_, _, err = l.c.WriteMsgUnix(packet, rights, nil)
	return err
}

func (l *Link) read() (m Message, file *os.File, err error) {
	packet, rights := make([]byte, maxPacket), make([]byte, unix.CmsgSpace(4*4))
	n, got, flags, _, err := l.c.ReadMsgUnix(packet, rights)
	if err != nil {
		return m, nil, err
	}
	if file = received(rights[:got]); n == 0 {
		return m, file, io.EOF
	}
	if flags&unix.MSG_TRUNC != 0 {
		return m, file, errors.New("a packet is too long")
	}
	m, err = decode(packet[:n])
	return m, file, err
}

// received gives the first descriptor that came with a packet, and closes any other.
func received(rights []byte) (file *os.File) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	for _, message := range messages {
		fds, err := unix.ParseUnixRights(&message)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			if unix.CloseOnExec(fd); file == nil {
				file = os.NewFile(uintptr(fd), "listener")
				continue
			}
			unix.Close(fd)
		}
	}
	return file
}

// ours tells whether the peer runs as the same user: whoever else can reach the directory must not get our socket,
// nor give us one.
func ours(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var failed error
	if err := raw.Control(func(fd uintptr) {
		peer, failed = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if failed != nil {
		return failed
	}
	if int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("the peer runs as user %d", peer.Uid)
	}
	return nil
}
