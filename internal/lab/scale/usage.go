package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is the resource usage of a process as reported by the kernel.
type usage struct {
	cpuTime      time.Duration // user and system time
	systemTime   time.Duration // system time alone
	rssBytes     int64
	peakRSSBytes int64
	descriptors  int
}

const (
	clockTicksPerSecond = 100 // unit of the processor times in /proc

	// Indexes of the fields of /proc/PID/stat that follow the process name.
	statUserTime   = 11
	statSystemTime = 12
)

var errTooFewFields = errors.New("too few fields")

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (u usage, err error) {
	if err := u.readTimes(fmt.Sprintf("/proc/%d/stat", pid)); err != nil {
		return u, err
	}
	if err := u.readMemory(fmt.Sprintf("/proc/%d/status", pid)); err != nil {
		return u, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.descriptors = len(descriptors)
	return u, err
}

// readTimes reads the processor times from /proc/PID/stat.
func (u *usage) readTimes(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	// The process name, in parentheses, may contain spaces and parentheses itself.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= statSystemTime {
		return fmt.Errorf("%s: %w", file, errTooFewFields)
	}
	user, err := parseTicks(fields[statUserTime])
	if err != nil {
		return err
	}
	u.systemTime, err = parseTicks(fields[statSystemTime])
	if err != nil {
		return err
	}
	u.cpuTime = user + u.systemTime
	return nil
}

// parseTicks converts a number of clock ticks.
func parseTicks(field string) (time.Duration, error) {
	n, err := strconv.ParseInt(field, 10, 64)
	return time.Duration(n) * time.Second / clockTicksPerSecond, err
}

// readMemory reads the resident memory and its peak from /proc/PID/status.
func (u *usage) readMemory(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(text)) {
		if bytes, ok := memoryField(line, "VmRSS:"); ok {
			u.rssBytes = bytes
		}
		if bytes, ok := memoryField(line, "VmHWM:"); ok {
			u.peakRSSBytes = bytes
		}
	}
	return nil
}

// memoryField parses a line of /proc of the form "KEY 123 kB" and returns the number of bytes. It
// returns false if the line has another key or no valid number.
func memoryField(line, key string) (bytes int64, ok bool) {
	rest, ok := strings.CutPrefix(line, key)
	if !ok {
		return 0, false
	}
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, false
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10, err == nil
}
