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
	// publishDelay is how old the totals that operators see may be, at most, while something happens.
	publishDelay = 100 * time.Millisecond

	// Figures of our memory by the runtime's own names. Reading them stops nothing.
	heapLive   = "/memory/classes/heap/objects:bytes"
	heapAllocs = "/gc/heap/allocs:objects"
	gcCycles   = "/gc/cycles/total:gc-cycles"
)

// counts is the body of GET /-/counts, with its keys in alphabetical order.
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

// latencyQuantiles are in microseconds.
type latencyQuantiles struct {
	Max int64 `json:"max"`
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
}

// iterationCounts are those of the event loop.
type iterationCounts struct {
	Count             int64 `json:"count"`
	WorstRecentMicros int64 `json:"worst_10s_us"`
	WorstMicros       int64 `json:"worst_us"`
}

// quantiles gives a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) latencyQuantiles {
	return latencyQuantiles{
		Max: h.Max(),
		P50: h.ValueAtQuantile(50),
		P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99),
	}
}

// memoryMetrics reads our memory's figures by the runtime's names.
func memoryMetrics() map[string]uint64 {
	samples := []metrics.Sample{{Name: heapLive}, {Name: heapAllocs}, {Name: gcCycles}}
	metrics.Read(samples)
	figures := map[string]uint64{}
	for _, sample := range samples {
		if sample.Value.Kind() == metrics.KindUint64 {
			figures[sample.Name] = sample.Value.Uint64()
		}
	}
	return figures
}

// countsReport is the counters as JSON.
func (s *service) countsReport() []byte {
	gossipCounts := map[string]uint64{}
	if s.gossip != nil {
		gossipCounts = s.gossip.CountsByName()
	}
	iterations := s.loop.Iterations()
	memory := memoryMetrics()
	text, err := json.Marshal(counts{
		Allocations:       memory[heapAllocs],
		Clients:           s.clients.Counts,
		ClockSteps:        s.endpoints.ClockSteps(),
		Collections:       memory[gcCycles],
		ClosedConnections: s.clients.ClosedConnections,
		DecisionLatency:   quantiles(s.decisionLatency),
		Invariants:        s.workers.Invariants.Counts,
		HeapBytes:         memory[heapLive],
		RequestsInFlight:  s.clients.InFlight(),
		Requests:          s.totals(),
		AttemptsInFlight:  s.workers.InFlight(),
		Panics:            s.panics,
		Gossip:            gossipCounts,
		AnswersByReason:   s.answersByReason,
		ServingLatency:    quantiles(s.servingLatency),
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

// totals are the ledger's figures with those of the workers.
func (s *service) totals() accounting.Totals {
	return s.ledger.Totals(s.workers.EndpointCount(), s.dispatcher.Ejected())
}

// schedulePublishing has totals published for operators in a while, if anything has happened since the last time.
func (s *service) schedulePublishing() {
	changed := len(s.events) > 0 || s.ledger.Changes != s.publishedChanges
	if s.process.Admin != "" && s.publishTimer == nil && changed {
		s.publishTimer = s.loop.After(publishDelay, s.publishTotals)
	}
}

// publishTotals lets operators see the totals as they are now.
func (s *service) publishTotals() {
	totals := s.totals()
	s.publishedTotals.Store(&totals)
	s.publishedChanges = s.ledger.Changes
	s.publishTimer = nil
}
