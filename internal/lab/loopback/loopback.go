// Package loopback runs a scenario against real scheduler processes, over sockets on this machine
// and in real time. The same model as in virtual time decides what workers, the endpoint list and
// clients do; this package does the input and output.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
)

// Limits on a run, as all its processes and sockets share one machine.
const (
	maxSchedulers = 1024
	maxWorkers    = 1024
	maxLength     = 10 * time.Minute
)

// Run runs a scenario against processes of a program. The clients' requests come from source, or from
// the model if it is nil. When Run returns, the processes that it started have exited and its listeners
// are closed; goroutines that are still sending end soon after. It returns an error if the run could not
// be completed; violated rules are in the report.
func Run(ctx context.Context, s scenario.Scenario, source model.Source, program string) (report.Report, error) {
	workers := workerCount(s)
	if s.Schedulers.Count > maxSchedulers || workers > maxWorkers || s.Length.D() > maxLength {
		return report.Report{}, fmt.Errorf("%d schedulers, %d workers and a length of %v: at most %d, %d and %v are allowed on one machine",
			s.Schedulers.Count, workers, s.Length.D(), maxSchedulers, maxWorkers, maxLength)
	}
	dir, err := os.MkdirTemp("", "stoatlab")
	if err != nil {
		return report.Report{}, err
	}
	defer os.RemoveAll(dir)
	r := newRun(ctx, s, source, program, dir)
	defer r.close()
	if err := r.start(); err != nil {
		return report.Report{}, err
	}
	if err := r.awaitReady(); err != nil {
		return report.Report{}, err
	}
	r.setStart(time.Now())
	r.connectModel()
	if err := r.loop(); err != nil {
		return report.Report{}, err
	}
	result := report.FromModel(r.model).WithRun(s.Name, "loopback", program, s.Seed, s.Schedulers.Count, workers, s.Length.D())
	lateness, void := r.audit.Result(s)
	result.Lateness = &lateness
	result.InvalidReason = void
	return result, errors.Join(r.failures...)
}

func workerCount(s scenario.Scenario) (workers int) {
	for _, g := range s.Workers {
		workers += g.Count
	}
	return workers
}
