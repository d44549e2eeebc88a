package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with connections.
type mode uint8

const (
	pass   mode = iota
	freeze      // nothing moves, and connections stay open
	refuse      // new ones are reset
	late        // new ones come up after a while
)

const lateBy = 300 * time.Millisecond

// proxy stands between schedulers and a peer of theirs.
type proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	mode    mode
	changed chan struct{} // is closed when the mode changes
	open    map[net.Conn]struct{}
	came    map[string]time.Time // when the last bytes came, by the address that the far end sees
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", host(peers)+":0")
	if err != nil {
		return nil, err
	}
	x := &proxy{listener: l, to: to, changed: make(chan struct{}), open: map[net.Conn]struct{}{}, came: map[string]time.Time{}}
	go x.accept()
	return x, nil
}

func (x *proxy) addr() string { return x.listener.Addr().String() }

func (x *proxy) set(m mode) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mode = m
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *proxy) now() (mode, <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.mode, x.changed
}

// reset ends all connections without a word.
func (x *proxy) reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.open {
		abort(c)
	}
}

func abort(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (x *proxy) close() {
	x.listener.Close()
	x.set(pass)
	x.reset()
}

func (x *proxy) accept() {
	for {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		go x.serve(c)
	}
}

func (x *proxy) serve(near net.Conn) {
	m, _ := x.now()
	if m == refuse {
		abort(near)
		return
	}
	far, err := net.Dial("tcp", x.to)
	if err != nil {
		abort(near)
		return
	}
	x.mu.Lock()
	x.open[near], x.open[far] = struct{}{}, struct{}{}
	x.mu.Unlock()
	name, wait := far.LocalAddr().String(), time.Duration(0)
	if m == late {
		wait = lateBy
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); x.move(near, far, name, wait) }()
	go func() { defer both.Done(); x.move(far, near, "", 0) }()
	both.Wait()
	near.Close()
	far.Close()
	x.mu.Lock()
	delete(x.open, near)
	delete(x.open, far)
	delete(x.came, name)
	x.mu.Unlock()
}

// cameAt is when the last bytes came that were passed on over a connection, which the far end knows by its peer's address. They may have
// been held here since.
func (x *proxy) cameAt(peer net.Addr) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	if at, known := x.came[peer.String()]; known {
		return at
	}
	return time.Now() // its connection has ended meanwhile
}

// move copies one way until that ends, whatever the reason, the first bytes after a while. A reset goes on as one. Under a name it notes when bytes come.
func (x *proxy) move(from, to net.Conn, name string, wait time.Duration) {
	b := make([]byte, 8<<10)
	for {
		n, err := from.Read(b)
		if name != "" && n > 0 {
			x.mu.Lock()
			x.came[name] = time.Now()
			x.mu.Unlock()
		}
		time.Sleep(wait)
		wait = 0
		for m, changed := x.now(); m == freeze; m, changed = x.now() {
			<-changed
		}
		if n > 0 {
			if _, failed := to.Write(b[:n]); failed != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			if tcp, is := to.(*net.TCPConn); is && err.Error() == "EOF" {
				tcp.CloseWrite()
			} else {
				abort(to)
			}
			return
		}
	}
}
