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

// Bounds of one run of the load tool.
const (
	MaxRequests = 5_000_000
	MaxOpen     = 10_000 // tries in hand at once; beyond that the run ends, as the target is far behind
	MaxDuration = 2 * time.Hour
)

// Run sends the load of a scenario to a scheduler that is running, and tells what its clients saw. The workers are
// whoever the scheduler knows: nothing but the load is taken from the scenario.
func Run(ctx context.Context, s scenario.Scenario, source model.Source, addr string) (report.Report, error) {
	if err := CheckLoopback(addr); err != nil {
		return report.Report{}, err
	}
	if s.Length.D() > MaxDuration {
		return report.Report{}, fmt.Errorf("length: %v is more than %v", s.Length.D(), MaxDuration)
	}
	w := model.New(s)
	if source == nil {
		source = w.Clients
	}
	sender, audit := NewSender(s), NewAudit()
	start := time.Now()
	var mu sync.Mutex // of the world, from here on
	var wait sync.WaitGroup
	open, sent := 0, 0
	var try func(j model.Request)
	try = func(j model.Request) {
		defer wait.Done()
		mu.Lock()
		w.Statistics.Requests++
		mu.Unlock()
		audit.RequestSent(j.At, time.Since(start))
		a := sender.Send(ctx, addr, &j, j.Deadline-time.Since(start), j.Deadline+s.Rules.AnswerSlack.D()-time.Since(start))
		now := time.Since(start)
		mu.Lock()
		defer mu.Unlock()
		if next, again := w.Clients.Retry(now, &j, a.Reply, a.RetryAfter); again && ctx.Err() == nil && sent < MaxRequests {
			sent++
			wait.Add(1)
			time.AfterFunc(next.At-now, func() { try(next) })
			return
		}
		open--
		w.Statistics.InvocationEnded(now, &j, a.Reply)
	}
	var err error
	for err == nil {
		mu.Lock()
		j, more := source.Next()
		mu.Unlock()
		if !more {
			break
		}
		select {
		case <-time.After(time.Until(start.Add(j.At))):
		case <-ctx.Done():
			err = ctx.Err()
			continue
		}
		mu.Lock()
		w.Statistics.InvocationOffered(&j)
		open++
		sent++
		if open > MaxOpen {
			err = fmt.Errorf("%d are in hand at once: the target is far behind", open)
		} else if sent > MaxRequests {
			err = errors.New("more tries than one run may make")
		}
		mu.Unlock()
		wait.Add(1)
		go try(j)
	}
	wait.Wait()
	r := report.Of(w).Name(s.Name, "load", addr, s.Seed, 1, 0, s.Length.D())
	l, void := audit.Result(s)
	r.Lateness, r.Void = &l, void
	return r, err
}
