// Package discovery follows the list of workers: a watch that is held open, and what the list says in our words.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/http1"
)

// maxValue bounds one list of a watch, whatever the peer sends: 3,200 workers have 1,300 bytes each, several times what an entry takes that
// is indented and full of long names.
const maxValue = 4 << 20

// Worker is one entry: where it listens as seen from here, and what the module is told of it.
type Worker struct {
	UID, Address string
	dispatch.Endpoint
}

// List is news of the list, or that the watch has failed.
type Update struct {
	Kind    dispatch.UpdateKind
	Workers []Worker
}

// Listing is the module's part of it.
func (l Update) EndpointUpdate() dispatch.EndpointUpdate {
	listing := dispatch.EndpointUpdate{Kind: l.Kind}
	for _, w := range l.Workers {
		listing.Endpoints = append(listing.Endpoints, w.Endpoint)
	}
	return listing
}

// Watcher holds the watch. Told is called with each piece of news, also for a watch that fails: whoever follows
// decides when to watch again. A watch that moves to another address has not failed: the present one holds until the
// next one tells, and the watcher itself tries that for as long as it takes.
type Watcher struct {
	OnUpdate       func(Update)
	OnFailure      func(why string)
	PollWithin     time.Duration    // that the settings give for asking; 0: changes come unasked
	WallClock      func() time.Time // the machine's wall clock
	Rand           *rand.Rand       // spreads the calls of schedulers that move together; nil: they don't
	WatchesStarted int              // watches begun

	loop          *conn.Loop
	share         *conn.Quota
	addr          string
	zones, kinds  names
	starts        *starts
	rev           uint64
	ids           map[string]dispatch.WorkerID
	taken         map[dispatch.WorkerID]bool
	present, next *watch // nil: none
	elder         *watch // a call that has had its time and may still have its turn, beside the present one; nil: none
	tries         int    // to reach the address that the watch moves to
	mute          bool   // the last one had told something and fell silent
	failed        int    // watches in a row that told nothing
	moving        bool
	retry         *conn.Timer
}

// watch is one call that stays open.
type watch struct {
	*Watcher
	c      *conn.Conn
	addr   string
	parser http1.Parser
	value  value
	rev    uint64 // asked for
	stands bool   // it has told something
	quiet  *conn.Timer
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
	w := &Watcher{loop: loop, share: loop.NewQuota(2), addr: addr, zones: index(zones), kinds: index(kinds),
		ids: map[string]dispatch.WorkerID{}, taken: map[dispatch.WorkerID]bool{}, WallClock: time.Now}
	w.starts = newStarts(start, loop.Clock, func() time.Time { return w.WallClock() })
	return w
}

// Zone is the index of a zone's name; one not met yet gets one.
func (w *Watcher) ZoneIndex(name string) int { return w.zones.at(name) }

// Kind is the same of a kind of workers.
func (w *Watcher) KindIndex(name string) int { return w.kinds.at(name) }

// Kinds lists the names by index.
func (w *Watcher) Kinds() []string { return w.kinds.list() }

// Zones lists the names by index.
func (w *Watcher) Zones() []string { return w.zones.list() }

