package api

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// MaxConnections is how many connections are open at once; their descriptors are reserved.
	MaxConnections = 16

	maxHeaderBytes = 16 << 10
	// readTimeout is for a whole request; who sends a byte now and then is no administrator.
	readTimeout   = 5 * time.Second
	answerTimeout = 5 * time.Second // from the end of the request
	idleTimeout   = 30 * time.Second
)

// Serve answers the listener's connections until it is closed, and returns its error. Only so many
// connections are open at once: the descriptors are for clients.
func (a *API) Serve(l net.Listener) error {
	server := &http.Server{
		Handler:           a,
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      readTimeout + answerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return server.Serve(&limitedListener{Listener: l, slots: make(chan struct{}, MaxConnections)})
}

// limitedListener accepts as many connections at once as its channel has slots.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a free slot and a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

// limitedConn has a slot of a limitedListener until it is closed.
type limitedConn struct {
	net.Conn
	slots   chan struct{}
	release sync.Once // net/http may close a connection more than once
}

// Close frees the slot and closes the connection.
func (c *limitedConn) Close() error {
	c.release.Do(func() { <-c.slots })
	return c.Conn.Close()
}
