package settings

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"stoatweir/dispatch"
)

// Report tells what the values of a load report are called, and what they mean, in their order.
type Report struct{ Names, Meanings []string }

// Field is where the value at a place of the report belongs; nil where it has no meaning here.
func (r Report) Field(load *dispatch.LoadReport, place int) *float64 {
	if place >= len(r.Meanings) {
		return nil
	}
	switch r.Meanings[place] {
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

// older are the names that a value has in texts written before the deployment's own.
var older = map[string]string{"inflight": "active", "queue": "waiting", "util": "cpu", "latency_ms": "avg_ms",
	"qps": "rps", "eps": "err_rps"}

// Parse reads a report from a text such as TEXT waiting=2, x0=0.5 or from a JSON object. What can't be read is no
// report: a wrong figure would draw work to a worker, none merely leaves it unknown.
func (r Report) Parse(text string) *dispatch.LoadReport {
	text = strings.TrimSpace(text)
	values := map[string]float64{}
	if strings.HasPrefix(text, "{") {
		if json.Unmarshal([]byte(text), &values) != nil {
			return nil
		}
	} else {
		for pair := range strings.SplitSeq(strings.TrimPrefix(text, "TEXT"), ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return nil
			}
			values[name] = v
		}
	}
	load, found := dispatch.UnknownLoad, false
	for name, v := range values {
		if !(-1e12 < v && v < 1e12) {
			return nil
		}
		for place, known := range r.Names {
			if known != name && known != older[name] {
				continue
			}
			if field := r.Field(&load, place); field != nil {
				*field, found = v, true
			}
		}
	}
	if !found {
		return nil
	}
	return &load
}

// Blank is the report whose every value is nought.
func (r Report) Unknown() dispatch.LoadReport {
	load := dispatch.UnknownLoad
	for place := range r.Names {
		if field := r.Field(&load, place); field != nil {
			*field = 0
		}
	}
	return load
}

func (r *Report) name(names []string, meaning map[string]string) {
	for _, name := range names {
		r.Names = append(r.Names, name)
		r.Meanings = append(r.Meanings, cmp.Or(meaning[name], name))
	}
}