func (n names) list() []string {
	list := make([]string, len(n))
	for name, at := range n {
		list[at] = name
	}
	return list
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

var standings = map[string]dispatch.EndpointState{
	"Ready": dispatch.Ready, "Terminating": dispatch.Draining, "Gone": dispatch.Gone,
}

// Parse reads a list and takes note of its version.
func (w *Watcher) Parse(text []byte) (Update, error) {
	var in targets
	if err := json.Unmarshal(text, &in); err != nil {
		return Update{}, err
	}
	list := Update{Kind: dispatch.DeltaUpdate}
	if in.All {
		list.Kind = dispatch.FullUpdate
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
		e := dispatch.Endpoint{Worker: w.id(t.UID, addr), Zone: w.zones.at(t.AZ), Kind: w.kinds.at(t.Model),
			Cell: t.PodGroup, State: standing}
		if t.BootMS != 0 {
			e.StartKnown = true
			e.StartedAt = w.starts.at(t.UID, t.BootMS)
			e.Incarnation = startName(t.UID, t.BootMS)
		}
		list.Workers = append(list.Workers, Worker{t.UID, t.Endpoint, e})
	}
	w.rev = in.Rev
	return list, nil
}

// startName names one start of a worker alike at all schedulers: its address may differ, and so does its time here.
func startName(uid string, bootMS float64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %.0f", uid, bootMS)
	return h.Sum64()
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
// is left alone: discovery takes calls in turn, and a new one would wait from the beginning. So is one that moves.
func (w *Watcher) Watch() {
	if w.moving || w.present != nil && !w.present.stands {
		return
	}
	w.present.drop()
	word := w.patience()
	if w.mute {
		word = min(word, nextWord) // but once: discovery takes calls in turn, and where it has many none would come to its turn
	}
	w.mute = false
	w.present = w.begin(w.rev, word)
}

// ClockSteps tells how often the wall clock was seen to be stepped.
func (w *Watcher) ClockSteps() int { return w.starts.steps }

// Stands tells whether a watch is open that has told something.
func (w *Watcher) Established() bool { return w.present != nil && w.present.stands }

// Move takes the watch to another address. Versions there may be another count, so the whole list is asked for.
func (w *Watcher) ChangeAddress(addr string) {
	if addr == w.addr {
		return
	}
	w.next.drop()
	w.elder.drop()
	w.elder = nil
	w.retry.Stop()
	w.addr, w.tries, w.next, w.moving = addr, 0, nil, true
	if w.present != nil && w.present.addr == addr && w.present.stands {
		w.moving = false // back to where it is
		return
	}
	w.retry = w.loop.After(w.spread(0, moveSpread), w.try)
}

// spread is a span from least to most, by chance where there is any.
func (w *Watcher) spread(least, most time.Duration) time.Duration {
	if w.Rand == nil {
		return least
	}
	return least + time.Duration(w.Rand.Int64N(int64(most-least)))
}

func (w *Watcher) try() { w.next = w.begin(0, moveWord) }

func (w *Watcher) begin(rev uint64, word time.Duration) *watch {
	w.WatchesStarted++
	n := &watch{Watcher: w, addr: w.addr, rev: rev, parser: http1.Parser{Answers: true, Stream: true}}
	n.c = w.share.Dial(w.addr, connectIn, n)
	n.quiet = w.loop.After(word, n.silent)
	return n
}

func (n *watch) drop() {
	if n != nil && n.c != nil {
		n.c.Close()
		n.c = nil
		n.quiet.Stop()
	}
}

func (n *watch) silent() {
	n.mute = n.stands
	n.fail(errSilent)
}

var errSilent = errors.New("it is silent")

// linger keeps a call that nobody has answered yet, beside the one that follows: discovery takes calls in turn, and where that takes
// longer than a call's time, none would ever come to its turn. The oldest is nearest to it.
func (n *watch) linger() {
	n.elder = n
	n.quiet = n.loop.After(lingers, func() { n.fail(errSilent) })
}

func (n *watch) fail(why error) {
	w := n.Watcher
	if n == w.present && !w.moving && !n.stands && w.elder == nil && why == errSilent && n.c.Standing() {
		n.linger()
	} else {
		n.drop()
	}
	switch {
	case n == w.elder && n != w.present:
		w.elder = nil
	case n == w.next:
		w.next = nil
		if w.tries++; w.tries == 1 {
			w.OnFailure("the new address: " + why.Error()) // one line a move: tries are brisk
		}
		wait := min(moveFirst<<min(w.tries, 8), moveMost)
		w.retry = w.loop.After(w.spread(wait/2, wait), w.try)
	case n == w.present && w.moving:
		w.present = nil // its address goes away, as is to be expected; the next one is on its way
	case n == w.present:
		w.present = nil
		w.failed++
		w.OnFailure(why.Error())
		w.OnUpdate(Update{Kind: dispatch.WatchFailed})
	}
}

// told passes news on. The first word of the next watch makes it the present one.
func (n *watch) told(list Update) {
	w := n.Watcher
	if n == w.next || n == w.elder {
		w.present.drop()
		w.present = n
	}
	if n == w.next {
		w.next, w.moving = nil, false
	}
	if n != w.elder {
		w.elder.drop()
	}
	w.elder = nil
	n.stands, w.failed = true, 0
	n.alive()
	w.OnUpdate(list)
}

// Up asks once the connection stands.
func (n *watch) Connected(c *conn.Conn) {
	c.Write(http1.Request("GET", "/api/targets?stream=1&index="+strconv.FormatUint(n.rev, 10), n.addr, nil))
}

// Sent has nothing to do.
func (n *watch) Flushed(*conn.Conn) {}

// Down is the end of the watch.
func (n *watch) Disconnected(c *conn.Conn, e conn.CloseReason) {
	if c == n.c {
		n.fail(errors.New("the connection has ended: " + e.String()))
	}
}

// Read takes the answer in. Only what is whole shows that the watch is alive: a list, an empty line. Bytes that never
// come to an end would have it stand for good, and tell nothing.
func (n *watch) DataReceived(c *conn.Conn) {
	for c == n.c && c.In.Len() > 0 {
		used, step, err := n.parser.Feed(c.In.Bytes())
		switch {
		case err != nil:
		case step == http1.Head && n.parser.Message.Status != 200:
			err = fmt.Errorf("status %d", n.parser.Message.Status)
		case step == http1.Piece:
			err = n.take(n.parser.Piece)
		case step == http1.Whole:
			err = errors.New("the answer has ended")
		}
		if err != nil {
			n.fail(err)
			return
		}
		if c == n.c { // whoever was told may have begun another watch
			c.In.Drop(used)
		}
	}
}

// alive: a watch that has told something goes on. Until then its time runs from the call: a head alone, however late, must not
// buy it more.
func (n *watch) alive() {
	if !n.stands {
		return
	}
	n.quiet.Stop()
	n.quiet = n.loop.After(silence, n.silent)
}

func (n *watch) take(piece []byte) error {
	for n.c != nil && len(piece) > 0 {
		used, step := n.value.feed(piece)
		piece = piece[used:]
		switch step {
		case more:
			if len(n.value.text) > maxValue {
				return errors.New("a list is too long")
			}
		case empty:
			n.starts.heard()
			// Nothing has changed since the version we know. Whoever follows is told once: without a word it would
			// take the watch for one that never came, and begin another. A next one that has no list yet replaces
			// none that still tells.
			n.alive()
			if !n.stands && (n == n.present || n == n.elder || n.present == nil) {
				n.told(Update{Kind: dispatch.DeltaUpdate})
			}
		case complete:
			n.alive()
			if err := n.list(); err != nil {
				// The next watch is to bring the whole list: from here on changes would apply to an unknown one.
				n.Watcher.rev = 0
				n.elder.drop()
				n.elder = nil
				return err
			}
		}
	}
	return nil
}

func (n *watch) list() error {
	before := n.Watcher.rev
	list, err := n.Parse(n.value.text)
	n.value.text = n.value.text[:0]
	if err != nil {
		return err
	}
	n.starts.heard() // behind it: its starts are held against the word before
	if now := n.Watcher.rev; n != n.next && list.Kind == dispatch.DeltaUpdate && now < before {
		// Whoever tells this knows less than we do: its changes could bring back a worker that has gone.
		return fmt.Errorf("changes go back from version %d to %d", before, now)
	}
	n.told(list)
	return nil
}
