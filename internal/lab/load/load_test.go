package load

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

// testScenario returns a scenario with a constant load for two seconds; more is added to its text.
func testScenario(t *testing.T, more string) scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("day.toml", []byte(`
version = 1
length = "2s"
[[workers]]
count = 1
[[operations]]
name = "small"
work = "5ms"
objective = "1s"
timeout = "3s"
[load]
rate = 50.0
shape = "constant"
`+more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// startStallingServer starts a server that answers immediately, except for a stall of one second that
// begins half a second after the first request. It returns the server's address.
func startStallingServer(t *testing.T) string {
	var mu sync.Mutex
	startedAt := time.Time{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		if startedAt.IsZero() {
			startedAt = time.Now()
		}
		wait := time.Second + 500*time.Millisecond - time.Since(startedAt)
		mu.Unlock()
		if wait < time.Second {
			time.Sleep(max(0, wait))
		}
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// The load does not wait for answers, so a stall of one second shows in the latencies of all requests
// that fall into it. A load that waited would send few requests during the stall, and its percentiles
// would hide it.
func TestStallShows(t *testing.T) {
	s := testScenario(t, "")
	r, err := Run(context.Background(), s, nil, startStallingServer(t))
	if err != nil {
		t.Fatal(err)
	}
	if r.All.Offered != 99 || r.All.P90 < 300 || r.All.P50 > 700 {
		t.Errorf("want 99 offered, a p90 of at least 300 ms and a p50 of at most 700 ms, got %+v", r.All)
	}
}

// A closed-loop sender, which waits for each answer before the next request, is the usual mistake. It
// sends late during a stall, and the audit declares its results void; those of a punctual sender are not.
func TestClosedLoopIsVoid(t *testing.T) {
	s := testScenario(t, "")
	addr := startStallingServer(t)
	sender := NewSender(s)
	audit := NewAudit()
	start := time.Now()
	clients := model.New(s).Clients
	for {
		request, more := clients.Next()
		if !more {
			break
		}
		time.Sleep(time.Until(start.Add(request.At)))
		audit.RequestSent(request.At, time.Since(start))
		sender.Send(context.Background(), addr, &request, time.Second, time.Second*3)
	}
	lateness, void := audit.Result(s)
	if void == "" || lateness.Max < 400 {
		t.Errorf("want void and a maximum lateness of at least 400 ms, got %+v, void %q", lateness, void)
	}
	onTime := NewAudit()
	for n := range time.Duration(100) {
		onTime.RequestSent(n*time.Millisecond, n*time.Millisecond+time.Millisecond)
	}
	if _, void := onTime.Result(s); void != "" {
		t.Errorf("got void %q for requests sent 1 ms late, want a result that is not void", void)
	}
}

// A run is rejected if its target is not a loopback address: nothing is sent to another machine.
func TestRunRejectsNonLoopbackAddress(t *testing.T) {
	for _, addr := range []string{"10.0.0.1:80", "0.0.0.0:80", "example.org:80", "[2001:db8::1]:80", ""} {
		if _, err := Run(context.Background(), testScenario(t, ""), nil, addr); err == nil {
			t.Errorf("no error for the address %q", addr)
		}
	}
	if err := CheckLoopback("127.0.0.9:80"); err != nil {
		t.Error(err)
	}
	if err := CheckLoopback("[::1]:80"); err != nil {
		t.Error(err)
	}
}

// If the target accepts no connections, each invocation counts as throttled after all of its retries. A
// scenario that is longer than MaxDuration is rejected.
func TestUnreachableTarget(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	s := testScenario(t, "[clients]\nretries = 2\nbackoff = \"5ms\"\n")
	s.Length = scenario.Span(200 * time.Millisecond)
	r, err := Run(context.Background(), s, nil, addr)
	if err != nil || r.All.Throttled != r.All.Offered || r.Costs.Requests != 3*r.All.Offered {
		t.Errorf("want each invocation throttled after 2 retries, got %+v %+v, error %v", r.All, r.Costs, err)
	}
	s.Length = scenario.Span(3 * time.Hour)
	if _, err := Run(context.Background(), s, nil, addr); err == nil || !strings.Contains(err.Error(), "length") {
		t.Error(err)
	}
}
