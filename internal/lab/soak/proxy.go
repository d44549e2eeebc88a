package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is how a proxy treats connections.
type proxyMode uint8

const (
	proxyForward proxyMode = iota
	proxyFreeze            // nothing is forwarded, but connections stay open
	proxyRefuse            // new connections are reset
	proxyDelay             // the first bytes of new connections are delayed
)

const (
	connectDelay    = 300 * time.Millisecond // in proxyDelay
	copyBufferBytes = 8 << 10
)

// proxy forwards connections from schedulers to one of their peers, and injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	mode       proxyMode
	changed    chan struct{} // closed when the mode changes
	conns      map[net.Conn]struct{}
	receivedAt map[string]time.Time // time of the last bytes from the scheduler, by the peer address that the target sees
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", loopbackHost(peerOctet)+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener:   l,
		target:     target,
		changed:    make(chan struct{}),
		conns:      map[net.Conn]struct{}{},
		receivedAt: map[string]time.Time{},
	}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// currentMode returns the mode, and a channel that is closed when it changes.
func (p *proxy) currentMode() (proxyMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// resetConns resets all connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) close() {
	p.listener.Close()
	p.setMode(proxyForward)
	p.resetConns()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(downstream net.Conn) {
	mode, _ := p.currentMode()
	if mode == proxyRefuse {
		abort(downstream)
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(downstream)
		return
	}
	var delay time.Duration
	if mode == proxyDelay {
		delay = connectDelay
	}
	p.mu.Lock()
	p.conns[downstream] = struct{}{}
	p.conns[upstream] = struct{}{}
	p.mu.Unlock()
	peer := upstream.LocalAddr().String()
	var copying sync.WaitGroup
	copying.Go(func() { p.copyOneWay(downstream, upstream, delay, func() { p.markReceived(peer) }) })
	copying.Go(func() { p.copyOneWay(upstream, downstream, 0, func() {}) })
	copying.Wait()
	downstream.Close()
	upstream.Close()
	p.mu.Lock()
	delete(p.conns, downstream)
	delete(p.conns, upstream)
	delete(p.receivedAt, peer)
	p.mu.Unlock()
}

func (p *proxy) markReceived(peer string) {
	p.mu.Lock()
	p.receivedAt[peer] = time.Now()
	p.mu.Unlock()
}

// lastReceived returns when the proxy last received bytes to forward over a connection, which the
// target knows by its peer address. The proxy may have delayed them since then. If the connection has
// ended, it returns the current time.
func (p *proxy) lastReceived(peer net.Addr) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.receivedAt[peer.String()]; ok {
		return at
	}
	return time.Now()
}

// copyOneWay forwards one direction of a connection until it ends or fails, and delays the first
// bytes. A reset is forwarded as a reset. received is called when bytes have been read, before they
// are delayed.
func (p *proxy) copyOneWay(from, to net.Conn, delay time.Duration, received func()) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			received()
		}
		time.Sleep(delay)
		delay = 0
		p.awaitUnfrozen()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			forwardClose(to, err)
			return
		}
	}
}

// awaitUnfrozen waits until the proxy is not frozen.
func (p *proxy) awaitUnfrozen() {
	for {
		mode, changed := p.currentMode()
		if mode != proxyFreeze {
			return
		}
		<-changed
	}
}

// forwardClose ends one direction as the other side ended it: with an orderly close after an EOF,
// with a reset after any other error.
func forwardClose(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		tcp.CloseWrite()
		return
	}
	abort(to)
}
