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

func watcher(addr string) (*conn.Loop, *Watcher) {
	start := time.Now()
	loop := conn.NewLoop(start)
	w := New(loop, addr, []string{"site-a", "site-b"}, []string{"fast"}, start)
	w.OnUpdate = func(l Update) { show(l) }
	w.OnFailure = func(why string) { fmt.Println("failed:", why) }
	return loop, w
}

func show(l Update) {
	fmt.Printf("form %d:", l.Kind)
	for _, w := range l.Workers {
		fmt.Printf(" [%s %s zone %d kind %d cell %d standing %d restarted %v]", w.UID, w.Worker, w.Zone, w.Kind, w.Cell,
			w.State, w.StartKnown)
	}
	fmt.Println()
}

// A worker keeps its name when its address changes, and its successor at that address gets another.
func Example_names() {
	_, w := watcher("")
	for _, line := range []string{
		`{"rev":7,"all":true,"targets":[
			{"uid":"s-1","endpoint":"127.0.0.1:1","az":"site-b","model":"fast","pod_group":3,"state":"Ready","boot_ms":0}]}`,
		`{"rev":8,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:2","az":"site-b","model":"fast","state":"Ready","boot_ms":1700000000000},
			{"uid":"s-2","endpoint":"127.0.0.1:1","az":"elsewhere","model":"odd","state":"Ready"}]}`,
		`{"rev":9,"targets":[{"uid":"s-3","endpoint":"nowhere","state":"Ready"},{"endpoint":"127.0.0.1:3","state":"Ready"},
			{"uid":"s-1","endpoint":"127.0.0.1:2","az":"site-b","model":"fast","state":"Unheard"},{"uid":"s-2","state":"Gone"}]}`,
	} {
		l, err := w.Parse([]byte(line))
		if err != nil {
			fmt.Println(err)
		}
		show(l)
	}
	_, err := w.Parse([]byte(`{"rev":"x"`))
	fmt.Println(err, w.rev)
	// Output:
	// form 2: [s-1 127.0.0.1:1 zone 1 kind 0 cell 3 standing 1 restarted false]
	// form 1: [s-1 127.0.0.1:1 zone 1 kind 0 cell 0 standing 1 restarted true] [s-2 [::ffff:127.0.0.1%s-2]:1 zone 2 kind 1 cell 0 standing 1 restarted false]
	// form 1: [s-3 [::%s-3]:0 zone 3 kind 2 cell 0 standing 2 restarted false] [s-1 127.0.0.1:1 zone 1 kind 0 cell 0 standing 2 restarted false] [s-2 [::ffff:127.0.0.1%s-2]:1 zone 3 kind 2 cell 0 standing 0 restarted false]
	// unexpected end of JSON input 9
}

// A watch goes on from the version that is known, takes lines in however they are cut up, and is told to have failed
// when it ends. An empty line says that it stands and nothing has changed, which is told once. After a line that makes no sense the next one asks for the whole list.
func Example_watch() {
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
	loop, w := watcher(l.Addr().String())
	calls := 0
	w.OnUpdate = func(list Update) {
		show(list)
		if list.Kind != dispatch.WatchFailed {
			return
		}
		if calls++; calls == 4 {
			loop.Stop()
			return
		}
		w.Watch()
	}
	w.Watch()
	w.Watch() // while the first is on its way: there is one call
	loop.After(10*time.Second, func() { panic("the watch hangs") })
	loop.Run(func() {})
	// Output:
	// GET /api/targets?stream=1&index=0 HTTP/1.1
	// form 2:
	// form 1:
	// failed: the answer has ended
	// form 0:
	// GET /api/targets?stream=1&index=5 HTTP/1.1
	// form 1:
	// failed: the answer has ended
	// form 0:
	// GET /api/targets?stream=1&index=5 HTTP/1.1
	// failed: invalid character 'o' looking for beginning of object key string
	// form 0:
	// GET /api/targets?stream=1&index=0 HTTP/1.1
	// failed: status 503
	// form 0:
}

