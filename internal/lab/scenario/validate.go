package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"stoatweir/internal/tenants"
)

// The maximum sizes of a run, so that a mistyped number cannot exhaust the machine.
const (
	maxSchedulers = 2000
	maxWorkers    = 20000 // in all groups together
	maxDuration   = 24 * time.Hour
	maxCapacity   = 256 // of a hosted installation, in invocations in flight at a scheduler
)

var faultKinds = []string{
	MachinesSilent, MachinesHung, MachinesSlow, MachinesFailing, MachinesRestarted, MachinesReplaced, ZoneLost, ReportsLate,
	ReportsAbsent, DiscoveryStale, DiscoveryOverloaded, DiscoveryDown, ConnectionsRefused, AttemptsReset, CallbacksLost,
	SchedulersKilled, Burst, HeavyRequests, RetryStorm,
}

// validator collects the errors in a scenario file.
type validator struct {
	file      string
	lineByKey map[string]int
	errors    []error
}

// addError adds an error about a key, with the line of the key or of the innermost table around it.
func (v *validator) addError(key, format string, args ...any) {
	v.errors = append(v.errors, FileError{
		File: v.file,
		Key:  key,
		Text: fmt.Sprintf(format, args...),
		Line: v.lineOf(key),
	})
}

// lineOf returns the line of a key or of the innermost table around it; 0 if neither is in the file.
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

// checkRange adds an error unless the value is between minimum and maximum, both included.
func (v *validator) checkRange(key string, value, minimum, maximum float64) {
	if math.IsNaN(value) || value < minimum || value > maximum {
		v.addError(key, "%v is not between %v and %v", value, minimum, maximum)
	}
}

// checkDuration adds an error unless the value is between minimum and maximum, both included.
func (v *validator) checkDuration(key string, value Span, minimum, maximum time.Duration) {
	if value.D() < minimum || value.D() > maximum {
		v.addError(key, "%v is not between %v and %v", value.D(), minimum, maximum)
	}
}

// checkOneOf adds an error unless the value is one of those allowed.
func (v *validator) checkOneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.addError(key, "%q is none of %s", value, strings.Join(allowed, ", "))
	}
}

// validate checks the whole scenario. The order of the checks is that in which errors are reported.
func (v *validator) validate(s *Scenario) {
	if s.Version != Version {
		v.addError("version", "%d is not the version that is read here, which is %d", s.Version, Version)
	}
	v.checkDuration("length", s.Length, time.Second, maxDuration)
	for i, zone := range s.Zones {
		if zone == "" || slices.Index(s.Zones, zone) != i {
			v.addError("zones", "%q is empty or there twice", zone)
		}
	}
	v.validateInfrastructure(s)
	v.validateLimits(s)
	v.validateWorkers(s)
	v.validateOperations(s)
	v.validateTenants(s)
	v.validateLoad(s)
	v.validateClients(s.Clients)
	for i, fault := range s.Faults {
		v.validateFault(s, i, fault)
	}
}

func (v *validator) validateInfrastructure(s *Scenario) {
	v.checkRange("schedulers.count", float64(s.Schedulers.Count), 1, maxSchedulers)
	v.checkDuration("schedulers.restarts", s.Schedulers.RestartDelay, 0, time.Hour)
	v.checkDuration("schedulers.notice", s.Schedulers.FailureDetection, 0, time.Hour)
	v.checkDuration("network.same_zone", s.Network.SameZone, 0, time.Second)
	v.checkDuration("network.cross_zone", s.Network.CrossZone, 0, time.Second)
	v.checkDuration("network.client", s.Network.Client, 0, time.Second)
	v.checkRange("network.jitter", s.Network.Jitter, 0, 1)
	v.checkDuration("network.connect_timeout", s.Network.ConnectTimeout, time.Millisecond, time.Minute)
	v.checkDuration("network.idle", s.Network.Idle, time.Millisecond, time.Hour)
	v.checkDuration("list.notice", s.Discovery.ChangeDelay, 0, time.Hour)
	v.checkDuration("list.silent_notice", s.Discovery.SilentChangeDelay, 0, time.Hour)
	v.checkDuration("list.call", s.Discovery.CallDuration, 0, time.Minute)
	v.checkRange("list.calls_per_s", s.Discovery.CallsPerSecond, 0.01, 1e6)
	v.checkDuration("list.deemed", s.Discovery.DeemedDelay, time.Millisecond, time.Hour)
}

