package clients

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/discovery"
	"stoatweir/internal/invariant"
	"stoatweir/internal/workers"
)

// A client that closes has gone away; an id in hand is not taken twice; more in hand than there are descriptors for
// is refused; what the decisions forget is answered all the same, once its time is over.
func Example_disconnectedAndOverdue() {
	loop, server, addr, closeListener := newTestServer(2)
	defer closeListener()
	send := func(text string) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		c.Write([]byte(text))
		return c
	}
	c := send(requestText)
	runUntil(loop, "the job", func() bool { return server.InFlight() == 1 })
	roundTrip(loop, addr, strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1))
	c.Close()
	runUntil(loop, "its client to leave", func() bool { return server.InFlight() == 0 })
	roundTrip(loop, addr, strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1)) // a forward of it may still be out
	server.ReleaseID("9b1f", false)
	c = send(requestText)
	runUntil(loop, "the job again", func() bool { return server.InFlight() == 1 })
	closing := strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1)
	roundTrip(loop, addr, strings.NewReplacer("9b1f", "9b20", "2.500", "0.010").Replace(closing))
	send(strings.Replace(requestText, "9b1f", "9b21", 1))
	runUntil(loop, "the second job", func() bool { return server.InFlight() == 2 })
	roundTrip(loop, addr, strings.Replace(closing, "9b1f", "9b22", 1))
	c.Close()
	fmt.Printf("%+v %+v\n", server.Counts, server.Ledger.Totals(0, 0).Classes)
	// Output:
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// dispatch.ClientDisconnected{Invocation:1}
	// "409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// inv 2: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// job 9b20 POST /render/7f3a?x=1 [{X-Call-Id 9b20}] body
	// inv 3: operation 0 tenant 0 slots 2 hint 0.25 budget 0s
	// dispatch.ClientDisconnected{Invocation:3}
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// job 9b21 POST /render/7f3a?x=1 [{X-Call-Id 9b21}] body
	// inv 4: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// {Connections:7 Overdue:1 Malformed:2 Crowded:1 Silent:0} [{Name:render Admitted:5 Completed:[0 1 1 1 0]} {Name:sale Admitted:0 Completed:[0 0 0 0 0]}]
}

// Clients leave together while the loop has no time for them. None of their invocations may be sent on, whatever stands in the
// inbox: at the moment of a send the kernel tells.
func TestClientWaitingAsksKernel(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"close":                  func(c *net.TCPConn) { c.Close() },
		"half close":             func(c *net.TCPConn) { c.CloseWrite() },
		"reset":                  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"close behind its bytes": func(c *net.TCPConn) { c.Write(make([]byte, 10000)); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, addr, closeListener := newTestServer(36)
			defer closeListener()
			withdrawn := 0
			server.OnRequest, server.OnEvent = func(*workers.Invocation, int) {}, func(e dispatch.Event) {
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
			runUntil(loop, "those in hand", func() bool { return server.InFlight() == len(all) })
			for _, c := range all[1:] {
				leave(c)
			}
			end := time.Now().Add(5 * time.Second) // for the network; the loop does not run
			stays := 0
			for _, inv := range server.Unanswered() {
				for wait := server.Unanswered()[0] != inv || stays > 0; wait && server.ClientWaiting(inv) && time.Now().Before(end); {
				}
				if server.ClientWaiting(inv) {
					stays++
				}
			}
			if stays != 1 || withdrawn != len(all)-1 || server.InFlight() != 1 {
				t.Errorf("%d stay, %d withdrawn, %d in hand", stays, withdrawn, server.InFlight())
			}
			runUntil(loop, "the notes", func() bool { loop.After(time.Millisecond, func() {}); return server.quota.Used() == 1 })
			if withdrawn != len(all)-1 {
				t.Errorf("%d withdrawn", withdrawn)
			}
		})
	}
}

// The same over a whole way: a connection to a worker is up, its client leaves, and the loop meets the connection first.
func TestClientDisconnectsAsWorkerConnects(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	worker, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	f := workers.NewTransport(loop, server.deployment, loop.NewQuota(4))
	id := netip.MustParseAddrPort(worker.Addr().String())
	stand := func(s dispatch.EndpointState) {
		f.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: id.String(),
			Endpoint: dispatch.Endpoint{Worker: id, State: s}}}})
	}
	stand(dispatch.Ready)
	f.AwaitsAnswer, f.ClientWaiting, f.OnWritten = server.AwaitsAnswer, server.ClientWaiting, func() {}
	var ends []dispatch.Event
	f.OnEvent = func(e dispatch.Event) { ends = append(ends, e) }
	var j *workers.Invocation
	server.OnRequest, server.OnEvent = func(given *workers.Invocation, _ int) {
		j = given
		f.Invariants.RequestAdmitted(j.Number, invariant.RequestLimits{})
	}, func(dispatch.Event) {}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte(requestText))
	runUntil(loop, "the job", func() bool { return server.InFlight() == 1 })
	f.Forward(j, 0, id, 0)
	far, err := worker.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	runUntil(loop, "the end", func() bool { return len(ends) == 1 })
	if o := ends[0].(dispatch.Outcome); o.Result != dispatch.NotSent || !o.Answered {
		t.Errorf("%+v", o)
	}
	stand(dispatch.Gone)
	if b, err := io.ReadAll(far); len(b) > 0 || err != nil {
		t.Errorf("the worker got %q, %v", b, err)
	}
}
