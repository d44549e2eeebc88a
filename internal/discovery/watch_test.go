package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"stoatweir/dispatch"
)

// Values may be on one line or span several, and may be split anywhere. Text that is not an object
// ends with its line.
func Example_valueScanner() {
	const text = "\n{\"a\":\"}{\\\"\\\\\",\"b\":[1,{}]}\n\n{\n  \"c\": [\n    {\"d\": 1}\n  ]\n}\r\n oh\n{}{}"
	read := func(pieces ...string) string {
		var v valueScanner
		var seen []string
		for _, piece := range pieces {
			for b := []byte(piece); len(b) > 0; {
				used, step := v.feed(b)
				switch b = b[used:]; step {
				case scanBlankLine:
					seen = append(seen, "-")
				case scanComplete:
					seen = append(seen, fmt.Sprintf("%q", strings.Join(strings.Fields(string(v.text)), "")))
					v.text = v.text[:0]
				}
			}
		}
		return strings.Join(seen, " ")
	}
	want, sameWhenCut := read(text), true
	for at := range text {
		sameWhenCut = sameWhenCut && read(text[:at], text[at:]) == want
	}
	fmt.Println(want)
	fmt.Println("cut anywhere the same:", sameWhenCut, read(strings.Split(text, "")...) == want)
	// Output:
	// - "{\"a\":\"}{\\\"\\\\\",\"b\":[1,{}]}" - - "{\"c\":[{\"d\":1}]}" - "oh" "{}" "{}"
	// cut anywhere the same: true true
}

// An indented list is read, even if a blank line follows it.
func Example_indentedList() {
	addr, stop := startDiscovery("discovery", "{\n  \"rev\": 4,\n  \"all\": true,\n"+
		"  \"targets\": [\n    {\"uid\": \"s-1\",\n     \"endpoint\": \"127.0.0.1:1\", \"state\": \"Ready\"}\n  ]\n}\n")
	defer stop()
	loop, w := newTestWatcher(addr)
	w.OnUpdate = func(l Update) { printUpdate(l); loop.Stop() }
	w.Watch()
	loop.After(10*time.Second, func() { panic("the watch hangs") })
	loop.Run(func() {})
	// Output:
	// discovery receives: GET /api/targets?stream=1&index=0 HTTP/1.1
	// update 2: [s-1 127.0.0.1:1 zone 2 kind 1 cell 0 state 1 restarted false]
}

// Bytes that never complete a head, a list or the frame of a chunk do not keep a watch alive.
func TestIncompleteBytesDoNotExtendTimeout(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, script := range map[string][2]string{
		"incomplete head":        {"HTTP/1.1 200 OK\r\nX-Pad: ", "x"},
		"incomplete list":        {head + "f\r\n{\"rev\":1, \"x\":\"\r\n", "1\r\nx\r\n"},
		"incomplete chunk frame": {head + "1;", "x"},
		"spaces":                 {head, "1\r\n \r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						fmt.Fprint(c, script[0])
						for {
							if _, err := fmt.Fprint(c, script[1]); err != nil {
								return
							}
							time.Sleep(100 * time.Millisecond)
						}
					}()
				}
			}()
			loop, w := newTestWatcher(l.Addr().String())
			why := ""
			began := time.Now()
			w.OnFailure = func(s string) { why = s }
			w.OnUpdate = func(list Update) { loop.Stop() }
			loop.After(2*idleTimeout, loop.Stop)
			w.Watch()
			loop.Run(func() {})
			if took := time.Since(began); why != "timed out" || took > idleTimeout+connectTimeout {
				t.Errorf("got failure %q after %v, want a timeout within %v", why, took, idleTimeout+connectTimeout)
			}
		})
	}
}

// An established watch times out, and so does the request that follows. A third request still
// receives the list within 6 s. The short timeout applies to the second request only, as discovery
// may have many requests to serve one after another.
func Example_timedOutTwice() {
	const list = `{"rev":%d,"all":true,"targets":[]}`
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	var open []net.Conn
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open = append(open, c) // kept reachable, so that the garbage collector does not close it
			if n != 2 {
				text := fmt.Sprintf(list, n)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(text)+1, text)
			}
		}
	}()
	loop, w := newTestWatcher(l.Addr().String())
	var receivedAt time.Duration
	w.OnUpdate = func(list Update) {
		printUpdate(list)
		switch {
		case list.Kind == dispatch.WatchFailed:
			loop.After(375*time.Millisecond, w.Watch) // the dispatcher's longest first backoff
		case receivedAt == 0:
			receivedAt = loop.Now()
		default:
			fmt.Println("in time:", loop.Now()-receivedAt < 6*time.Second)
			loop.Stop()
		}
	}
	w.Watch()
	loop.After(20*time.Second, func() { panic("the watch hangs") })
	loop.Run(func() {})
	fmt.Println("timed out twice, and the next has the full timeout:", !w.lastTimedOut, idleTimeout > reconnectTimeout)
	// Output:
	// update 2:
	// failed: timed out
	// update 0:
	// failed: timed out
	// update 0:
	// update 2:
	// in time: true
	// timed out twice, and the next has the full timeout: true true
}

