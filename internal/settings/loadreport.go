package settings

import (
	"cmp"
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"stoatweir/dispatch"
)

// maxLoadValue bounds the values of a load report; a larger one is an error of the worker.
const maxLoadValue = 1e12

// textPrefix begins a load report that is a text and not JSON.
const textPrefix = "TEXT"

// Report describes the values of a load report: their names and, at the same index, what each
// means.
type Report struct {
	Names    []string
	Meanings []string
}

// newReport describes a report whose values have the given meanings, or else mean what they are
// called.
func newReport(names []string, meanings map[string]string) Report {
	var r Report
	for _, name := range names {
		r.Names = append(r.Names, name)
		r.Meanings = append(r.Meanings, cmp.Or(meanings[name], name))
	}
	return r
}

// Field returns the field of a load report that the value at an index is stored in; nil if the
// value has no meaning here.
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

// aliases are names that workers of earlier versions report a value by.
var aliases = map[string]string{
	"inflight":   "active",
	"queue":      "waiting",
	"util":       "cpu",
	"latency_ms": "avg_ms",
	"qps":        "rps",
	"eps":        "err_rps",
}

// Parse parses a load report, from a text such as TEXT waiting=2, x0=0.5 or from a JSON object. It
// returns nil for what can't be parsed: a wrong value would draw work to a worker, none merely
// leaves its load unknown.
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

// isPlausible reports whether a value is a number that a worker may report.
func isPlausible(value float64) bool { return math.Abs(value) < maxLoadValue }

// parseValues returns the values of a report by name, and whether it has a valid form.
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

// Unknown returns the report that is used until a worker has sent one: all values that it would
// have are zero.
func (r Report) Unknown() dispatch.LoadReport {
	load := dispatch.UnknownLoad
	for i := range r.Names {
		if field := r.Field(&load, i); field != nil {
			*field = 0
		}
	}
	return load
}
