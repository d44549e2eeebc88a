package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runLab runs a lab command and returns its standard output and exit code.
func runLab(t *testing.T, args ...string) (out string, status int) {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = file
	status = execute(append([]string{"lab"}, args...))
	os.Stdout = stdout
	file.Close()
	text, _ := os.ReadFile(file.Name())
	return string(text), status
}

const labDir = "../../deploy/lab/"

// The lab commands do what README and the operators' page describe: run a scenario, compare
// settings, work with traces, and reject invalid files and flags.
func TestLabCommands(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	text, err := os.ReadFile(labDir + "calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	short := strings.Replace(string(text), `length = "40s"`, `length = "5s"`, 1)
	os.WriteFile(path("short.toml"), []byte(short), 0o600)
	os.WriteFile(path("fewer.toml"), []byte(strings.Replace(short, "count = 6", "count = 2", 2)), 0o600)
	os.WriteFile(path("wrong.toml"), []byte(strings.Replace(short, "slots = 4", "slots = 0.5", 1)), 0o600)

	if out, status := runLab(t, "run", path("short.toml"), "--json", path("r.json"), "--plot", path("p.svg")); status != 0 ||
		!strings.Contains(out, "no rule broken") {
		t.Errorf("got exit code %d, want 0, and %q in the output:\n%s", status, "no rule broken", out)
	}
	var r struct {
		Service float64
		All     struct {
			Offered int
			Value   float64 `json:"value_offered"`
			Served  float64 `json:"value_served"`
		}
	}
	if text, _ := os.ReadFile(path("r.json")); json.Unmarshal(text, &r) != nil || r.All.Offered < 100 || r.All.Served > r.All.Value ||
		r.Service < 0.9 {
		t.Errorf("got %+v, want valid JSON with 100 or more offered, no more value served than offered, service 0.9 or more", r)
	}
	if text, _ := os.ReadFile(path("p.svg")); !strings.HasPrefix(string(text), "<svg") {
		t.Errorf("the plot is not an SVG file: %.80q", text)
	}
	// With a third of the workers and the load that suits all of them, the results are worse, and
	// the comparison shows it.
	os.WriteFile(path("short2.toml"), []byte(strings.Replace(short, "of = 0.6", "rate = 99.0", 1)), 0o600)
	os.WriteFile(path("fewer2.toml"), []byte(strings.Replace(strings.Replace(short, "count = 6", "count = 2", 2), "of = 0.6",
		"rate = 99.0", 1)), 0o600)
	out, status := runLab(t, "compare", path("short2.toml"), "--against", path("fewer2.toml"), "--seeds", "4")
	if status != 0 || !strings.Contains(out, "a is better") {
		t.Errorf("got exit code %d, want 0, and %q in the output:\n%s", status, "a is better", out)
	}
	if out, status := runLab(t, "compare", path("short.toml"), "--b", "module", "--seeds", "2"); status != 0 ||
		strings.Contains(out, "is better") ||
		!strings.Contains(out, "no difference shown") {
		t.Errorf("got exit code %d, want 0, and %q without %q in the output:\n%s", status, "no difference shown", "is better", out)
	}
	if out, status := runLab(t, "trace", "generate", path("t.csv"), "--rows", "500", "--rate", "100", "--odd", "50"); status != 0 {
		t.Errorf("got exit code %d, want 0; output:\n%s", status, out)
	}
	mapping := labDir + "trace-mapping.toml"
	if out, status := runLab(t, "trace", "check", labDir+"trace.toml", "--trace", path("t.csv"), "--mapping", mapping); status != 0 ||
		!strings.Contains(out, `"rows":500`) {
		t.Errorf("got exit code %d, want 0, and %q in the output:\n%s", status, `"rows":500`, out)
	}
	first, _ := runLab(t, "run", labDir+"trace.toml", "--trace", path("t.csv"), "--mapping", mapping)
	if again, _ := runLab(t, "run", labDir+"trace.toml", "--trace", path("t.csv"), "--mapping", mapping); first != again ||
		!strings.Contains(first, `"used":`) {
		t.Errorf("want the same output of both runs, with %q, got:\n%s\nand:\n%s", `"used":`, first, again)
	}
	for _, args := range [][]string{{"check", path("wrong.toml")}, {"run", path("nowhere.toml")},
		{"run", path("short.toml"), "--mode", "real"},
		{"compare", path("short.toml")}, {"load", path("short.toml"), "--to", "10.0.0.1:80"}, {"run", path("short.toml"), "--decider",
			"/bin/false"}} {
		if out, status := runLab(t, args...); status != 2 {
			t.Errorf("%q: got exit code %d, want 2; output:\n%s", args, status, out)
		}
	}
}
