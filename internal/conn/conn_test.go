package conn

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// owner writes down what it is told.
type owner struct {
	got  []byte
	seen []string
	read func(c *Conn)
	up   func(c *Conn)
}

func (o *owner) Connected(c *Conn) {
	o.seen = append(o.seen, "up")
	if o.up != nil {
		o.up(c)
	}
}
func (o *owner) DataReceived(c *Conn) {
	for c.In.Len() > 0 {
		b := c.In.Bytes()
		o.got = append(o.got, b...)
		c.In.Drop(len(b))
	}
	if o.read != nil {
		o.read(c)
	}
}
func (o *owner) Flushed(*Conn)                       {}
func (o *owner) Disconnected(_ *Conn, e CloseReason) { o.seen = append(o.seen, e.String()) }

// await runs the loop until what is waited for has happened.
func await(l *Loop, what string, done func() bool) {
	late := l.After(10*time.Second, func() { panic("waited in vain for " + what) })
	l.Run(func() {
		if done() {
			l.Stop()
		}
	})
	late.Stop()
}

// peer listens on loopback and treats each connection as told.
func peer(treat func(net.Conn)) (addr string, shut func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go treat(c)
		}
	}()
	return l.Addr().String(), func() { l.Close() }
}

// Only an ending that proves a non-run may let a non-idempotent invocation go out again.
func Example_results() {
	for e := Refused; e <= NotSent; e++ {
		fmt.Println(e, e.Result())
	}
	// Output:
	// refused 4
	// connect timeout 4
	// no descriptor 2
	// worker unavailable 4
	// not written 4
	// closed 8
	// reset 5
	// stale 9
	// stalled 3
	// malformed 1
	// rejected 2
	// returned 2
	// worker error 1
	// bad request 8
	// lost 5
	// succeeded 0
	// timed out 3
	// cancelled 6
	// local error 2
	// not sent 7
}

// How a connection ends decides whether its request may have run: gone out whole or not.
func Example_endings() {
	end := func(title, addr string, within time.Duration, size int) {
		l := NewLoop(time.Now())
		s := l.NewQuota(10)
		o := &owner{up: func(c *Conn) { c.Write(make([]byte, size)) }}
		s.Dial(addr, within, o)
		await(l, title, func() bool {
			return len(o.seen) > 0 && o.seen[len(o.seen)-1] != "up"
		})
		fmt.Println(title+":", o.seen, "in use:", s.Used())
	}
	addr, shut := peer(func(c net.Conn) { io.CopyN(io.Discard, c, 100); c.Close() })
	end("closed after the whole request", addr, time.Second, 100)
	end("no time to come up", addr, time.Nanosecond, 100)
	shut()
	end("nobody listens", addr, time.Second, 100)
	addr, shut = peer(func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		io.CopyN(io.Discard, c, 100)
		c.Close()
	})
	end("reset with most of the request unread", addr, time.Second, 64<<20)
	shut()
	// Output:
	// closed after the whole request: [up closed] in use: 0
	// no time to come up: [connect timeout] in use: 0
	// nobody listens: [refused] in use: 0
	// reset with most of the request unread: [up not written] in use: 0
}

// A long answer passes through the small ring whole, also when the connection is to end with it, and what the peer
// still sends does not cost it the answer.
func TestQuitDeliversTheWholeAnswer(t *testing.T) {
	l := NewLoop(time.Now())
	s := l.NewQuota(10)
	var got []byte
	over := make(chan struct{})
	addr, shut := peer(func(c net.Conn) {
		c.Write(make([]byte, 10000)) // more than is read before the answer
		time.Sleep(20 * time.Millisecond)
		got, _ = io.ReadAll(c)
		c.Close()
		close(over)
	})
	defer shut()
	want := bytes.Repeat([]byte("answer"), 20000)
	o := &owner{read: func(c *Conn) { c.Write(want); c.CloseAfterFlush() }}
	s.Dial(addr, time.Second, o)
	await(l, "the end", func() bool {
		select {
		case <-over:
			return s.Used() == 0
		default:
			l.After(5*time.Millisecond, func() {})
			return false
		}
	})
	if !bytes.Equal(got, want) {
		t.Errorf("%d bytes of %d came", len(got), len(want))
	}
}

