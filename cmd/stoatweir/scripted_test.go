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

// scriptedPeers are the client, the workers and the discovery of a transcript. All connections are
// pipes: a write returns only when the other end has read the bytes.
type scriptedPeers struct {
	*transcript
	script   *exchangeScript
	listener *pipeListener

	mu             sync.Mutex
	workers        []*scriptedWorker
	revision       int
	watches        map[net.Conn]bool
	clientConn     net.Conn
	clientLeft     bool
	clientRequests int // number of requests that clients sent
	dialCount      int
	requestCount   int
	openConns      []net.Conn
	ended          bool
}

// scriptedWorker is a worker and its entry in the endpoint list.
type scriptedWorker struct {
	name, zone, endpoint, state string
	reachable                   chan struct{} // closed while the worker can be reached
}

// scriptedConn is the scheduler's end of a pipe. If the other end was reset rather than closed,
// reads fail with ECONNRESET.
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

// pipeListener accepts the connections that the test sends on conns.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		runtime.Goexit() // the event loop that an error would be reported to has ended
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// newScriptedPeers returns the peers of a script. They record what they do.
func newScriptedPeers(script *exchangeScript, record *transcript) *scriptedPeers {
	peers := &scriptedPeers{transcript: record, script: script, revision: 1, watches: map[net.Conn]bool{},
		listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}}
	for n, text := range script.workers {
		name, zone, _ := strings.Cut(text, "/")
		reachable := make(chan struct{})
		close(reachable)
		peers.workers = append(peers.workers, &scriptedWorker{name: name, zone: zone, state: "Ready", reachable: reachable,
			endpoint: fmt.Sprint("127.0.0.1:", 9001+n)})
	}
	return peers
}