// Changes of an older version than the known one are not taken: the whole list is asked for, which may be of any version.
func Example_versionsGoBack() {
	addr, shut := serve("discovery", `{"rev":9,"all":true,"targets":[]}`,
		`{"rev":4,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9001","az":"a","state":"Ready"}]}`)
	defer shut()
	loop, w := watcher(addr)
	asked := 0
	w.OnUpdate = func(list Update) {
		show(list)
		if list.Kind != dispatch.WatchFailed {
			return
		}
		if asked++; asked == 2 {
			loop.Stop()
			return
		}
		w.Watch()
	}
	w.Watch()
	loop.After(10*time.Second, func() { panic("the watch hangs") })
	loop.Run(func() {})
	// Output:
	// discovery is asked: GET /api/targets?stream=1&index=0 HTTP/1.1
	// form 2:
	// failed: changes go back from version 9 to 4
	// form 0:
	// discovery is asked: GET /api/targets?stream=1&index=0 HTTP/1.1
	// form 2:
	// failed: changes go back from version 9 to 4
	// form 0:
}

// A watch that says nothing for longer than its empty lines allow is given up, in time for another to tell.
func Example_silence() {
	l, err := net.Listen("tcp", "127.0.0.1:0") // the backlog takes the connection in, and nobody ever answers
	if err != nil {
		panic(err)
	}
	defer l.Close()
	loop, w := watcher(l.Addr().String())
	began := time.Now()
	w.OnUpdate = func(list Update) { show(list); loop.Stop() }
	w.Watch()
	loop.Run(func() {})
	took := time.Since(began)
	fmt.Println(took > firstWord, took < firstWord+connectIn, silence < 6*time.Second-2*connectIn)
	// Output:
	// failed: it is silent
	// form 0:
	// true true true
}

// serve is a discovery whose answers are lines; it prints what is asked under its name.
func serve(name string, lines ...string) (addr string, shut func()) {
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
			fmt.Println(name, "is asked:", line)
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

// The watch holds while it moves, also towards an address where nobody listens yet; the whole list is asked for there,
// as versions may be another count. The end of the old one is no failed list, the end of the new one is.
func Example_move() {
	const list = `{"rev":%d,"all":true,"targets":[{"uid":"%s","endpoint":"127.0.0.1:1","state":"Ready"}]}`
	first, shutFirst := serve("first", fmt.Sprintf(list, 41, "s-1"))
	second, shutSecond := serve("second", fmt.Sprintf(list, 7, "s-2"))
	dead, shutDead := serve("dead")
	shutDead()
	loop, w := watcher(first)
	told := 0
	w.OnUpdate = func(l Update) { show(l); told++ }
	until := func(done func() bool) {
		late := loop.After(10*time.Second, func() { panic("waited in vain") })
		loop.Run(func() {
			loop.After(time.Millisecond, func() {})
			if done() {
				loop.Stop()
			}
		})
		late.Stop()
	}
	w.Watch()
	until(func() bool { return told == 1 })
	w.ChangeAddress(dead)
	until(func() bool { return w.tries == 2 })
	w.ChangeAddress(first) // back
	fmt.Println("moving:", w.moving)
	w.ChangeAddress(dead)
	until(func() bool { return w.tries == 1 })
	shutFirst()
	until(func() bool { return w.present == nil })
	w.Watch() // the decisions need not know that it moves
	fmt.Println("moving:", w.moving, "told:", told)
	w.ChangeAddress(second)
	w.ChangeAddress(second)
	until(func() bool { return told == 2 })
	fmt.Println("moving:", w.moving, "version:", w.rev)
	shutSecond()
	until(func() bool { return told == 3 })
	// Output:
	// first is asked: GET /api/targets?stream=1&index=0 HTTP/1.1
	// form 2: [s-1 127.0.0.1:1 zone 2 kind 1 cell 0 standing 1 restarted false]
	// failed: the new address: the connection has ended: refused
	// moving: false
	// failed: the new address: the connection has ended: refused
	// moving: true told: 1
	// second is asked: GET /api/targets?stream=1&index=0 HTTP/1.1
	// form 2: [s-2 [::ffff:127.0.0.1%s-2]:1 zone 2 kind 1 cell 0 standing 1 restarted false]
	// moving: false version: 7
	// failed: the connection has ended: closed
	// form 0:
}
