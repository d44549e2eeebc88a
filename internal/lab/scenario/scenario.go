// Package scenario reads the description of a simulation run: which schedulers and workers there are, the load, and which
// faults hit when.
package scenario

// Version is the version of the file format.
const Version = 1

// Scenario describes one run.
type Scenario struct {
	Version       int           `toml:"Version"`
	Name          string        `toml:"Name"`
	Seed          int64         `toml:"Seed"`
	Length        Span          `toml:"Length"`
	Zones         []string      `toml:"Zones"`
	Schedulers    Schedulers    `toml:"Schedulers"`
	Network       Network       `toml:"Network"`
	Discovery     Discovery     `toml:"List"`
	Rules         Rules         `toml:"Rules"`
	Limits        Limits        `toml:"Allow"`
	LoadReports   LoadReports   `toml:"Reports"`
	Notifications Notifications `toml:"Signs"`
	Workers       []WorkerGroup `toml:"Workers"`
	Operations    []Operation   `toml:"Operations"`
	Tenants       []Tenant      `toml:"Tenants"`
	Hosted        Hosted        `toml:"Hosted"`
	Load          Load          `toml:"Load"`
	Clients       Clients       `toml:"Clients"`
	Faults        []Fault       `toml:"Troubles"`
}

// Schedulers are the dispatchers; they are spread over the zones round robin.
type Schedulers struct {
	Count            int  `toml:"Count"`
	ReportedCount    int  `toml:"Told"`     // of schedulers that their settings give; 0: Count
	RestartDelay     Span `toml:"Restarts"` // until a killed one is back
	FailureDetection Span `toml:"Notice"`   // until clients avoid one that is down
}

// Network has the one-way latencies and the timeouts of connections.
type Network struct {
	SameZone       Span    `toml:"same_zone"`
	CrossZone      Span    `toml:"cross_zone"`
	Client         Span    `toml:"Client"`
	Jitter         float64 `toml:"Jitter"`
	ConnectTimeout Span    `toml:"connect_timeout"`
	Idle           Span    `toml:"Idle"`
}

// Discovery is the service that has the endpoint list.
type Discovery struct {
	ChangeDelay       Span    `toml:"Notice"`        // until it knows of a start, a drain or an exit
	SilentChangeDelay Span    `toml:"silent_notice"` // until it lists a silent machine as gone
	CallDuration      Span    `toml:"Call"`          // of a query, beside its wait in the queue
	CallsPerSecond    float64 `toml:"calls_per_s"`
	DeemedDelay       Span    `toml:"Deemed"` // after which a change counts as known to schedulers, whether or not it is
}

// Rules are the limits of the four rules that a run checks.
type Rules struct {
	AnswerSlack       Span    `toml:"answer_slack"`
	StopSendingWithin Span    `toml:"stop_sending"`
	QueryWithin       Span    `toml:"ask_within"`
	OverloadWindow    Span    `toml:"Fall"`
	OverloadMultiple  float64 `toml:"fall_multiple"`
}

// Limits are what schedulers may do.
type Limits struct {
	HealthChecks   bool `toml:"Probes"`
	Cancel         bool `toml:"Cancel"`
	HedgedRequests bool `toml:"second_copies"`
	MaxForwards    int  `toml:"max_forwards"`
	MaxRetryAfter  Span `toml:"max_retry_after"`
}

// LoadReports are what workers report with a health check.
type LoadReports struct {
	Fields   []string `toml:"Fields"` // free_slots, waiting, active, service_ms
	Interval Span     `toml:"Every"`
	Delay    Span     `toml:"Delay"`
}

// Notifications are what workers call back of running attempts.
type Notifications struct {
	Start    bool `toml:"Start"`
	Progress Span `toml:"Progress"`
}

// WorkerGroup is a group of equal machines, spread over the zones round robin.
type WorkerGroup struct {
	Name         string  `toml:"Name"`
	Count        int     `toml:"Count"`
	Slots        int     `toml:"Slots"`
	Speed        float64 `toml:"Speed"`
	SpeedSpread  float64 `toml:"Spread"` // largest deviation of a machine's speed, as a share of it
	QueueLimit   int     `toml:"Queue"`
	ColdFrom     float64 `toml:"cold_from"`
	WarmUp       Span    `toml:"Warm"`
	StartsCold   bool    `toml:"Cold"`    // they start when the run does
	Cancellation string  `toml:"Cancels"` // which attempts a cancellation stops: none, queued or all
	Zone         string  `toml:"Zone"`    // of all of them; empty: all zones
}

