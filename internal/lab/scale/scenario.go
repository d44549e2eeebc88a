// Package scale runs a part of a large deployment on one machine and measures the resources that its
// schedulers use. The measured schedulers are real and run as separate processes. Hollow processes
// emulate the workers, the clients and the other schedulers on loopback addresses.
package scale

import (
	"time"

	"stoatweir/internal/lab/scenario"
)

// Scenario describes a deployment, the load on it, and the sweep that varies one of its keys.
type Scenario struct {
	Version int    `toml:"version" json:"Version"`
	Name    string `toml:"name" json:"Name"`
	Seed    int64  `toml:"seed" json:"Seed"`

	Workers               int     `toml:"workers" json:"Workers"`            // in the endpoint list
	Zones                 int     `toml:"zones" json:"Zones"`                // over which the workers are spread evenly
	Slots                 int     `toml:"slots" json:"Slots"`                // of each worker
	OtherLoad             float64 `toml:"others" json:"Others"`              // mean number of a worker's slots that other schedulers use
	Schedulers            int     `toml:"schedulers" json:"Schedulers"`      // real ones
	TotalSchedulers       int     `toml:"told" json:"Told"`                  // in the settings; with gossip, the rest are emulated
	InFlight              int     `toml:"in_hand" json:"InHand"`             // target number of requests of each scheduler
	Starts                float64 `toml:"starts_per_second" json:"Starts"`   // invocations started per second, of each scheduler
	ReplacementsPerSecond float64 `toml:"changes_per_second" json:"Changes"` // of listed workers by ones in slow start, in the whole list
	EvenLoad              bool    `toml:"even" json:"Even"`                  // intervals of arrivals and run times are constant
	BodyBytes             int     `toml:"body" json:"Body"`                  // of an invocation
	NotifiesStart         bool    `toml:"tells_start" json:"TellsStart"`     // workers notify schedulers of the start of a run
	Gossip                bool    `toml:"messages" json:"Messages"`          // schedulers exchange gossip
	HealthCheckCost       float64 `toml:"probe_price" json:"ProbePrice"`     // in the settings of a scheduler
	GossipCost            float64 `toml:"message_price" json:"TellPrice"`    // in the settings of a scheduler
	Hedging               bool    `toml:"second_copies" json:"Copies"`       // schedulers may send hedged requests
	Sockets               int     `toml:"sockets" json:"Sockets"`            // limit of each scheduler; 0: enough for in_hand
	MemoryMB              int     `toml:"memory_mb" json:"MemoryMB"`         // memory limit of each scheduler
	FreezesReports        bool    `toml:"frozen" json:"Frozen"`              // load reports stay as they are once the load has ramped up
	LostWorkers           int     `toml:"lost" json:"Lost"`                  // of the first zone, lost when the window begins
	LostFor               Span    `toml:"lost_for" json:"LostFor"`           // time until the lost workers are restored
	FullUpdateInterval    Span    `toml:"whole_every" json:"Whole"`          // 0: no full update but the first
	ProgressInterval      Span    `toml:"progress" json:"Progress"`          // of callbacks on the progress of a run; 0: none
	CallbackIdle          Span    `toml:"news_idle" json:"NewsIdle"`         // after which a worker closes an idle callback connection
	ConnIdle              Span    `toml:"connection_idle" json:"ConnIdle"`   // after which a scheduler closes an idle connection to a worker
	SlowStart             Span    `toml:"warm" json:"Warm"`                  // of a worker
	LatencyObjective      Span    `toml:"objective" json:"Objective"`        // allowed in addition to the run time

	RampUp Span `toml:"fill" json:"Fill"`     // time in which in_hand is reached
	Settle Span `toml:"settle" json:"Settle"` // time between ramp-up and window
	Window Span `toml:"window" json:"Window"` // time that is measured under load
	Idle   Span `toml:"idle" json:"Idle"`     // time that is measured before any load

	Operations []Operation `toml:"operations" json:"Operations"`
	Sweep      Sweep       `toml:"sweep" json:"Sweep"`
}

