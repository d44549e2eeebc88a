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
	// minLatenessLimit is the smallest limit on the 99th percentile of the lateness. It applies to
	// scenarios with short objectives.
	minLatenessLimit = 10 * time.Millisecond
	// objectiveDivisor sets the limit for all other scenarios: their shortest objective divided by it.
	objectiveDivisor = 10
	// maxLateness is the highest lateness that the histogram holds.
	maxLateness = time.Hour
	// latenessSignificantDigits is the precision of the histogram.
	latenessSignificantDigits = 3
	microsPerMilli            = 1e3
)

// Audit records how late requests were sent, compared with their intended times. It guards against
// coordinated omission: latencies measured from the actual sending, or a sender that waits for answers,
// would hide a stall. It is safe for concurrent use.
type Audit struct {
	mu       sync.Mutex
	lateness *hdrhistogram.Histogram // in microseconds
	max      time.Duration
	sent     int
}

// NewAudit returns an Audit without any recorded request.
func NewAudit() *Audit {
	return &Audit{lateness: hdrhistogram.New(1, maxLateness.Microseconds(), latenessSignificantDigits)}
}

// RequestSent records a request's intended and actual sending times, both since the start of the run.
func (a *Audit) RequestSent(intended, sent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := max(0, sent-intended)
	a.lateness.RecordValue(max(1, late.Microseconds()))
	a.max = max(a.max, late)
	a.sent++
}

// Result returns the lateness of the recorded requests. void says why the results of the run must not
// be used; it is empty if they may.
func (a *Audit) Result(s scenario.Scenario) (lateness report.Lateness, void string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	percentile := func(p float64) float64 { return float64(a.lateness.ValueAtQuantile(p)) / microsPerMilli }
	lateness = report.Lateness{
		Sent: a.sent,
		P50:  percentile(50),
		P99:  percentile(99),
		Max:  float64(a.max.Microseconds()) / microsPerMilli,
	}
	limit := latenessLimit(s)
	if a.sent > 0 && lateness.P99 > float64(limit.Microseconds())/microsPerMilli {
		void = fmt.Sprintf("the load was sent late: one in a hundred by %.1f ms or more, %v is allowed", lateness.P99, limit)
	}
	return lateness, void
}

// latenessLimit returns the limit on the 99th percentile of the lateness in a scenario.
func latenessLimit(s scenario.Scenario) time.Duration {
	limit := maxLateness
	for _, operation := range s.Operations {
		limit = min(limit, operation.Objective.D()/objectiveDivisor)
	}
	return max(limit, minLatenessLimit)
}
