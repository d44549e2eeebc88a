package workers

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/http1"
)

// Where nobody cancels, a connection may come up for an invocation whose client has left or has its answer: nothing goes out.
func Example_comingUpForNobody() {
	s := perform()
	s.Forward(s.job(1), 0, s.id)
	s.closed[1] = true // before the loop hears that the connection stands
	s.until(1, 0)
	s.answered()
	fmt.Println("idle:", len(s.byUID["s-1"].idle), "heard:", len(s.heard))
	// Output:
	// inv 1 forward 0 ends: 7 closed=true load=false
	// idle: 1 heard: 0
}

// A repeat's window passes while its connection comes up, or before it is written: nothing goes out, and it has not run. The
// connection is kept.
func Example_comingUpPastTheWindow() {
	s := perform(took)
	s.Transport.Forward(s.job(1), 1, s.id, time.Nanosecond)
	s.until(1, 0)
	fmt.Println("idle:", len(s.byUID["s-1"].idle), "heard:", len(s.heard))
	s.Transport.Forward(s.job(1), 2, s.id, time.Nanosecond) // over the one that stands
	s.until(1, 0)
	s.Transport.Forward(s.job(2), 1, s.id, s.loop.Now()+time.Hour)
	s.until(1, 1)
	// Output:
	// inv 1 forward 1 ends: 7 closed=false load=false
	// idle: 1 heard: 0
	// inv 1 forward 2 ends: 7 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 1: taken=true started=false done=0
}

// A worker that moves while a connection to it comes up may have left its old address to another.
func Example_comingUpElsewhere() {
	s, other := perform(), perform(took)
	s.Forward(s.job(1), 0, s.id)
	s.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: other.id.String(),
		Endpoint: dispatch.Endpoint{Worker: s.id, State: dispatch.Ready}}}})
	s.until(1, 1)
	fmt.Println("heard at the old address:", len(s.heard))
	s.heard = other.heard
	s.Forward(s.job(2), 0, s.id)
	s.until(1, 1)
	// Output:
	// connection 1 ends
	// inv 1 forward 0 ends: 4 closed=false load=false
	// heard at the old address: 0
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0: taken=true started=false done=0
}

// A second answer to one request, some milliseconds late, is none to the next: work that it would set free to be sent again, or
// outside the group and the window of its first attempt, goes over a connection that has rested.
func Example_strayAnswer() {
	for _, effect := range []dispatch.Effect{dispatch.Deduplicated, dispatch.NonIdempotent} {
		s := perform(took, "", took)
		s.Forward(s.job(1), 0, s.id)
		s.until(1, 1)
		j := s.job(2)
		j.Effect = effect
		s.Forward(j, 0, s.id)
		s.until(0, 1)
		s.say(1, turns)
		s.settle("the end of the connection that strays", func() bool { return len(s.byUID["s-1"].idle) == 0 })
		s.until(0, 1)
		s.say(2, took)
		s.until(1, 0)
		// Rested, it is used again.
		s.byUID["s-1"].idle[0].parked -= strayMost
		j = s.job(3)
		j.Effect = effect
		s.Forward(j, 0, s.id)
		s.until(1, 1)
	}
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// connection 1 ends
	// inv 2 forward 0: taken=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// inv 3 forward 0: taken=true started=false done=0
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// connection 1 ends
	// inv 2 forward 0: taken=true started=false done=0
	// connection 2: POST /render/7f HTTP/1.1 id3 body
	// inv 3 forward 0: taken=true started=false done=0
}

// What its worker has begun has run, whatever the worker or the connection says later.
func Example_begunBefore() {
	s := perform(took, "", "")
	s.Forward(s.job(1), 0, s.id)
	s.until(1, 1)
	s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "started"})
	s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "returned"})
	s.until(2, 0)
	s.Forward(s.job(2), 0, s.id) // news comes before the answer
	s.until(0, 1)
	s.HandleCallback(Callback{ID: "id2", From: "s-1", State: "running", Share: 0.1})
	s.say(1, turns)
	s.until(2, 0)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// inv 1 forward 0: taken=false started=true done=0
	// inv 1 forward 0 ends: 5 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0: taken=false started=false done=0.1
	// inv 2 forward 0 ends: 5 closed=false load=true
}

