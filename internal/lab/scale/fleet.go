package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// fleet is hollow workers, each with an address of its own, and the list of them.
type fleet struct {
	p       Part
	ctx     context.Context
	list    net.Listener
	began   time.Time
	workers []*worker

	mu      sync.Mutex // of all below, and of the workers' entries
	entries []*worker  // as listed
	rev     int
	log     []change // what has changed, by version
	watches map[chan []byte]bool
	spare   []*worker
	serial  int

	jobs    sync.Map // by id, *job
	calls   tally
	frozen  atomic.Bool
	lists   atomic.Int64
	listed  atomic.Int64 // bytes
	running atomic.Int64
	strange atomic.Int64
	missed  atomic.Int64
	changes atomic.Int64
}

type change struct {
	rev  int
	text string // one entry
}

type tally struct {
	starts, probes, cancels, news                 atomic.Int64
	probeBytes, cancelBytes, takeBytes, newsBytes atomic.Int64
}

type worker struct {
	f      *fleet
	number int
	uid    string
	addr   string
	zone   int
	boot   int64
	listed bool
	silent atomic.Bool // lost: it takes nothing and says nothing
	own    atomic.Int64
	frozen atomic.Pointer[string] // its report, once all stand still

	mu   sync.Mutex
	idle map[int][]net.Conn // kept connections for news, by scheduler
	open map[net.Conn]bool
}

type job struct {
	id    string
	w     *worker
	timer *time.Timer
	ended atomic.Bool
}

func newFleet(ctx context.Context, p Part) (*fleet, error) {
	f := &fleet{p: p, ctx: ctx, began: time.Now(), watches: map[chan []byte]bool{}, rev: 1}
	var err error
	if f.list, err = net.Listen("tcp", p.Host+":0"); err != nil {
		return nil, err
	}
	for n := range p.Scenario.Workers + p.Scenario.spares() {
		// Addresses differ too: connections to as many workers are told apart by more than a port.
		l, err := net.Listen("tcp", spread(p.Host, n)+":0")
		if err != nil {
			return nil, fmt.Errorf("worker %d: %w", n, err)
		}
		w := &worker{f: f, number: n, uid: fmt.Sprint("w", n), addr: l.Addr().String(), zone: n % p.Scenario.Zones,
			idle: map[int][]net.Conn{}, open: map[net.Conn]bool{}}
		f.workers = append(f.workers, w)
		if n < p.Scenario.Workers {
			w.listed = true
			f.entries = append(f.entries, w)
		} else {
			f.spare = append(f.spare, w)
		}
		go w.accept(l)
	}
	f.serial = len(f.workers)
	go (&http.Server{Handler: http.HandlerFunc(f.targets)}).Serve(f.list)
	return f, nil
}

// spread gives the n-th address beside a host of 127.0.0.0/8.
func spread(host string, n int) string {
	var a, b, c, d int
	fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &d)
	return fmt.Sprintf("%d.%d.%d.%d", a, b, c, 1+(d+n)%250)
}

func (f *fleet) carry(o Order) (Stats, error) {
	switch o.Do {
	case "begin", "stats":
	case "start":
		f.change()
	case "freeze":
		f.frozen.Store(true)
	case "lose":
		f.lose(o.Count)
	case "return":
		f.bringBack()
	default:
		return Stats{}, fmt.Errorf("fleet: %q is no order", o.Do)
	}
	s := Stats{Discovery: f.list.Addr().String(), Lists: f.lists.Load(), ListBytes: f.listed.Load(), Running: f.running.Load(),
		Strange: f.strange.Load(), NewsFailed: f.missed.Load(), Changes: f.changes.Load()}
	c := &f.calls
	s.Starts, s.Probes, s.Cancels, s.News = c.starts.Load(), c.probes.Load(), c.cancels.Load(), c.news.Load()
	s.ProbeBytes, s.CancelBytes, s.TakeBytes, s.NewsBytes = c.probeBytes.Load(), c.cancelBytes.Load(), c.takeBytes.Load(), c.newsBytes.Load()
	if o.Do == "begin" {
		for _, w := range f.workers {
			s.Endpoints = append(s.Endpoints, w.addr)
		}
	}
	return s, nil
}