// Operation is a class of invocations. Clients send the operations of a scenario in turn.
type Operation struct {
	Name   string `toml:"name" json:"Name"`
	Effect string `toml:"effect" json:"Effect"` // idempotent, deduplicated or non-idempotent
}

// Sweep varies one key of a scenario from step to step. An empty key means a single step.
type Sweep struct {
	Key    string    `toml:"key" json:"Key"`
	Values []float64 `toml:"values" json:"Values"`
	// InFlightPerWorker, if positive, sets in_hand in proportion to the workers, so that their
	// utilization stays the same.
	InFlightPerWorker float64 `toml:"in_hand_per_worker" json:"PerWorker"`
}

// Span is a duration, written in files as 10s or 250ms.
type Span = scenario.Span

// Effects of an operation.
const (
	effectIdempotent    = "idempotent"
	effectDeduplicated  = "deduplicated"
	effectNonIdempotent = "non-idempotent"
)

// defaultOperations returns the operations of a scenario that names none.
func defaultOperations() []Operation {
	return []Operation{
		{Name: "render", Effect: effectIdempotent},
		{Name: "sale", Effect: effectDeduplicated},
		{Name: "charge", Effect: effectNonIdempotent},
	}
}

// defaultScenario returns the values of keys that a file leaves out.
func defaultScenario() Scenario {
	return Scenario{
		Seed:             1,
		Workers:          240,
		Zones:            15,
		Slots:            26,
		OtherLoad:        21.6,
		Schedulers:       1,
		TotalSchedulers:  15,
		InFlight:         372,
		Starts:           48,
		BodyBytes:        200,
		NotifiesStart:    true,
		HealthCheckCost:  0.0025,
		Hedging:          true,
		MemoryMB:         256,
		CallbackIdle:     Span(5 * time.Second),
		ConnIdle:         Span(60 * time.Second),
		SlowStart:        Span(23 * time.Second),
		LatencyObjective: Span(3900 * time.Millisecond),
		RampUp:           Span(20 * time.Second),
		Settle:           Span(5 * time.Second),
		Window:           Span(30 * time.Second),
	}
}

// Duration returns how long a step lasts, without the start and stop of its processes.
func (s Scenario) Duration() time.Duration {
	return s.Idle.D() + s.RampUp.D() + s.Settle.D() + s.Window.D()
}

// meanRun returns the mean run time of an invocation, which follows from the target number of
// requests in flight and the rate of starts (Little's law).
func (s Scenario) meanRun() time.Duration {
	return time.Duration(float64(s.InFlight) / s.Starts * float64(time.Second))
}

// timeout returns the timeout of a client. It is far longer than any run, so that each run is ended
// by its worker.
func (s Scenario) timeout() time.Duration { return time.Minute + 20*s.meanRun() }

const (
	minSpareWorkers     = 8
	maxSpareWorkers     = 2000
	spareReuseSeconds   = 10 // time before a replaced worker is listed again, unless minSpareWorkers or maxSpareWorkers changes it
	minSchedulerSockets = 1024
	nonRequestSockets   = 200 // of a scheduler, for connections that carry no requests
	socketsPerRequest   = 2.3 // for each request in flight
)

// spareWorkers returns the number of unlisted workers that replacements are taken from. A replaced
// worker becomes a spare one and is listed again, but not at once.
func (s Scenario) spareWorkers() int {
	if s.ReplacementsPerSecond == 0 {
		return 0
	}
	return max(minSpareWorkers, min(int(s.ReplacementsPerSecond*spareReuseSeconds), maxSpareWorkers))
}

// socketLimit returns the limit of a scheduler's sockets. The scheduler admits at most half as many
// requests at a time.
func (s Scenario) socketLimit() int {
	if s.Sockets > 0 {
		return s.Sockets
	}
	return max(minSchedulerSockets, int(socketsPerRequest*float64(s.InFlight))+nonRequestSockets)
}
