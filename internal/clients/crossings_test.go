package clients

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/invariant"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

// A request whose bytes have been read, and wait in the loop's inbox, is served, whatever ends idle connections at that
// moment: a stop, the wait for a first word, or want of descriptors.
func TestReadWhenIdleConnectionsEnd(t *testing.T) {
	for name, ends := range map[string]func(d *Server, v *connection){
		"a stop":         func(d *Server, _ *connection) { behavior.ClosesIdle = true; d.ApplyBehavior() },
		"the first word": func(_ *Server, v *connection) { v.readDeadlineExceeded() },
		"descriptors":    func(d *Server, _ *connection) { d.quota.Resize(0) },
		"a kept one": func(d *Server, v *connection) {
			v.conn.SetState(conn.StateIdle)
			d.quota.Resize(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, d, _, shut := newTestServer(10)
			defer shut()
			near, far := net.Pipe()
			defer far.Close()
			accepted{server: d, conn: near}.Run()
			var v *connection
			for v = range d.connections {
				v.acceptedAt -= firstRequestGrace
			}
			far.Write([]byte(requestText)) // has been read when this returns, and the loop does not run
			ends(d, v)
			answer := make(chan string, 1)
			go func() {
				b := make([]byte, 1024)
				n, err := far.Read(b)
				answer <- fmt.Sprint(string(b[:n]), err)
			}()
			got := ""
			l.After(0, func() {})
			runUntil(l, "an answer", func() bool {
				for _, inv := range d.Unanswered() {
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
	l, d, addr, shut := newTestServer(10)
	defer shut()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte(requestText))
	runUntil(l, "the job", func() bool { return d.InFlight() == 1 })
	began := l.Now()
	go func() {
		c.Write(make([]byte, 1<<20))
		c.Close()
	}()
	turns := 0
	runUntil(l, "its client to leave", func() bool { turns++; return d.InFlight() == 0 })
	if took := l.Now() - began; d.Counts.Overdue > 0 || took > 300*time.Millisecond || turns > 20 {
		t.Errorf("seen after %v in %d turns, %d overdue", took, turns, d.Counts.Overdue)
	}
}

// A client that has gone before its request was read is not taken in: it would be sent on at once, however long ago that was.
func Example_leftUnread() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	c.Write([]byte(requestText))
	c.Close() // the loop does not run yet
	runUntil(l, "the end of the connection", func() bool { return d.Counts.Connections == 1 && d.quota.Used() == 0 })
	fmt.Println("taken:", d.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// taken: 0
}

// Clients leave together while the loop has no time for them. None of their invocations may be sent on, whatever stands in the
// inbox: at the moment of a send the kernel tells.
func TestLeaveUnheard(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"close":                  func(c *net.TCPConn) { c.Close() },
		"half close":             func(c *net.TCPConn) { c.CloseWrite() },
		"reset":                  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"close behind its bytes": func(c *net.TCPConn) { c.Write(make([]byte, 10000)); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			l, d, addr, shut := newTestServer(36)
			defer shut()
			withdrawn := 0
			d.OnRequest, d.OnEvent = func(*workers.Invocation, int) {}, func(e dispatch.Event) {
				if _, is := e.(dispatch.ClientDisconnected); is {
					withdrawn++
				}
			}
			var all []*net.TCPConn
			for n := range 30 {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.Write([]byte(strings.Replace(requestText, "9b1f", fmt.Sprint("id", n), 1)))
				all = append(all, c.(*net.TCPConn))
			}
			runUntil(l, "those in hand", func() bool { return d.InFlight() == len(all) })
			for _, c := range all[1:] {
				leave(c)
			}
			end := time.Now().Add(5 * time.Second) // for the network; the loop does not run
			stays := 0
			for _, inv := range d.Unanswered() {
				for wait := d.Unanswered()[0] != inv || stays > 0; wait && d.ClientWaiting(inv) && time.Now().Before(end); {
				}
				if d.ClientWaiting(inv) {
					stays++
				}
			}
			if stays != 1 || withdrawn != len(all)-1 || d.InFlight() != 1 {
				t.Errorf("%d stay, %d withdrawn, %d in hand", stays, withdrawn, d.InFlight())
			}
			runUntil(l, "the notes", func() bool { l.After(time.Millisecond, func() {}); return d.quota.Used() == 1 })
			if withdrawn != len(all)-1 {
				t.Errorf("%d withdrawn", withdrawn)
			}
		})
	}
}

// The same over a whole way: a connection to a worker is up, its client leaves, and the loop meets the connection first.
func TestLeavesAsConnectionComesUp(t *testing.T) {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	worker, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	f := workers.NewTransport(l, d.deployment, l.NewQuota(4))
	id := netip.MustParseAddrPort(worker.Addr().String())
	stand := func(s dispatch.EndpointState) {
		f.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: id.String(),
			Endpoint: dispatch.Endpoint{Worker: id, State: s}}}})
	}
	stand(dispatch.Ready)
	f.AwaitsAnswer, f.ClientWaiting, f.OnWritten = d.AwaitsAnswer, d.ClientWaiting, func() {}
	var ends []dispatch.Event
	f.OnEvent = func(e dispatch.Event) { ends = append(ends, e) }
	var j *workers.Invocation
	d.OnRequest, d.OnEvent = func(given *workers.Invocation, _ int) {
		j = given
		f.Invariants.RequestAdmitted(j.Number, invariant.RequestLimits{})
	}, func(dispatch.Event) {}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte(requestText))
	runUntil(l, "the job", func() bool { return d.InFlight() == 1 })
	f.Forward(j, 0, id, 0)
	far, err := worker.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	runUntil(l, "the end", func() bool { return len(ends) == 1 })
	if o := ends[0].(dispatch.Outcome); o.Result != dispatch.NotSent || !o.Answered {
		t.Errorf("%+v", o)
	}
	stand(dispatch.Gone)
	if b, err := io.ReadAll(far); len(b) > 0 || err != nil {
		t.Errorf("the worker got %q, %v", b, err)
	}
}

