package scale

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/wcharczuk/go-chart/v2"
)

// column is a column of the table.
type column struct {
	head   string
	format string
	value  func(Step) float64 // below 0: not reported
}

var columns = []column{
	{head: "workers", format: "%.0f", value: func(s Step) float64 { return float64(s.Workers) }},
	{head: "in hand", format: "%.0f", value: func(s Step) float64 { return s.InHand }},
	{head: "starts/s", format: "%.1f", value: func(s Step) float64 { return s.StartsPerS }},
	{head: "% of a core", format: "%.2f", value: func(s Step) float64 { return s.Core }},
	{head: "in the kernel", format: "%.2f", value: func(s Step) float64 { return s.System }},
	{head: "us a start", format: "%.0f", value: func(s Step) float64 { return s.PerStart }},
	{head: "worst turn ms", format: "%.1f", value: func(s Step) float64 { return s.Turn }},
	{head: "RSS MB", format: "%.0f", value: func(s Step) float64 { return s.RSS }},
	{head: "peak MB", format: "%.0f", value: func(s Step) float64 { return s.Peak }},
	{head: "descriptors", format: "%.0f", value: func(s Step) float64 { return float64(s.Descriptors) }},
	{head: "probes/s", format: "%.1f", value: func(s Step) float64 { return s.ProbesPerS }},
	{head: "messages/s", format: "%.1f", value: func(s Step) float64 { return s.MessagesPerS }},
	{head: "control B/s", format: "%.0f", value: func(s Step) float64 { return s.Control }},
	{head: "allocations/s", format: "%.0f", value: func(s Step) float64 { return s.Allocations }},
	{head: "failed", format: "%.0f", value: func(s Step) float64 { return float64(s.Throttled + s.Errored + s.Broken) }},
}

// Text writes the report as a table of Markdown.
func (r Report) Text(w io.Writer) {
	key := r.Key
	if key == "" {
		key = "step"
	}
	heads := []string{key}
	rules := []string{"---"}
	for _, c := range columns {
		heads = append(heads, c.head)
		rules = append(rules, "---")
	}
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	writeRow(t, heads)
	writeRow(t, rules)
	for _, s := range r.Steps {
		writeRow(t, cellsOf(s))
	}
	t.Flush()
}

func writeRow(w io.Writer, cells []string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, "\t| ")) }

func cellsOf(s Step) []string {
	cells := []string{fmt.Sprintf("%g", s.Value)}
	for _, c := range columns {
		cell := "not told"
		if value := c.value(s); value >= 0 {
			cell = fmt.Sprintf(c.format, value)
		}
		cells = append(cells, cell)
	}
	return cells
}

const (
	plotWidth   = 900 // pixels
	plotHeight  = 420 // pixels
	plotMargin  = 20  // pixels
	plotTop     = 40  // pixels, for the legend
	leastPoints = 2
)

// errTooFewSteps is of a report that has not the steps for a plot.
var errTooFewSteps = errors.New("steps are too few for a plot")

// Plot draws processor time a start and the worst iteration over the key that is varied, as PNG.
func (r Report) Plot(w io.Writer) error {
	if len(r.Steps) < leastPoints {
		return fmt.Errorf("%s: %d %w", r.Name, len(r.Steps), errTooFewSteps)
	}
	perStart := chart.ContinuousSeries{Name: "us a start (left)"}
	iteration := chart.ContinuousSeries{Name: "worst turn, ms (right)", YAxis: chart.YAxisSecondary}
	for _, s := range r.Steps {
		perStart.XValues = append(perStart.XValues, s.Value)
		perStart.YValues = append(perStart.YValues, s.PerStart)
		iteration.XValues = append(iteration.XValues, s.Value)
		iteration.YValues = append(iteration.YValues, s.Turn)
	}
	c := chart.Chart{
		Title:          r.Name,
		Width:          plotWidth,
		Height:         plotHeight,
		Background:     chart.Style{Padding: chart.Box{Top: plotTop, Left: plotMargin, Right: plotMargin, Bottom: plotMargin}},
		XAxis:          chart.XAxis{Name: r.Key},
		YAxis:          chart.YAxis{Name: "us a start"},
		YAxisSecondary: chart.YAxis{Name: "ms"},
		Series:         []chart.Series{perStart, iteration},
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return c.Render(chart.PNG, w)
}