// An answer overtakes the word that its request has gone out, and the connection ends in one of three ways: more bytes
// come, it breaks, or the word never comes. The ask ends once.
func TestAnswerBeforeTheRequestIsOut(t *testing.T) {
	for name, then := range map[string]func(net.Conn){
		"more bytes":     func(c net.Conn) { c.Write([]byte(turns)) },
		"it breaks":      func(c net.Conn) { c.Close() },
		"nothing at all": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := perform()
			near, far := net.Pipe() // takes nothing that is not read: the request can't go out
			defer far.Close()
			var ends []string
			c := &connection{fleet: s.Transport, worker: s.byUID["s-1"], endpoint: s.byUID["s-1"].endpoint, parser: http1.Parser{Answers: true}}
			c.exchange = &exchange{request: unbounded([]byte("GET / HTTP/1.1\r\n\r\n")), done: func(m *http1.Message, e conn.CloseReason) {
				ends = append(ends, fmt.Sprint(m.Status, " ", e))
			}}
			c.socket = s.share.Adopt(near, c)
			c.send()
			go func() { far.Write([]byte(turns)) }()
			s.settle("the early answer", func() bool { return c.earlyAnswer != nil })
			go then(far)
			s.settle("the end", func() bool { return len(ends) > 0 })
			over := false // an alarm that was left would ring by then
			s.loop.After(2*earlyMost, func() { over = true })
			s.settle("any alarm", func() bool { return over })
			if got := strings.Join(ends, ", "); got != "503 open" || s.share.Used() != 0 || len(c.worker.idle) > 0 {
				t.Error(got, "sockets:", s.share.Used(), "idle:", len(c.worker.idle))
			}
		})
	}
}

// A connection that does not come up is not waited for alone: the next one has the request, once, and the late one is kept.
func Example_lateConnection() {
	s := perform(took, took)
	moves := func(to netip.AddrPort) {
		s.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: to.String(),
			Endpoint: dispatch.Endpoint{Worker: s.id, State: dispatch.Ready}}}})
	}
	addr, drain := jammed(s)
	moves(addr)
	s.site.ConnectTimeout = 2500 * time.Millisecond // the kernel tries again after a second
	s.Forward(s.job(1), 0, s.id)
	for !comesUp(addr) {
		time.Sleep(time.Millisecond)
	}
	drain()
	s.until(1, 1)
	fmt.Println("dialled:", s.Counts.Dialled)
	s.settle("the late one", func() bool { return len(s.byUID["s-1"].idle) == 2 })
	fmt.Println("sockets:", s.share.Used(), "heard:", len(s.heard), "out:", s.InFlight())
	// Given up while none is up: all of them end.
	addr, _ = jammed(s)
	moves(addr)
	s.Forward(s.job(2), 0, s.id)
	s.settle("more dials", func() bool { return s.Counts.Dialled == 2+dialsMost })
	s.Cancel(2, 0)
	given := s.loop.Now()
	s.settle("sockets", func() bool { return s.share.Used() == 0 })
	s.until(1, 0)
	fmt.Println("at once:", s.loop.Now()-given < time.Second)
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// dialled: 2
	// sockets: 2 heard: 0 out: 1
	// inv 2 forward 0 ends: 6 closed=false load=false
	// at once: true
}

// comesUp tells whether a connection to an address has been asked for and does not stand.
func comesUp(to netip.AddrPort) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		panic(err)
	}
	return strings.Contains(string(table), fmt.Sprintf(" 0100007F:%04X 02 ", to.Port()))
}

// jammed is an address in front of the stage's worker at which no connection comes up until its queue is drained.
func jammed(s *stage) (addr netip.AddrPort, drain func()) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		panic(err)
	}
	name, _ := unix.Getsockname(fd)
	addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	behind := s.id.String()
	if _, err := net.Dial("tcp", addr.String()); err != nil { // it has the one place
		panic(err)
	}
	return addr, func() {
		go func() {
			for first := true; ; first = false {
				client, _, err := unix.Accept(fd)
				if err != nil {
					return
				}
				f := os.NewFile(uintptr(client), "accepted")
				near, err := net.FileConn(f)
				f.Close()
				if err != nil {
					panic(err)
				}
				if first {
					near.Close()
					continue
				}
				far, err := net.Dial("tcp", behind)
				if err != nil {
					panic(err)
				}
				go func() { io.Copy(far, near); far.Close() }()
				go func() { io.Copy(near, far); near.Close() }()
			}
		}()
	}
}