// A client that has left behind bytes which nobody has read is not taken in.
func Example_leftBehindUnread() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	pad := "X-Pad: " + strings.Repeat("x", 256-len(requestText)-len("X-Pad: \r\n")) // the first read ends with the request
	c.Write([]byte(strings.Replace(requestText, "X-Budget", pad+"\r\nX-Budget", 1) + strings.Repeat("more", 1000)))
	c.Close() // the loop does not run yet
	runUntil(l, "the end of the connection", func() bool { return d.Counts.Connections == 1 && d.quota.Used() == 0 })
	fmt.Println("taken:", d.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// taken: 0
}

// A client closes with its request's body half in, or half its head: nothing is taken.
func Example_leavesInRequest() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	for n, part := range []string{requestText[:len(requestText)-2], requestText[:50], strings.Replace(requestText, "Content-Length: 4\r\n\r\nbody",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", 1)} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		c.Write([]byte(part))
		runUntil(l, "half a request", func() bool {
			for v := range d.connections {
				return v.parser.Started()
			}
			return false
		})
		c.Close()
		runUntil(l, "the end of the connection", func() bool { return d.Counts.Connections == n+1 && d.quota.Used() == 0 })
	}
	fmt.Println("taken:", d.Ledger.Totals(0, 0).Classes[0].Admitted)
	// Output:
	// taken: 0
}

