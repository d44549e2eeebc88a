package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// watchKeepAliveInterval is the time between the empty lines that show that an idle watch is alive.
const watchKeepAliveInterval = 2 * time.Second

// listServer serves the watches of one scheduler on the endpoint list.
type listServer struct {
	list      *endpointList
	scheduler int // its number
	listener  net.Listener
	proxy     *proxy

	mu          sync.Mutex
	conns       map[net.Conn]struct{}
	answerDelay time.Duration // before each answer, besides that of the list
}

func newListServer(l *endpointList, scheduler int) (*listServer, error) {
	listener, err := net.Listen("tcp", loopbackHost(peerOctet)+":0")
	if err != nil {
		return nil, err
	}
	proxy, err := newProxy(listener.Addr().String())
	if err != nil {
		listener.Close()
		return nil, err
	}
	s := &listServer{list: l, scheduler: scheduler, listener: listener, proxy: proxy, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

func (s *listServer) close() {
	s.listener.Close()
	s.proxy.close()
	s.resetConns()
}

func (s *listServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.serve(c)
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

func (s *listServer) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		abort(c)
	}
}

func (s *listServer) setAnswerDelay(delay time.Duration) {
	s.mu.Lock()
	s.answerDelay = delay
	s.mu.Unlock()
}

func (s *listServer) serve(c net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	knownRevision, err := strconv.Atoi(request.URL.Query().Get("index"))
	if err != nil {
		knownRevision = noRevision
	}
	s.list.mu.Lock()
	delay := s.list.delay
	down := s.list.down
	s.list.mu.Unlock()
	s.mu.Lock()
	delay += s.answerDelay
	s.mu.Unlock()
	time.Sleep(delay)
	if down {
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	s.watch(c, knownRevision)
}

// watch sends updates, and empty lines while there are none, until the connection or the run ends.
func (s *listServer) watch(c net.Conn, knownRevision int) {
	for first := true; ; first = false {
		update := s.list.updateSince(knownRevision)
		if len(update.text) > 0 || first {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(update.text)+1, update.text); err != nil {
				return
			}
			s.recordSent(update)
		}
		knownRevision = update.revision
		select {
		case <-update.changed:
		case <-time.After(watchKeepAliveInterval):
			if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
				return
			}
		case <-s.list.harness.ctx.Done():
			return
		}
	}
}

// recordSent records that an update was sent, unless the proxy may still delay it.
func (s *listServer) recordSent(update listUpdate) {
	if mode, _ := s.proxy.currentMode(); mode == proxyForward {
		s.list.harness.observed.addUpdateSent(s.scheduler, update.endpoints, time.Now())
	}
}
