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

// A client that closes its connection abandons its invocation. A request with an identifier in use
// is rejected. Invocations beyond the limit in flight are shed. An invocation that the decision
// module does not answer fails after its deadline.
func Example_disconnectedAndOverdue() {
	loop, server, addr, closeListener := newTestServer(2)
	defer closeListener()
	send := func(text string) net.Conn {
		client := dial(addr)
		client.Write([]byte(text))
		return client
	}
	client := send(requestText)
	runUntil(loop, "the request", func() bool { return server.InFlight() == 1 })
	roundTrip(loop, addr, strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1))
	client.Close()
	runUntil(loop, "the disconnect", func() bool { return server.InFlight() == 0 })
	roundTrip(loop, addr, strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1)) // an attempt may still be in flight
	server.ReleaseID("9b1f", false)
	client = send(requestText)
	runUntil(loop, "the request again", func() bool { return server.InFlight() == 1 })
	closing := strings.Replace(requestText, "X-Caller: oak", "Connection: close", 1)
	roundTrip(loop, addr, strings.NewReplacer("9b1f", "9b20", "2.500", "0.010").Replace(closing))
	send(strings.Replace(requestText, "9b1f", "9b21", 1))
	runUntil(loop, "the second request", func() bool { return server.InFlight() == 2 })
	roundTrip(loop, addr, strings.Replace(closing, "9b1f", "9b22", 1))
	client.Close()
	fmt.Printf("%+v %+v\n", server.Counts, server.Ledger.Totals(0, 0).Classes)
	// Output:
	// request 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// invocation 1: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// dispatch.ClientDisconnected{Invocation:1}
	// "409 Conflict\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request 9b1f POST /render/7f3a?x=1 [{X-Call-Id 9b1f}] body
	// invocation 2: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// request 9b20 POST /render/7f3a?x=1 [{X-Call-Id 9b20}] body
	// invocation 3: operation 0 tenant 0 slots 2 hint 0.25 budget 0s
	// dispatch.ClientDisconnected{Invocation:3}
	// "500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// request 9b21 POST /render/7f3a?x=1 [{X-Call-Id 9b21}] body
	// invocation 4: operation 0 tenant 1 slots 2 hint 0.25 budget 2.5s
	// "503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// {Connections:7 Overdue:1 Malformed:2 Shed:1 ReadTimeouts:0} [{Name:render Admitted:5 Completed:[0 1 1 1 0]} {Name:sale Admitted:0 Completed:[0 0 0 0 0]}]
}

// If clients disconnect while the event loop is busy, none of their invocations may be forwarded,
// no matter which tasks are queued for the loop. So ClientWaiting asks the kernel.
func TestClientWaitingAsksKernel(t *testing.T) {
	for name, disconnect := range map[string]func(client *net.TCPConn){
		"close":                  func(client *net.TCPConn) { client.Close() },
		"half close":             func(client *net.TCPConn) { client.CloseWrite() },
		"reset":                  func(client *net.TCPConn) { client.SetLinger(0); client.Close() },
		"close behind its bytes": func(client *net.TCPConn) { client.Write(make([]byte, 10000)); client.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			loop, server, addr, closeListener := newTestServer(36)
			defer closeListener()
			disconnected := 0
			server.OnRequest = func(*workers.Invocation, int) {}
			server.OnEvent = func(e dispatch.Event) {
				if _, ok := e.(dispatch.ClientDisconnected); ok {
					disconnected++
				}
			}
			var clients []*net.TCPConn
			for n := range 30 {
				client := dial(addr)
				defer client.Close()
				client.Write([]byte(strings.Replace(requestText, "9b1f", fmt.Sprint("id", n), 1)))
				clients = append(clients, client.(*net.TCPConn))
			}
			runUntil(loop, "all in flight", func() bool { return server.InFlight() == len(clients) })
			for _, client := range clients[1:] {
				disconnect(client)
			}
			end := time.Now().Add(5 * time.Second) // time for the disconnects to arrive; the loop is not running
			waiting := 0
			for _, inv := range server.Unanswered() {
				for poll := server.Unanswered()[0] != inv || waiting > 0; poll && server.ClientWaiting(inv) && time.Now().Before(end); {
				}
				if server.ClientWaiting(inv) {
					waiting++
				}
			}
			if waiting != 1 || disconnected != len(clients)-1 || server.InFlight() != 1 {
				t.Errorf("%d waiting, %d disconnected, %d in flight, want 1 waiting and in flight, all others disconnected",
					waiting, disconnected, server.InFlight())
			}
			runUntil(loop, "the queued tasks", func() bool {
				loop.After(time.Millisecond, func() {})
				return server.quota.Used() == 1
			})
			if disconnected != len(clients)-1 {
				t.Errorf("%d disconnects reported, want one for each client that disconnected", disconnected)
			}
		})
	}
}

// If the client disconnects just after the connection to the worker has been established, nothing
// is forwarded, even if the event loop handles the new connection first.
func TestClientDisconnectsAsWorkerConnects(t *testing.T) {
	loop, server, addr, closeListener := newTestServer(10)
	defer closeListener()
	worker, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	transport := workers.NewTransport(loop, server.deployment, loop.NewQuota(4))
	id := netip.MustParseAddrPort(worker.Addr().String())
	setState := func(state dispatch.EndpointState) {
		transport.ApplyUpdate(discovery.Update{Kind: dispatch.DeltaUpdate, Workers: []discovery.Worker{{UID: "s-1", Address: id.String(),
			Endpoint: dispatch.Endpoint{Worker: id, State: state}}}})
	}
	setState(dispatch.Ready)
	transport.AwaitsAnswer = server.AwaitsAnswer
	transport.ClientWaiting = server.ClientWaiting
	transport.OnWritten = func() {}
	var outcomes []dispatch.Event
	transport.OnEvent = func(e dispatch.Event) { outcomes = append(outcomes, e) }
	var invocation *workers.Invocation
	server.OnEvent = func(dispatch.Event) {}
	server.OnRequest = func(admitted *workers.Invocation, _ int) {
		invocation = admitted
		transport.Invariants.RequestAdmitted(invocation.Number, invariant.RequestLimits{})
	}
	client := dial(addr)
	client.Write([]byte(requestText))
	runUntil(loop, "the request", func() bool { return server.InFlight() == 1 })
	transport.Forward(invocation, 0, id, 0)
	workerSide, err := worker.Accept()
	if err != nil {
		t.Fatal(err)
	}
	client.Close()
	runUntil(loop, "the close", func() bool { return len(outcomes) == 1 })
	if outcome := outcomes[0].(dispatch.Outcome); outcome.Result != dispatch.NotSent || !outcome.Answered {
		t.Errorf("outcome %+v, want NotSent and Answered", outcome)
	}
	setState(dispatch.Gone)
	if b, err := io.ReadAll(workerSide); len(b) > 0 || err != nil {
		t.Errorf("the worker received %q with error %v, want nothing and no error", b, err)
	}
}
