// Package scenario reads the description of a day: who serves, what comes in, and what goes wrong when.
package scenario

import (
	"time"
)

// Version is that of the file's form.
const Version = 1

// Span is a length of time, written as "250ms".
type Span time.Duration

// UnmarshalText reads one.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// MarshalText writes one.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.D().String()), nil }

// D is the span as others count it.
func (s Span) D() time.Duration { return time.Duration(s) }

// Scenario is a day.
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
	Troubles      []Fault       `toml:"Troubles"`
}

// Schedulers are the dispatchers; they are spread over the zones in turn.
type Schedulers struct {
	Count            int  `toml:"Count"`
	ReportedCount    int  `toml:"Told"`     // how many they are told that there are; 0: the truth
	RestartDelay     Span `toml:"Restarts"` // how long a killed one is away
	FailureDetection Span `toml:"Notice"`   // until clients turn away from one that is gone
}

// Network has the times that a message takes one way.
type Network struct {
	SameZone       Span    `toml:"same_zone"`
	CrossZone      Span    `toml:"cross_zone"`
	Client         Span    `toml:"Client"`
	Jitter         float64 `toml:"Jitter"`
	ConnectTimeout Span    `toml:"connect_timeout"`
	Idle           Span    `toml:"Idle"`
}

// List is the service that tells schedulers of workers.
type Discovery struct {
	ChangeDelay       Span    `toml:"Notice"`        // until it knows of a start, a drain or an end
	SilentChangeDelay Span    `toml:"silent_notice"` // until it takes a silent machine for gone
	CallDuration      Span    `toml:"Call"`          // that a call takes
	CallsPerSecond    float64 `toml:"calls_per_s"`
	DeemedDelay       Span    `toml:"Deemed"` // after which a change counts as told, whether or not it was
}

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlack       Span    `toml:"answer_slack"`
	StopSendingWithin Span    `toml:"stop_sending"`
	QueryWithin       Span    `toml:"ask_within"`
	OverloadWindow    Span    `toml:"Fall"`
	OverloadMultiple  float64 `toml:"fall_multiple"`
}

// Allow says what schedulers may do.
type Limits struct {
	HealthChecks   bool `toml:"Probes"`
	Cancel         bool `toml:"Cancel"`
	HedgedRequests bool `toml:"second_copies"`
	MaxForwards    int  `toml:"max_forwards"`
	MaxRetryAfter  Span `toml:"max_retry_after"`
}

// Reports are what workers tell of their load when they are probed.
type LoadReports struct {
	Fields   []string `toml:"Fields"` // free_slots, waiting, active, service_ms
	Interval Span     `toml:"Every"`
	Delay    Span     `toml:"Delay"`
}

// Signs are what workers tell of work under way.
type Notifications struct {
	Start    bool `toml:"Start"`
	Progress Span `toml:"Progress"`
}

// Workers are a group of equal machines, spread over the zones in turn.
type WorkerGroup struct {
	Name         string  `toml:"Name"`
	Count        int     `toml:"Count"`
	Slots        int     `toml:"Slots"`
	Speed        float64 `toml:"Speed"`
	SpeedSpread  float64 `toml:"Spread"` // each one's speed lies so far off at most, as a part
	QueueLimit   int     `toml:"Queue"`
	ColdFrom     float64 `toml:"cold_from"`
	WarmUp       Span    `toml:"Warm"`
	StartsCold   bool    `toml:"Cold"`    // they have just started when the day begins
	Cancellation string  `toml:"Cancels"` // what a cancel stops: none, queued or all
	Zone         string  `toml:"Zone"`    // the one zone of all of them
}

