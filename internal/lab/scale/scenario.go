// Package scale plays a part of a large fleet on one machine and measures what it costs its schedulers: real ones, as
// processes of their own, beside hollow processes that stand for all others over loopback addresses.
package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"stoatweir/internal/lab/scenario"
)

// Scenario is what is played, and what is varied in it.
type Scenario struct {
	Version int    `toml:"version" json:"Version"`
	Name    string `toml:"name" json:"Name"`
	Seed    int64  `toml:"seed" json:"Seed"`

	Workers    int     `toml:"workers" json:"Workers"`            // listed
	Zones      int     `toml:"zones" json:"Zones"`                // that these are spread over evenly
	Slots      int     `toml:"slots" json:"Slots"`                // of each worker
	Others     float64 `toml:"others" json:"Others"`              // of these, held by other schedulers' runs, on the mean
	Schedulers int     `toml:"schedulers" json:"Schedulers"`      // real ones
	Told       int     `toml:"told" json:"Told"`                  // what each is told of their number; those that are not real are hollow
	InHand     int     `toml:"in_hand" json:"InHand"`             // of each scheduler
	Starts     float64 `toml:"starts_per_second" json:"Starts"`   // of each scheduler
	Changes    float64 `toml:"changes_per_second" json:"Changes"` // replacements of a worker by a cold one
	Even       bool    `toml:"even" json:"Even"`                  // arrivals and runs without chance
	Body       int     `toml:"body" json:"Body"`                  // bytes of an invocation
	TellsStart bool    `toml:"tells_start" json:"TellsStart"`     // workers say that a run has begun
	Messages   bool    `toml:"messages" json:"Messages"`          // between schedulers
	ProbePrice float64 `toml:"probe_price" json:"ProbePrice"`     // what a probe costs, by the settings
	TellPrice  float64 `toml:"message_price" json:"TellPrice"`    // the same of messages
	Copies     bool    `toml:"second_copies" json:"Copies"`       // allowed
	Sockets    int     `toml:"sockets" json:"Sockets"`            // of each scheduler; 0: enough for in_hand
	MemoryMB   int     `toml:"memory_mb" json:"MemoryMB"`         // the same of memory
	Frozen     bool    `toml:"frozen" json:"Frozen"`              // reports stand still from the settling on
	Lost       int     `toml:"lost" json:"Lost"`                  // workers of the first zone that vanish as the window begins
	LostFor    Span    `toml:"lost_for" json:"LostFor"`           // and come back, cold, so much later
	Whole      Span    `toml:"whole_every" json:"Whole"`          // the list comes whole; 0: never again
	Progress   Span    `toml:"progress" json:"Progress"`          // between a run's words; 0: none
	NewsIdle   Span    `toml:"news_idle" json:"NewsIdle"`         // so long a worker keeps a connection for news
	ConnIdle   Span    `toml:"connection_idle" json:"ConnIdle"`   // and those that come to it
	Warm       Span    `toml:"warm" json:"Warm"`                  // a cold worker is warm by then
	Objective  Span    `toml:"objective" json:"Objective"`        // a latency objective beside a run's own time

	Fill   Span `toml:"fill" json:"Fill"`     // in_hand is reached by then
	Settle Span `toml:"settle" json:"Settle"` // before the window
	Window Span `toml:"window" json:"Window"` // that is measured
	Idle   Span `toml:"idle" json:"Idle"`     // that is measured before any load

	Operations []Operation `toml:"operations" json:"Operations"`
	Sweep      Sweep       `toml:"sweep" json:"Sweep"`
}

// Operation is a class of invocations; these come in turn.
type Operation struct {
	Name   string `toml:"name" json:"Name"`
	Effect string `toml:"effect" json:"Effect"` // idempotent, deduplicated or non-idempotent
}

// Sweep is what differs from step to step.
type Sweep struct {
	Key    string    `toml:"key" json:"Key"`
	Values []float64 `toml:"values" json:"Values"`
	// PerWorker has in_hand follow the workers, which keeps how full each of them is.
	PerWorker float64 `toml:"in_hand_per_worker" json:"PerWorker"`
}

// Span is a time in the form of 10s or 250ms.
type Span = scenario.Span

// Read reads a file. Each of the settings, written as in the file, goes before what stands there.
func Read(file string, settings ...string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(file, text, settings...)
}

