package loopback

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stoatweir/internal/lab/load"
	"stoatweir/internal/lab/scenario"
)

// buildProgram builds the service's program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "stoatweir")
	if text, err := exec.Command("go", "build", "-o", program, "stoatweir/cmd/stoatweir").CombinedOutput(); err != nil {
		t.Fatalf("got error %v, want a program that builds; output:\n%s", err, string(text))
	}
	return program
}

// smallScenario has two schedulers, four workers and a load of four seconds.
const smallScenario = `
version = 1
name = "small"
length = "4s"
zones = ["a", "b"]
[schedulers]
count = 2
restarts = "300ms"
notice = "100ms"
[list]
notice = "300ms"
[load]
rate = 40.0
[clients]
retries = 2
[[workers]]
count = 4
slots = 4
[[operations]]
name = "render"
work = "30ms"
cv = 0.5
objective = "1s"
timeout = "4s"
[[operations]]
name = "payment"
share = 0.3
work = "30ms"
objective = "1s"
timeout = "4s"
effect = "non-idempotent"
`

// While real schedulers are killed, a worker dies, another one is replaced and connections are refused,
// each invocation ends once and no rule is violated. Afterwards no process, open port or file is left.
func TestRulesHoldUnderFaults(t *testing.T) {
	program := buildProgram(t)
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	s, err := scenario.Parse("small.toml", []byte(smallScenario+`
[[troubles]]
kind = "killed"
at = "1s"
share = 0.5
[[troubles]]
kind = "restart"
at = "2s"
share = 0.25
delay = "500ms"
[[troubles]]
kind = "replace"
at = "1500ms"
for = "1s"
share = 0.25
delay = "2s"
[[troubles]]
kind = "refused"
at = "2s"
for = "1s"
share = 0.3
`))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), s, nil, program)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	r.Text(&text)
	if a := r.All; r.ViolationCount() > 0 || a.InTime+a.Late+a.Throttled+a.Errored+a.Unanswered != a.Offered || a.InTime < a.Offered/2 {
		t.Errorf("want no violations, outcomes that add up to the number offered and at least half in time, got report\n%s", text.String())
	}
	checkNothingLeft(t, program, tmp)
}

// checkNothingLeft fails if processes of the program, listeners at the run's addresses, or files in
// tmp are left after two seconds.
func checkNothingLeft(t *testing.T, program, tmp string) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		var leftovers []string
		executables, _ := filepath.Glob("/proc/[0-9]*/exe")
		for _, exe := range executables {
			if target, err := os.Readlink(exe); err == nil && strings.HasPrefix(target, program) {
				leftovers = append(leftovers, exe)
			}
		}
		// Listeners at one of this process's addresses. The kernel prints addresses in hexadecimal,
		// with the bytes in reverse order.
		text, _ := os.ReadFile("/proc/net/tcp")
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			for _, baseOctet := range []int{schedulerOctet, otherOctet} {
				ip := net.ParseIP(loopbackHost(baseOctet)).To4()
				if len(fields) > 3 && fields[3] == "0A" && strings.HasPrefix(fields[1], fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])) {
					leftovers = append(leftovers, "port "+fields[1])
				}
			}
		}
		files, _ := filepath.Glob(filepath.Join(tmp, "*"))
		leftovers = append(leftovers, files...)
		if len(leftovers) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Error("processes, listeners or files are left after the run:", leftovers)
			return
		}
	}
}

// A cancelled run leaves no process, open port or file.
func TestCancelledRunLeavesNothing(t *testing.T) {
	program := buildProgram(t)
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	s, err := scenario.Parse("small.toml", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := Run(ctx, s, nil, program); err == nil {
		t.Error("no error from a run of 4 s that was cancelled after 1.5 s")
	}
	checkNothingLeft(t, program, tmp)
}

// A program that never becomes ready is an error, which shows the end of its log.
func TestErrorWhenNeverReady(t *testing.T) {
	s, err := scenario.Parse("small.toml", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := Run(ctx, s, nil, "/bin/false"); err == nil || !strings.Contains(err.Error(), "not ready") {
		t.Error(err)
	}
}

// A program that doesn't exist is an error, also in a scenario of many schedulers.
func TestErrorForMissingProgram(t *testing.T) {
	s, err := scenario.Parse("small.toml", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	s.Schedulers.Count = 1000
	if _, err := Run(context.Background(), s, nil, missingProgram); err == nil {
		t.Error("no error though the program doesn't exist")
	}
}

// missingProgram is the path of a program that doesn't exist.
const missingProgram = "/nowhere"

// Schedulers have an address at which no other listener is, as another one could otherwise be assigned
// a scheduler's port while that scheduler is not running.
func TestSchedulersHaveOwnAddress(t *testing.T) {
	schedulerHost := loopbackHost(schedulerOctet)
	otherHost := loopbackHost(otherOctet)
	if schedulerHost == otherHost || load.CheckLoopback(schedulerHost+":1") != nil || load.CheckLoopback(otherHost+":1") != nil {
		t.Errorf("got hosts %s of schedulers and %s of others, want two different loopback addresses", schedulerHost, otherHost)
	}
}
