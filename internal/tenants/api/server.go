package api

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// MaxConnections is how many connections may be open at once. File descriptors are reserved for
	// them.
	MaxConnections = 16

	maxHeaderBytes = 16 << 10
	// readTimeout is how long a whole request may take to arrive, so that a peer that sends a byte
	// now and then does not occupy a connection.
	readTimeout   = 5 * time.Second
	answerTimeout = 5 * time.Second  // from the end of the request to the end of the answer
	idleTimeout   = 30 * time.Second // between two requests on a connection
)

// Serve answers the listener's connections until it is closed, and returns its error. At most
// MaxConnections are open at once, because the other file descriptors are needed for clients.
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

// limitedListener limits the number of connections that are open at once to the capacity of slots.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a free slot and then for a connection, which occupies the slot until it is closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

// limitedConn is a connection that occupies a slot of a limitedListener until it is closed.
type limitedConn struct {
	net.Conn
	slots   chan struct{}
	release sync.Once // net/http may close a connection more than once
}

// Close releases the slot and closes the connection.
func (c *limitedConn) Close() error {
	c.release.Do(func() { <-c.slots })
	return c.Conn.Close()
}
