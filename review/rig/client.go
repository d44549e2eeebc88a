package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is one request of a client, and how it ended.
type Request struct {
	ID      string
	Class   string
	Budget  time.Duration
	Key     string // idempotency key; empty: none
	Body    string
	Headers []string // further lines of the head

	Sent    time.Duration // since the begin of the play, when the last byte had been written
	Ended   time.Duration
	Status  int // 0: there was no whole answer
	Answer  string
	Failure error
}

// Client is a client with one kept connection. It sends one request at a time.
type Client struct {
	run    *Run
	addr   string
	conn   net.Conn
	reader *bufio.Reader
	fresh  bool // nothing was sent on the connection yet
}

// NewClient returns a client that is not connected yet.
func (r *Run) NewClient(addr string) *Client { return &Client{run: r, addr: addr} }

// Connect connects unless the client is connected.
func (c *Client) Connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.fresh = true
	return nil
}

// Close closes the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Do sends a request and waits for its answer, for up to a second longer than the budget. A kept connection
// that ends before any byte of an answer has come is replaced once, as the protocol page tells clients.
func (c *Client) Do(q *Request) {
	kept := c.conn != nil && !c.fresh
	c.try(q)
	if q.Status == 0 && kept && q.Failure != nil && !isTimeout(q.Failure) {
		c.run.Note("client: %s goes out again on a new connection: %v", q.ID, q.Failure)
		c.try(q)
	}
	c.run.Note("client: %s %s ended with %d after %v, budget %v, %v", q.Class, q.ID, q.Status,
		(q.Ended - q.Sent).Round(time.Millisecond), q.Budget, q.Failure)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func (c *Client) try(q *Request) {
	q.Failure = nil
	q.Status = 0
	q.Sent = c.run.Now()
	q.Ended = q.Sent
	if q.Failure = c.Connect(); q.Failure != nil {
		return
	}
	c.fresh = false
	lines := []string{
		fmt.Sprintf("POST /%s/%s HTTP/1.1", q.Class, "k"+q.ID),
		"Host: backend.local",
		"X-Call-Id: " + q.ID,
		"X-Call-Class: " + q.Class,
		fmt.Sprintf("X-Budget: %.3f", q.Budget.Seconds()),
		fmt.Sprintf("Content-Length: %d", len(q.Body)),
	}
	if q.Key != "" {
		lines = append(lines, "Idempotency-Key: "+q.Key)
	}
	lines = append(lines, q.Headers...)
	c.conn.SetDeadline(time.Now().Add(q.Budget + time.Second))
	_, q.Failure = io.WriteString(c.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+q.Body)
	q.Sent = c.run.Now()
	if q.Failure == nil {
		q.Failure = c.read(q)
	}
	q.Ended = c.run.Now()
	if q.Failure != nil {
		q.Status = 0
		c.Close()
	}
}

func (c *Client) read(q *Request) error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	q.Status = response.StatusCode
	q.Answer = string(body)
	if response.Close {
		c.Close()
	}
	return nil
}
