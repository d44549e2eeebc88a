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

// Lists come on one line or over many, cut anywhere; what is no list is told as soon as its line ends.
func Example_values() {
	const text = "\n{\"a\":\"}{\\\"\\\\\",\"b\":[1,{}]}\n\n{\n  \"c\": [\n    {\"d\": 1}\n  ]\n}\r\n oh\n{}{}"
	read := func(pieces ...string) string {
		var v value
		var seen []string
		for _, piece := range pieces {
			for b := []byte(piece); len(b) > 0; {
				used, step := v.feed(b)
				switch b = b[used:]; step {
				case empty:
					seen = append(seen, "-")
				case complete:
					seen = append(seen, fmt.Sprintf("%q", strings.Join(strings.Fields(string(v.text)), "")))
					v.text = v.text[:0]
				}
			}
		}
		return strings.Join(seen, " ")
	}
	whole, same := read(text), true
	for at := range text {
		same = same && read(text[:at], text[at:]) == whole
	}
	fmt.Println(whole)
	fmt.Println("cut anywhere the same:", same, read(strings.Split(text, "")...) == whole)
	// Output:
	// - "{\"a\":\"}{\\\"\\\\\",\"b\":[1,{}]}" - - "{\"c\":[{\"d\":1}]}" - "oh" "{}" "{}"
	// cut anywhere the same: true true
}

// An indented list is taken in, also with an empty line after it.
func Example_indented() {
	addr, shut := serve("discovery", "{\n  \"rev\": 4,\n  \"all\": true,\n  \"targets\": [\n    {\"uid\": \"s-1\",\n     \"endpoint\": \"127.0.0.1:1\", \"state\": \"Ready\"}\n  ]\n}\n")
	defer shut()
	loop, w := watcher(addr)
	w.OnUpdate = func(l Update) { show(l); loop.Stop() }
	w.Watch()
	loop.After(10*time.Second, func() { panic("the watch hangs") })
	loop.Run(func() {})
	// Output:
	// discovery is asked: GET /api/targets?stream=1&index=0 HTTP/1.1
	// form 2: [s-1 127.0.0.1:1 zone 2 kind 1 cell 0 standing 1 restarted false]
}

// Bytes that never come to the end of a head, of a list or of a chunk's frame do not keep a watch alive.
func TestEndlessBytesAreSilence(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, script := range map[string][2]string{
		"a head":  {"HTTP/1.1 200 OK\r\nX-Pad: ", "x"},
		"a list":  {head + "f\r\n{\"rev\":1, \"x\":\"\r\n", "1\r\nx\r\n"},
		"a frame": {head + "1;", "x"},
		"blanks":  {head, "1\r\n \r\n"},
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
			loop, w := watcher(l.Addr().String())
			why, began := "", time.Now()
			w.OnFailure = func(s string) { why = s }
			w.OnUpdate = func(list Update) { loop.Stop() }
			loop.After(2*silence, loop.Stop)
			w.Watch()
			loop.Run(func() {})
			if took := time.Since(began); why != "it is silent" || took > silence+connectIn {
				t.Error(why, "after", took)
			}
		})
	}
}

// A watch falls silent, and the next one says nothing either: a third one still brings, within 6 s, what there is to tell. Where
// the second one has told nothing for as long, others wait in turn, and it has its time.
func Example_silentTwice() {
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
			open = append(open, c) // kept: an end would be seen
			if n != 2 {
				text := fmt.Sprintf(list, n)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(text)+1, text)
			}
		}
	}()
	loop, w := watcher(l.Addr().String())
	var fell time.Duration
	told := 0
	w.OnUpdate = func(list Update) {
		show(list)
		switch {
		case list.Kind == dispatch.WatchFailed:
			loop.After(375*time.Millisecond, w.Watch) // the decisions' longest first wait
		case fell == 0:
			fell = loop.Now()
		default:
			fmt.Println("in time:", loop.Now()-fell < 6*time.Second)
			loop.Stop()
		}
		told++
	}
	w.Watch()
	loop.After(20*time.Second, func() { panic("the watch hangs") })
	loop.Run(func() {})
	fmt.Println("silent twice, and the next has its time:", !w.mute, silence > nextWord)
	// Output:
	// form 2:
	// failed: it is silent
	// form 0:
	// failed: it is silent
	// form 0:
	// form 2:
	// in time: true
	// silent twice, and the next has its time: true true
}

// Discovery takes longer for each answer than a call has: the call goes on beside those that follow it, at most one of them, and its list
// is taken when its turn comes. What it tells is what was asked for, and the others end.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 8 * time.Second
		loop, w := watcher("127.0.0.1:1")
		open, most, total := 0, 0, 0
		var mu sync.Mutex
		loop.DialContext = func(context.Context, string, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			mu.Lock()
			defer mu.Unlock()
			open, total = open+1, total+1
			most = max(most, open)
			go func() {
				defer func() {
					mu.Lock()
					open--
					mu.Unlock()
				}()
				time.AfterFunc(late, func() {
					text := `{"rev":7,"all":true,"targets":[]}`
					fmt.Fprintf(theirs, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(text)+1, text)
				})
				io.Copy(io.Discard, theirs)
			}()
			return ours, nil
		}
		var came time.Duration
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
			came = loop.Now()
			loop.After(3*time.Second, func() { // nothing else is open any more
				w.present.drop()
				loop.After(time.Second, loop.Stop)
			})
		}
		w.Watch()
		loop.Run(func() {})
		if came != late || most > 2 || open != 0 || w.elder != nil {
			t.Errorf("the list came after %v, %d calls at once at most, %d in all, %d left", came, most, total, open)
		}
	})
}

// The largest fleet comes indented, with long names.
func TestLongList(t *testing.T) {
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
	addr, shut := serve("discovery", "{\n    \"rev\": 4,\n    \"all\": true,\n    \"targets\": [\n        "+strings.Join(targets, ",\n        ")+"\n    ]\n}\n")
	defer shut()
	loop, w := watcher(addr)
	got := 0
	w.OnUpdate = func(l Update) { got = len(l.Workers); loop.Stop() }
	w.Watch()
	loop.After(10*time.Second, loop.Stop)
	loop.Run(func() {})
	if got != workers {
		t.Errorf("%d workers of %d", got, workers)
	}
}
