package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// startIdleClients starts clients that send one request and then keep their connections open and
// idle. They reconnect when they are disconnected. It returns a counter of the clients that are
// connected at the moment.
func (r *testRig) startIdleClients(count int, stop chan struct{}) *atomic.Int64 {
	var connected atomic.Int64
	for range count {
		r.clientGroup.Add(1)
		go func() {
			defer r.clientGroup.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				conn, err := net.DialTimeout("tcp", r.listenAddr, time.Second)
				if err != nil {
					continue
				}
				io.WriteString(conn, "GET /-/ready HTTP/1.1\r\n\r\n")
				reader := bufio.NewReader(conn)
				if conn.SetReadDeadline(time.Now().Add(time.Second)); r.holdIdle(conn, reader, stop, &connected) != nil {
					time.Sleep(100 * time.Millisecond)
				}
				conn.Close()
			}
		}()
	}
	return &connected
}

// holdIdle reads the answer and holds the connection until stop is closed or the connection ends,
// in which case it returns an error.
func (r *testRig) holdIdle(conn net.Conn, reader *bufio.Reader, stop chan struct{}, connected *atomic.Int64) error {
	if _, _, err := readMessage(reader); err != nil {
		return err
	}
	connected.Add(1)
	defer connected.Add(-1)
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := reader.ReadByte(); err != nil && !isTimeout(err) {
			return err
		}
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// While discovery is down and no endpoint list is cached, idle clients hold all descriptors for
// clients, and more clients try to connect. When discovery is back, the watch gets a descriptor in
// time, new clients can connect, and their requests get connections to workers.
func TestIdleClientsLeaveDescriptorsForWatch(t *testing.T) {
	r := newTestRig(t, 2, 20*time.Millisecond)
	addr := unusedAddr(t)
	list := `{"rev":1,"all":true,"targets":[`
	for n, w := range r.workers {
		if n > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"uid":%q,"endpoint":%q,"state":"Ready"}`, w.uid, w.addr)
	}
	list += "]}\n"
	const sockets = 64
	delete(r.config, "known")
	r.config["discovery"] = addr
	r.config["limits"] = map[string]any{"memory_mb": 64, "sockets": sockets}
	r.writeConfig()
	p := r.startProcess()
	r.waitUntilReady(p)
	stop := make(chan struct{})
	connected := r.startIdleClients(sockets, stop)
	maxDescriptors, maxConnected := 0, int64(0)
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
		maxDescriptors, maxConnected = max(maxDescriptors, p.openDescriptors()), max(maxConnected, connected.Load())
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	returned := time.Now()
	watchDelays := make(chan time.Duration, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			watchDelays <- time.Since(returned)
			go func() {
				readMessage(bufio.NewReader(conn))
				io.WriteString(conn, listResponseHeader+encodeChunk(list))
			}()
		}
	}()
	select {
	case delay := <-watchDelays:
		t.Logf("%d idle clients held %d connections, with at most %d of %d descriptors; the watch started %v after the outage", sockets,
			maxConnected, maxDescriptors, sockets, delay.Round(time.Millisecond))
	case <-time.After(maxPropagationTime):
		t.Fatal("discovery has not been called again in time")
	}
	time.Sleep(200 * time.Millisecond)
	for n := range 20 {
		id := fmt.Sprint("new-", n)
		start := time.Now()
		answer := requestOnce(r.listenAddr, postRequest("/render/k",
			"X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 5\r\nConnection: close\r\n", id))
		if answer != "HTTP/1.1 200 OK made "+id {
			t.Errorf("a new client got %q after %v", answer, time.Since(start))
		}
		maxDescriptors = max(maxDescriptors, p.openDescriptors())
	}
	close(stop)
	r.clientGroup.Wait()
	if maxConnected < 20 {
		t.Error("too few idle clients connected to use up the descriptors for clients:", maxConnected)
	}
	if maxDescriptors > sockets {
		t.Error("more open descriptors than the limit:", maxDescriptors)
	}
}
