package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"stoatweir/internal/tenants"
)

// What one run may hold at most: a mistyped size must not exhaust the machine.
const (
	maxSchedulers = 2000
	maxWorkers    = 20000
	maxDuration   = 24 * time.Hour
	maxCapacity   = 256 // of a hosted installation, in invocations in flight
)

var faultKinds = []string{
	MachinesSilent, MachinesHung, MachinesSlow, MachinesFailing, MachinesRestarted, MachinesReplaced, ZoneLost, ReportsLate,
	ReportsAbsent, DiscoveryStale, DiscoveryOverloaded, DiscoveryDown, ConnectionsRefused, AttemptsReset, CallbacksLost,
	SchedulersKilled, Burst, HeavyRequests, RetryStorm,
}

// validator collects what is wrong with a file.
type validator struct {
	file      string
	lineByKey map[string]int
	errors    []error
}

// fail adds an error of a key, with its line or that of the nearest table around it.
func (v *validator) fail(key, format string, args ...any) {
	v.errors = append(v.errors, FileError{
		File: v.file,
		Key:  key,
		Text: fmt.Sprintf(format, args...),
		Line: v.lineOf(key),
	})
}

func (v *validator) lineOf(key string) int {
	for key != "" {
		if line := v.lineByKey[key]; line > 0 {
			return line
		}
		dot := strings.LastIndexByte(key, '.')
		key = key[:max(0, dot)]
	}
	return 0
}

func (v *validator) within(key string, value, least, most float64) {
	if math.IsNaN(value) || value < least || value > most {
		v.fail(key, "%v is not between %v and %v", value, least, most)
	}
}

func (v *validator) span(key string, value Span, least, most time.Duration) {
	if value.D() < least || value.D() > most {
		v.fail(key, "%v is not between %v and %v", value.D(), least, most)
	}
}

func (v *validator) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.fail(key, "%q is none of %s", value, strings.Join(allowed, ", "))
	}
}

// validate checks the whole scenario, in the order of the errors' report.
func (v *validator) validate(s *Scenario) {
	if s.Version != Version {
		v.fail("version", "%d is not the version that is read here, which is %d", s.Version, Version)
	}
	v.span("length", s.Length, time.Second, maxDuration)
	for i, zone := range s.Zones {
		if zone == "" || slices.Index(s.Zones, zone) != i {
			v.fail("zones", "%q is empty or there twice", zone)
		}
	}
	v.infrastructure(s)
	v.limits(s)
	v.workers(s)
	v.operations(s)
	v.tenants(s)
	v.load(s)
	v.clients(s.Clients)
	for i, fault := range s.Faults {
		v.fault(s, i, fault)
	}
}

func (v *validator) infrastructure(s *Scenario) {
	v.within("schedulers.count", float64(s.Schedulers.Count), 1, maxSchedulers)
	v.span("schedulers.restarts", s.Schedulers.RestartDelay, 0, time.Hour)
	v.span("schedulers.notice", s.Schedulers.FailureDetection, 0, time.Hour)
	v.span("network.same_zone", s.Network.SameZone, 0, time.Second)
	v.span("network.cross_zone", s.Network.CrossZone, 0, time.Second)
	v.span("network.client", s.Network.Client, 0, time.Second)
	v.within("network.jitter", s.Network.Jitter, 0, 1)
	v.span("network.connect_timeout", s.Network.ConnectTimeout, time.Millisecond, time.Minute)
	v.span("network.idle", s.Network.Idle, time.Millisecond, time.Hour)
	v.span("list.notice", s.Discovery.ChangeDelay, 0, time.Hour)
	v.span("list.silent_notice", s.Discovery.SilentChangeDelay, 0, time.Hour)
	v.span("list.call", s.Discovery.CallDuration, 0, time.Minute)
	v.within("list.calls_per_s", s.Discovery.CallsPerSecond, 0.01, 1e6)
	v.span("list.deemed", s.Discovery.DeemedDelay, time.Millisecond, time.Hour)
}

func (v *validator) limits(s *Scenario) {
	v.span("rules.answer_slack", s.Rules.AnswerSlack, 0, time.Minute)
	v.span("rules.stop_sending", s.Rules.StopSendingWithin, 0, time.Minute)
	v.span("rules.ask_within", s.Rules.QueryWithin, time.Millisecond, time.Hour)
	v.span("rules.fall", s.Rules.OverloadWindow, time.Millisecond, time.Minute)
	v.within("rules.fall_multiple", s.Rules.OverloadMultiple, 1, 1000)
	v.within("allow.max_forwards", float64(s.Limits.MaxForwards), 1, 100)
	v.span("allow.max_retry_after", s.Limits.MaxRetryAfter, 0, time.Hour)
	for i, field := range s.LoadReports.Fields {
		v.oneOf(fmt.Sprintf("reports.fields[%d]", i), field, FieldFreeSlots, FieldWaiting, FieldActive, FieldServiceTime)
	}
	v.span("reports.every", s.LoadReports.Interval, time.Millisecond, time.Hour)
	v.span("reports.delay", s.LoadReports.Delay, 0, time.Hour)
	v.span("signs.progress", s.Notifications.Progress, 0, time.Hour)
}

