package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is a client's final answer.
type Answer struct {
	Status int // 0: the connection ended without a whole answer
	Body   string
	At     time.Duration
}

// Client is one kept connection of a client.
type Client struct {
	run    *Run
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a client's connection.
func (r *Run) Dial(address string) *Client {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.Log("client: no connection to %s: %v", address, err)
		return nil
	}
	return &Client{run: r, conn: conn, reader: bufio.NewReader(conn)}
}

// Close closes the client's connection.
func (c *Client) Close() { c.conn.Close() }

// Call sends one request and waits for its answer.
func (c *Client) Call(id, class, path string, budget time.Duration, headers ...string) Answer {
	body := "work for " + id
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		path, id, class, budget.Seconds(), strings.Join(append(headers, ""), "\r\n"), len(body), body)
	c.run.Log("client sends %s (%s, budget %.3f s)", id, class, budget.Seconds())
	answer := Answer{}
	c.conn.SetDeadline(time.Now().Add(budget + 2*time.Second))
	if _, err := io.WriteString(c.conn, text); err == nil {
		answer = c.read()
	}
	answer.At = c.run.Since()
	c.run.Log("client is answered %s: status %d, %q", id, answer.Status, answer.Body)
	return answer
}

func (c *Client) read() Answer {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.run.Log("client reads: %v", err)
		return Answer{}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{Status: response.StatusCode, Body: string(body)}
}

// Get returns the status and body of a page; 0 if there is no answer.
func (r *Run) Get(address, path string) (int, string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// Admin sends one line to the operators' address and returns the first line of the answer.
func (r *Run) Admin(address, command string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\n", command)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}
