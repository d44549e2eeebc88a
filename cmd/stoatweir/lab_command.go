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
	// defaultTraceRows is how many rows a generated trace has.
	defaultTraceRows = 10000
	// defaultTraceRate is how many of them are of one second.
	defaultTraceRate = 100
)

// labCommand is the group of commands that play scenarios.
func labCommand() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Simulate scenarios, and compare changes on them"}
	lab.AddCommand(checkCommand(), runCommand(), compareCommand(), loadCommand(), traceCommand(), scaleCommand(), hollowCommand())
	return lab
}

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

// checkScenario reads a scenario and prints what it comes to.
func checkScenario(out io.Writer, file string) error {
	s, err := scenario.Read(file)
	if err != nil {
		return err
	}
	w := model.New(s)
	fmt.Fprintf(out, "%s: %s, %d schedulers, %d workers, %.1f invocations a second, %d troubles\n", file, s.Name,
		s.Schedulers.Count, len(w.Fleet.Machines), w.Clients.Rate(0), len(s.Faults))
	return nil
}

// runOptions are the flags of lab run.
type runOptions struct {
	playOptions
	decider  string
	seed     int64
	jsonFile string
	plotFile string
}

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
		"who decides in virtual time: module, or a command that speaks the simulator's wire")
	c.Flags().StringVar(&o.program, "program", "", "the scheduler that is started on loopback; this program if left out")
	c.Flags().Int64Var(&o.seed, "seed", 1, "random seed, in place of the scenario's")
	c.Flags().StringVar(&o.jsonFile, "json", "", "a `file` for the report as JSON")
	c.Flags().StringVar(&o.plotFile, "plot", "", "a `file` for a plot, .svg or .png")
	c.Flags().BoolVar(&o.showLog, "log", false, "show what deciders log")
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
	r, err := o.play(c.Context(), s, o.decider)
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
	if r.Broken() > 0 || r.Void != "" {
		return errFindings
	}
	return nil
}

// loadOptions are the flags of lab load.
type loadOptions struct {
	playOptions
	address  string
	jsonFile string
}

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
	if r.Void != "" {
		return errFindings
	}
	return nil
}

func traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Work with traces in CSV"}
	c.AddCommand(generateTraceCommand(), checkTraceCommand())
	return c
}

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
	c.Flags().IntVar(&odd, "odd", 0, "one row in this many is invalid; 0: none")
	c.Flags().Int64Var(&seed, "seed", 1, "random seed")
	c.Flags().Float64Var(&rate, "rate", defaultTraceRate, "rows a second")
	return c
}

func checkTraceCommand() *cobra.Command {
	var p playOptions
	c := &cobra.Command{
		Use:   "check SCENARIO",
		Short: "Read a trace to its end and count invalid rows",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, files []string) error { return p.checkTrace(c.OutOrStdout(), files[0]) },
	}
	p.addFlags(c)
	return c
}

// checkTrace reads a trace to its end and prints what it has.
func (p *playOptions) checkTrace(out io.Writer, scenarioFile string) error {
	s, err := scenario.Read(scenarioFile)
	if err != nil {
		return err
	}
	if p.traceFile == "" {
		return errors.New("--trace: is not set")
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
	if reader.Ended != "" {
		return errFindings
	}
	return nil
}
