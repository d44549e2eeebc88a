package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// callIn is how long a caller may take for its line. It holds a descriptor until then, or until another one
	// needs it.
	callIn = 5 * time.Second
	// answerIn is how long a caller may take to read its answer.
	answerIn    = time.Second
	acceptAgain = 50 * time.Millisecond
)

// Calls are what operators may ask, by word. Each gives the answer's text behind its first word, of one line or more. They
// are called by many goroutines at once, and must answer within the second that a caller waits.
type Commands map[string]func() (string, error)

// Door serves callers, so many at once and no more.
type Server struct {
	calls Commands
	most  int

	mu   sync.Mutex
	open []*caller // oldest first
}

type caller struct {
	net net.Conn
	stage
}

// stage tells how much would be lost if a caller were closed for want of room.
type stage uint8

const (
	answered   stage = iota // nothing
	unfinished              // its line, which may never end
	called                  // its answer
)

// New makes a door for most callers at once.
func New(calls Commands, most int) *Server { return &Server{calls: calls, most: most} }

// Serve answers callers until the listener closes.
func (d *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptAgain) // descriptors are short, or the caller has left: there will be others
			continue
		}
		c := &caller{nc, unfinished}
		d.enter(c)
		go d.serve(c)
	}
}

// enter makes room: callers that connect and say nothing must not keep others out.
func (d *Server) enter(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= d.most {
		at := 0
		for n, o := range d.open {
			if o.stage < d.open[at].stage {
				at = n
			}
		}
		d.open[at].net.Close()
		d.open = slices.Delete(d.open, at, at+1)
	}
	d.open = append(d.open, c)
}

func (d *Server) set(c *caller, to stage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.stage = to
}

func (d *Server) leave(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.net.Close()
	d.open = slices.DeleteFunc(d.open, func(o *caller) bool { return o == c })
}

// callers counts those that are connected.
func (d *Server) callers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

func (d *Server) serve(c *caller) {
	defer d.leave(c)
	c.net.SetReadDeadline(time.Now().Add(callIn))
	line, b := Line{}, make([]byte, maxLine)
	for whole := false; !whole; {
		n, err := c.net.Read(b)
		if err != nil && !errors.Is(err, io.EOF) {
			return
		}
		var bad error
		if whole, bad = line.Feed(b[:n], err != nil); bad != nil {
			d.answer(c, "", bad)
			return
		}
	}
	d.set(c, called)
	call := d.calls[line.Word()]
	if call == nil {
		call = func() (string, error) { return "", fmt.Errorf("no call %.40q", line.Word()) }
	}
	text, err := call()
	d.answer(c, text, err)
}

func (d *Server) answer(c *caller, text string, err error) {
	if err != nil {
		text = "-ERR " + strings.ReplaceAll(err.Error(), "\n", " ")
	} else {
		text = strings.TrimSpace("+OK " + text)
	}
	c.net.SetWriteDeadline(time.Now().Add(answerIn))
	io.WriteString(c.net, text+"\n")
	d.set(c, answered)
	// Closing with unread bytes would reset the connection and could cost the caller its answer.
	if tcp, is := c.net.(*net.TCPConn); is {
		tcp.CloseWrite()
		c.net.SetReadDeadline(time.Now().Add(answerIn))
		io.Copy(io.Discard, io.LimitReader(c.net, 1<<16))
	}
}
