package scenario

import (
	"cmp"
	"fmt"
	"time"
)

// defaultScenario returns a scenario in which all keys outside lists have their defaults.
func defaultScenario() Scenario {
	return Scenario{
		Seed: 1,
		Schedulers: Schedulers{
			Count:            1,
			RestartDelay:     Span(500 * time.Millisecond),
			FailureDetection: Span(time.Second),
		},
		Network: Network{
			SameZone:       Span(200 * time.Microsecond),
			CrossZone:      Span(time.Millisecond),
			Client:         Span(500 * time.Microsecond),
			Jitter:         0.2,
			ConnectTimeout: Span(250 * time.Millisecond),
			Idle:           Span(5 * time.Second),
		},
		Discovery: Discovery{
			ChangeDelay:       Span(time.Second),
			SilentChangeDelay: Span(5 * time.Second),
			CallDuration:      Span(20 * time.Millisecond),
			CallsPerSecond:    50,
			DeemedDelay:       Span(6 * time.Second),
		},
		Rules: Rules{
			AnswerSlack:       Span(50 * time.Millisecond),
			StopSendingWithin: Span(500 * time.Millisecond),
			QueryWithin:       Span(10 * time.Second),
			OverloadWindow:    Span(time.Second),
			OverloadMultiple:  2.5,
		},
		Limits: Limits{
			HealthChecks:   true,
			Cancel:         true,
			HedgedRequests: true,
			MaxForwards:    4,
			MaxRetryAfter:  Span(2 * time.Second),
		},
		LoadReports: LoadReports{
			Fields:   []string{FieldWaiting, FieldServiceTime, FieldFreeSlots},
			Interval: Span(500 * time.Millisecond),
			Delay:    Span(20 * time.Millisecond),
		},
		Notifications: Notifications{Start: true, Progress: Span(2 * time.Second)},
		Load:          Load{Shape: ShapePoisson},
		Clients:       Clients{Retries: 1, Backoff: Span(100 * time.Millisecond), HonorRetryAfter: 1},
	}
}

// defaultFactors has the default factor of each kind of fault that uses one.
var defaultFactors = map[string]float64{
	MachinesSlow:        4,
	MachinesFailing:     0.2,
	DiscoveryOverloaded: 10,
	Burst:               2,
	HeavyRequests:       10,
	RetryStorm:          5,
}

// fillDefaults fills in the defaults of keys in lists, and the defaults that depend on other keys.
// A value of 0 or an empty string counts as left out.
func (s *Scenario) fillDefaults() {
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	for i := range s.Workers {
		s.Workers[i].fillDefaults(i)
	}
	for i := range s.Operations {
		s.Operations[i].fillDefaults()
	}
	if s.Load.Rate == 0 && s.Load.Utilization == 0 {
		s.Load.Utilization = 0.6
	}
	for i := range s.Tenants {
		s.Tenants[i].Weight = cmp.Or(s.Tenants[i].Weight, 1)
	}
	for i := range s.Faults {
		s.Faults[i].fillDefaults()
	}
}

func (w *WorkerGroup) fillDefaults(index int) {
	w.Name = cmp.Or(w.Name, fmt.Sprint("kind-", index))
	w.Slots = cmp.Or(w.Slots, 4)
	w.Speed = cmp.Or(w.Speed, 1)
	w.QueueLimit = cmp.Or(w.QueueLimit, 32)
	w.ColdFrom = cmp.Or(w.ColdFrom, 0.2)
	w.WarmUp = cmp.Or(w.WarmUp, Span(10*time.Second))
	w.Cancellation = cmp.Or(w.Cancellation, CancelQueued)
}

func (o *Operation) fillDefaults() {
	o.Share = cmp.Or(o.Share, 1)
	o.Slots = cmp.Or(o.Slots, 1)
	o.Value = cmp.Or(o.Value, 1)
	o.Effect = cmp.Or(o.Effect, Idempotent)
	o.Scope = cmp.Or(o.Scope, ScopeAll)
	o.HintQuality = cmp.Or(o.HintQuality, HintsRough)
	o.Timeout = cmp.Or(o.Timeout, 10*o.Objective)
	o.Window = cmp.Or(o.Window, Span(30*time.Second))
}

func (f *Fault) fillDefaults() {
	f.Share = cmp.Or(f.Share, 0.2)
	f.Factor = cmp.Or(f.Factor, defaultFactors[f.Kind])
	f.Batch = cmp.Or(f.Batch, 0.2)
	f.Delay = cmp.Or(f.Delay, Span(time.Second))
}
