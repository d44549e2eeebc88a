package soak

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	schedulerOctet = 96  // lowest second byte of the schedulers' address in 127.0.0.0/8
	peerOctet      = 160 // lowest second byte of the address of all other listeners
	zoneCount      = 3   // availability zones, assigned to schedulers and workers in rotation

	defaultDisconnectRate = 0.05 // fraction of the requests whose client disconnects
	defaultThinkFactor    = 1.0  // multiple of meanThinkTime
)

// harness is the state of one run.
type harness struct {
	Config
	ctx            context.Context
	rng            *rand.Rand
	observed       *observations
	endpoints      *endpointList
	workers        []*worker
	schedulers     []*scheduler
	loadStartedAt  time.Time
	clientsRunning sync.WaitGroup
	faultsRunning  sync.WaitGroup

	mu             sync.Mutex
	wallOffset     time.Duration // by which the emulated wall clock has been stepped
	injectedFaults []InjectedFault
	outcomes       map[string]int
	disconnectRate float64 // fraction of the requests whose client disconnects
	thinkFactor    float64 // multiple of meanThinkTime that clients wait between two requests
}

func newHarness(ctx context.Context, c Config) *harness {
	return &harness{
		Config:         c,
		ctx:            ctx,
		rng:            rand.New(rand.NewSource(c.Seed)),
		observed:       newObservations(),
		outcomes:       map[string]int{},
		disconnectRate: defaultDisconnectRate,
		thinkFactor:    defaultThinkFactor,
	}
}

// open starts the endpoint list, the workers and the schedulers. After an error, the caller must
// call close to end those that were started.
func (h *harness) open() error {
	var err error
	h.endpoints, err = newEndpointList(h)
	if err != nil {
		return err
	}
	for n := range h.Workers {
		w, err := newWorker(h, n)
		if err != nil {
			return err
		}
		h.workers = append(h.workers, w)
	}
	h.endpoints.publish()
	for n := range h.Schedulers {
		s, err := newScheduler(h, n)
		if err != nil {
			return err
		}
		h.schedulers = append(h.schedulers, s)
		if err := s.start(h); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) close() {
	for _, s := range h.schedulers {
		s.kill()
	}
	if h.endpoints != nil {
		h.endpoints.close()
	}
	for _, w := range h.workers {
		w.close()
	}
}

// awaitReady waits until all schedulers are ready, and returns the longest time that one took from
// its start.
func (h *harness) awaitReady() (longest time.Duration) {
	for _, s := range h.schedulers {
		longest = max(longest, s.awaitReady(h))
	}
	return longest
}

func (h *harness) stopSchedulers() {
	var stops []func()
	for _, s := range h.schedulers {
		stops = append(stops, func() { s.stop(h) })
	}
	concurrently(stops)
}

// discoveryMode returns the setting Discovery: endpoint updates are pushed with even seeds and polled
// with odd ones.
func (h *harness) discoveryMode() string {
	if h.endpointsPushed() {
		return "push"
	}
	return "ask"
}

func (h *harness) endpointsPushed() bool { return h.Seed%2 == 0 }

func (h *harness) sinceLoadStarted() time.Duration { return time.Since(h.loadStartedAt) }

// wallClockMillis returns the time of the emulated wall clock in Unix milliseconds, as workers report
// it.
func (h *harness) wallClockMillis() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Add(h.wallOffset).UnixMilli()
}

func (h *harness) countOutcome(outcome string) {
	h.mu.Lock()
	h.outcomes[outcome]++
	h.mu.Unlock()
}

// updateLoad calls change, which sets how the clients behave, while holding the lock.
func (h *harness) updateLoad(change func()) {
	h.mu.Lock()
	change()
	h.mu.Unlock()
}

// openLog opens the log file of a scheduler's process for appending. The caller closes it.
func (h *harness) openLog(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(h.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// loopbackHost returns a loopback address that is derived from this process's ID. Schedulers have an
// address apart from all other listeners: a scheduler listens at its port only while it runs, and no
// other listener may be assigned that port in the meantime.
func loopbackHost(baseOctet int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", baseOctet+pid>>16&31, pid>>8&255, max(1, pid&255))
}

// concurrently runs all functions at once and waits for them.
func concurrently(functions []func()) {
	var running sync.WaitGroup
	for _, run := range functions {
		running.Go(run)
	}
	running.Wait()
}
