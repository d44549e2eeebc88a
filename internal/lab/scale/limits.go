package scale

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"stoatweir/internal/lab/scenario"
)

// Machine is what a machine can carry.
type Machine struct {
	Descriptors int64 // of one process
	Memory      int64 // bytes, of which half may be used
	Processes   int64 // of all
	Ports       int64 // from which one address can reach another
}

const (
	maxProcesses   = 2048    // of a run, on any machine
	maxDescriptors = 1 << 40 // where there is no limit
	maxLength      = 10 * time.Minute

	otherFiles    = 64          // descriptors of a process that are not counted one by one
	perConnection = 24 << 10    // bytes of a hollow process: buffers and the stacks of its goroutines
	perListener   = 12 << 10    // bytes of a hollow process
	perProgram    = 64 << 20    // bytes of a hollow process
	timeWait      = time.Minute // for which the kernel keeps a port from being used again
)

// This returns what the machine at hand can carry, as the kernel reports it.
func This() (m Machine, err error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return m, err
	}
	m.Descriptors = int64(min(files.Max, maxDescriptors))
	m.Processes = maxProcesses
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(text)) {
		if bytes, ok := memoryField(line, "MemTotal:"); ok {
			m.Memory = bytes
		}
	}
	m.Ports, err = localPorts()
	return m, err
}

// localPorts is the number of ports that the kernel chooses from for a connection.
func localPorts() (int64, error) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return 0, err
	}
	var first, last int64
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		return 0, err
	}
	return last - first, nil
}

// demand is what a step needs at most.
type demand struct {
	listeners   int64 // of workers
	sockets     int64 // of each scheduler
	toWorkers   int64 // connections of all schedulers
	callbacks   int64 // connections of all workers
	clients     int64 // connections of all clients
	processes   int64
	memory      int64 // bytes
	clientPorts int64 // towards one scheduler
	closedPorts int64 // towards one scheduler, of callbacks' connections that were closed within timeWait
}

func (s Scenario) demand() demand {
	n := int64(s.Schedulers)
	d := demand{
		listeners: int64(s.Workers + s.spares()),
		sockets:   int64(s.sockets()),
		callbacks: s.callbackConnections() * n,
		clients:   int64(float64(s.InHand)*1.15+16) * n,
		processes: n + hollowProcesses,
	}
	d.toWorkers = n * min(d.sockets*3/8, int64(s.Workers)+int64(s.InHand)/4)
	d.memory = n*int64(s.MemoryMB)<<20*5/4 + hollowProcesses*perProgram + d.listeners*perListener +
		(d.toWorkers+d.callbacks+d.clients)*perConnection
	d.clientPorts = d.clients / n
	d.closedPorts = int64(2 * s.Starts * timeWait.Seconds())
	return d
}

// callbackConnections are those of all workers to one scheduler: for the start and the end of each
// run, and for its progress.
func (s Scenario) callbackConnections() int64 {
	idle := s.NewsIdle.D().Seconds()
	connections := int64(2*s.Starts*idle + 1)
	if s.Progress > 0 {
		connections += int64(float64(s.InHand) / s.Progress.D().Seconds() * idle)
	}
	return connections
}

// Fits returns nil where a machine can carry a step, and a scenario.Fault with the key and figures
// of the first limit that it exceeds otherwise.
func (s Scenario) Fits(m Machine) error {
	d := s.demand()
	if err := s.fitsDescriptors(m, d); err != nil {
		return err
	}
	if d.processes > m.Processes {
		return s.fault("schedulers", "%d need %d processes, %d are allowed", s.Schedulers, d.processes, m.Processes)
	}
	if d.memory > m.Memory/2 {
		return s.fault("memory_mb",
			"%d for each of %d schedulers, with what stands beside them, makes %d MB; half of this machine's memory is %d MB",
			s.MemoryMB, s.Schedulers, d.memory>>20, m.Memory/2>>20)
	}
	if ports := d.closedPorts + d.clientPorts; s.NewsIdle.D() < timeWait && ports > m.Ports {
		return s.fault("starts_per_second", "%g need %d ports towards one address, there are %d", s.Starts, ports, m.Ports)
	}
	if s.Length() > maxLength {
		return s.fault("window", "with all before it a step lasts %v, %v is allowed", s.Length(), maxLength)
	}
	return nil
}

// fitsDescriptors compares the descriptors of a scheduler, of the workers' process and of the
// clients' process with the limit.
func (s Scenario) fitsDescriptors(m Machine, d demand) error {
	if need := d.sockets + otherFiles; need > m.Descriptors {
		return s.fault("in_hand", "%d need %d descriptors of a scheduler, there are %d", s.InHand, need, m.Descriptors)
	}
	if need := d.listeners + d.toWorkers + d.callbacks + otherFiles; need > m.Descriptors {
		return s.fault("workers", "%d workers with %d schedulers need %d descriptors of one process, there are %d",
			s.Workers, s.Schedulers, need, m.Descriptors)
	}
	if need := d.clients + otherFiles; need > m.Descriptors {
		return s.fault("in_hand", "%d of each of %d schedulers need %d descriptors of one process, there are %d",
			s.InHand, s.Schedulers, need, m.Descriptors)
	}
	return nil
}

func (s Scenario) fault(key, text string, args ...any) error {
	return scenario.FileError{File: s.Name, Key: key, Text: fmt.Sprintf(text, args...)}
}
