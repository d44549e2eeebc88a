// Package settings is the one place that reads, checks and defaults what operators set. A message names the key at
// fault.
package settings

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"go/token"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"stoatweir/dispatch"
)

// Span turns seconds into a duration, held inside what one can carry.
func Duration(seconds float64) time.Duration {
	const most = float64(math.MaxInt64 / 4)
	if math.IsNaN(seconds) {
		return 0
	}
	return time.Duration(math.Round(max(-most, min(most, seconds*float64(time.Second)))))
}

// Site is a deployment as its settings tell of it: what the decisions need, and what only the network does.
type Deployment struct {
	Dispatch                          dispatch.Config
	Report                            Report
	Operations, Tenants, Zones, Kinds []string // their names, by index
	ConnectionIdle, ConnectTimeout    time.Duration
	ClientTimeouts                    []time.Duration // of the operations' clients; 0: not told
	LongestTimeout                    time.Duration
	DrainGrace                        time.Duration // until nothing more may go to a worker that is told to drain; 0: not told
	Features                          Features
	worstTenant                       float64
	discovery                         string
	OperationIndex                    map[string]int // the operations that newcomers may have, by name
}

// site is the settings text, with the keys that have a meaning here.
type site struct {
	Discovery         string   `json:"Discovery"`
	WeightKind        string   `json:"WeightKind"`
	ExcessBilledValue *float64 `json:"ExcessBilledValue"`
	MyZone            int      `json:"MyZone"`
	PeersTotal        int      `json:"PeersTotal"`
	MyNumber          *int     `json:"MyNumber"`
	Dcs               []string `json:"Dcs"`
	Kinds             []string `json:"Kinds"`
	Operations        []struct {
		Name             string   `json:"Name"`
		DedupScope       string   `json:"DedupScope"`
		Effect           string   `json:"Effect"`
		BilledValue      float64  `json:"BilledValue"`
		DedupWindow      float64  `json:"DedupWindow"`
		LateBilledValue  float64  `json:"LateBilledValue"`
		LatencyObjective float64  `json:"LatencyObjective"`
		AimStretch       float64  `json:"AimStretch"`
		ClientTimeout    *float64 `json:"ClientTimeout"`
	} `json:"Operations"`
	FamilyInfo struct {
		ClassKind    []int     `json:"ClassKind"`
		ClassStretch []float64 `json:"ClassStretch"`
		Progress     float64   `json:"Progress"`
		ReportX0     string    `json:"ReportX0"`
		ReportX1     string    `json:"ReportX1"`
		TellsStart   bool      `json:"TellsStart"`
	} `json:"FamilyInfo"`
	Limits struct {
		Cancel         bool    `json:"Cancel"`
		Peers          bool    `json:"Peers"`
		Probes         bool    `json:"Probes"`
		RetryAfter     bool    `json:"RetryAfter"`
		SecondCopies   bool    `json:"SecondCopies"`
		MostForwards   *int    `json:"MostForwards"`
		MaxRetryAfter  float64 `json:"MaxRetryAfter"`
		ConnIdle       float64 `json:"ConnIdle"`
		ConnectTimeout float64 `json:"ConnectTimeout"`
	} `json:"Limits"`
	Prices struct {
		Peer  float64 `json:"Peer"`
		Probe float64 `json:"Probe"`
	} `json:"Prices"`
	Report struct {
		How   string   `json:"How"`
		Names []string `json:"Names"`
	} `json:"Report"`
	ResultMix struct {
		Whole       float64 `json:"Whole"`
		WorstClass  float64 `json:"WorstClass"`
		WorstTenant float64 `json:"WorstTenant"`
	} `json:"ResultMix"`
	Rules struct {
		AskWithin         float64 `json:"AskWithin"`
		ColdFrom          float64 `json:"ColdFrom"`
		Fall              float64 `json:"Fall"`
		FallMultiple      float64 `json:"FallMultiple"`
		StopSendingWithin float64 `json:"StopSendingWithin"`
		WarmAfter         float64 `json:"WarmAfter"`
	} `json:"Rules"`
	Tenants []struct {
		Name      string  `json:"Name"`
		QuotaPerS float64 `json:"QuotaPerS"`
		Fraction  float64 `json:"Fraction"`
	} `json:"Tenants"`
}

var effects = map[string]dispatch.Effect{
	"read_like": dispatch.Idempotent, "idempotency_key": dispatch.Deduplicated,
	"non_idempotent": dispatch.NonIdempotent,
}

var scopes = map[string]dispatch.DedupScope{
	"": dispatch.ScopeAll, "all": dispatch.ScopeAll, "zone": dispatch.ScopeZone, "cell": dispatch.ScopeCell,
}

// decode names the key at fault where a value has the wrong form.
func decode(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	wrong := (*json.UnmarshalTypeError)(nil)
	switch {
	case !errors.As(err, &wrong):
		return err
	case wrong.Field == "":
		return fmt.Errorf("json: cannot unmarshal %s into Go value of type %s", wrong.Value, typeText(wrong.Type))
	}
	return fmt.Errorf("%s: a %s is wanted there, not a %s", wrong.Field, typeText(wrong.Type), wrong.Value)
}

