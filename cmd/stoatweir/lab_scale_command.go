package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"stoatweir/internal/lab/scale"
)

// scaleOptions are the flags of lab scale.
type scaleOptions struct {
	// program is the scheduler that is measured; empty: this program.
	program string
	// only are the values of the sweep that are played; empty: all.
	only []float64
	// set are settings that go before the scenario's.
	set      []string
	jsonFile string
	plotFile string
}

// scaleCommand plays a part of a large fleet on this machine, step by step of a sweep.
func scaleCommand() *cobra.Command {
	var o scaleOptions
	c := &cobra.Command{
		Use:   "scale SCENARIO",
		Short: "Measure what a large fleet costs a scheduler: real schedulers beside emulated peers",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, files []string) error { return o.run(c, files[0]) },
	}
	c.Flags().StringVar(&o.program, "bin", "", "the scheduler program that is measured; this program if left out")
	c.Flags().Float64SliceVar(&o.only, "only", nil, "run these `values` of the sweep only; with --json they are merged into the file")
	c.Flags().StringArrayVar(&o.set, "set", nil, "a `key = value` that overrides the file; may be repeated")
	c.Flags().StringVar(&o.jsonFile, "json", "", "a `file` for all figures as JSON")
	c.Flags().StringVar(&o.plotFile, "plot", "", "a `file` for a plot, .png")
	return c
}

func (o *scaleOptions) run(c *cobra.Command, file string) error {
	s, err := scale.Read(file, o.set...)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	program := o.program
	if program == "" {
		program = own
	}
	r, err := o.report(s, file)
	if err != nil {
		return err
	}
	values := o.values(s)
	steps, err := scaleSteps(s, file, values)
	if err != nil {
		return err
	}
	rig := scale.Rig{Scheduler: program, Hollow: []string{own, "lab", "hollow"}}
	for i, step := range steps {
		measured, err := rig.Play(c.Context(), step)
		if err != nil {
			return err
		}
		measured.Value = values[i]
		r.Add(measured)
		if err := writeFile(o.jsonFile, r.JSON); err != nil {
			return err
		}
	}
	r.Text(c.OutOrStdout())
	return writeFile(o.plotFile, r.Plot)
}

// report is what the measurements are added to: with --only the stored one.
func (o *scaleOptions) report(s scale.Scenario, file string) (scale.Report, error) {
	var r scale.Report
	if o.jsonFile != "" && len(o.only) > 0 {
		stored, err := scale.ReadReport(o.jsonFile)
		if err != nil {
			return r, err
		}
		r = stored
	}
	r.Name = s.Name
	r.Key = s.Sweep.Key
	r.Command = "stoatweir lab scale " + file
	for _, setting := range o.set {
		r.Command += " --set '" + setting + "'"
	}
	return r, nil
}

// values are those of the sweep that are played. Without a sweep there is one step.
func (o *scaleOptions) values(s scale.Scenario) []float64 {
	switch {
	case s.Sweep.Key == "":
		return []float64{0}
	case len(o.only) > 0:
		return o.only
	default:
		return s.Sweep.Values
	}
}

// scaleSteps checks all steps before the first one starts anything.
func scaleSteps(s scale.Scenario, file string, values []float64) ([]scale.Scenario, error) {
	machine, err := scale.This()
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

// hollowCommand is a process that simulates a part of the fleet. The rig starts it.
func hollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return scale.Hollow(c.Context(), c.InOrStdin(), os.Stdout)
		},
	}
}
