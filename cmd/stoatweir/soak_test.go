package main

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stoatweir/internal/lab/soak"
)

var (
	soakSeedCount           = flag.Int("soak.seeds", 2, "seeds of TestSoak")
	soakFirstSeed           = flag.Int64("soak.first", 1, "the first of them")
	soakSchedulers          = flag.Int("soak.schedulers", 8, "processes of a play of TestSoak")
	soakClientsPerScheduler = flag.Int("soak.clients", 3, "clients of each")
	soakFaultDuration       = flag.Duration("soak.span", 6*time.Second, "for how long troubles begin")
	soakFaults              = flag.String("soak.only", "", "troubles that may be played, with commas between; empty: all")
	soakLogDir              = flag.String("soak.keep", "", "a folder for the logs; empty: they go unless a rule is broken")
)

// soakProgram builds the program with the soak's fault injection.
func soakProgram(t *testing.T, dir string) string {
	t.Helper()
	path := filepath.Join(dir, "stoatweir-soak")
	if text, err := exec.Command("go", "build", "-tags", "soak", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return path
}

// TestSoak plays real processes while troubles overlap, and holds what their peers see against the rules. The same seed draws the same
// troubles; what meets what in the end is the machine's doing.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	program := soakProgram(t, dir)
	for n := range int64(*soakSeedCount) {
		seed := *soakFirstSeed + n
		logDir := *soakLogDir
		if logDir == "" {
			logDir = dir
		}
		logs, err := os.MkdirTemp(logDir, "soak")
		if err != nil {
			t.Fatal(err)
		}
		config := soak.Config{Program: program, Dir: logs, Seed: seed, Schedulers: *soakSchedulers, Workers: *soakSchedulers,
			Clients: *soakClientsPerScheduler, Span: *soakFaultDuration}
		if *soakFaults != "" {
			config.Only = strings.Split(*soakFaults, ",")
		}
		result, err := soak.Run(context.Background(), config)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d attempts, %d clients left, ready within %v, answers %v, logs in %s", seed, result.Attempts,
			result.Disconnects, result.Ready, result.Answers, logs)
		for _, fault := range result.Faults {
			t.Logf("%8v %s: %s", fault.At, fault.Name, fault.On)
		}
		if result.Answers["200"] == 0 || result.Attempts == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
		for _, violation := range result.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}
