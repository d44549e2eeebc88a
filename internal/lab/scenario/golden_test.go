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

// TestGoldenScenario checks that a scenario keeps the names of its keys, and that keys are read in
// any case.
func TestGoldenScenario(t *testing.T) {
	s := golden.Filled[Scenario](t)
	text, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	recorded := golden.Compare(t, "scenario.toml", text)
	for _, respelled := range []string{string(recorded), respellKeys(recorded, strings.ToLower), respellKeys(recorded, strings.ToUpper)} {
		var got Scenario
		if err := toml.NewDecoder(strings.NewReader(respelled)).DisallowUnknownFields().Decode(&got); err != nil {
			t.Fatalf("got error %v, want none for the scenario\n%s", err, respelled)
		}
		if diff := cmp.Diff(s, got); diff != "" {
			t.Errorf("decoded scenario (-want +got):\n%s", diff)
		}
	}
}

// respellKeys applies transform to the keys and table headers of a TOML text.
func respellKeys(text []byte, transform func(string) string) string {
	var all strings.Builder
	for line := range strings.Lines(string(text)) {
		if key, value, found := strings.Cut(line, "="); found {
			line = transform(key) + "=" + value
		} else {
			line = transform(line)
		}
		all.WriteString(line)
	}
	return all.String()
}

// fullScenario returns a scenario that sets every value that a scheduler's settings can contain.
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

// TestGoldenSettings checks that the settings of schedulers are those recorded: of two schedulers,
// of one with hosted tenants, and of one without ReportedCount.
func TestGoldenSettings(t *testing.T) {
	plain := fullScenario(t)
	hosted, defaultCount := fullScenario(t), fullScenario(t)
	hosted.Hosted.Capacity, defaultCount.Schedulers.ReportedCount = 4, 0
	var text bytes.Buffer
	for _, settings := range [][]byte{plain.Settings(0), plain.Settings(1), hosted.Settings(1), defaultCount.Settings(1)} {
		if err := json.Indent(&text, settings, "", "  "); err != nil {
			t.Fatal(err)
		}
		text.WriteByte('\n')
	}
	d := json.NewDecoder(bytes.NewReader(golden.Compare(t, "told.json", text.Bytes())))
	for _, settings := range [][]byte{plain.Settings(0), plain.Settings(1), hosted.Settings(1), defaultCount.Settings(1)} {
		var want, got any
		if err := json.Unmarshal(settings, &want); err != nil {
			t.Fatal(err)
		}
		if err := d.Decode(&got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("recorded settings (-want +got):\n%s", diff)
		}
	}
}
