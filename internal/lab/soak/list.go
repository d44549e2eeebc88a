package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// emptyLine is how often a watch says that it is alive.
const emptyLine = 2 * time.Second

// list is discovery: one service for all schedulers, reached through a proxy. Each scheduler has an address of its own there, so that it
// shows who was told what.
type list struct {
	play *play

	mu      sync.Mutex
	rev     int
	entries map[string]entry // by uid
	since   map[string]int   // the revision of an entry's last change
	changed chan struct{}
	closed  bool
	slow    time.Duration // before each answer
	outages []span        // when it could not be reached, or not in time
	down    bool
	doors   []*door
}

// door is where one scheduler asks.
type door struct {
	list      *list
	scheduler int
	listener  net.Listener
	proxy     *proxy
	mu        sync.Mutex
	open      map[net.Conn]struct{}
}

// entry is a worker of the list.
type entry struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	PodGroup int    `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

const (
	ready    = "Ready"
	draining = "Terminating"
	gone     = "Gone"
)

func newList(p *play) (*list, error) {
	l := &list{play: p, rev: 1, entries: map[string]entry{}, since: map[string]int{}, changed: make(chan struct{})}
	for n := range p.Schedulers {
		d := &door{list: l, scheduler: n, open: map[net.Conn]struct{}{}}
		var err error
		if d.listener, err = net.Listen("tcp", host(peers)+":0"); err != nil {
			return nil, err
		}
		if d.proxy, err = newProxy(d.listener.Addr().String()); err != nil {
			return nil, err
		}
		l.doors = append(l.doors, d)
		go d.accept()
	}
	return l, nil
}

func (l *list) close() {
	l.mu.Lock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	for _, d := range l.doors {
		d.listener.Close()
		d.proxy.close()
		d.hangUp()
	}
}

// put changes an entry, without a word to anybody until publish.
func (l *list) put(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	l.entries[e.UID], l.since[e.UID] = e, l.rev
	l.play.books.listed(e)
}

// publish tells all watches.
func (l *list) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// text is what a scheduler that knows a revision is told; a whole list where it knows none.
func (l *list) text(known int) (text []byte, told []entry, rev int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole := known == 0 || known > l.rev
	for uid, e := range l.entries {
		if whole && e.State != gone || !whole && l.since[uid] > known {
			told = append(told, e)
		}
	}
	if told == nil && !whole {
		return nil, nil, l.rev, l.changed
	}
	form := map[string]any{"rev": l.rev, "all": whole, "targets": told}
	if l.rev%3 == 0 {
		text, _ = json.MarshalIndent(form, "", "  ")
	} else {
		text, _ = json.Marshal(form)
	}
	return text, told, l.rev, l.changed
}

func (d *door) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.open[c] = struct{}{}
		d.mu.Unlock()
		go func() {
			d.serve(c)
			c.Close()
			d.mu.Lock()
			delete(d.open, c)
			d.mu.Unlock()
		}()
	}
}

func (d *door) hangUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.open {
		abort(c)
	}
}

func (d *door) serve(c net.Conn) {
	in, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	known, _ := strconv.Atoi(in.URL.Query().Get("index"))
	l := d.list
	l.mu.Lock()
	slow, down := l.slow, l.down
	l.mu.Unlock()
	time.Sleep(slow)
	if down {
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	first := true
	for {
		text, told, rev, changed := l.text(known)
		if len(text) > 0 || first {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
				return
			}
			if m, _ := d.proxy.now(); m == pass { // else it may stand in the proxy
				l.play.books.told(d.scheduler, told, time.Now())
			}
		}
		known, first = rev, false
		select {
		case <-changed:
		case <-time.After(emptyLine):
			if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
				return
			}
		case <-l.play.ctx.Done():
			return
		}
	}
}

// outage makes the list unreachable in one way for a while.
func (l *list) outage(begin, end func(), length time.Duration) {
	from := time.Now()
	begin()
	time.Sleep(length)
	end()
	l.mu.Lock()
	l.outages = append(l.outages, span{from, time.Now()})
	l.mu.Unlock()
}

func (l *list) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		for _, d := range l.doors {
			d.hangUp()
		}
	}
}

func (l *list) setSlow(by time.Duration) {
	l.mu.Lock()
	l.slow = by
	l.mu.Unlock()
}

// deemed is when a change that was made at a moment counts as told, whatever was written: it could be reached for 6 s on end, or where
// changes are pushed, at all.
func (l *list) deemed(at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := toldAfter
	if l.play.pushed() {
		within = 0
	}
	for again := true; again; {
		again = false
		for _, o := range l.outages {
			if !o.from.After(at.Add(within)) && o.to.After(at) {
				at, again = o.to, true
			}
		}
	}
	return at.Add(within)
}
