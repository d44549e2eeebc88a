package report

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Metric is a value of a report by which runs are compared.
type Metric struct {
	Name           string
	Value          func(Report) float64
	HigherIsBetter bool
}

// Metrics are the metrics of a comparison, in the order in which it shows them.
var Metrics = []Metric{
	{Name: "service", Value: func(r Report) float64 { return r.Service }, HigherIsBetter: true},
	{Name: "worst 10 s", Value: func(r Report) float64 { return r.WorstInterval }, HigherIsBetter: true},
	{Name: "worst operation", Value: func(r Report) float64 { return r.WorstOperation }, HigherIsBetter: true},
	{Name: "p99 ms", Value: func(r Report) float64 { return r.All.P99 }},
	{Name: "throttled share", Value: func(r Report) float64 { return ratio(r.All.Throttled, r.All.Offered) }},
	{Name: "errored share", Value: func(r Report) float64 { return ratio(r.All.Errored+r.All.Unanswered, r.All.Offered) }},
	{Name: "wasted work", Value: func(r Report) float64 { return r.Costs.WastedShare }},
	{Name: "rules broken", Value: func(r Report) float64 { return float64(r.ViolationCount()) }},
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Conclusions of a comparison by one metric.
const (
	noDifference = "no difference shown"
	aIsBetter    = "a is better"
	bIsBetter    = "b is better"
)

// Difference is the difference of one metric between paired runs of a and b: b minus a.
type Difference struct {
	Name       string  `json:"name"` // of the metric
	A          float64 `json:"A"`    // mean of the runs of a
	B          float64 `json:"B"`    // mean of the runs of b
	Mean       float64 `json:"difference"`
	Low        float64 `json:"Low"`  // lower bound of the confidence interval; Mean if there is only one pair
	High       float64 `json:"High"` // upper bound of the confidence interval; Mean if there is only one pair
	Pairs      int     `json:"pairs"`
	Conclusion string  `json:"conclusion"`
}

// confidenceLevel is the level of the confidence interval of a Difference.
const confidenceLevel = 0.95

// Compare compares the runs a and b by all Metrics. The runs at the same index form a pair. It returns an
// error unless both runs of each pair have the same scenario, seed and mode and neither is void.
func Compare(a, b []Report) ([]Difference, error) {
	if len(a) != len(b) || len(a) == 0 {
		return nil, fmt.Errorf("%d days and %d days make no pairs", len(a), len(b))
	}
	for i := range a {
		if err := checkPair(i, a[i], b[i]); err != nil {
			return nil, err
		}
	}
	var differences []Difference
	for _, metric := range Metrics {
		differences = append(differences, compareMetric(metric, a, b))
	}
	return differences, nil
}

// checkPair returns an error if two runs cannot be compared.
func checkPair(index int, a, b Report) error {
	if a.Scenario != b.Scenario || a.Seed != b.Seed || a.Mode != b.Mode {
		return fmt.Errorf("pair %d: %s by seed %d (%s) and %s by seed %d (%s) are not the same day",
			index, a.Scenario, a.Seed, a.Mode, b.Scenario, b.Seed, b.Mode)
	}
	if a.InvalidReason != "" || b.InvalidReason != "" {
		return fmt.Errorf("pair %d is void: %s%s", index, a.InvalidReason, b.InvalidReason)
	}
	return nil
}

// compareMetric compares runs by one metric, with a paired t-test.
func compareMetric(metric Metric, a, b []Report) Difference {
	var valuesA, valuesB, differences []float64
	for i := range a {
		valueA := metric.Value(a[i])
		valueB := metric.Value(b[i])
		valuesA = append(valuesA, valueA)
		valuesB = append(valuesB, valueB)
		differences = append(differences, valueB-valueA)
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	d := Difference{
		Name:       metric.Name,
		A:          roundSigned(stat.Mean(valuesA, nil)),
		B:          roundSigned(stat.Mean(valuesB, nil)),
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
	quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: pairs - 1}.Quantile((1 + confidenceLevel) / 2)
	halfWidth := quantile * deviation / math.Sqrt(pairs)
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

// roundSigned rounds a value of either sign.
func roundSigned(v float64) float64 { return math.Round(v*roundingScale) / roundingScale }

// Table writes differences as a text table. a and b name what is compared.
func Table(w io.Writer, a, b string, differences []Difference) {
	fmt.Fprintf(w, "a: %s\nb: %s\n", a, b)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\ta\tb\tb - a\t95% from\tto\tpairs\tconclusion\t")
	for _, d := range differences {
		fmt.Fprintf(table, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f\t%+.4f\t%d\t%s\t\n",
			d.Name, d.A, d.B, d.Mean, d.Low, d.High, d.Pairs, d.Conclusion)
	}
	table.Flush()
}
