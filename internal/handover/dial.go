package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// handshakeTimeout is how long each side waits for the other's part of the handshake.
const handshakeTimeout = time.Second

// errNoSocket is returned where the predecessor's welcome came without a descriptor.
var errNoSocket = errors.New("no socket came with the welcome")

// Predecessor is what Dial gets from the process that is to be replaced.
type Predecessor struct {
	// Link is the connection to it, not started yet.
	Link *Link
	// Welcome has the quotas that this process may use while both live.
	Welcome Message
	// Listener is the listening TCP socket, which both processes have from now on.
	Listener net.Listener
}

// Dial asks the process at a socket path for its listening socket. listenAddress is the address that socket must listen
// at, and processName the caller's configured name.
//
// The error is ErrNoPredecessor where no process lives there, also where a dead one has left its file, and one of
// ErrTakeoverInProgress, ErrNameMismatch and *RejectedError where it rejects the caller.
func Dial(path, listenAddress, processName string) (*Predecessor, error) {
	conn, err := net.DialTimeout("unixpacket", path, handshakeTimeout)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, err
	}
	link := newLink(conn.(*net.UnixConn))
	predecessor, err := link.handshake(listenAddress, processName)
	if err != nil {
		link.Close()
		return nil, err
	}
	return predecessor, nil
}

// handshake is the successor's side.
func (l *Link) handshake(listenAddress, processName string) (*Predecessor, error) {
	if err := verifyPeerUser(l.conn); err != nil {
		return nil, err
	}
	l.conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	hello := Message{Kind: KindHello, Version: Version, ListenAddress: listenAddress, ProcessName: processName}
	if err := l.write(hello, noDescriptor); err != nil {
		return nil, err
	}
	m, file, err := l.read()
	if file != nil {
		defer file.Close()
	}
	switch {
	case err != nil:
		return nil, err
	case m.Kind == KindRejected:
		return nil, m.Reason.err()
	case m.Kind != KindWelcome || m.Version != Version:
		return nil, fmt.Errorf("answered %q of version %d", m.Kind, m.Version)
	case file == nil:
		return nil, errNoSocket
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	if listener.Addr().String() != listenAddress {
		listener.Close()
		return nil, fmt.Errorf("the socket that came listens at %v", listener.Addr())
	}
	return &Predecessor{Link: l, Welcome: m, Listener: listener}, nil
}
