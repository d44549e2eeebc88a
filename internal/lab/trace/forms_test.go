package trace

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"stoatweir/internal/golden"
)

// Counts that have met each kind of odd row are the same to the byte.
func TestGoldenCounts(t *testing.T) {
	c := golden.Filled[Counts](t)
	for k := range anomalyCount {
		c.Anomalies[k], c.Lines[k] = int(k)+100, []int{int(k) + 200, int(k) + 300}
	}
	text, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	type odd struct {
		Count int   `json:"rows"`
		Lines []int `json:"first_lines"`
	}
	var got struct {
		Rows  int            `json:"rows"`
		Used  int            `json:"used"`
		Odd   map[string]odd `json:"odd"`
		Ended string         `json:"ended"`
	}
	if err := json.Unmarshal(golden.Compare(t, "counts.json", text), &got); err != nil {
		t.Fatal(err)
	}
	wanted := map[string]odd{}
	for k := range anomalyCount {
		wanted[k.String()] = odd{c.Anomalies[k], c.Lines[k]}
	}
	if got.Rows != c.Rows || got.Used != c.Used || got.Ended != c.Ended {
		t.Error(got, c)
	}
	if diff := cmp.Diff(wanted, got.Odd); diff != "" {
		t.Error(diff)
	}
}

// A mapping keeps its keys, in lower case as files have them and in any other.
func TestGoldenMapping(t *testing.T) {
	m := golden.Filled[Mapping](t)
	text, err := toml.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	recorded := golden.Compare(t, "mapping.toml", text)
	for _, spelt := range []string{string(recorded), keys(recorded, strings.ToLower), keys(recorded, strings.ToUpper)} {
		var got Mapping
		if err := toml.NewDecoder(strings.NewReader(spelt)).DisallowUnknownFields().Decode(&got); err != nil {
			t.Fatal(err, spelt)
		}
		if diff := cmp.Diff(m, got); diff != "" {
			t.Error(diff)
		}
	}
}

// keys spells the keys of a text otherwise, but for quoted ones, which are values of a map.
func keys(text []byte, spell func(string) string) string {
	var all strings.Builder
	for line := range strings.Lines(string(text)) {
		key, value, pair := strings.Cut(line, "=")
		switch {
		case strings.HasPrefix(line, "'"):
		case pair:
			line = spell(key) + "=" + value
		default:
			line = spell(line)
		}
		all.WriteString(line)
	}
	return all.String()
}