// A peer that takes a little now and then gets all of it, however long that lasts; one that takes nothing is let go,
// and the request on it has provably not gone out.
func TestSlowReader(t *testing.T) {
	defer func(before time.Duration) { writeWithin = before }(writeWithin)
	writeWithin = 10 * time.Millisecond
	l := NewLoop(time.Now())
	s := l.NewQuota(10)
	near, far := net.Pipe()
	want := bytes.Repeat([]byte("answer"), 1000)
	s.Adopt(near, &owner{}).Write(want)
	got := make(chan []byte, 1)
	go func() {
		var all []byte
		for b := make([]byte, 100); len(all) < len(want); time.Sleep(time.Millisecond) {
			n, err := far.Read(b)
			if all = append(all, b[:n]...); err != nil {
				break
			}
		}
		got <- all
	}()
	await(l, "the answer", func() bool {
		l.After(time.Millisecond, func() {})
		return len(got) == 1
	})
	if all := <-got; !bytes.Equal(all, want) {
		t.Errorf("%d bytes of %d came", len(all), len(want))
	}
	near, _ = net.Pipe()
	o := &owner{}
	s.Adopt(near, o).Write(want)
	await(l, "the end", func() bool { return len(o.seen) > 0 })
	if o.seen[0] != NotWritten.String() {
		t.Errorf("one that takes nothing: %v", o.seen)
	}
}

// An aborted connection attempt sends nothing and tells nothing.
func TestCloseWhileComingUp(t *testing.T) {
	l := NewLoop(time.Now())
	s := l.NewQuota(10)
	addr, shut := peer(func(c net.Conn) {})
	defer shut()
	o := &owner{}
	s.Dial(addr, time.Second, o).Close()
	await(l, "the descriptor", func() bool { return s.Used() == 0 })
	if len(o.seen) > 0 {
		t.Errorf("the owner was told: %v", o.seen)
	}
}

// For want of descriptors those go on which nothing is to come, then those that have said nothing for a while, then those
// that have stopped in the midst, then idle ones, then those that have begun; never one that is in use. A byte is progress.
func Example_spare() {
	defer func(a, b time.Duration) { young, stalled = a, b }(young, stalled)
	young, stalled = 20*time.Millisecond, 60*time.Millisecond
	l := NewLoop(time.Now())
	s := l.NewQuota(8)
	addr, shut := peer(func(c net.Conn) { io.Copy(io.Discard, c) })
	defer shut()
	uses := []State{StateIdle, StateActive, StateReading, StateFinished, StateNew, StateReading}
	var owners []*owner
	var conns []*Conn
	for _, use := range uses {
		o := &owner{}
		c := s.Dial(addr, time.Second, o)
		await(l, "the connection", func() bool { return len(o.seen) > 0 })
		c.SetState(use)
		owners, conns = append(owners, o), append(conns, c)
	}
	later := false
	l.After(80*time.Millisecond, func() { later = true })
	await(l, "some time", func() bool { return later })
	conns[5].SetState(StateReading) // progress
	young0 := &owner{}
	c := s.Dial(addr, time.Second, young0)
	await(l, "the last", func() bool { return len(young0.seen) > 0 })
	c.SetState(StateNew)
	owners = append(owners, young0)
	for keep := range 8 {
		// What goes does so once all that was read of it is in.
		l.After(0, func() {})
		await(l, "those that go", func() bool { s.EnsureFree(keep); return len(s.parting) == 0 })
		fmt.Print(s.EnsureFree(keep), " ", s.Used())
		for i, o := range owners {
			if len(o.seen) > 1 {
				fmt.Print(" ", []string{"idle", "busy", "stopped", "done", "mute", "begun", "new"}[i])
			}
		}
		fmt.Println()
	}
	// Output:
	// true 7
	// true 6 done
	// true 5 done mute
	// true 4 stopped done mute
	// true 3 idle stopped done mute
	// true 2 idle stopped done mute new
	// true 1 idle stopped done mute begun new
	// false 1 idle stopped done mute begun new
}

