package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots     = 2
	queueMost = 4
	meanWork  = 80 * time.Millisecond
	coldFrom  = 0.13
	warmAfter = 4 * time.Second
	// A cold worker falls by more than this multiple of its capacity, for so long.
	fallMultiple = 2.5
	fallSpan     = time.Second
)

// worker is a machine with a few slots.
type worker struct {
	play  *play
	uid   string
	zone  int
	proxy *proxy

	mu       sync.Mutex
	rng      *rand.Rand
	listener net.Listener
	open     map[net.Conn]struct{}
	life     int // counts its starts
	started  time.Time
	cold     bool
	running  int
	waiting  []chan struct{}
	hangs    bool
	busy     atomic.Bool // a trouble is being played on it
	bootMS   int64
	odd      float64 // part of the requests that it answers oddly
	client   *http.Client
}

func newWorker(p *play, n int) (*worker, error) {
	w := &worker{play: p, uid: fmt.Sprintf("s-%02d", n), zone: n % zones, rng: rand.New(rand.NewSource(p.Seed<<8 + int64(n))), odd: 0.06,
		open: map[net.Conn]struct{}{}, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Second}}}
	l, err := net.Listen("tcp", host(peers)+":0")
	if err != nil {
		return nil, err
	}
	if w.proxy, err = newProxy(l.Addr().String()); err != nil {
		return nil, err
	}
	w.listen(l)
	p.list.put(w.entry(ready, 0))
	return w, nil
}

func (w *worker) entry(state string, boot int64) entry {
	return entry{UID: w.uid, Endpoint: w.proxy.addr(), AZ: zoneName(w.zone), Model: "m", PodGroup: w.zone, State: state, BootMS: boot}
}

func (w *worker) listen(l net.Listener) {
	w.mu.Lock()
	w.listener = l
	w.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.open[c] = struct{}{}
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
}

func (w *worker) close() {
	w.mu.Lock()
	w.listener.Close()
	for c := range w.open {
		abort(c)
	}
	w.mu.Unlock()
	w.proxy.close()
}

// restart kills the process with all that it has, and starts it cold.
func (w *worker) restart() {
	w.mu.Lock()
	for c := range w.open {
		abort(c)
	}
	w.life++
	w.running, w.waiting, w.cold, w.started = 0, nil, true, time.Now()
	w.mu.Unlock()
	boot := w.play.bootMS()
	w.set(func() { w.bootMS = boot })
	w.play.books.started(w.uid, time.Now())
	w.play.list.put(w.entry(ready, boot))
	w.play.list.publish()
}

// boot is when it last started, by the wall clock of then; 0: long ago.
func (w *worker) boot() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bootMS
}

func (w *worker) set(change func()) {
	w.mu.Lock()
	change()
	w.mu.Unlock()
}

func (w *worker) chance(part float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < part
}

// warmth is the part of its capacity that a worker has so long after a start.
func warmth(age time.Duration) float64 {
	return min(1, coldFrom+(1-coldFrom)*age.Seconds()/warmAfter.Seconds())
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.open, c)
		w.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, in.Body); err != nil {
			return
		}
		w.mu.Lock()
		hangs := w.hangs
		w.mu.Unlock()
		switch {
		case in.Method == "DELETE":
			w.play.books.given(strings.TrimPrefix(in.URL.Path, "/jobs/"), w.uid)
			fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
		case in.Method == "GET" && !hangs:
			w.mu.Lock()
			text := fmt.Sprintf("TEXT x0=%d, waiting=%d, avg_ms=%d", slots-w.running, len(w.waiting), meanWork.Milliseconds())
			w.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		case in.Method == "POST":
			if !w.take(c, in, hangs) {
				return
			}
		}
	}
}

const (
	accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	rejected = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
)

