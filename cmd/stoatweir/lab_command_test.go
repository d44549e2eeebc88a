package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// lab runs a command line of the laboratory.
func lab(t *testing.T, args ...string) (out string, status int) {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	kept := os.Stdout
	os.Stdout = file
	status = execute(append([]string{"lab"}, args...))
	os.Stdout = kept
	file.Close()
	text, _ := os.ReadFile(file.Name())
	return string(text), status
}

const labFiles = "../../deploy/lab/"

// What README and the operators' page promise of the command line: a day, a comparison of settings, a trace, and what is
// wrong with a file.
func TestLabCommands(t *testing.T) {
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	text, err := os.ReadFile(labFiles + "calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	short := strings.Replace(string(text), `length = "40s"`, `length = "5s"`, 1)
	os.WriteFile(at("short.toml"), []byte(short), 0o600)
	os.WriteFile(at("fewer.toml"), []byte(strings.Replace(short, "count = 6", "count = 2", 2)), 0o600)
	os.WriteFile(at("wrong.toml"), []byte(strings.Replace(short, "slots = 4", "slots = 0.5", 1)), 0o600)

	if out, status := lab(t, "run", at("short.toml"), "--json", at("r.json"), "--plot", at("p.svg")); status != 0 || !strings.Contains(out, "no rule broken") {
		t.Error(status, out)
	}
	var r struct {
		Service float64
		All     struct {
			Offered int
			Value   float64 `json:"value_offered"`
			Served  float64 `json:"value_served"`
		}
	}
	if text, _ := os.ReadFile(at("r.json")); json.Unmarshal(text, &r) != nil || r.All.Offered < 100 || r.All.Served > r.All.Value || r.Service < 0.9 {
		t.Errorf("%+v", r)
	}
	if text, _ := os.ReadFile(at("p.svg")); !strings.HasPrefix(string(text), "<svg") {
		t.Errorf("%.80q is no plot", text)
	}
	// A third of the workers, under the load that all can bear: worse, and shown so.
	os.WriteFile(at("short2.toml"), []byte(strings.Replace(short, "of = 0.6", "rate = 99.0", 1)), 0o600)
	os.WriteFile(at("fewer2.toml"), []byte(strings.Replace(strings.Replace(short, "count = 6", "count = 2", 2), "of = 0.6", "rate = 99.0", 1)), 0o600)
	out, status := lab(t, "compare", at("short2.toml"), "--against", at("fewer2.toml"), "--seeds", "4")
	if status != 0 || !strings.Contains(out, "a is better") {
		t.Error(status, out)
	}
	if out, status := lab(t, "compare", at("short.toml"), "--b", "module", "--seeds", "2"); status != 0 || strings.Contains(out, "is better") ||
		!strings.Contains(out, "no difference shown") {
		t.Error(status, out)
	}
	if out, status := lab(t, "trace", "generate", at("t.csv"), "--rows", "500", "--rate", "100", "--odd", "50"); status != 0 {
		t.Error(status, out)
	}
	mapping := labFiles + "trace-mapping.toml"
	if out, status := lab(t, "trace", "check", labFiles+"trace.toml", "--trace", at("t.csv"), "--mapping", mapping); status != 0 || !strings.Contains(out, `"rows":500`) {
		t.Error(status, out)
	}
	first, _ := lab(t, "run", labFiles+"trace.toml", "--trace", at("t.csv"), "--mapping", mapping)
	if again, _ := lab(t, "run", labFiles+"trace.toml", "--trace", at("t.csv"), "--mapping", mapping); first != again || !strings.Contains(first, `"used":`) {
		t.Error(first, again)
	}
	for _, args := range [][]string{{"check", at("wrong.toml")}, {"run", at("nowhere.toml")}, {"run", at("short.toml"), "--mode", "real"},
		{"compare", at("short.toml")}, {"load", at("short.toml"), "--to", "10.0.0.1:80"}, {"run", at("short.toml"), "--decider", "/bin/false"}} {
		if out, status := lab(t, args...); status != 2 {
			t.Error(args, status, out)
		}
	}
}