// A peer that sends without end after it was refused gets its answer whole, costs the loop no turns, and ends in time.
func TestQuitSwallows(t *testing.T) {
	l := NewLoop(time.Now())
	s := l.NewQuota(10)
	got := make(chan string, 1)
	addr, shut := peer(func(c net.Conn) {
		go func() {
			for {
				if _, err := c.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}()
		time.Sleep(20 * time.Millisecond)
		b, _ := io.ReadAll(c)
		got <- string(b)
	})
	defer shut()
	turns := 0
	s.Dial(addr, time.Second, &owner{read: func(c *Conn) { c.Write([]byte("too large")); c.CloseAfterFlush() }})
	await(l, "the end", func() bool { turns++; return s.Used() == 0 })
	if text := <-got; text != "too large" || turns > 50 {
		t.Errorf("the peer got %q, the loop took %d turns", text, turns)
	}
}

// A peer that has sent much and gone is seen to have gone as fast as its bytes can be thrown away.
func TestGoneBehindMuch(t *testing.T) {
	l := NewLoop(time.Now())
	s := l.NewQuota(10)
	s.rest = time.Hour
	near, far := net.Pipe()
	o := &owner{}
	c := s.Adopt(near, o)
	c.DiscardInput()
	go func() {
		far.Write(make([]byte, 8<<20)) // what the system may hold
		far.Close()
	}()
	await(l, "the end", func() bool { return len(o.seen) > 0 })
}

// A last answer is on its way until its peer has ended the connection, for some time at most.
func TestLastAnswerArrives(t *testing.T) {
	for name, closes := range map[string]bool{"its peer ends": true, "its peer stays": false} {
		t.Run(name, func(t *testing.T) {
			l := NewLoop(time.Now())
			s := l.NewQuota(10)
			may := make(chan bool)
			addr, shut := peer(func(c net.Conn) {
				io.ReadAll(c)
				if <-may; closes {
					c.Close()
				}
			})
			defer shut()
			up := &owner{}
			c := s.Dial(addr, time.Second, up)
			await(l, "the connection", func() bool { return len(up.seen) > 0 })
			c.CloseAfterFlush()
			if s.AllFlushed() {
				t.Error("at once")
			}
			close(may)
			began := l.Now()
			await(l, "the end", func() bool { l.After(time.Millisecond, func() {}); return s.AllFlushed() })
			if took := l.Now() - began; closes != (s.Used() == 0) || !closes && took < arrives {
				t.Errorf("after %v, %d in use", took, s.Used())
			}
		})
	}
}

// No connection holds small writes back: a close over unread bytes would take them along.
func TestNoDelay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	loop := NewLoop(time.Now())
	s, o := loop.NewQuota(10), &owner{}
	dialled := s.Dial(l.Addr().String(), time.Second, o)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	await(loop, "the connection", func() bool { return len(o.seen) > 0 })
	f, err := accepted.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	inherited, err := net.FileConn(f)
	if err != nil {
		t.Fatal(err)
	}
	for name, nc := range map[string]net.Conn{"dialled": dialled.net, "accepted": accepted, "inherited": inherited} {
		raw, err := nc.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) {
			if on, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY); on == 0 || err != nil {
				t.Error(name, on, err)
			}
		})
	}
}

// Alarms ring in order, a stopped one not at all, also when it is stopped by another that rings first.
func Example_alarms() {
	l := NewLoop(time.Now())
	var b *Timer
	l.After(3*time.Millisecond, func() { fmt.Println("last"); l.Stop() })
	l.After(time.Millisecond, func() { fmt.Println("first"); b.Stop() })
	b = l.After(2*time.Millisecond, func() { fmt.Println("stopped") })
	l.After(time.Millisecond, func() { fmt.Println("second") })
	l.Run(func() {})
	b.Stop()
	// Output:
	// first
	// second
	// last
}