// What an attempt tells its worker of the time left is counted when it is written, by the clock and not by the loop's present
// moment, and nothing is written once that is over.
func Example_timeTold() {
	s := perform()
	j := s.job(1)
	s.Forward(j, 0, s.id)
	request := s.byNumber[attemptKey{1, 0}].exchange.request
	for _, late := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 0} { // the connection takes so long
		j.Deadline -= late
		most := j.Deadline - s.loop.Clock()
		message := request()
		if why := message.Allowed(); why != conn.Open {
			fmt.Println(why)
			continue
		}
		least := j.Deadline - s.loop.Clock()
		_, text, _ := strings.Cut(string(message.Bytes), "X-Budget: ")
		text, _, _ = strings.Cut(text, "\r\n")
		seconds, err := strconv.ParseFloat(text, 64)
		told := time.Duration(seconds * float64(time.Second))
		exact := err == nil && told <= most.Round(time.Millisecond) && told >= least.Round(time.Millisecond)
		fmt.Println(message.Until == j.Deadline, most.Round(time.Second), exact)
	}
	fmt.Println("stopped:", s.Counts.Stopped)
	// Output:
	// true 5s true
	// true 3s true
	// not sent
	// not sent
	// stopped: map[timeout:2]
}

// A worker that is in another zone or cell, or has started anew, when a connection to it comes up is not the one that was
// chosen: what may go there, and how much, has changed.
func Example_comingUpChanged() {
	for _, change := range []func(*dispatch.Endpoint){
		func(*dispatch.Endpoint) {},
		func(e *dispatch.Endpoint) { e.Zone++ },
		func(e *dispatch.Endpoint) { e.Cell++ },
		func(e *dispatch.Endpoint) { e.StartKnown, e.Incarnation = true, 7 },
	} {
		s := perform(took)
		s.Forward(s.job(1), 0, s.id)
		e := dispatch.Endpoint{Worker: s.id, State: dispatch.Ready}
		change(&e)
		s.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: s.id.String(), Endpoint: e}}})
		s.until(1, 0)
	}
	// Output:
	// inv 1 forward 0: taken=true started=false done=0
	// inv 1 forward 0 ends: 4 closed=false load=false
	// inv 1 forward 0 ends: 4 closed=false load=false
	// inv 1 forward 0 ends: 4 closed=false load=false
}

// News of an earlier forward to the same worker comes again while a connection for the next one comes up. It ends nothing that
// has not gone out; a result is one all the same, and then nothing goes out.
func Example_newsOfBefore() {
	first := func(s *stage, j *Invocation) {
		s.Forward(j, 0, s.id)
		s.until(1, 1)
		s.HandleCallback(Callback{ID: j.ID, From: "s-1", State: "returned"})
		s.byUID["s-1"].shutIdle()
		s.until(1, 1)
		s.Forward(j, 1, s.id)
	}
	s := perform(took, took)
	first(s, s.job(1))
	for _, state := range []string{"started", "returned", "failed", "lost"} {
		s.HandleCallback(Callback{ID: "id1", From: "s-1", State: state})
	}
	s.until(1, 1)
	fmt.Println("out:", s.InFlight(), "strange:", s.Counts.Strange)
	s = perform(took)
	first(s, s.job(2))
	s.HandleCallback(Callback{ID: "id2", From: "s-1", State: "done", Result: result("fine")})
	s.until(1, 0)
	s.settle("no connection", func() bool { return s.share.Used() == 0 })
	fmt.Println("out:", s.InFlight(), "dials that went on:", len(s.byUID["s-1"].idle))
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// connection 1 ends
	// inv 1 forward 0 ends: 2 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 1: taken=true started=false done=0
	// out: 1 strange: 4
	// connection 1: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0: taken=true started=false done=0
	// connection 1 ends
	// inv 2 forward 0 ends: 2 closed=false load=false
	// to the client: 2 fine
	// inv 2 forward 1 ends: 0 closed=true load=false
	// out: 0 dials that went on: 0
}

