package handover

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writeTimeout is how long writing one message may take before the peer counts as hung.
	writeTimeout = time.Second
	// outboundCapacity is how many messages may wait to be written: a peer that hangs must cost neither memory nor time.
	outboundCapacity = 512
	// maxReceivedFiles is how many descriptors are received with one packet at most; only the first one is kept.
	maxReceivedFiles = 4
	// descriptorBytes is the size of a descriptor in a control message.
	descriptorBytes = 4
	// noDescriptor stands for a message that goes without a descriptor.
	noDescriptor = -1
)

// errPacketTooLong is returned for a packet that exceeds maxPacketBytes.
var errPacketTooLong = errors.New("a packet is too long")

// Link is the connection between the two processes. Messages are written by a goroutine of its own, so that Send never
// blocks. Its methods may be called from any goroutine.
type Link struct {
	conn      *net.UnixConn
	outbound  chan Message
	closeOnce sync.Once
	closed    chan struct{}
}

func newLink(conn *net.UnixConn) *Link {
	return &Link{
		conn:     conn,
		outbound: make(chan Message, outboundCapacity),
		closed:   make(chan struct{}),
	}
}

// Start reads and writes until the link is closed. It calls onMessage for each message, and then onClose, once and last.
// Both are called by the goroutine that reads.
func (l *Link) Start(onMessage func(Message), onClose func()) {
	l.conn.SetDeadline(time.Time{})
	go l.writeMessages()
	go l.readMessages(onMessage, onClose)
}

func (l *Link) writeMessages() {
	for {
		select {
		case m := <-l.outbound:
			if l.writeWithSocket(m) != nil {
				l.Close()
				return
			}
		case <-l.closed:
			return
		}
	}
}

func (l *Link) readMessages(onMessage func(Message), onClose func()) {
	defer onClose()
	defer l.Close()
	for {
		m, file, err := l.read()
		if err != nil {
			if file != nil {
				file.Close()
			}
			return
		}
		m.File = file
		onMessage(m)
	}
}

// Send queues a message. The link to a peer that does not read is closed.
func (l *Link) Send(m Message) {
	select {
	case l.outbound <- m:
	default:
		l.Close()
	}
}

// Close ends the link. Messages that were not written are lost.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// writeWithSocket writes a message with its descriptor, if any.
func (l *Link) writeWithSocket(m Message) error {
	if m.Socket == nil {
		return l.write(m, noDescriptor)
	}
	raw, err := m.Socket.SyscallConn()
	if err != nil {
		return err
	}
	var writeErr error
	if err := raw.Control(func(fd uintptr) { writeErr = l.write(m, int(fd)) }); err != nil {
		return err
	}
	return writeErr
}

// write writes a message with a descriptor, unless that is noDescriptor.
func (l *Link) write(m Message, fd int) error {
	packet, err := m.encode()
	if err != nil {
		return err
	}
	var rights []byte
	if fd != noDescriptor {
		rights = unix.UnixRights(fd)
	}
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _, err = l.conn.WriteMsgUnix(packet, rights, nil)
	return err
}

// read waits for the next message. The caller closes the file, which may come with an error too.
func (l *Link) read() (Message, *os.File, error) {
	packet := make([]byte, maxPacketBytes)
	rights := make([]byte, unix.CmsgSpace(maxReceivedFiles*descriptorBytes))
	packetBytes, rightsBytes, flags, _, err := l.conn.ReadMsgUnix(packet, rights)
	if err != nil {
		return Message{}, nil, err
	}
	file := receivedFile(rights[:rightsBytes])
	if packetBytes == 0 {
		return Message{}, file, io.EOF
	}
	if flags&unix.MSG_TRUNC != 0 {
		return Message{}, file, errPacketTooLong
	}
	m, err := decode(packet[:packetBytes])
	return m, file, err
}

// receivedFile gives the first descriptor that came with a packet, and closes any other.
func receivedFile(rights []byte) (file *os.File) {
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
			unix.CloseOnExec(fd)
			if file == nil {
				file = os.NewFile(uintptr(fd), "listener")
				continue
			}
			unix.Close(fd)
		}
	}
	return file
}
