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

// serveRequests starts a server on loopback that answers each request with the text that answer
// returns, and returns its address.
func serveRequests(t *testing.T, answer func(requestLine, body string) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for reader := bufio.NewReader(conn); ; {
					requestLine, body, err := readMessage(reader)
					if err != nil {
						return
					}
					io.WriteString(conn, answer(requestLine, body))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// readMessage reads an HTTP request or response and returns its first line and body.
func readMessage(source *bufio.Reader) (firstLine, body string, err error) {
	reader := textproto.NewReader(source)
	if firstLine, err = reader.ReadLine(); err != nil {
		return "", "", err
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return "", "", err
	}
	size, _ := strconv.Atoi(header.Get("Content-Length"))
	content := make([]byte, size)
	_, err = io.ReadFull(source, content)
	return firstLine, string(content), err
}

// requestOnce sends a request on a new connection and returns the first line and the body of the
// answer, or the text of the error.
func requestOnce(addr, request string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	io.WriteString(conn, request)
	statusLine, body, err := readMessage(bufio.NewReader(conn))
	if err != nil {
		return err.Error()
	}
	return statusLine + " " + body
}

// postRequest returns the text of a POST request. headers are complete lines.
func postRequest(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
}

// startReadyService starts a service and waits until it is ready. done is closed when the service
// has stopped.
func startReadyService(t *testing.T, listener net.Listener, config settings.Process) (s *service, done chan struct{}) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := newService(config, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	done = make(chan struct{})
	go func() { s.run(takeover.Address{Listener: listener}); close(done) }()
	for requestOnce(listener.Addr().String(), "GET /-/ready HTTP/1.1\r\n\r\n") != "HTTP/1.1 200 OK " {
		time.Sleep(time.Millisecond)
	}
	return s, done
}

// breakDispatcher is an event-loop task that makes the next call of the dispatcher panic.
type breakDispatcher struct{ *service }

func (b breakDispatcher) Run() { b.dispatcher, b.events = nil, append(b.events, dispatch.TimerFired{}) }

// The service loads the cached list, starts a watch, forwards a request, takes its callback and
// answers the client. It survives a panic of the dispatcher and reloads. When it is told to stop
// with a request in flight that no worker completes, it answers that request too and exits by
// itself.
func TestServeAndStop(t *testing.T) {
	var schedulerAddr string // the service's address
	worker := serveRequests(t, func(requestLine, body string) string {
		switch {
		case strings.HasPrefix(requestLine, "GET"):
			return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT x0=4"
		case strings.HasPrefix(body, "end "):
			go requestOnce(schedulerAddr, postRequest("/_jobs/news", "", `{"id":"`+body[4:]+`","from":"s-1","state":"done","result":"made"}`))
		}
		return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	})
	list := `{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"` + worker + `","state":"Ready"}]}`
	discovery := serveRequests(t, func(requestLine, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	schedulerAddr = listener.Addr().String()
	config, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"`+schedulerAddr+`","discovery":"`+discovery+`","seed":"8c1f",
		"known":`+list+`,"settings":{"Discovery":"ask","PeersTotal":1,"Report":{"How":"probe","Names":["x0"]},
		"FamilyInfo":{"ReportX0":"free slots"},"Limits":{"Probes":true,"MostForwards":2},"Rules":{"AskWithin":10},
		"Operations":[{"Name":"render","Effect":"read_like","LatencyObjective":0.2,"ClientTimeout":5}]}}`),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, done := startReadyService(t, listener, config)
	headers := func(id string) string {
		return "X-Call-Id: " + id + "\r\nX-Call-Class: render\r\nX-Budget: 5.0\r\n"
	}
	if got := requestOnce(schedulerAddr, postRequest("/render", headers("q"), "end q")); got != "HTTP/1.1 200 OK made" {
		t.Error("first request:", got)
	}
	// A panic of the dispatcher fails the requests in flight but does not stop the service.
	answer := make(chan string)
	sendAndAwait := func(id, counted string) {
		go func() { answer <- requestOnce(schedulerAddr, postRequest("/render", headers(id), "never")) }()
		for !strings.Contains(requestOnce(schedulerAddr, "GET /-/counts HTTP/1.1\r\n\r\n"), counted) {
			time.Sleep(time.Millisecond)
		}
	}
	sendAndAwait("b", `"Forwards":2`) // wait until it was forwarded: a request that was not sent is throttled instead of failed
	s.loop.Post(breakDispatcher{s})
	if got := <-answer; got != "HTTP/1.1 500 Internal Server Error " {
		t.Error("request in flight during a dispatcher panic:", got)
	}
	if got := requestOnce(schedulerAddr, postRequest("/render", headers("r"), "end r")); got != "HTTP/1.1 200 OK made" {
		t.Error("request after a dispatcher panic:", got)
	}
	// Reloads: an unusable configuration changes nothing, a valid one moves the watch once, and any
	// number of signals, including one while stopping, does no harm.
	secondDiscoveryCalls := make(chan struct{}, 100)
	secondDiscovery := serveRequests(t, func(requestLine, body string) string {
		secondDiscoveryCalls <- struct{}{}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
	signals, reads := make(chan os.Signal, 1), 0
	go s.reloadOnSignal(signals, func() (settings.Process, error) {
		next := config
		next.Discovery = secondDiscovery
		if reads++; reads == 1 {
			return next, errors.New("discovery: is not set")
		}
		return next, nil
	})
	signals <- syscall.SIGHUP
	for range 20 {
		signals <- syscall.SIGHUP
	}
	<-secondDiscoveryCalls
	if got := requestOnce(schedulerAddr, postRequest("/render", headers("s"), "end s")); got != "HTTP/1.1 200 OK made" {
		t.Error("request after the watch was moved:", got)
	}
	if len(secondDiscoveryCalls) > 0 {
		t.Error("the new discovery address got more than one watch")
	}
	sendAndAwait("2", `"Taken":5`)
	s.loop.PostUrgent(loopTask(s.stop))
	signals <- syscall.SIGHUP
	if got := requestOnce(schedulerAddr, "GET /-/ready HTTP/1.1\r\n\r\n"); got != "HTTP/1.1 503 Service Unavailable " {
		t.Error("readiness while stopping:", got)
	}
	if got := <-answer; got != "HTTP/1.1 500 Internal Server Error " {
		t.Error("request in flight during the stop:", got)
	}
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the service has not stopped after 5 s")
	}
}

// With a cached list the service is ready at once even if discovery does not answer, as no other
// scheduler may be ready. An idle connection is still served after the service is told to stop, and
// closed before it exits.
func TestReadyAtOnceAndStopOnReusedConnection(t *testing.T) {
	discoveryListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discoveryListener.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"`+listener.Addr().String()+`","discovery":"`+discoveryListener.Addr().String()+`",
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
	done := make(chan struct{})
	start := time.Now()
	go func() { s.run(takeover.Address{Listener: listener}); close(done) }()
	for requestOnce(listener.Addr().String(), "GET /-/ready HTTP/1.1\r\n\r\n") != "HTTP/1.1 200 OK " {
		time.Sleep(time.Millisecond)
	}
	if elapsed := time.Since(start); elapsed > initialListTimeout/2 {
		t.Error("not ready soon enough, but after", elapsed)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	checkReadiness := func() string {
		io.WriteString(conn, "GET /-/ready HTTP/1.1\r\n\r\n")
		statusLine, _, err := readMessage(reader)
		return fmt.Sprint(statusLine, " ", err)
	}
	if got := checkReadiness(); got != "HTTP/1.1 200 OK <nil>" {
		t.Error("readiness on a reused connection:", got)
	}
	s.loop.PostUrgent(loopTask(s.stop))
	for range 3 {
		if got := checkReadiness(); got != "HTTP/1.1 503 Service Unavailable <nil>" {
			t.Error("readiness on a reused connection while stopping:", got)
		}
	}
	if _, _, err := readMessage(reader); err != io.EOF {
		t.Error("reading the reused connection at the end, want EOF:", err)
	}
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Error("the service has not stopped after 2 s")
	}
}
