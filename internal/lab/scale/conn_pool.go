package scale

import (
	"net"
	"slices"
	"sync"
)

// connPool holds idle connections to schedulers.
type connPool struct {
	mu   sync.Mutex
	idle map[int][]net.Conn // by scheduler, the last one used last
}

func newConnPool() *connPool { return &connPool{idle: map[int][]net.Conn{}} }

// get returns the idle connection that was used last, or a new one.
func (p *connPool) get(scheduler int, addr string) (net.Conn, error) {
	if conn := p.take(scheduler); conn != nil {
		return conn, nil
	}
	return net.DialTimeout("tcp", addr, dialTimeout)
}

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

func (p *connPool) put(scheduler int, conn net.Conn) {
	p.mu.Lock()
	p.idle[scheduler] = append(p.idle[scheduler], conn)
	p.mu.Unlock()
}

// closeIdle closes a connection, unless it is in use.
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

// countingConn counts the bytes of a connection.
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
