// Package discovery follows the list of workers: a watch that is held open, and what the list says in our words.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

const (
	// An empty line comes every 2 s, and what there is to tell counts as told 6 s after it happened: a watch that
	// says nothing for this long has to be given up in time for another one to bring it.
	silence   = 3200 * time.Millisecond
	connectIn = time.Second
	maxLine   = 1 << 20 // of a watch, whatever the peer sends
)

// Worker is one entry: where it listens as seen from here, and what the module is told of it.
type Worker struct {
	UID, Endpoint string
	dispatch.Entry
}

// List is news of the list, or that the watch has failed.
type List struct {
	Form    dispatch.Form
	Workers []Worker
}

// Listing is the module's part of it.
func (l List) Listing() dispatch.Listing {
	listing := dispatch.Listing{Form: l.Form}
	for _, w := range l.Workers {
		listing.Entries = append(listing.Entries, w.Entry)
	}
	return listing
}

// Watcher holds the watch. Told is called with each piece of news, also for a watch that fails: whoever follows
// decides when to watch again.
type Watcher struct {
	Told   func(List)
	Failed func(why string)
	Calls  int // watches begun

	loop         *conn.Loop
	addr, host   string
	zones, kinds names
	start        time.Time
	rev          uint64
	ids          map[string]dispatch.WorkerID
	taken        map[dispatch.WorkerID]bool

	c      *conn.Conn
	parser http1.Parser
	line   []byte
	stands bool // this watch has told something
	quiet  *conn.Alarm
}

// names makes names small indices: those of the settings first, unknown ones as they come.
type names map[string]int

func index(known []string) names {
	n := names{}
	for _, name := range known {
		n.at(name)
	}
	return n
}

func (n names) at(name string) int {
	at, known := n[name]
	if !known {
		at = len(n)
		n[name] = at
	}
	return at
}

// New makes a watcher that has not asked yet. start is when the loop's clock stood at zero.
func New(loop *conn.Loop, addr string, zones, kinds []string, start time.Time) *Watcher {
	return &Watcher{loop: loop, addr: addr, zones: index(zones), kinds: index(kinds), start: start,
		ids: map[string]dispatch.WorkerID{}, taken: map[dispatch.WorkerID]bool{}}
}

// targets is one line of a watch, and the form of the whole list too.
type targets struct {
	Rev     uint64
	All     bool
	Targets []struct {
		UID, Endpoint, AZ, Model, State string
		PodGroup                        int     `json:"pod_group"`
		BootMS                          float64 `json:"boot_ms"`
	}
}

var standings = map[string]dispatch.Standing{
	"Ready": dispatch.Ready, "Terminating": dispatch.Draining, "Gone": dispatch.Gone,
}

// Parse reads a list and takes note of its version.
func (w *Watcher) Parse(text []byte) (List, error) {
	var in targets
	if err := json.Unmarshal(text, &in); err != nil {
		return List{}, err
	}
	list := List{Form: dispatch.ListDelta}
	if in.All {
		list.Form = dispatch.ListWhole
	}
	for _, t := range in.Targets {
		standing, known := standings[t.State]
		if !known {
			standing = dispatch.Draining // whatever it is, it is not said to be ready
		}
		// One entry that makes no sense must not cost the news of all others.
		addr, err := netip.ParseAddrPort(t.Endpoint)
		if err != nil && standing == dispatch.Ready {
			standing = dispatch.Draining
		}
		if t.UID == "" {
			continue
		}
		e := dispatch.Entry{Worker: w.id(t.UID, addr), Zone: w.zones.at(t.AZ), Kind: w.kinds.at(t.Model),
			Cell: t.PodGroup, Standing: standing}
		if t.BootMS != 0 {
			e.Restarted = true
			e.StartedAt = time.UnixMilli(int64(t.BootMS)).Sub(w.start)
		}
		list.Workers = append(list.Workers, Worker{t.UID, t.Endpoint, e})
	}
	w.rev = in.Rev
	return list, nil
}

