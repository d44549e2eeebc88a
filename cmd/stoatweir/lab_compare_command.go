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

// defaultSeedCount is the default number of seeds that each scenario is run with.
const defaultSeedCount = 10

// compareOptions are the flags of lab compare. Both sides run the same scenarios with the same
// seeds: side A with deciderA, side B with deciderB, with the settings of scenarioFileB, or with
// both.
type compareOptions struct {
	scenarioOptions
	deciderA      string
	deciderB      string
	scenarioFileB string
	seedCount     int
	jsonFile      string
	plotFile      string
}

// comparison holds the reports of the two sides. Reports are ordered by scenario file and then by
// seed.
type comparison struct {
	A           []report.Report                `json:"a"`
	B           []report.Report                `json:"b"`
	Differences map[string][]report.Difference `json:"differences"` // by scenario file
}

// compareCommand returns the command lab compare.
func compareCommand() *cobra.Command {
	o := compareOptions{scenarioOptions: scenarioOptions{mode: modeVirtual}}
	c := &cobra.Command{
		Use:   "compare SCENARIO...",
		Short: "Run the same scenarios with two deciders or settings and report the differences",
		Args:  cobra.MinimumNArgs(1),
		RunE:  o.run,
	}
	o.addFlags(c)
	c.Flags().StringVar(&o.deciderA, "a", deciderModule, "the first decider: module, or a command that speaks the simulator protocol")
	c.Flags().StringVar(&o.deciderB, "b", "", "the second decider; the first if left out")
	c.Flags().StringVar(&o.scenarioFileB, "against", "", "a scenario `file` with other settings for the second decider")
	c.Flags().IntVar(&o.seedCount, "seeds", defaultSeedCount, "number of seeds, from 1, that each scenario is run with")
	c.Flags().StringVar(&o.jsonFile, "json", "", "a `file` for the differences and all reports as JSON")
	c.Flags().StringVar(&o.plotFile, "plot", "", "a `file` for a plot of the first pair, .svg or .png")
	return c
}

func (o *compareOptions) run(c *cobra.Command, files []string) error {
	if o.seedCount < 1 {
		return fmt.Errorf("--seeds: %d is less than 1", o.seedCount)
	}
	if o.scenarioFileB == "" && o.deciderB == "" || o.scenarioFileB != "" && len(files) > 1 {
		return errors.New("--b, or --against with exactly one scenario, is required")
	}
	scenariosA, scenariosB, err := o.scenarioPairs(files)
	if err != nil {
		return err
	}
	deciderB := cmp.Or(o.deciderB, o.deciderA)
	result := comparison{Differences: map[string][]report.Difference{}}
	result.A, result.B, err = o.runPairs(c.Context(), scenariosA, scenariosB, o.deciderA, deciderB)
	if err != nil {
		return err
	}
	nameA, nameB := o.deciderA, deciderB
	if o.scenarioFileB != "" {
		nameA = files[0] + " by " + nameA
		nameB = o.scenarioFileB + " by " + nameB
	}
	for i, file := range files {
		first, end := i*o.seedCount, (i+1)*o.seedCount
		differences, err := report.Compare(result.A[first:end], result.B[first:end])
		if err != nil {
			return err
		}
		result.Differences[file] = differences
		fmt.Fprintf(c.OutOrStdout(), "\n%s\n", file)
		report.Table(c.OutOrStdout(), nameA, nameB, differences)
	}
	return o.writeResults(result)
}

// scenarioPairs returns the scenarios that the two sides run. Scenarios with the same index belong
// together.
func (o *compareOptions) scenarioPairs(files []string) (scenariosA, scenariosB []scenario.Scenario, err error) {
	for _, file := range files {
		scenarioA, err := scenario.Read(file)
		if err != nil {
			return nil, nil, err
		}
		scenarioB := scenarioA
		if o.scenarioFileB != "" {
			scenarioB, err = scenario.Read(o.scenarioFileB)
			if err != nil {
				return nil, nil, err
			}
			scenarioB.Name = scenarioA.Name
		}
		for n := range o.seedCount {
			scenarioA.Seed = int64(n) + 1
			scenarioB.Seed = scenarioA.Seed
			scenariosA = append(scenariosA, scenarioA)
			scenariosB = append(scenariosB, scenarioB)
		}
	}
	return scenariosA, scenariosB, nil
}

// writeResults writes the output files, and returns errFindings if a run violated an invariant.
func (o *compareOptions) writeResults(result comparison) error {
	err := errors.Join(
		writeFile(o.jsonFile, func(w io.Writer) error { return json.NewEncoder(w).Encode(result) }),
		writeFile(o.plotFile, func(w io.Writer) error { return report.Plot(w, o.plotFile, result.A[0], result.B[0]) }),
	)
	if err != nil {
		return err
	}
	for _, r := range slices.Concat(result.A, result.B) {
		if r.ViolationCount() > 0 {
			return errFindings
		}
	}
	return nil
}

// runPairs runs each pair of scenarios, with as many runs at a time as there are cores.
func (p *scenarioOptions) runPairs(ctx context.Context, scenariosA, scenariosB []scenario.Scenario,
	deciderA, deciderB string) (reportsA, reportsB []report.Report, err error) {
	reportsA = make([]report.Report, len(scenariosA))
	reportsB = make([]report.Report, len(scenariosB))
	errsA := make([]error, len(scenariosA))
	errsB := make([]error, len(scenariosB))
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	start := func(s scenario.Scenario, decider string, result *report.Report, resultErr *error) {
		slots <- struct{}{}
		running.Go(func() {
			*result, *resultErr = p.runScenario(ctx, s, decider)
			<-slots
		})
	}
	for i := range scenariosA {
		start(scenariosA[i], deciderA, &reportsA[i], &errsA[i])
		start(scenariosB[i], deciderB, &reportsB[i], &errsB[i])
	}
	running.Wait()
	var errs []error
	for i := range errsA {
		errs = append(errs, errsA[i], errsB[i])
	}
	return reportsA, reportsB, errors.Join(errs...)
}
