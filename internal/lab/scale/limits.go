package scale

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"stoatweir/internal/lab/scenario"
)

// Machine is the capacity that a machine offers to a step.
type Machine struct {
	Descriptors    int64 // open at a time in one process
	MemoryBytes    int64 // in total; a step may use half of it
	Processes      int64 // in total
	EphemeralPorts int64 // for connections from one address to another
}

const (
	maxProcesses    = 2048    // of a step, on any machine
	maxDescriptors  = 1 << 40 // assumed if there is no limit
	maxStepDuration = 10 * time.Minute

	otherDescriptors   = 64          // of a process, besides those that are counted one by one
	connectionBytes    = 24 << 10    // memory in a hollow process: buffers and goroutine stacks
	listenerBytes      = 12 << 10    // memory in a hollow process
	hollowProcessBytes = 64 << 20    // memory without listeners and connections
	timeWaitDuration   = time.Minute // for which the kernel keeps the port of a closed connection (TIME_WAIT)
)

// LocalMachine returns the capacity of the local machine as the kernel reports it.
func LocalMachine() (m Machine, err error) {
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
			m.MemoryBytes = bytes
		}
	}
	m.EphemeralPorts, err = ephemeralPortCount()
	return m, err
}

// ephemeralPortCount returns the number of ports that the kernel chooses from for an outgoing
// connection.
func ephemeralPortCount() (int64, error) {
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

// demand is the most that a step needs of a machine.
type demand struct {
	workerListeners  int64 // of all workers, spare ones included
	schedulerSockets int64 // of each scheduler
	workerConns      int64 // from all schedulers to workers
	callbackConns    int64 // from all workers to schedulers
	clientConns      int64 // from all clients to schedulers
	processes        int64
	memoryBytes      int64
	clientPorts      int64 // of client connections to one scheduler
	timeWaitPorts    int64 // of callback connections to one scheduler, closed within timeWaitDuration
}

// demand estimates the demand of a step.
func (s Scenario) demand() demand {
	n := int64(s.Schedulers)
	d := demand{
		workerListeners:  int64(s.Workers + s.spareWorkers()),
		schedulerSockets: int64(s.socketLimit()),
		callbackConns:    s.callbackConnCount() * n,
		clientConns:      int64(float64(s.InFlight)*1.15+16) * n,
		processes:        n + maxHollowProcesses,
	}
	d.workerConns = n * min(d.schedulerSockets*3/8, int64(s.Workers)+int64(s.InFlight)/4)
	d.memoryBytes = n*int64(s.MemoryMB)<<20*5/4 + maxHollowProcesses*hollowProcessBytes + d.workerListeners*listenerBytes +
		(d.workerConns+d.callbackConns+d.clientConns)*connectionBytes
	d.clientPorts = d.clientConns / n
	d.timeWaitPorts = int64(2 * s.Starts * timeWaitDuration.Seconds())
	return d
}

// callbackConnCount returns how many connections all workers together keep open to one scheduler for
// callbacks: at the start and the end of each run, and on its progress.
func (s Scenario) callbackConnCount() int64 {
	idle := s.CallbackIdle.D().Seconds()
	count := int64(2*s.Starts*idle + 1)
	if s.ProgressInterval > 0 {
		count += int64(float64(s.InFlight) / s.ProgressInterval.D().Seconds() * idle)
	}
	return count
}

// Fits returns nil if a machine can carry the step. Otherwise it returns a scenario.FileError with
// the key and the figures of the first limit that the step exceeds.
func (s Scenario) Fits(m Machine) error {
	d := s.demand()
	if err := s.fitsDescriptors(m, d); err != nil {
		return err
	}
	if d.processes > m.Processes {
		return s.limitError("schedulers", "%d need %d processes, %d are allowed", s.Schedulers, d.processes, m.Processes)
	}
	if d.memoryBytes > m.MemoryBytes/2 {
		return s.limitError("memory_mb",
			"%d for each of %d schedulers, with what stands beside them, makes %d MB; half of this machine's memory is %d MB",
			s.MemoryMB, s.Schedulers, d.memoryBytes>>20, m.MemoryBytes/2>>20)
	}
	if ports := d.timeWaitPorts + d.clientPorts; s.CallbackIdle.D() < timeWaitDuration && ports > m.EphemeralPorts {
		return s.limitError("starts_per_second", "%g need %d ports towards one address, there are %d", s.Starts, ports, m.EphemeralPorts)
	}
	if s.Duration() > maxStepDuration {
		return s.limitError("window", "with all before it a step lasts %v, %v is allowed", s.Duration(), maxStepDuration)
	}
	return nil
}

// fitsDescriptors compares the descriptors that a scheduler, the workers' process and the clients'
// process need with the limit of a process.
func (s Scenario) fitsDescriptors(m Machine, d demand) error {
	if need := d.schedulerSockets + otherDescriptors; need > m.Descriptors {
		return s.limitError("in_hand", "%d need %d descriptors of a scheduler, there are %d", s.InFlight, need, m.Descriptors)
	}
	if need := d.workerListeners + d.workerConns + d.callbackConns + otherDescriptors; need > m.Descriptors {
		return s.limitError("workers", "%d workers with %d schedulers need %d descriptors of one process, there are %d",
			s.Workers, s.Schedulers, need, m.Descriptors)
	}
	if need := d.clientConns + otherDescriptors; need > m.Descriptors {
		return s.limitError("in_hand", "%d of each of %d schedulers need %d descriptors of one process, there are %d",
			s.InFlight, s.Schedulers, need, m.Descriptors)
	}
	return nil
}

// limitError returns the error of a key whose value exceeds a limit of the machine.
func (s Scenario) limitError(key, text string, args ...any) error {
	return scenario.FileError{File: s.Name, Key: key, Text: fmt.Sprintf(text, args...)}
}
