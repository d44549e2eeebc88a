package trace

import "encoding/json"

// Anomaly is a defect of a trace row. It is counted, and the mapping's policies say what becomes of
// the row.
type Anomaly uint8

// The anomalies that Reader detects. Policies describes each of them.
const (
	Malformed Anomaly = iota
	OutOfOrder
	ClockJump
	TooLong
	UnknownOperation
	anomalyCount
)

var anomalyNames = [...]string{"bad", "out of order", "clock jump", "too long", "unknown operation"}

// String returns the anomaly's name in reports.
func (a Anomaly) String() string { return anomalyNames[a] }

// maxLinesPerAnomaly limits the line numbers that are kept for each anomaly.
const maxLinesPerAnomaly = 10

// Counts holds the numbers of rows that were read from a trace, used as requests, and anomalous.
type Counts struct {
	Rows, Used int
	Anomalies  [anomalyCount]int   // number of rows, by Anomaly
	FirstLines [anomalyCount][]int // line numbers of the first anomalous rows, by Anomaly
	StopReason string              // why reading stopped before the end of the trace; empty if it did not
}

// MarshalJSON encodes the anomalies by name and leaves out those that did not occur.
func (c Counts) MarshalJSON() ([]byte, error) {
	anomalies := map[string]any{}
	for anomaly, n := range c.Anomalies {
		if n > 0 {
			anomalies[anomalyNames[anomaly]] = map[string]any{"rows": n, "first_lines": c.FirstLines[anomaly]}
		}
	}
	return json.Marshal(map[string]any{"rows": c.Rows, "used": c.Used, "odd": anomalies, "ended": c.StopReason})
}

// addAnomaly counts an anomalous row, and keeps its line number if it is among the first.
func (c *Counts) addAnomaly(a Anomaly, line int) {
	c.Anomalies[a]++
	if len(c.FirstLines[a]) < maxLinesPerAnomaly {
		c.FirstLines[a] = append(c.FirstLines[a], line)
	}
}
