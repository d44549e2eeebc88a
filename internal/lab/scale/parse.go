package scale

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"

	"github.com/pelletier/go-toml/v2"

	"stoatweir/internal/lab/scenario"
)

// scenarioVersion is the version of the format of scenario files.
const scenarioVersion = 1

// ReadScenario reads a scenario file. Each override is written as a line of the file and replaces the
// value that the file has for its key.
func ReadScenario(file string, overrides ...string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(file, text, overrides...)
}

// Parse parses a scenario, applies the overrides and fills in defaults. Its error joins a
// scenario.FileError for each error found.
func Parse(file string, text []byte, overrides ...string) (Scenario, error) {
	s := defaultScenario()
	if err := decode(text, &s); err != nil {
		return s, scenario.DescribeDecodeError(file, err)
	}
	for _, override := range overrides {
		if err := decode([]byte(override), &s); err != nil {
			return s, scenario.DescribeDecodeError("setting "+override, err)
		}
	}
	if len(s.Operations) == 0 {
		s.Operations = defaultOperations()
	}
	var errs []error
	for _, fault := range s.validationErrors() {
		fault.File = file
		errs = append(errs, fault)
	}
	return s, errors.Join(errs...)
}

// decode decodes keys into a scenario. Unknown keys are an error.
func decode(text []byte, s *Scenario) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return decoder.Decode(s)
}

// Bounds of the values of a scenario, independent of the machine.
const (
	maxWorkers               = 8000
	maxZones                 = 100
	maxSlots                 = 10000   // of a worker
	maxSchedulers            = 1024    // real ones
	maxTotalSchedulers       = 1 << 16 // real and emulated schedulers
	maxInFlight              = 8000    // of each scheduler
	minStartsPerSecond       = 0.1     // of each scheduler
	maxStartsPerSecond       = 2000    // of each scheduler
	maxReplacementsPerSecond = 1000    // of all workers together
	maxBodyBytes             = 1 << 16
	maxSockets               = 1 << 16 // of each scheduler
	minMemoryMB              = 16      // of each scheduler
	maxMemoryMB              = 4096    // of each scheduler
	maxDurationSeconds       = 600     // of any duration
	minConnIdleSeconds       = 0.1
	minObjectiveSeconds      = 0.001
	minRampUpSeconds         = 0.1
	minWindowSeconds         = 0.5
	maxMessageCost           = 1 // in points of the result, for a health check or gossip
)

// bound is the value of a key and the range that the value has to be in.
type bound struct {
	key   string
	value float64
	min   float64
	max   float64
}

// holds reports whether the value is in the range. It is false for NaN.
func (b bound) holds() bool { return b.value >= b.min && b.value <= b.max }

