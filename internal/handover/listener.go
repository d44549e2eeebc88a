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
	// maxSocketPathBytes is the longest path that the address of a Unix socket can hold.
	maxSocketPathBytes = 107
	// temporarySuffix is appended to the path of a new socket until it is renamed to its final path.
	temporarySuffix = ".new"
	// acceptRetryDelay is the pause after a failed accept before the next one.
	acceptRetryDelay = 50 * time.Millisecond
)

// SocketPath returns the path of the Unix socket at which the process that serves a TCP address listens
// for its successor. dir is a directory that both processes use. The error is that the path is too long
// for a Unix socket.
func SocketPath(dir, listenAddress string) (string, error) {
	hash := fnv.New64a()
	hash.Write([]byte(listenAddress))
	path := filepath.Join(dir, fmt.Sprintf("stoatweir-%016x", hash.Sum64()))
	if len(path)+len(temporarySuffix) > maxSocketPathBytes {
		return "", fmt.Errorf("socket path %.40s... is too long for a Unix socket address", path)
	}
	return path, nil
}

// Listener is the Unix socket at which a successor can connect to this process.
type Listener struct {
	socket *net.UnixListener
	path   string
	file   os.FileInfo // the socket's own file; path is another file once a successor has replaced it
}

// Listen listens at a socket path, and replaces the socket of any process that listens there. The path is
// replaced atomically, so that at every moment a process can be reached at it.
func Listen(path string) (*Listener, error) {
	newPath := path + temporarySuffix
	os.Remove(newPath) // left by a process that died between listening and renaming
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

// Serve accepts successors until the listener is closed, and calls onHandshake for each in the caller's
// goroutine. It handles one at a time, so it gives up a successor that sends nothing for
// handshakeTimeout.
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

// Close stops listening, and removes the socket's file unless a successor has replaced it. It does nothing
// on a nil Listener.
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
