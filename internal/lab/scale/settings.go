package scale

import (
	"encoding/json"
	"fmt"
)

// effectSettingNames maps the effects of a scenario to their names in the settings of a scheduler.
var effectSettingNames = map[string]string{
	effectIdempotent:    "read_like",
	effectDeduplicated:  "idempotency_key",
	effectNonIdempotent: "non_idempotent",
}

// Settings that are the same for every scenario.
const (
	dedupWindowSeconds    = 60
	billedValue           = 1
	operationStretch      = 2 // multiple of an invocation's work that is added to its latency objective
	maxRetryAfterSeconds  = 2
	maxAttempts           = 4 // of a request
	connectTimeoutSeconds = 0.25
	pollWithinSeconds     = 10 // longest interval between polls of the endpoint list
	drainGraceSeconds     = 0.5
	slowStartInitialShare = 0.13 // of its capacity that a worker has at its start
	overloadFactor        = 2.5  // multiple of its capacity at which a worker in slow start is overloaded
	overloadWindowSeconds = 1
)

// schedulerSettings are the settings of a scheduler. Durations are in seconds.
type schedulerSettings struct {
	BilledValueBy   string              `json:"BilledValueBy"`
	Zones           []string            `json:"Dcs"`
	Discovery       string              `json:"Discovery"`
	Family          familySettings      `json:"FamilyInfo"`
	Kinds           []string            `json:"Kinds"`
	Limits          limitSettings       `json:"Limits"`
	Index           int                 `json:"MyNumber"`
	Zone            int                 `json:"MyZone"`
	Operations      []operationSettings `json:"Operations"`
	TotalSchedulers int                 `json:"PeersTotal"`
	Costs           costSettings        `json:"Prices"`
	Report          reportSettings      `json:"Report"`
	Rules           ruleSettings        `json:"Rules"`
	Tenants         []struct{}          `json:"Tenants"`
	WeightKind      string              `json:"WeightKind"`
}

type familySettings struct {
	OperationStretch []float64 `json:"ClassStretch"`
	ProgressInterval float64   `json:"Progress"`
	ReportX0         string    `json:"ReportX0"`
	NotifiesStart    bool      `json:"TellsStart"`
}

type limitSettings struct {
	Cancel         bool    `json:"Cancel"`
	ConnectionIdle float64 `json:"ConnIdle"`
	ConnectTimeout float64 `json:"ConnectTimeout"`
	MaxRetryAfter  float64 `json:"MaxRetryAfter"`
	MaxAttempts    int     `json:"MostForwards"`
	Gossip         bool    `json:"Peers"`
	HealthChecks   bool    `json:"Probes"`
	RetryAfter     bool    `json:"RetryAfter"`
	Hedging        bool    `json:"SecondCopies"`
}

type operationSettings struct {
	BilledValue      float64 `json:"BilledValue"`
	ClientTimeout    float64 `json:"ClientTimeout"`
	DedupScope       string  `json:"DedupScope"`
	DedupWindow      float64 `json:"DedupWindow"`
	Effect           string  `json:"Effect"`
	LatencyObjective float64 `json:"LatencyObjective"`
	Name             string  `json:"Name"`
}

type costSettings struct {
	Gossip      float64 `json:"Peer"`
	HealthCheck float64 `json:"Probe"`
}

type reportSettings struct {
	How   string   `json:"How"`
	Names []string `json:"Names"`
}

type ruleSettings struct {
	PollWithin        float64 `json:"AskWithin"`
	SlowStartFrom     float64 `json:"ColdFrom"`
	OverloadWindow    float64 `json:"Fall"`
	OverloadFactor    float64 `json:"FallMultiple"`
	DrainGrace        float64 `json:"StopSendingWithin"`
	SlowStartDuration float64 `json:"WarmAfter"`
}

// settings returns the settings of the scheduler with the given index, as JSON.
func (s Scenario) settings(index int) json.RawMessage {
	text, err := json.Marshal(schedulerSettings{
		BilledValueBy: "work",
		Zones:         s.zoneNames(),
		Discovery:     "ask",
		Family: familySettings{
			OperationStretch: s.operationStretches(),
			ProgressInterval: s.ProgressInterval.D().Seconds(),
			ReportX0:         "free slots",
			NotifiesStart:    s.NotifiesStart,
		},
		Kinds: []string{"a"},
		Limits: limitSettings{
			Cancel:         true,
			ConnectionIdle: s.ConnIdle.D().Seconds(),
			ConnectTimeout: connectTimeoutSeconds,
			MaxRetryAfter:  maxRetryAfterSeconds,
			MaxAttempts:    maxAttempts,
			Gossip:         s.Gossip,
			HealthChecks:   true,
			RetryAfter:     true,
			Hedging:        s.Hedging,
		},
		Index:           index,
		Zone:            index % s.Zones,
		Operations:      s.operationSettings(),
		TotalSchedulers: s.TotalSchedulers,
		Costs:           costSettings{Gossip: s.GossipCost, HealthCheck: s.HealthCheckCost},
		Report:          reportSettings{How: "probe", Names: []string{"waiting", "avg_ms", "x0"}},
		Rules: ruleSettings{
			PollWithin:        pollWithinSeconds,
			SlowStartFrom:     slowStartInitialShare,
			OverloadWindow:    overloadWindowSeconds,
			OverloadFactor:    overloadFactor,
			DrainGrace:        drainGraceSeconds,
			SlowStartDuration: s.SlowStart.D().Seconds(),
		},
		Tenants:    []struct{}{},
		WeightKind: "none",
	})
	if err != nil {
		panic(err) // only a non-finite number can't be encoded, and validationErrors rejects those
	}
	return text
}

func (s Scenario) zoneNames() (names []string) {
	for n := range s.Zones {
		names = append(names, fmt.Sprint("z", n))
	}
	return names
}

func (s Scenario) operationStretches() (stretches []float64) {
	for range s.Operations {
		stretches = append(stretches, operationStretch)
	}
	return stretches
}

func (s Scenario) operationSettings() (operations []operationSettings) {
	for _, o := range s.Operations {
		operations = append(operations, operationSettings{
			BilledValue:      billedValue,
			ClientTimeout:    s.timeout().Seconds(),
			DedupScope:       "all",
			DedupWindow:      dedupWindowSeconds,
			Effect:           effectSettingNames[o.Effect],
			LatencyObjective: s.LatencyObjective.D().Seconds(),
			Name:             o.Name,
		})
	}
	return operations
}