func (v *validator) workers(s *Scenario) {
	total := 0
	for i, w := range s.Workers {
		key := func(name string) string { return fmt.Sprintf("workers[%d].%s", i, name) }
		total += max(0, w.Count)
		v.within(key("count"), float64(w.Count), 0, maxWorkers)
		v.within(key("slots"), float64(w.Slots), 1, 1024)
		v.within(key("speed"), w.Speed, 0.001, 1000)
		v.within(key("spread"), w.SpeedSpread, 0, 0.9)
		v.within(key("queue"), float64(w.QueueLimit), 0, 1e6)
		v.within(key("cold_from"), w.ColdFrom, 0.01, 1)
		v.span(key("warm"), w.WarmUp, time.Millisecond, time.Hour)
		v.oneOf(key("cancels"), w.Cancellation, CancelNone, CancelQueued, CancelAll)
		if w.Zone != "" {
			v.oneOf(key("zone"), w.Zone, s.Zones...)
		}
	}
	if total > maxWorkers {
		v.fail("workers", "%d are more than %d", total, maxWorkers)
	}
}

func (v *validator) operations(s *Scenario) {
	if len(s.Operations) == 0 {
		v.fail("operations", "there are none")
	}
	names := map[string]bool{}
	for i, o := range s.Operations {
		key := func(name string) string { return fmt.Sprintf("operations[%d].%s", i, name) }
		if o.Name == "" || names[o.Name] || strings.ContainsAny(o.Name, " /\r\n?") {
			v.fail(key("name"), "%q is empty, there twice, or can't stand in a path", o.Name)
		}
		names[o.Name] = true
		v.within(key("share"), o.Share, 0, 1e6)
		v.span(key("work"), o.Work, time.Microsecond, time.Hour)
		v.within(key("cv"), o.CV, 0, 10)
		v.within(key("slots"), float64(o.Slots), 1, 1024)
		v.span(key("objective"), o.Objective, time.Millisecond, time.Hour)
		v.span(key("timeout"), o.Timeout, time.Millisecond, time.Hour)
		v.within(key("stretch"), o.Stretch, 0, 1000)
		v.within(key("value"), o.Value, 0, 1e9)
		v.oneOf(key("effect"), o.Effect, Idempotent, Deduplicated, NonIdempotent)
		v.oneOf(key("scope"), o.Scope, ScopeAll, ScopeZone)
		v.span(key("window"), o.Window, 0, 24*time.Hour)
		v.oneOf(key("hints"), o.HintQuality, HintsNone, HintsRough, HintsGood)
	}
}

func (v *validator) tenants(s *Scenario) {
	hosted := s.Hosted.Capacity > 0
	for i, t := range s.Tenants {
		key := func(name string) string { return fmt.Sprintf("tenants[%d].%s", i, name) }
		if t.Name == "" {
			v.fail(key("name"), "is not set")
		}
		v.within(key("share"), t.Share, 0, 1e6)
		v.within(key("weight"), t.Weight, 1e-6, 1e6)
		if faults := tenants.Name("name", t.Name); hosted && len(faults) > 0 {
			v.fail(key("name"), "%s", faults[0].Reason)
		}
	}
	v.within("hosted.room", float64(s.Hosted.Capacity), 0, maxCapacity)
	if hosted && len(s.Tenants) == 0 {
		v.fail("hosted.room", "is set, and there are no tenants")
	}
}

func (v *validator) load(s *Scenario) {
	v.within("load.rate", s.Load.Rate, 0, 1e6)
	v.within("load.of", s.Load.Utilization, 0, 100)
	if s.Load.Rate > 0 && s.Load.Utilization > 0 {
		v.fail("load.of", "load.rate is set too: one of the two")
	}
	v.oneOf("load.shape", s.Load.Shape, ShapePoisson, ShapeConstant, ShapeBursts)
	for i, step := range s.Load.Steps {
		key := func(name string) string { return fmt.Sprintf("load.steps[%d].%s", i, name) }
		v.within(key("factor"), step.Factor, 0, 1000)
		v.span(key("at"), step.Start, 0, maxDuration)
		v.span(key("for"), step.Duration, 0, maxDuration)
	}
}

func (v *validator) clients(c Clients) {
	v.within("clients.retries", float64(c.Retries), 0, 100)
	v.span("clients.backoff", c.Backoff, 0, time.Hour)
	v.within("clients.honour", c.HonorRetryAfter, 0, 1)
	v.within("clients.leave", c.Disconnect, 0, 1)
}

func (v *validator) fault(s *Scenario, i int, f Fault) {
	key := func(name string) string { return fmt.Sprintf("troubles[%d].%s", i, name) }
	v.oneOf(key("kind"), f.Kind, faultKinds...)
	v.span(key("at"), f.Start, 0, maxDuration)
	v.span(key("for"), f.Duration, 0, maxDuration)
	v.span(key("delay"), f.Delay, 0, time.Hour)
	v.within(key("share"), f.Share, 0, 1)
	v.within(key("batch"), f.Batch, 0.001, 1)
	maxFactor := 1000.0
	if f.Kind == MachinesFailing {
		maxFactor = 1
	}
	v.within(key("factor"), f.Factor, 0, maxFactor)
	if f.Kind == MachinesSlow || f.Kind == DiscoveryOverloaded {
		v.within(key("factor"), f.Factor, 1, maxFactor)
	}
	if f.Zone != "" || f.Kind == ZoneLost {
		v.oneOf(key("zone"), f.Zone, s.Zones...)
	}
	if f.Operation != "" {
		var names []string
		for _, o := range s.Operations {
			names = append(names, o.Name)
		}
		v.oneOf(key("of"), f.Operation, names...)
	}
}
