package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// ShimsVariable names, to a scheduler that was built with them, the file that its shims read again and again.
const ShimsVariable = "STOATWEIR_SHIMS"

// Faults are what the shims of a scheduler do. They stand between the program and the system: the program is the one that is released, but
// for the places where it calls the system.
type Faults struct {
	WallStep    time.Duration // by which the machine's wall clock has been stepped
	Connect     string        // the name of the error that each new connection fails with; empty: none does
	Accept      string        // the same of accepting
	Interrupted float64       // part of the looks at a socket that are interrupted first
}

var (
	connectErrors = []string{"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ENFILE", "EMFILE", ""}
	acceptErrors  = []string{"ECONNABORTED", "ENFILE", "ENOBUFS", ""}
)

func (p *play) shimsFile(scheduler int) string {
	return filepath.Join(p.Dir, fmt.Sprintf("shims-%d.json", scheduler))
}

// setFaults has a scheduler's shims do something. The wall clock is one for all.
func (p *play) setFaults(s *scheduler, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.WallStep = p.wall
	s.faultsNow = f
	p.writeFaults(s)
}

func (p *play) writeFaults(s *scheduler) {
	text, err := json.Marshal(s.faultsNow)
	if err != nil {
		return
	}
	fresh := p.shimsFile(s.number) + ".new"
	if os.WriteFile(fresh, text, 0o600) == nil {
		os.Rename(fresh, p.shimsFile(s.number))
	}
}

// stepClock steps the machine's wall clock.
func (p *play) stepClock(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wall += by
	for _, s := range p.schedulers {
		s.faultsNow.WallStep = p.wall
		p.writeFaults(s)
	}
}

// concurrently runs all and waits for them.
func concurrently(all []func()) {
	var wait sync.WaitGroup
	for _, do := range all {
		wait.Add(1)
		go func() { defer wait.Done(); do() }()
	}
	wait.Wait()
}
