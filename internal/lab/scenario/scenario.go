// Package scenario reads and validates scenario files, which describe a run: its schedulers and
// workers, the load, and the faults with their times.
package scenario

// Version is the supported version of the file format.
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

// Schedulers describes the schedulers, which are assigned to the zones round robin.
type Schedulers struct {
	Count            int  `toml:"Count"`
	ReportedCount    int  `toml:"Told"`     // number of schedulers in their settings; 0: Count
	RestartDelay     Span `toml:"Restarts"` // from the kill of a scheduler to its restart
	FailureDetection Span `toml:"Notice"`   // from the kill of a scheduler until clients avoid it
}

// Network has the one-way latencies of messages and the timeouts of connections.
type Network struct {
	SameZone       Span    `toml:"same_zone"`
	CrossZone      Span    `toml:"cross_zone"`
	Client         Span    `toml:"Client"` // between clients and schedulers
	Jitter         float64 `toml:"Jitter"` // largest deviation of a latency, as a share of it
	ConnectTimeout Span    `toml:"connect_timeout"`
	Idle           Span    `toml:"Idle"` // after which workers close an idle connection
}

// Discovery describes the service that publishes the endpoint list.
type Discovery struct {
	ChangeDelay       Span    `toml:"Notice"`        // from a start, a drain or an exit until the list has it
	SilentChangeDelay Span    `toml:"silent_notice"` // from when a machine becomes silent until it is listed as gone
	CallDuration      Span    `toml:"Call"`          // duration of a query, in addition to its time in the queue
	CallsPerSecond    float64 `toml:"calls_per_s"`   // maximum rate of queries
	// DeemedDelay is the time from a change of the list after which schedulers are deemed to know of
	// it, whether or not they have received it.
	DeemedDelay Span `toml:"Deemed"`
}

// Rules has the limits of the rules that a run checks.
type Rules struct {
	AnswerSlack       Span    `toml:"answer_slack"`  // tolerance when answers and attempts are checked against deadlines
	StopSendingWithin Span    `toml:"stop_sending"`  // grace period for attempts at a worker known to be draining or gone
	QueryWithin       Span    `toml:"ask_within"`    // in the settings: the time within which discovery must be queried
	OverloadWindow    Span    `toml:"Fall"`          // over which the work sent to a warming worker is summed
	OverloadMultiple  float64 `toml:"fall_multiple"` // allowed work in that window, as a multiple of the worker's current capacity
}

// Limits describes what schedulers may do.
type Limits struct {
	HealthChecks   bool `toml:"Probes"`
	Cancel         bool `toml:"Cancel"`          // cancel attempts at workers
	HedgedRequests bool `toml:"second_copies"`   // have two attempts of a request in flight
	MaxForwards    int  `toml:"max_forwards"`    // attempts per request
	MaxRetryAfter  Span `toml:"max_retry_after"` // longest Retry-After; 0: none is sent
}

// LoadReports describes the load reports that workers send with the results of health checks.
type LoadReports struct {
	Fields   []string `toml:"Fields"` // free_slots, waiting, active, service_ms
	Interval Span     `toml:"Every"`  // between two reports of a worker
	Delay    Span     `toml:"Delay"`  // from when a report is made until health checks return it
}

// Notifications describes the callbacks that workers make about running attempts.
type Notifications struct {
	Start    bool `toml:"Start"`    // whether they notify of the start of an attempt
	Progress Span `toml:"Progress"` // interval of progress notifications; 0: none
}

// WorkerGroup is a group of machines of one kind, which are assigned to the zones round robin
// unless Zone is set.
type WorkerGroup struct {
	Name         string  `toml:"Name"`
	Count        int     `toml:"Count"`
	Slots        int     `toml:"Slots"`
	Speed        float64 `toml:"Speed"`     // relative to a machine of speed 1
	SpeedSpread  float64 `toml:"Spread"`    // largest deviation of a machine's speed, as a share of it
	QueueLimit   int     `toml:"Queue"`     // attempts that can wait; more are rejected
	ColdFrom     float64 `toml:"cold_from"` // share of its capacity that a machine has right after a start
	WarmUp       Span    `toml:"Warm"`      // from a start until a machine has its full capacity
	StartsCold   bool    `toml:"Cold"`      // they start when the run does; otherwise they are warm by then
	Cancellation string  `toml:"Cancels"`   // attempts that can be cancelled: none, queued or all
	Zone         string  `toml:"Zone"`      // zone of the whole group; empty: all zones
}

