package handover

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// errNoDescriptor is returned for a listener that is not a socket of the operating system.
var errNoDescriptor = errors.New("listener is not backed by a file descriptor")

// Handshake is the request of a successor with the same protocol version to take over. The caller ends
// it with either Accept or Reject.
type Handshake struct {
	link *Link
	// ListenAddress is the TCP address that the successor wants to take over.
	ListenAddress string
	// ProcessName is the successor's configured name; empty if the successor is an older build.
	ProcessName string
}

// receiveHandshake reads a successor's hello. It rejects a successor with another protocol version, and
// leaves the decision on any other to the caller.
func receiveHandshake(c *net.UnixConn) (*Handshake, error) {
	if err := verifyPeerUser(c); err != nil {
		return nil, err
	}
	link := newLink(c)
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	m, file, err := link.read()
	if file != nil {
		file.Close()
	}
	if err != nil {
		return nil, err
	}
	if m.Kind != KindHello || m.Version != ProtocolVersion {
		err := fmt.Errorf("%q of version %d, not %d", m.Kind, m.Version, ProtocolVersion)
		link.reject(RejectionReason(err.Error()))
		return nil, err
	}
	return &Handshake{link: link, ListenAddress: m.ListenAddress, ProcessName: m.ProcessName}, nil
}

// reject writes the rejection directly to the connection, bypassing the queue of a started link.
func (l *Link) reject(reason RejectionReason) {
	l.write(Message{Kind: KindRejected, Version: ProtocolVersion, Reason: reason}, noDescriptor)
}

// Reject tells the successor why it may not take over, and closes the connection. It may block for
// writeTimeout.
func (h *Handshake) Reject(reason RejectionReason) {
	h.link.reject(reason)
	h.link.Close()
}

// Accept sends the successor the listening socket, which both processes hold from then on, and the
// quotas in welcome. It does not duplicate the socket in this process first: the way that the net package
// offers would set the socket to blocking mode in both processes.
func (h *Handshake) Accept(listener net.Listener, welcome Message) (*Link, error) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	welcome.Kind = KindWelcome
	welcome.Version = ProtocolVersion
	welcome.Socket = socket
	if err := h.link.writeWithSocket(welcome); err != nil {
		h.link.Close()
		return nil, err
	}
	return h.link, nil
}
