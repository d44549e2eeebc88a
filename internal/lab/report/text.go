package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"stoatweir/internal/lab/model"
)

// Text writes the report as human-readable text.
func (r Report) Text(w io.Writer) {
	fmt.Fprintf(w, "%s, %s, %s, seed %d: %d schedulers, %d workers, %.0f s (simulated)\n",
		r.Scenario, r.Mode, r.Policy, r.Seed, r.Schedulers, r.Workers, r.Duration)
	if r.InvalidReason != "" {
		fmt.Fprintf(w, "VOID: %s\n", r.InvalidReason)
	}
	fmt.Fprintf(w, "service %.4f of the value offered, worst %d s %.4f, worst operation %.4f\n\n",
		r.Service, worstIntervalSeconds, r.WorstInterval, r.WorstOperation)
	r.serviceTable(w)
	r.Costs.text(w)
	if lateness := r.Lateness; lateness != nil {
		fmt.Fprintf(w, "the load was sent late by %.2f ms in the middle, %.2f ms at p99, %.2f ms at most\n",
			lateness.P50, lateness.P99, lateness.Max)
	}
	if len(r.Trace) > 0 {
		fmt.Fprintf(w, "trace: %s\n", r.Trace)
	}
	r.violations(w)
}

// serviceTable writes one row for each part of the load.
func (r Report) serviceTable(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\tservice\toffered\tin time\tlate\tthrottled\terrored\tunanswered\tp50 ms\tp90\tp99\tp99.9\t")
	for _, services := range [][]Service{{r.All}, r.Operations, r.Tenants, r.Zones} {
		for _, s := range services {
			fmt.Fprintf(table, "%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
				s.Name, s.ServedShare, s.Offered, s.InTime, s.Late, s.Throttled, s.Errored, s.Unanswered,
				s.P50, s.P90, s.P99, s.P999)
		}
	}
	table.Flush()
}

// text writes the costs as one line, and the number of simulation events if there were any.
func (c Costs) text(w io.Writer) {
	fmt.Fprintf(w, "\n%d tries, %d forwards, %d duplicate runs, %.4f of the work wasted, %d probes, %d connections, "+
		"%d list calls; cold workers up to %.2f of what they bear\n",
		c.Requests, c.Forwards, c.DuplicateRuns, c.WastedShare, c.HealthChecks, c.Connections,
		c.DiscoveryQueries, c.MaxWarmUpLoad)
	if c.Events > 0 {
		fmt.Fprintf(w, "%d events\n", c.Events)
	}
}

// violations writes how often each rule was broken, and the recorded violations with their histories.
func (r Report) violations(w io.Writer) {
	if r.ViolationCount() == 0 {
		fmt.Fprintln(w, "no rule broken")
		return
	}
	var counts []string
	for rule := range model.Rule(len(r.ViolationCounts)) {
		if n := r.ViolationCounts[rule.String()]; n > 0 {
			counts = append(counts, fmt.Sprintf("%s %d times", rule, n))
		}
	}
	fmt.Fprintln(w, "RULES BROKEN:", strings.Join(counts, ", "))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "\n%.4f s, scheduler %d, %s: %s\n", v.At.Seconds(), v.Scheduler, v.Rule, v.Text)
		for _, line := range v.History {
			fmt.Fprintln(w, "   ", line)
		}
	}
}