// Operation is a class of requests.
type Operation struct {
	Name        string  `toml:"Name"`
	Share       float64 `toml:"Share"`     // of the invocations, relative to those of the other operations
	Work        Span    `toml:"Work"`      // mean run time on a machine of speed 1
	CV          float64 `toml:"CV"`        // coefficient of variation of the work
	Slots       int     `toml:"Slots"`     // that an attempt occupies
	Objective   Span    `toml:"Objective"` // for the latency of an invocation
	Timeout     Span    `toml:"Timeout"`   // of the client, for an invocation with its retries
	Stretch     float64 `toml:"Stretch"`   // the objective grows by Stretch times the work of the invocation
	Value       float64 `toml:"Value"`     // per slot second of work, when served within the objective
	Effect      string  `toml:"Effect"`    // idempotent, deduplicated or non-idempotent
	Scope       string  `toml:"Scope"`     // of deduplication: all or zone
	Window      Span    `toml:"Window"`    // within which duplicates are detected
	HintQuality string  `toml:"Hints"`     // none, rough or good
}

// Tenant is a customer of the service.
type Tenant struct {
	Name   string  `toml:"Name"`
	Share  float64 `toml:"Share"`  // of the load, relative to those of the other tenants
	Weight float64 `toml:"Weight"` // of its quota, if tenants are hosted
}

// Hosted describes an installation that serves the tenants, each of which has its own credential.
// Only loopback runs support it.
type Hosted struct {
	Capacity int `toml:"Room"` // invocations in flight at a scheduler before quotas bind; 0: not hosted
}

// Load describes the rate of invocations over the run.
type Load struct {
	Rate        float64 `toml:"Rate"`  // invocations per second; 0: set by Utilization
	Utilization float64 `toml:"Of"`    // share of the workers' capacity that the load needs
	Shape       string  `toml:"Shape"` // poisson, constant or bursts
	Steps       []Step  `toml:"Steps"`
}

// Step multiplies the rate by a factor for some time.
type Step struct {
	Start    Span    `toml:"At"`
	Duration Span    `toml:"For"`
	Factor   float64 `toml:"Factor"`
}

// Clients describes how clients retry and disconnect.
type Clients struct {
	Retries         int     `toml:"Retries"` // at most, per invocation
	Backoff         Span    `toml:"Backoff"` // mean wait before a retry
	HonorRetryAfter float64 `toml:"Honour"`  // share of retries that wait for the Retry-After given
	Disconnect      float64 `toml:"Leave"`   // share of clients that disconnect before their timeout
}

// Fault is a fault that is injected into the run. Its kind determines which of the fields apply.
type Fault struct {
	Kind      string  `toml:"Kind"`
	Start     Span    `toml:"At"`
	Duration  Span    `toml:"For"`
	Share     float64 `toml:"Share"` // of the workers, schedulers, connections, attempts, callbacks or invocations
	Zone      string  `toml:"Zone"`  // it affects only this zone; empty: all zones
	Factor    float64 `toml:"Factor"`
	Delay     Span    `toml:"Delay"`
	Batch     float64 `toml:"Batch"` // of a replacement: share of the affected machines that is replaced at a time
	Operation string  `toml:"Of"`    // it affects only this operation; empty: all
}

// The kinds of faults, with the meaning of the fields that apply to them.
const (
	MachinesSilent      = "silent"          // machines vanish from the network, and start cold afterwards
	MachinesHung        = "hung"            // machines accept connections, but answer neither attempts nor health checks
	MachinesSlow        = "slow"            // machines run Factor times slower
	MachinesFailing     = "failing"         // machines fail Share of their attempts at once; Factor is the share of machines
	MachinesRestarted   = "restart"         // processes exit, and start cold after Delay
	MachinesReplaced    = "replace"         // Share of the machines are replaced by new ones, Batch at a time
	ZoneLost            = "zone-lost"       // all machines of Zone vanish from the network, and start cold afterwards
	ReportsLate         = "reports-late"    // load reports are delayed by a further Delay
	ReportsAbsent       = "reports-absent"  // health checks are answered without a load report
	DiscoveryStale      = "list-stale"      // changes of the list are delayed by a further Delay
	DiscoveryOverloaded = "list-overbooked" // the query rate is divided by Factor
	DiscoveryDown       = "list-dead"       // queries fail, watches end
	ConnectionsRefused  = "refused"         // Share of new connections to machines are refused
	AttemptsReset       = "reset"           // Share of attempts lose their connection after they were accepted
	CallbacksLost       = "answers-lost"    // Share of the callbacks are lost
	SchedulersKilled    = "killed"          // Share of the schedulers are killed
	Burst               = "burst"           // the rate of invocations is multiplied by Factor
	HeavyRequests       = "heavy"           // Share of the invocations (of Operation) cost Factor times as much work
	RetryStorm          = "storm"           // clients make up to Factor additional retries, with almost no backoff
)
