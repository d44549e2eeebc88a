// Package trace reads public cluster traces in CSV as a stream: a mapping defines what the columns mean. It holds one row at a
// time, however large the trace is.
package trace

import (
	"time"

	"stoatweir/internal/lab/scenario"
)

// mappingVersion is the version of the mapping's file format.
const mappingVersion = 1

// The policies for anomalous rows.
const (
	policySkip  = "skip"  // leave the row out
	policyClamp = "clamp" // bring its time into order
	policyStop  = "stop"  // end the trace
)

// otherOperations is the key of all operations that a mapping does not name.
const otherOperations = "*"

var unitByName = map[string]time.Duration{
	"ns": time.Nanosecond,
	"us": time.Microsecond,
	"ms": time.Millisecond,
	"s":  time.Second,
}

// Mapping defines how the rows of a trace become invocations.
type Mapping struct {
	Version   int     `toml:"Version"`
	Header    bool    `toml:"Header"` // the first line names the columns; else they are numbered from 0
	Separator string  `toml:"Comma"`  // between columns; "," if left out
	Columns   Columns `toml:"Columns"`
	TimeUnit  string  `toml:"Unit"`    // of the time column: ns, us, ms or s
	WorkUnit  string  `toml:"work_by"` // unit of the work column: ns, us, ms or s, times Scale
	WorkScale float64 `toml:"Scale"`   // of the work
	Speed     float64 `toml:"Speed"`   // how many times faster than it was recorded
	// Operations has the operation for each value of the operation column; "*" stands for all others.
	Operations map[string]string `toml:"Operations"`
	Slots      Slots             `toml:"Slots"`
	Policies   Policies          `toml:"Policies"`
	MaxRowSize int               `toml:"row_most"` // of a line, in bytes
	MaxGap     scenario.Span     `toml:"gap_most"` // a longer step of the recorded clock is a jump
}

// Columns name the columns by their header or number. All but Time may be left out.
type Columns struct {
	Time      string `toml:"Time"`
	Work      string `toml:"Work"`
	End       string `toml:"End"`
	Operation string `toml:"Operation"`
	Tenant    string `toml:"Tenant"`
	Slots     string `toml:"Slots"`
}

// Slots scales the slots column.
type Slots struct {
	Scale float64 `toml:"Scale"`
	Max   int     `toml:"Most"`
}

// Policies say what becomes of anomalous rows: skip, clamp or stop.
type Policies struct {
	Malformed        string `toml:"Bad"`     // a value that can't be read, or too few columns
	OutOfOrder       string `toml:"Order"`   // a time before that of an earlier row
	ClockJump        string `toml:"Jump"`    // a step of the clock over gap_most
	TooLong          string `toml:"Long"`    // a line over row_most
	UnknownOperation string `toml:"Unknown"` // an operation that the mapping does not have
}

// newMapping returns a mapping with the defaults.
func newMapping() Mapping {
	return Mapping{
		Separator:  ",",
		TimeUnit:   "us",
		WorkUnit:   "us",
		WorkScale:  1,
		Speed:      1,
		MaxRowSize: 64 << 10,
		MaxGap:     scenario.Span(time.Hour),
		Slots:      Slots{Scale: 1, Max: 64},
		Policies: Policies{
			Malformed:        policySkip,
			OutOfOrder:       policyClamp,
			ClockJump:        policyClamp,
			TooLong:          policySkip,
			UnknownOperation: policySkip,
		},
	}
}
