package scenario

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"stoatweir/internal/tenants"
)

// Most is what one day may hold: a mistyped size must not take the machine with it.
const (
	maxSchedulers, maxWorkers = 2000, 20000
	maxDuration               = 24 * time.Hour
)

// Fault is one thing that is wrong with a file.
type FileError struct {
	File, Key, Text string
	Line            int // 0: not known
}

func (f FileError) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return at + ": " + f.Text
	}
	return fmt.Sprintf("%s: %s: %s", at, f.Key, f.Text)
}

// Read reads a file.
func Read(file string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(file, text)
}

// Parse reads a text, fills in what is left out, and names all that is wrong with it.
func Parse(file string, text []byte) (Scenario, error) {
	s := Scenario{Seed: 1, Schedulers: Schedulers{Count: 1, RestartDelay: Span(500 * time.Millisecond), FailureDetection: Span(time.Second)},
		Network: Network{SameZone: Span(200 * time.Microsecond), CrossZone: Span(time.Millisecond),
			Client: Span(500 * time.Microsecond), Jitter: 0.2, ConnectTimeout: Span(250 * time.Millisecond), Idle: Span(5 * time.Second)},
		Discovery: Discovery{ChangeDelay: Span(time.Second), SilentChangeDelay: Span(5 * time.Second), CallDuration: Span(20 * time.Millisecond),
			CallsPerSecond: 50, DeemedDelay: Span(6 * time.Second)},
		Rules: Rules{AnswerSlack: Span(50 * time.Millisecond), StopSendingWithin: Span(500 * time.Millisecond),
			QueryWithin: Span(10 * time.Second), OverloadWindow: Span(time.Second), OverloadMultiple: 2.5},
		Limits: Limits{HealthChecks: true, Cancel: true, HedgedRequests: true, MaxForwards: 4, MaxRetryAfter: Span(2 * time.Second)},
		LoadReports: LoadReports{Fields: []string{"waiting", "service_ms", "free_slots"}, Interval: Span(500 * time.Millisecond),
			Delay: Span(20 * time.Millisecond)},
		Notifications: Notifications{Start: true, Progress: Span(2 * time.Second)},
		Load:          Load{Shape: "poisson"},
		Clients:       Clients{Retries: 1, Backoff: Span(100 * time.Millisecond), HonorRetryAfter: 1}}
	lines := index(text)
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, Explain(file, err)
	}
	s.defaults()
	c := validator{file: file, lines: lines}
	c.check(&s)
	return s, errors.Join(c.faults...)
}

// Explain says what the reader of the form has found, with key and place.
func Explain(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			all = append(all, FileError{file, strings.Join(strict.Errors[i].Key(), "."), "no such key", row})
		}
		return errors.Join(all...)
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		return FileError{file, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: "), row}
	}
	return FileError{File: file, Text: err.Error()}
}

// index finds the line of each key, so that what is only found out later can be pointed at too.
func index(text []byte) map[string]int {
	lines, tables := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for k := e.Key(); k.Next(); {
			if n := k.Node(); true {
				parts = append(parts, string(n.Data))
				line = p.Shape(n.Raw).Start.Line
			}
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = key
			lines[key] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, tables[key])
			tables[key]++
			lines[prefix] = line
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
			lines[key] = line
		}
	}
	return lines
}

func (s *Scenario) defaults() {
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		w.Name = cmp.Or(w.Name, fmt.Sprint("kind-", i))
		w.Slots, w.Speed, w.QueueLimit = cmp.Or(w.Slots, 4), cmp.Or(w.Speed, 1), cmp.Or(w.QueueLimit, 32)
		w.ColdFrom, w.WarmUp, w.Cancellation = cmp.Or(w.ColdFrom, 0.2), cmp.Or(w.WarmUp, Span(10*time.Second)), cmp.Or(w.Cancellation, "queued")
	}
	for i := range s.Operations {
		o := &s.Operations[i]
		o.Share, o.Slots, o.Value = cmp.Or(o.Share, 1), cmp.Or(o.Slots, 1), cmp.Or(o.Value, 1)
		o.Effect, o.Scope, o.HintQuality = cmp.Or(o.Effect, "idempotent"), cmp.Or(o.Scope, "all"), cmp.Or(o.HintQuality, "rough")
		o.Timeout, o.Window = cmp.Or(o.Timeout, Span(10*o.Objective.D())), cmp.Or(o.Window, Span(30*time.Second))
	}
	if s.Load.Rate == 0 && s.Load.Utilization == 0 {
		s.Load.Utilization = 0.6
	}
	for i := range s.Tenants {
		s.Tenants[i].Weight = cmp.Or(s.Tenants[i].Weight, 1)
	}
	for i := range s.Troubles {
		t := &s.Troubles[i]
		t.Share, t.Factor = cmp.Or(t.Share, 0.2), cmp.Or(t.Factor, defaultFactors[t.Kind])
		t.Batch = cmp.Or(t.Batch, 0.2)
		t.Delay = cmp.Or(t.Delay, Span(time.Second))
	}
}

