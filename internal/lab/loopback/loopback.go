// Package loopback runs a scenario against real scheduler processes, over sockets on this machine
// and in real time. What workers, the endpoint list and clients do is decided by the same model as
// in virtual time; this package moves bytes.
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

// What one machine can carry, with real processes and sockets.
const (
	maxSchedulers = 1024
	maxWorkers    = 1024
	maxLength     = 10 * time.Minute
)

// Play runs a scenario against processes of a program, with the clients' requests of a source; nil:
// those of the model. All that it starts has ended when it returns. An error says that the run
// could not be played; broken rules are in the report.
func Play(ctx context.Context, s scenario.Scenario, source model.Source, program string) (report.Report, error) {
	workers := workerCount(s)
	if s.Schedulers.Count > maxSchedulers || workers > maxWorkers || s.Length.D() > maxLength {
		return report.Report{}, fmt.Errorf("%d schedulers, %d workers and %v are more than one machine is asked to carry: %d, %d and %v",
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
	result := report.Of(r.model).Name(s.Name, "loopback", program, s.Seed, s.Schedulers.Count, workers, s.Length.D())
	lateness, void := r.audit.Result(s)
	result.Lateness = &lateness
	result.Void = void
	return result, errors.Join(r.failures...)
}

func workerCount(s scenario.Scenario) (workers int) {
	for _, g := range s.Workers {
		workers += g.Count
	}
	return workers
}
