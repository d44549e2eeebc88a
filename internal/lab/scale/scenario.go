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

	Workers    int     `toml:"workers" json:"Workers"`            // listed
	Zones      int     `toml:"zones" json:"Zones"`                // that these are spread over evenly
	Slots      int     `toml:"slots" json:"Slots"`                // of each worker
	Others     float64 `toml:"others" json:"Others"`              // of these, used by other schedulers' invocations, on the mean
	Schedulers int     `toml:"schedulers" json:"Schedulers"`      // real ones
	Told       int     `toml:"told" json:"Told"`                  // schedulers by the settings; those beyond the real ones are emulated
	InHand     int     `toml:"in_hand" json:"InHand"`             // requests in flight, of each scheduler
	Starts     float64 `toml:"starts_per_second" json:"Starts"`   // of each scheduler
	Changes    float64 `toml:"changes_per_second" json:"Changes"` // replacements of a worker by one that is warming up
	Even       bool    `toml:"even" json:"Even"`                  // arrivals and runs are not drawn
	Body       int     `toml:"body" json:"Body"`                  // bytes of an invocation
	TellsStart bool    `toml:"tells_start" json:"TellsStart"`     // workers notify the start of a run
	Messages   bool    `toml:"messages" json:"Messages"`          // gossip between schedulers
	ProbePrice float64 `toml:"probe_price" json:"ProbePrice"`     // cost of a health check, by the settings
	TellPrice  float64 `toml:"message_price" json:"TellPrice"`    // the same of gossip
	Copies     bool    `toml:"second_copies" json:"Copies"`       // hedged requests are allowed
	Sockets    int     `toml:"sockets" json:"Sockets"`            // of each scheduler; 0: enough for in_hand
	MemoryMB   int     `toml:"memory_mb" json:"MemoryMB"`         // the same of memory
	Frozen     bool    `toml:"frozen" json:"Frozen"`              // load reports do not change from the settling on
	Lost       int     `toml:"lost" json:"Lost"`                  // workers of the first zone that are lost as the window begins
	LostFor    Span    `toml:"lost_for" json:"LostFor"`           // and are restored so much later
	Whole      Span    `toml:"whole_every" json:"Whole"`          // interval of full updates; 0: none but the first
	Progress   Span    `toml:"progress" json:"Progress"`          // interval of a run's progress callbacks; 0: none
	NewsIdle   Span    `toml:"news_idle" json:"NewsIdle"`         // after which a worker closes an idle connection for callbacks
	ConnIdle   Span    `toml:"connection_idle" json:"ConnIdle"`   // after which a scheduler closes an idle connection to a worker
	Warm       Span    `toml:"warm" json:"Warm"`                  // slow start of a worker
	Objective  Span    `toml:"objective" json:"Objective"`        // latency objective beside a run's own time

	Fill   Span `toml:"fill" json:"Fill"`     // in_hand is reached by then
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
	PerWorker float64 `toml:"in_hand_per_worker" json:"PerWorker"`
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
		Seed:       1,
		Workers:    240,
		Zones:      15,
		Slots:      26,
		Others:     21.6,
		Schedulers: 1,
		Told:       15,
		InHand:     372,
		Starts:     48,
		Body:       200,
		TellsStart: true,
		ProbePrice: 0.0025,
		Copies:     true,
		MemoryMB:   256,
		NewsIdle:   Span(5 * time.Second),
		ConnIdle:   Span(60 * time.Second),
		Warm:       Span(23 * time.Second),
		Objective:  Span(3900 * time.Millisecond),
		Fill:       Span(20 * time.Second),
		Settle:     Span(5 * time.Second),
		Window:     Span(30 * time.Second),
	}
}

// Length is how long a step lasts, but for starting and stopping its processes.
func (s Scenario) Length() time.Duration {
	return s.Idle.D() + s.Fill.D() + s.Settle.D() + s.Window.D()
}

// meanRun is the mean time that an invocation runs, which follows from those in flight and the rate
// of starts.
func (s Scenario) meanRun() time.Duration {
	return time.Duration(float64(s.InHand) / s.Starts * float64(time.Second))
}

// timeout is a client's, far beyond any run: each is ended by its worker.
func (s Scenario) timeout() time.Duration { return time.Minute + 20*s.meanRun() }

const (
	leastSpares   = 8
	maxSpares     = 2000
	spareSeconds  = 10 // of replacements, after which a worker may be listed again
	leastSockets  = 1024
	socketsBeside = 200 // sockets of a scheduler that are not for requests
	socketsEach   = 2.3 // sockets for a request in flight
)

// spares is the number of workers beside the listed ones that replace those: each is used again,
// but not at once.
func (s Scenario) spares() int {
	if s.Changes == 0 {
		return 0
	}
	return max(leastSpares, min(int(s.Changes*spareSeconds), maxSpares))
}

// sockets is the limit of a scheduler's sockets: half of it is the most requests that it admits at
// a time.
func (s Scenario) sockets() int {
	if s.Sockets > 0 {
		return s.Sockets
	}
	return max(leastSockets, int(socketsEach*float64(s.InHand))+socketsBeside)
}
