// Package load sends invocations over real connections, each at its time: an open loop. It says so when it could not keep
// to the times, as the figures of a load that waits for its answers hide all waiting.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
)

// Loopback refuses an address that is not on this machine: a load tool that is aimed elsewhere by mistake is an attack.
func CheckLoopback(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no address with a port", addr)
	}
	if !a.Addr().IsLoopback() {
		return fmt.Errorf("%s is not on this machine: only loopback addresses are", addr)
	}
	return nil
}

// Audit compares when tries were sent with when they were meant to be. Latency that is counted from the sending, or a
// sender that waits, would show nothing of a stall.
type Audit struct {
	mu          sync.Mutex
	lateness    *hdrhistogram.Histogram
	maxLateness time.Duration
	sent        int
}

// NewAudit has seen nothing yet.
func NewAudit() *Audit { return &Audit{lateness: hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

// Sent enters one try.
func (a *Audit) RequestSent(meant, sent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := max(0, sent-meant)
	a.lateness.RecordValue(max(1, late.Microseconds()))
	a.maxLateness = max(a.maxLateness, late)
	a.sent++
}

// lateMost is how late one in a hundred may be sent, at the least; else a tenth of the shortest objective.
const minLatenessLimit = 10 * time.Millisecond

// Verdict is why the figures are void, if they are.
func (a *Audit) Result(s scenario.Scenario) (l report.Lateness, void string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := func(q float64) float64 { return float64(a.lateness.ValueAtQuantile(q)) / 1e3 }
	l = report.Lateness{Sent: a.sent, P50: at(50), P99: at(99), Max: float64(a.maxLateness.Microseconds()) / 1e3}
	limit := time.Hour
	for _, o := range s.Operations {
		limit = min(limit, o.Objective.D()/10)
	}
	if limit = max(limit, minLatenessLimit); a.sent > 0 && l.P99 > float64(limit.Microseconds())/1e3 {
		void = fmt.Sprintf("the load was sent late: one in a hundred by %.1f ms or more, %v is allowed", l.P99, limit)
	}
	return l, void
}

// Sender is the clients of one scenario.
type Sender struct {
	Scenario    scenario.Scenario
	Credentials []string // of the tenants, where they are hosted
	client      *http.Client
}

// NewSender makes one. Each try has a connection of its own, so that a connection that ends between two of them is never
// taken for a lost answer.
func NewSender(s scenario.Scenario) *Sender {
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Sender{Scenario: s, client: &http.Client{Transport: t}}
}

// Answer is what a try has brought.
type Answer struct {
	Reply      model.Reply
	RetryAfter time.Duration
	Body       string
	Status     int
}

// Send hands a try in and waits for its end, within at most.
func (s *Sender) Send(ctx context.Context, addr string, j *model.Request, budget, within time.Duration) Answer {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	o := s.Scenario.Operations[j.Operation]
	in, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/"+o.Name+"/"+strconv.FormatInt(j.Invocation, 16), strings.NewReader("work"))
	if err != nil {
		return Answer{Reply: model.NoScheduler}
	}
	in.Header.Set("X-Call-Id", strconv.FormatInt(j.ID, 16))
	in.Header.Set("X-Call-Class", o.Name)
	in.Header.Set("X-Budget", strconv.FormatFloat(max(0.001, budget.Seconds()), 'f', 3, 64))
	if j.Hint > 0 {
		in.Header.Set("X-Call-Cost", strconv.FormatInt(int64(j.Hint*1e6), 10))
	}
	if j.Slots > 1 {
		in.Header.Set("X-Call-Info", "slots="+strconv.Itoa(j.Slots))
	}
	if j.Tenant < len(s.Credentials) {
		in.Header.Set("Authorization", "Bearer "+s.Credentials[j.Tenant])
		in.Header.Set("X-Attempt", strconv.Itoa(j.Retry+1))
	} else if j.Tenant < len(s.Scenario.Tenants) {
		in.Header.Set("X-Caller", s.Scenario.Tenants[j.Tenant].Name)
	}
	if o.Effect == "deduplicated" {
		in.Header.Set("Idempotency-Key", strconv.FormatInt(j.Invocation, 16))
	}
	out, err := s.client.Do(in)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return Answer{Reply: model.NoScheduler}
		}
		return Answer{Reply: model.Unanswered}
	}
	defer out.Body.Close()
	body, err := io.ReadAll(io.LimitReader(out.Body, 1<<20))
	if err != nil {
		return Answer{Reply: model.Unanswered}
	}
	a := Answer{Reply: model.Errored, Body: string(body), Status: out.StatusCode}
	switch out.StatusCode {
	case 200:
		a.Reply = model.Succeeded
	case 429, 503:
		a.Reply = model.Throttled
		if after, err := strconv.ParseFloat(out.Header.Get("Retry-After"), 64); err == nil && after > 0 {
			a.RetryAfter = time.Duration(min(after, 3600) * float64(time.Second))
		}
	}
	return a
}
