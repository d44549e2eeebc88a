package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"stoatweir/internal/lab/scale"
)

// scaleCommand plays a part of a large fleet on this machine, step by step of a sweep.
func scaleCommand() *cobra.Command {
	var program, asJSON, plot string
	var only []float64
	var set []string
	c := &cobra.Command{Use: "scale SCENARIO", Short: "Measure what a large fleet costs a scheduler: real ones beside hollow processes", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			s, err := scale.Read(files[0], set...)
			if err != nil {
				return err
			}
			own, err := os.Executable()
			if err != nil {
				return err
			}
			if program == "" {
				program = own
			}
			r := scale.Report{}
			if asJSON != "" && len(only) > 0 {
				if r, err = scale.ReadReport(asJSON); err != nil {
					return err
				}
			}
			r.Name, r.Key, r.Command = s.Name, s.Sweep.Key, "stoatweir lab scale "+files[0]
			for _, v := range set {
				r.Command += " --set '" + v + "'"
			}
			values := s.Sweep.Values
			if len(only) > 0 {
				values = only
			}
			if s.Sweep.Key == "" {
				values = []float64{0}
			}
			rig := scale.Rig{Scheduler: program, Hollow: []string{own, "lab", "hollow"}}
			machine, err := scale.This()
			if err != nil {
				return err
			}
			// All steps are looked at before the first one starts anything.
			var steps []scale.Scenario
			for _, v := range values {
				step, err := s.Step(v)
				if err != nil {
					return fmt.Errorf("%s: sweep: %w", files[0], err)
				}
				if err := step.Fits(machine); err != nil {
					return err
				}
				steps = append(steps, step)
			}
			for i, step := range steps {
				m, err := rig.Play(c.Context(), step)
				if err != nil {
					return err
				}
				m.Value = values[i]
				r.Add(m)
				if err := writeFile(asJSON, r.JSON); err != nil {
					return err
				}
			}
			r.Text(c.OutOrStdout())
			return writeFile(plot, r.Plot)
		}}
	c.Flags().StringVar(&program, "bin", "", "the scheduler that is measured, of any checkout; this program if left out")
	c.Flags().Float64SliceVar(&only, "only", nil, "these `values` of the sweep alone; with --json they are put into what is there")
	c.Flags().StringArrayVar(&set, "set", nil, "a `key = value` that goes before the file's; may be given more than once")
	c.Flags().StringVar(&asJSON, "json", "", "a `file` for all figures as JSON")
	c.Flags().StringVar(&plot, "plot", "", "a `file` for a plot, .png")
	return c
}

// hollowCommand is a process that stands for a part of the fleet. The rig starts it.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow", Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return scale.Hollow(c.Context(), c.InOrStdin(), io.Writer(os.Stdout))
	}}
}