// A worker that has given work back, has got it again and says once more that it gives it back may mean the first time. What
// must never run twice is not free to go on then, and what workers drop repeats of keeps its group and window.
func Example_givenBackTwice() {
	for _, effect := range []dispatch.Effect{dispatch.Idempotent, dispatch.Deduplicated, dispatch.NonIdempotent} {
		s := perform(took, took)
		j := s.job(1)
		j.Effect = effect
		for fwd := range 2 {
			s.Forward(j, fwd, s.id)
			s.until(1, 1)
			s.byUID["s-1"].idle[0].parked -= strayMost
			s.HandleCallback(Callback{ID: "id1", From: "s-1", State: "returned"})
			s.until(1, 0)
		}
	}
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// inv 1 forward 0 ends: 2 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 1: taken=true started=false done=0
	// inv 1 forward 1 ends: 2 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// inv 1 forward 0 ends: 2 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 1: taken=true started=false done=0
	// inv 1 forward 1 ends: 5 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0: taken=true started=false done=0
	// inv 1 forward 0 ends: 2 closed=false load=false
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 1: taken=true started=false done=0
	// inv 1 forward 1 ends: 5 closed=false load=false
}

// An answer that breaks off, in its head, body, a chunk or between chunks, is no word on the request, which may have run; one
// that never ends is waited for until the client timeout, and its connection ends.
func Example_brokenOff() {
	parts := []string{"HTTP/1.1 20-", "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\n-",
		"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 9\r\n\r\nhalf-",
		"HTTP/1.1 400 Bad Request\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal-",
		"HTTP/1.1 400 Bad Request\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n-"}
	s := perform(append(parts, "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf")...)
	for n := range parts {
		s.Forward(s.job(dispatch.InvocationID(1+n)), 0, s.id)
		s.until(1, 1)
	}
	j := s.job(9)
	j.Deadline = s.loop.Now() + 300*time.Millisecond
	s.Forward(j, 0, s.id)
	s.until(1, 2)
	fmt.Println("sockets:", s.share.Used())
	// Output:
	// connection 1: POST /render/7f HTTP/1.1 id1 body
	// inv 1 forward 0 ends: 5 closed=false load=false
	// connection 2: POST /render/7f HTTP/1.1 id2 body
	// inv 2 forward 0 ends: 5 closed=false load=false
	// connection 3: POST /render/7f HTTP/1.1 id3 body
	// inv 3 forward 0 ends: 5 closed=false load=false
	// connection 4: POST /render/7f HTTP/1.1 id4 body
	// inv 4 forward 0 ends: 5 closed=false load=false
	// connection 5: POST /render/7f HTTP/1.1 id5 body
	// inv 5 forward 0 ends: 5 closed=false load=false
	// connection 6: POST /render/7f HTTP/1.1 id9 body
	// connection 6 ends
	// inv 9 forward 0 ends: 3 closed=false load=false
	// sockets: 0
}

// A kept connection that its worker has ended, or on which half a line stands, is not used, also where nobody has read that
// yet: the request would be lost, or take the rest of that line for its answer.
func TestUnreadOnKeptConnection(t *testing.T) {
	for name, does := range map[string]func(*stage){
		"an end":      func(s *stage) { s.mu.Lock(); s.conns[0].Close(); s.mu.Unlock() },
		"half a line": func(s *stage) { s.say(1, "HTTP/1.1 20") },
	} {
		t.Run(name, func(t *testing.T) {
			s := perform(took, took)
			taken := 0
			s.OnEvent = func(e dispatch.Event) {
				if sign, is := e.(dispatch.AttemptProgress); is && sign.Accepted {
					taken++
				} else {
					t.Errorf("%+v", e)
				}
			}
			s.Forward(s.job(1), 0, s.id)
			s.settle("the first", func() bool { return taken == 1 })
			does(s) // and the loop does not run
			kept := s.byUID["s-1"].idle[0].socket
			for end := time.Now().Add(5 * time.Second); !kept.Readable(); {
				if time.Now().After(end) {
					t.Fatal("nothing comes")
				}
			}
			s.Forward(s.job(2), 0, s.id)
			s.settle("the second", func() bool { return taken == 2 })
			if s.Counts.Dialled != 2 {
				t.Error("dialled: ", s.Counts.Dialled)
			}
		})
	}
}
