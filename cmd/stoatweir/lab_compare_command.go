package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"

	"github.com/spf13/cobra"

	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
)

// defaultSeeds is how many days of a scenario are compared.
const defaultSeeds = 10

// compareOptions are the flags of lab compare. Two sides play the same days: the first with deciderA, the second with
// deciderB or, with other settings, as scenarioB has it.
type compareOptions struct {
	playOptions
	deciderA  string
	deciderB  string
	scenarioB string
	seeds     int
	jsonFile  string
	plotFile  string
}

// comparison is what the two sides made of the same days, which go by file and then by seed.
type comparison struct {
	A           []report.Report                `json:"a"`
	B           []report.Report                `json:"b"`
	Differences map[string][]report.Difference `json:"differences"` // by file
}

func compareCommand() *cobra.Command {
	o := compareOptions{playOptions: playOptions{mode: modeVirtual}}
	c := &cobra.Command{
		Use:   "compare SCENARIO...",
		Short: "Run the same scenarios with two deciders or settings and report the differences",
		Args:  cobra.MinimumNArgs(1),
		RunE:  o.run,
	}
	o.addFlags(c)
	c.Flags().StringVar(&o.deciderA, "a", deciderModule, "the first decider: module, or a command on the simulator's wire")
	c.Flags().StringVar(&o.deciderB, "b", "", "the second decider; the first if left out")
	c.Flags().StringVar(&o.scenarioB, "against", "", "a scenario `file` with other settings for the second decider")
	c.Flags().IntVar(&o.seeds, "seeds", defaultSeeds, "number of seeds, from 1, that each scenario is run with")
	c.Flags().StringVar(&o.jsonFile, "json", "", "a `file` for the differences and all reports as JSON")
	c.Flags().StringVar(&o.plotFile, "plot", "", "a `file` for a plot of the first pair, .svg or .png")
	return c
}

func (o *compareOptions) run(c *cobra.Command, files []string) error {
	if o.seeds < 1 {
		return fmt.Errorf("--seeds: %d is not over 0", o.seeds)
	}
	if o.scenarioB == "" && o.deciderB == "" || o.scenarioB != "" && len(files) > 1 {
		return errors.New("--b, or --against with one scenario, is needed")
	}
	daysA, daysB, err := o.days(files)
	if err != nil {
		return err
	}
	deciderB := cmp.Or(o.deciderB, o.deciderA)
	result := comparison{Differences: map[string][]report.Difference{}}
	result.A, result.B, err = o.playPairs(c.Context(), daysA, daysB, o.deciderA, deciderB)
	if err != nil {
		return err
	}
	nameA, nameB := o.deciderA, deciderB
	if o.scenarioB != "" {
		nameA = files[0] + " by " + nameA
		nameB = o.scenarioB + " by " + nameB
	}
	for i, file := range files {
		first, end := i*o.seeds, (i+1)*o.seeds
		differences, err := report.Compare(result.A[first:end], result.B[first:end])
		if err != nil {
			return err
		}
		result.Differences[file] = differences
		fmt.Fprintf(c.OutOrStdout(), "\n%s\n", file)
		report.Table(c.OutOrStdout(), nameA, nameB, differences)
	}
	return o.finish(result)
}

// days gives the days of the two sides, in pairs.
func (o *compareOptions) days(files []string) (daysA, daysB []scenario.Scenario, err error) {
	for _, file := range files {
		dayA, err := scenario.Read(file)
		if err != nil {
			return nil, nil, err
		}
		dayB := dayA
		if o.scenarioB != "" {
			dayB, err = scenario.Read(o.scenarioB)
			if err != nil {
				return nil, nil, err
			}
			dayB.Name = dayA.Name
		}
		for n := range o.seeds {
			dayA.Seed = int64(n) + 1
			dayB.Seed = dayA.Seed
			daysA = append(daysA, dayA)
			daysB = append(daysB, dayB)
		}
	}
	return daysA, daysB, nil
}

// finish writes the files, and fails where a rule was broken.
func (o *compareOptions) finish(result comparison) error {
	err := errors.Join(
		writeFile(o.jsonFile, func(w io.Writer) error { return json.NewEncoder(w).Encode(result) }),
		writeFile(o.plotFile, func(w io.Writer) error { return report.Plot(w, o.plotFile, result.A[0], result.B[0]) }),
	)
	if err != nil {
		return err
	}
	for _, r := range slices.Concat(result.A, result.B) {
		if r.Broken() > 0 {
			return errFindings
		}
	}
	return nil
}

// playPairs plays each pair of days, as many days at a time as there are cores.
func (p *playOptions) playPairs(ctx context.Context, daysA, daysB []scenario.Scenario, deciderA, deciderB string) (a, b []report.Report,
	err error) {
	a = make([]report.Report, len(daysA))
	b = make([]report.Report, len(daysB))
	errsA := make([]error, len(daysA))
	errsB := make([]error, len(daysB))
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	start := func(day scenario.Scenario, decider string, result *report.Report, resultErr *error) {
		slots <- struct{}{}
		running.Go(func() {
			*result, *resultErr = p.play(ctx, day, decider)
			<-slots
		})
	}
	for i := range daysA {
		start(daysA[i], deciderA, &a[i], &errsA[i])
		start(daysB[i], deciderB, &b[i], &errsB[i])
	}
	running.Wait()
	var errs []error
	for i := range errsA {
		errs = append(errs, errsA[i], errsB[i])
	}
	return a, b, errors.Join(errs...)
}
