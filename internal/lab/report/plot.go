package report

import (
	"fmt"
	"io"
	"strings"

	"github.com/wcharczuk/go-chart/v2"
)

// Plot draws the service of each second of one or more days of a scenario, as SVG or PNG by the ending of the name.
func Plot(w io.Writer, name string, days ...Report) error {
	kind := chart.SVG
	switch {
	case strings.HasSuffix(name, ".png"):
		kind = chart.PNG
	case !strings.HasSuffix(name, ".svg"):
		return fmt.Errorf("%s: a plot ends in .svg or .png", name)
	}
	c := chart.Chart{Width: 1000, Height: 420, Background: chart.Style{Padding: chart.Box{Top: 40, Left: 20, Right: 20, Bottom: 20}},
		XAxis: chart.XAxis{Name: "seconds, when invocations were meant to be sent"},
		YAxis: chart.YAxis{Name: "service", Range: &chart.ContinuousRange{Min: 0, Max: 1}}}
	for _, d := range days {
		if len(d.ServiceBySecond) < 2 {
			return fmt.Errorf("%s by seed %d is too short for a plot", d.Scenario, d.Seed)
		}
		series := chart.ContinuousSeries{Name: fmt.Sprintf("%s, %s, seed %d", d.Decider, d.Mode, d.Seed)}
		for at, v := range d.ServiceBySecond {
			series.XValues, series.YValues = append(series.XValues, float64(at)), append(series.YValues, v)
		}
		c.Series = append(c.Series, series)
	}
	c.Title = days[0].Scenario + " (simulated)"
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return c.Render(kind, w)
}