// usualFactor is what stands in for a factor that is left out.
var defaultFactors = map[string]float64{MachinesSlow: 4, MachinesFailing: 0.2, DiscoveryOverloaded: 10, Burst: 2, HeavyRequests: 10, RetryStorm: 5}

var faultKinds = []string{MachinesSilent, MachinesHung, MachinesSlow, MachinesFailing, MachinesRestarted, MachinesReplaced, ZoneLost, ReportsLate, ReportsAbsent, DiscoveryStale,
	DiscoveryOverloaded, DiscoveryDown, ConnectionsRefused, AttemptsReset, CallbacksLost, SchedulersKilled, Burst, HeavyRequests, RetryStorm}

// checker gathers what is wrong.
type validator struct {
	file   string
	lines  map[string]int
	faults []error
}

func (c *validator) fault(key, format string, args ...any) {
	line := 0
	for at := key; at != ""; {
		if line = c.lines[at]; line > 0 {
			break
		}
		dot := strings.LastIndexByte(at, '.')
		at = at[:max(0, dot)]
	}
	c.faults = append(c.faults, FileError{c.file, key, fmt.Sprintf(format, args...), line})
}

func (c *validator) within(key string, v, least, most float64) {
	if math.IsNaN(v) || v < least || v > most {
		c.fault(key, "%v is not between %v and %v", v, least, most)
	}
}

func (c *validator) span(key string, v Span, least, most time.Duration) {
	if v.D() < least || v.D() > most {
		c.fault(key, "%v is not between %v and %v", v.D(), least, most)
	}
}

func (c *validator) oneOf(key, v string, of ...string) {
	if !slices.Contains(of, v) {
		c.fault(key, "%q is none of %s", v, strings.Join(of, ", "))
	}
}

