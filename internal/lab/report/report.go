// Package report builds the report of a simulation run and writes it as JSON, text or a plot. It also
// compares the reports of paired runs.
package report

import (
	"encoding/json"
	"io"

	"stoatweir/internal/lab/model"
)

// formatVersion is the version of the report's JSON format.
const formatVersion = 1

// Report holds the results of one run. It contains nothing about the machine on which the run took place,
// so that repeating a run in virtual time gives the same report byte for byte.
type Report struct {
	Version       int    `json:"version"`
	Scenario      string `json:"scenario"`
	Mode          string `json:"mode"`    // "virtual", "loopback" or "load"
	Policy        string `json:"decider"` // what made the scheduling decisions, or the scheduler's address
	Seed          int64  `json:"seed"`
	InvalidReason string `json:"void,omitempty"` // why the results must not be used; empty if they may

	Schedulers     int     `json:"schedulers"`
	Workers        int     `json:"workers"`
	Duration       float64 `json:"seconds"`    // length of the run, in seconds
	Service        float64 `json:"service"`    // share of the offered value that was served within the objective
	WorstInterval  float64 `json:"worst_span"` // lowest such share over ten consecutive seconds
	WorstOperation float64 `json:"worst"`      // lowest such share of any operation that was offered

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

// Service says how one part of the load was served: all of it, an operation, a tenant or a zone. Counts
// are of invocations. Latencies are in milliseconds, from the intended time of the first request.
type Service struct {
	Name         string  `json:"name"`
	Offered      int     `json:"offered"`
	ValueOffered float64 `json:"value_offered"` // proportional to the work of the invocations
	ValueServed  float64 `json:"value_served"`  // value of invocations that succeeded within the objective
	ServedShare  float64 `json:"service"`       // ValueServed as a share of ValueOffered; 1 if nothing was offered
	InTime       int     `json:"in_time"`       // succeeded within the objective
	Late         int     `json:"late"`          // succeeded after the objective
	Throttled    int     `json:"throttled"`     // rejected, or not sent as no scheduler could be reached
	Errored      int     `json:"errored"`
	Unanswered   int     `json:"unanswered"` // the connection broke, or the timeout passed
	P50          float64 `json:"p50_ms"`
	P90          float64 `json:"p90_ms"`
	P99          float64 `json:"p99_ms"`
	P999         float64 `json:"p999_ms"`
}

// Costs holds the traffic and work that a run caused.
type Costs struct {
	Requests         int     `json:"tries"` // sent by clients, retries included
	Forwards         int     `json:"forwards"`
	DuplicateRuns    int     `json:"duplicate_runs"` // runs beyond the first of an invocation, or after its end
	WastedShare      float64 `json:"wasted_work"`    // work beyond that of successful invocations, as a share of the work offered
	HealthChecks     int     `json:"probes"`
	Connections      int     `json:"connections"`
	DiscoveryQueries int     `json:"list_calls"`
	Events           int     `json:"events,omitempty"` // simulation events of a run in virtual time
	MaxWarmUpLoad    float64 `json:"cold_use"`         // highest load of a worker in warm-up, as a share of what it can bear
}

// Lateness says how late the requests of a load in real time were sent, in milliseconds after their
// intended times.
type Lateness struct {
	Sent int     `json:"sent"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Max  float64 `json:"most_ms"`
}

// ViolationCount returns the total number of violations of all rules.
func (r Report) ViolationCount() int {
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
