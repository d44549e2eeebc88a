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

// Values of the flags --mode and --decider, and of the decider in reports.
const (
	modeVirtual    = "virtual"
	modeLoopback   = "loopback"
	deciderModule  = "module"
	deciderService = "service"
)

// scenarioOptions are the options for running a scenario.
type scenarioOptions struct {
	// mode is modeVirtual or modeLoopback.
	mode string
	// program is the path of the scheduler to start in loopback mode. If empty, this program is
	// used.
	program string
	// traceFile is the path of a CSV file with the load. If empty, the load is generated from the
	// scenario.
	traceFile string
	// mappingFile is the path of the file that describes the columns of the trace.
	mappingFile string
	// showLog prints the deciders' log entries.
	showLog bool
}

// addFlags adds the flags that name a trace.
func (p *scenarioOptions) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.traceFile, "trace", "", "a CSV `file` with the load, in place of the scenario's")
	c.Flags().StringVar(&p.mappingFile, "mapping", "", "the `file` that says what the trace's columns mean")
}

// openTrace opens the trace that the options name. Without a trace it returns nil, which is a valid
// traceReader. The caller closes the reader.
func (p *scenarioOptions) openTrace(s scenario.Scenario, clients *model.Clients) (*traceReader, error) {
	if p.traceFile == "" {
		return nil, nil
	}
	mapping, err := trace.ReadMapping(p.mappingFile, s)
	if err != nil {
		return nil, err
	}
	csvFile, err := os.Open(p.traceFile)
	if err != nil {
		return nil, err
	}
	reader, err := trace.Open(csvFile, mapping, s, clients)
	if err != nil {
		csvFile.Close()
		return nil, fmt.Errorf("%s: %w", p.traceFile, err)
	}
	return &traceReader{Reader: reader, file: csvFile}, nil
}

// traceReader reads a trace from a file. A nil traceReader stands for the load generated from the
// scenario.
type traceReader struct {
	*trace.Reader
	file io.Closer
}

// source returns the source of the load, or nil if the load is generated from the scenario.
func (t *traceReader) source() model.Source {
	if t == nil {
		return nil
	}
	return t.Reader
}

// close closes the trace file, if there is one.
func (t *traceReader) close() {
	if t != nil {
		t.file.Close()
	}
}

// addCounts returns the report with the counts of the trace added, if there is a trace.
func (t *traceReader) addCounts(r report.Report) report.Report {
	if t != nil {
		r.Trace, _ = t.Counts.MarshalJSON()
	}
	return r
}

// runScenario runs a scenario once in the selected mode and returns the report.
func (p *scenarioOptions) runScenario(ctx context.Context, s scenario.Scenario, decider string) (report.Report, error) {
	if p.mode == modeLoopback {
		return p.runLoopback(ctx, s)
	}
	return p.runVirtual(ctx, s, decider)
}

// runLoopback runs a scenario with real processes and sockets on this machine.
func (p *scenarioOptions) runLoopback(ctx context.Context, s scenario.Scenario) (report.Report, error) {
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
	r, err := loopback.Run(ctx, s, reader.source(), program)
	r.Policy = deciderService
	return reader.addCounts(r), err
}

// runVirtual runs a scenario in virtual time, with the dispatch module or an external program as
// the decider.
func (p *scenarioOptions) runVirtual(ctx context.Context, s scenario.Scenario, decider string) (r report.Report, err error) {
	maker := virtual.NewModuleDecider
	var simulation *virtual.Simulation
	if decider != deciderModule {
		program, runErr := virtual.StartProgram(decider)
		if runErr != nil {
			return r, runErr
		}
		// If the program exited during the run, it made no decisions after that and the report is
		// meaningless: return its error.
		defer func() { err = errors.Join(err, program.Err(), program.Close()) }()
		maker = program.DeciderFactory(func() time.Duration { return simulation.Time() })
	}
	simulation = virtual.New(s, maker)
	reader, err := p.openTrace(s, simulation.Model.Clients)
	if err != nil {
		return r, err
	}
	defer reader.close()
	if p.showLog {
		simulation.Log = func(now time.Duration, scheduler int, text string) {
			fmt.Fprintf(os.Stderr, "%.3f s scheduler %d: %s\n", now.Seconds(), scheduler, text)
		}
	}
	if err := simulation.Run(ctx, reader.source()); err != nil {
		return r, err
	}
	r = report.FromModel(simulation.Model).WithRun(s.Name, modeVirtual, decider, s.Seed, s.Schedulers.Count,
		len(simulation.Model.Cluster.Machines), s.Length.D())
	r.Costs.Events = simulation.EventCount
	return reader.addCounts(r), nil
}
