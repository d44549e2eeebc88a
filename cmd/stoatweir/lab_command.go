package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"stoatweir/internal/lab/load"
	"stoatweir/internal/lab/loopback"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
	"stoatweir/internal/lab/trace"
	"stoatweir/internal/lab/virtual"
)

// errFound: what was asked for was done, and what it has found is no good.
var errFindings = errors.New("")

// command is the command line. Without any words the program serves.
func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "stoatweir", Short: "A dispatcher beside each submitter; without a command it serves",
		SilenceUsage: true, SilenceErrors: true, Run: func(*cobra.Command, []string) { runScheduler() }}
	root.CompletionOptions.DisableDefaultCmd = true
	lab := &cobra.Command{Use: "lab", Short: "Play described days, and say what a change does"}
	lab.AddCommand(checkCommand(), runCommand(), compareCommand(), loadCommand(), traceCommand(), scaleCommand(), hollowCommand())
	root.AddCommand(lab, tenantCommand())
	return root
}

// execute runs a command line. What is wrong with it ends with 2, what it has found with 1.
func execute(args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
		return 0
	case errors.Is(err, errFindings):
		return 1
	default:
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check SCENARIO...", Short: "Read scenarios and say what is wrong with them", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var all []error
			for _, file := range files {
				s, err := scenario.Read(file)
				if all = append(all, err); err == nil {
					w := model.New(s)
					fmt.Fprintf(c.OutOrStdout(), "%s: %s, %d schedulers, %d workers, %.1f invocations a second, %d troubles\n", file, s.Name,
						s.Schedulers.Count, len(w.Fleet.Machines), w.Clients.Rate(0), len(s.Troubles))
				}
			}
			return errors.Join(all...)
		}}
}

// played says how days are to be played.
type playOptions struct {
	mode, decider, program, csv, mapping string
	logs                                 bool
}

func (p *playOptions) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.csv, "trace", "", "a CSV `file` of which the load is taken, in place of the scenario's")
	c.Flags().StringVar(&p.mapping, "mapping", "", "the `file` that says what the trace's columns mean")
}

// source is the trace, if there is one.
func (p *playOptions) source(s scenario.Scenario, clients *model.Clients) (model.Source, *trace.Reader, io.Closer, error) {
	if p.csv == "" {
		return nil, nil, nil, nil
	}
	m, err := trace.ReadMapping(p.mapping, s)
	if err != nil {
		return nil, nil, nil, err
	}
	f, err := os.Open(p.csv)
	if err != nil {
		return nil, nil, nil, err
	}
	r, err := trace.Open(f, m, s, clients)
	if err != nil {
		f.Close()
		return nil, nil, nil, fmt.Errorf("%s: %w", p.csv, err)
	}
	return r, r, f, nil
}

// day plays one.
func (p *playOptions) play(ctx context.Context, s scenario.Scenario, decider string) (r report.Report, err error) {
	if p.mode == "loopback" {
		source, reader, file, err := p.source(s, model.New(s).Clients)
		if err != nil {
			return r, err
		}
		if file != nil {
			defer file.Close()
		}
		program := p.program
		if program == "" {
			if program, err = os.Executable(); err != nil {
				return r, err
			}
		}
		r, err := loopback.Play(ctx, s, source, program)
		r.Decider = "service"
		return withTrace(r, reader), err
	}
	maker := virtual.Module
	var d *virtual.Day
	if decider != "module" {
		prog, fault := virtual.Run(decider)
		if fault != nil {
			return r, fault
		}
		// One that has ended in the midst has decided nothing since: its figures are none.
		defer func() { err = errors.Join(err, prog.Err(), prog.Close()) }()
		maker = prog.Maker(func() time.Duration { return d.Time() })
	}
	d = virtual.New(s, maker)
	source, reader, file, err := p.source(s, d.World.Clients)
	if err != nil {
		return r, err
	}
	if file != nil {
		defer file.Close()
	}
	if p.logs {
		d.Log = func(now time.Duration, scheduler int, text string) {
			fmt.Fprintf(os.Stderr, "%.3f s scheduler %d: %s\n", now.Seconds(), scheduler, text)
		}
	}
	if err := d.Play(ctx, source); err != nil {
		return r, err
	}
	r = report.Of(d.World).Name(s.Name, "virtual", decider, s.Seed, s.Schedulers.Count, len(d.World.Fleet.Machines), s.Length.D())
	r.Costs.Events = d.Steps
	return withTrace(r, reader), nil
}

