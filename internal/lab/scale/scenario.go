// Package scale runs a part of a large deployment on one machine and measures what it costs its
// schedulers: real ones, as processes of their own, beside hollow processes that emulate workers,
// clients and the other schedulers over loopback addresses.
package scale

import (
	"time"

	"stoatweir/internal/lab/scenario"
)

// Scenario is what is run, and what is varied in it.
type Scenario struct {
	Version int    `toml:"version" json:"Version"`
	Name    string `toml:"name" json:"Name"`
	Seed    int64  `toml:"seed" json:"Seed"`

	Workers               int     `toml:"workers" json:"Workers"`            // listed
	Zones                 int     `toml:"zones" json:"Zones"`                // that these are spread over evenly
	Slots                 int     `toml:"slots" json:"Slots"`                // of each worker
	OtherLoad             float64 `toml:"others" json:"Others"`              // of these, used by other schedulers' invocations, on the mean
	Schedulers            int     `toml:"schedulers" json:"Schedulers"`      // real ones
	TotalSchedulers       int     `toml:"told" json:"Told"`                  // in the settings; with gossip, the rest are emulated
	InFlight              int     `toml:"in_hand" json:"InHand"`             // requests in flight, of each scheduler
	Starts                float64 `toml:"starts_per_second" json:"Starts"`   // of each scheduler
	ReplacementsPerSecond float64 `toml:"changes_per_second" json:"Changes"` // replacements of a worker by one that is warming up
	EvenLoad              bool    `toml:"even" json:"Even"`                  // arrivals and runs are not drawn
	BodyBytes             int     `toml:"body" json:"Body"`                  // bytes of an invocation
	NotifiesStart         bool    `toml:"tells_start" json:"TellsStart"`     // workers notify the start of a run
	Gossip                bool    `toml:"messages" json:"Messages"`          // gossip between schedulers
	HealthCheckCost       float64 `toml:"probe_price" json:"ProbePrice"`     // cost of a health check, by the settings
	GossipCost            float64 `toml:"message_price" json:"TellPrice"`    // the same of gossip
	Hedging               bool    `toml:"second_copies" json:"Copies"`       // hedged requests are allowed
	Sockets               int     `toml:"sockets" json:"Sockets"`            // of each scheduler; 0: enough for in_hand
	MemoryMB              int     `toml:"memory_mb" json:"MemoryMB"`         // the same of memory
	FreezesReports        bool    `toml:"frozen" json:"Frozen"`              // load reports do not change from the settling on
	LostWorkers           int     `toml:"lost" json:"Lost"`                  // workers of the first zone that are lost as the window begins
	LostFor               Span    `toml:"lost_for" json:"LostFor"`           // and are restored so much later
	FullUpdateInterval    Span    `toml:"whole_every" json:"Whole"`          // interval of full updates; 0: none but the first
	ProgressInterval      Span    `toml:"progress" json:"Progress"`          // interval of a run's progress callbacks; 0: none
	CallbackIdle          Span    `toml:"news_idle" json:"NewsIdle"`         // after which a worker closes an idle connection for callbacks
	ConnIdle              Span    `toml:"connection_idle" json:"ConnIdle"`   // after which a scheduler closes an idle connection to a worker
	SlowStart             Span    `toml:"warm" json:"Warm"`                  // slow start of a worker
	LatencyObjective      Span    `toml:"objective" json:"Objective"`        // latency objective beside a run's own time

	RampUp Span `toml:"fill" json:"Fill"`     // in_hand is reached by then
	Settle Span `toml:"settle" json:"Settle"` // before the window
	Window Span `toml:"window" json:"Window"` // that is measured
	Idle   Span `toml:"idle" json:"Idle"`     // that is measured before any load

	Operations []Operation `toml:"operations" json:"Operations"`
	Sweep      Sweep       `toml:"sweep" json:"Sweep"`
}

// Operation is a class of invocations; they are sent in turn.
type Operation struct {
	Name   string `toml:"name" json:"Name"`
	Effect string `toml:"effect" json:"Effect"` // idempotent, deduplicated or non-idempotent
}

// Sweep is what differs from step to step.
type Sweep struct {
	Key    string    `toml:"key" json:"Key"`
	Values []float64 `toml:"values" json:"Values"`
	// PerWorker has in_hand follow the workers, which keeps how full each of them is.
	InFlightPerWorker float64 `toml:"in_hand_per_worker" json:"PerWorker"`
}

// Span is a duration, in files in the form of 10s or 250ms.
type Span = scenario.Span

// Effects of an operation.
const (
	effectIdempotent    = "idempotent"
	effectDeduplicated  = "deduplicated"
	effectNonIdempotent = "non-idempotent"
)

// defaultOperations are those of a scenario that names none.
func defaultOperations() []Operation {
	return []Operation{
		{Name: "render", Effect: effectIdempotent},
		{Name: "sale", Effect: effectDeduplicated},
		{Name: "charge", Effect: effectNonIdempotent},
	}
}

// defaultScenario is what a file's keys replace.
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

// Duration is how long a step lasts, but for starting and stopping its processes.
func (s Scenario) Duration() time.Duration {
	return s.Idle.D() + s.RampUp.D() + s.Settle.D() + s.Window.D()
}

// meanRun is the mean time that an invocation runs, which follows from those in flight and the rate
// of starts.
func (s Scenario) meanRun() time.Duration {
	return time.Duration(float64(s.InFlight) / s.Starts * float64(time.Second))
}

// timeout is a client's, far beyond any run: each is ended by its worker.
func (s Scenario) timeout() time.Duration { return time.Minute + 20*s.meanRun() }

const (
	minSpareWorkers     = 8
	maxSpareWorkers     = 2000
	spareReuseSeconds   = 10 // of replacements, after which a worker may be listed again
	minSchedulerSockets = 1024
	nonRequestSockets   = 200 // sockets of a scheduler that are not for requests
	socketsPerRequest   = 2.3 // sockets for a request in flight
)

// spareWorkers is the number of workers beside the listed ones that replace those: each is used again,
// but not at once.
func (s Scenario) spareWorkers() int {
	if s.ReplacementsPerSecond == 0 {
		return 0
	}
	return max(minSpareWorkers, min(int(s.ReplacementsPerSecond*spareReuseSeconds), maxSpareWorkers))
}

// socketLimit is the limit of a scheduler's sockets: half of it is the most requests that it admits at
// a time.
func (s Scenario) socketLimit() int {
	if s.Sockets > 0 {
		return s.Sockets
	}
	return max(minSchedulerSockets, int(socketsPerRequest*float64(s.InFlight))+nonRequestSockets)
}
