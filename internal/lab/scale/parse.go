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

// scenarioVersion is the version of scenario files.
const scenarioVersion = 1

// Read reads a scenario file. Each of the settings, written as in the file, replaces what the file
// says.
func Read(file string, settings ...string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(file, text, settings...)
}

// Parse parses a scenario with the settings that replace its keys, and fills in what is left out.
// Its error joins a scenario.Fault for each thing that is wrong.
func Parse(file string, text []byte, settings ...string) (Scenario, error) {
	s := defaultScenario()
	if err := decode(text, &s); err != nil {
		return s, scenario.Explain(file, err)
	}
	for _, setting := range settings {
		if err := decode([]byte(setting), &s); err != nil {
			return s, scenario.Explain("setting "+setting, err)
		}
	}
	if len(s.Operations) == 0 {
		s.Operations = defaultOperations()
	}
	var errs []error
	for _, f := range s.faults() {
		f.File = file
		errs = append(errs, f)
	}
	return s, errors.Join(errs...)
}

func decode(text []byte, s *Scenario) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d.Decode(s)
}

// Bounds of what any machine could run.
const (
	maxWorkers     = 8000
	maxZones       = 100
	maxSlots       = 10000   // of a worker
	maxSchedulers  = 1024    // real ones
	maxTold        = 1 << 16 // schedulers
	maxInHand      = 8000    // of each scheduler
	leastStarts    = 0.1     // a second, of each scheduler
	maxStarts      = 2000    // a second, of each scheduler
	maxChanges     = 1000    // a second
	maxBody        = 1 << 16 // bytes
	maxSockets     = 1 << 16 // of each scheduler
	leastMemory    = 16      // MB, of each scheduler
	maxMemory      = 4096    // MB, of each scheduler
	maxSeconds     = 600     // of any span
	leastConnIdle  = 0.1     // seconds
	leastObjective = 0.001   // seconds
	leastFill      = 0.1     // seconds
	leastWindow    = 0.5     // seconds
	maxCostOfProbe = 1       // and of gossip
)

// bound is a key's value and the range that it has to be in.
type bound struct {
	key   string
	value float64
	from  float64
	most  float64
}

// holds is false for NaN too.
func (b bound) holds() bool { return b.value >= b.from && b.value <= b.most }

func (s Scenario) bounds() []bound {
	return []bound{
		{key: "workers", value: float64(s.Workers), from: 1, most: maxWorkers},
		{key: "zones", value: float64(s.Zones), from: 1, most: maxZones},
		{key: "slots", value: float64(s.Slots), from: 1, most: maxSlots},
		{key: "others", value: s.Others, most: maxSlots},
		{key: "schedulers", value: float64(s.Schedulers), from: 1, most: maxSchedulers},
		{key: "told", value: float64(s.Told), from: float64(s.Schedulers), most: maxTold},
		{key: "in_hand", value: float64(s.InHand), from: 1, most: maxInHand},
		{key: "starts_per_second", value: s.Starts, from: leastStarts, most: maxStarts},
		{key: "changes_per_second", value: s.Changes, most: maxChanges},
		{key: "body", value: float64(s.Body), most: maxBody},
		{key: "probe_price", value: s.ProbePrice, most: maxCostOfProbe},
		{key: "message_price", value: s.TellPrice, most: maxCostOfProbe},
		{key: "sockets", value: float64(s.Sockets), most: maxSockets},
		{key: "memory_mb", value: float64(s.MemoryMB), from: leastMemory, most: maxMemory},
		{key: "lost", value: float64(s.Lost), most: float64(s.Workers)},
		{key: "lost_for", value: s.LostFor.D().Seconds(), most: maxSeconds},
		{key: "whole_every", value: s.Whole.D().Seconds(), most: maxSeconds},
		{key: "progress", value: s.Progress.D().Seconds(), most: maxSeconds},
		{key: "news_idle", value: s.NewsIdle.D().Seconds(), most: maxSeconds},
		{key: "connection_idle", value: s.ConnIdle.D().Seconds(), from: leastConnIdle, most: maxSeconds},
		{key: "warm", value: s.Warm.D().Seconds(), most: maxSeconds},
		{key: "objective", value: s.Objective.D().Seconds(), from: leastObjective, most: maxSeconds},
		{key: "fill", value: s.Fill.D().Seconds(), from: leastFill, most: maxSeconds},
		{key: "settle", value: s.Settle.D().Seconds(), most: maxSeconds},
		{key: "window", value: s.Window.D().Seconds(), from: leastWindow, most: maxSeconds},
		{key: "idle", value: s.Idle.D().Seconds(), most: maxSeconds},
	}
}

// faults are what no machine could run.
func (s Scenario) faults() (faults []scenario.FileError) {
	add := func(key, text string, args ...any) {
		faults = append(faults, scenario.FileError{Key: key, Text: fmt.Sprintf(text, args...)})
	}
	if s.Version != scenarioVersion {
		add("version", "%d is not %d", s.Version, scenarioVersion)
	}
	for _, b := range s.bounds() {
		if !b.holds() {
			add(b.key, "%g is not from %g to %g", b.value, b.from, b.most)
		}
	}
	for i, o := range s.Operations {
		if effectSettings[o.Effect] == "" || o.Name == "" {
			add(fmt.Sprintf("operations[%d]", i), "%q of the effect %q is none", o.Name, o.Effect)
		}
	}
	if s.Sweep.Key == "" {
		return faults
	}
	if len(s.Sweep.Values) == 0 {
		add("sweep.values", "there are none")
	}
	for _, v := range s.Sweep.Values {
		if _, err := s.Step(v); err != nil {
			add("sweep", "%v", err)
		}
	}
	return faults
}

// Step returns the scenario of one step of the sweep. An error names the key that can't be varied,
// or the fault of the step.
func (s Scenario) Step(value float64) (Scenario, error) {
	key := s.Sweep.Key
	switch key {
	case "":
	case "workers":
		s.Workers = int(value)
	case "in_hand":
		s.InHand = int(value)
	case "starts_per_second":
		s.Starts = value
	case "schedulers":
		s.Schedulers = int(value)
		s.Told = max(s.Told, s.Schedulers)
	case "told":
		s.Told = int(value)
	case "changes_per_second":
		s.Changes = value
	default:
		return s, fmt.Errorf("key: %q can't be varied", key)
	}
	if s.Sweep.PerWorker > 0 {
		s.InHand = int(math.Round(s.Sweep.PerWorker * float64(s.Workers)))
	}
	s.Sweep = Sweep{}
	if faults := s.faults(); len(faults) > 0 {
		return s, fmt.Errorf("%s = %g: %s: %s", key, value, faults[0].Key, faults[0].Text)
	}
	return s, nil
}
