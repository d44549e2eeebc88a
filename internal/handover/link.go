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
	// writeTimeout bounds the write of one message. A peer that exceeds it is considered hung.
	writeTimeout = time.Second
	// outboundQueueCapacity is the number of messages that may wait to be written. It is bounded so that a
	// hung peer costs neither memory nor time.
	outboundQueueCapacity = 512
	// maxReceivedDescriptors bounds the descriptors received with one packet; only the first is kept.
	maxReceivedDescriptors = 4
	// descriptorBytes is the size of one descriptor in a socket control message.
	descriptorBytes = 4
	// noDescriptor is the value that stands for no descriptor in Link.write.
	noDescriptor = -1
)

// errPacketTooLong is returned for a received packet that is longer than maxPacketBytes.
var errPacketTooLong = errors.New("received packet exceeds the packet size limit")

// Link is the connection between the two processes. Messages are written by a separate goroutine, so that
// Send never blocks. Its methods may be called from any goroutine.
type Link struct {
	conn      *net.UnixConn
	outbound  chan Message
	closeOnce sync.Once
	closed    chan struct{}
}

func newLink(conn *net.UnixConn) *Link {
	return &Link{
		conn:     conn,
		outbound: make(chan Message, outboundQueueCapacity),
		closed:   make(chan struct{}),
	}
}

// Start starts to read and write messages. The reading goroutine calls onMessage for each message
// received, and onClose once, after the last message, when the link is closed.
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

// Send queues a message. If the queue is full, because the peer does not read, the link is closed.
func (l *Link) Send(m Message) {
	select {
	case l.outbound <- m:
	default:
		l.Close()
	}
}

// Close closes the link. Queued messages that have not been written are lost.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// writeWithSocket writes a message with the descriptor of its Socket, if any.
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

// write writes a message, with a descriptor unless fd is noDescriptor.
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

// read waits for the next message, and returns it with the descriptor that came with it, or nil. The
// caller closes the file, which may be set even if err is not nil.
func (l *Link) read() (Message, *os.File, error) {
	packet := make([]byte, maxPacketBytes)
	rights := make([]byte, unix.CmsgSpace(maxReceivedDescriptors*descriptorBytes))
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

// receivedFile returns the first descriptor in a packet's control messages, or nil, and closes any other.
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
