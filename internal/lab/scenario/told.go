package scenario

import (
	"encoding/json"
	"time"
)

var wireNameByField = map[string]string{"free_slots": "x0", "waiting": "waiting", "active": "active", "service_ms": "avg_ms"}

// ReportNames are what the fields of a report are called on the wire.
func (s Scenario) ReportNames() (names []string) {
	for _, f := range s.LoadReports.Fields {
		names = append(names, wireNameByField[f])
	}
	return names
}

var wireNameByEffect = map[string]string{"idempotent": "read_like", "deduplicated": "idempotency_key", "non-idempotent": "non_idempotent"}

// Zone is where a scheduler stands.
func (s Scenario) Zone(scheduler int) int { return scheduler % len(s.Zones) }

// Settings are what one scheduler is told of the day, in the form of its configuration.
func (s Scenario) Settings(scheduler int) []byte {
	type object = map[string]any
	var operations []object
	var stretch []float64
	sec := func(span Span) float64 { return span.D().Seconds() }
	for _, o := range s.Operations {
		operations = append(operations, object{"Name": o.Name, "Effect": wireNameByEffect[o.Effect], "DedupScope": o.Scope,
			"DedupWindow": sec(o.Window), "BilledValue": o.Value, "LatencyObjective": sec(o.Objective), "ClientTimeout": sec(o.Timeout)})
		stretch = append(stretch, o.Stretch)
	}
	tenants, kinds := []object{}, []string{}
	for _, t := range s.Tenants {
		if s.Hosted.Capacity > 0 {
			break // whoever they are, a scheduler has them from its store
		}
		tenants = append(tenants, object{"Name": t.Name, "Fraction": t.Share})
	}
	coldFrom, warm := 1.0, time.Duration(0)
	for _, w := range s.Workers {
		kinds = append(kinds, w.Name)
		coldFrom, warm = min(coldFrom, w.ColdFrom), max(warm, w.WarmUp.D())
	}
	told := s.Schedulers.ReportedCount
	if told == 0 {
		told = s.Schedulers.Count
	}
	text, err := json.Marshal(object{
		"Discovery": "ask", "PeersTotal": told, "MyNumber": scheduler, "MyZone": s.Zone(scheduler), "Dcs": s.Zones,
		"Kinds": kinds, "Operations": operations, "Tenants": tenants, "BilledValueBy": "work", "WeightKind": "none",
		"FamilyInfo": object{"ClassStretch": stretch, "Progress": sec(s.Notifications.Progress), "ReportX0": "free slots",
			"TellsStart": s.Notifications.Start},
		"Limits": object{"Cancel": s.Limits.Cancel, "Probes": s.Limits.HealthChecks, "RetryAfter": s.Limits.MaxRetryAfter > 0,
			"MaxRetryAfter": sec(s.Limits.MaxRetryAfter), "SecondCopies": s.Limits.HedgedRequests, "MostForwards": s.Limits.MaxForwards,
			"ConnIdle": sec(s.Network.Idle), "ConnectTimeout": sec(s.Network.ConnectTimeout)},
		"Prices": object{"Probe": 0.0025},
		"Report": object{"How": "probe", "Names": s.ReportNames()},
		"Rules": object{"AskWithin": sec(s.Rules.QueryWithin), "ColdFrom": coldFrom, "Fall": sec(s.Rules.OverloadWindow),
			"FallMultiple": s.Rules.OverloadMultiple, "StopSendingWithin": sec(s.Rules.StopSendingWithin), "WarmAfter": warm.Seconds()},
	})
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return text
}
