package scenario

import (
	"encoding/json"
	"time"
)

// healthCheckCost is the cost of a health check in the settings of a scheduler: the points of the
// result that one health check per invocation costs.
const healthCheckCost = 0.0025

// wireNameByField has the names of load report fields in the settings of a scheduler.
var wireNameByField = map[string]string{
	FieldFreeSlots:   "x0",
	FieldWaiting:     "waiting",
	FieldActive:      "active",
	FieldServiceTime: "avg_ms",
}

// wireNameByEffect has the names of effect classes in the settings of a scheduler.
var wireNameByEffect = map[string]string{
	Idempotent:    "read_like",
	Deduplicated:  "idempotency_key",
	NonIdempotent: "non_idempotent",
}

// ReportNames returns the names, in the settings of a scheduler, of the fields that load reports
// have.
func (s Scenario) ReportNames() []string {
	var names []string
	for _, field := range s.LoadReports.Fields {
		names = append(names, wireNameByField[field])
	}
	return names
}

// ZoneOfScheduler returns the index of a scheduler's zone.
func (s Scenario) ZoneOfScheduler(scheduler int) int { return scheduler % len(s.Zones) }

// object is a JSON object.
type object = map[string]any

// Settings returns the settings of one scheduler as JSON.
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
		"MyZone":        s.ZoneOfScheduler(scheduler),
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
		"Prices": object{"Probe": healthCheckCost},
		"Report": object{"How": "probe", "Names": s.ReportNames()},
		"Rules":  s.ruleSettings(),
	})
	if err != nil {
		panic(err) // all values are of types that can be marshalled
	}
	return text
}

// operationSettings returns the settings of the operations, and the stretch of each operation's
// objective.
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

// tenantSettings returns the settings of the tenants. There are none if tenants are hosted, as
// schedulers then read them from their tenant store.
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

// limitSettings returns the settings of what the scheduler may do, and of its connections.
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

// ruleSettings returns the settings of the rules. They have a single warm-up for all workers, so it
// combines the lowest ColdFrom and the longest WarmUp of all groups.
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
