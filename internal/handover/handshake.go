package handover

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// errNoDescriptor is returned for a listener that is no socket.
var errNoDescriptor = errors.New("the listener has no descriptor")

// Handshake is the request of a successor that speaks our version. It is ended by either Accept or Reject.
type Handshake struct {
	link *Link
	// ListenAddress is the TCP address that the successor wants to take over.
	ListenAddress string
	// ProcessName is the successor's configured name; empty for older builds.
	ProcessName string
}

// receiveHandshake is the predecessor's side up to its decision.
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
	if m.Kind != KindHello || m.Version != Version {
		err := fmt.Errorf("%q of version %d, not %d", m.Kind, m.Version, Version)
		link.reject(RejectionReason(err.Error()))
		return nil, err
	}
	return &Handshake{link: link, ListenAddress: m.ListenAddress, ProcessName: m.ProcessName}, nil
}

// reject writes the reason at once, past the queue.
func (l *Link) reject(reason RejectionReason) {
	l.write(Message{Kind: KindRejected, Version: Version, Reason: reason}, noDescriptor)
}

// Reject tells the successor why it may not take over, and closes the connection. It may block for a second.
func (h *Handshake) Reject(reason RejectionReason) {
	h.link.reject(reason)
	h.link.Close()
}

// Accept gives the successor the listening socket, which from then on both processes have, with the quotas in welcome.
// The socket is not duplicated on our side: what net offers for that would set it to blocking for both.
func (h *Handshake) Accept(listener net.Listener, welcome Message) (*Link, error) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	welcome.Kind = KindWelcome
	welcome.Version = Version
	welcome.Socket = socket
	if err := h.link.writeWithSocket(welcome); err != nil {
		h.link.Close()
		return nil, err
	}
	return h.link, nil
}
