package scale

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// A step that a machine can't carry is rejected with the key and the figures, and a malformed file with
// the key and the line.
func Example_rejected() {
	m := Machine{Descriptors: 20000, MemoryBytes: 24 << 30, Processes: 300, EphemeralPorts: 28000}
	for _, change := range []string{"in_hand = 8000\nsockets = 30000", "workers = 8000\nschedulers = 15\nin_hand = 500",
		"schedulers = 30\nin_hand = 900\nworkers = 60",
		"starts_per_second = 500.0", "window = \"10m\"", "workers = 3800\nin_hand = 5900"} {
		s, err := Parse("a.toml", []byte("version = 1\nname = \"a\"\ntold = 60\n"+change))
		if err == nil {
			err = s.Fits(m)
		}
		fmt.Println(err)
	}
	m.Processes, m.MemoryBytes = 10, 2<<30
	for _, schedulers := range []int{8, 4} {
		s, _ := Parse("a.toml", fmt.Appendf(nil, "version = 1\nname = \"a\"\nschedulers = %d", schedulers))
		fmt.Println(s.Fits(m))
	}
	for _, text := range []string{"version = 2", "version = 1\nworkres = 5", "version = 1\nworkers = 0\nfill = \"soon\"",
		"version = 1\nworkers = 0\nstarts_per_second = nan",
		"version = 1\n[sweep]\nkey = \"colour\"\nvalues = [1.0]", "version = 1\n[sweep]\nkey = \"workers\"",
		"version = 1\n[sweep]\nkey = \"workers\"\nvalues = [1e9]",
		"version = 1\n[[operations]]\nname = \"a\"\neffect = \"odd\""} {
		_, err := Parse("b.toml", []byte(text))
		fmt.Println(err)
	}
	// Output:
	// a: in_hand: 8000 need 30064 descriptors of a scheduler, there are 20000
	// a: workers: 8000 workers with 15 schedulers need 22869 descriptors of one process, there are 20000
	// a: workers: 60 workers with 30 schedulers need 23104 descriptors of one process, there are 20000
	// a: starts_per_second: 500 need 60443 ports towards one address, there are 28000
	// a: window: with all before it a step lasts 10m25s, 10m0s is allowed
	// <nil>
	// a: schedulers: 8 need 11 processes, 10 are allowed
	// a: memory_mb: 256 for each of 4 schedulers, with what stands beside them, makes 1592 MB; half of this machine's memory is 1024 MB
	// b.toml: version: 2 is not 1
	// b.toml:2: workres: no such key
	// b.toml:3: fill: time: invalid duration "soon"
	// b.toml: workers: 0 is not from 1 to 8000
	// b.toml: starts_per_second: NaN is not from 0.1 to 2000
	// b.toml: sweep: key: "colour" can't be varied
	// b.toml: sweep.values: there are none
	// b.toml: sweep: workers = 1e+09: workers: 1e+09 is not from 1 to 8000
	// b.toml: operations[0]: "a" of the effect "odd" is none
}

// An override replaces the value in the file, and one with an unknown key is rejected by name.
func TestOverrideReplacesValueOfFile(t *testing.T) {
	s, err := Parse("a.toml", []byte("version = 1\nworkers = 60"), "workers = 240", "memory_mb = 512")
	if err != nil || s.Workers != 240 || s.MemoryMB != 512 {
		t.Errorf("got scenario %+v and error %v, want 240 workers, 512 MB and no error", s, err)
	}
	if _, err = Parse("a.toml", []byte("version = 1"), "colour = 1"); err == nil || !strings.Contains(err.Error(), "colour") {
		t.Error(err)
	}
}

// Every step of the shipped scenarios fits a machine that allows a process 20000 descriptors.
func TestShippedScenariosFit(t *testing.T) {
	files, _ := filepath.Glob("../../../deploy/lab/scale/*.toml")
	if len(files) < 10 {
		t.Fatalf("got scenario files %q, want at least 10", files)
	}
	for _, file := range files {
		s, err := ReadScenario(file)
		if err != nil {
			t.Error(err)
			continue
		}
		values := s.Sweep.Values
		if s.Sweep.Key == "" {
			values = []float64{0}
		}
		for _, value := range values {
			step, err := s.Step(value)
			if err == nil {
				err = step.Fits(Machine{Descriptors: 20000, MemoryBytes: 24 << 30, Processes: maxProcesses, EphemeralPorts: 28000})
			}
			if err != nil {
				t.Errorf("%s: step %v: got error %v, want a step that fits the machine", file, value, err)
			}
		}
	}
}
