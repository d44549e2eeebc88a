// Package report has the figures of a played day: as JSON, as text, as plots, and side by side with another.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"stoatweir/internal/lab/model"
)

// Report is one played day. The same day in virtual time gives the same report to the byte, so it holds nothing of the
// machine that it was played on.
type Report struct {
	Version  int    `json:"version"`
	Scenario string `json:"scenario"`
	Mode     string `json:"mode"` // virtual or loopback
	Decider  string `json:"decider"`
	Seed     int64  `json:"seed"`
	Void     string `json:"void,omitempty"` // why its figures must not be used

	Schedulers     int     `json:"schedulers"`
	Workers        int     `json:"workers"`
	Duration       float64 `json:"seconds"`
	Service        float64 `json:"service"`    // value answered within the latency objective, of the value offered
	WorstInterval  float64 `json:"worst_span"` // the same in the worst ten seconds
	WorstOperation float64 `json:"worst"`      // and for the worst operation

	All             Service           `json:"all"`
	Operations      []Service         `json:"operations"`
	Tenants         []Service         `json:"tenants,omitempty"`
	Zones           []Service         `json:"zones,omitempty"`
	ServiceBySecond []float64         `json:"service_by_second"`
	Costs           Costs             `json:"costs"`
	ViolationCounts map[string]int    `json:"rules_broken"`
	Violations      []model.Violation `json:"breaks,omitempty"`
	Lateness        *Lateness         `json:"lateness,omitempty"`
	Trace           json.RawMessage   `json:"trace,omitempty"`
}

// Line is the service of a part of the load. Times are in milliseconds, from when the first try was meant to be sent.
type Service struct {
	Name         string  `json:"name"`
	Offered      int     `json:"offered"`
	ValueOffered float64 `json:"value_offered"` // billed, by the work that invocations take
	ValueServed  float64 `json:"value_served"`  // of it, what was answered within the latency objective
	ServedShare  float64 `json:"service"`
	InTime       int     `json:"in_time"`
	Late         int     `json:"late"`
	Throttled    int     `json:"throttled"`
	Errored      int     `json:"errored"`
	Unanswered   int     `json:"unanswered"`
	P50          float64 `json:"p50_ms"`
	P90          float64 `json:"p90_ms"`
	P99          float64 `json:"p99_ms"`
	P999         float64 `json:"p999_ms"`
}

// Costs are what the service took.
type Costs struct {
	Requests         int     `json:"tries"`
	Forwards         int     `json:"forwards"`
	DuplicateRuns    int     `json:"duplicate_runs"`
	WastedShare      float64 `json:"wasted_work"` // of the work offered
	HealthChecks     int     `json:"probes"`
	Connections      int     `json:"connections"`
	DiscoveryQueries int     `json:"list_calls"`
	Events           int     `json:"events,omitempty"` // that a day in virtual time took
	MaxWarmUpLoad    float64 `json:"cold_use"`         // the most that a cold worker was sent, of what it can bear
}

