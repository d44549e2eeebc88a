package settings

import "stoatweir/dispatch"

// deploymentFile is the JSON form of a Deployment. Unknown keys are ignored. Times are in seconds.
type deploymentFile struct {
	Discovery      string             `json:"Discovery"` // "ask" or "push"
	WeightKind     string             `json:"WeightKind"`
	ExcessValue    *float64           `json:"ExcessBilledValue"`
	Zone           int                `json:"MyZone"`
	Schedulers     int                `json:"PeersTotal"`
	SchedulerIndex *int               `json:"MyNumber"`
	Zones          []string           `json:"Dcs"`
	Kinds          []string           `json:"Kinds"`
	Operations     []operationSection `json:"Operations"`
	Family         familySection      `json:"FamilyInfo"`
	Limits         limitsSection      `json:"Limits"`
	Prices         pricesSection      `json:"Prices"`
	Report         reportSection      `json:"Report"`
	ResultMix      resultMixSection   `json:"ResultMix"`
	Rules          rulesSection       `json:"Rules"`
	Tenants        []tenantSection    `json:"Tenants"`
}

type operationSection struct {
	Name             string   `json:"Name"`
	DedupScope       string   `json:"DedupScope"`
	Effect           string   `json:"Effect"`
	BilledValue      float64  `json:"BilledValue"`
	DedupWindow      float64  `json:"DedupWindow"`
	LateBilledValue  float64  `json:"LateBilledValue"`
	LatencyObjective float64  `json:"LatencyObjective"`
	Stretch          float64  `json:"AimStretch"`
	ClientTimeout    *float64 `json:"ClientTimeout"`
}

// familySection holds the settings that differ between families of deployments. The lists are
// indexed by operation.
type familySection struct {
	OperationKind    []int     `json:"ClassKind"`
	OperationStretch []float64 `json:"ClassStretch"`
	ProgressInterval float64   `json:"Progress"`
	ReportX0         string    `json:"ReportX0"` // meaning of the value x0 in load reports
	ReportX1         string    `json:"ReportX1"` // meaning of the value x1
	NotifiesStart    bool      `json:"TellsStart"`
}

type limitsSection struct {
	Cancel         bool    `json:"Cancel"`
	Gossip         bool    `json:"Peers"`
	HealthChecks   bool    `json:"Probes"`
	RetryAfter     bool    `json:"RetryAfter"`
	Hedging        bool    `json:"SecondCopies"`
	MaxAttempts    *int    `json:"MostForwards"`
	MaxRetryAfter  float64 `json:"MaxRetryAfter"`
	ConnectionIdle float64 `json:"ConnIdle"`
	ConnectTimeout float64 `json:"ConnectTimeout"`
}

type pricesSection struct {
	Gossip      float64 `json:"Peer"`
	HealthCheck float64 `json:"Probe"`
}

type reportSection struct {
	How   string   `json:"How"`
	Names []string `json:"Names"`
}

type resultMixSection struct {
	Whole          float64 `json:"Whole"`
	WorstOperation float64 `json:"WorstClass"`
	WorstTenant    float64 `json:"WorstTenant"`
}

type rulesSection struct {
	PollWithin        float64 `json:"AskWithin"`
	SlowStartFrom     float64 `json:"ColdFrom"`
	OverloadWindow    float64 `json:"Fall"`
	OverloadFactor    float64 `json:"FallMultiple"`
	DrainGrace        float64 `json:"StopSendingWithin"`
	SlowStartDuration float64 `json:"WarmAfter"`
}

type tenantSection struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"QuotaPerS"`
	Share          float64 `json:"Fraction"`
}

// Names of effects and deduplication scopes in the settings.
var (
	effectsByName = map[string]dispatch.Effect{
		"read_like":       dispatch.Idempotent,
		"idempotency_key": dispatch.Deduplicated,
		"non_idempotent":  dispatch.NonIdempotent,
	}
	dedupScopesByName = map[string]dispatch.DedupScope{
		"":     dispatch.ScopeAll,
		"all":  dispatch.ScopeAll,
		"zone": dispatch.ScopeZone,
		"cell": dispatch.ScopeCell,
	}
)

const (
	discoveryPolled = "ask"  // value of Discovery
	discoveryPushed = "push" // value of Discovery
	reportNone      = "none" // value of Report.How
)
