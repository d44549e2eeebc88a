package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"stoatweir/internal/settings"
)

// The dispatcher panics while the service is stopping, with a request in flight on a reused
// connection: the request gets its answer, the next one on the connection is served by the
// restarted dispatcher, and the service stops in time.
func TestDispatcherPanicDuringStop(t *testing.T) {
	const timeout = 2 * time.Second
	schedulerAddr := ""
	worker := serveRequests(t, func(statusLine, body string) string {
		if body == "served" {
			go requestOnce(schedulerAddr, postRequest("/_jobs/news", "", `{"id":"served","from":"s-1","state":"done","result":"made"}`))
		}
		return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	})
	list := `{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"` + worker + `","state":"Ready"}]}`
	discovery := serveRequests(t, func(string, string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	schedulerAddr = listener.Addr().String()
	config, err := settings.ParseProcess([]byte(`{"name":"n0","listen":"`+schedulerAddr+`","discovery":"`+discovery+`","seed":"1","known":`+list+`,"settings":{"Discovery":"ask",
		"Limits":{"MostForwards":2},"Rules":{"AskWithin":10},"Operations":[{"Name":"render","Effect":"non_idempotent","LatencyObjective":1,"ClientTimeout":2}]}}`),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, done := startReadyService(t, listener, config)
	request := func(id string) string {
		return postRequest("/render", "X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 2.0\r\n", id)
	}
	conn, err := net.Dial("tcp", schedulerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, request("held"))
	time.Sleep(50 * time.Millisecond)
	stopRequested := time.Now()
	s.loop.PostUrgent(loopTask(s.stop))
	time.Sleep(50 * time.Millisecond)
	s.loop.Post(breakDispatcher{s})
	reader := bufio.NewReader(conn)
	if statusLine, _, err := readMessage(reader); statusLine != "HTTP/1.1 500 Internal Server Error" || err != nil {
		t.Error("request in flight: ", statusLine, err)
	}
	io.WriteString(conn, request("served"))
	if statusLine, body, err := readMessage(reader); statusLine != "HTTP/1.1 200 OK" || body != "made" {
		t.Error("next request on the connection: ", statusLine, body, err)
	}
	select {
	case <-done:
		if elapsed := time.Since(stopRequested); elapsed > timeout+700*time.Millisecond {
			t.Error("the service would have been killed before it stopped, after ", elapsed)
		}
	case <-time.After(5 * time.Second):
		t.Error("the service has not stopped after 5 s")
	}
	if n := s.workers.Invariants.Counts.Violations; len(n) > 0 || s.panics == 0 {
		t.Error("violations ", n, ", panics ", s.panics)
	}
}
