package workers

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/http1"
	"stoatweir/internal/invariant"
	"stoatweir/internal/settings"
)

const (
	workerUID   = "s-1"            // UID of the fixture's worker
	testTimeout = 10 * time.Second // time after which a wait fails
)

// Responses of the fixture's worker.
const (
	acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	rejectedResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nX-Load-Report: TEXT x0=0.5\r\nContent-Length: 0\r\n\r\n"
	errorResponse    = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
)

// fixture is a transport with one worker on loopback, whose responses are scripted.
type fixture struct {
	*Transport
	loop        *conn.Loop
	id          dispatch.WorkerID
	requests    chan string // requests that the worker received, and ends of its connections
	events      int         // number of events since the last runUntil
	lines       []string    // texts of what was reported since then, in order
	mu          sync.Mutex
	workerConns []net.Conn                     // the worker's ends of connections, in order of arrival; guarded by mu
	clientDone  map[dispatch.InvocationID]bool // invocations whose client has left or has its answer
}

// newFixture starts the worker. Each request is answered with the next response. After a response
// that ends in "-" the worker closes the connection; the response "" sends nothing.
func newFixture(responses ...string) *fixture {
	deployment, err := settings.ParseDeployment([]byte(`{"Limits": {"Cancel": true, "Probes": true, "ConnIdle": 5, "ConnectTimeout": 0.5},
		"FamilyInfo": {"ReportX0": "free slots"}, "Report": {"How": "answers", "Names": ["x0"]}}`))
	if err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	f := &fixture{
		loop:       conn.NewLoop(time.Now()),
		id:         netip.MustParseAddrPort(l.Addr().String()),
		requests:   make(chan string, 100),
		clientDone: map[dispatch.InvocationID]bool{},
	}
	script := make(chan string, len(responses))
	for _, response := range responses {
		script <- response
	}
	go f.serve(l, script)
	f.Transport = NewTransport(f.loop, deployment, f.loop.NewQuota(36))
	f.OnEvent = f.recordEvent
	f.Deliver = func(inv dispatch.InvocationID, result string) {
		f.record("to the client: %d %s", inv, result)
		f.clientDone[inv] = true
	}
	f.AwaitsAnswer = func(inv dispatch.InvocationID) bool { return !f.clientDone[inv] }
	f.ClientWaiting = f.AwaitsAnswer
	f.setState(dispatch.Ready)
	return f
}

// serve accepts connections to the worker until the listener is closed.
func (f *fixture) serve(l net.Listener, script <-chan string) {
	for n := 1; ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.workerConns = append(f.workerConns, c)
		f.mu.Unlock()
		go f.serveConn(c, n, script)
	}
}

// serveConn answers the requests on the worker's nth connection.
func (f *fixture) serveConn(c net.Conn, n int, script <-chan string) {
	r := bufio.NewReader(c)
	for {
		text := textproto.NewReader(r)
		first, err := text.ReadLine()
		if err != nil {
			f.requests <- fmt.Sprintf("connection %d ends", n)
			return
		}
		head, _ := text.ReadMIMEHeader()
		size, _ := strconv.Atoi(head.Get("Content-Length"))
		body := make([]byte, size)
		io.ReadFull(r, body)
		f.requests <- fmt.Sprintf("connection %d: %s %s%s", n, first, head.Get("X-Call-Id"), body)
		response, closes := strings.CutSuffix(<-script, "-")
		c.Write([]byte(response))
		if closes {
			c.Close()
			return
		}
	}
}

// recordEvent counts an event and records a text for it.
func (f *fixture) recordEvent(e dispatch.Event) {
	switch e := e.(type) {
	case dispatch.Outcome:
		f.record("inv %d attempt %d ends: %d closed=%v load=%v", e.Invocation, e.Attempt, e.Result, e.Answered, e.Load != nil)
	case dispatch.HealthCheckResult:
		f.record("health check ends: %d load=%v", e.Result, e.Load != nil)
	case dispatch.AttemptProgress:
		if e.MayBeReturned {
			f.record("inv %d attempt %d may be returned", e.Invocation, e.Attempt)
			break
		}
		f.record("inv %d attempt %d: accepted=%v started=%v done=%v", e.Invocation, e.Attempt, e.Accepted, e.Started, e.Done)
	default:
		return
	}
	f.events++
}

