package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
)

// serve answers each request on loopback; nil: the connection stays silent.
func serve(t *testing.T, answer func(first, body string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					first, body, err := message(r)
					if err != nil {
						return
					}
					io.WriteString(c, answer(first, body))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func message(r *bufio.Reader) (first, body string, err error) {
	text := textproto.NewReader(r)
	if first, err = text.ReadLine(); err != nil {
		return "", "", err
	}
	head, err := text.ReadMIMEHeader()
	if err != nil {
		return "", "", err
	}
	size, _ := strconv.Atoi(head.Get("Content-Length"))
	b := make([]byte, size)
	_, err = io.ReadFull(r, b)
	return first, string(b), err
}

// exchange sends one request and gives the answer's first line and body.
func exchange(addr, request string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	io.WriteString(c, request)
	first, body, err := message(bufio.NewReader(c))
	if err != nil {
		return err.Error()
	}
	return first + " " + body
}

func post(path, head, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", path, head, len(body), body)
}

// serveAt runs a service, and waits for its yes. over is closed at its end.
func serveAt(t *testing.T, l net.Listener, config settings.Process) (s *service, over chan struct{}) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := newService(config, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	over = make(chan struct{})
	go func() { s.run(takeover.Address{Listener: l}); close(over) }()
	for exchange(l.Addr().String(), "GET /-/ready HTTP/1.1\r\n\r\n") != "HTTP/1.1 200 OK " {
		time.Sleep(time.Millisecond)
	}
	return s, over
}

type breakDispatcher struct{ *service }

func (b breakDispatcher) Run() { b.dispatcher, b.events = nil, append(b.events, dispatch.TimerFired{}) }

// Cached list, watch, a request forwarded to a worker, its callback, the answer; then the order to stop, with one request in
// flight that no worker completes: it is answered all the same, and the service exits by itself.
func TestServeAndStop(t *testing.T) {
	var node string // where the service listens
	worker := serve(t, func(first, body string) string {
		switch {
		case strings.HasPrefix(first, "GET"):
			return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT x0=4"
		case strings.HasPrefix(body, "end "):
			go exchange(node, post("/_jobs/news", "", `{"id":"`+body[4:]+`","from":"s-1","state":"done","result":"made"}`))
		}
		return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	})
	list := `{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"` + worker + `","state":"Ready"}]}`
	discovery := serve(t, func(first, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node = l.Addr().String()
	config, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"`+node+`","discovery":"`+discovery+`","seed":"8c1f",
		"known":`+list+`,"settings":{"Discovery":"ask","PeersTotal":1,"Report":{"How":"probe","Names":["x0"]},
		"FamilyInfo":{"ReportX0":"free slots"},"Limits":{"Probes":true,"MostForwards":2},"Rules":{"AskWithin":10},
		"Operations":[{"Name":"render","Effect":"read_like","LatencyObjective":0.2,"ClientTimeout":5}]}}`),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, over := serveAt(t, l, config)
	head := func(id string) string {
		return "X-Call-Id: " + id + "\r\nX-Call-Class: render\r\nX-Budget: 5.0\r\n"
	}
	if got := exchange(node, post("/render", head("q"), "end q")); got != "HTTP/1.1 200 OK made" {
		t.Error("served:", got)
	}
	// A dispatcher that panics costs its requests in flight, not the service.
	answer := make(chan string)
	hold := func(id, counted string) {
		go func() { answer <- exchange(node, post("/render", head(id), "never")) }()
		for !strings.Contains(exchange(node, "GET /-/counts HTTP/1.1\r\n\r\n"), counted) {
			time.Sleep(time.Millisecond)
		}
	}
	hold("b", `"Forwards":2`) // on its own it may not have been sent, and is throttled
	s.loop.Post(breakDispatcher{s})
	if got := <-answer; got != "HTTP/1.1 500 Internal Server Error " {
		t.Error("in hand of a broken module:", got)
	}
	if got := exchange(node, post("/render", head("r"), "end r")); got != "HTTP/1.1 200 OK made" {
		t.Error("served after a panic:", got)
	}
	// Orders to read the configuration anew: an unusable file changes nothing, a good one moves the watch, and any
	// number of them, one while stopping, does no harm.
	moved := make(chan struct{}, 100)
	second := serve(t, func(first, body string) string {
		moved <- struct{}{}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
	orders, reads := make(chan os.Signal, 1), 0
	go s.reloadOnSignal(orders, func() (settings.Process, error) {
		next := config
		next.Discovery = second
		if reads++; reads == 1 {
			return next, errors.New("discovery: is not set")
		}
		return next, nil
	})
	orders <- syscall.SIGHUP
	for range 20 {
		orders <- syscall.SIGHUP
	}
	<-moved
	if got := exchange(node, post("/render", head("s"), "end s")); got != "HTTP/1.1 200 OK made" {
		t.Error("served after the move:", got)
	}
	if len(moved) > 0 {
		t.Error("one move, more than one watch")
	}
	hold("2", `"Taken":5`)
	s.loop.PostUrgent(loopTask(s.stop))
	orders <- syscall.SIGHUP
	if got := exchange(node, "GET /-/ready HTTP/1.1\r\n\r\n"); got != "HTTP/1.1 503 Service Unavailable " {
		t.Error("ready while it leaves:", got)
	}
	if got := <-answer; got != "HTTP/1.1 500 Internal Server Error " {
		t.Error("left over:", got)
	}
	select {
	case <-over:
	case <-time.After(5 * time.Second):
		t.Error("it does not end")
	}
}

// With a cached list and a discovery that does not answer the service is ready at once, as nobody else may be; an idle
// connection is served on after the order to stop, and closed before the exit.
func TestReadyAtOnceAndStopOnReusedConnection(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"`+l.Addr().String()+`","discovery":"`+silent.Addr().String()+`",
		"known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","state":"Ready"}]},
		"settings":{"Discovery":"ask","Operations":[{"Name":"render","Effect":"read_like"}]}}`),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := newService(config, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	began := time.Now()
	go func() { s.run(takeover.Address{Listener: l}); close(over) }()
	for exchange(l.Addr().String(), "GET /-/ready HTTP/1.1\r\n\r\n") != "HTTP/1.1 200 OK " {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(began); took > initialListTimeout/2 {
		t.Error("ready after", took)
	}
	kept, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(kept)
	ask := func() string {
		io.WriteString(kept, "GET /-/ready HTTP/1.1\r\n\r\n")
		first, _, err := message(r)
		return fmt.Sprint(first, " ", err)
	}
	if got := ask(); got != "HTTP/1.1 200 OK <nil>" {
		t.Error("kept:", got)
	}
	s.loop.PostUrgent(loopTask(s.stop))
	for range 3 {
		if got := ask(); got != "HTTP/1.1 503 Service Unavailable <nil>" {
			t.Error("kept while stopping:", got)
		}
	}
	if _, _, err := message(r); err != io.EOF {
		t.Error("shut:", err)
	}
	select {
	case <-over:
	case <-time.After(2 * time.Second):
		t.Error("it does not end")
	}
}
