package report

import (
	"time"

	"stoatweir/internal/lab/model"
)

const (
	// worstIntervalSeconds is the length of the intervals of which the worst is reported.
	worstIntervalSeconds = 10
	// roundingScale is the inverse of the unit to which results are rounded. Digits beyond it depend on
	// the order of summation.
	roundingScale  = 1e6
	microsPerMilli = 1e3
)

// FromModel returns the report of the finished run of a model. WithRun adds what the model does not
// know.
func FromModel(m *model.Model) Report {
	s := m.Statistics
	r := Report{
		Version:         formatVersion,
		All:             serviceOf(s.All),
		Operations:      servicesOf(s.Operations),
		Tenants:         servicesOf(s.Tenants),
		Zones:           servicesOf(s.Zones),
		ViolationCounts: map[string]int{},
		Violations:      m.Rules.Violations,
		Costs: Costs{
			Requests:         s.Requests,
			Forwards:         s.ForwardsReceived,
			DuplicateRuns:    s.Duplicates,
			WastedShare:      round(s.WastedShare()),
			HealthChecks:     s.HealthChecks,
			Connections:      s.Connections,
			DiscoveryQueries: m.Discovery.Queries,
			MaxWarmUpLoad:    round(s.MaxWarmUpLoad),
		},
	}
	r.Service = r.All.ServedShare
	r.WorstOperation = worstOperation(s.Operations)
	r.ServiceBySecond, r.WorstInterval = serviceOverTime(s.Intervals)
	for rule, n := range m.Rules.Counts {
		r.ViolationCounts[model.Rule(rule).String()] = n
	}
	return r
}

// WithRun returns the report with the facts that the model does not know. length is the duration of the
// run.
func (r Report) WithRun(scenario, mode, decider string, seed int64, schedulers, workers int, length time.Duration) Report {
	r.Scenario = scenario
	r.Mode = mode
	r.Policy = decider
	r.Seed = seed
	r.Schedulers = schedulers
	r.Workers = workers
	r.Duration = length.Seconds()
	return r
}

// worstOperation returns the lowest share of the offered value that an operation was served; operations
// that were never offered do not count.
func worstOperation(operations []*model.Service) float64 {
	worst := 1.0
	for _, operation := range operations {
		if operation.Offered > 0 {
			worst = min(worst, servedShare(operation.ValueServed, operation.ValueOffered))
		}
	}
	return worst
}

// serviceOverTime returns the served share of each second, and the lowest share over
// worstIntervalSeconds consecutive seconds, or over the whole run if that is shorter.
func serviceOverTime(intervals []model.Interval) (bySecond []float64, worst float64) {
	worst = 1
	for i, interval := range intervals {
		bySecond = append(bySecond, servedShare(interval.ValueServed, interval.ValueOffered))
		end := i + 1
		if end < worstIntervalSeconds && end < len(intervals) {
			continue
		}
		offered := 0.0
		served := 0.0
		for _, part := range intervals[max(0, end-worstIntervalSeconds):end] {
			offered += part.ValueOffered
			served += part.ValueServed
		}
		worst = min(worst, servedShare(served, offered))
	}
	return bySecond, worst
}

// servicesOf returns the reports of several parts of the load.
func servicesOf(parts []*model.Service) []Service {
	var services []Service
	for _, part := range parts {
		services = append(services, serviceOf(part))
	}
	return services
}

// serviceOf returns the report of one part of the load.
func serviceOf(s *model.Service) Service {
	percentile := func(p float64) float64 { return float64(s.Latency.ValueAtQuantile(p)) / microsPerMilli }
	return Service{
		Name:         s.Name,
		Offered:      s.Offered,
		ValueOffered: round(s.ValueOffered),
		ValueServed:  round(s.ValueServed),
		ServedShare:  servedShare(s.ValueServed, s.ValueOffered),
		InTime:       s.InTime,
		Late:         s.Late,
		Throttled:    s.Throttled,
		Errored:      s.Errored,
		Unanswered:   s.Unanswered,
		P50:          percentile(50),
		P90:          percentile(90),
		P99:          percentile(99),
		P999:         percentile(99.9),
	}
}

// servedShare returns the served share of what was offered, rounded. It is 1 if nothing was offered.
func servedShare(served, offered float64) float64 {
	if offered <= 0 {
		return 1
	}
	return round(served / offered)
}

// round rounds a value that is not negative.
func round(v float64) float64 { return float64(int64(v*roundingScale+0.5)) / roundingScale }
