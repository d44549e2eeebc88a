package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// handshakeTimeout bounds each side's wait for the other side's message of the handshake.
const handshakeTimeout = time.Second

// errNoSocket is returned if the predecessor's welcome message came without a descriptor.
var errNoSocket = errors.New("no socket came with the welcome")

// Predecessor is the result of Dial: what the process that is to be replaced has provided.
type Predecessor struct {
	// Link is the connection to the predecessor. The caller starts it.
	Link *Link
	// Welcome is the message with the quotas that this process may use while both processes run.
	Welcome Message
	// Listener is the listening TCP socket, which both processes hold from now on.
	Listener net.Listener
}

// Dial asks the process that listens at a Unix socket path for its listening TCP socket. listenAddress
// is the address at which that TCP socket must listen, and processName the caller's configured name.
//
// The error is ErrNoPredecessor if no process listens at the path, even if a process that has died left
// its socket file there, and ErrTakeoverInProgress, ErrNameMismatch or a *RejectedError if the process
// rejects the caller.
func Dial(path, listenAddress, processName string) (*Predecessor, error) {
	conn, err := net.DialTimeout("unixpacket", path, handshakeTimeout)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, err
	}
	link := newLink(conn.(*net.UnixConn))
	predecessor, err := link.requestTakeover(listenAddress, processName)
	if err != nil {
		link.Close()
		return nil, err
	}
	return predecessor, nil
}

// requestTakeover carries out the successor's side of the handshake: it sends hello, and expects a
// welcome with the listening socket.
func (l *Link) requestTakeover(listenAddress, processName string) (*Predecessor, error) {
	if err := verifyPeerUser(l.conn); err != nil {
		return nil, err
	}
	l.conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	hello := Message{Kind: KindHello, Version: ProtocolVersion, ListenAddress: listenAddress, ProcessName: processName}
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
		return nil, m.Reason.dialError()
	case m.Kind != KindWelcome || m.Version != ProtocolVersion:
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
