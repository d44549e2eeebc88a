package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/textproto"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
)

// newTestWatcher returns a loop and a watcher that prints its updates and failures.
func newTestWatcher(addr string) (*conn.Loop, *Watcher) {
	start := time.Now()
	loop := conn.NewLoop(start)
	w := NewWatcher(loop, addr, []string{"site-a", "site-b"}, []string{"fast"}, start)
	w.OnUpdate = func(l Update) { printUpdate(l) }
	w.OnFailure = func(why string) { fmt.Println("failed:", why) }
	return loop, w
}

// printUpdate prints an update.
func printUpdate(l Update) {
	fmt.Printf("update %d:", l.Kind)
	for _, w := range l.Workers {
		fmt.Printf(" [%s %s zone %d kind %d cell %d state %d restarted %v]", w.UID, w.Worker, w.Zone, w.Kind, w.Cell,
			w.State, w.StartKnown)
	}
	fmt.Println()
}

// A worker keeps its ID when its address changes, and the next worker at that address gets a
// different ID.
func Example_workerIDs() {
	_, w := newTestWatcher("")
	for _, line := range []string{
		`{"rev":7,"all":true,"targets":[
			{"uid":"s-1","endpoint":"127.0.0.1:1","az":"site-b","model":"fast","pod_group":3,"state":"Ready","boot_ms":0}]}`,
		`{"rev":8,"all":false,"targets":[
			{"uid":"s-1","endpoint":"127.0.0.1:2","az":"site-b","model":"fast","state":"Ready","boot_ms":1700000000000},
			{"uid":"s-2","endpoint":"127.0.0.1:1","az":"elsewhere","model":"odd","state":"Ready"}]}`,
		`{"rev":9,"targets":[{"uid":"s-3","endpoint":"nowhere","state":"Ready"},{"endpoint":"127.0.0.1:3","state":"Ready"},
			{"uid":"s-1","endpoint":"127.0.0.1:2","az":"site-b","model":"fast","state":"Unheard"},{"uid":"s-2","state":"Gone"}]}`,
	} {
		l, err := w.Parse([]byte(line))
		if err != nil {
			fmt.Println(err)
		}
		printUpdate(l)
	}
	_, err := w.Parse([]byte(`{"rev":"x"`))
	fmt.Println(err, w.revision)
	// Output:
	// update 2: [s-1 127.0.0.1:1 zone 1 kind 0 cell 3 state 1 restarted false]
	// update 1: [s-1 127.0.0.1:1 zone 1 kind 0 cell 0 state 1 restarted true] [s-2 [::ffff:127.0.0.1%s-2]:1 zone 2 kind 1 cell 0 state 1 restarted false]
	// update 1: [s-3 [::%s-3]:0 zone 3 kind 2 cell 0 state 2 restarted false] [s-1 127.0.0.1:1 zone 1 kind 0 cell 0 state 2 restarted false] [s-2 [::ffff:127.0.0.1%s-2]:1 zone 3 kind 2 cell 0 state 0 restarted false]
	// unexpected end of JSON input 9
}

// A watch resumes from the known revision, reads lines wherever they are split, and is reported as
// failed when it ends. The first keep-alive is reported as an update without changes, later ones
// are not. After a line that cannot be decoded the next watch requests the whole list.
func Example_watchResumes() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	scripts := make(chan []string, 4)
	scripts <- []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"rev", "\":4,\r\n",
		"23\r\n\"all\":true,\"targets\":[]}\n\n{\"rev\":5,\r\n", "e\r\n\"targets\":[]}\n\r\n", "0\r\n\r\n"}
	scripts <- []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n", "1\r\n\n\r\n0\r\n\r\n"}
	scripts <- []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{oh}\r\n", "1\r\n\n\r\n"}
	scripts <- []string{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := textproto.NewReader(bufio.NewReader(c)).ReadLine()
			fmt.Println(line)
			for _, part := range <-scripts {
				c.Write([]byte(part))
				time.Sleep(5 * time.Millisecond)
			}
		}
	}()
	loop, w := newTestWatcher(l.Addr().String())
	failures := 0
	w.OnUpdate = func(list Update) {
		printUpdate(list)
		if list.Kind != dispatch.WatchFailed {
			return
		}
		failures++
		if failures == 4 {
			loop.Stop()
			return
		}
		w.Watch()
	}
	w.Watch()
	w.Watch() // no second request is sent while the first waits for its response
	loop.After(10*time.Second, func() { panic("the watch hangs") })
	loop.Run(func() {})
	// Output:
	// GET /api/targets?stream=1&index=0 HTTP/1.1
	// update 2:
	// update 1:
	// failed: response ended
	// update 0:
	// GET /api/targets?stream=1&index=5 HTTP/1.1
	// update 1:
	// failed: response ended
	// update 0:
	// GET /api/targets?stream=1&index=5 HTTP/1.1
	// failed: invalid character 'o' looking for beginning of object key string
	// update 0:
	// GET /api/targets?stream=1&index=0 HTTP/1.1
	// failed: status 503
	// update 0:
}

