package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"stoatweir/internal/lab/load"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
	"stoatweir/internal/lab/trace"
)

const (
	// defaultTraceRows is the default number of rows of a generated trace.
	defaultTraceRows = 10000
	// defaultTraceRowsPerSecond is the default arrival rate of a generated trace.
	defaultTraceRowsPerSecond = 100
)

// labCommand returns the group of commands that simulate scenarios.
func labCommand() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Simulate scenarios, and compare changes on them"}
	lab.AddCommand(checkCommand(), runCommand(), compareCommand(), loadCommand(), traceCommand(), scaleCommand(), hollowCommand())
	return lab
}

// checkCommand returns the command lab check.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCENARIO...",
		Short: "Validate scenario files",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var errs []error
			for _, file := range files {
				errs = append(errs, checkScenario(c.OutOrStdout(), file))
			}
			return errors.Join(errs...)
		},
	}
}

// checkScenario reads a scenario file, which validates it, and prints a summary.
func checkScenario(out io.Writer, file string) error {
	config, err := scenario.Read(file)
	if err != nil {
		return err
	}
	m := model.New(config)
	fmt.Fprintf(out, "%s: %s, %d schedulers, %d workers, %.1f invocations a second, %d troubles\n", file, config.Name,
		config.Schedulers.Count, len(m.Cluster.Machines), m.Clients.Rate(0), len(config.Faults))
	return nil
}

// runOptions are the flags of lab run.
type runOptions struct {
	scenarioOptions
	decider  string
	seed     int64
	jsonFile string
	plotFile string
}

// runCommand returns the command lab run.
func runCommand() *cobra.Command {
	var o runOptions
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Run a scenario and report the results",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, files []string) error { return o.run(c, files[0]) },
	}
	o.addFlags(c)
	c.Flags().StringVar(&o.mode, "mode", modeVirtual, "virtual, or loopback: real processes and sockets on this machine")
	c.Flags().StringVar(&o.decider, "decider", deciderModule,
		"the decider in virtual time: module, or a command that speaks the simulator protocol")
	c.Flags().StringVar(&o.program, "program", "", "the scheduler program to start on loopback; this program if left out")
	c.Flags().Int64Var(&o.seed, "seed", 1, "random seed, in place of the scenario's")
	c.Flags().StringVar(&o.jsonFile, "json", "", "a `file` for the report as JSON")
	c.Flags().StringVar(&o.plotFile, "plot", "", "a `file` for a plot, .svg or .png")
	c.Flags().BoolVar(&o.showLog, "log", false, "print the log entries of the deciders")
	return c
}

func (o *runOptions) run(c *cobra.Command, file string) error {
	s, err := scenario.Read(file)
	if err != nil {
		return err
	}
	if c.Flags().Changed("seed") {
		s.Seed = o.seed
	}
	if o.mode != modeVirtual && o.mode != modeLoopback {
		return fmt.Errorf("--mode: %q is neither virtual nor loopback", o.mode)
	}
	r, err := o.runScenario(c.Context(), s, o.decider)
	if err != nil {
		return err
	}
	r.Text(c.OutOrStdout())
	err = errors.Join(
		writeFile(o.jsonFile, r.JSON),
		writeFile(o.plotFile, func(w io.Writer) error { return report.Plot(w, o.plotFile, r) }),
	)
	if err != nil {
		return err
	}
	if r.ViolationCount() > 0 || r.InvalidReason != "" {
		return errFindings
	}
	return nil
}

// loadOptions are the flags of lab load.
type loadOptions struct {
	scenarioOptions
	address  string
	jsonFile string
}

// loadCommand returns the command lab load.
func loadCommand() *cobra.Command {
	var o loadOptions
	c := &cobra.Command{
		Use:   "load SCENARIO",
		Short: "Send a scenario's load to a scheduler that runs on this machine",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, files []string) error { return o.run(c, files[0]) },
	}
	o.addFlags(c)
	c.Flags().StringVar(&o.address, "to", "", "the scheduler's `address`, on loopback")
	c.Flags().StringVar(&o.jsonFile, "json", "", "a `file` for the report as JSON")
	c.MarkFlagRequired("to")
	return c
}

func (o *loadOptions) run(c *cobra.Command, file string) error {
	s, err := scenario.Read(file)
	if err != nil {
		return err
	}
	reader, err := o.openTrace(s, model.New(s).Clients)
	if err != nil {
		return err
	}
	defer reader.close()
	r, err := load.Run(c.Context(), s, reader.source(), o.address)
	if err != nil {
		return err
	}
	r = reader.addCounts(r)
	r.Text(c.OutOrStdout())
	if err := writeFile(o.jsonFile, r.JSON); err != nil {
		return err
	}
	if r.InvalidReason != "" {
		return errFindings
	}
	return nil
}

// traceCommand returns the group of commands that work with traces.
func traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Work with traces in CSV"}
	c.AddCommand(generateTraceCommand(), checkTraceCommand())
	return c
}

// generateTraceCommand returns the command lab trace generate.
func generateTraceCommand() *cobra.Command {
	var rows, odd int
	var seed int64
	var rate float64
	c := &cobra.Command{
		Use:   "generate FILE",
		Short: "Write a synthetic trace",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return writeFile(files[0], func(w io.Writer) error { return trace.Generate(w, rows, seed, rate, odd) })
		},
	}
	c.Flags().IntVar(&rows, "rows", defaultTraceRows, "number of rows")
	c.Flags().IntVar(&odd, "odd", 0, "make one row in this many invalid; 0: none")
	c.Flags().Int64Var(&seed, "seed", 1, "random seed")
	c.Flags().Float64Var(&rate, "rate", defaultTraceRowsPerSecond, "rows a second")
	return c
}

// checkTraceCommand returns the command lab trace check.
func checkTraceCommand() *cobra.Command {
	var p scenarioOptions
	c := &cobra.Command{
		Use:   "check SCENARIO",
		Short: "Read a trace to its end and count invalid rows",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, files []string) error { return p.checkTrace(c.OutOrStdout(), files[0]) },
	}
	p.addFlags(c)
	return c
}

// checkTrace reads a trace to its end and prints its counts and duration. It returns errFindings if
// the trace ended early.
func (p *scenarioOptions) checkTrace(out io.Writer, scenarioFile string) error {
	s, err := scenario.Read(scenarioFile)
	if err != nil {
		return err
	}
	if p.traceFile == "" {
		return errors.New("--trace is required")
	}
	reader, err := p.openTrace(s, model.New(s).Clients)
	if err != nil {
		return err
	}
	defer reader.close()
	last := time.Duration(0)
	for {
		job, more := reader.Next()
		if !more {
			break
		}
		last = job.At
	}
	text, _ := reader.Counts.MarshalJSON()
	fmt.Fprintf(out, "%s\nlasts %v\n", text, last.Round(time.Millisecond))
	if reader.StopReason != "" {
		return errFindings
	}
	return nil
}