// entry writes one as the list does; with the lock held.
func (w *worker) entry(state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"z%d","model":"a","pod_group":%d,"state":%q,"capacity_hint":1,"boot_ms":%d}`,
		w.uid, w.addr, w.zone, w.zone, state, w.boot)
}

func (f *fleet) whole() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"rev":%d,"all":true,"targets":[`, f.rev)
	for i, w := range f.entries {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(w.entry("Ready"))
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// tell brings entries to all watches; with the lock held.
func (f *fleet) tell(entries ...string) {
	f.rev++
	for _, e := range entries {
		f.log = append(f.log, change{f.rev, e})
		f.changes.Add(1)
	}
	f.send([]byte(fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`+"\n", f.rev, strings.Join(entries, ","))))
}

func (f *fleet) send(line []byte) {
	for w := range f.watches {
		select {
		case w <- line:
		default: // it takes nothing: it has to ask anew
			delete(f.watches, w)
			close(w)
		}
	}
}

// targets answers calls to the list.
func (f *fleet) targets(out http.ResponseWriter, in *http.Request) {
	index, _ := strconv.Atoi(in.URL.Query().Get("index"))
	lines := make(chan []byte, 256)
	f.mu.Lock()
	first := []byte("\n")
	switch {
	case index == 0 || index > f.rev:
		first = f.whole()
	case index < f.rev:
		var since []string
		for _, c := range f.log {
			if c.rev > index {
				since = append(since, c.text)
			}
		}
		first = []byte(fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`+"\n", f.rev, strings.Join(since, ",")))
	}
	f.watches[lines] = true
	f.mu.Unlock()
	f.lists.Add(1)
	defer func() {
		f.mu.Lock()
		delete(f.watches, lines)
		f.mu.Unlock()
	}()
	flusher := out.(http.Flusher)
	send := func(line []byte) bool {
		_, err := out.Write(line)
		flusher.Flush()
		f.listed.Add(int64(len(line)))
		return err == nil
	}
	if !send(first) || in.URL.Query().Get("stream") == "" {
		return
	}
	for alive := time.NewTicker(2 * time.Second); ; {
		select {
		case line, more := <-lines:
			if !more || !send(line) {
				return
			}
		case <-alive.C:
			if !send([]byte("\n")) {
				return
			}
		case <-in.Context().Done():
			return
		case <-f.ctx.Done():
			return
		}
	}
}

// change plays the changes of the list that go on all the time.
func (f *fleet) change() {
	s := f.p.Scenario
	if s.Whole.D() > 0 {
		go f.every(s.Whole.D(), func() {
			f.mu.Lock()
			f.rev++
			f.send(f.whole())
			f.mu.Unlock()
		})
	}
	if s.Changes > 0 {
		go f.every(time.Duration(float64(time.Second)/s.Changes), f.replace)
	}
}

// every calls at even times, and makes good for those that it was late for.
func (f *fleet) every(span time.Duration, do func()) {
	for next := time.Now().Add(span); ; next = next.Add(span) {
		select {
		case <-time.After(time.Until(next)):
			do()
		case <-f.ctx.Done():
			return
		}
	}
}

// replace takes the worker listed longest from the list and puts a new one there, cold and under a name and address of its own.
// What runs on the old one ends as lost with its machine's process.
func (f *fleet) replace() {
	f.mu.Lock()
	old, fresh := f.entries[0], f.spare[0]
	f.entries, f.spare = append(f.entries[1:], fresh), append(f.spare[1:], old)
	gone := old.entry("Gone")
	f.serial++
	fresh.uid, fresh.boot = fmt.Sprint("w", f.serial), time.Now().UnixMilli()
	f.tell(gone, fresh.entry("Ready"))
	uid := old.uid
	f.mu.Unlock()
	f.end(old, uid)
}

// end has all that runs on a worker end as lost.
func (f *fleet) end(w *worker, uid string) {
	f.jobs.Range(func(_, v any) bool {
		if j := v.(*job); j.w == w && j.timer.Stop() {
			go f.done(j, "lost")
		}
		return true
	})
}

