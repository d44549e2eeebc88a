package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
)

// Limits of one run.
const (
	MaxRequests        = 5_000_000 // sent requests, retries included
	MaxOpenInvocations = 10_000    // invocations open at once; with more the target is far behind, and the run ends
	MaxDuration        = 2 * time.Hour
)

// Run sends the load of a scenario to the scheduler at addr, a loopback address, and reports what the
// clients saw. If source is nil, the load is the one that the scenario defines. Only the load of the
// scenario is used: its workers are not, as the scheduler has its own.
func Run(ctx context.Context, s scenario.Scenario, source model.Source, addr string) (report.Report, error) {
	if err := CheckLoopback(addr); err != nil {
		return report.Report{}, err
	}
	if s.Length.D() > MaxDuration {
		return report.Report{}, fmt.Errorf("length: %v is more than %v", s.Length.D(), MaxDuration)
	}
	r := newRunner(s, source, addr)
	err := r.sendAll(ctx)
	r.inFlight.Wait()
	result := report.FromModel(r.model).WithRun(s.Name, "load", addr, s.Seed, 1, 0, s.Length.D())
	lateness, void := r.audit.Result(s)
	result.Lateness = &lateness
	result.InvalidReason = void
	return result, err
}

// runner holds the state of one run.
type runner struct {
	scenario scenario.Scenario
	addr     string
	sender   *Sender
	audit    *Audit
	start    time.Time
	inFlight sync.WaitGroup // counts requests that are in flight, and retries that are scheduled

	mu              sync.Mutex // guards the fields below
	model           *model.Model
	source          model.Source
	openInvocations int
	sentRequests    int // scheduled retries included
}

func newRunner(s scenario.Scenario, source model.Source, addr string) *runner {
	m := model.New(s)
	if source == nil {
		source = m.Clients
	}
	return &runner{
		scenario: s,
		addr:     addr,
		sender:   NewSender(s),
		audit:    NewAudit(),
		start:    time.Now(),
		model:    m,
		source:   source,
	}
}

// sendAll sends the first request of each invocation at its time, without waiting for answers. It
// returns at the end of the load, when a limit is exceeded, or when ctx is done.
func (r *runner) sendAll(ctx context.Context) error {
	for {
		request, more := r.next()
		if !more {
			return nil
		}
		select {
		case <-time.After(time.Until(r.start.Add(request.At))):
		case <-ctx.Done():
			return ctx.Err()
		}
		err := r.recordInvocation(&request)
		r.inFlight.Add(1)
		go r.send(ctx, request)
		if err != nil {
			return err
		}
	}
}

// next returns the next request of the load, and false at its end.
func (r *runner) next() (model.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Next()
}

// recordInvocation counts an invocation. An error means that a limit of the run is now exceeded: this
// invocation is still sent, and is the last.
func (r *runner) recordInvocation(request *model.Request) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Statistics.InvocationOffered(request)
	r.openInvocations++
	r.sentRequests++
	if r.openInvocations > MaxOpenInvocations {
		return fmt.Errorf("%d invocations are open at once: the target is far behind", r.openInvocations)
	}
	if r.sentRequests > MaxRequests {
		return errors.New("the limit on requests per run is exceeded")
	}
	return nil
}

// send sends a request, waits for its answer, and schedules a retry if the client makes one.
func (r *runner) send(ctx context.Context, request model.Request) {
	defer r.inFlight.Done()
	r.mu.Lock()
	r.model.Statistics.Requests++
	r.mu.Unlock()
	r.audit.RequestSent(request.At, time.Since(r.start))
	budget := request.Deadline - time.Since(r.start)
	timeout := request.Deadline + r.scenario.Rules.AnswerSlack.D() - time.Since(r.start)
	answer := r.sender.Send(ctx, r.addr, &request, budget, timeout)
	now := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	retry, again := r.model.Clients.Retry(now, &request, answer.Reply, answer.RetryAfter)
	if again && ctx.Err() == nil && r.sentRequests < MaxRequests {
		r.sentRequests++
		r.inFlight.Add(1)
		time.AfterFunc(retry.At-now, func() { r.send(ctx, retry) })
		return
	}
	r.openInvocations--
	r.model.Statistics.InvocationEnded(now, &request, answer.Reply)
}
