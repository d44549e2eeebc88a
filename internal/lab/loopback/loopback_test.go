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

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "stoatweir")
	if text, err := exec.Command("go", "build", "-o", program, "stoatweir/cmd/stoatweir").CombinedOutput(); err != nil {
		t.Fatal(err, string(text))
	}
	return program
}

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

// With killed schedulers, a worker that dies and one that is replaced, against real processes, each
// invocation ends once, the rules hold, and nothing is left behind: no process, no open port, no
// file.
func TestRulesHoldUnderFaults(t *testing.T) {
	program := build(t)
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
	r, err := Play(context.Background(), s, nil, program)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	r.Text(&text)
	if a := r.All; r.Broken() > 0 || a.InTime+a.Late+a.Throttled+a.Errored+a.Unanswered != a.Offered || a.InTime < a.Offered/2 {
		t.Error(text.String())
	}
	checkNothingLeft(t, program, tmp)
}

// checkNothingLeft fails where processes of the program, files, or listeners at the run's addresses
// are left.
func checkNothingLeft(t *testing.T, program, tmp string) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		var left []string
		all, _ := filepath.Glob("/proc/[0-9]*/exe")
		for _, exe := range all {
			if to, err := os.Readlink(exe); err == nil && strings.HasPrefix(to, program) {
				left = append(left, exe)
			}
		}
		// Listeners at one of this process's addresses: the kernel writes them backwards, in
		// hexadecimal.
		text, _ := os.ReadFile("/proc/net/tcp")
		for line := range strings.Lines(string(text)) {
			f := strings.Fields(line)
			for _, second := range []int{schedulerNet, otherNet} {
				ip := net.ParseIP(loopbackHost(second)).To4()
				if len(f) > 3 && f[3] == "0A" && strings.HasPrefix(f[1], fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])) {
					left = append(left, "port "+f[1])
				}
			}
		}
		files, _ := filepath.Glob(filepath.Join(tmp, "*"))
		left = append(left, files...)
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Error("left behind:", left)
			return
		}
	}
}

// A run that is cancelled leaves nothing behind either.
func TestCancelledRunLeavesNothing(t *testing.T) {
	program := build(t)
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	s, err := scenario.Parse("small.toml", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := Play(ctx, s, nil, program); err == nil {
		t.Error("a run of 4 s was over after 1.5 s")
	}
	checkNothingLeft(t, program, tmp)
}

// A program that never gets ready is an error that shows its log.
func TestNotReady(t *testing.T) {
	s, err := scenario.Parse("small.toml", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := Play(ctx, s, nil, "/bin/false"); err == nil || !strings.Contains(err.Error(), "not ready") {
		t.Error(err)
	}
}

// A scenario whose processes never start is an error, however many they are.
func TestMissingProgram(t *testing.T) {
	s, err := scenario.Parse("small.toml", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	s.Schedulers.Count = 1000
	if _, err := Play(context.Background(), s, nil, missingProgram); err == nil {
		t.Error("a thousand processes")
	}
}

const missingProgram = "/nowhere"

// Schedulers have an address that nobody else listens at: a scheduler's port is free while it is away.
func TestSchedulersHaveOwnAddress(t *testing.T) {
	a := loopbackHost(schedulerNet)
	b := loopbackHost(otherNet)
	if a == b || load.CheckLoopback(a+":1") != nil || load.CheckLoopback(b+":1") != nil {
		t.Error(a, b)
	}
}