// take has an attempt. False: its connection ends.
func (w *worker) take(c net.Conn, in *http.Request, hangs bool) bool {
	id := in.Header.Get("X-Call-Id")
	budget, _ := strconv.ParseFloat(in.Header.Get("X-Budget"), 64)
	a := w.play.books.attempt(id, w, budget, w.proxy.cameAt(c.RemoteAddr()))
	if a == nil {
		fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if hangs {
		return true // until the connection ends, or a word comes too late
	}
	if w.chance(w.odd) {
		return w.oddly(c, a)
	}
	w.mu.Lock()
	full := w.running >= slots && len(w.waiting) >= queueMost
	life := w.life
	w.mu.Unlock()
	if full {
		a.never()
		fmt.Fprint(c, rejected)
		return true
	}
	fmt.Fprint(c, accepted)
	go w.run(a, life)
	return true
}

// oddly answers in a way that is allowed and rare.
func (w *worker) oddly(c net.Conn, a *attempt) bool {
	w.mu.Lock()
	what := w.rng.Intn(8)
	life := w.life
	w.mu.Unlock()
	switch what {
	case 0:
		a.never()
		fmt.Fprint(c, rejected)
	case 1: // a second answer, late
		fmt.Fprint(c, accepted)
		time.AfterFunc(5*time.Millisecond, func() { fmt.Fprint(c, rejected) })
		go w.run(a, life)
	case 2: // reset before a word
		a.ended()
		abort(c)
		return false
	case 3: // given back
		fmt.Fprint(c, accepted)
		a.never()
		go w.tell(a, "returned", "")
	case 4:
		fmt.Fprint(c, accepted)
		a.ended()
		go w.tell(a, "failed", "")
	case 5: // the answer breaks off
		a.ended()
		fmt.Fprint(c, accepted[:20])
		return false
	case 6: // done before the 202
		w.tell(a, "done", made(a.id))
		a.ended()
		fmt.Fprint(c, accepted)
	case 7: // nothing is ever heard of it
		fmt.Fprint(c, accepted)
	}
	return true
}

// run does the work once there is a slot.
func (w *worker) run(a *attempt, life int) {
	w.mu.Lock()
	if w.life != life {
		w.mu.Unlock()
		return
	}
	if w.running < slots {
		w.running++
	} else {
		turn := make(chan struct{})
		w.waiting = append(w.waiting, turn)
		w.mu.Unlock()
		select {
		case <-turn:
		case <-time.After(longestTimeout): // nobody waits for it any more
			go func() {
				select {
				case <-turn:
					w.release(life)
				case <-w.play.ctx.Done():
				}
			}()
			return
		}
		w.mu.Lock()
	}
	took := time.Duration(float64(a.work))
	if w.cold {
		took = time.Duration(float64(took) / warmth(time.Since(w.started)))
	}
	w.mu.Unlock()
	w.tell(a, "started", "")
	time.Sleep(took)
	if w.release(life) {
		a.ended()
		w.tell(a, "done", made(a.id))
	}
}

// release gives a slot to the next one. False: the process that had it has died, or hangs.
func (w *worker) release(life int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != life {
		return false
	}
	if len(w.waiting) > 0 {
		close(w.waiting[0])
		w.waiting = w.waiting[1:]
	} else {
		w.running--
	}
	return !w.hangs
}

// made is the result of a request.
func made(id string) string { return "made " + id }

const newsTries, newsAgain = 10, 100 * time.Millisecond

// tell calls the scheduler back until it has heard it.
func (w *worker) tell(a *attempt, state, result string) {
	text := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q`, a.id, w.uid, state)
	if result != "" {
		text += fmt.Sprintf(`,"result":%q`, result)
	}
	for range newsTries {
		out, err := w.client.Post("http://"+a.scheduler.listen+"/_jobs/news", "application/json", bytes.NewReader([]byte(text+"}")))
		if err == nil {
			out.Body.Close()
			if out.StatusCode == 200 || out.StatusCode == 204 {
				return
			}
		}
		select {
		case <-time.After(newsAgain):
		case <-w.play.ctx.Done():
			return
		}
	}
}