// A change to an older revision than the known one is rejected. The next watch requests the whole
// list, which may have any revision.
func Example_olderRevisionRejected() {
	addr, stop := startDiscovery("discovery", `{"rev":9,"all":true,"targets":[]}`,
		`{"rev":4,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9001","az":"a","state":"Ready"}]}`)
	defer stop()
	loop, w := newTestWatcher(addr)
	failures := 0
	w.OnUpdate = func(list Update) {
		printUpdate(list)
		if list.Kind != dispatch.WatchFailed {
			return
		}
		failures++
		if failures == 2 {
			loop.Stop()
			return
		}
		w.Watch()
	}
	w.Watch()
	loop.After(10*time.Second, func() { panic("the watch hangs") })
	loop.Run(func() {})
	// Output:
	// discovery receives: GET /api/targets?stream=1&index=0 HTTP/1.1
	// update 2:
	// failed: revision went back from 9 to 4
	// update 0:
	// discovery receives: GET /api/targets?stream=1&index=0 HTTP/1.1
	// update 2:
	// failed: revision went back from 9 to 4
	// update 0:
}

// A request without a response times out early enough for another request to receive a change in
// time.
func Example_firstListTimeout() {
	l, err := net.Listen("tcp", "127.0.0.1:0") // the backlog accepts the connection, but no response is ever sent
	if err != nil {
		panic(err)
	}
	defer l.Close()
	loop, w := newTestWatcher(l.Addr().String())
	began := time.Now()
	w.OnUpdate = func(list Update) { printUpdate(list); loop.Stop() }
	w.Watch()
	loop.Run(func() {})
	took := time.Since(began)
	fmt.Println(took > firstListTimeout, took < firstListTimeout+connectTimeout, idleTimeout < 6*time.Second-2*connectTimeout)
	// Output:
	// failed: timed out
	// update 0:
	// true true true
}

// startDiscovery starts a discovery service that sends lines to each client. It prints each request
// that it receives, after its name.
func startDiscovery(name string, lines ...string) (addr string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var open []net.Conn
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open = append(open, c)
			line, _ := textproto.NewReader(bufio.NewReader(c)).ReadLine()
			fmt.Println(name, "receives:", line)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for _, text := range lines {
				fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text)
			}
		}
	}()
	return l.Addr().String(), func() {
		l.Close()
		for _, c := range open {
			c.Close()
		}
	}
}

// The watch stays open while its address changes, even to one where no service listens yet. The
// whole list is requested at the new address, as revisions may be counted differently there. The
// end of the old watch is not reported as a failure; the end of the new one is.
func Example_changeAddress() {
	const list = `{"rev":%d,"all":true,"targets":[{"uid":"%s","endpoint":"127.0.0.1:1","state":"Ready"}]}`
	first, closeFirst := startDiscovery("first", fmt.Sprintf(list, 41, "s-1"))
	second, closeSecond := startDiscovery("second", fmt.Sprintf(list, 7, "s-2"))
	unreachable, closeUnreachable := startDiscovery("dead")
	closeUnreachable()
	loop, w := newTestWatcher(first)
	updates := 0
	w.OnUpdate = func(l Update) {
		printUpdate(l)
		updates++
	}
	runUntil := func(done func() bool) {
		deadline := loop.After(10*time.Second, func() { panic("condition not reached in time") })
		loop.Run(func() {
			loop.After(time.Millisecond, func() {})
			if done() {
				loop.Stop()
			}
		})
		deadline.Stop()
	}
	w.Watch()
	runUntil(func() bool { return updates == 1 })
	w.ChangeAddress(unreachable)
	runUntil(func() bool { return w.candidateAttempts == 2 })
	w.ChangeAddress(first) // changes back to the address of the current watch
	fmt.Println("changing:", w.changingAddress)
	w.ChangeAddress(unreachable)
	runUntil(func() bool { return w.candidateAttempts == 1 })
	closeFirst()
	runUntil(func() bool { return w.current == nil })
	w.Watch() // has no effect while the address changes
	fmt.Println("changing:", w.changingAddress, "updates:", updates)
	w.ChangeAddress(second)
	w.ChangeAddress(second)
	runUntil(func() bool { return updates == 2 })
	fmt.Println("changing:", w.changingAddress, "revision:", w.revision)
	closeSecond()
	runUntil(func() bool { return updates == 3 })
	// Output:
	// first receives: GET /api/targets?stream=1&index=0 HTTP/1.1
	// update 2: [s-1 127.0.0.1:1 zone 2 kind 1 cell 0 state 1 restarted false]
	// failed: new address: connection ended: refused
	// changing: false
	// failed: new address: connection ended: refused
	// changing: true updates: 1
	// second receives: GET /api/targets?stream=1&index=0 HTTP/1.1
	// update 2: [s-2 [::ffff:127.0.0.1%s-2]:1 zone 2 kind 1 cell 0 state 1 restarted false]
	// changing: false revision: 7
	// failed: connection ended: closed
	// update 0:
}