// Discovery takes longer for each response than the timeout of a request. A timed-out request stays
// open besides at most one later request, and its list is used once it arrives. The other requests
// end.
func TestOverdueRequestIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const responseTime = 8 * time.Second
		loop, w := newTestWatcher("127.0.0.1:1")
		open := 0
		mostOpen := 0
		total := 0
		var mu sync.Mutex
		loop.DialContext = func(context.Context, string, string) (net.Conn, error) {
			local, remote := net.Pipe()
			mu.Lock()
			defer mu.Unlock()
			open++
			total++
			mostOpen = max(mostOpen, open)
			go func() {
				defer func() {
					mu.Lock()
					open--
					mu.Unlock()
				}()
				time.AfterFunc(responseTime, func() {
					text := `{"rev":7,"all":true,"targets":[]}`
					fmt.Fprintf(remote, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(text)+1, text)
				})
				io.Copy(io.Discard, remote)
			}()
			return local, nil
		}
		var receivedAt time.Duration
		w.OnFailure = func(string) {}
		w.OnUpdate = func(list Update) {
			if list.Kind == dispatch.WatchFailed {
				loop.After(time.Second, func() {
					if !w.Established() {
						w.Watch()
					}
				})
				return
			}
			receivedAt = loop.Now()
			loop.After(3*time.Second, func() { // by then no other request is open
				w.current.close()
				loop.After(time.Second, loop.Stop)
			})
		}
		w.Watch()
		loop.Run(func() {})
		mu.Lock()
		defer mu.Unlock()
		if receivedAt != responseTime || mostOpen > 2 || open != 0 || w.overdue != nil {
			t.Errorf("the list arrived after %v, at most %d requests were open, %d in all, %d are left", receivedAt, mostOpen, total, open)
		}
	})
}

// Guards against starving at a slow new address while the old one still sends updates: the request
// that has waited longest stays open besides at most one later request, neither an update from the
// old address nor a keep-alive ends it, and its list replaces the watch of the old address.
func TestOverdueRequestToNewAddressIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const oldAddr, newAddr = "127.0.0.1:1", "127.0.0.1:2"
		const changeAt, keepAliveTime, responseTime = time.Second, 5 * time.Second, 8 * time.Second
		const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(text)+1, text) }
		loop, w := newTestWatcher(oldAddr)
		var mu sync.Mutex
		open := map[string]int{}
		mostOpen := 0
		loop.DialContext = func(_ context.Context, _, addr string) (net.Conn, error) {
			local, remote := net.Pipe()
			mu.Lock()
			defer mu.Unlock()
			open[addr]++
			mostOpen = max(mostOpen, open[newAddr])
			go func() {
				io.Copy(io.Discard, remote)
				mu.Lock()
				open[addr]--
				mu.Unlock()
			}()
			go func() {
				if addr == newAddr {
					time.Sleep(keepAliveTime)
					io.WriteString(remote, head+chunk(""))
					time.Sleep(responseTime - keepAliveTime)
					io.WriteString(remote, chunk(`{"rev":7,"all":true,"targets":[]}`))
					return
				}
				io.WriteString(remote, head)
				for revision := 41; ; revision++ {
					if _, err := io.WriteString(remote, chunk(fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[]}`, revision, revision == 41))); err != nil {
						return
					}
					time.Sleep(time.Second)
				}
			}()
			return local, nil
		}
		w.OnFailure = func(string) {}
		var receivedAt time.Duration
		replacedEarly := false
		w.OnUpdate = func(Update) {
			if w.revision != 7 {
				replacedEarly = replacedEarly || loop.Now() > changeAt && !w.changingAddress
				return
			}
			receivedAt = loop.Now()
			loop.After(2*time.Second, func() {
				w.current.close()
				loop.After(time.Second, loop.Stop)
			})
		}
		w.Watch()
		loop.After(changeAt, func() { w.ChangeAddress(newAddr) })
		loop.After(time.Minute, loop.Stop)
		loop.Run(func() {})
		time.Sleep(responseTime) // the answers to closed requests end
		mu.Lock()
		defer mu.Unlock()
		if replacedEarly || receivedAt != changeAt+responseTime || mostOpen != 2 || open[oldAddr] != 0 || open[newAddr] != 0 {
			t.Errorf("the list arrived at %v, replaced early %v, at most %d requests were open at the new address, left are %v",
				receivedAt, replacedEarly, mostOpen, open)
		}
	})
}

// The longest list is read: the maximum number of workers, indented, with long names.
func TestLongestListIsRead(t *testing.T) {
	const workers = 3200
	var targets []string
	for n := range workers {
		targets = append(targets, fmt.Sprintf(`{
            "uid": "worker-%060d",
            "endpoint": "10.1.%d.%d:9000",
            "az": "region-with-a-long-name-zone-%d",
            "model": "a-kind-with-a-long-name",
            "pod_group": %d,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": %d
        }`, n, n>>8, n&255, n%3, n/40, 1_790_000_000_000+n))
	}
	addr, stop := startDiscovery("discovery", "{\n    \"rev\": 4,\n    \"all\": true,\n    \"targets\": [\n        "+
		strings.Join(targets, ",\n        ")+"\n    ]\n}\n")
	defer stop()
	loop, w := newTestWatcher(addr)
	got := 0
	w.OnUpdate = func(l Update) { got = len(l.Workers); loop.Stop() }
	w.Watch()
	loop.After(10*time.Second, loop.Stop)
	loop.Run(func() {})
	if got != workers {
		t.Errorf("got %d workers, want %d", got, workers)
	}
}
