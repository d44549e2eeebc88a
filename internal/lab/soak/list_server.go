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

// watchKeepAlive is the interval of the empty lines by which a watch shows that it is alive.
const watchKeepAlive = 2 * time.Second

// listServer is where one scheduler watches the endpoint list.
type listServer struct {
	list      *endpointList
	scheduler int
	listener  net.Listener
	proxy     *proxy

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newListServer(l *endpointList, scheduler int) (*listServer, error) {
	listener, err := net.Listen("tcp", loopbackHost(peerNet)+":0")
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

func (s *listServer) serve(c net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	known, err := strconv.Atoi(request.URL.Query().Get("index"))
	if err != nil {
		known = unknownRevision
	}
	s.list.mu.Lock()
	delay := s.list.delay
	down := s.list.down
	s.list.mu.Unlock()
	time.Sleep(delay)
	if down {
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	s.watch(c, known)
}

// watch sends updates, and empty lines between them, until the connection or the run ends.
func (s *listServer) watch(c net.Conn, known int) {
	for first := true; ; first = false {
		update := s.list.updateSince(known)
		if len(update.text) > 0 || first {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(update.text)+1, update.text); err != nil {
				return
			}
			s.recordSent(update)
		}
		known = update.revision
		select {
		case <-update.changed:
		case <-time.After(watchKeepAlive):
			if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
				return
			}
		case <-s.list.harness.ctx.Done():
			return
		}
	}
}

// recordSent records an update that was written, unless the proxy may delay it.
func (s *listServer) recordSent(update listUpdate) {
	if mode, _ := s.proxy.currentMode(); mode == proxyForward {
		s.list.harness.observed.addUpdateSent(s.scheduler, update.endpoints, time.Now())
	}
}