// typeText is a type as messages name it. A field whose key is written like a Go name goes by that key, without its tag.
func typeText(t reflect.Type) string {
	switch {
	case t.Name() != "":
		return t.String()
	case t.Kind() == reflect.Slice:
		return "[]" + typeText(t.Elem())
	case t.Kind() != reflect.Struct:
		return t.String()
	}
	var fields []string
	for _, f := range reflect.VisibleFields(t) {
		text := f.Name + " " + typeText(f.Type) + " " + strconv.Quote(string(f.Tag))
		if key := f.Tag.Get("json"); token.IsExported(key) {
			text = key + " " + typeText(f.Type)
		}
		fields = append(fields, text)
	}
	return "struct { " + strings.Join(fields, "; ") + " }"
}

// ParseSite reads the settings text. Keys without a meaning here are passed over.
func ParseDeployment(text []byte) (s Deployment, err error) {
	var in site
	if err := decode(text, &in); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	if err := in.check(); err != nil {
		return s, err
	}
	s.Features, s.worstTenant, s.discovery = in.shape(), in.ResultMix.WorstTenant, in.Discovery
	d := &s.Dispatch
	*d = dispatch.Config{
		Schedulers: in.PeersTotal, Index: -1, Zone: in.MyZone, ExcessValue: 1, EndpointsPushed: s.Features.EndpointsPushed,
		NotifiesStart: in.FamilyInfo.TellsStart, ProgressInterval: Duration(in.FamilyInfo.Progress),
		HealthCheckCost: in.Prices.Probe, GossipCost: in.Prices.Peer,
		Limits: dispatch.Limits{
			HealthChecks: in.Limits.Probes, Cancel: in.Limits.Cancel, Gossip: in.Limits.Peers, MaxInFlight: 1,
		},
		Rules: dispatch.Rules{
			PollWithin: Duration(in.Rules.AskWithin), DrainGrace: max(0, Duration(in.Rules.StopSendingWithin)), SlowStartFrom: in.Rules.ColdFrom, SlowStartDuration: Duration(in.Rules.WarmAfter),
			OverloadFactor: in.Rules.FallMultiple, OverloadWindow: Duration(in.Rules.Fall),
		},
	}
	if most := in.Limits.MostForwards; most != nil {
		if d.Limits.MaxAttempts = *most; *most <= 0 {
			return s, fmt.Errorf("settings: Limits.MostForwards: %d is not over 0", *most)
		}
	}
	if in.MyNumber != nil {
		d.Index = max(-1, *in.MyNumber)
	}
	if in.Limits.SecondCopies {
		d.Limits.MaxInFlight = 2
	}
	if in.Limits.RetryAfter {
		d.Limits.MaxRetryAfter = Duration(in.Limits.MaxRetryAfter)
	}
	if in.ExcessBilledValue != nil {
		d.ExcessValue = *in.ExcessBilledValue
	}
	if in.ResultMix.Whole > 0 {
		d.WorstOperationWeight = in.ResultMix.WorstClass / in.ResultMix.Whole
	}
	s.ConnectTimeout = Duration(cmp.Or(in.Limits.ConnectTimeout, 1))
	s.OperationIndex = map[string]int{}
	for i, o := range in.Operations {
		if _, twice := s.OperationIndex[o.Name]; twice && o.Name != "" {
			return s, fmt.Errorf("settings: Operations[%d].Name: %q is there twice", i, o.Name)
		}
		timeout := Duration(0)
		if o.ClientTimeout != nil {
			if timeout = Duration(*o.ClientTimeout); timeout <= 0 {
				return s, fmt.Errorf("settings: Operations[%d].ClientTimeout: %v is not over 0", i, *o.ClientTimeout)
			}
		}
		op := dispatch.Operation{
			PriorityWeight: o.BilledValue, LateWeight: o.LateBilledValue, LatencyObjective: Duration(o.LatencyObjective),
			// A repeat is decided on before its connection stands, and counts as sent once it has gone out.
			Stretch: o.AimStretch, DedupWindow: max(0, Duration(o.DedupWindow)-s.ConnectTimeout),
			WorkerKind: -1,
		}
		var known bool
		if op.Effect, known = effects[o.Effect]; !known {
			return s, fmt.Errorf("settings: Operations[%d].Effect: %q is unknown", i, o.Effect)
		}
		if op.DedupScope, known = scopes[o.DedupScope]; !known {
			return s, fmt.Errorf("settings: Operations[%d].DedupScope: %q is unknown", i, o.DedupScope)
		}
		if i < len(in.FamilyInfo.ClassKind) {
			op.WorkerKind = in.FamilyInfo.ClassKind[i]
		}
		if i < len(in.FamilyInfo.ClassStretch) {
			op.Stretch = in.FamilyInfo.ClassStretch[i]
		}
		d.Operations = append(d.Operations, op)
		s.Operations, s.OperationIndex[o.Name] = append(s.Operations, o.Name), i
		s.ClientTimeouts = append(s.ClientTimeouts, timeout)
		s.LongestTimeout = max(s.LongestTimeout, timeout)
	}
	for _, t := range in.Tenants {
		d.Tenants = append(d.Tenants, dispatch.Tenant{QuotaPerSecond: t.QuotaPerS, Share: t.Fraction})
		s.Tenants = append(s.Tenants, t.Name)
	}
	if in.Report.How != "none" {
		s.Report.name(in.Report.Names, map[string]string{"x0": in.FamilyInfo.ReportX0, "x1": in.FamilyInfo.ReportX1})
	}
	s.Zones, s.Kinds = in.Dcs, in.Kinds
	s.DrainGrace = max(0, Duration(in.Rules.StopSendingWithin))
	s.ConnectionIdle = Duration(cmp.Or(in.Limits.ConnIdle, 60))
	return s, nil
}
