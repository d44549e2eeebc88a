package scale

import (
	"encoding/json"
	"fmt"
)

// effectSettings are the effects as the settings name them.
var effectSettings = map[string]string{
	effectIdempotent:    "read_like",
	effectDeduplicated:  "idempotency_key",
	effectNonIdempotent: "non_idempotent",
}

// Settings that are the same for every scenario; times are in seconds.
const (
	dedupWindow       = 60
	billedValue       = 1
	classStretch      = 2 // of a run's time, by class
	maxRetryAfter     = 2
	maxForwards       = 4 // attempts of a request
	connectTimeout    = 0.25
	askWithin         = 10  // interval of polls of the list
	stopSendingWithin = 0.5 // drain grace
	slowStartFrom     = 0.13
	overloadFactor    = 2.5
	overloadWindow    = 1
)

// schedulerSettings are the settings of a scheduler; durations are in seconds.
type schedulerSettings struct {
	BilledValueBy string
	Dcs           []string
	Discovery     string
	FamilyInfo    familySettings
	Kinds         []string
	Limits        limitSettings
	MyNumber      int
	MyZone        int
	Operations    []operationSettings
	PeersTotal    int
	Prices        priceSettings
	Report        reportSettings
	Rules         ruleSettings
	Tenants       []struct{}
	WeightKind    string
}

type familySettings struct {
	ClassStretch []float64
	Progress     float64
	ReportX0     string
	TellsStart   bool
}

type limitSettings struct {
	Cancel         bool
	ConnIdle       float64
	ConnectTimeout float64
	MaxRetryAfter  float64
	MostForwards   int
	Peers          bool
	Probes         bool
	RetryAfter     bool
	SecondCopies   bool
}

type operationSettings struct {
	BilledValue      float64
	ClientTimeout    float64
	DedupScope       string
	DedupWindow      float64
	Effect           string
	LatencyObjective float64
	Name             string
}

type priceSettings struct {
	Peer  float64
	Probe float64
}

type reportSettings struct {
	How   string
	Names []string
}

type ruleSettings struct {
	AskWithin         float64
	ColdFrom          float64
	Fall              float64
	FallMultiple      float64
	StopSendingWithin float64
	WarmAfter         float64
}

// settings returns the settings of the scheduler of an index, as JSON.
func (s Scenario) settings(index int) json.RawMessage {
	text, err := json.Marshal(schedulerSettings{
		BilledValueBy: "work",
		Dcs:           s.zoneNames(),
		Discovery:     "ask",
		FamilyInfo: familySettings{
			ClassStretch: s.classStretches(),
			Progress:     s.Progress.D().Seconds(),
			ReportX0:     "free slots",
			TellsStart:   s.TellsStart,
		},
		Kinds: []string{"a"},
		Limits: limitSettings{
			Cancel:         true,
			ConnIdle:       s.ConnIdle.D().Seconds(),
			ConnectTimeout: connectTimeout,
			MaxRetryAfter:  maxRetryAfter,
			MostForwards:   maxForwards,
			Peers:          s.Messages,
			Probes:         true,
			RetryAfter:     true,
			SecondCopies:   s.Copies,
		},
		MyNumber:   index,
		MyZone:     index % s.Zones,
		Operations: s.operationSettings(),
		PeersTotal: s.Told,
		Prices:     priceSettings{Peer: s.TellPrice, Probe: s.ProbePrice},
		Report:     reportSettings{How: "probe", Names: []string{"waiting", "avg_ms", "x0"}},
		Rules: ruleSettings{
			AskWithin:         askWithin,
			ColdFrom:          slowStartFrom,
			Fall:              overloadWindow,
			FallMultiple:      overloadFactor,
			StopSendingWithin: stopSendingWithin,
			WarmAfter:         s.Warm.D().Seconds(),
		},
		Tenants:    []struct{}{},
		WeightKind: "none",
	})
	if err != nil {
		panic(err) // only a number that is not finite can't be written, and faults has none of them pass
	}
	return text
}

func (s Scenario) zoneNames() (names []string) {
	for n := range s.Zones {
		names = append(names, fmt.Sprint("z", n))
	}
	return names
}

func (s Scenario) classStretches() (stretches []float64) {
	for range s.Operations {
		stretches = append(stretches, classStretch)
	}
	return stretches
}

func (s Scenario) operationSettings() (operations []operationSettings) {
	for _, o := range s.Operations {
		operations = append(operations, operationSettings{
			BilledValue:      billedValue,
			ClientTimeout:    s.timeout().Seconds(),
			DedupScope:       "all",
			DedupWindow:      dedupWindow,
			Effect:           effectSettings[o.Effect],
			LatencyObjective: s.Objective.D().Seconds(),
			Name:             o.Name,
		})
	}
	return operations
}