func (v *validator) validateLimits(s *Scenario) {
	v.checkDuration("rules.answer_slack", s.Rules.AnswerSlack, 0, time.Minute)
	v.checkDuration("rules.stop_sending", s.Rules.StopSendingWithin, 0, time.Minute)
	v.checkDuration("rules.ask_within", s.Rules.QueryWithin, time.Millisecond, time.Hour)
	v.checkDuration("rules.fall", s.Rules.OverloadWindow, time.Millisecond, time.Minute)
	v.checkRange("rules.fall_multiple", s.Rules.OverloadMultiple, 1, 1000)
	v.checkRange("allow.max_forwards", float64(s.Limits.MaxForwards), 1, 100)
	v.checkDuration("allow.max_retry_after", s.Limits.MaxRetryAfter, 0, time.Hour)
	for i, field := range s.LoadReports.Fields {
		v.checkOneOf(fmt.Sprintf("reports.fields[%d]", i), field, FieldFreeSlots, FieldWaiting, FieldActive, FieldServiceTime)
	}
	v.checkDuration("reports.every", s.LoadReports.Interval, time.Millisecond, time.Hour)
	v.checkDuration("reports.delay", s.LoadReports.Delay, 0, time.Hour)
	v.checkDuration("signs.progress", s.Notifications.Progress, 0, time.Hour)
}

func (v *validator) validateWorkers(s *Scenario) {
	total := 0
	for i, w := range s.Workers {
		key := func(name string) string { return fmt.Sprintf("workers[%d].%s", i, name) }
		total += max(0, w.Count)
		v.checkRange(key("count"), float64(w.Count), 0, maxWorkers)
		v.checkRange(key("slots"), float64(w.Slots), 1, 1024)
		v.checkRange(key("speed"), w.Speed, 0.001, 1000)
		v.checkRange(key("spread"), w.SpeedSpread, 0, 0.9)
		v.checkRange(key("queue"), float64(w.QueueLimit), 0, 1e6)
		v.checkRange(key("cold_from"), w.ColdFrom, 0.01, 1)
		v.checkDuration(key("warm"), w.WarmUp, time.Millisecond, time.Hour)
		v.checkOneOf(key("cancels"), w.Cancellation, CancelNone, CancelQueued, CancelAll)
		if w.Zone != "" {
			v.checkOneOf(key("zone"), w.Zone, s.Zones...)
		}
	}
	if total > maxWorkers {
		v.addError("workers", "%d workers in total, at most %d are allowed", total, maxWorkers)
	}
}

func (v *validator) validateOperations(s *Scenario) {
	if len(s.Operations) == 0 {
		v.addError("operations", "there are none")
	}
	names := map[string]bool{}
	for i, o := range s.Operations {
		key := func(name string) string { return fmt.Sprintf("operations[%d].%s", i, name) }
		if o.Name == "" || names[o.Name] || strings.ContainsAny(o.Name, " /\r\n?") {
			v.addError(key("name"), "%q is empty, used twice, or has a character that is not allowed in a path: space, /, ?, CR or LF", o.Name)
		}
		names[o.Name] = true
		v.checkRange(key("share"), o.Share, 0, 1e6)
		v.checkDuration(key("work"), o.Work, time.Microsecond, time.Hour)
		v.checkRange(key("cv"), o.CV, 0, 10)
		v.checkRange(key("slots"), float64(o.Slots), 1, 1024)
		v.checkDuration(key("objective"), o.Objective, time.Millisecond, time.Hour)
		v.checkDuration(key("timeout"), o.Timeout, time.Millisecond, time.Hour)
		v.checkRange(key("stretch"), o.Stretch, 0, 1000)
		v.checkRange(key("value"), o.Value, 0, 1e9)
		v.checkOneOf(key("effect"), o.Effect, Idempotent, Deduplicated, NonIdempotent)
		v.checkOneOf(key("scope"), o.Scope, ScopeAll, ScopeZone)
		v.checkDuration(key("window"), o.Window, 0, 24*time.Hour)
		v.checkOneOf(key("hints"), o.HintQuality, HintsNone, HintsRough, HintsGood)
	}
}

