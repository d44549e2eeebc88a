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

	Schedulers int     `json:"schedulers"`
	Workers    int     `json:"workers"`
	Seconds    float64 `json:"seconds"`
	Service    float64 `json:"service"`    // value answered within the latency objective, of the value offered
	WorstSpan  float64 `json:"worst_span"` // the same in the worst ten seconds
	Worst      float64 `json:"worst"`      // and for the worst operation

	All        Line            `json:"all"`
	Operations []Line          `json:"operations"`
	Tenants    []Line          `json:"tenants,omitempty"`
	Zones      []Line          `json:"zones,omitempty"`
	Seconds1   []float64       `json:"service_by_second"`
	Costs      Costs           `json:"costs"`
	Rules      map[string]int  `json:"rules_broken"`
	Breaks     []model.Break   `json:"breaks,omitempty"`
	Lateness   *Lateness       `json:"lateness,omitempty"`
	Trace      json.RawMessage `json:"trace,omitempty"`
}

// Line is the service of a part of the load. Times are in milliseconds, from when the first try was meant to be sent.
type Line struct {
	Name      string  `json:"name"`
	Offered   int     `json:"offered"`
	Value     float64 `json:"value_offered"` // billed, by the work that invocations take
	Served    float64 `json:"value_served"`  // of it, what was answered within the latency objective
	Service   float64 `json:"service"`
	InTime    int     `json:"in_time"`
	Late      int     `json:"late"`
	Throttled int     `json:"throttled"`
	Errored   int     `json:"errored"`
	Missed    int     `json:"unanswered"`
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
}

// Costs are what the service took.
type Costs struct {
	Tries       int     `json:"tries"`
	Forwards    int     `json:"forwards"`
	Duplicates  int     `json:"duplicate_runs"`
	Wasted      float64 `json:"wasted_work"` // of the work offered
	Probes      int     `json:"probes"`
	Connections int     `json:"connections"`
	ListCalls   int     `json:"list_calls"`
	Events      int     `json:"events,omitempty"` // that a day in virtual time took
	ColdUse     float64 `json:"cold_use"`         // the most that a cold worker was sent, of what it can bear
}

// Lateness tells how well a load that is sent in real time kept to its times.
type Lateness struct {
	Sent int     `json:"sent"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Most float64 `json:"most_ms"`
}

const worstSpan = 10 // seconds

// Of makes the report of a day that is over.
func Of(w *model.World) Report {
	t := w.Tally
	r := Report{Version: 1, All: line(t.All), Rules: map[string]int{}, Breaks: w.Judge.Breaks, Worst: 1, WorstSpan: 1,
		Costs: Costs{Tries: t.Tries, Forwards: t.Forwards, Duplicates: t.Duplicates, Wasted: round(t.Wasted()), Probes: t.Probes,
			Connections: t.Connections, ListCalls: w.List.Calls, ColdUse: round(t.ColdUse)}}
	r.Service = r.All.Service
	for _, l := range t.Operations {
		r.Operations = append(r.Operations, line(l))
		if l.Offered > 0 {
			r.Worst = min(r.Worst, share(l.Served, l.Value))
		}
	}
	for _, l := range t.Tenants {
		r.Tenants = append(r.Tenants, line(l))
	}
	for _, l := range t.Zones {
		r.Zones = append(r.Zones, line(l))
	}
	for i, s := range t.Spans {
		r.Seconds1 = append(r.Seconds1, share(s.Served, s.Value))
		if i+1 >= worstSpan || i+1 == len(t.Spans) {
			var value, served float64
			for _, s := range t.Spans[max(0, i+1-worstSpan) : i+1] {
				value, served = value+s.Value, served+s.Served
			}
			r.WorstSpan = min(r.WorstSpan, share(served, value))
		}
	}
	for rule, n := range w.Judge.Counted {
		r.Rules[model.Rule(rule).String()] = n
	}
	return r
}

// round keeps what the figures mean; what lies behind it differs by how sums are made.
func round(v float64) float64 { return float64(int64(v*1e6+0.5)) / 1e6 }

func share(part, of float64) float64 {
	if of <= 0 {
		return 1
	}
	return round(part / of)
}

func line(l *model.Line) Line {
	at := func(q float64) float64 { return float64(l.Waits.ValueAtQuantile(q)) / 1e3 }
	return Line{Name: l.Name, Offered: l.Offered, Value: round(l.Value), Served: round(l.Served), Service: share(l.Served, l.Value), InTime: l.InTime, Late: l.Late,
		Throttled: l.Throttled, Errored: l.Errored, Missed: l.Missed, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9)}
}

// Broken counts broken rules.
func (r Report) Broken() (n int) {
	for _, c := range r.Rules {
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
		r.Workers, r.Seconds)
	if r.Void != "" {
		fmt.Fprintf(w, "VOID: %s\n", r.Void)
	}
	fmt.Fprintf(w, "service %.4f of the value offered, worst %d s %.4f, worst operation %.4f\n\n", r.Service, worstSpan, r.WorstSpan, r.Worst)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tservice\toffered\tin time\tlate\tthrottled\terrored\tunanswered\tp50 ms\tp90\tp99\tp99.9\t")
	for _, part := range [][]Line{{r.All}, r.Operations, r.Tenants, r.Zones} {
		for _, l := range part {
			fmt.Fprintf(t, "%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", l.Name, l.Service, l.Offered, l.InTime, l.Late,
				l.Throttled, l.Errored, l.Missed, l.P50, l.P90, l.P99, l.P999)
		}
	}
	t.Flush()
	c := r.Costs
	fmt.Fprintf(w, "\n%d tries, %d forwards, %d duplicate runs, %.4f of the work wasted, %d probes, %d connections, %d list calls; cold workers up to %.2f of what they bear\n",
		c.Tries, c.Forwards, c.Duplicates, c.Wasted, c.Probes, c.Connections, c.ListCalls, c.ColdUse)
	if c.Events > 0 {
		fmt.Fprintf(w, "%d events\n", c.Events)
	}
	if l := r.Lateness; l != nil {
		fmt.Fprintf(w, "the load was sent late by %.2f ms in the middle, %.2f ms at p99, %.2f ms at most\n", l.P50, l.P99, l.Most)
	}
	if len(r.Trace) > 0 {
		fmt.Fprintf(w, "trace: %s\n", r.Trace)
	}
	if r.Broken() == 0 {
		fmt.Fprintln(w, "no rule broken")
		return
	}
	var all []string
	for n := range model.Rule(len(r.Rules)) {
		if count := r.Rules[n.String()]; count > 0 {
			all = append(all, fmt.Sprintf("%s %d times", n, count))
		}
	}
	fmt.Fprintln(w, "RULES BROKEN:", strings.Join(all, ", "))
	for _, b := range r.Breaks {
		fmt.Fprintf(w, "\n%.4f s, scheduler %d, %s: %s\n", b.At.Seconds(), b.Scheduler, b.Rule, b.Text)
		for _, line := range b.Before {
			fmt.Fprintln(w, "   ", line)
		}
	}
}

// Name gives the report what the model does not know.
func (r Report) Name(scenario, mode, decider string, seed int64, schedulers, workers int, length time.Duration) Report {
	r.Scenario, r.Mode, r.Decider, r.Seed, r.Schedulers, r.Workers, r.Seconds = scenario, mode, decider, seed, schedulers, workers, length.Seconds()
	return r
}
