package soak

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"
)

// ShimsVariable is the environment variable that names, to a scheduler that was built with shims,
// the file that they read periodically.
const ShimsVariable = "STOATWEIR_SHIMS"

// Faults are what the shims of a scheduler inject. They stand between the program and the system:
// the program is the one that is released, but for the places where it calls the system.
type Faults struct {
	WallStep    time.Duration // by which the machine's wall clock has been stepped
	Connect     string        // name of the error that each new connection fails with; empty: none does
	Accept      string        // name of the error that half of the calls of accept fail with; empty: none does
	Interrupted float64       // part of the peeks and polls of sockets that are interrupted first
}

var (
	connectErrors = []string{"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ENFILE", "EMFILE", ""}
	acceptErrors  = []string{"ECONNABORTED", "ENFILE", "ENOBUFS", ""}
)

func (h *harness) shimsFile(scheduler int) string {
	return filepath.Join(h.Dir, fmt.Sprintf("shims-%d.json", scheduler))
}

// setShims has a scheduler's shims inject faults. The step of the wall clock is that of the
// machine, whatever f says.
func (h *harness) setShims(s *scheduler, f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.WallStep = h.wallStep
	s.shims = f
	h.writeShims(s)
}

// writeShims writes what the shims of a scheduler read; the lock is held. Where that fails they go
// on as before.
func (h *harness) writeShims(s *scheduler) {
	text, err := json.Marshal(s.shims)
	if err != nil {
		return
	}
	_ = replaceFile(h.shimsFile(s.number), text)
}

// stepClock steps the machine's wall clock.
func (h *harness) stepClock(by time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wallStep += by
	for _, s := range h.schedulers {
		s.shims.WallStep = h.wallStep
		h.writeShims(s)
	}
}
