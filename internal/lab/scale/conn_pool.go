package scale

import (
	"net"
	"slices"
	"sync"
)

// connPool holds idle connections to schedulers.
type connPool struct {
	mu   sync.Mutex
	idle map[int][]net.Conn // by scheduler index, most recently used last
}

func newConnPool() *connPool { return &connPool{idle: map[int][]net.Conn{}} }

// get returns the most recently used idle connection to a scheduler, or a new one.
func (p *connPool) get(scheduler int, addr string) (net.Conn, error) {
	if conn := p.take(scheduler); conn != nil {
		return conn, nil
	}
	return net.DialTimeout("tcp", addr, dialTimeout)
}

// take removes the most recently used idle connection from the pool; nil: there is none.
func (p *connPool) take(scheduler int) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[scheduler]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	p.idle[scheduler] = idle[:last]
	return idle[last]
}

// put adds a connection that is no longer in use to the pool.
func (p *connPool) put(scheduler int, conn net.Conn) {
	p.mu.Lock()
	p.idle[scheduler] = append(p.idle[scheduler], conn)
	p.mu.Unlock()
}

// closeIdle removes a connection from the pool and closes it, unless it is in use.
func (p *connPool) closeIdle(scheduler int, conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[scheduler]
	index := slices.Index(idle, conn)
	if index < 0 {
		return
	}
	p.idle[scheduler] = slices.Delete(idle, index, index+1)
	conn.Close()
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytesRead    int
	bytesWritten int
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead += n
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten += n
	return n, err
}
