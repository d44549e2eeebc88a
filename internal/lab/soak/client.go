package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// think is the usual time between two requests of a client.
const think = 200 * time.Millisecond

// client hands in requests to one scheduler, one after the other, and leaves some of them.
type client struct {
	play      *play
	name      string
	rng       *rand.Rand
	scheduler *scheduler
	conn      net.Conn
	reader    *bufio.Reader
}

// beginLoad sets the clients going; halt waits until each has the answer to its last request.
func (p *play) beginLoad() (halt func()) {
	var over atomic.Bool
	for _, s := range p.schedulers {
		for n := range p.Clients {
			c := &client{play: p, name: fmt.Sprintf("%d-%d", s.number, n), scheduler: s, rng: rand.New(rand.NewSource(p.Seed<<16 + int64(s.number*100+n)))}
			p.load.Add(1)
			go func() {
				defer p.load.Done()
				defer c.hangUp()
				for n := 0; !over.Load(); n++ {
					c.one(n)
					p.mu.Lock()
					patience := p.patience
					p.mu.Unlock()
					time.Sleep(time.Duration(c.rng.ExpFloat64() * patience * float64(think)))
				}
			}()
		}
	}
	return func() { over.Store(true); p.load.Wait() }
}

func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// one hands in a request, and enters what comes of it.
func (c *client) one(n int) {
	kind := classes[c.rng.Intn(len(classes))]
	id := fmt.Sprintf("%s-%s-%d", kind.name, c.name, n)
	budget := kind.timeout
	if c.rng.Intn(8) == 0 {
		budget = time.Duration(c.rng.Intn(300)+20) * time.Millisecond // a later try with little time left
	}
	work := time.Duration((0.3 + 0.7*c.rng.ExpFloat64()) * float64(meanWork))
	text := fmt.Sprintf("POST /%s/k%d HTTP/1.1\r\nHost: soak\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %.3f\r\n", kind.name, n%7, id, kind.name, budget.Seconds())
	if kind.effect == "idempotency_key" {
		text += "Idempotency-Key: " + id + "\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id)
	r := c.play.books.request(id, kind, c.scheduler, budget, work)
	c.play.mu.Lock()
	leaves := c.rng.Float64() < c.play.leaving
	c.play.mu.Unlock()
	if leaves {
		c.leave(r, text)
		return
	}
	for try := 0; ; try++ {
		fresh := c.conn == nil
		fate, again := c.ask(r, text, fresh)
		if fate != "" {
			c.play.count(fate)
		}
		if !again || try == 1 {
			return
		}
	}
}

// dial connects; false: nobody is there.
func (c *client) dial() bool {
	if c.conn != nil {
		return true
	}
	if !c.scheduler.fronted.Load() {
		c.play.count("not dealt to")
		time.Sleep(50 * time.Millisecond)
		return false
	}
	conn, err := net.DialTimeout("tcp", c.scheduler.listen, time.Second)
	if err != nil {
		c.play.count("nobody there")
		time.Sleep(50 * time.Millisecond)
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// leave hands a request in and goes.
func (c *client) leave(r *request, text string) {
	if !c.dial() {
		return
	}
	io.WriteString(c.conn, text)
	r.sent(time.Now())
	time.Sleep(time.Duration(c.rng.Intn(150)) * time.Millisecond)
	r.leave(time.Now())
	if c.rng.Intn(2) == 0 {
		abort(c.conn)
		c.conn = nil
	}
	c.hangUp()
}

// ask tells what came of a request; again: its connection had ended before it was read.
func (c *client) ask(r *request, text string, fresh bool) (fate string, again bool) {
	if !c.dial() {
		return "", false
	}
	began := time.Now()
	c.conn.SetDeadline(began.Add(r.budget + lostAfter))
	half := len(text)
	if c.rng.Intn(12) == 0 { // in pieces
		half = c.rng.Intn(len(text))
	}
	_, err := io.WriteString(c.conn, text[:half])
	if half < len(text) && err == nil {
		time.Sleep(time.Duration(c.rng.Intn(40)) * time.Millisecond)
		_, err = io.WriteString(c.conn, text[half:])
	}
	sent := time.Now()
	r.sent(sent)
	var answer *http.Response
	var body []byte
	if err == nil {
		if answer, err = http.ReadResponse(c.reader, nil); err == nil {
			body, err = io.ReadAll(answer.Body)
		}
	}
	now := time.Now()
	if err == nil {
		r.answer(now, answer.StatusCode, string(body))
		if answer.Close {
			c.hangUp()
		}
		return fmt.Sprint(answer.StatusCode), false
	}
	c.hangUp()
	timeout := net.Error(nil)
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		r.unanswered(now, "no answer")
	case !fresh:
		r.again()
		return "closed between two requests", true
	default:
		r.unanswered(now, "closed: "+err.Error())
	}
	return "unanswered", false
}

// misbehave is a client that is no client: it sends half a request and stays, garbage, or much at once.
func (p *play) misbehave(s *scheduler, rng *rand.Rand) {
	conn, err := net.DialTimeout("tcp", s.listen, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(4 * time.Second))
	text := "POST /render/k HTTP/1.1\r\nHost: soak\r\nX-Call-Id: bad\r\nX-Call-Class: render\r\nX-Budget: 1.0\r\nContent-Length: 40\r\n\r\nhalf"
	switch rng.Intn(5) {
	case 0:
		text = text[:rng.Intn(len(text))]
	case 1:
		text = strings.Repeat("\x00garbage ", 100) + "\r\n\r\n"
	case 2:
		text = strings.Repeat("GET /-/ready HTTP/1.1\r\nHost: soak\r\n\r\n", 50)
	case 3:
		text = ""
	}
	began := time.Now()
	io.WriteString(conn, text)
	if rng.Intn(3) == 0 {
		return // and goes
	}
	_, err = io.Copy(io.Discard, conn)
	timeout := net.Error(nil)
	if errors.As(err, &timeout) && timeout.Timeout() && s.frozen(began, time.Now()) == 0 && len(text) < 200 {
		p.books.find("F4 bad client", fmt.Sprint("n", s.number), fmt.Sprintf("no end after %v of %q", time.Since(began).Round(time.Millisecond), text[:min(20, len(text))]))
	}
}