// record adds a formatted line to what was reported.
func (f *fixture) record(format string, args ...any) {
	f.lines = append(f.lines, fmt.Sprintf(format, args...))
}

// Forward starts an attempt that only the client timeout bounds. All idle connections have been idle
// for long enough to carry it.
func (f *fixture) Forward(inv *Invocation, number int, to dispatch.WorkerID) {
	f.ageIdle()
	f.Transport.Forward(inv, number, to, 0)
}

// ageIdle makes the idle connections idle for long enough that no stray response may arrive on them.
func (f *fixture) ageIdle() {
	for _, c := range f.worker().idle {
		c.idleSince = min(c.idleSince, f.loop.Now()-strayResponseWindow)
	}
}

// writeFromWorker makes the worker write text over its nth connection.
func (f *fixture) writeFromWorker(n int, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	io.WriteString(f.workerConns[n-1], text)
}

// closeFromWorker makes the worker close its nth connection.
func (f *fixture) closeFromWorker(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workerConns[n-1].Close()
}

// worker returns the fixture's worker.
func (f *fixture) worker() *worker { return f.workersByUID[workerUID] }

// setState makes discovery report a state of the worker.
func (f *fixture) setState(state dispatch.EndpointState) {
	f.applyEndpoint(f.id.String(), dispatch.Endpoint{Worker: f.id, State: state})
}

// moveTo makes discovery report another address of the worker, which is ready.
func (f *fixture) moveTo(address string) {
	f.applyEndpoint(address, dispatch.Endpoint{Worker: f.id, State: dispatch.Ready})
}

// applyEndpoint makes discovery report an address and an endpoint of the worker.
func (f *fixture) applyEndpoint(address string, endpoint dispatch.Endpoint) {
	f.ApplyUpdate(discovery.Update{
		Kind:    dispatch.DeltaUpdate,
		Workers: []discovery.Worker{{UID: workerUID, Address: address, Endpoint: endpoint}},
	})
}

// reportState makes the worker report a state of an invocation.
func (f *fixture) reportState(id, state string) {
	f.HandleCallback(Callback{ID: id, WorkerUID: workerUID, State: state})
}

// newInvocation returns a request that the invariant checker knows, without a limit on its
// attempts.
func (f *fixture) newInvocation(number dispatch.InvocationID) *Invocation {
	f.Invariants.RequestAdmitted(number, invariant.RequestLimits{MaxInFlight: math.MaxInt})
	id := fmt.Sprint("id", number)
	return &Invocation{
		Number:       number,
		ID:           id,
		Method:       "POST",
		Target:       "/render/7f",
		Body:         []byte(" body"),
		HeaderFields: []http1.Field{{Name: "X-Call-Id", Value: id}},
		Deadline:     f.loop.Now() + 5*time.Second,
	}
}

// runUntil runs the loop until the given number of events has been reported and the worker has
// received the given number of requests. It prints the requests first, ordered by connection,
// because there is no order between requests and events.
func (f *fixture) runUntil(events, received int) {
	limit := f.loop.After(testTimeout, func() { panic("events or requests not reported in time") })
	var requests []string
	f.loop.After(0, func() {}) // what has already been reported wakes no loop
	f.loop.Run(func() {
		for more := true; more && len(requests) < received; {
			select {
			case text := <-f.requests:
				requests = append(requests, strings.TrimSpace(text))
			default:
				more = false
			}
		}
		f.loop.After(time.Millisecond, func() {})
		if f.events >= events && len(requests) == received {
			f.loop.Stop()
		}
	})
	limit.Stop()
	slices.SortStableFunc(requests, func(a, b string) int {
		return strings.Compare(a[:len("connection 1")], b[:len("connection 1")])
	})
	for _, line := range append(requests, f.lines...) {
		fmt.Println(line)
	}
	f.events = 0
	f.lines = nil
}

// runUntilTrue runs the loop until a condition holds that no event reports.
func (f *fixture) runUntilTrue(description string, condition func() bool) {
	limit := f.loop.After(testTimeout, func() { panic("condition not reached in time: " + description) })
	f.loop.Run(func() {
		f.loop.After(time.Millisecond, func() {})
		if condition() {
			f.loop.Stop()
		}
	})
	limit.Stop()
}

// awaitIdleConnection waits until the last response has arrived, even if it causes no event.
func (f *fixture) awaitIdleConnection() {
	f.runUntilTrue("an idle connection", func() bool { return len(f.worker().idle) > 0 })
}
