package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"stoatweir/internal/lab/loopback"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
	"stoatweir/internal/lab/trace"
	"stoatweir/internal/lab/virtual"
)

// Values of the flags --mode and --decider, and of the report's decider.
const (
	modeVirtual    = "virtual"
	modeLoopback   = "loopback"
	deciderModule  = "module"
	deciderService = "service"
)

// playOptions say how scenarios are played.
type playOptions struct {
	mode string
	// program is the scheduler that is started on loopback; empty: this program.
	program string
	// traceFile is a CSV file of which the load is taken; empty: the scenario's own.
	traceFile string
	// mappingFile says what the trace's columns mean.
	mappingFile string
	// showLog prints what deciders log.
	showLog bool
}

func (p *playOptions) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.traceFile, "trace", "", "a CSV `file` with the load, in place of the scenario's")
	c.Flags().StringVar(&p.mappingFile, "mapping", "", "the `file` that says what the trace's columns mean")
}

// openTrace opens the trace, if the options name one; else the reader is nil. The caller closes a reader that is not nil.
func (p *playOptions) openTrace(s scenario.Scenario, clients *model.Clients) (*traceReader, error) {
	if p.traceFile == "" {
		return nil, nil
	}
	mapping, err := trace.ReadMapping(p.mappingFile, s)
	if err != nil {
		return nil, err
	}
	file, err := os.Open(p.traceFile)
	if err != nil {
		return nil, err
	}
	reader, err := trace.Open(file, mapping, s, clients)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", p.traceFile, err)
	}
	return &traceReader{Reader: reader, file: file}, nil
}

// traceReader is a trace with its file. A nil one stands for a scenario's own load.
type traceReader struct {
	*trace.Reader
	file io.Closer
}

// source is what the load is taken of; nil: the scenario's own.
func (t *traceReader) source() model.Source {
	if t == nil {
		return nil
	}
	return t.Reader
}

// close closes the file.
func (t *traceReader) close() {
	if t != nil {
		t.file.Close()
	}
}

// addCounts gives a report with the trace's counts.
func (t *traceReader) addCounts(r report.Report) report.Report {
	if t != nil {
		r.Trace, _ = t.Counts.MarshalJSON()
	}
	return r
}

// play plays a scenario once.
func (p *playOptions) play(ctx context.Context, s scenario.Scenario, decider string) (report.Report, error) {
	if p.mode == modeLoopback {
		return p.playLoopback(ctx, s)
	}
	return p.playVirtual(ctx, s, decider)
}

func (p *playOptions) playLoopback(ctx context.Context, s scenario.Scenario) (report.Report, error) {
	reader, err := p.openTrace(s, model.New(s).Clients)
	if err != nil {
		return report.Report{}, err
	}
	defer reader.close()
	program := p.program
	if program == "" {
		program, err = os.Executable()
		if err != nil {
			return report.Report{}, err
		}
	}
	r, err := loopback.Play(ctx, s, reader.source(), program)
	r.Decider = deciderService
	return reader.addCounts(r), err
}

func (p *playOptions) playVirtual(ctx context.Context, s scenario.Scenario, decider string) (r report.Report, err error) {
	maker := virtual.Module
	var day *virtual.Simulation
	if decider != deciderModule {
		program, runErr := virtual.StartProgram(decider)
		if runErr != nil {
			return r, runErr
		}
		// A program that has exited in the midst has decided nothing since: its figures are none.
		defer func() { err = errors.Join(err, program.Err(), program.Close()) }()
		maker = program.Maker(func() time.Duration { return day.Time() })
	}
	day = virtual.New(s, maker)
	reader, err := p.openTrace(s, day.Model.Clients)
	if err != nil {
		return r, err
	}
	defer reader.close()
	if p.showLog {
		day.Log = func(now time.Duration, scheduler int, text string) {
			fmt.Fprintf(os.Stderr, "%.3f s scheduler %d: %s\n", now.Seconds(), scheduler, text)
		}
	}
	if err := day.Play(ctx, reader.source()); err != nil {
		return r, err
	}
	r = report.Of(day.Model).Name(s.Name, modeVirtual, decider, s.Seed, s.Schedulers.Count, len(day.Model.Fleet.Machines), s.Length.D())
	r.Costs.Events = day.Steps
	return reader.addCounts(r), nil
}