func (v *validator) validateTenants(s *Scenario) {
	hosted := s.Hosted.Capacity > 0
	for i, t := range s.Tenants {
		key := func(name string) string { return fmt.Sprintf("tenants[%d].%s", i, name) }
		if t.Name == "" {
			v.addError(key("name"), "is not set")
		}
		v.checkRange(key("share"), t.Share, 0, 1e6)
		v.checkRange(key("weight"), t.Weight, 1e-6, 1e6)
		if problems := tenants.ValidateName("name", t.Name); hosted && len(problems) > 0 {
			v.addError(key("name"), "%s", problems[0].Reason)
		}
	}
	v.checkRange("hosted.room", float64(s.Hosted.Capacity), 0, maxCapacity)
	if hosted && len(s.Tenants) == 0 {
		v.addError("hosted.room", "is set, but the scenario has no tenants")
	}
}

func (v *validator) validateLoad(s *Scenario) {
	v.checkRange("load.rate", s.Load.Rate, 0, 1e6)
	v.checkRange("load.of", s.Load.Utilization, 0, 100)
	if s.Load.Rate > 0 && s.Load.Utilization > 0 {
		v.addError("load.of", "load.rate is set too: one of the two")
	}
	v.checkOneOf("load.shape", s.Load.Shape, ShapePoisson, ShapeConstant, ShapeBursts)
	for i, step := range s.Load.Steps {
		key := func(name string) string { return fmt.Sprintf("load.steps[%d].%s", i, name) }
		v.checkRange(key("factor"), step.Factor, 0, 1000)
		v.checkDuration(key("at"), step.Start, 0, maxDuration)
		v.checkDuration(key("for"), step.Duration, 0, maxDuration)
	}
}

func (v *validator) validateClients(c Clients) {
	v.checkRange("clients.retries", float64(c.Retries), 0, 100)
	v.checkDuration("clients.backoff", c.Backoff, 0, time.Hour)
	v.checkRange("clients.honour", c.HonorRetryAfter, 0, 1)
	v.checkRange("clients.leave", c.Disconnect, 0, 1)
}

func (v *validator) validateFault(s *Scenario, i int, f Fault) {
	key := func(name string) string { return fmt.Sprintf("troubles[%d].%s", i, name) }
	v.checkOneOf(key("kind"), f.Kind, faultKinds...)
	v.checkDuration(key("at"), f.Start, 0, maxDuration)
	v.checkDuration(key("for"), f.Duration, 0, maxDuration)
	v.checkDuration(key("delay"), f.Delay, 0, time.Hour)
	v.checkRange(key("share"), f.Share, 0, 1)
	v.checkRange(key("batch"), f.Batch, 0.001, 1)
	maxFactor := 1000.0
	if f.Kind == MachinesFailing {
		maxFactor = 1
	}
	v.checkRange(key("factor"), f.Factor, 0, maxFactor)
	if f.Kind == MachinesSlow || f.Kind == DiscoveryOverloaded {
		v.checkRange(key("factor"), f.Factor, 1, maxFactor)
	}
	if f.Zone != "" || f.Kind == ZoneLost {
		v.checkOneOf(key("zone"), f.Zone, s.Zones...)
	}
	if f.Operation != "" {
		var names []string
		for _, o := range s.Operations {
			names = append(names, o.Name)
		}
		v.checkOneOf(key("of"), f.Operation, names...)
	}
}
