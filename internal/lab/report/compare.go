package report

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Metric is a figure that runs are compared by.
type Metric struct {
	Name           string
	Value          func(Report) float64
	HigherIsBetter bool
}

// Metrics are those that comparisons show.
var Metrics = []Metric{
	{Name: "service", Value: func(r Report) float64 { return r.Service }, HigherIsBetter: true},
	{Name: "worst 10 s", Value: func(r Report) float64 { return r.WorstInterval }, HigherIsBetter: true},
	{Name: "worst operation", Value: func(r Report) float64 { return r.WorstOperation }, HigherIsBetter: true},
	{Name: "p99 ms", Value: func(r Report) float64 { return r.All.P99 }},
	{Name: "throttled share", Value: func(r Report) float64 { return ratio(r.All.Throttled, r.All.Offered) }},
	{Name: "errored share", Value: func(r Report) float64 { return ratio(r.All.Errored+r.All.Unanswered, r.All.Offered) }},
	{Name: "wasted work", Value: func(r Report) float64 { return r.Costs.WastedShare }},
	{Name: "rules broken", Value: func(r Report) float64 { return float64(r.Broken()) }},
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// The conclusions of a comparison.
const (
	noDifference = "no difference shown"
	aIsBetter    = "a is better"
	bIsBetter    = "b is better"
)

// Difference is that of one metric over pairs of runs, b less a.
type Difference struct {
	Name       string  `json:"name"`
	A          float64 `json:"A"` // mean
	B          float64 `json:"B"` // mean
	Mean       float64 `json:"difference"`
	Low        float64 `json:"Low"`  // of the confidence interval; the mean if there is only one pair
	High       float64 `json:"High"` // of the confidence interval
	Pairs      int     `json:"pairs"`
	Conclusion string  `json:"conclusion"`
}

// confidence is that of the interval.
const confidence = 0.95

// Compare compares the runs of two deciders by all Metrics. The n-th runs of each make a pair: they must be of the same
// scenario, seed and mode, and not void.
func Compare(a, b []Report) ([]Difference, error) {
	if len(a) != len(b) || len(a) == 0 {
		return nil, fmt.Errorf("%d days and %d days make no pairs", len(a), len(b))
	}
	for i := range a {
		if err := checkPair(i, a[i], b[i]); err != nil {
			return nil, err
		}
	}
	var all []Difference
	for _, metric := range Metrics {
		all = append(all, compareBy(metric, a, b))
	}
	return all, nil
}

func checkPair(index int, a, b Report) error {
	if a.Scenario != b.Scenario || a.Seed != b.Seed || a.Mode != b.Mode {
		return fmt.Errorf("pair %d: %s by seed %d (%s) and %s by seed %d (%s) are not the same day",
			index, a.Scenario, a.Seed, a.Mode, b.Scenario, b.Seed, b.Mode)
	}
	if a.Void != "" || b.Void != "" {
		return fmt.Errorf("pair %d is void: %s%s", index, a.Void, b.Void)
	}
	return nil
}

// compareBy compares by one metric, with a paired t-test.
func compareBy(metric Metric, a, b []Report) Difference {
	var as, bs, differences []float64
	for i := range a {
		valueA := metric.Value(a[i])
		valueB := metric.Value(b[i])
		as = append(as, valueA)
		bs = append(bs, valueB)
		differences = append(differences, valueB-valueA)
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	d := Difference{
		Name:       metric.Name,
		A:          roundSigned(stat.Mean(as, nil)),
		B:          roundSigned(stat.Mean(bs, nil)),
		Mean:       roundSigned(mean),
		Low:        roundSigned(mean),
		High:       roundSigned(mean),
		Pairs:      len(differences),
		Conclusion: noDifference,
	}
	if len(differences) < 2 {
		return d
	}
	pairs := float64(len(differences))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: pairs - 1}.Quantile((1 + confidence) / 2)
	halfWidth := t * deviation / math.Sqrt(pairs)
	d.Low = roundSigned(mean - halfWidth)
	d.High = roundSigned(mean + halfWidth)
	switch {
	case d.Low <= 0 && d.High >= 0:
	case d.Low > 0 == metric.HigherIsBetter:
		d.Conclusion = bIsBetter
	default:
		d.Conclusion = aIsBetter
	}
	return d
}

// roundSigned rounds a figure of any sign.
func roundSigned(v float64) float64 { return math.Round(v*precision) / precision }

// Table writes differences for people. a and b name what is compared.
func Table(w io.Writer, a, b string, all []Difference) {
	fmt.Fprintf(w, "a: %s\nb: %s\n", a, b)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\ta\tb\tb - a\t95% from\tto\tpairs\tconclusion\t")
	for _, d := range all {
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f\t%+.4f\t%d\t%s\t\n",
			d.Name, d.A, d.B, d.Mean, d.Low, d.High, d.Pairs, d.Conclusion)
	}
	t.Flush()
}