func span(d time.Duration) Span { return Span(d) }

// Parse reads a text, fills in what is left out, and names all that is wrong with it.
func Parse(file string, text []byte, settings ...string) (Scenario, error) {
	s := Scenario{Seed: 1, Workers: 240, Zones: 15, Slots: 26, Others: 21.6, Schedulers: 1, Told: 15, InHand: 372, Starts: 48,
		Body: 200, TellsStart: true, ProbePrice: 0.0025, Copies: true, MemoryMB: 256, NewsIdle: span(5 * time.Second),
		ConnIdle: span(60 * time.Second), Warm: span(23 * time.Second), Objective: span(3900 * time.Millisecond),
		Fill: span(20 * time.Second), Settle: span(5 * time.Second), Window: span(30 * time.Second)}
	for n, text := range append([][]byte{text}, lines(settings)...) {
		d := toml.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&s); err != nil {
			if n > 0 {
				file = "setting " + string(text)
			}
			return s, scenario.Explain(file, err)
		}
	}
	if len(s.Operations) == 0 {
		s.Operations = []Operation{{"render", "idempotent"}, {"sale", "deduplicated"}, {"charge", "non-idempotent"}}
	}
	var all []error
	for _, f := range s.faults() {
		f.File = file
		all = append(all, f)
	}
	return s, errors.Join(all...)
}

func lines(settings []string) (all [][]byte) {
	for _, s := range settings {
		all = append(all, []byte(s))
	}
	return all
}

const (
	mostWorkers, mostSchedulers, mostTold = 8000, 1024, 1 << 16
	mostInHand, mostStarts, mostChanges   = 8000, 2000, 1000
	mostLength                            = 10 * time.Minute
)

// faults names what no machine could play.
func (s Scenario) faults() (all []scenario.FileError) {
	fault := func(key, text string, args ...any) {
		all = append(all, scenario.FileError{Key: key, Text: fmt.Sprintf(text, args...)})
	}
	if s.Version != 1 {
		fault("version", "%d is not 1", s.Version)
	}
	for _, v := range []struct {
		key               string
		value, from, most float64
	}{{"workers", float64(s.Workers), 1, mostWorkers}, {"zones", float64(s.Zones), 1, 100}, {"slots", float64(s.Slots), 1, 10000},
		{"others", s.Others, 0, 10000}, {"schedulers", float64(s.Schedulers), 1, mostSchedulers},
		{"told", float64(s.Told), float64(s.Schedulers), mostTold}, {"in_hand", float64(s.InHand), 1, mostInHand},
		{"starts_per_second", s.Starts, 0.1, mostStarts}, {"changes_per_second", s.Changes, 0, mostChanges},
		{"body", float64(s.Body), 0, 1 << 16}, {"probe_price", s.ProbePrice, 0, 1}, {"message_price", s.TellPrice, 0, 1},
		{"sockets", float64(s.Sockets), 0, 1 << 16}, {"memory_mb", float64(s.MemoryMB), 16, 4096}, {"lost", float64(s.Lost), 0, float64(s.Workers)},
		{"lost_for", s.LostFor.D().Seconds(), 0, 600}, {"whole_every", s.Whole.D().Seconds(), 0, 600},
		{"progress", s.Progress.D().Seconds(), 0, 600}, {"news_idle", s.NewsIdle.D().Seconds(), 0, 600},
		{"connection_idle", s.ConnIdle.D().Seconds(), 0.1, 600}, {"warm", s.Warm.D().Seconds(), 0, 600},
		{"objective", s.Objective.D().Seconds(), 0.001, 600}, {"fill", s.Fill.D().Seconds(), 0.1, 600},
		{"settle", s.Settle.D().Seconds(), 0, 600}, {"window", s.Window.D().Seconds(), 0.5, 600}, {"idle", s.Idle.D().Seconds(), 0, 600}} {
		if !(v.value >= v.from && v.value <= v.most) {
			fault(v.key, "%g is not from %g to %g", v.value, v.from, v.most)
		}
	}
	for i, o := range s.Operations {
		if effects[o.Effect] == "" || o.Name == "" {
			fault(fmt.Sprintf("operations[%d]", i), "%q of the effect %q is none", o.Name, o.Effect)
		}
	}
	if s.Sweep.Key != "" {
		if len(s.Sweep.Values) == 0 {
			fault("sweep.values", "there are none")
		}
		for _, v := range s.Sweep.Values {
			if _, err := s.Step(v); err != nil {
				fault("sweep", "%v", err)
			}
		}
	}
	return all
}