func (c *validator) check(s *Scenario) {
	if s.Version != Version {
		c.fault("version", "%d is not the version that is read here, which is %d", s.Version, Version)
	}
	c.span("length", s.Length, time.Second, maxDuration)
	for i, z := range s.Zones {
		if z == "" || slices.Index(s.Zones, z) != i {
			c.fault("zones", "%q is empty or there twice", z)
		}
	}
	c.within("schedulers.count", float64(s.Schedulers.Count), 1, maxSchedulers)
	c.span("schedulers.restarts", s.Schedulers.RestartDelay, 0, time.Hour)
	c.span("schedulers.notice", s.Schedulers.FailureDetection, 0, time.Hour)
	c.span("network.same_zone", s.Network.SameZone, 0, time.Second)
	c.span("network.cross_zone", s.Network.CrossZone, 0, time.Second)
	c.span("network.client", s.Network.Client, 0, time.Second)
	c.within("network.jitter", s.Network.Jitter, 0, 1)
	c.span("network.connect_timeout", s.Network.ConnectTimeout, time.Millisecond, time.Minute)
	c.span("network.idle", s.Network.Idle, time.Millisecond, time.Hour)
	c.span("list.notice", s.Discovery.ChangeDelay, 0, time.Hour)
	c.span("list.silent_notice", s.Discovery.SilentChangeDelay, 0, time.Hour)
	c.span("list.call", s.Discovery.CallDuration, 0, time.Minute)
	c.within("list.calls_per_s", s.Discovery.CallsPerSecond, 0.01, 1e6)
	c.span("list.deemed", s.Discovery.DeemedDelay, time.Millisecond, time.Hour)
	c.span("rules.answer_slack", s.Rules.AnswerSlack, 0, time.Minute)
	c.span("rules.stop_sending", s.Rules.StopSendingWithin, 0, time.Minute)
	c.span("rules.ask_within", s.Rules.QueryWithin, time.Millisecond, time.Hour)
	c.span("rules.fall", s.Rules.OverloadWindow, time.Millisecond, time.Minute)
	c.within("rules.fall_multiple", s.Rules.OverloadMultiple, 1, 1000)
	c.within("allow.max_forwards", float64(s.Limits.MaxForwards), 1, 100)
	c.span("allow.max_retry_after", s.Limits.MaxRetryAfter, 0, time.Hour)
	for i, f := range s.LoadReports.Fields {
		c.oneOf(fmt.Sprintf("reports.fields[%d]", i), f, "free_slots", "waiting", "active", "service_ms")
	}
	c.span("reports.every", s.LoadReports.Interval, time.Millisecond, time.Hour)
	c.span("reports.delay", s.LoadReports.Delay, 0, time.Hour)
	c.span("signs.progress", s.Notifications.Progress, 0, time.Hour)
	all := 0
	for i, w := range s.Workers {
		at := func(key string) string { return fmt.Sprintf("workers[%d].%s", i, key) }
		all += max(0, w.Count)
		c.within(at("count"), float64(w.Count), 0, maxWorkers)
		c.within(at("slots"), float64(w.Slots), 1, 1024)
		c.within(at("speed"), w.Speed, 0.001, 1000)
		c.within(at("spread"), w.SpeedSpread, 0, 0.9)
		c.within(at("queue"), float64(w.QueueLimit), 0, 1e6)
		c.within(at("cold_from"), w.ColdFrom, 0.01, 1)
		c.span(at("warm"), w.WarmUp, time.Millisecond, time.Hour)
		c.oneOf(at("cancels"), w.Cancellation, "none", "queued", "all")
		if w.Zone != "" {
			c.oneOf(at("zone"), w.Zone, s.Zones...)
		}
	}
	if all > maxWorkers {
		c.fault("workers", "%d are more than %d", all, maxWorkers)
	}
	if len(s.Operations) == 0 {
		c.fault("operations", "there are none")
	}
	names := map[string]bool{}
	for i, o := range s.Operations {
		at := func(key string) string { return fmt.Sprintf("operations[%d].%s", i, key) }
		if o.Name == "" || names[o.Name] || strings.ContainsAny(o.Name, " /\r\n?") {
			c.fault(at("name"), "%q is empty, there twice, or can't stand in a path", o.Name)
		}
		names[o.Name] = true
		c.within(at("share"), o.Share, 0, 1e6)
		c.span(at("work"), o.Work, time.Microsecond, time.Hour)
		c.within(at("cv"), o.CV, 0, 10)
		c.within(at("slots"), float64(o.Slots), 1, 1024)
		c.span(at("objective"), o.Objective, time.Millisecond, time.Hour)
		c.span(at("timeout"), o.Timeout, time.Millisecond, time.Hour)
		c.within(at("stretch"), o.Stretch, 0, 1000)
		c.within(at("value"), o.Value, 0, 1e9)
		c.oneOf(at("effect"), o.Effect, "idempotent", "deduplicated", "non-idempotent")
		c.oneOf(at("scope"), o.Scope, "all", "zone")
		c.span(at("window"), o.Window, 0, 24*time.Hour)
		c.oneOf(at("hints"), o.HintQuality, "none", "rough", "good")
	}
	for i, t := range s.Tenants {
		if t.Name == "" {
			c.fault(fmt.Sprintf("tenants[%d].name", i), "is not set")
		}
		c.within(fmt.Sprintf("tenants[%d].share", i), t.Share, 0, 1e6)
		c.within(fmt.Sprintf("tenants[%d].weight", i), t.Weight, 1e-6, 1e6)
		if faults := tenants.Name("name", t.Name); s.Hosted.Capacity > 0 && len(faults) > 0 {
			c.fault(fmt.Sprintf("tenants[%d].name", i), "%s", faults[0].Reason)
		}
	}
	c.within("hosted.room", float64(s.Hosted.Capacity), 0, 256)
	if s.Hosted.Capacity > 0 && len(s.Tenants) == 0 {
		c.fault("hosted.room", "is set, and there are no tenants")
	}
	c.within("load.rate", s.Load.Rate, 0, 1e6)
	c.within("load.of", s.Load.Utilization, 0, 100)
	if s.Load.Rate > 0 && s.Load.Utilization > 0 {
		c.fault("load.of", "load.rate is set too: one of the two")
	}
	c.oneOf("load.shape", s.Load.Shape, "poisson", "constant", "bursts")
	for i, step := range s.Load.Steps {
		c.within(fmt.Sprintf("load.steps[%d].factor", i), step.Factor, 0, 1000)
		c.span(fmt.Sprintf("load.steps[%d].at", i), step.Start, 0, maxDuration)
		c.span(fmt.Sprintf("load.steps[%d].for", i), step.Duration, 0, maxDuration)
	}
	c.within("clients.retries", float64(s.Clients.Retries), 0, 100)
	c.span("clients.backoff", s.Clients.Backoff, 0, time.Hour)
	c.within("clients.honour", s.Clients.HonorRetryAfter, 0, 1)
	c.within("clients.leave", s.Clients.Disconnect, 0, 1)
	for i, t := range s.Troubles {
		c.trouble(s, i, t)
	}
}

func (c *validator) trouble(s *Scenario, i int, t Fault) {
	at := func(key string) string { return fmt.Sprintf("troubles[%d].%s", i, key) }
	c.oneOf(at("kind"), t.Kind, faultKinds...)
	c.span(at("at"), t.Start, 0, maxDuration)
	c.span(at("for"), t.Duration, 0, maxDuration)
	c.span(at("delay"), t.Delay, 0, time.Hour)
	c.within(at("share"), t.Share, 0, 1)
	c.within(at("batch"), t.Batch, 0.001, 1)
	if most := 1000.0; t.Kind == MachinesFailing {
		c.within(at("factor"), t.Factor, 0, 1)
	} else {
		c.within(at("factor"), t.Factor, 0, most)
	}
	if t.Kind == MachinesSlow || t.Kind == DiscoveryOverloaded {
		c.within(at("factor"), t.Factor, 1, 1000)
	}
	if t.Zone != "" || t.Kind == ZoneLost {
		c.oneOf(at("zone"), t.Zone, s.Zones...)
	}
	if t.Operation != "" {
		var names []string
		for _, o := range s.Operations {
			names = append(names, o.Name)
		}
		c.oneOf(at("of"), t.Operation, names...)
	}
}