// Lateness tells how well a load that is sent in real time kept to its times.
type Lateness struct {
	Sent int     `json:"sent"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Max  float64 `json:"most_ms"`
}

const worstIntervalSeconds = 10 // seconds

// Of makes the report of a day that is over.
func Of(w *model.Model) Report {
	t := w.Statistics
	r := Report{Version: 1, All: serviceOf(t.All), ViolationCounts: map[string]int{}, Violations: w.Rules.Violations, WorstOperation: 1, WorstInterval: 1,
		Costs: Costs{Requests: t.Requests, Forwards: t.Forwards, DuplicateRuns: t.Duplicates, WastedShare: roundPositive(t.WastedShare()), HealthChecks: t.HealthChecks,
			Connections: t.Connections, DiscoveryQueries: w.Discovery.Queries, MaxWarmUpLoad: roundPositive(t.MaxWarmUpLoad)}}
	r.Service = r.All.ServedShare
	for _, l := range t.Operations {
		r.Operations = append(r.Operations, serviceOf(l))
		if l.Offered > 0 {
			r.WorstOperation = min(r.WorstOperation, servedShare(l.ValueServed, l.ValueOffered))
		}
	}
	for _, l := range t.Tenants {
		r.Tenants = append(r.Tenants, serviceOf(l))
	}
	for _, l := range t.Zones {
		r.Zones = append(r.Zones, serviceOf(l))
	}
	for i, s := range t.Intervals {
		r.ServiceBySecond = append(r.ServiceBySecond, servedShare(s.ValueServed, s.ValueOffered))
		if i+1 >= worstIntervalSeconds || i+1 == len(t.Intervals) {
			var value, served float64
			for _, s := range t.Intervals[max(0, i+1-worstIntervalSeconds) : i+1] {
				value, served = value+s.ValueOffered, served+s.ValueServed
			}
			r.WorstInterval = min(r.WorstInterval, servedShare(served, value))
		}
	}
	for rule, n := range w.Rules.Counts {
		r.ViolationCounts[model.Rule(rule).String()] = n
	}
	return r
}

// round keeps what the figures mean; what lies behind it differs by how sums are made.
func roundPositive(v float64) float64 { return float64(int64(v*1e6+0.5)) / 1e6 }

func servedShare(part, of float64) float64 {
	if of <= 0 {
		return 1
	}
	return roundPositive(part / of)
}

func serviceOf(l *model.Service) Service {
	at := func(q float64) float64 { return float64(l.Latency.ValueAtQuantile(q)) / 1e3 }
	return Service{Name: l.Name, Offered: l.Offered, ValueOffered: roundPositive(l.ValueOffered), ValueServed: roundPositive(l.ValueServed), ServedShare: servedShare(l.ValueServed, l.ValueOffered), InTime: l.InTime, Late: l.Late,
		Throttled: l.Throttled, Errored: l.Errored, Unanswered: l.Unanswered, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9)}
}

// Broken counts broken rules.
func (r Report) Broken() (n int) {
	for _, c := range r.ViolationCounts {
		n += c
	}
	return n
}

// JSON writes the report for programs.
func (r Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Text writes it for people.
func (r Report) Text(w io.Writer) {
	fmt.Fprintf(w, "%s, %s, %s, seed %d: %d schedulers, %d workers, %.0f s (simulated)\n", r.Scenario, r.Mode, r.Decider, r.Seed, r.Schedulers,
		r.Workers, r.Duration)
	if r.Void != "" {
		fmt.Fprintf(w, "VOID: %s\n", r.Void)
	}
	fmt.Fprintf(w, "service %.4f of the value offered, worst %d s %.4f, worst operation %.4f\n\n", r.Service, worstIntervalSeconds, r.WorstInterval, r.WorstOperation)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tservice\toffered\tin time\tlate\tthrottled\terrored\tunanswered\tp50 ms\tp90\tp99\tp99.9\t")
	for _, part := range [][]Service{{r.All}, r.Operations, r.Tenants, r.Zones} {
		for _, l := range part {
			fmt.Fprintf(t, "%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", l.Name, l.ServedShare, l.Offered, l.InTime, l.Late,
				l.Throttled, l.Errored, l.Unanswered, l.P50, l.P90, l.P99, l.P999)
		}
	}
	t.Flush()
	c := r.Costs
	fmt.Fprintf(w, "\n%d tries, %d forwards, %d duplicate runs, %.4f of the work wasted, %d probes, %d connections, %d list calls; cold workers up to %.2f of what they bear\n",
		c.Requests, c.Forwards, c.DuplicateRuns, c.WastedShare, c.HealthChecks, c.Connections, c.DiscoveryQueries, c.MaxWarmUpLoad)
	if c.Events > 0 {
		fmt.Fprintf(w, "%d events\n", c.Events)
	}
	if l := r.Lateness; l != nil {
		fmt.Fprintf(w, "the load was sent late by %.2f ms in the middle, %.2f ms at p99, %.2f ms at most\n", l.P50, l.P99, l.Max)
	}
	if len(r.Trace) > 0 {
		fmt.Fprintf(w, "trace: %s\n", r.Trace)
	}
	if r.Broken() == 0 {
		fmt.Fprintln(w, "no rule broken")
		return
	}
	var all []string
	for n := range model.Rule(len(r.ViolationCounts)) {
		if count := r.ViolationCounts[n.String()]; count > 0 {
			all = append(all, fmt.Sprintf("%s %d times", n, count))
		}
	}
	fmt.Fprintln(w, "RULES BROKEN:", strings.Join(all, ", "))
	for _, b := range r.Violations {
		fmt.Fprintf(w, "\n%.4f s, scheduler %d, %s: %s\n", b.At.Seconds(), b.Scheduler, b.Rule, b.Text)
		for _, line := range b.History {
			fmt.Fprintln(w, "   ", line)
		}
	}
}

// Name gives the report what the model does not know.
func (r Report) Name(scenario, mode, decider string, seed int64, schedulers, workers int, length time.Duration) Report {
	r.Scenario, r.Mode, r.Decider, r.Seed, r.Schedulers, r.Workers, r.Duration = scenario, mode, decider, seed, schedulers, workers, length.Seconds()
	return r
}
