package soak

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"
)

// FaultsFileVariable is the environment variable with the path of the file that holds the Faults to
// inject. A scheduler that was built with fault injection reads that file periodically.
const FaultsFileVariable = "STOATWEIR_SHIMS"

// Faults are the faults that a scheduler injects between itself and the operating system. The program
// is the released one except at the places where it calls the system.
type Faults struct {
	WallStep    time.Duration // by which the emulated wall clock has been stepped
	Connect     string        // name of the error with which every new connection fails; empty: none fails
	Accept      string        // name of the error with which half of the accepts fail; empty: none fails
	Interrupted float64       // fraction of the peeks and polls of sockets that are interrupted first
}

var (
	connectErrors = []string{"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ENFILE", "EMFILE", ""}
	acceptErrors  = []string{"ECONNABORTED", "ENFILE", "ENOBUFS", ""}
)

// systemFaultsFile returns the path of the file from which a scheduler reads its faults.
func (h *harness) systemFaultsFile(scheduler int) string {
	return filepath.Join(h.Dir, fmt.Sprintf("shims-%d.json", scheduler))
}

// setSystemFaults has a scheduler inject faults. The step of the wall clock is always the harness's,
// whatever faults.WallStep is.
func (h *harness) setSystemFaults(s *scheduler, faults Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	faults.WallStep = h.wallOffset
	s.systemFaults = faults
	h.writeSystemFaults(s)
}

// writeSystemFaults writes the file from which a scheduler reads its faults. The lock must be held. If
// writing fails, the scheduler keeps the faults that it has.
func (h *harness) writeSystemFaults(s *scheduler) {
	text, err := json.Marshal(s.systemFaults)
	if err != nil {
		return
	}
	_ = replaceFile(h.systemFaultsFile(s.number), text)
}

// stepClock steps the emulated wall clock, which all schedulers share.
func (h *harness) stepClock(offset time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wallOffset += offset
	for _, s := range h.schedulers {
		s.systemFaults.WallStep = h.wallOffset
		h.writeSystemFaults(s)
	}
}
