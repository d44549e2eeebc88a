package dispatch

import "time"

// Effect is an operation's effect class: how far an invocation may be sent again once it may have run.
type Effect uint8

// The effect classes.
const (
	// Idempotent work may run any number of times.
	Idempotent Effect = iota
	// Deduplicated work carries an idempotency key, by which workers drop repeats for a time.
	Deduplicated
	// NonIdempotent work must not run twice.
	NonIdempotent
)

// DedupScope returns which workers drop a repeat of a deduplicated invocation.
type DedupScope uint8

// The scopes of deduplication.
const (
	// ScopeAll: every worker drops it.
	ScopeAll DedupScope = iota
	// ScopeZone: workers of the first attempt's zone do.
	ScopeZone
	// ScopeCell: workers of the first attempt's cell do.
	ScopeCell
)

const (
	// UnknownIndex stands for the number of a scheduler that was not given it.
	UnknownIndex = -1
	// AnyKind stands for operations that run on workers of any kind.
	AnyKind = -1
)

// Config is what a deployment says of itself. All times are spans; work is in seconds on a standard core.
type Config struct {
	Schedulers           int // in all, this one included
	Index                int // this scheduler's number among them, from 0, or UnknownIndex
	Zone                 int // where this scheduler runs
	Operations           []Operation
	Tenants              []Tenant
	ExcessValue          float64       // weight of a tenant's work beyond its quota, as a part of the usual one
	EndpointsPushed      bool          // endpoint updates come unasked; else the list is polled
	NotifiesStart        bool          // workers report the start of an attempt
	NotifiesAccepted     bool          // workers' acceptance of an attempt is reported
	ProgressInterval     time.Duration // between workers' progress reports; 0: none are sent
	Limits               Limits
	Rules                Rules
	WorstOperationWeight float64 // of the worst served operation beside the whole, as a part of the latter
	HealthCheckCost      float64 // points of the result for one health check an invocation
	GossipCost           float64 // points of the result for MaxGossipBytes of gossip an invocation
}

// Operation is one kind of invocation.
type Operation struct {
	PriorityWeight   float64       `json:"BilledValue"`
	LateWeight       float64       `json:"LateValue"` // of an answer after the objective, as a part of the weight
	LatencyObjective time.Duration `json:"LatencyObjective"`
	Stretch          float64       `json:"Stretch"` // the objective grows by this multiple of an invocation's own work
	Effect           Effect        `json:"Effect"`
	DedupScope       DedupScope    `json:"Scope"`
	DedupWindow      time.Duration `json:"DedupWindow"` // in which workers drop repeats
	WorkerKind       int           `json:"Kind"`        // the one kind of worker that runs it, or AnyKind
}

// Tenant is one customer's part of the service.
type Tenant struct {
	QuotaPerSecond float64 // invocations, at all schedulers together; 0: not configured
	Share          float64 // of all work
}

// Limits say what the deployment permits.
type Limits struct {
	HealthChecks  bool          // workers may be asked for their load
	Cancel        bool          // attempts may be cancelled
	Gossip        bool          // schedulers may send messages to one another
	MaxAttempts   int           // of one invocation
	MaxInFlight   int           // attempts of one invocation at once
	MaxRetryAfter time.Duration // that a throttling answer may ask for; 0: none
}

// Rules are the figures of the rules that every scheduler keeps.
type Rules struct {
	PollWithin        time.Duration // the endpoint list has to be asked for within this time
	DrainGrace        time.Duration // for which a draining or gone worker may still be sent to; 0: not configured
	SlowStartFrom     float64       // part of its capacity that a worker has at its start
	SlowStartDuration time.Duration // from a worker's start until it has its full capacity
	OverloadFactor    float64       // multiple of its capacity at which a worker in slow start is overloaded
	OverloadWindow    time.Duration // over which that is counted
}