// Operation is one class of requests.
type Operation struct {
	Name        string  `toml:"Name"`
	Share       float64 `toml:"Share"`
	Work        Span    `toml:"Work"` // mean, on a machine of speed 1
	CV          float64 `toml:"CV"`
	Slots       int     `toml:"Slots"`
	Objective   Span    `toml:"Objective"`
	Timeout     Span    `toml:"Timeout"`
	Stretch     float64 `toml:"Stretch"` // the objective grows by so many times the work of the invocation
	Value       float64 `toml:"Value"`
	Effect      string  `toml:"Effect"` // idempotent, deduplicated or non-idempotent
	Scope       string  `toml:"Scope"`  // of deduplication: all or zone
	Window      Span    `toml:"Window"`
	HintQuality string  `toml:"Hints"` // none, rough or good
}

// Tenant is one customer of the service.
type Tenant struct {
	Name   string  `toml:"Name"`
	Share  float64 `toml:"Share"`  // of the load
	Weight float64 `toml:"Weight"` // where tenants are hosted: of its quota
}

// Hosted describes how one installation serves the tenants, each by a credential of its own. Only a run on loopback has it.
type Hosted struct {
	Capacity int `toml:"Room"` // invocations in flight at a scheduler before quotas bind; 0: tenants are not hosted
}

// Load is the rate of invocations.
type Load struct {
	Rate        float64 `toml:"Rate"`  // invocations a second; 0: by Utilization
	Utilization float64 `toml:"Of"`    // share of the workers' capacity
	Shape       string  `toml:"Shape"` // poisson, constant or bursts
	Steps       []Step  `toml:"Steps"`
}

// Step multiplies the rate for a time.
type Step struct {
	Start    Span    `toml:"At"`
	Duration Span    `toml:"For"`
	Factor   float64 `toml:"Factor"`
}

// Clients describes how clients retry and disconnect.
type Clients struct {
	Retries         int     `toml:"Retries"`
	Backoff         Span    `toml:"Backoff"`
	HonorRetryAfter float64 `toml:"Honour"` // share that honors Retry-After
	Disconnect      float64 `toml:"Leave"`  // share that disconnects before its timeout
}

// Fault is something that goes wrong. Which fields count depends on its kind.
type Fault struct {
	Kind      string  `toml:"Kind"`
	Start     Span    `toml:"At"`
	Duration  Span    `toml:"For"`
	Share     float64 `toml:"Share"` // of the workers, schedulers, connections, attempts, callbacks or invocations that it hits
	Zone      string  `toml:"Zone"`  // it hits this zone only; empty: all zones
	Factor    float64 `toml:"Factor"`
	Delay     Span    `toml:"Delay"`
	Batch     float64 `toml:"Batch"` // of a replacement: the share that is replaced at a time
	Operation string  `toml:"Of"`    // it hits this operation only; empty: all
}

// The kinds of faults, and what their fields mean.
const (
	MachinesSilent      = "silent"          // machines vanish from the network, and start cold afterwards
	MachinesHung        = "hung"            // machines accept connections, but answer neither attempts nor health checks
	MachinesSlow        = "slow"            // machines run Factor times slower
	MachinesFailing     = "failing"         // machines fail Share of their attempts at once; Factor is the share of machines
	MachinesRestarted   = "restart"         // processes exit, and start cold after Delay
	MachinesReplaced    = "replace"         // Share of the machines are replaced by new ones, Batch at a time
	ZoneLost            = "zone-lost"       // all machines of Zone vanish from the network, and start cold afterwards
	ReportsLate         = "reports-late"    // load reports come Delay later
	ReportsAbsent       = "reports-absent"  // health checks are answered without a load report
	DiscoveryStale      = "list-stale"      // the list changes Delay later
	DiscoveryOverloaded = "list-overbooked" // the query rate is divided by Factor
	DiscoveryDown       = "list-dead"       // queries fail, watches end
	ConnectionsRefused  = "refused"         // Share of new connections to machines are refused
	AttemptsReset       = "reset"           // Share of attempts lose their connection after they were accepted
	CallbacksLost       = "answers-lost"    // Share of the callbacks are lost
	SchedulersKilled    = "killed"          // Share of the schedulers are killed
	Burst               = "burst"           // the load is Factor times as high
	HeavyRequests       = "heavy"           // Share of the invocations (of Operation) cost Factor times as much work
	RetryStorm          = "storm"           // clients retry up to Factor more times, at once
)
