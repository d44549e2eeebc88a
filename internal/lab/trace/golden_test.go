package trace

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"stoatweir/internal/golden"
)

// The JSON of Counts with every kind of anomaly equals the golden file byte for byte.
func TestGoldenCounts(t *testing.T) {
	counts := golden.Filled[Counts](t)
	for anomaly := range anomalyCount {
		counts.Anomalies[anomaly], counts.FirstLines[anomaly] = int(anomaly)+100, []int{int(anomaly) + 200, int(anomaly) + 300}
	}
	encoded, err := json.MarshalIndent(counts, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	type anomalyRows struct {
		Count      int   `json:"rows"`
		FirstLines []int `json:"first_lines"`
	}
	var got struct {
		Rows      int                    `json:"rows"`
		Used      int                    `json:"used"`
		Anomalies map[string]anomalyRows `json:"odd"`
		Ended     string                 `json:"ended"`
	}
	if err := json.Unmarshal(golden.Compare(t, "counts.json", encoded), &got); err != nil {
		t.Fatal(err)
	}
	wanted := map[string]anomalyRows{}
	for anomaly := range anomalyCount {
		wanted[anomaly.String()] = anomalyRows{counts.Anomalies[anomaly], counts.FirstLines[anomaly]}
	}
	if got.Rows != counts.Rows || got.Used != counts.Used || got.Ended != counts.StopReason {
		t.Errorf("got recorded counts %+v, want the rows, used rows and end of %+v", got, counts)
	}
	if diff := cmp.Diff(wanted, got.Anomalies); diff != "" {
		t.Errorf("recorded anomalies (-want +got):\n%s", diff)
	}
}

// The keys of a mapping equal those of the golden file. They are read in any letter case; mapping files
// have them in lower case.
func TestGoldenMapping(t *testing.T) {
	m := golden.Filled[Mapping](t)
	encoded, err := toml.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	recorded := golden.Compare(t, "mapping.toml", encoded)
	for _, spelling := range []string{string(recorded), respellKeys(recorded, strings.ToLower), respellKeys(recorded, strings.ToUpper)} {
		var got Mapping
		if err := toml.NewDecoder(strings.NewReader(spelling)).DisallowUnknownFields().Decode(&got); err != nil {
			t.Fatalf("got error %v, want none for the mapping\n%s", err, spelling)
		}
		if diff := cmp.Diff(m, got); diff != "" {
			t.Errorf("decoded mapping (-want +got):\n%s", diff)
		}
	}
}

// respellKeys applies spell to the keys of a TOML document, except to quoted keys, which are data of a map.
func respellKeys(encoded []byte, spell func(string) string) string {
	var respelled strings.Builder
	for line := range strings.Lines(string(encoded)) {
		key, value, pair := strings.Cut(line, "=")
		switch {
		case strings.HasPrefix(line, "'"):
		case pair:
			line = spell(key) + "=" + value
		default:
			line = spell(line)
		}
		respelled.WriteString(line)
	}
	return respelled.String()
}
