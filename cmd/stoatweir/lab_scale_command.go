package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"stoatweir/internal/lab/scale"
)

// scaleOptions are the flags of lab scale.
type scaleOptions struct {
	// program is the path of the scheduler to measure. If empty, this program is used.
	program string
	// sweepValues selects the values of the sweep to run. If empty, all are run.
	sweepValues []float64
	// overrides are settings, written key = value, that override those of the scenario file.
	overrides []string
	jsonFile  string
	plotFile  string
}

// scaleCommand returns the command lab scale, which runs a part of a large fleet on this machine
// for each value of a sweep.
func scaleCommand() *cobra.Command {
	var o scaleOptions
	c := &cobra.Command{
		Use:   "scale SCENARIO",
		Short: "Measure the cost of a large fleet to a scheduler: real schedulers among emulated peers",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, files []string) error { return o.run(c, files[0]) },
	}
	c.Flags().StringVar(&o.program, "bin", "", "the scheduler program to measure; this program if left out")
	c.Flags().Float64SliceVar(&o.sweepValues, "only", nil, "run these `values` of the sweep only; with --json they are merged into the file")
	c.Flags().StringArrayVar(&o.overrides, "set", nil, "a `key = value` that overrides the file; may be repeated")
	c.Flags().StringVar(&o.jsonFile, "json", "", "a `file` for all measurements as JSON")
	c.Flags().StringVar(&o.plotFile, "plot", "", "a `file` for a plot, .png")
	return c
}

func (o *scaleOptions) run(c *cobra.Command, file string) error {
	s, err := scale.ReadScenario(file, o.overrides...)
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	program := o.program
	if program == "" {
		program = executable
	}
	r, err := o.initialReport(s, file)
	if err != nil {
		return err
	}
	values := o.selectedValues(s)
	steps, err := scaleSteps(s, file, values)
	if err != nil {
		return err
	}
	rig := scale.Rig{Scheduler: program, EmulatorCommand: []string{executable, "lab", "hollow"}}
	for i, step := range steps {
		measured, err := rig.Run(c.Context(), step)
		if err != nil {
			return err
		}
		measured.Value = values[i]
		r.Add(measured)
		if err := writeFile(o.jsonFile, r.WriteJSON); err != nil {
			return err
		}
	}
	r.WriteMarkdown(c.OutOrStdout())
	return writeFile(o.plotFile, r.WritePlot)
}

// initialReport returns the report to which measurements are added. With --only it is the stored
// one.
func (o *scaleOptions) initialReport(s scale.Scenario, file string) (scale.Report, error) {
	var r scale.Report
	if o.jsonFile != "" && len(o.sweepValues) > 0 {
		stored, err := scale.ReadReport(o.jsonFile)
		if err != nil {
			return r, err
		}
		r = stored
	}
	r.Name = s.Name
	r.Key = s.Sweep.Key
	r.Command = "stoatweir lab scale " + file
	for _, setting := range o.overrides {
		r.Command += " --set '" + setting + "'"
	}
	return r, nil
}

// selectedValues returns the values of the sweep to run. A scenario without a sweep has one step
// with the value 0.
func (o *scaleOptions) selectedValues(s scale.Scenario) []float64 {
	switch {
	case s.Sweep.Key == "":
		return []float64{0}
	case len(o.sweepValues) > 0:
		return o.sweepValues
	default:
		return s.Sweep.Values
	}
}

// scaleSteps returns the scenario of each step. It checks all of them against this machine, so that
// an unsuitable one is reported before the first step starts any process.
func scaleSteps(s scale.Scenario, file string, values []float64) ([]scale.Scenario, error) {
	machine, err := scale.LocalMachine()
	if err != nil {
		return nil, err
	}
	var steps []scale.Scenario
	for _, value := range values {
		step, err := s.Step(value)
		if err != nil {
			return nil, fmt.Errorf("%s: sweep: %w", file, err)
		}
		if err := step.Fits(machine); err != nil {
			return nil, err
		}
		steps = append(steps, step)
	}
	return steps, nil
}

// hollowCommand returns the hidden command lab hollow, which lab scale starts as a separate process
// to emulate a part of the fleet.
func hollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return scale.RunEmulator(c.Context(), c.InOrStdin(), os.Stdout)
		},
	}
}