// id gives a worker one name for good: its first address, and where another one has had that, the address with the
// uid. An address can pass from one worker to its successor, and a worker can change its own; what the module has
// learned of the one must not be held against the other.
func (w *Watcher) id(uid string, addr netip.AddrPort) dispatch.WorkerID {
	id, known := w.ids[uid]
	if !known {
		if id = addr; w.taken[id] || !addr.IsValid() {
			base := netip.IPv6Unspecified()
			if addr.IsValid() {
				base = netip.AddrFrom16(addr.Addr().As16())
			}
			id = netip.AddrPortFrom(base.WithZone(uid), addr.Port())
		}
		w.ids[uid], w.taken[id] = id, true
	}
	return id
}

// Watch begins a watch from the version that is known; one that stands is given up for it. One that is still on its way
// is left alone: discovery takes calls in turn, and a new one would wait from the beginning.
func (w *Watcher) Watch() {
	if w.c != nil && !w.stands {
		return
	}
	w.drop()
	w.Calls++
	w.parser, w.line, w.stands = http1.Parser{Answers: true, Stream: true}, nil, false
	w.c = w.loop.Dial(w.addr, connectIn, w)
	w.quiet = w.loop.After(silence, w.silent)
}

func (w *Watcher) drop() {
	if w.c != nil {
		w.c.Close()
	}
	w.c = nil
	w.quiet.Stop()
}

func (w *Watcher) silent() { w.fail(errors.New("it is silent")) }

func (w *Watcher) fail(why error) {
	w.drop()
	w.Failed(why.Error())
	w.Told(List{Form: dispatch.ListFailed})
}

// Up asks once the connection stands.
func (w *Watcher) Up(c *conn.Conn) {
	c.Write(http1.Request("GET", "/api/targets?stream=1&index="+strconv.FormatUint(w.rev, 10), w.addr, nil))
}

// Sent has nothing to do.
func (w *Watcher) Sent(*conn.Conn) {}

// Down is the end of the watch.
func (w *Watcher) Down(c *conn.Conn, e conn.Ending) {
	if c == w.c {
		w.fail(errors.New("the connection has ended: " + e.String()))
	}
}

// Read takes the lines in. Any byte, also of an empty line, shows that the watch is alive.
func (w *Watcher) Read(c *conn.Conn) {
	w.quiet.Stop()
	w.quiet = w.loop.After(silence, w.silent)
	for c == w.c && c.In.Len() > 0 {
		n, step, err := w.parser.Feed(c.In.Bytes())
		switch {
		case err != nil:
		case step == http1.Head && w.parser.Message.Status != 200:
			err = fmt.Errorf("status %d", w.parser.Message.Status)
		case step == http1.Piece:
			err = w.take(w.parser.Piece)
		case step == http1.Whole:
			err = errors.New("the answer has ended")
		}
		if err != nil {
			w.fail(err)
			return
		}
		if c == w.c { // whoever was told may have begun another watch
			c.In.Drop(n)
		}
	}
}

func (w *Watcher) take(piece []byte) error {
	if w.line = append(w.line, piece...); len(w.line) > maxLine {
		return errors.New("a line is too long")
	}
	for {
		line, rest, found := bytes.Cut(w.line, []byte("\n"))
		if !found {
			return nil
		}
		w.line = rest
		if len(bytes.TrimSpace(line)) == 0 {
			// Nothing has changed since the version we know. Whoever follows is told once: without a word it would
			// take the watch for one that never came, and begin another.
			if !w.stands {
				w.stands = true
				w.Told(List{Form: dispatch.ListDelta})
			}
			continue
		}
		list, err := w.Parse(line)
		if err != nil {
			// The next watch is to bring the whole list: from here on changes would apply to an unknown one.
			w.rev = 0
			return err
		}
		w.stands = true
		w.Told(list)
	}
}
