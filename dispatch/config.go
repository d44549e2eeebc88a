package dispatch

import "time"

// Effect is an operation's effect class. It decides whether an invocation may be sent again once an
// attempt may have run.
type Effect uint8

// The effect classes.
const (
	// Idempotent work may run any number of times.
	Idempotent Effect = iota
	// Deduplicated work carries an idempotency key, by which workers drop repeats for a limited time.
	Deduplicated
	// NonIdempotent work must not run twice.
	NonIdempotent
)

// DedupScope says which workers drop a repeat of a deduplicated invocation.
type DedupScope uint8

// The scopes of deduplication.
const (
	// ScopeAll: every worker.
	ScopeAll DedupScope = iota
	// ScopeZone: workers in the zone of the first attempt.
	ScopeZone
	// ScopeCell: workers in the cell of the first attempt.
	ScopeCell
)

const (
	// UnknownIndex is the index of a scheduler that was not given a number.
	UnknownIndex = -1
	// AnyKind marks operations that run on workers of every kind.
	AnyKind = -1
)

// Config is a deployment's configuration. Work is measured in seconds on a standard core.
type Config struct {
	Schedulers            int // total number, including this one
	SchedulerIndex        int // this scheduler's number, from 0 to Schedulers-1, or UnknownIndex
	Zone                  int // the zone that this scheduler runs in
	Operations            []Operation
	Tenants               []Tenant
	ExcessWeight          float64       // weight of a tenant's work beyond its quota, as a fraction of the normal weight
	EndpointsPushed       bool          // endpoint updates are pushed; otherwise the list is polled
	WorkersReportStart    bool          // workers report that an attempt has started
	WorkersReportAccepted bool          // workers report that they have accepted an attempt
	ProgressInterval      time.Duration // interval of workers' progress reports; 0: workers send none
	Limits                Limits
	Rules                 Rules
	WorstOperationWeight  float64 // extra weight of the worst served operation, as a fraction of the weight of all operations
	HealthCheckCost       float64 // points of the overall score that one health check per invocation costs
	GossipCost            float64 // points of the overall score that MaxGossipBytes of gossip per invocation cost
}

// Operation is one kind of invocation.
type Operation struct {
	PriorityWeight   float64       `json:"BilledValue"`
	LateWeight       float64       `json:"LateValue"` // weight of an answer after the latency objective, as a fraction of PriorityWeight
	LatencyObjective time.Duration `json:"LatencyObjective"`
	Stretch          float64       `json:"Stretch"` // the objective is extended by this multiple of an invocation's own work
	Effect           Effect        `json:"Effect"`
	DedupScope       DedupScope    `json:"Scope"`
	DedupWindow      time.Duration `json:"DedupWindow"` // how long workers drop repeats
	WorkerKind       int           `json:"Kind"`        // the only kind of worker that runs it, or AnyKind
}

// Tenant is the configuration of one customer.
type Tenant struct {
	QuotaPerSecond float64 // invocations per second over all schedulers; 0: not configured
	Share          float64 // fraction of all work
}

// Limits holds what the deployment permits.
type Limits struct {
	HealthChecks  bool          // workers may be asked for load reports
	Cancel        bool          // attempts may be cancelled
	Gossip        bool          // schedulers may send each other messages
	MaxAttempts   int           // per invocation
	MaxInFlight   int           // simultaneous attempts per invocation
	MaxRetryAfter time.Duration // longest retry delay in a throttling answer; 0: none is suggested
}

// Rules holds the parameters of the rules that every scheduler follows.
type Rules struct {
	PollWithin           time.Duration // longest time allowed between two polls of the endpoint list
	DrainGrace           time.Duration // how long attempts may still be sent to a draining or gone worker; 0: not configured
	InitialCapacityShare float64       // fraction of its full capacity that a worker has when it starts
	SlowStartDuration    time.Duration // from a worker's start until it reaches its full capacity
	OverloadFactor       float64       // a worker in slow start is overloaded beyond this multiple of its capacity
	OverloadWindow       time.Duration // period over which the load is summed to detect an overload
}
