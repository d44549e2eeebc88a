package scale

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/wcharczuk/go-chart/v2"
)

// column is one column of the table of steps.
type column struct {
	header string
	format string
	value  func(Step) float64 // negative: not reported
}

var columns = []column{
	{header: "workers", format: "%.0f", value: func(s Step) float64 { return float64(s.Workers) }},
	{header: "in hand", format: "%.0f", value: func(s Step) float64 { return s.InFlight }},
	{header: "starts/s", format: "%.1f", value: func(s Step) float64 { return s.StartsPerS }},
	{header: "% of a core", format: "%.2f", value: func(s Step) float64 { return s.CPUPercent }},
	{header: "in the kernel", format: "%.2f", value: func(s Step) float64 { return s.SystemCPUPercent }},
	{header: "us a start", format: "%.0f", value: func(s Step) float64 { return s.CPUMicrosPerStart }},
	{header: "worst turn ms", format: "%.1f", value: func(s Step) float64 { return s.WorstIterationMS }},
	{header: "RSS MB", format: "%.0f", value: func(s Step) float64 { return s.RSS }},
	{header: "peak MB", format: "%.0f", value: func(s Step) float64 { return s.Peak }},
	{header: "descriptors", format: "%.0f", value: func(s Step) float64 { return float64(s.Descriptors) }},
	{header: "probes/s", format: "%.1f", value: func(s Step) float64 { return s.HealthChecksPerSecond }},
	{header: "messages/s", format: "%.1f", value: func(s Step) float64 { return s.GossipMessagesPerSecond }},
	{header: "control B/s", format: "%.0f", value: func(s Step) float64 { return s.ControlBytesPerSecond }},
	{header: "allocations/s", format: "%.0f", value: func(s Step) float64 { return s.Allocations }},
	{header: "failed", format: "%.0f", value: func(s Step) float64 { return float64(s.Throttled + s.Errored + s.ConnectionErrors) }},
}

// WriteMarkdown writes the report as a Markdown table with a row for each step.
func (r Report) WriteMarkdown(w io.Writer) {
	key := r.Key
	if key == "" {
		key = "step"
	}
	headers := []string{key}
	separators := []string{"---"}
	for _, c := range columns {
		headers = append(headers, c.header)
		separators = append(separators, "---")
	}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	writeRow(table, headers)
	writeRow(table, separators)
	for _, s := range r.Steps {
		writeRow(table, rowCells(s))
	}
	table.Flush()
}

// writeRow writes the cells of one row of a Markdown table, tab-separated for alignment.
func writeRow(w io.Writer, cells []string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, "\t| ")) }

// rowCells returns the cells of the row of a step.
func rowCells(s Step) []string {
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
	plotWidth     = 900 // pixels
	plotHeight    = 420 // pixels
	plotMargin    = 20  // pixels
	plotTopMargin = 40  // pixels, for the legend
	minPlotSteps  = 2
)

// errTooFewSteps is returned for a report with fewer than minPlotSteps steps.
var errTooFewSteps = errors.New("steps are too few for a plot")

// WritePlot writes a PNG image of the processor time per start and of the worst iteration, against the
// key that is varied.
func (r Report) WritePlot(w io.Writer) error {
	if len(r.Steps) < minPlotSteps {
		return fmt.Errorf("%s: %d %w", r.Name, len(r.Steps), errTooFewSteps)
	}
	perStart := chart.ContinuousSeries{Name: "us a start (left)"}
	iteration := chart.ContinuousSeries{Name: "worst turn, ms (right)", YAxis: chart.YAxisSecondary}
	for _, s := range r.Steps {
		perStart.XValues = append(perStart.XValues, s.Value)
		perStart.YValues = append(perStart.YValues, s.CPUMicrosPerStart)
		iteration.XValues = append(iteration.XValues, s.Value)
		iteration.YValues = append(iteration.YValues, s.WorstIterationMS)
	}
	c := chart.Chart{
		Title:          r.Name,
		Width:          plotWidth,
		Height:         plotHeight,
		Background:     chart.Style{Padding: chart.Box{Top: plotTopMargin, Left: plotMargin, Right: plotMargin, Bottom: plotMargin}},
		XAxis:          chart.XAxis{Name: r.Key},
		YAxis:          chart.YAxis{Name: "us a start"},
		YAxisSecondary: chart.YAxis{Name: "ms"},
		Series:         []chart.Series{perStart, iteration},
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return c.Render(chart.PNG, w)
}
