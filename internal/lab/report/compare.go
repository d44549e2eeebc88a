package report

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Figure is one that two deciders are compared by.
type Metric struct {
	Name           string
	Value          func(Report) float64
	HigherIsBetter bool // is better
}

// Figures that comparisons show.
var Metrics = []Metric{
	{"service", func(r Report) float64 { return r.Service }, true},
	{"worst 10 s", func(r Report) float64 { return r.WorstInterval }, true},
	{"worst operation", func(r Report) float64 { return r.WorstOperation }, true},
	{"p99 ms", func(r Report) float64 { return r.All.P99 }, false},
	{"throttled share", func(r Report) float64 { return ratio(r.All.Throttled, r.All.Offered) }, false},
	{"errored share", func(r Report) float64 { return ratio(r.All.Errored+r.All.Unanswered, r.All.Offered) }, false},
	{"wasted work", func(r Report) float64 { return r.Costs.WastedShare }, false},
	{"rules broken", func(r Report) float64 { return float64(r.Broken()) }, false},
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Difference of one figure over pairs of days, b less a.
type Difference struct {
	Name       string  `json:"name"`
	A, B       float64 // means
	Mean       float64 `json:"difference"`
	Low, High  float64 // interval of 95%; equal where there is none
	Pairs      int     `json:"pairs"`
	Conclusion string  `json:"conclusion"`
}

// confidence of the interval.
const confidence = 0.95

// Compare pairs the days of two deciders: the n-th of each must be of one scenario and seed.
func Compare(a, b []Report) ([]Difference, error) {
	if len(a) != len(b) || len(a) == 0 {
		return nil, fmt.Errorf("%d days and %d days make no pairs", len(a), len(b))
	}
	for i := range a {
		if a[i].Scenario != b[i].Scenario || a[i].Seed != b[i].Seed || a[i].Mode != b[i].Mode {
			return nil, fmt.Errorf("pair %d: %s by seed %d (%s) and %s by seed %d (%s) are not the same day", i, a[i].Scenario,
				a[i].Seed, a[i].Mode, b[i].Scenario, b[i].Seed, b[i].Mode)
		}
		if a[i].Void != "" || b[i].Void != "" {
			return nil, fmt.Errorf("pair %d is void: %s%s", i, a[i].Void, b[i].Void)
		}
	}
	var all []Difference
	for _, f := range Metrics {
		var as, bs, diffs []float64
		for i := range a {
			as, bs = append(as, f.Value(a[i])), append(bs, f.Value(b[i]))
			diffs = append(diffs, f.Value(b[i])-f.Value(a[i]))
		}
		d := Difference{Name: f.Name, A: round6(stat.Mean(as, nil)), B: round6(stat.Mean(bs, nil)), Pairs: len(diffs), Conclusion: "no difference shown"}
		mean, dev := stat.MeanStdDev(diffs, nil)
		d.Mean, d.Low, d.High = round6(mean), round6(mean), round6(mean)
		if len(diffs) > 1 {
			t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(diffs) - 1)}.Quantile((1 + confidence) / 2)
			half := t * dev / math.Sqrt(float64(len(diffs)))
			d.Low, d.High = round6(mean-half), round6(mean+half)
			switch better := d.Low > 0 == f.HigherIsBetter; {
			case d.Low <= 0 && d.High >= 0:
			case better:
				d.Conclusion = "b is better"
			default:
				d.Conclusion = "a is better"
			}
		}
		all = append(all, d)
	}
	return all, nil
}

func round6(v float64) float64 { return math.Round(v*1e6) / 1e6 }

// Table writes differences for people.
func Table(w io.Writer, a, b string, all []Difference) {
	fmt.Fprintf(w, "a: %s\nb: %s\n", a, b)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\ta\tb\tb - a\t95% from\tto\tpairs\tconclusion\t")
	for _, d := range all {
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f\t%+.4f\t%d\t%s\t\n", d.Name, d.A, d.B, d.Mean, d.Low, d.High, d.Pairs, d.Conclusion)
	}
	t.Flush()
}