// bounds returns the numeric values of a scenario with their ranges; a minimum left out is 0.
func (s Scenario) bounds() []bound {
	return []bound{
		{key: "workers", value: float64(s.Workers), min: 1, max: maxWorkers},
		{key: "zones", value: float64(s.Zones), min: 1, max: maxZones},
		{key: "slots", value: float64(s.Slots), min: 1, max: maxSlots},
		{key: "others", value: s.OtherLoad, max: maxSlots},
		{key: "schedulers", value: float64(s.Schedulers), min: 1, max: maxSchedulers},
		{key: "told", value: float64(s.TotalSchedulers), min: float64(s.Schedulers), max: maxTotalSchedulers},
		{key: "in_hand", value: float64(s.InFlight), min: 1, max: maxInFlight},
		{key: "starts_per_second", value: s.Starts, min: minStartsPerSecond, max: maxStartsPerSecond},
		{key: "changes_per_second", value: s.ReplacementsPerSecond, max: maxReplacementsPerSecond},
		{key: "body", value: float64(s.BodyBytes), max: maxBodyBytes},
		{key: "probe_price", value: s.HealthCheckCost, max: maxMessageCost},
		{key: "message_price", value: s.GossipCost, max: maxMessageCost},
		{key: "sockets", value: float64(s.Sockets), max: maxSockets},
		{key: "memory_mb", value: float64(s.MemoryMB), min: minMemoryMB, max: maxMemoryMB},
		{key: "lost", value: float64(s.LostWorkers), max: float64(s.Workers)},
		{key: "lost_for", value: s.LostFor.D().Seconds(), max: maxDurationSeconds},
		{key: "whole_every", value: s.FullUpdateInterval.D().Seconds(), max: maxDurationSeconds},
		{key: "progress", value: s.ProgressInterval.D().Seconds(), max: maxDurationSeconds},
		{key: "news_idle", value: s.CallbackIdle.D().Seconds(), max: maxDurationSeconds},
		{key: "connection_idle", value: s.ConnIdle.D().Seconds(), min: minConnIdleSeconds, max: maxDurationSeconds},
		{key: "warm", value: s.SlowStart.D().Seconds(), max: maxDurationSeconds},
		{key: "objective", value: s.LatencyObjective.D().Seconds(), min: minObjectiveSeconds, max: maxDurationSeconds},
		{key: "fill", value: s.RampUp.D().Seconds(), min: minRampUpSeconds, max: maxDurationSeconds},
		{key: "settle", value: s.Settle.D().Seconds(), max: maxDurationSeconds},
		{key: "window", value: s.Window.D().Seconds(), min: minWindowSeconds, max: maxDurationSeconds},
		{key: "idle", value: s.Idle.D().Seconds(), max: maxDurationSeconds},
	}
}

// validationErrors returns the errors in a scenario that don't depend on the machine that it runs on.
func (s Scenario) validationErrors() (errs []scenario.FileError) {
	add := func(key, text string, args ...any) {
		errs = append(errs, scenario.FileError{Key: key, Text: fmt.Sprintf(text, args...)})
	}
	if s.Version != scenarioVersion {
		add("version", "%d is not %d", s.Version, scenarioVersion)
	}
	for _, b := range s.bounds() {
		if !b.holds() {
			add(b.key, "%g is not from %g to %g", b.value, b.min, b.max)
		}
	}
	for i, operation := range s.Operations {
		if effectSettingNames[operation.Effect] == "" || operation.Name == "" {
			add(fmt.Sprintf("operations[%d]", i), "%q of the effect %q is none", operation.Name, operation.Effect)
		}
	}
	if s.Sweep.Key == "" {
		return errs
	}
	if len(s.Sweep.Values) == 0 {
		add("sweep.values", "there are none")
	}
	for _, v := range s.Sweep.Values {
		if _, err := s.Step(v); err != nil {
			add("sweep", "%v", err)
		}
	}
	return errs
}

// Step returns the scenario of the step in which the key of the sweep has the given value. The error
// names a key that can't be varied, or is the first one found in the step's scenario.
func (s Scenario) Step(value float64) (Scenario, error) {
	key := s.Sweep.Key
	switch key {
	case "":
	case "workers":
		s.Workers = int(value)
	case "in_hand":
		s.InFlight = int(value)
	case "starts_per_second":
		s.Starts = value
	case "schedulers":
		s.Schedulers = int(value)
		s.TotalSchedulers = max(s.TotalSchedulers, s.Schedulers)
	case "told":
		s.TotalSchedulers = int(value)
	case "changes_per_second":
		s.ReplacementsPerSecond = value
	default:
		return s, fmt.Errorf("key: %q can't be varied", key)
	}
	if s.Sweep.InFlightPerWorker > 0 {
		s.InFlight = int(math.Round(s.Sweep.InFlightPerWorker * float64(s.Workers)))
	}
	s.Sweep = Sweep{}
	if errs := s.validationErrors(); len(errs) > 0 {
		return s, fmt.Errorf("%s = %g: %s: %s", key, value, errs[0].Key, errs[0].Text)
	}
	return s, nil
}
