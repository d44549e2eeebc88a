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
	soakSeedCount           = flag.Int("soak.seeds", 2, "number of seeds of TestSoak")
	soakFirstSeed           = flag.Int64("soak.first", 1, "first seed of TestSoak")
	soakSchedulers          = flag.Int("soak.schedulers", 8, "number of schedulers, and of workers, in a run of TestSoak")
	soakClientsPerScheduler = flag.Int("soak.clients", 3, "number of clients of each scheduler")
	soakFaultDuration       = flag.Duration("soak.span", 6*time.Second, "time in which new faults are started")
	soakFaults              = flag.String("soak.only", "", "comma-separated names of the faults to inject; empty: all")
	soakLogDir              = flag.String("soak.keep", "", "directory in which the logs are kept; empty: a temporary one")
)

// soakProgram builds the program with fault injection and returns its path.
func soakProgram(t *testing.T, dir string) string {
	t.Helper()
	path := filepath.Join(dir, "stoatweir-soak")
	if text, err := exec.Command("go", "build", "-tags", "soak", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("the program was not built: %v: %s", err, text)
	}
	return path
}

// TestSoak runs real processes under overlapping faults and checks what their peers observe for
// violations. The same seed selects the same faults, but their exact timing depends on the machine.
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
			Clients: *soakClientsPerScheduler, FaultDuration: *soakFaultDuration}
		if *soakFaults != "" {
			config.Only = strings.Split(*soakFaults, ",")
		}
		result, err := soak.Run(context.Background(), config)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d attempts, %d client disconnects, ready within %v, answers %v, logs in %s", seed, result.Attempts,
			result.Disconnects, result.Ready, result.Outcomes, logs)
		for _, fault := range result.Faults {
			t.Logf("%8v %s: %s", fault.At, fault.Name, fault.Targets)
		}
		if result.Outcomes["200"] == 0 || result.Attempts == 0 {
			t.Errorf("seed %d: no request was served", seed)
		}
		for _, violation := range result.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}
