package report

import (
	"fmt"
	"io"
	"strings"

	"github.com/wcharczuk/go-chart/v2"
)

const (
	// plotWidth and plotHeight are in pixels.
	plotWidth  = 1000
	plotHeight = 420
	// plotMargin is the margin in pixels, beside that for the title.
	plotMargin = 20
	// titleMargin is the margin for the title, in pixels.
	titleMargin = 40
	// minPlotSeconds is the shortest run that can be plotted.
	minPlotSeconds = 2
)

// Plot draws the service of each second of one or more runs of a scenario, as SVG or PNG by the suffix of the name. The
// error tells that the suffix is another, that a run is too short, or that w failed.
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
			return fmt.Errorf("%s by seed %d is too short for a plot", run.Scenario, run.Seed)
		}
		c.Series = append(c.Series, run.series())
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return c.Render(format, w)
}

func plotFormat(name string) (chart.RendererProvider, error) {
	switch {
	case strings.HasSuffix(name, ".svg"):
		return chart.SVG, nil
	case strings.HasSuffix(name, ".png"):
		return chart.PNG, nil
	}
	return nil, fmt.Errorf("%s: a plot ends in .svg or .png", name)
}

// series is the service by second.
func (r Report) series() chart.ContinuousSeries {
	s := chart.ContinuousSeries{Name: fmt.Sprintf("%s, %s, seed %d", r.Decider, r.Mode, r.Seed)}
	for second, service := range r.ServiceBySecond {
		s.XValues = append(s.XValues, float64(second))
		s.YValues = append(s.YValues, service)
	}
	return s
}