// A request that comes between the last read of an idle connection and its close, and that nobody has read, is served: closing
// over it would reset the connection.
func TestUnreadWhenIdleConnectionsEnd(t *testing.T) {
	for name, ends := range map[string]func(d *Server){
		"a stop":      func(d *Server) { behavior.ClosesIdle = true; d.ApplyBehavior() },
		"descriptors": func(d *Server) { d.quota.Resize(0) },
	} {
		t.Run(name, func(t *testing.T) {
			l, d, addr, shut := newTestServer(10)
			defer shut()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			runUntil(l, "the connection", func() bool { return len(d.connections) == 1 })
			var v *connection
			for v = range d.connections {
				v.acceptedAt -= firstRequestGrace
				v.conn.SetState(conn.StateIdle)
			}
			ends(d) // the reading has been stopped, and the loop does not run
			c.Write([]byte(requestText))
			for end := time.Now().Add(5 * time.Second); !v.conn.Readable() && time.Now().Before(end); {
			}
			answer := make(chan string, 1)
			go func() {
				b := make([]byte, 1024)
				n, err := c.Read(b)
				answer <- fmt.Sprint(string(b[:n]), err)
			}()
			got := ""
			l.After(0, func() {})
			runUntil(l, "an answer", func() bool {
				for _, inv := range d.Unanswered() {
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

// A connection that comes just before the end has its request served; who has come and says nothing goes with the others.
// The door is closed only once nobody is on the way in.
func Example_lastToCome() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	behavior.ClosesIdle, behavior.ExitsWhenIdle = true, true
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	defer c.Close()
	runUntil(l, "the connection", func() bool { return len(d.connections) == 1 })
	d.ApplyBehavior()
	fmt.Println("stays:", len(d.connections) == 1, "busy:", d.Busy())
	c.Write([]byte(requestText))
	runUntil(l, "its request", func() bool { return d.InFlight() == 1 })
	d.Throttle(1, 0)
	d.ApplyBehavior()
	l.After(0, func() {})
	runUntil(l, "its answer", func() bool { l.After(time.Millisecond, d.ApplyBehavior); return !d.Busy() })
	fmt.Println("in hand:", d.InFlight(), "closed at once:", d.StopAccepting())
	l.After(0, func() {})
	runUntil(l, "the listener", func() bool { l.After(time.Millisecond, d.ApplyBehavior); return d.StopAccepting() })
	d.ApplyBehavior()
	fmt.Println("nobody comes in:", !d.accepting, len(d.connections))
	// Output:
	// stays: true busy: true
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// in hand: 0 closed at once: false
	// nobody comes in: true 0
}

// pass has a connection with a job on its way to another process, which has the socket too.
func startMigration(l *conn.Loop, d *Server, addr string) (c net.Conn, p *MigratingConnection, other net.Conn) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	c.Write([]byte(requestText))
	runUntil(l, "the job", func() bool { return d.InFlight() == 1 })
	d.MigrateConnections(1, func(dispatch.InvocationID) bool { return true }, func(given *MigratingConnection) { p = given })
	l.After(0, func() {})
	runUntil(l, "the parcel", func() bool { return p != nil })
	raw, err := p.Socket.SyscallConn()
	if err != nil {
		panic(err)
	}
	raw.Control(func(fd uintptr) {
		twin, err := unix.Dup(int(fd))
		if err != nil {
			panic(err)
		}
		f := os.NewFile(uintptr(twin), "twin")
		if other, err = net.FileConn(f); err != nil {
			panic(err)
		}
		f.Close()
	})
	return c, p, other
}

// The other process hangs with a connection on its way, is given up, and goes on: there is one answer, and nothing is left of
// the connection that it could serve.
func Example_givenUpPass() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	c, p, other := startMigration(l, d, addr)
	answer := make(chan string, 1)
	go func() {
		b, err := io.ReadAll(c)
		answer <- fmt.Sprintf("%.50q %v", b, err)
	}()
	p.PeerFailed()
	l.After(0, func() {})
	got := ""
	runUntil(l, "the answer", func() bool {
		l.After(time.Millisecond, func() {})
		select {
		case got = <-answer:
		default:
		}
		return got != ""
	})
	fmt.Println(got)
	n, err := other.Read(make([]byte, 10))
	fmt.Println("the other one reads:", n, err)
	_, err = other.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	fmt.Println("and writes:", errors.Is(err, syscall.EPIPE))
	_, kept := d.AcceptMigrated(other, MigratingConnection{}, &workers.Invocation{ID: "9b1f", Deadline: time.Second}, 0, 0)
	fmt.Println("and takes it in:", kept, d.InFlight())
	// Output:
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "HTTP/1.1 500 Internal Server Error\r\nConnection: cl" <nil>
	// the other one reads: 0 EOF
	// and writes: true
	// and takes it in: false 0
}

// A client that leaves during a pass is gone wherever that ends: its invocation could be sent on before its end is read.
func Example_leavesInPass() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	c, p, other := startMigration(l, d, addr)
	c.Close()
	_, kept := d.AcceptMigrated(other, MigratingConnection{}, &workers.Invocation{ID: "9b1f", Deadline: time.Second}, 0, 0)
	fmt.Println("the other one keeps it:", kept)
	p.Returned()
	fmt.Println("in hand:", d.InFlight(), len(d.connections))
	// Output:
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// the other one keeps it: false
	// dispatch.ClientDisconnected{Invocation:1}
	// in hand: 0 0
}

// Names that are prefixes of others, or need escaping in a path: each is its own operation, by its whole name.
func Example_names() {
	l, d, addr, shut := newTestServer(10)
	defer shut()
	site, err := settings.ParseDeployment([]byte(`{"Operations": [{"Name": "gate", "Effect": "read_like"}, {"Name": "gate 7", "Effect": "read_like"},
		{"Name": "gate 7/é", "Effect": "read_like"}, {"Name": "gate%207", "Effect": "read_like"}]}`))
	if err != nil {
		panic(err)
	}
	d.Reconfigure(site)
	take := d.OnEvent
	d.OnEvent = func(e dispatch.Event) {
		take(e)
		if a, is := e.(dispatch.Arrival); is {
			d.Throttle(a.Invocation, 0)
		}
	}
	for n, names := range [][2]string{{"gate", "gate"}, {"gate 7", "gate%207"}, {"gate 7/é", "gate%207%2F%C3%A9"}, {"gate%207", "gate%25207"},
		{"gate", "gate%207"}, {"gate 7", "gate"}, {"gate 7", "gate%20%00"}} {
		roundTrip(l, addr, strings.NewReplacer("Class: render", "Class: "+names[0], "/render/", "/"+names[1]+"/", "9b1f", fmt.Sprint("id", n),
			"X-Caller: oak", "Connection: close").Replace(requestText))
	}
	// Output:
	// job id0 POST /gate/7f3a?x=1 [{X-Call-Id id0}] body
	// inv 1: operation 0 tenant 0 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job id1 POST /gate%207/7f3a?x=1 [{X-Call-Id id1}] body
	// inv 2: operation 1 tenant 0 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job id2 POST /gate%207%2F%C3%A9/7f3a?x=1 [{X-Call-Id id2}] body
	// inv 3: operation 2 tenant 0 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job id3 POST /gate%25207/7f3a?x=1 [{X-Call-Id id3}] body
	// inv 4: operation 3 tenant 0 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// "400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}
