package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// readTimeout is how long a connection may take to send its line. It holds a file descriptor
	// until then, or until it is evicted for a new connection.
	readTimeout = 5 * time.Second
	// answerTimeout is how long the peer may take to read its answer, and then again to close its
	// end of the connection.
	answerTimeout = time.Second
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// maxDiscardBytes is how many bytes after the line are read and dropped before the connection
	// is closed.
	maxDiscardBytes = 1 << 16
)

// Commands maps the name of each command to its function, which returns the text of one or more
// lines that follows the status in the answer. Functions are called from several goroutines at once,
// and must return within the second that an operator's client waits for its answer.
type Commands map[string]func() (string, error)

// Server executes operators' commands, on a limited number of connections at once.
type Server struct {
	commands    Commands
	connections connectionSet
}

// New returns a Server that keeps at most maxConnections open at once.
func New(commands Commands, maxConnections int) *Server {
	return &Server{commands: commands, connections: connectionSet{limit: maxConnections}}
}

// Serve accepts and answers connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// File descriptors are exhausted, or the peer has disconnected; later connections may
			// still succeed.
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &connection{conn: nc, stage: stageReading}
		s.connections.add(c)
		go s.serve(c)
	}
}

// serve reads the command of one connection, executes it and sends the answer.
func (s *Server) serve(c *connection) {
	defer s.connections.remove(c)
	name, err := readCommand(c.conn)
	var malformed lineError
	switch {
	case errors.As(err, &malformed):
		s.answer(c, "", malformed)
		return
	case err != nil:
		return // the peer has disconnected or was too slow
	}
	s.connections.setStage(c, stageRunning)
	text, err := s.run(name)
	s.answer(c, text, err)
}

// readCommand reads a line from conn and returns the command's name. The error is a lineError if
// the line is malformed.
func readCommand(conn net.Conn) (string, error) {
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	var line Line
	buffer := make([]byte, maxLineBytes)
	for {
		n, readErr := conn.Read(buffer)
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return "", readErr
		}
		complete, err := line.Feed(buffer[:n], readErr != nil)
		if err != nil {
			return "", err
		}
		if complete {
			return line.Command(), nil
		}
	}
}

// run executes the named command and returns the text of its answer.
func (s *Server) run(name string) (string, error) {
	command := s.commands[name]
	if command == nil {
		return "", fmt.Errorf("no call %.40q", name)
	}
	return command()
}

// answer sends "+OK" and the text or, if err is set, "-ERR" and the error on a single line.
func (s *Server) answer(c *connection, text string, err error) {
	if err != nil {
		text = "-ERR " + strings.ReplaceAll(err.Error(), "\n", " ")
	} else {
		text = strings.TrimSpace("+OK " + text)
	}
	c.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	io.WriteString(c.conn, text+"\n")
	s.connections.setStage(c, stageAnswered)
	discardRest(c.conn)
}

// discardRest reads and drops what the peer sent after its line. Closing a socket with unread bytes
// resets the connection, and the peer could lose its answer.
func discardRest(conn net.Conn) {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return
	}
	tcp.CloseWrite()
	conn.SetReadDeadline(time.Now().Add(answerTimeout))
	io.Copy(io.Discard, io.LimitReader(conn, maxDiscardBytes))
}
