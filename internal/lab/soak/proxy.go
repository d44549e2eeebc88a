package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with connections.
type proxyMode uint8

const (
	proxyForward proxyMode = iota
	proxyFreeze            // nothing is forwarded, and connections stay open
	proxyRefuse            // new connections are reset
	proxyDelay             // the first bytes of new connections are delayed
)

const (
	connectDelay = 300 * time.Millisecond // in proxyDelay
	copyBuffer   = 8 << 10                // bytes
)

// proxy forwards connections of schedulers to a peer of theirs, and injects faults of the network.
type proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	mode       proxyMode
	changed    chan struct{} // closed when the mode changes
	conns      map[net.Conn]struct{}
	receivedAt map[string]time.Time // of the last bytes from the scheduler, by the address that the target sees
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", loopbackHost(peerNet)+":0")
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

// abort closes a connection by a reset.
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

func (p *proxy) serve(near net.Conn) {
	mode, _ := p.currentMode()
	if mode == proxyRefuse {
		abort(near)
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(near)
		return
	}
	var delay time.Duration
	if mode == proxyDelay {
		delay = connectDelay
	}
	p.mu.Lock()
	p.conns[near] = struct{}{}
	p.conns[far] = struct{}{}
	p.mu.Unlock()
	name := far.LocalAddr().String()
	var copying sync.WaitGroup
	copying.Go(func() { p.copyOneWay(near, far, delay, func() { p.markReceived(name) }) })
	copying.Go(func() { p.copyOneWay(far, near, 0, func() {}) })
	copying.Wait()
	near.Close()
	far.Close()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	delete(p.receivedAt, name)
	p.mu.Unlock()
}

func (p *proxy) markReceived(name string) {
	p.mu.Lock()
	p.receivedAt[name] = time.Now()
	p.mu.Unlock()
}

// lastReceived is when the last bytes were received that were forwarded over a connection, which
// the target knows by its peer's address. The proxy may have delayed them since. It is now where
// the connection has ended meanwhile.
func (p *proxy) lastReceived(peer net.Addr) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.receivedAt[peer.String()]; ok {
		return at
	}
	return time.Now()
}

// copyOneWay forwards one way until that ends for whatever reason, the first bytes after a delay. A
// reset is forwarded as a reset. received is called when bytes have been read, before they are
// delayed.
func (p *proxy) copyOneWay(from, to net.Conn, delay time.Duration, received func()) {
	b := make([]byte, copyBuffer)
	for {
		n, err := from.Read(b)
		if n > 0 {
			received()
		}
		time.Sleep(delay)
		delay = 0
		p.awaitThaw()
		if n > 0 {
			if _, failed := to.Write(b[:n]); failed != nil {
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

// awaitThaw waits until the proxy is not frozen.
func (p *proxy) awaitThaw() {
	for {
		mode, changed := p.currentMode()
		if mode != proxyFreeze {
			return
		}
		<-changed
	}
}

// forwardClose closes one direction as the other side's was: in order at its end, by a reset otherwise.
func forwardClose(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		tcp.CloseWrite()
		return
	}
	abort(to)
}
