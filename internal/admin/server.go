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
	// readTimeout is how long a caller may take for its line. It holds a descriptor until then, or until another caller
	// needs it.
	readTimeout = 5 * time.Second
	// answerTimeout is how long a caller may take to read its answer, and then to close its end.
	answerTimeout = time.Second
	// acceptRetryDelay is the pause after an accept that failed.
	acceptRetryDelay = 50 * time.Millisecond
	// maxDiscard is how many bytes behind the line are read before the connection closes.
	maxDiscard = 1 << 16
)

// Commands are the commands by their word. Each returns the text that follows the answer's status, of one line or more.
// They are called from many goroutines at once, and must return within the second that a caller waits.
type Commands map[string]func() (string, error)

// Server answers callers, a limited number at once.
type Server struct {
	commands Commands
	callers  callers
}

// New returns a Server for maxCallers at once.
func New(commands Commands, maxCallers int) *Server {
	return &Server{commands: commands, callers: callers{limit: maxCallers}}
}

// Serve answers callers until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors are short, or the caller has disconnected: others will come.
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &caller{conn: nc, stage: stageReading}
		s.callers.add(c)
		go s.serve(c)
	}
}

// serve reads one caller's line and answers it.
func (s *Server) serve(c *caller) {
	defer s.callers.remove(c)
	word, err := readWord(c.conn)
	var rejected lineError
	switch {
	case errors.As(err, &rejected):
		s.answer(c, "", rejected)
		return
	case err != nil:
		return // the caller has disconnected or was too slow
	}
	s.callers.setStage(c, stageRunning)
	text, err := s.run(word)
	s.answer(c, text, err)
}

// readWord reads a line from conn and returns its word. The error is a lineError if the line is malformed.
func readWord(conn net.Conn) (string, error) {
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	var line Line
	buffer := make([]byte, maxLine)
	for {
		n, readErr := conn.Read(buffer)
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return "", readErr
		}
		whole, err := line.Feed(buffer[:n], readErr != nil)
		if err != nil {
			return "", err
		}
		if whole {
			return line.Word(), nil
		}
	}
}

// run carries out the command of that word.
func (s *Server) run(word string) (string, error) {
	command := s.commands[word]
	if command == nil {
		return "", fmt.Errorf("no call %.40q", word)
	}
	return command()
}

// answer sends the text, or the error if there is one, in the answer's form.
func (s *Server) answer(c *caller, text string, err error) {
	if err != nil {
		text = "-ERR " + strings.ReplaceAll(err.Error(), "\n", " ")
	} else {
		text = strings.TrimSpace("+OK " + text)
	}
	c.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	io.WriteString(c.conn, text+"\n")
	s.callers.setStage(c, stageAnswered)
	discardRest(c.conn)
}

// discardRest reads what follows the line: to close with unread bytes would reset the connection and could cost the caller
// its answer.
func discardRest(conn net.Conn) {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return
	}
	tcp.CloseWrite()
	conn.SetReadDeadline(time.Now().Add(answerTimeout))
	io.Copy(io.Discard, io.LimitReader(conn, maxDiscard))
}
