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

// children lists the processes that one has started and that still run.
func children(of int) (pids []int) {
	all, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, file := range all {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if parent, _ := strconv.Atoi(fields[1]); parent == of && fields[0] != "Z" {
			pid, _ := strconv.Atoi(strings.Split(file, "/")[2])
			pids = append(pids, pid)
		}
	}
	return pids
}

func isHollow(pid int) bool {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	return strings.Contains(string(text), "hollow")
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still not after 20 s: ", what)
		}
	}
}

// A small sweep over workers: what a start costs in messages, health checks, descriptors and allocations, and how that grows. Times
// are not compared, as they differ from machine to machine.
func TestScaleSweep(t *testing.T) {
	s, err := scale.Read(labFiles + "scale/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	rig := scale.Rig{Scheduler: program(t), Hollow: []string{program(t), "lab", "hollow"}}
	var steps []scale.Step
	for _, v := range s.Sweep.Values {
		step, err := s.Step(v)
		if err != nil {
			t.Fatal(err)
		}
		m, err := rig.Play(context.Background(), step)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", m)
		if failed := m.Throttled + m.Errored + m.Broken + m.NewsFailed + m.Strange + int64(m.Panics); failed > 0 || m.Succeeded == 0 {
			t.Errorf("%d workers: %d failed or strange, %d succeeded", m.Workers, failed, m.Succeeded)
		}
		if aim := step.Starts * m.Seconds; m.Starts < 0.7*aim || m.Starts > 1.6*aim {
			t.Errorf("%d workers: %v starts, %v were aimed at", m.Workers, m.Starts, aim)
		}
		if m.MessagesPerS == 0 || m.Control == 0 || m.Turn < 0 || m.Allocations <= 0 || m.RSS <= 0 {
			t.Errorf("%d workers: nothing is told of something: %+v", m.Workers, m)
		}
		steps = append(steps, m)
	}
	a, b := steps[0], steps[1]
	grown := float64(b.Workers) / float64(a.Workers)
	for _, v := range []struct {
		what   string
		a, b   float64
		atMost float64
	}{{"control bytes a start", a.Control / a.StartsPerS, b.Control / b.StartsPerS, 2}, {"messages a start", a.MessagesPerS / a.StartsPerS, b.MessagesPerS / b.StartsPerS, 2},
		{"descriptors", float64(a.Descriptors), float64(b.Descriptors), grown}, {"allocations a start", a.Allocations / a.StartsPerS, b.Allocations / b.StartsPerS, grown}} {
		if v.b > v.atMost*v.a {
			t.Errorf("%s: from %.1f to %.1f, %.1f times as many are the most", v.what, v.a, v.b, v.atMost)
		}
	}
}

// A hollow process that dies ends the run with its name, and nothing stays behind.
func TestScaleFailsWhenHollowProcessDies(t *testing.T) {
	s, err := scale.Read(labFiles+"scale/small.toml", `window = "60s"`)
	if err != nil {
		t.Fatal(err)
	}
	rig := scale.Rig{Scheduler: program(t), Hollow: []string{program(t), "lab", "hollow"}}
	before := children(os.Getpid())
	ours := func() []int {
		return slices.DeleteFunc(children(os.Getpid()), func(pid int) bool { return slices.Contains(before, pid) })
	}
	ended := make(chan error, 1)
	go func() {
		_, err := rig.Play(context.Background(), s)
		ended <- err
	}()
	until(t, "all run", func() bool { return len(ours()) == 4 })
	for _, pid := range ours() {
		if isHollow(pid) {
			syscall.Kill(pid, syscall.SIGKILL)
			break
		}
	}
	select {
	case err = <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("it goes on without")
	}
	if err == nil || !regexp.MustCompile("^hollow (fleet|clients|others) has ended: signal: killed").MatchString(err.Error()) {
		t.Error(err)
	}
	if left := ours(); len(left) > 0 {
		t.Error("these are left: ", left)
	}
}

// Whatever becomes of the rig, what it has started goes with it.
func TestHollowProcessesExitWithRig(t *testing.T) {
	rig := exec.Command(program(t), "lab", "scale", labFiles+"scale/small.toml", "--set", `window = "60s"`)
	if err := rig.Start(); err != nil {
		t.Fatal(err)
	}
	until(t, "all run", func() bool { return len(children(rig.Process.Pid)) == 4 })
	all := children(rig.Process.Pid)
	rig.Process.Kill()
	rig.Wait()
	until(t, "all have gone", func() bool {
		for _, pid := range all {
			if syscall.Kill(pid, 0) == nil {
				if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil && !strings.Contains(string(text), ") Z ") {
					return false
				}
			}
		}
		return true
	})
}
