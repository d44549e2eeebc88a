package scenario

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"stoatweir/internal/golden"
)

// A scenario keeps its keys, in lower case as files have them and in any other.
func TestGoldenScenario(t *testing.T) {
	s := golden.Filled[Scenario](t)
	text, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	recorded := golden.Compare(t, "scenario.toml", text)
	for _, spelt := range []string{string(recorded), keys(recorded, strings.ToLower), keys(recorded, strings.ToUpper)} {
		var got Scenario
		if err := toml.NewDecoder(strings.NewReader(spelt)).DisallowUnknownFields().Decode(&got); err != nil {
			t.Fatal(err, spelt)
		}
		if diff := cmp.Diff(s, got); diff != "" {
			t.Error(diff)
		}
	}
}

// keys spells the keys of a text otherwise.
func keys(text []byte, spell func(string) string) string {
	var all strings.Builder
	for line := range strings.Lines(string(text)) {
		if key, value, pair := strings.Cut(line, "="); pair {
			line = spell(key) + "=" + value
		} else {
			line = spell(line)
		}
		all.WriteString(line)
	}
	return all.String()
}

// fullScenario has a value for everything that settings can hold.
func fullScenario(t *testing.T) Scenario {
	t.Helper()
	s := golden.Filled[Scenario](t)
	s.Hosted.Capacity = 0
	s.LoadReports.Fields = []string{"free_slots", "waiting", "active", "service_ms"}
	s.Operations = append(s.Operations, s.Operations[0])
	for i, effect := range []string{"idempotent", "deduplicated", "non-idempotent"} {
		s.Operations[i].Effect = effect
	}
	for i := range s.Workers {
		s.Workers[i].ColdFrom, s.Workers[i].WarmUp = 0.25+float64(i)/8, Span(time.Duration(i+1)*time.Second)
	}
	return s
}

// The settings of a scheduler are the same to the byte; its number, and what hosting leaves out, show in them.
func TestGoldenSettings(t *testing.T) {
	plain := fullScenario(t)
	hosted, counted := fullScenario(t), fullScenario(t)
	hosted.Hosted.Capacity, counted.Schedulers.ReportedCount = 4, 0
	var text bytes.Buffer
	for _, settings := range [][]byte{plain.Settings(0), plain.Settings(1), hosted.Settings(1), counted.Settings(1)} {
		if err := json.Indent(&text, settings, "", "  "); err != nil {
			t.Fatal(err)
		}
		text.WriteByte('\n')
	}
	d := json.NewDecoder(bytes.NewReader(golden.Compare(t, "told.json", text.Bytes())))
	for _, settings := range [][]byte{plain.Settings(0), plain.Settings(1), hosted.Settings(1), counted.Settings(1)} {
		var wanted, got any
		if err := json.Unmarshal(settings, &wanted); err != nil {
			t.Fatal(err)
		}
		if err := d.Decode(&got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(wanted, got); diff != "" {
			t.Error(diff)
		}
	}
}