// endpointList returns the endpoint list as discovery sends it.
func (p *scriptedPeers) endpointList() string {
	var targets []string
	for _, worker := range p.workers {
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"state":%q}`, worker.name, worker.endpoint, worker.zone,
			worker.state))
	}
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, p.revision, strings.Join(targets, ","))
}

// start starts the client and schedules the events.
func (p *scriptedPeers) start() {
	for _, event := range p.script.events {
		go func() {
			time.Sleep(event.at)
			p.runEvent(event.step)
		}()
	}
	go p.runClient(p.script.timeout)
}

// stop closes all connections and unblocks all goroutines of the peers.
func (p *scriptedPeers) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.openConns {
		c.Close()
	}
	for _, worker := range p.workers {
		worker.makeReachable()
	}
	close(p.listener.closed)
}

// makeReachable ends a cut of the worker from the network.
func (worker *scriptedWorker) makeReachable() {
	select {
	case <-worker.reachable:
	default:
		close(worker.reachable)
	}
}

// runEvent executes a scheduled event of the script.
func (p *scriptedPeers) runEvent(step string) {
	fields := strings.Fields(step)
	p.mu.Lock()
	defer p.mu.Unlock()
	if fields[0] == "leave" {
		p.clientLeft = true
		p.add("client", "leaves")
		p.clientConn.Close()
		return
	}
	for _, worker := range p.workers {
		if worker.name != fields[1] {
			continue
		}
		switch fields[0] {
		case "drain":
			worker.state = "Terminating"
		case "move":
			worker.zone = fields[2]
		case "cut":
			p.add(worker.name, "is cut off")
			worker.reachable = make(chan struct{})
			return
		case "heal":
			p.add(worker.name, "can be reached again")
			worker.makeReachable()
			return
		}
	}
	p.revision++
	p.add("discovery", "tells: %s", step)
	for c := range p.watches {
		io.WriteString(c, encodeChunk(p.endpointList()+"\n"))
	}
}

func (p *scriptedPeers) hasClientLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clientLeft
}

// trackConn registers a connection to be closed by stop. It returns false if stop was already
// called.
func (p *scriptedPeers) trackConn(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns = append(p.openConns, c)
	return !p.ended
}

// dialScheduler returns a new connection to the scheduler, or nil if the peers are stopped.
func (p *scriptedPeers) dialScheduler() net.Conn {
	clientEnd, schedulerEnd := net.Pipe()
	if !p.trackConn(clientEnd) {
		return nil
	}
	select {
	case p.listener.conns <- schedulerEnd:
		return clientEnd
	case <-p.listener.closed:
		return nil
	}
}

// DialContext connects the scheduler to discovery or to a worker. Connections to workers follow the
// dial steps of the script.
func (p *scriptedPeers) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	schedulerEnd, peerEnd := net.Pipe()
	if !p.trackConn(peerEnd) {
		return nil, net.ErrClosed
	}
	if addr == discoveryAddr {
		go p.serveDiscovery(peerEnd)
		return schedulerEnd, nil
	}
	worker := p.workerAt(addr)
	if worker == nil {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	p.mu.Lock()
	p.dialCount++
	number := p.dialCount
	steps := p.script.dials[number]
	reachable := worker.reachable
	p.mu.Unlock()
	for _, step := range steps {
		p.add("scheduler", "connects to %s: %s", worker.name, step)
		switch action, duration, _ := strings.Cut(step, " "); action {
		case "refuse":
			time.Sleep(messageDelay)
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case "never":
			<-ctx.Done()
			return nil, ctx.Err()
		case "after":
			wait, _ := time.ParseDuration(duration)
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	select {
	case <-reachable:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	reset := new(atomic.Bool)
	go p.serveWorker(worker, peerEnd, reset)
	return scriptedConn{schedulerEnd, reset}, nil
}

// workerAt returns the worker with an address, or nil.
func (p *scriptedPeers) workerAt(addr string) *scriptedWorker {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, worker := range p.workers {
		if worker.endpoint == addr {
			return worker
		}
	}
	return nil
}

// serveDiscovery serves a watch of the endpoint list.
func (p *scriptedPeers) serveDiscovery(c net.Conn) {
	if _, _, err := readMessage(bufio.NewReader(c)); err != nil {
		return
	}
	p.mu.Lock()
	io.WriteString(c, listResponseHeader+encodeChunk(p.endpointList()+"\n"))
	p.watches[c] = true
	p.mu.Unlock()
	for {
		if !p.sleep(2 * time.Second) {
			return
		}
		if _, err := io.WriteString(c, encodeChunk("\n")); err != nil {
			p.mu.Lock()
			delete(p.watches, c)
			p.mu.Unlock()
			return
		}
	}
}

// serveWorker serves a connection to a worker.
func (p *scriptedPeers) serveWorker(worker *scriptedWorker, c net.Conn, reset *atomic.Bool) {
	defer c.Close()
	for {
		first := make([]byte, 1)
		if _, err := c.Read(first); err != nil {
			return
		}
		time.Sleep(messageDelay)
		p.mu.Lock()
		reachable := worker.reachable
		p.mu.Unlock()
		request := &scriptedRequest{scriptedPeers: p, worker: worker, conn: c, reset: reset, text: string(first), reachable: reachable}
		if !request.serve() {
			return
		}
	}
}

// scriptedRequest is a request that a worker receives.
type scriptedRequest struct {
	*scriptedPeers
	worker    *scriptedWorker
	conn      net.Conn
	reset     *atomic.Bool
	text      string // the part that was read so far
	number    int
	complete  bool // the last byte has been read
	reachable chan struct{}
}

// serve handles the request as the script says. It returns false if the connection has ended.
func (r *scriptedRequest) serve() bool {
	if r.text == "D" || r.text == "G" {
		isHealthCheck := r.text == "G"
		if !r.readUntilLeft(0) {
			return false
		}
		if <-r.reachable; !isHealthCheck {
			r.add(r.worker.name, "gets a cancel")
		}
		_, err := io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	r.mu.Lock()
	r.scriptedPeers.requestCount++
	r.number = r.scriptedPeers.requestCount
	steps, scripted := r.script.requests[r.number]
	for n := r.number; !scripted && n > 0; n-- {
		steps, scripted = r.script.requests[n]
	}
	r.mu.Unlock()
	for _, step := range steps {
		if !r.runStep(step) {
			return false
		}
	}
	return r.complete || r.readPart(true) // the next bytes belong to another request
}

// runStep executes one step of the script. It returns false if the connection has ended.
func (r *scriptedRequest) runStep(step string) bool {
	action, rest, _ := strings.Cut(step, " ")
	switch action {
	case "read":
		return r.readPart(rest == "all")
	case "wait":
		duration, _ := time.ParseDuration(rest)
		return r.sleep(duration)
	case "answer":
		<-r.reachable
		r.add(r.worker.name, "answers request %d: %s", r.number, rest)
		status, rejected, _ := strings.Cut(rest, " ")
		header := ""
		if rejected == "rejected" {
			header = "X-Rejected: 1\r\n"
		}
		time.Sleep(messageDelay)
		_, err := fmt.Fprintf(r.conn, "HTTP/1.1 %s Said\r\n%sContent-Length: 0\r\n\r\n", status, header)
		return err == nil
	case "news":
		<-r.reachable
		r.add(r.worker.name, "tells of request %d: %s", r.number, rest)
		go r.sendCallback(rest)
	case "reset":
		r.add(r.worker.name, "resets the connection of request %d", r.number)
		r.reset.Store(true)
		return false
	case "close":
		r.add(r.worker.name, "closes the connection of request %d", r.number)
		return false
	}
	return true
}

// sleep sleeps for a duration. It returns false if the peers are stopped before.
func (p *scriptedPeers) sleep(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-p.listener.closed:
		return false
	}
}

// readPart reads a request completely, or all but its last byte. It returns false if the connection
// ends before.
func (r *scriptedRequest) readPart(all bool) bool {
	unread := 1
	if all {
		unread = 0
	}
	if !r.readUntilLeft(unread) {
		if r.number > 0 {
			r.add(r.worker.name, "request %d breaks off", r.number)
		}
		return false
	}
	<-r.reachable
	if r.complete = all; all {
		r.add(r.worker.name, "has request %d, which tells of %s s left", r.number, r.remainingBudget())
	} else {
		r.add(r.worker.name, "has all but the last byte of request %d", r.number)
	}
	return true
}

// readUntilLeft reads until the given number of bytes of the request is left. It returns false if
// the connection ends before.
func (r *scriptedRequest) readUntilLeft(unread int) bool {
	for {
		headerText, body, hasHeader := strings.Cut(r.text, "\r\n\r\n")
		size := 0
		if _, text, found := strings.Cut(headerText, "Content-Length: "); found {
			text, _, _ = strings.Cut(text, "\r\n")
			size, _ = strconv.Atoi(text)
		}
		if hasHeader && len(body) >= size-unread {
			return true
		}
		next := make([]byte, 1)
		if _, err := r.conn.Read(next); err != nil {
			return false
		}
		r.text += string(next)
	}
}

// headerValue returns the value of one of the request's headers.
func (r *scriptedRequest) headerValue(name string) string {
	_, text, _ := strings.Cut(r.text, name+": ")
	text, _, _ = strings.Cut(text, "\r\n")
	return text
}

// remainingBudget returns the client's remaining time budget as stated in the request, rounded to a
// tenth of a second.
func (r *scriptedRequest) remainingBudget() string {
	seconds, err := strconv.ParseFloat(r.headerValue("X-Budget"), 64)
	if err != nil {
		return "?"
	}
	return strconv.FormatFloat(seconds, 'f', 1, 64)
}

// sendCallback sends a callback for the request to the scheduler.
func (r *scriptedRequest) sendCallback(state string) {
	time.Sleep(messageDelay)
	conn := r.dialScheduler()
	if conn == nil {
		return
	}
	defer conn.Close()
	result := ""
	if state == "done" {
		result = fmt.Sprintf(`,"result":"made by request %d"`, r.number)
	}
	io.WriteString(conn, postRequest("/_jobs/news", "", fmt.Sprintf(`{"id":%q,"from":%q,"state":%q%s}`, r.headerValue("X-Call-Id"),
		r.worker.name, state, result)))
	readAnswer(bufio.NewReader(conn))
}
