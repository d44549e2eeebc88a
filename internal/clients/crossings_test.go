package clients

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"stoatweir/internal/conn"
)

// A request whose bytes have been read, and wait in the loop's inbox, is served, whatever ends idle connections at that
// moment: a stop, the wait for a first word, or want of descriptors.
func TestReadWhenIdleConnectionsEnd(t *testing.T) {
	for name, ends := range map[string]func(d *Door, v *visit){
		"a stop":         func(d *Door, _ *visit) { manner.Shuts = true; d.Follow() },
		"the first word": func(_ *Door, v *visit) { v.late() },
		"descriptors":    func(d *Door, _ *visit) { d.share.Resize(0) },
		"a kept one": func(d *Door, v *visit) {
			v.c.Set(conn.Idle)
			d.share.Resize(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, d, _, shut := open(10)
			defer shut()
			near, far := net.Pipe()
			defer far.Close()
			accepted{d, near}.Take()
			var v *visit
			for v = range d.visits {
				v.came -= firstIn
			}
			far.Write([]byte(job)) // has been read when this returns, and the loop does not run
			ends(d, v)
			answer := make(chan string, 1)
			go func() {
				b := make([]byte, 1024)
				n, err := far.Read(b)
				answer <- fmt.Sprint(string(b[:n]), err)
			}()
			got := ""
			l.After(0, func() {})
			until(l, "an answer", func() bool {
				for _, inv := range d.Rest() {
					d.Deliver(inv, "result")
				}
				l.After(time.Millisecond, func() {})
				select {
				case got = <-answer:
				default:
				}
				return got != ""
			})
			if !strings.HasPrefix(got, "HTTP/1.1 200 OK") {
				t.Errorf("%q", got)
			}
		})
	}
}

// A client that sends more than a ring holds behind its request, and goes, is seen to have gone. Without end it costs no
// turns of the loop either.
func TestLeavesBehindManyBytes(t *testing.T) {
	l, d, addr, shut := open(10)
	defer shut()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte(job))
	until(l, "the job", func() bool { return d.InHand() == 1 })
	began := l.Now()
	go func() {
		c.Write(make([]byte, 1<<20))
		c.Close()
	}()
	turns := 0
	until(l, "its client to leave", func() bool { turns++; return d.InHand() == 0 })
	if took := l.Now() - began; d.Counts.Overdue > 0 || took > 300*time.Millisecond || turns > 20 {
		t.Errorf("seen after %v in %d turns, %d overdue", took, turns, d.Counts.Overdue)
	}
}

// A client that has gone before its request was read is not taken in: it would be sent on at once, however long ago that was.
func Example_leftUnread() {
	l, d, addr, shut := open(10)
	defer shut()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	c.Write([]byte(job))
	c.Close() // the loop does not run yet
	until(l, "the end of the connection", func() bool { return d.Counts.Connections == 1 && d.share.Used() == 0 })
	fmt.Println("taken:", d.Ledger.Figures(0, 0).Classes[0].Taken)
	// Output:
	// taken: 0
}

// A connection that comes just before the end has its request served; who has come and says nothing goes with the others.
// The door is closed only once nobody is on the way in.
func Example_lastToCome() {
	l, d, addr, shut := open(10)
	defer shut()
	manner.Shuts, manner.Leaves = true, true
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	defer c.Close()
	until(l, "the connection", func() bool { return len(d.visits) == 1 })
	d.Follow()
	fmt.Println("stays:", len(d.visits) == 1, "busy:", d.Busy())
	c.Write([]byte(job))
	until(l, "its request", func() bool { return d.InHand() == 1 })
	d.Throttle(1, 0)
	d.Follow()
	l.After(0, func() {})
	until(l, "its answer", func() bool { l.After(time.Millisecond, d.Follow); return !d.Busy() })
	fmt.Println("in hand:", d.InHand(), "closed at once:", d.Close())
	l.After(0, func() {})
	until(l, "the listener", func() bool { l.After(time.Millisecond, d.Follow); return d.Close() })
	d.Follow()
	fmt.Println("nobody comes in:", !d.leave, len(d.visits))
	// Output:
	// stays: true busy: true
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// in hand: 0 closed at once: false
	// nobody comes in: true 0
}