// Operation is one kind of work.
type Operation struct {
	Name        string  `toml:"Name"`
	Share       float64 `toml:"Share"`
	Work        Span    `toml:"Work"` // the mean, on a machine of speed 1
	CV          float64 `toml:"CV"`
	Slots       int     `toml:"Slots"`
	Objective   Span    `toml:"Objective"`
	Timeout     Span    `toml:"Timeout"`
	Stretch     float64 `toml:"Stretch"` // the objective grows by so many times an invocation's own work
	Value       float64 `toml:"Value"`
	Effect      string  `toml:"Effect"` // idempotent, deduplicated or non-idempotent
	Scope       string  `toml:"Scope"`  // of deduplication: all or zone
	Window      Span    `toml:"Window"`
	HintQuality string  `toml:"Hints"` // none, rough or good
}

// Tenant is one customer.
type Tenant struct {
	Name   string  `toml:"Name"`
	Share  float64 `toml:"Share"`  // of what comes in
	Weight float64 `toml:"Weight"` // where they are hosted: its part when room is scarce
}

// Hosted says how one installation serves the tenants, each by a credential of its own. Played on loopback alone.
type Hosted struct {
	Capacity int `toml:"Room"` // invocations in hand at a scheduler before shares count; 0: they are not hosted
}

// Load is what comes in.
type Load struct {
	Rate        float64 `toml:"Rate"`  // invocations a second, all together; or
	Utilization float64 `toml:"Of"`    // that part of what the workers can do
	Shape       string  `toml:"Shape"` // poisson, constant or bursts
	Steps       []Step  `toml:"Steps"`
}

// Step changes the rate for a time.
type Step struct {
	Start    Span    `toml:"At"`
	Duration Span    `toml:"For"`
	Factor   float64 `toml:"Factor"`
}

// Clients ask again when they are turned away.
type Clients struct {
	Retries         int     `toml:"Retries"`
	Backoff         Span    `toml:"Backoff"`
	HonorRetryAfter float64 `toml:"Honour"` // share of them that keep to Retry-After
	Disconnect      float64 `toml:"Leave"`  // share that leaves before its time is over
}

// Trouble is something that goes wrong.
type Fault struct {
	Kind      string  `toml:"Kind"`
	Start     Span    `toml:"At"`
	Duration  Span    `toml:"For"`
	Share     float64 `toml:"Share"` // of the workers, schedulers, connections, calls or invocations that it hits
	Zone      string  `toml:"Zone"`  // it hits this zone alone
	Factor    float64 `toml:"Factor"`
	Delay     Span    `toml:"Delay"`
	Batch     float64 `toml:"Batch"` // of a replacement: the share that goes at a time
	Operation string  `toml:"Of"`    // the one operation that it hits
}

// The kinds of trouble.
const (
	MachinesSilent      = "silent"          // machines say nothing, and are cold when they are back
	MachinesHung        = "hung"            // take work, answer neither that nor probes
	MachinesSlow        = "slow"            // run Factor times slower
	MachinesFailing     = "failing"         // fail Share of what they get, at once; Factor is the share of workers
	MachinesRestarted   = "restart"         // processes die, and are back cold after Delay
	MachinesReplaced    = "replace"         // Share of the workers give way to new ones, Batch at a time
	ZoneLost            = "zone-lost"       // all machines of Zone are silent, and are cold when they are back
	ReportsLate         = "reports-late"    // by Delay
	ReportsAbsent       = "reports-absent"  // probes are answered without one
	DiscoveryStale      = "list-stale"      // what it learns it tells Delay later
	DiscoveryOverloaded = "list-overbooked" // serves a Factor-th of its calls a second
	DiscoveryDown       = "list-dead"       // calls fail, watches end
	ConnectionsRefused  = "refused"         // Share of new connections to workers are refused
	AttemptsReset       = "reset"           // Share of attempts break when they have been taken
	CallbacksLost       = "answers-lost"    // Share of what workers call back is lost
	SchedulersKilled    = "killed"          // Share of the schedulers die
	Burst               = "burst"           // Factor times as much comes in
	HeavyRequests       = "heavy"           // Share of the invocations (Of an operation) cost Factor times as much
	RetryStorm          = "storm"           // clients ask again up to Factor times, at once
)
