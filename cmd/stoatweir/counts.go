package main

import (
	"encoding/json"
	"runtime/metrics"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"stoatweir/internal/accounting"
	"stoatweir/internal/clients"
	"stoatweir/internal/invariant"
	"stoatweir/internal/workers"
)

const (
	// totalsPublishDelay is the time from a change of the totals until they are published for
	// operators, and so the maximum age of what operators see.
	totalsPublishDelay = 100 * time.Millisecond

	// Names of the memory metrics in runtime/metrics. Reading them does not stop the world.
	heapLiveMetric        = "/memory/classes/heap/objects:bytes"
	heapAllocationsMetric = "/gc/heap/allocs:objects"
	gcCyclesMetric        = "/gc/cycles/total:gc-cycles"
)

// counts is the JSON body of GET /-/counts. The fields are in the alphabetical order of their JSON
// keys.
type counts struct {
	Allocations       uint64            `json:"allocations"`
	Clients           clients.Counts    `json:"clients"`
	ClockSteps        int               `json:"clock_steps"`
	Collections       uint64            `json:"collections"`
	ClosedConnections map[string]int    `json:"connections_ended"`
	DecisionLatency   latencyQuantiles  `json:"decided_us"`
	Invariants        invariant.Counts  `json:"guard"`
	HeapBytes         uint64            `json:"heap_bytes"`
	RequestsInFlight  int               `json:"in_hand"`
	Requests          accounting.Totals `json:"invocations"`
	AttemptsInFlight  int               `json:"out"`
	Panics            int               `json:"panics"`
	Gossip            map[string]uint64 `json:"peers"`
	AnswersByReason   map[string]int    `json:"refused"`
	ServingLatency    latencyQuantiles  `json:"served_us"`
	Sockets           int               `json:"sockets"`
	Iterations        iterationCounts   `json:"turns"`
	Watches           int               `json:"watches"`
	Workers           workers.Counts    `json:"workers"`
}

// latencyQuantiles are quantiles of a latency, in microseconds.
type latencyQuantiles struct {
	Max int64 `json:"max"`
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
}

// iterationCounts are the number and the longest durations of event-loop iterations.
type iterationCounts struct {
	Count             int64 `json:"count"`
	WorstRecentMicros int64 `json:"worst_10s_us"`
	WorstMicros       int64 `json:"worst_us"`
}

// latencyQuantilesOf returns the quantiles of a histogram whose unit is microseconds.
func latencyQuantilesOf(h *hdrhistogram.Histogram) latencyQuantiles {
	return latencyQuantiles{
		Max: h.Max(),
		P50: h.ValueAtQuantile(50),
		P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99),
	}
}

// readMemoryMetrics returns the memory metrics of this process by their names in runtime/metrics.
func readMemoryMetrics() map[string]uint64 {
	samples := []metrics.Sample{{Name: heapLiveMetric}, {Name: heapAllocationsMetric}, {Name: gcCyclesMetric}}
	metrics.Read(samples)
	values := map[string]uint64{}
	for _, sample := range samples {
		if sample.Value.Kind() == metrics.KindUint64 {
			values[sample.Name] = sample.Value.Uint64()
		}
	}
	return values
}

// countsReport returns all counters as JSON.
func (s *service) countsReport() []byte {
	gossipCounts := map[string]uint64{}
	if s.gossip != nil {
		gossipCounts = s.gossip.CountsByName()
	}
	iterations := s.loop.Iterations()
	memory := readMemoryMetrics()
	text, err := json.Marshal(counts{
		Allocations:       memory[heapAllocationsMetric],
		Clients:           s.clients.Counts,
		ClockSteps:        s.endpoints.ClockSteps(),
		Collections:       memory[gcCyclesMetric],
		ClosedConnections: s.clients.ClosedConnections,
		DecisionLatency:   latencyQuantilesOf(s.decisionLatency),
		Invariants:        s.workers.Invariants.Counts,
		HeapBytes:         memory[heapLiveMetric],
		RequestsInFlight:  s.clients.InFlight(),
		Requests:          s.totals(),
		AttemptsInFlight:  s.workers.InFlight(),
		Panics:            s.panics,
		Gossip:            gossipCounts,
		AnswersByReason:   s.answersByReason,
		ServingLatency:    latencyQuantilesOf(s.servingLatency),
		Sockets:           s.clientQuota.Used() + s.workerQuota.Used(),
		Iterations: iterationCounts{
			Count:             iterations.Count,
			WorstRecentMicros: iterations.WorstRecent.Microseconds(),
			WorstMicros:       iterations.Worst.Microseconds(),
		},
		Watches: s.endpoints.WatchesStarted,
		Workers: s.workers.Counts,
	})
	if err != nil {
		return []byte("{}")
	}
	return text
}

// totals returns the ledger's totals together with the current numbers of workers.
func (s *service) totals() accounting.Totals {
	return s.ledger.Totals(s.workers.EndpointCount(), s.dispatcher.Ejected())
}

// schedulePublishing schedules the publication of the totals for operators if they may have changed
// since they were last published.
func (s *service) schedulePublishing() {
	changed := len(s.events) > 0 || s.ledger.ModificationCount != s.publishedChanges
	if s.process.Admin != "" && s.publishTimer == nil && changed {
		s.publishTimer = s.loop.After(totalsPublishDelay, s.publishTotals)
	}
}

// publishTotals publishes the current totals, which admin calls read from other goroutines.
func (s *service) publishTotals() {
	totals := s.totals()
	s.publishedTotals.Store(&totals)
	s.publishedChanges = s.ledger.ModificationCount
	s.publishTimer = nil
}
