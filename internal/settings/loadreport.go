package settings

import (
	"cmp"
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"stoatweir/dispatch"
)

// maxLoadValue is the exclusive limit of the magnitude of values in a load report. A larger value is a
// fault of the worker.
const maxLoadValue = 1e12

// textPrefix begins a load report in text form, as opposed to JSON.
const textPrefix = "TEXT"

// Report describes the values of a load report: their names and, at the same indexes, their meanings.
type Report struct {
	Names    []string
	Meanings []string
}

// newReport returns a Report with the given names. A name that meanings does not contain is its own
// meaning.
func newReport(names []string, meanings map[string]string) Report {
	var r Report
	for _, name := range names {
		r.Names = append(r.Names, name)
		r.Meanings = append(r.Meanings, cmp.Or(meanings[name], name))
	}
	return r
}

// Field returns the field of load that stores the value at index, or nil if the value is not used.
func (r Report) Field(load *dispatch.LoadReport, index int) *float64 {
	if index >= len(r.Meanings) {
		return nil
	}
	switch r.Meanings[index] {
	case "free slots":
		return &load.FreeSlots
	case "waiting":
		return &load.Queued
	case "active":
		return &load.InFlight
	case "cpu":
		return &load.Busy
	case "avg_ms":
		return &load.ServiceTime
	case "err_rps":
		return &load.ErrorRate
	}
	return nil
}

// aliases maps names that earlier versions of workers send to the current names.
var aliases = map[string]string{
	"inflight":   "active",
	"queue":      "waiting",
	"util":       "cpu",
	"latency_ms": "avg_ms",
	"qps":        "rps",
	"eps":        "err_rps",
}

// Parse parses a load report: a text such as "TEXT waiting=2, x0=0.5" or a JSON object. It returns
// nil if any part of the report is invalid or no value is known, because a wrong value could attract
// work to the worker, whereas a missing report only leaves its load unknown.
func (r Report) Parse(text string) *dispatch.LoadReport {
	values, ok := parseValues(strings.TrimSpace(text))
	if !ok {
		return nil
	}
	load := dispatch.UnknownLoad
	found := false
	for name, value := range values {
		if !isPlausible(value) {
			return nil
		}
		for i, reported := range r.Names {
			if reported != name && reported != aliases[name] {
				continue
			}
			if field := r.Field(&load, i); field != nil {
				*field = value
				found = true
			}
		}
	}
	if !found {
		return nil
	}
	return &load
}

// isPlausible reports whether the magnitude of a value is below maxLoadValue; NaN is not plausible.
func isPlausible(value float64) bool { return math.Abs(value) < maxLoadValue }

// parseValues returns the values of a report by name, and whether its syntax is valid.
func parseValues(text string) (values map[string]float64, ok bool) {
	values = map[string]float64{}
	if strings.HasPrefix(text, "{") {
		err := json.Unmarshal([]byte(text), &values)
		return values, err == nil
	}
	for pair := range strings.SplitSeq(strings.TrimPrefix(text, textPrefix), ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
		value, err := strconv.ParseFloat(number, 64)
		if err != nil {
			return nil, false
		}
		values[name] = value
	}
	return values, true
}

// Unknown returns the load report that stands in for that of a worker which has not sent one yet: all
// values that r names are zero.
func (r Report) Unknown() dispatch.LoadReport {
	load := dispatch.UnknownLoad
	for i := range r.Names {
		if field := r.Field(&load, i); field != nil {
			*field = 0
		}
	}
	return load
}