func withTrace(r report.Report, reader *trace.Reader) report.Report {
	if reader != nil {
		r.Trace, _ = reader.Counts.MarshalJSON()
	}
	return r
}

func writeFile(file string, do func(io.Writer) error) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(do(f), f.Close())
}

func runCommand() *cobra.Command {
	var p playOptions
	var seed int64
	var asJSON, plot string
	c := &cobra.Command{Use: "run SCENARIO", Short: "Play a day and tell what came of it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			s, err := scenario.Read(files[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = seed
			}
			if p.mode != "virtual" && p.mode != "loopback" {
				return fmt.Errorf("--mode: %q is neither virtual nor loopback", p.mode)
			}
			r, err := p.play(c.Context(), s, p.decider)
			if err != nil {
				return err
			}
			r.Text(c.OutOrStdout())
			if err := errors.Join(writeFile(asJSON, r.JSON), writeFile(plot, func(w io.Writer) error { return report.Plot(w, plot, r) })); err != nil {
				return err
			}
			if r.Broken() > 0 || r.Void != "" {
				return errFindings
			}
			return nil
		}}
	p.addFlags(c)
	c.Flags().StringVar(&p.mode, "mode", "virtual", "virtual, or loopback: real processes and sockets on this machine")
	c.Flags().StringVar(&p.decider, "decider", "module", "who decides in virtual time: module, or a command that speaks the simulator's wire")
	c.Flags().StringVar(&p.program, "program", "", "the scheduler that is started on loopback; this program if left out")
	c.Flags().Int64Var(&seed, "seed", 1, "in place of the scenario's")
	c.Flags().StringVar(&asJSON, "json", "", "a `file` for the report as JSON")
	c.Flags().StringVar(&plot, "plot", "", "a `file` for a plot, .svg or .png")
	c.Flags().BoolVar(&p.logs, "log", false, "show what deciders log")
	return c
}

func compareCommand() *cobra.Command {
	var p playOptions
	var a, b, against, asJSON, plot string
	var seeds int
	c := &cobra.Command{Use: "compare SCENARIO...", Short: "Play the same days with two deciders or settings and tell the difference", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			if p.mode = "virtual"; seeds < 1 {
				return fmt.Errorf("--seeds: %d is not over 0", seeds)
			}
			if against == "" && b == "" || against != "" && len(files) > 1 {
				return errors.New("--b, or --against with one scenario, is needed")
			}
			var days, others []scenario.Scenario
			for _, file := range files {
				s, err := scenario.Read(file)
				if err != nil {
					return err
				}
				other := s
				if against != "" {
					if other, err = scenario.Read(against); err != nil {
						return err
					}
					other.Name = s.Name
				}
				for n := range int64(seeds) {
					s.Seed, other.Seed = 1+n, 1+n
					days, others = append(days, s), append(others, other)
				}
			}
			nameA, nameB := a, cmp.Or(b, a)
			as, bs, err := p.playPairs(c.Context(), days, others, a, nameB)
			if err != nil {
				return err
			}
			if against != "" {
				nameA, nameB = files[0]+" by "+nameA, against+" by "+nameB
			}
			all := map[string][]report.Difference{}
			for at, file := range files {
				these := func(all []report.Report) []report.Report { return all[at*seeds : (at+1)*seeds] }
				if all[file], err = report.Compare(these(as), these(bs)); err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "\n%s\n", file)
				report.Table(c.OutOrStdout(), nameA, nameB, all[file])
			}
			broken := 0
			for _, r := range slices.Concat(as, bs) {
				broken += r.Broken()
			}
			err = errors.Join(writeFile(asJSON, func(w io.Writer) error {
				return json.NewEncoder(w).Encode(map[string]any{"differences": all, "a": as, "b": bs})
			}), writeFile(plot, func(w io.Writer) error { return report.Plot(w, plot, as[0], bs[0]) }))
			if err == nil && broken > 0 {
				return errFindings
			}
			return err
		}}
	p.addFlags(c)
	c.Flags().StringVar(&a, "a", "module", "the first decider: module, or a command on the simulator's wire")
	c.Flags().StringVar(&b, "b", "", "the second one; the first if left out")
	c.Flags().StringVar(&against, "against", "", "a second scenario `file` for the second one: other settings, the same days")
	c.Flags().IntVar(&seeds, "seeds", 10, "days of each scenario, by seeds from 1 on")
	c.Flags().StringVar(&asJSON, "json", "", "a `file` for the differences and all reports as JSON")
	c.Flags().StringVar(&plot, "plot", "", "a `file` for a plot of the first pair, .svg or .png")
	return c
}

