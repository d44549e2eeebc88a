package trace

import "encoding/json"

// Anomaly is a way in which a row is not as it should be.
type Anomaly uint8

// The anomalies.
const (
	Malformed Anomaly = iota
	OutOfOrder
	ClockJump
	TooLong
	UnknownOperation
	anomalyCount
)

var anomalyNames = [...]string{"bad", "out of order", "clock jump", "too long", "unknown operation"}

// String gives the anomaly as reports have it.
func (a Anomaly) String() string { return anomalyNames[a] }

// maxLines is how many lines are named of each anomaly.
const maxLines = 10

// Counts are the rows of a trace that were read.
type Counts struct {
	Rows, Used int
	Anomalies  [anomalyCount]int   // rows, by Anomaly
	Lines      [anomalyCount][]int // numbers of the first ones
	Ended      string              // why the trace was not read to its end; empty: it was, or may yet be
}

// MarshalJSON writes the anomalies that were met, by name.
func (c Counts) MarshalJSON() ([]byte, error) {
	odd := map[string]any{}
	for anomaly, n := range c.Anomalies {
		if n > 0 {
			odd[anomalyNames[anomaly]] = map[string]any{"rows": n, "first_lines": c.Lines[anomaly]}
		}
	}
	return json.Marshal(map[string]any{"rows": c.Rows, "used": c.Used, "odd": odd, "ended": c.Ended})
}

// add counts a row that is not as it should be.
func (c *Counts) add(a Anomaly, line int) {
	c.Anomalies[a]++
	if len(c.Lines[a]) < maxLines {
		c.Lines[a] = append(c.Lines[a], line)
	}
}
