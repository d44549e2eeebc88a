package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"stoatweir/internal/golden"
)

// jsonLine encodes a value in the form in which processes exchange it.
func jsonLine(t *testing.T, v any) []byte {
	t.Helper()
	var text bytes.Buffer
	if err := json.NewEncoder(&text).Encode(v); err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

// checkDecoded checks that a recorded text decodes to the value that it was written from.
func checkDecoded[T any](t *testing.T, recorded []byte, want T) {
	t.Helper()
	var got T
	if err := json.Unmarshal(recorded, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded value (-want +got):\n%s", diff)
	}
}

// The messages between a rig and its hollow processes, with every field set, equal the recorded ones
// byte for byte.
func TestGoldenOrders(t *testing.T) {
	config := golden.Filled[HollowConfig](t)
	order := golden.Filled[Order](t)
	stats := golden.Filled[Stats](t)
	checkDecoded(t, golden.Compare(t, "part.json", jsonLine(t, config)), config)
	checkDecoded(t, golden.Compare(t, "order.json", jsonLine(t, order)), order)
	checkDecoded(t, golden.Compare(t, "stats.json", jsonLine(t, stats)), stats)
}

// A hollow process answers recorded input with the recorded output.
func TestGoldenExchange(t *testing.T) {
	config := HollowConfig{Role: ClientsRole, SchedulerAddrs: []string{"127.0.0.1:1"}, ListenHost: "127.0.0.1"}
	in := append(jsonLine(t, config), jsonLine(t, Order{Action: "stats"})...)
	var out bytes.Buffer
	if err := RunEmulator(context.Background(), bytes.NewReader(golden.Compare(t, "exchange_in.json", in)), &out); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "exchange_out.json", out.Bytes())
}

// The report of a sweep equals the recorded one byte for byte, and reading the recorded file restores
// every field.
func TestGoldenReport(t *testing.T) {
	r := golden.Filled[Report](t)
	var text bytes.Buffer
	if err := r.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report.json", text.Bytes())
	got, err := ReadReport(filepath.Join("testdata", "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r, got); diff != "" {
		t.Errorf("decoded report (-want +got):\n%s", diff)
	}
}

// The counters of a scheduler are decoded from their recorded keys, also if those keys are written in
// lower case.
func TestGoldenCounts(t *testing.T) {
	c := golden.Filled[schedulerCounts](t)
	checkDecoded(t, golden.Compare(t, "counts.json", jsonLine(t, c)), c)
	text, err := os.ReadFile("testdata/counts.json")
	if err != nil {
		t.Fatal(err)
	}
	// Only the names of fields are changed: keys of maps are data.
	lowerCaseKeys := strings.NewReplacer("Workers", "workers", "Sent", "sent", "Probes", "probes", "Cancels", "cancels", "News", "news",
		"Strange", "strange", "Dialled", "dialled", "Panics", "panics", "Sockets", "sockets", "Watches", "watches").Replace(string(text))
	checkDecoded(t, []byte(lowerCaseKeys), c)
}

// A scenario file is written with the recorded keys, and reading the recorded file restores every
// field.
func TestGoldenScenario(t *testing.T) {
	s := golden.Filled[Scenario](t)
	text, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var got Scenario
	d := toml.NewDecoder(bytes.NewReader(golden.Compare(t, "scenario.toml", text))).DisallowUnknownFields()
	if err := d.Decode(&got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, got); diff != "" {
		t.Errorf("decoded scenario (-want +got):\n%s", diff)
	}
}

// The settings of a scheduler equal the recorded ones.
func TestGoldenSettings(t *testing.T) {
	s := golden.Filled[Scenario](t)
	s.Operations = []Operation{
		{Name: "render", Effect: "idempotent"},
		{Name: "sale", Effect: "deduplicated"},
		{Name: "charge", Effect: "non-idempotent"},
	}
	var text bytes.Buffer
	if err := json.Indent(&text, s.settings(2), "", "  "); err != nil {
		t.Fatal(err)
	}
	var want, got any
	if err := json.Unmarshal(s.settings(2), &want); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Compare(t, "settings.json", text.Bytes()), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("recorded settings (-want +got):\n%s", diff)
	}
}
