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

// testScenario is a constant load of two seconds.
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

// startStallingServer starts a server that answers at once, but for a second in which it answers nobody.
func startStallingServer(t *testing.T) string {
	var mu sync.Mutex
	startedAt := time.Time{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// The load does not wait for answers: a stall of a second shows in the latencies of all requests that fall into it.
func TestStallShows(t *testing.T) {
	s := testScenario(t, "")
	r, err := Run(context.Background(), s, nil, startStallingServer(t))
	if err != nil {
		t.Fatal(err)
	}
	if r.All.Offered != 99 || r.All.P90 < 300 || r.All.P50 > 700 {
		t.Errorf("%+v", r.All)
	}
}

// A sender that waits for each answer before the next request, which is the usual mistake, is late, and its figures are
// void.
func TestClosedLoopIsVoid(t *testing.T) {
	s := testScenario(t, "")
	addr := startStallingServer(t)
	sender := NewSender(s)
	audit := NewAudit()
	start := time.Now()
	clients := model.New(s).Clients
	for {
		j, more := clients.Next()
		if !more {
			break
		}
		time.Sleep(time.Until(start.Add(j.At)))
		audit.RequestSent(j.At, time.Since(start))
		sender.Send(context.Background(), addr, &j, time.Second, time.Second*3)
	}
	l, void := audit.Result(s)
	if void == "" || l.Max < 400 {
		t.Errorf("%+v %q", l, void)
	}
	punctual := NewAudit()
	for n := range time.Duration(100) {
		punctual.RequestSent(n*time.Millisecond, n*time.Millisecond+time.Millisecond)
	}
	if _, void := punctual.Result(s); void != "" {
		t.Error(void)
	}
}

// Nothing is sent to another machine.
func TestOnlyLoopbackIsSentTo(t *testing.T) {
	for _, addr := range []string{"10.0.0.1:80", "0.0.0.0:80", "example.org:80", "[2001:db8::1]:80", ""} {
		if _, err := Run(context.Background(), testScenario(t, ""), nil, addr); err == nil {
			t.Errorf("%q", addr)
		}
	}
	if err := CheckLoopback("127.0.0.9:80"); err != nil {
		t.Error(err)
	}
	if err := CheckLoopback("[::1]:80"); err != nil {
		t.Error(err)
	}
}

// A target that accepts no connection throttles each invocation, after all its retries; and a run is bounded.
func TestUnreachableTarget(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	s := testScenario(t, "[clients]\nretries = 2\nbackoff = \"5ms\"\n")
	s.Length = scenario.Span(200 * time.Millisecond)
	r, err := Run(context.Background(), s, nil, addr)
	if err != nil || r.All.Throttled != r.All.Offered || r.Costs.Requests != 3*r.All.Offered {
		t.Errorf("%+v %+v %v", r.All, r.Costs, err)
	}
	s.Length = scenario.Span(3 * time.Hour)
	if _, err := Run(context.Background(), s, nil, addr); err == nil || !strings.Contains(err.Error(), "length") {
		t.Error(err)
	}
}
