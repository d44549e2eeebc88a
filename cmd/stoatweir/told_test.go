package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
	"stoatweir/internal/settings"
)

// The tests of this file play whole services, from their settings to their loops, in the virtual time of a synctest bubble:
// connections are pipes, and discovery is a stand-in whose failures are set to the millisecond.

// outage is how discovery fails while it is down.
type outage int

const (
	up      outage = iota
	refused        // connections are refused
	lost           // connections don't come up
	mute           // calls are accepted and never answered, also not after the return
	kept           // calls are accepted, and answered at the return
	unavailable
	broken  // the answer ends in the midst of its list
	stalled // the answer's head comes late, half a list behind it, and no more
)

var outages = []string{"up", "refused", "lost", "mute", "kept", "unavailable", "broken", "stalled"}

// standIn is a discovery for any number of schedulers. It answers calls in turn.
type standIn struct {
	began    time.Time
	how      outage
	from, to time.Duration // it is down
	silent   bool          // watches that are open then fall silent instead of being reset
	each     time.Duration // that one call keeps it busy
	late     time.Duration // that an answer takes beyond that, for nobody else to wait
	patience time.Duration // a call that has waited for longer is turned away; 0: never
	drains   time.Duration // when the worker begins to; 0: at the return

	mu    sync.Mutex
	over  bool
	busy  time.Time
	calls []time.Duration
	open  map[net.Conn]bool
}

func (d *standIn) now() time.Duration { return time.Since(d.began) }

func (d *standIn) state() outage {
	if now := d.now(); now >= d.from && now < d.to {
		return d.how
	}
	return up
}

// DialContext is the way to discovery; nobody else listens.
func (d *standIn) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	no := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr != discoveryAddr && addr != movedAddr || d.over {
		return nil, no
	}
	d.calls = append(d.calls, d.now())
	how := d.state()
	switch how {
	case refused:
		return nil, no
	case lost:
		d.mu.Unlock()
		<-ctx.Done()
		d.mu.Lock()
		return nil, ctx.Err()
	}
	ours, theirs := net.Pipe()
	d.open[theirs] = true
	go d.serve(theirs, how)
	return ours, nil
}

const discoveryAddr, movedAddr = "127.0.0.1:1", "127.0.0.1:2"

const listHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (d *standIn) list() string {
	rev, state := 1, "Ready"
	if now := d.now(); now >= cmp.Or(d.drains, d.to) {
		rev, state = 2, "Terminating"
	}
	return fmt.Sprintf("{\"rev\":%d,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:9\",\"state\":%q}]}\n", rev, state)
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func (d *standIn) serve(c net.Conn, how outage) {
	defer func() {
		d.mu.Lock()
		delete(d.open, c)
		d.mu.Unlock()
		c.Close()
	}()
	if _, _, err := message(bufio.NewReader(c)); err != nil {
		return
	}
	gone := make(chan struct{})
	go func() { // what ends the call is seen at once
		io.Copy(io.Discard, c)
		close(gone)
	}()
	wait := func(span time.Duration) bool {
		select {
		case <-gone:
			return false
		case <-time.After(span):
			return true
		}
	}
	switch how {
	case mute:
		<-gone
		return
	case kept:
		if !wait(d.to - d.now()) {
			return
		}
	case unavailable:
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case broken, stalled:
		if how == stalled && !wait(2900*time.Millisecond) {
			return
		}
		io.WriteString(c, listHead+chunk(d.list()[:30]))
		if how == stalled {
			<-gone
		}
		return
	}
	// Calls take turns. What was given up meanwhile has its turn all the same: that shows only when it is answered.
	d.mu.Lock()
	d.busy = time.Unix(0, max(d.busy.UnixNano(), time.Now().UnixNano())).Add(d.each)
	turn := time.Until(d.busy)
	d.mu.Unlock()
	if d.patience > 0 && turn > d.patience {
		if wait(d.patience) {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
		return
	}
	if !wait(turn + d.late) {
		return
	}
	last := d.list()
	if _, err := io.WriteString(c, listHead+chunk(last)); err != nil {
		return
	}
	for line := 0; ; line++ {
		if !wait(200 * time.Millisecond) {
			return
		}
		if d.state() != up {
			if d.silent {
				<-gone
			}
			return
		}
		if now := d.list(); now != last {
			last = now
			io.WriteString(c, chunk(now))
		} else if line%10 == 0 {
			io.WriteString(c, chunk("\n"))
		}
	}
}

// shut has all calls end and refuses new ones. Dials that are lost give up within a second.
func (d *standIn) shut() {
	d.mu.Lock()
	d.over = true
	for c := range d.open {
		c.Close()
	}
	d.mu.Unlock()
}

// closed is a listener to which nobody comes.
type closed chan struct{}

func (l closed) Accept() (net.Conn, error) {
	<-l
	runtime.Goexit() // the loop that would be told is over
	return nil, net.ErrClosed
}
func (l closed) Close() error   { return nil }
func (l closed) Addr() net.Addr { return &net.TCPAddr{} }

// player is a service in the bubble.
type player struct {
	*service
	at       *standIn
	heard    []time.Duration // when lists came
	told     time.Duration   // when the first came that says the worker drains
	listener closed
	over     chan struct{}
}

// day is what a player's settings say.
type day struct {
	push, unknown bool // unknown: there is no known list
	peers, within int  // settings' AskWithin, in milliseconds
	grace         float64
	seed          int
}

func (d day) play(t *testing.T, at *standIn) *player {
	t.Helper()
	how, known := "ask", `"known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","state":"Ready"}]},`
	if d.push {
		how = "push"
	}
	if d.unknown {
		known = ""
	}
	node, err := settings.ParseNode(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:3","discovery":%q,"seed":"%x",%s
		"settings":{"Discovery":%q,"PeersTotal":%d,"Rules":{"AskWithin":%g,"StopSendingWithin":%g},
		"Operations":[{"Name":"render","Effect":"read_like"}]}}`, discoveryAddr, d.seed+1, known, how, max(1, d.peers),
		float64(cmp.Or(d.within, 10000))/1000, cmp.Or(d.grace, 0.5)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := newService(node, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	p := &player{service: s, at: at, listener: make(closed), over: make(chan struct{})}
	s.loop.DialContext = at.DialContext
	s.loop.Panicked = func(cause any) { panic(cause) }
	took := s.list.Told
	s.list.Told = func(l discovery.List) {
		if len(l.Workers) > 0 {
			if p.heard = append(p.heard, at.now()); l.Workers[0].Standing != dispatch.Ready && p.told == 0 {
				p.told = at.now()
			}
		}
		took(l)
	}
	go func() {
		s.run(address{listener: p.listener})
		close(p.over)
	}()
	return p
}

// end stops the player; its discovery has ended.
func (p *player) end() {
	p.loop.Order(order{p.service, p.loop.Stop})
	<-p.over
	close(p.listener)
}

// afterSix is how long a change may be on its way after discovery has it and can be reached: what counts as told then may be
// sent to for the grace, which is kept in hand.
const afterSix = 6*time.Second - 500*time.Millisecond

// Discovery goes down in each way, for each span from nothing to 20 s in steps of 50 ms (variants: 250), with watches that end or fall silent; a
// worker begins to drain at its return. From there to the list is less than 6 s and the grace, at each of these moments. What is
// pushed counts as told at the return already: there the grace itself is the bound, unless a call was lost.
func TestToldAtAnyReturn(t *testing.T) {
	const first, longest = 3 * time.Second, 20 * time.Second
	for _, play := range []struct {
		name string
		step time.Duration
		day
	}{
		{"asked of 300", 50 * time.Millisecond, day{peers: 300}},
		{"asked alone", 250 * time.Millisecond, day{}},
		{"asked within 2 s", 250 * time.Millisecond, day{within: 2000}},
		{"asked within 1 s", 250 * time.Millisecond, day{within: 1000}},
		{"pushed", 50 * time.Millisecond, day{push: true}},
		{"pushed, grace 30 s", 250 * time.Millisecond, day{push: true, grace: 30}},
	} {
		for how := refused; how <= stalled; how++ {
			for _, silent := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s/silent=%v", play.name, outages[how], silent)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						var all []*player
						for span := play.step; span <= longest; span += play.step {
							at := &standIn{began: time.Now(), how: how, from: first, to: first + span, silent: silent,
								each: 20 * time.Millisecond, open: map[net.Conn]bool{}}
							one := play.day
							one.seed = len(all)
							all = append(all, one.play(t, at))
						}
						time.Sleep(first + longest + 8*time.Second)
						for _, p := range all {
							p.at.shut()
						}
						time.Sleep(2 * time.Second)
						worst, when := time.Duration(0), time.Duration(0)
						for _, p := range all {
							p.end()
							span := p.told - p.at.to
							if p.told == 0 {
								span = time.Hour
							}
							if span > worst {
								worst, when = span, p.at.to-first
							}
						}
						most := afterSix
						if play.within > 0 {
							most = min(most, 4*time.Duration(play.within)*time.Millisecond)
						}
						switch {
						case how == mute, how == stalled, how == lost, silent, !play.push, play.grace > 1:
						default:
							most = 500 * time.Millisecond
						}
						t.Logf("%s: worst span from return to list: %v, down for %v", name, worst.Round(time.Millisecond), when)
						if worst >= most {
							t.Errorf("%v is not below %v", worst, most)
						}
					})
				})
			}
		}
	}
}
