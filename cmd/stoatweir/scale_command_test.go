package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"stoatweir/internal/lab/scale"
)

// childProcesses returns the running child processes of a process, without zombies.
func childProcesses(parent int) (pids []int) {
	statFiles, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, file := range statFiles {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if ppid, _ := strconv.Atoi(fields[1]); ppid == parent && fields[0] != "Z" {
			pid, _ := strconv.Atoi(strings.Split(file, "/")[2])
			pids = append(pids, pid)
		}
	}
	return pids
}

// isHollowProcess reports whether a process runs the command lab hollow.
func isHollowProcess(pid int) bool {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	return strings.Contains(string(text), "hollow")
}

// waitUntil waits until a condition holds, and fails the test after 20 s.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not the case after 20 s: ", description)
		}
	}
}

// In a small sweep over the number of workers, the control bytes and messages of a start grow at most
// twofold, and the allocations of a start and the number of descriptors at most in proportion to the
// workers. Times are not compared, as they differ between machines.
func TestScaleSweep(t *testing.T) {
	s, err := scale.ReadScenario(labDir + "scale/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	rig := scale.Rig{Scheduler: buildProgram(t), EmulatorCommand: []string{buildProgram(t), "lab", "hollow"}}
	var steps []scale.Step
	for _, value := range s.Sweep.Values {
		step, err := s.Step(value)
		if err != nil {
			t.Fatal(err)
		}
		measured, err := rig.Run(context.Background(), step)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", measured)
		if failed := measured.Throttled + measured.Errored + measured.ConnectionErrors + measured.CallbacksFailed +
			measured.Unexpected + int64(measured.Panics); failed > 0 || measured.Succeeded == 0 {
			t.Errorf("%d workers: %d requests failed or were unexpected, %d succeeded", measured.Workers, failed, measured.Succeeded)
		}
		if expectedStarts := step.Starts * measured.Seconds; measured.Starts < 0.7*expectedStarts || measured.Starts > 1.6*expectedStarts {
			t.Errorf("%d workers: %v starts, want about %v", measured.Workers, measured.Starts, expectedStarts)
		}
		if measured.GossipMessagesPerSecond == 0 || measured.ControlBytesPerSecond == 0 || measured.WorstIterationMS < 0 || measured.Allocations <= 0 || measured.RSS <= 0 {
			t.Errorf("%d workers: a measurement is missing: %+v", measured.Workers, measured)
		}
		steps = append(steps, measured)
	}
	first, second := steps[0], steps[1]
	workerRatio := float64(second.Workers) / float64(first.Workers)
	for _, growth := range []struct {
		quantity      string
		first, second float64
		maxRatio      float64
	}{{"control bytes a start", first.ControlBytesPerSecond / first.StartsPerS, second.ControlBytesPerSecond / second.StartsPerS, 2},
		{"messages a start", first.GossipMessagesPerSecond / first.StartsPerS, second.GossipMessagesPerSecond / second.StartsPerS, 2},
		{"descriptors", float64(first.Descriptors), float64(second.Descriptors), workerRatio},
		{"allocations a start", first.Allocations / first.StartsPerS, second.Allocations / second.StartsPerS, workerRatio}} {
		if growth.second > growth.maxRatio*growth.first {
			t.Errorf("%s: grew from %.1f to %.1f, want at most %.1f times as many", growth.quantity, growth.first, growth.second,
				growth.maxRatio)
		}
	}
}

// If a hollow process dies, the run ends with an error that names it, and no process is left
// running.
func TestScaleFailsWhenHollowProcessDies(t *testing.T) {
	s, err := scale.ReadScenario(labDir+"scale/small.toml", `window = "60s"`)
	if err != nil {
		t.Fatal(err)
	}
	rig := scale.Rig{Scheduler: buildProgram(t), EmulatorCommand: []string{buildProgram(t), "lab", "hollow"}}
	before := childProcesses(os.Getpid())
	started := func() []int {
		return slices.DeleteFunc(childProcesses(os.Getpid()), func(pid int) bool { return slices.Contains(before, pid) })
	}
	runError := make(chan error, 1)
	go func() {
		_, err := rig.Run(context.Background(), s)
		runError <- err
	}()
	waitUntil(t, "all run", func() bool { return len(started()) == 4 })
	for _, pid := range started() {
		if isHollowProcess(pid) {
			syscall.Kill(pid, syscall.SIGKILL)
			break
		}
	}
	select {
	case err = <-runError:
	case <-time.After(20 * time.Second):
		t.Fatal("the run has not ended 20 s after a hollow process was killed")
	}
	if err == nil || !regexp.MustCompile("^hollow (fleet|clients|others) has ended: signal: killed").MatchString(err.Error()) {
		t.Errorf("got error %v, want one that says which hollow process has ended, by a kill signal", err)
	}
	if left := started(); len(left) > 0 {
		t.Error("processes left running: ", left)
	}
}

// If the process that runs lab scale is killed, the processes that it has started exit too.
func TestHollowProcessesExitWithRig(t *testing.T) {
	rig := exec.Command(buildProgram(t), "lab", "scale", labDir+"scale/small.toml", "--set", `window = "60s"`)
	if err := rig.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "all run", func() bool { return len(childProcesses(rig.Process.Pid)) == 4 })
	pids := childProcesses(rig.Process.Pid)
	rig.Process.Kill()
	rig.Wait()
	waitUntil(t, "all processes have exited", func() bool {
		for _, pid := range pids {
			if syscall.Kill(pid, 0) == nil {
				if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil && !strings.Contains(string(text), ") Z ") {
					return false
				}
			}
		}
		return true
	})
}
