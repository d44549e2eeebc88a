// Package report makes the report of a run: as JSON, as text, as a plot, and as a comparison with other runs.
package report

import (
	"encoding/json"
	"io"

	"stoatweir/internal/lab/model"
)

// formatVersion is the version of the report's form.
const formatVersion = 1

// Report is the report of one run. The same run in virtual time gives the same report to the byte, so it holds nothing of
// the machine that it ran on.
type Report struct {
	Version  int    `json:"version"`
	Scenario string `json:"scenario"`
	Mode     string `json:"mode"` // virtual, loopback or load
	Decider  string `json:"decider"`
	Seed     int64  `json:"seed"`
	Void     string `json:"void,omitempty"` // why its figures must not be used; empty: they may

	Schedulers     int     `json:"schedulers"`
	Workers        int     `json:"workers"`
	Duration       float64 `json:"seconds"`
	Service        float64 `json:"service"`    // value served within the objective, as a share of the value offered
	WorstInterval  float64 `json:"worst_span"` // the same in the worst ten seconds
	WorstOperation float64 `json:"worst"`      // the same of the worst operation

	All             Service           `json:"all"`
	Operations      []Service         `json:"operations"`
	Tenants         []Service         `json:"tenants,omitempty"`
	Zones           []Service         `json:"zones,omitempty"`
	ServiceBySecond []float64         `json:"service_by_second"`
	Costs           Costs             `json:"costs"`
	ViolationCounts map[string]int    `json:"rules_broken"`
	Violations      []model.Violation `json:"breaks,omitempty"`
	Lateness        *Lateness         `json:"lateness,omitempty"`
	Trace           json.RawMessage   `json:"trace,omitempty"`
}

// Service is how a part of the load was served. Latencies are in milliseconds, from the intended time of the first request.
type Service struct {
	Name         string  `json:"name"`
	Offered      int     `json:"offered"`
	ValueOffered float64 `json:"value_offered"` // by the work that invocations take
	ValueServed  float64 `json:"value_served"`  // within the objective
	ServedShare  float64 `json:"service"`
	InTime       int     `json:"in_time"`
	Late         int     `json:"late"`
	Throttled    int     `json:"throttled"`
	Errored      int     `json:"errored"`
	Unanswered   int     `json:"unanswered"`
	P50          float64 `json:"p50_ms"`
	P90          float64 `json:"p90_ms"`
	P99          float64 `json:"p99_ms"`
	P999         float64 `json:"p999_ms"`
}

// Costs are what the service took.
type Costs struct {
	Requests         int     `json:"tries"`
	Forwards         int     `json:"forwards"`
	DuplicateRuns    int     `json:"duplicate_runs"`
	WastedShare      float64 `json:"wasted_work"` // as a share of the work offered
	HealthChecks     int     `json:"probes"`
	Connections      int     `json:"connections"`
	DiscoveryQueries int     `json:"list_calls"`
	Events           int     `json:"events,omitempty"` // of a run in virtual time
	MaxWarmUpLoad    float64 `json:"cold_use"`         // of a warming worker, as a share of what it can bear
}

// Lateness is how late the requests of a load in real time were sent.
type Lateness struct {
	Sent int     `json:"sent"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Max  float64 `json:"most_ms"`
}

// Broken counts the violations of all rules.
func (r Report) Broken() int {
	total := 0
	for _, n := range r.ViolationCounts {
		total += n
	}
	return total
}

// JSON writes the report as indented JSON.
func (r Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
