// Package trace reads public cluster traces in CSV format and turns their rows into requests. A mapping
// file defines what the columns mean. Traces are streamed: one row is in memory at a time, whatever the
// size of the trace.
package trace

import (
	"time"

	"stoatweir/internal/lab/scenario"
)

// mappingVersion is the supported version of the mapping's file format.
const mappingVersion = 1

// Policies for anomalous rows, as they are written in mapping files.
const (
	policySkip  = "skip"  // ignore the row
	policyClamp = "clamp" // use the row, at the time that clock.advance returns
	policyStop  = "stop"  // end the trace at the row
)

// wildcardValue is the key in Mapping.Operations for all values that have no key of their own.
const wildcardValue = "*"

// unitByName holds the units of time that a mapping can name.
var unitByName = map[string]time.Duration{
	"ns": time.Nanosecond,
	"us": time.Microsecond,
	"ms": time.Millisecond,
	"s":  time.Second,
}

// Mapping defines how the rows of a trace become requests. ParseMapping reads it from a file.
type Mapping struct {
	Version   int     `toml:"Version"`
	Header    bool    `toml:"Header"` // the first line holds the column names; otherwise columns are numbered from 0
	Separator string  `toml:"Comma"`  // one character between columns; the default is ","
	Columns   Columns `toml:"Columns"`
	TimeUnit  string  `toml:"Unit"`    // unit of the time and end columns: ns, us, ms or s; the default is us
	WorkUnit  string  `toml:"work_by"` // unit of the work column: ns, us, ms or s; the default is us
	WorkScale float64 `toml:"Scale"`   // factor for the work column, or for the time between the time and end columns
	Speed     float64 `toml:"Speed"`   // replay speed: 2 sends the requests twice as fast as they were recorded
	// Operations maps values of the operation column to operations of the scenario. The key "*" stands
	// for all other values.
	Operations   map[string]string `toml:"Operations"`
	Slots        Slots             `toml:"Slots"`
	Policies     Policies          `toml:"Policies"`
	MaxLineBytes int               `toml:"row_most"` // longest accepted line, in bytes
	MaxGap       scenario.Span     `toml:"gap_most"` // a longer step of the recorded clock, in either direction, is a clock jump
}

// Columns holds the name, or without a header the number, of each column. All but Time may be left out.
type Columns struct {
	Time      string `toml:"Time"`      // when the request is sent
	Work      string `toml:"Work"`      // work of the request
	End       string `toml:"End"`       // end of the work; only used without a work column
	Operation string `toml:"Operation"` // value that Mapping.Operations maps to an operation
	Tenant    string `toml:"Tenant"`    // name of the tenant
	Slots     string `toml:"Slots"`     // slots that the request takes, before scaling
}

// Slots defines how values of the slots column become numbers of slots: they are multiplied by Scale,
// rounded up, and limited to the range from 1 to Max.
type Slots struct {
	Scale float64 `toml:"Scale"`
	Max   int     `toml:"Most"`
}

// Policies holds the policy for each anomaly: skip or stop, and for OutOfOrder and ClockJump also clamp.
type Policies struct {
	Malformed        string `toml:"Bad"`     // a row that cannot be parsed, an invalid value, or too few columns
	OutOfOrder       string `toml:"Order"`   // a time before that of an earlier row, by at most gap_most
	ClockJump        string `toml:"Jump"`    // a step of the recorded clock over gap_most, forwards or backwards
	TooLong          string `toml:"Long"`    // a line longer than row_most
	UnknownOperation string `toml:"Unknown"` // an operation value that the mapping does not have
}

// newMapping returns a mapping with the default of each key that has one.
func newMapping() Mapping {
	return Mapping{
		Separator:    ",",
		TimeUnit:     "us",
		WorkUnit:     "us",
		WorkScale:    1,
		Speed:        1,
		MaxLineBytes: 64 << 10,
		MaxGap:       scenario.Span(time.Hour),
		Slots:        Slots{Scale: 1, Max: 64},
		Policies: Policies{
			Malformed:        policySkip,
			OutOfOrder:       policyClamp,
			ClockJump:        policyClamp,
			TooLong:          policySkip,
			UnknownOperation: policySkip,
		},
	}
}