// Step is the scenario of one step of the sweep.
func (s Scenario) Step(value float64) (Scenario, error) {
	key, per := s.Sweep.Key, s.Sweep.PerWorker
	switch key {
	case "":
	case "workers":
		s.Workers = int(value)
	case "in_hand":
		s.InHand = int(value)
	case "starts_per_second":
		s.Starts = value
	case "schedulers":
		s.Schedulers, s.Told = int(value), max(s.Told, int(value))
	case "told":
		s.Told = int(value)
	case "changes_per_second":
		s.Changes = value
	default:
		return s, fmt.Errorf("key: %q can't be varied", key)
	}
	if per > 0 {
		s.InHand = int(math.Round(per * float64(s.Workers)))
	}
	s.Sweep = Sweep{}
	all := s.faults()
	if len(all) > 0 {
		return s, fmt.Errorf("%s = %g: %s: %s", key, value, all[0].Key, all[0].Text)
	}
	return s, nil
}

// Length is how long a step lasts, but for starting and stopping its processes.
func (s Scenario) Length() time.Duration {
	return s.Idle.D() + s.Fill.D() + s.Settle.D() + s.Window.D()
}

// run is how long work runs, on the mean: what is in hand and how much of it starts leave no choice.
func (s Scenario) run() time.Duration {
	return time.Duration(float64(s.InHand) / s.Starts * float64(time.Second))
}

// timeout is far beyond any run: none ends but by its worker.
func (s Scenario) timeout() time.Duration { return time.Minute + 20*s.run() }

// spares is how many workers must stand ready to replace others: each is used again, but not at once.
func (s Scenario) spares() int {
	if s.Changes == 0 {
		return 0
	}
	return max(8, min(int(s.Changes*10), 2000))
}

// sockets is what a scheduler is allowed: half of it is the most that it takes in hand.
func (s Scenario) sockets() int {
	if s.Sockets > 0 {
		return s.Sockets
	}
	return max(1024, int(2.3*float64(s.InHand))+200)
}

var effects = map[string]string{"idempotent": "read_like", "deduplicated": "idempotency_key", "non-idempotent": "non_idempotent"}

// settings are what one scheduler is told of the deployment.
func (s Scenario) settings(number int) json.RawMessage {
	type object = map[string]any
	var operations []object
	var stretch []float64
	for _, o := range s.Operations {
		operations = append(operations, object{"Name": o.Name, "Effect": effects[o.Effect], "DedupScope": "all", "DedupWindow": 60,
			"BilledValue": 1, "LatencyObjective": s.Objective.D().Seconds(), "ClientTimeout": s.timeout().Seconds()})
		stretch = append(stretch, 2)
	}
	var zones []string
	for n := range s.Zones {
		zones = append(zones, fmt.Sprint("z", n))
	}
	text, err := json.Marshal(object{
		"Discovery": "ask", "PeersTotal": s.Told, "MyNumber": number, "MyZone": number % s.Zones, "Dcs": zones, "Kinds": []string{"a"},
		"Operations": operations, "Tenants": []object{}, "BilledValueBy": "work", "WeightKind": "none",
		"FamilyInfo": object{"ClassStretch": stretch, "Progress": s.Progress.D().Seconds(), "ReportX0": "free slots", "TellsStart": s.TellsStart},
		"Limits": object{"Cancel": true, "Probes": true, "RetryAfter": true, "MaxRetryAfter": 2, "SecondCopies": s.Copies,
			"MostForwards": 4, "ConnIdle": s.ConnIdle.D().Seconds(), "ConnectTimeout": 0.25, "Peers": s.Messages},
		"Prices": object{"Probe": s.ProbePrice, "Peer": s.TellPrice},
		"Report": object{"How": "probe", "Names": []string{"waiting", "avg_ms", "x0"}},
		"Rules":  object{"AskWithin": 10, "ColdFrom": 0.13, "Fall": 1, "FallMultiple": 2.5, "StopSendingWithin": 0.5, "WarmAfter": s.Warm.D().Seconds()},
	})
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return text
}
