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

// Bounds of one run.
const (
	MaxRequests = 5_000_000
	MaxOpen     = 10_000 // invocations at once; beyond that the run ends, as the target is far behind
	MaxDuration = 2 * time.Hour
)

// Run sends the load of a scenario to a scheduler that is running on this machine, and reports what its clients saw. A nil
// source stands for the scenario's own load. Of the scenario nothing but the load is used: the workers are whoever the
// scheduler knows.
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
	result := report.Of(r.model).Name(s.Name, "load", addr, s.Seed, 1, 0, s.Length.D())
	lateness, void := r.audit.Result(s)
	result.Lateness = &lateness
	result.Void = void
	return result, err
}

// runner is one run.
type runner struct {
	scenario scenario.Scenario
	addr     string
	sender   *Sender
	audit    *Audit
	start    time.Time
	inFlight sync.WaitGroup // requests, also those whose time is to come

	mu     sync.Mutex // guards what follows
	model  *model.Model
	source model.Source
	open   int // invocations
	sent   int // requests
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

// sendAll sends the first request of each invocation at its time, without waiting for any.
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
		err := r.offer(&request)
		r.inFlight.Add(1)
		go r.send(ctx, request)
		if err != nil {
			return err
		}
	}
}

func (r *runner) next() (model.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Next()
}

// offer counts an invocation. The error reports that it is the last one, as a bound is passed.
func (r *runner) offer(request *model.Request) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Statistics.InvocationOffered(request)
	r.open++
	r.sent++
	if r.open > MaxOpen {
		return fmt.Errorf("%d are in hand at once: the target is far behind", r.open)
	}
	if r.sent > MaxRequests {
		return errors.New("more tries than one run may make")
	}
	return nil
}

// send sends a request, waits for its answer, and schedules the retry if its client makes one.
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
	if again && ctx.Err() == nil && r.sent < MaxRequests {
		r.sent++
		r.inFlight.Add(1)
		time.AfterFunc(retry.At-now, func() { r.send(ctx, retry) })
		return
	}
	r.open--
	r.model.Statistics.InvocationEnded(now, &request, answer.Reply)
}
