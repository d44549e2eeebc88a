package conn

import (
	"context"
	"net"
	"time"
)

// Dial begins a connection; Up or Down follows.
func (s *Quota) Dial(addr string, within time.Duration, owner Handler) *Conn {
	ctx, abort := context.WithTimeout(context.Background(), within)
	c := &Conn{loop: s.loop, share: s, owner: owner, abort: abort}
	s.used++
	go func() {
		nc, err := s.loop.DialContext(ctx, "tcp", addr)
		s.loop.Post(note{Conn: c, net: nc, err: err, what: dialed})
	}()
	return c
}

// Adopt drives a connection that a listener has accepted.
func (s *Quota) Adopt(nc net.Conn, owner Handler) *Conn { return s.Inherit(nc, nil, owner) }

// Inherit drives one that another process had, which has read some bytes of it. They must fit the ring.
func (s *Quota) Inherit(nc net.Conn, read []byte, owner Handler) *Conn {
	s.used++
	c := &Conn{loop: s.loop, share: s, owner: owner, net: nc, abort: func() {}}
	c.In.Write(read)
	c.begin()
	return c
}

func (c *Conn) dialed(n note) {
	c.abort()
	switch {
	case c.ended:
		if n.net != nil {
			n.net.Close()
		}
		c.release()
	case n.err != nil:
		c.ended = true
		c.release()
		c.owner.Disconnected(c, dialled(n.err))
	default:
		c.net = n.net
		c.begin()
		c.owner.Connected(c)
	}
}
