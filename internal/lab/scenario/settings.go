package scenario

import (
	"encoding/json"
	"time"
)

// probePrice is the price of a health check in the settings of a scheduler.
const probePrice = 0.0025

// wireNameByField is what the settings call the fields of a load report.
var wireNameByField = map[string]string{
	FieldFreeSlots:   "x0",
	FieldWaiting:     "waiting",
	FieldActive:      "active",
	FieldServiceTime: "avg_ms",
}

// wireNameByEffect is what the settings call the effects of operations.
var wireNameByEffect = map[string]string{
	Idempotent:    "read_like",
	Deduplicated:  "idempotency_key",
	NonIdempotent: "non_idempotent",
}

// ReportNames returns what the settings call the fields of a load report.
func (s Scenario) ReportNames() []string {
	var names []string
	for _, field := range s.LoadReports.Fields {
		names = append(names, wireNameByField[field])
	}
	return names
}

// Zone is the index of a scheduler's zone.
func (s Scenario) Zone(scheduler int) int { return scheduler % len(s.Zones) }

// object is a JSON object.
type object = map[string]any

// Settings returns the settings of one scheduler, as JSON.
func (s Scenario) Settings(scheduler int) []byte {
	schedulers := s.Schedulers.ReportedCount
	if schedulers == 0 {
		schedulers = s.Schedulers.Count
	}
	operations, stretch := s.operationSettings()
	kinds := []string{}
	for _, w := range s.Workers {
		kinds = append(kinds, w.Name)
	}
	text, err := json.Marshal(object{
		"Discovery":     "ask",
		"PeersTotal":    schedulers,
		"MyNumber":      scheduler,
		"MyZone":        s.Zone(scheduler),
		"Dcs":           s.Zones,
		"Kinds":         kinds,
		"Operations":    operations,
		"Tenants":       s.tenantSettings(),
		"BilledValueBy": "work",
		"WeightKind":    "none",
		"FamilyInfo": object{
			"ClassStretch": stretch,
			"Progress":     s.Notifications.Progress.seconds(),
			"ReportX0":     "free slots",
			"TellsStart":   s.Notifications.Start,
		},
		"Limits": s.limitSettings(),
		"Prices": object{"Probe": probePrice},
		"Report": object{"How": "probe", "Names": s.ReportNames()},
		"Rules":  s.ruleSettings(),
	})
	if err != nil {
		panic(err) // none of the values can fail to be marshalled
	}
	return text
}

// operationSettings are the operations, and the stretch of each.
func (s Scenario) operationSettings() (operations []object, stretch []float64) {
	for _, o := range s.Operations {
		operations = append(operations, object{
			"Name":             o.Name,
			"Effect":           wireNameByEffect[o.Effect],
			"DedupScope":       o.Scope,
			"DedupWindow":      o.Window.seconds(),
			"BilledValue":      o.Value,
			"LatencyObjective": o.Objective.seconds(),
			"ClientTimeout":    o.Timeout.seconds(),
		})
		stretch = append(stretch, o.Stretch)
	}
	return operations, stretch
}

// tenantSettings are the tenants; none where they are hosted, as a scheduler has these from its store.
func (s Scenario) tenantSettings() []object {
	all := []object{}
	if s.Hosted.Capacity > 0 {
		return all
	}
	for _, t := range s.Tenants {
		all = append(all, object{"Name": t.Name, "Fraction": t.Share})
	}
	return all
}

func (s Scenario) limitSettings() object {
	return object{
		"Cancel":         s.Limits.Cancel,
		"Probes":         s.Limits.HealthChecks,
		"RetryAfter":     s.Limits.MaxRetryAfter > 0,
		"MaxRetryAfter":  s.Limits.MaxRetryAfter.seconds(),
		"SecondCopies":   s.Limits.HedgedRequests,
		"MostForwards":   s.Limits.MaxForwards,
		"ConnIdle":       s.Network.Idle.seconds(),
		"ConnectTimeout": s.Network.ConnectTimeout.seconds(),
	}
}

// ruleSettings are the rules; a scheduler warms up all workers as the slowest kind needs it.
func (s Scenario) ruleSettings() object {
	coldFrom := 1.0
	warmUp := time.Duration(0)
	for _, w := range s.Workers {
		coldFrom = min(coldFrom, w.ColdFrom)
		warmUp = max(warmUp, w.WarmUp.D())
	}
	return object{
		"AskWithin":         s.Rules.QueryWithin.seconds(),
		"ColdFrom":          coldFrom,
		"Fall":              s.Rules.OverloadWindow.seconds(),
		"FallMultiple":      s.Rules.OverloadMultiple,
		"StopSendingWithin": s.Rules.StopSendingWithin.seconds(),
		"WarmAfter":         warmUp.Seconds(),
	}
}
