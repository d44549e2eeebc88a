package report

import (
	"fmt"
	"io"
	"strings"

	"github.com/wcharczuk/go-chart/v2"
)

const (
	// plotWidth and plotHeight are the size of a plot in pixels.
	plotWidth  = 1000
	plotHeight = 420
	// plotMargin is the margin on the sides without a title, in pixels.
	plotMargin = 20
	// titleMargin is the margin at the top, where the title is, in pixels.
	titleMargin = 40
	// minPlotSeconds is the length of the shortest run that can be plotted.
	minPlotSeconds = 2
)

// Plot draws the service by second of one or more runs of a scenario. The suffix of name selects the
// format: .svg or .png. It returns an error if the suffix is another, a run is shorter than
// minPlotSeconds, or w fails.
func Plot(w io.Writer, name string, runs ...Report) error {
	format, err := plotFormat(name)
	if err != nil {
		return err
	}
	c := chart.Chart{
		Title:  runs[0].Scenario + " (simulated)",
		Width:  plotWidth,
		Height: plotHeight,
		Background: chart.Style{
			Padding: chart.Box{Top: titleMargin, Left: plotMargin, Right: plotMargin, Bottom: plotMargin},
		},
		XAxis: chart.XAxis{Name: "seconds, when invocations were meant to be sent"},
		YAxis: chart.YAxis{Name: "service", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, run := range runs {
		if len(run.ServiceBySecond) < minPlotSeconds {
			return fmt.Errorf("%s, seed %d: the run is too short for a plot", run.Scenario, run.Seed)
		}
		c.Series = append(c.Series, run.series())
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return c.Render(format, w)
}

// plotFormat returns the renderer for the suffix of a file name.
func plotFormat(name string) (chart.RendererProvider, error) {
	switch {
	case strings.HasSuffix(name, ".svg"):
		return chart.SVG, nil
	case strings.HasSuffix(name, ".png"):
		return chart.PNG, nil
	}
	return nil, fmt.Errorf("%s: the name of a plot must end in .svg or .png", name)
}

// series returns the service by second as a line of a plot.
func (r Report) series() chart.ContinuousSeries {
	s := chart.ContinuousSeries{Name: fmt.Sprintf("%s, %s, seed %d", r.Policy, r.Mode, r.Seed)}
	for second, service := range r.ServiceBySecond {
		s.XValues = append(s.XValues, float64(second))
		s.YValues = append(s.YValues, service)
	}
	return s
}