// lose takes some workers of the first zone away without a word: their machines have no power. The list says so at once.
func (f *fleet) lose(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stay []*worker
	var gone []string
	for _, w := range f.entries {
		if w.zone != 0 || len(gone) == count {
			stay = append(stay, w)
			continue
		}
		w.silent.Store(true)
		w.drop()
		gone = append(gone, w.entry("Gone"))
	}
	f.entries = stay
	f.tell(gone...)
	f.jobs.Range(func(id, v any) bool {
		if j := v.(*job); j.w.silent.Load() && j.timer.Stop() && !j.ended.Swap(true) {
			f.jobs.Delete(id)
			j.w.own.Add(-1)
			f.running.Add(-1)
		}
		return true
	})
}

// bringBack lists them again, cold.
func (f *fleet) bringBack() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var back []string
	for _, w := range f.workers {
		if w.silent.Load() {
			w.silent.Store(false)
			w.boot = time.Now().UnixMilli()
			f.entries = append(f.entries, w)
			back = append(back, w.entry("Ready"))
		}
	}
	f.tell(back...)
}

func (w *worker) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.open {
		c.Close()
	}
}

func (w *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if w.silent.Load() {
			c.Close()
			continue
		}
		w.mu.Lock()
		w.open[c] = true
		w.mu.Unlock()
		go func() {
			w.serve(c)
			c.Close()
			w.mu.Lock()
			delete(w.open, c)
			w.mu.Unlock()
		}()
	}
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	in, out int
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in += n
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out += n
	return n, err
}

const (
	small   = 1024
	taken   = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	stopped = "HTTP/1.1 204 No Content\r\n\r\n"
	unknown = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
)

// serve speaks to one connection of a scheduler.
func (w *worker) serve(nc net.Conn) {
	c := &counted{Conn: nc}
	r := bufio.NewReaderSize(c, small)
	for before := 0; ; {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, in.Body)
		var n, kind *atomic.Int64
		t := &w.f.calls
		answer := unknown
		switch {
		case in.Method == "GET" && in.URL.Path == "/-/load":
			n, kind = &t.probes, &t.probeBytes
			body := w.report()
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		case in.Method == "DELETE" && strings.HasPrefix(in.URL.Path, "/jobs/"):
			n, kind = &t.cancels, &t.cancelBytes
			answer = stopped
			w.f.cancel(strings.TrimPrefix(in.URL.Path, "/jobs/"))
		case in.Method == "POST":
			n, kind = &t.starts, &t.takeBytes
			if w.take(in) {
				answer = taken
			}
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		at := c.in - r.Buffered() + c.out
		if n != nil {
			n.Add(1)
			kind.Add(int64(at - before))
		} else {
			w.f.strange.Add(1)
		}
		before = at
	}
}

// schedulerOf reads whose an id is: its clients put that first.
func schedulerOf(id string) (int, bool) {
	n, err := strconv.ParseUint(id, 16, 64)
	return int(n >> 32), err == nil
}

func idOf(scheduler int, n int64) string {
	return strconv.FormatUint(uint64(scheduler)<<32|uint64(n), 16)
}

func (w *worker) take(in *http.Request) bool {
	id := in.Header.Get("X-Call-Id")
	us, err := strconv.ParseInt(in.URL.Path[strings.LastIndexByte(in.URL.Path, '/')+1:], 10, 64) // the rest of what clients say goes no further
	who, known := schedulerOf(id)
	if err != nil || !known || who >= len(w.f.p.Schedulers) {
		w.f.strange.Add(1)
		return false
	}
	j := &job{id: id, w: w}
	w.own.Add(1)
	w.f.running.Add(1)
	w.f.jobs.Store(id, j)
	j.timer = time.AfterFunc(time.Duration(us)*time.Microsecond, func() { w.f.done(j, "done") })
	if w.f.p.Scenario.TellsStart {
		go w.news(who, map[string]any{"id": id, "from": w.uid, "state": "started"})
	}
	if p := w.f.p.Scenario.Progress.D(); p > 0 {
		w.progress(j, who, p, p, time.Duration(us)*time.Microsecond)
	}
	return true
}