// pairs plays each day twice, as many at a time as there are cores.
func (p *playOptions) playPairs(ctx context.Context, days, others []scenario.Scenario, a, b string) (as, bs []report.Report, err error) {
	as, bs = make([]report.Report, len(days)), make([]report.Report, len(days))
	errs := make([]error, 2*len(days))
	var wait sync.WaitGroup
	room := make(chan struct{}, runtime.NumCPU())
	for i := range days {
		for n, decider := range []string{a, b} {
			s, to := days[i], as
			if n == 1 {
				s, to = others[i], bs
			}
			wait.Add(1)
			room <- struct{}{}
			go func() {
				defer wait.Done()
				to[i], errs[2*i+n] = p.play(ctx, s, decider)
				<-room
			}()
		}
	}
	wait.Wait()
	return as, bs, errors.Join(errs...)
}

func loadCommand() *cobra.Command {
	var p playOptions
	var to, asJSON string
	c := &cobra.Command{Use: "load SCENARIO", Short: "Send a scenario's load to a scheduler that is running on this machine", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			s, err := scenario.Read(files[0])
			if err != nil {
				return err
			}
			source, reader, file, err := p.source(s, model.New(s).Clients)
			if err != nil {
				return err
			}
			if file != nil {
				defer file.Close()
			}
			r, err := load.Run(c.Context(), s, source, to)
			if err != nil {
				return err
			}
			r = withTrace(r, reader)
			r.Text(c.OutOrStdout())
			if err := writeFile(asJSON, r.JSON); err != nil {
				return err
			}
			if r.Void != "" {
				return errFindings
			}
			return nil
		}}
	p.addFlags(c)
	c.Flags().StringVar(&to, "to", "", "the scheduler's `address`, on loopback")
	c.Flags().StringVar(&asJSON, "json", "", "a `file` for the report as JSON")
	c.MarkFlagRequired("to")
	return c
}

func traceCommand() *cobra.Command {
	t := &cobra.Command{Use: "trace", Short: "Traces in CSV"}
	var rows, odd int
	var seed int64
	var rate float64
	generate := &cobra.Command{Use: "generate FILE", Short: "Write a made-up trace for trying things out", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return writeFile(files[0], func(w io.Writer) error { return trace.Generate(w, rows, seed, rate, odd) })
		}}
	generate.Flags().IntVar(&rows, "rows", 10000, "how many")
	generate.Flags().IntVar(&odd, "odd", 0, "one row in so many is not as it should be; 0: none")
	generate.Flags().Int64Var(&seed, "seed", 1, "of chance")
	generate.Flags().Float64Var(&rate, "rate", 100, "rows a second")
	var p playOptions
	check := &cobra.Command{Use: "check SCENARIO", Short: "Read a trace to its end and count what is odd", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			s, err := scenario.Read(files[0])
			if err != nil {
				return err
			}
			if p.csv == "" {
				return errors.New("--trace: is not set")
			}
			_, r, file, err := p.source(s, model.New(s).Clients)
			if err != nil {
				return err
			}
			defer file.Close()
			last := time.Duration(0)
			for {
				j, more := r.Next()
				if !more {
					break
				}
				last = j.At
			}
			text, _ := r.Counts.MarshalJSON()
			fmt.Fprintf(c.OutOrStdout(), "%s\nlasts %v\n", text, last.Round(time.Millisecond))
			if r.Ended != "" {
				return errFindings
			}
			return nil
		}}
	p.addFlags(check)
	t.AddCommand(generate, check)
	return t
}
