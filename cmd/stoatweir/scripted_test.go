package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// scriptedWorld is the workers and discovery of a transcript. All connections are pipes, which take a byte when the other end reads it.
type scriptedWorld struct {
	*transcript
	script *exchangeScript
	door   *pipeListener

	mu         sync.Mutex
	workers    []*scriptedWorker
	rev        int
	watches    map[net.Conn]bool
	clientConn net.Conn
	left       bool
	asked      int // requests of clients
	dials      int
	requests   int
	open       []net.Conn
	over       bool
}

// scriptedWorker is one entry of the list.
type scriptedWorker struct {
	name, zone, endpoint, state string
	healed                      chan struct{} // closed: it can be reached
}

// scriptedConn is one end of a pipe; its reset is seen as such at the other end.
type scriptedConn struct {
	net.Conn
	reset *atomic.Bool
}

func (c scriptedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.reset.Load() {
		err = &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// pipeListener lets connections in that the test makes.
type pipeListener struct {
	come  chan net.Conn
	ended chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.come:
		return c, nil
	case <-l.ended:
		runtime.Goexit() // the event loop that would be notified has ended
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func newScriptedWorld(script *exchangeScript, r *transcript) *scriptedWorld {
	w := &scriptedWorld{transcript: r, script: script, rev: 1, watches: map[net.Conn]bool{},
		door: &pipeListener{come: make(chan net.Conn), ended: make(chan struct{})}}
	for n, text := range script.workers {
		name, zone, _ := strings.Cut(text, "/")
		healed := make(chan struct{})
		close(healed)
		w.workers = append(w.workers, &scriptedWorker{name: name, zone: zone, state: "Ready", healed: healed,
			endpoint: fmt.Sprint("127.0.0.1:", 9001+n)})
	}
	return w
}

func (w *scriptedWorld) list() string {
	var targets []string
	for _, worker := range w.workers {
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"state":%q}`, worker.name, worker.endpoint, worker.zone, worker.state))
	}
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, w.rev, strings.Join(targets, ","))
}

// begin sets the client and the events going.
func (w *scriptedWorld) begin() {
	for _, event := range w.script.events {
		go func() {
			time.Sleep(event.at)
			w.event(event.step)
		}()
	}
	go w.client(w.script.timeout)
}

// end closes all connections, so that nobody waits any more.
func (w *scriptedWorld) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	for _, c := range w.open {
		c.Close()
	}
	for _, worker := range w.workers {
		worker.heal()
	}
	close(w.door.ended)
}

func (worker *scriptedWorker) heal() {
	select {
	case <-worker.healed:
	default:
		close(worker.healed)
	}
}

// event carries out a step that a time was set for.
func (w *scriptedWorld) event(step string) {
	words := strings.Fields(step)
	w.mu.Lock()
	defer w.mu.Unlock()
	if words[0] == "leave" {
		w.left = true
		w.say("client", "leaves")
		w.clientConn.Close()
		return
	}
	for _, worker := range w.workers {
		if worker.name != words[1] {
			continue
		}
		switch words[0] {
		case "drain":
			worker.state = "Terminating"
		case "move":
			worker.zone = words[2]
		case "cut":
			w.say(worker.name, "is cut off")
			worker.healed = make(chan struct{})
			return
		case "heal":
			w.say(worker.name, "can be reached again")
			worker.heal()
			return
		}
	}
	w.rev++
	w.say("discovery", "tells: %s", step)
	for c := range w.watches {
		io.WriteString(c, chunk(w.list()+"\n"))
	}
}

func (w *scriptedWorld) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// keep enters a connection to be closed at the end; false: it is over.
func (w *scriptedWorld) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = append(w.open, c)
	return !w.over
}

// toScheduler is a new connection to the scheduler; nil: it is over.
func (w *scriptedWorld) toScheduler() net.Conn {
	near, far := net.Pipe()
	if !w.keep(near) {
		return nil
	}
	select {
	case w.door.come <- far:
		return near
	case <-w.door.ended:
		return nil
	}
}

// DialContext connects the scheduler to discovery and to workers.
func (w *scriptedWorld) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	near, far := net.Pipe()
	if !w.keep(far) {
		return nil, net.ErrClosed
	}
	if addr == discoveryAddr {
		go w.discover(far)
		return near, nil
	}
	worker := w.at(addr)
	if worker == nil {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	w.mu.Lock()
	w.dials++
	number := w.dials
	steps := w.script.dials[number]
	healed := worker.healed
	w.mu.Unlock()
	for _, step := range steps {
		w.say("scheduler", "connects to %s: %s", worker.name, step)
		switch word, span, _ := strings.Cut(step, " "); word {
		case "refuse":
			time.Sleep(hop)
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case "never":
			<-ctx.Done()
			return nil, ctx.Err()
		case "after":
			wait, _ := time.ParseDuration(span)
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	select {
	case <-healed:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	reset := new(atomic.Bool)
	go w.serve(worker, far, reset)
	return scriptedConn{near, reset}, nil
}

func (w *scriptedWorld) at(addr string) *scriptedWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		if worker.endpoint == addr {
			return worker
		}
	}
	return nil
}

// discover serves a watch.
func (w *scriptedWorld) discover(c net.Conn) {
	if _, _, err := message(bufio.NewReader(c)); err != nil {
		return
	}
	w.mu.Lock()
	io.WriteString(c, listHead+chunk(w.list()+"\n"))
	w.watches[c] = true
	w.mu.Unlock()
	for {
		if !w.wait(2 * time.Second) {
			return
		}
		if _, err := io.WriteString(c, chunk("\n")); err != nil {
			w.mu.Lock()
			delete(w.watches, c)
			w.mu.Unlock()
			return
		}
	}
}

// serve is a worker's side of a connection.
func (w *scriptedWorld) serve(worker *scriptedWorker, c net.Conn, reset *atomic.Bool) {
	defer c.Close()
	for {
		first := make([]byte, 1)
		if _, err := c.Read(first); err != nil {
			return
		}
		time.Sleep(hop)
		w.mu.Lock()
		healed := worker.healed
		w.mu.Unlock()
		request := &scriptedRequest{scriptedWorld: w, worker: worker, conn: c, reset: reset, text: string(first), healed: healed}
		if !request.serve() {
			return
		}
	}
}

// scriptedRequest is one request at a worker.
type scriptedRequest struct {
	*scriptedWorld
	worker *scriptedWorker
	conn   net.Conn
	reset  *atomic.Bool
	text   string // so far
	number int
	whole  bool // its last byte has been read
	healed chan struct{}
}

// serve follows the script. False: the connection has ended.
func (r *scriptedRequest) serve() bool {
	if r.text == "D" || r.text == "G" {
		probe := r.text == "G"
		if !r.read(0) {
			return false
		}
		if <-r.healed; !probe {
			r.say(r.worker.name, "gets a cancel")
		}
		_, err := io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	r.mu.Lock()
	r.scriptedWorld.requests++
	r.number = r.scriptedWorld.requests
	steps, told := r.script.requests[r.number]
	for n := r.number; !told && n > 0; n-- {
		steps, told = r.script.requests[n]
	}
	r.mu.Unlock()
	for _, step := range steps {
		if !r.step(step) {
			return false
		}
	}
	return r.whole || r.readPart(true) // what comes next is another request
}

func (r *scriptedRequest) step(step string) bool {
	word, rest, _ := strings.Cut(step, " ")
	switch word {
	case "read":
		return r.readPart(rest == "all")
	case "wait":
		span, _ := time.ParseDuration(rest)
		return r.wait(span)
	case "answer":
		<-r.healed
		r.say(r.worker.name, "answers request %d: %s", r.number, rest)
		status, rejected, _ := strings.Cut(rest, " ")
		head := ""
		if rejected == "rejected" {
			head = "X-Rejected: 1\r\n"
		}
		time.Sleep(hop)
		_, err := fmt.Fprintf(r.conn, "HTTP/1.1 %s Said\r\n%sContent-Length: 0\r\n\r\n", status, head)
		return err == nil
	case "news":
		<-r.healed
		r.say(r.worker.name, "tells of request %d: %s", r.number, rest)
		go r.news(rest)
	case "reset":
		r.say(r.worker.name, "resets the connection of request %d", r.number)
		r.reset.Store(true)
		return false
	case "close":
		r.say(r.worker.name, "closes the connection of request %d", r.number)
		return false
	}
	return true
}

// wait waits, unless the exchange ends before.
func (w *scriptedWorld) wait(span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-w.door.ended:
		return false
	}
}

// readPart reads a request to its last byte, or to the one before it.
func (r *scriptedRequest) readPart(all bool) bool {
	but := 1
	if all {
		but = 0
	}
	if !r.read(but) {
		if r.number > 0 {
			r.say(r.worker.name, "request %d breaks off", r.number)
		}
		return false
	}
	<-r.healed
	if r.whole = all; all {
		r.say(r.worker.name, "has request %d, which tells of %s s left", r.number, r.budget())
	} else {
		r.say(r.worker.name, "has all but the last byte of request %d", r.number)
	}
	return true
}

// read reads on until so many bytes of the request are left.
func (r *scriptedRequest) read(but int) bool {
	for {
		head, body, whole := strings.Cut(r.text, "\r\n\r\n")
		size := 0
		if _, text, is := strings.Cut(head, "Content-Length: "); is {
			text, _, _ = strings.Cut(text, "\r\n")
			size, _ = strconv.Atoi(text)
		}
		if whole && len(body) >= size-but {
			return true
		}
		next := make([]byte, 1)
		if _, err := r.conn.Read(next); err != nil {
			return false
		}
		r.text += string(next)
	}
}

// field is what the request says in one of its headers.
func (r *scriptedRequest) field(name string) string {
	_, text, _ := strings.Cut(r.text, name+": ")
	text, _, _ = strings.Cut(text, "\r\n")
	return text
}

// budget is what the request says is left of its client's time, to a tenth of a second.
func (r *scriptedRequest) budget() string {
	left, err := strconv.ParseFloat(r.field("X-Budget"), 64)
	if err != nil {
		return "?"
	}
	return strconv.FormatFloat(left, 'f', 1, 64)
}

func (r *scriptedRequest) news(state string) {
	time.Sleep(hop)
	c := r.toScheduler()
	if c == nil {
		return
	}
	defer c.Close()
	result := ""
	if state == "done" {
		result = fmt.Sprintf(`,"result":"made by request %d"`, r.number)
	}
	io.WriteString(c, post("/_jobs/news", "", fmt.Sprintf(`{"id":%q,"from":%q,"state":%q%s}`, r.field("X-Call-Id"), r.worker.name, state, result)))
	answerOf(bufio.NewReader(c))
}
