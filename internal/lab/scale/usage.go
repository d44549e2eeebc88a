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

// usage is what the kernel knows of a process.
type usage struct {
	cpuTime      time.Duration // of user and system
	systemTime   time.Duration // of system alone
	rssBytes     int64         // bytes
	peakRSSBytes int64         // bytes
	descriptors  int
}

const (
	clockTicksPerSecond = 100 // a second, in which the kernel counts processor time in /proc

	// Fields of /proc/PID/stat behind the name.
	statUserTime   = 11
	statSystemTime = 12
)

var errTooFewFields = errors.New("can't be read")

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

func (u *usage) readTimes(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	// The name, in brackets, may contain anything.
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

func parseTicks(field string) (time.Duration, error) {
	n, err := strconv.ParseInt(field, 10, 64)
	return time.Duration(n) * time.Second / clockTicksPerSecond, err
}

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

// memoryField reads a line of /proc of the form "KEY 123 kB", and returns bytes; false: the line
// has another key.
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
