package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"stoatweir/internal/lab/scenario"
)

// Machine is what the machine at hand can carry.
type Machine struct {
	Descriptors int64 // of one process
	Memory      int64 // bytes, of which half is for us
	Processes   int64
	Ports       int64 // from which one address can reach another
}

// This is the machine that we run on.
func This() (m Machine, err error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return m, err
	}
	m.Descriptors = int64(min(files.Max, 1<<40))
	m.Processes = mostProcesses
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, is := strings.CutPrefix(line, "MemTotal:"); is {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			m.Memory = kb << 10
		}
	}
	if text, err = os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err != nil {
		return m, err
	}
	var from, to int64
	if _, err := fmt.Sscan(string(text), &from, &to); err != nil {
		return m, err
	}
	m.Ports = to - from
	return m, nil
}

const (
	mostProcesses = 2048
	otherFiles    = 64
	perConnection = 24 << 10 // bytes of a hollow process: buffers and the stacks of its goroutines
	perListener   = 12 << 10
	perProgram    = 64 << 20
	timeWait      = time.Minute // the kernel keeps a port from being used again
)

// Fits names by key and figure what this machine can't carry of a step. Nothing has been started by then.
func (s Scenario) Fits(m Machine) error {
	fault := func(key, text string, args ...any) error {
		return scenario.FileError{File: s.Name, Key: key, Text: fmt.Sprintf(text, args...)}
	}
	n := int64(s.Schedulers)
	listeners := int64(s.Workers + s.spares())
	perScheduler := int64(s.sockets())
	kept := n * min(perScheduler*3/8, int64(s.Workers)+int64(s.InHand)/4)
	news := int64(2*s.Starts*s.NewsIdle.D().Seconds()+1) * n
	if s.Progress > 0 {
		news += int64(float64(s.InHand)/s.Progress.D().Seconds()*s.NewsIdle.D().Seconds()) * n
	}
	visitors := n * int64(float64(s.InHand)*1.15+16)
	if need := perScheduler + otherFiles; need > m.Descriptors {
		return fault("in_hand", "%d need %d descriptors of a scheduler, there are %d", s.InHand, need, m.Descriptors)
	}
	if need := listeners + kept + news + otherFiles; need > m.Descriptors {
		return fault("workers", "%d workers with %d schedulers need %d descriptors of one process, there are %d", s.Workers, n, need, m.Descriptors)
	}
	if need := visitors + otherFiles; need > m.Descriptors {
		return fault("in_hand", "%d of each of %d schedulers need %d descriptors of one process, there are %d", s.InHand, n, need, m.Descriptors)
	}
	if need := n + 3; need > m.Processes {
		return fault("schedulers", "%d need %d processes, %d are allowed", n, need, m.Processes)
	}
	need := n*int64(s.MemoryMB)<<20*5/4 + 3*perProgram + listeners*perListener + (kept+news+visitors)*perConnection
	if need > m.Memory/2 {
		return fault("memory_mb", "%d for each of %d schedulers, with what stands beside them, makes %d MB; half of this machine's memory is %d MB",
			s.MemoryMB, n, need>>20, m.Memory/2>>20)
	}
	ends := 2 * s.Starts * timeWait.Seconds()
	if s.NewsIdle.D() < timeWait && int64(ends)+visitors/n > m.Ports {
		return fault("starts_per_second", "%g need %d ports towards one address, there are %d", s.Starts, int64(ends)+visitors/n, m.Ports)
	}
	if s.Length() > mostLength {
		return fault("window", "with all before it a step lasts %v, %v is allowed", s.Length(), mostLength)
	}
	return nil
}
