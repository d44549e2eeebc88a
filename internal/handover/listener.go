package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// maxSocketPath is how many bytes the address of a Unix socket holds.
	maxSocketPath = 107
	// newSuffix marks a socket that is not at its final path yet.
	newSuffix = ".new"
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// SocketPath gives the path of the Unix socket at which the process that serves at a TCP address listens for its
// successor, in a directory that both share. It fails where the path is too long for a Unix socket.
func SocketPath(dir, listenAddress string) (string, error) {
	hash := fnv.New64a()
	hash.Write([]byte(listenAddress))
	path := filepath.Join(dir, fmt.Sprintf("stoatweir-%016x", hash.Sum64()))
	if len(path)+len(newSuffix) > maxSocketPath {
		return "", fmt.Errorf("the path %.40s... is too long for a Unix socket", path)
	}
	return path, nil
}

// Listener is the Unix socket at which a successor finds this process.
type Listener struct {
	socket *net.UnixListener
	path   string
	file   os.FileInfo // the socket's file, which a successor may have replaced at path
}

// Listen listens at a socket path in place of whoever does so: at no moment is the path without a process.
func Listen(path string) (*Listener, error) {
	newPath := path + newSuffix
	os.Remove(newPath) // left by a process that died between the two steps
	socket, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: newPath, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	socket.SetUnlinkOnClose(false)
	file, err := os.Lstat(newPath)
	if err == nil {
		err = os.Rename(newPath, path)
	}
	if err != nil {
		socket.Close()
		os.Remove(newPath)
		return nil, err
	}
	return &Listener{socket: socket, path: path, file: file}, nil
}

// Serve accepts successors until the listener is closed, one at a time: a successor that says nothing is given up after
// handshakeTimeout. onHandshake is called by the goroutine that calls Serve.
func (l *Listener) Serve(onHandshake func(*Handshake)) {
	for {
		conn, err := l.socket.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		handshake, err := receiveHandshake(conn)
		if err != nil {
			conn.Close()
			continue
		}
		onHandshake(handshake)
	}
}

// Close stops listening, and removes the socket's file unless a successor has replaced it. A nil listener does nothing.
func (l *Listener) Close() {
	if l == nil {
		return
	}
	l.socket.Close()
	current, err := os.Lstat(l.path)
	if err == nil && os.SameFile(current, l.file) {
		os.Remove(l.path)
	}
}
