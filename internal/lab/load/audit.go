package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
)

const (
	// minLatenessLimit is the least lateness that is allowed for one request in a hundred.
	minLatenessLimit = 10 * time.Millisecond
	// objectiveShare is the inverse of the share of the shortest objective that is allowed beyond that.
	objectiveShare = 10
	// maxLateness bounds the histogram of latenesses.
	maxLateness = time.Hour
	// latenessDigits is the precision of latenesses, in significant digits.
	latenessDigits = 3
	// microsPerMilli is how many microseconds a millisecond has.
	microsPerMilli = 1e3
)

// Audit compares when requests were sent with when they were to be sent. Latencies that count from the sending, or a sender
// that waits, would show nothing of a stall. It is safe for concurrent use.
type Audit struct {
	mu       sync.Mutex
	lateness *hdrhistogram.Histogram // in microseconds
	max      time.Duration
	sent     int
}

// NewAudit returns an Audit of no request.
func NewAudit() *Audit {
	return &Audit{lateness: hdrhistogram.New(1, maxLateness.Microseconds(), latenessDigits)}
}

// RequestSent records one request. Both times count from the start of the run.
func (a *Audit) RequestSent(intended, sent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := max(0, sent-intended)
	a.lateness.RecordValue(max(1, late.Microseconds()))
	a.max = max(a.max, late)
	a.sent++
}

// Result returns the lateness of the requests, and why the figures of the run are void; empty: they are not.
func (a *Audit) Result(s scenario.Scenario) (l report.Lateness, void string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	percentile := func(p float64) float64 { return float64(a.lateness.ValueAtQuantile(p)) / microsPerMilli }
	l = report.Lateness{
		Sent: a.sent,
		P50:  percentile(50),
		P99:  percentile(99),
		Max:  float64(a.max.Microseconds()) / microsPerMilli,
	}
	limit := latenessLimit(s)
	if a.sent > 0 && l.P99 > float64(limit.Microseconds())/microsPerMilli {
		void = fmt.Sprintf("the load was sent late: one in a hundred by %.1f ms or more, %v is allowed", l.P99, limit)
	}
	return l, void
}

// latenessLimit is how late one request in a hundred may be sent.
func latenessLimit(s scenario.Scenario) time.Duration {
	limit := maxLateness
	for _, o := range s.Operations {
		limit = min(limit, o.Objective.D()/objectiveShare)
	}
	return max(limit, minLatenessLimit)
}
