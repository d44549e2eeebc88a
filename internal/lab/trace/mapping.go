// Package trace reads public cluster traces in CSV as a stream: a file of its own says which column means what. It holds a
// row at a time, however large the trace is.
package trace

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"stoatweir/internal/lab/scenario"
)

// Mapping tells how the rows of a trace become invocations.
type Mapping struct {
	Version   int     `toml:"Version"`
	Header    bool    `toml:"Header"` // the first line names the columns; else they are numbered from 0
	Separator string  `toml:"Comma"`  // what stands between columns; "," if left out
	Columns   Columns `toml:"Columns"`
	TimeUnit  string  `toml:"Unit"`    // of the time column: ns, us, ms or s
	WorkUnit  string  `toml:"work_by"` // unit of the work column: ns, us, ms or s, times Scale
	WorkScale float64 `toml:"Scale"`   // of the work
	Speed     float64 `toml:"Speed"`   // so many times faster than it was recorded
	// Operations tells which operation a value of the operation column stands for; "*" is for all others.
	Operations map[string]string `toml:"Operations"`
	Slots      Slots             `toml:"Slots"`
	Policies   Policies          `toml:"Policies"`
	MaxRowSize int               `toml:"row_most"` // bytes in a line
	MaxGap     scenario.Span     `toml:"gap_most"` // a longer step of the recorded clock is a jump
}

// Columns name the columns, by their header or number. Time is needed, the others may be left out.
type Columns struct {
	Time      string `toml:"Time"`
	Work      string `toml:"Work"`
	End       string `toml:"End"`
	Operation string `toml:"Operation"`
	Tenant    string `toml:"Tenant"`
	Slots     string `toml:"Slots"`
}

// Slots scales what the slots column holds.
type Slots struct {
	Scale float64 `toml:"Scale"`
	Max   int     `toml:"Most"`
}

// Policies say what becomes of rows that are not as they should be: skip, clamp or stop.
type Policies struct {
	Malformed        string `toml:"Bad"`     // a value that can't be read, too few columns
	OutOfOrder       string `toml:"Order"`   // a time before that of a row before
	ClockJump        string `toml:"Jump"`    // a step of the clock over gap_most
	TooLong          string `toml:"Long"`    // a line over row_most
	UnknownOperation string `toml:"Unknown"` // an operation that the mapping does not know
}

var unitByName = map[string]time.Duration{"ns": time.Nanosecond, "us": time.Microsecond, "ms": time.Millisecond, "s": time.Second}

// ReadMapping reads the file and checks it against the operations that there are.
func ReadMapping(file string, s scenario.Scenario) (Mapping, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Mapping{}, err
	}
	return ParseMapping(file, text, s)
}

// ParseMapping reads a text.
func ParseMapping(file string, text []byte, s scenario.Scenario) (Mapping, error) {
	m := Mapping{Separator: ",", TimeUnit: "us", WorkUnit: "us", WorkScale: 1, Speed: 1, MaxRowSize: 64 << 10, MaxGap: scenario.Span(time.Hour),
		Slots:    Slots{Scale: 1, Max: 64},
		Policies: Policies{Malformed: "skip", OutOfOrder: "clamp", ClockJump: "clamp", TooLong: "skip", UnknownOperation: "skip"}}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return m, scenario.Explain(file, err)
	}
	var all []error
	fault := func(key, format string, args ...any) {
		all = append(all, scenario.FileError{File: file, Key: key, Text: fmt.Sprintf(format, args...)})
	}
	if m.Version != 1 {
		fault("version", "%d is not the version that is read here, which is 1", m.Version)
	}
	if m.Columns.Time == "" {
		fault("columns.time", "is not set")
	}
	if len(m.Separator) != 1 || m.Separator == "\n" || m.Separator == "\"" {
		fault("comma", "%q is not one character that can stand between columns", m.Separator)
	}
	for key, unit := range map[string]string{"unit": m.TimeUnit, "work_by": m.WorkUnit} {
		if unitByName[unit] == 0 {
			fault(key, "%q is none of ns, us, ms, s", unit)
		}
	}
	if !(m.Speed > 0) || !(m.WorkScale > 0) || !(m.Slots.Scale > 0) || m.Slots.Max < 1 || m.MaxRowSize < 1 || m.MaxGap <= 0 {
		fault("", "speed, scale, slots.scale, slots.most, row_most and gap_most must be over 0")
	}
	for _, p := range []struct{ key, value string }{{"bad", m.Policies.Malformed}, {"order", m.Policies.OutOfOrder}, {"jump", m.Policies.ClockJump},
		{"long", m.Policies.TooLong}, {"unknown", m.Policies.UnknownOperation}} {
		of := []string{"skip", "clamp", "stop"}
		if p.key == "bad" || p.key == "long" || p.key == "unknown" {
			of = []string{"skip", "stop"} // there is nothing to hold such a row to
		}
		if !slices.Contains(of, p.value) {
			fault("policies."+p.key, "%q is none of %s", p.value, strings.Join(of, ", "))
		}
	}
	names := map[string]bool{}
	for _, o := range s.Operations {
		names[o.Name] = true
	}
	for value, op := range m.Operations {
		if !names[op] {
			fault("operations."+value, "%q is no operation of the scenario", op)
		}
	}
	if len(m.Operations) == 0 && len(s.Operations) != 1 {
		fault("operations", "are not set, and the scenario has %d", len(s.Operations))
	}
	slices.SortFunc(all, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return m, errors.Join(all...)
}