func (w *worker) progress(j *job, who int, every, at, run time.Duration) {
	if at >= run {
		return
	}
	time.AfterFunc(every, func() {
		if !j.ended.Load() {
			w.news(who, map[string]any{"id": j.id, "from": w.uid, "state": "running", "share": at.Seconds() / run.Seconds()})
			w.progress(j, who, every, at+every, run)
		}
	})
}

func (f *fleet) done(j *job, state string) {
	if j.ended.Swap(true) {
		return
	}
	f.jobs.Delete(j.id)
	j.w.own.Add(-1)
	f.running.Add(-1)
	who, _ := schedulerOf(j.id)
	f.mu.Lock()
	uid := j.w.uid
	f.mu.Unlock()
	news := map[string]any{"id": j.id, "from": uid, "state": state}
	if state == "done" {
		news["result"] = "made " + j.id
	}
	j.w.news(who, news)
}

func (f *fleet) cancel(id string) {
	if v, known := f.jobs.Load(id); known {
		if j := v.(*job); j.timer.Stop() && !j.ended.Swap(true) {
			f.jobs.Delete(id)
			j.w.own.Add(-1)
			f.running.Add(-1)
		}
	}
}

// report says how much is free here: the slots, less our own runs, less those of all other schedulers, which come and go.
func (w *worker) report() string {
	if old := w.frozen.Load(); old != nil {
		return *old
	}
	s := w.f.p.Scenario
	others := s.Others + math.Round(2*math.Sin(float64(w.number)+time.Since(w.f.began).Seconds()/20))
	free := float64(s.Slots) - others - float64(w.own.Load())
	text := fmt.Sprintf("TEXT waiting=%g, avg_ms=%.0f, x0=%g", max(0, -free), s.run().Seconds()*1e3, max(0, free))
	if w.f.frozen.Load() {
		w.frozen.Store(&text)
	}
	return text
}

const (
	newsTries  = 10
	newsAgain  = 100 * time.Millisecond
	newsWithin = 2 * time.Second
)

// news calls a scheduler back over a connection of this worker's own, which is kept for a while.
func (w *worker) news(who int, news map[string]any) {
	if w.silent.Load() {
		return
	}
	f := w.f
	text, _ := json.Marshal(news)
	request := fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		f.p.Schedulers[who], len(text), text)
	for range newsTries {
		if n, ok := w.post(who, request); ok {
			f.calls.news.Add(1)
			f.calls.newsBytes.Add(int64(n))
			return
		}
		select {
		case <-time.After(newsAgain):
		case <-f.ctx.Done():
			return
		}
	}
	f.missed.Add(1)
}

func (w *worker) post(who int, request string) (bytes int, ok bool) {
	w.mu.Lock()
	var c net.Conn
	if kept := w.idle[who]; len(kept) > 0 {
		c, w.idle[who] = kept[len(kept)-1], kept[:len(kept)-1]
	}
	w.mu.Unlock()
	if c == nil {
		var err error
		if c, err = net.DialTimeout("tcp", w.f.p.Schedulers[who], time.Second); err != nil {
			return 0, false
		}
	}
	c.SetDeadline(time.Now().Add(newsWithin))
	count := &counted{Conn: c}
	if _, err := io.WriteString(count, request); err != nil {
		c.Close()
		return 0, false
	}
	r := bufio.NewReaderSize(count, 256)
	out, err := http.ReadResponse(r, nil)
	if err != nil {
		c.Close()
		return 0, false
	}
	io.Copy(io.Discard, out.Body)
	if keep := w.f.p.Scenario.NewsIdle.D(); keep > 0 && !out.Close {
		w.mu.Lock()
		w.idle[who] = append(w.idle[who], c)
		w.mu.Unlock()
		time.AfterFunc(keep, func() { w.forget(who, c) })
	} else {
		c.Close()
	}
	return count.in + count.out, out.StatusCode/100 == 2
}

// forget closes a kept connection, unless it is in use.
func (w *worker) forget(who int, c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.idle[who] {
		if other == c {
			w.idle[who] = append(w.idle[who][:i], w.idle[who][i+1:]...)
			c.Close()
		}
	}
}
