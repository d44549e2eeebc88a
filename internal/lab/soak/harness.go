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
	schedulerNet = 96  // second byte of the schedulers' addresses in 127.0.0.0/8
	peerNet      = 160 // second byte of everybody else's addresses
	zones        = 3   // availability zones; schedulers and workers are dealt over them in turn

	usualDisconnectRate = 0.05 // part of the requests whose client disconnects
	usualThinkFactor    = 1.0  // of thinkTime
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
	loadBegan      time.Time
	clientsRunning sync.WaitGroup
	faultsRunning  sync.WaitGroup

	mu             sync.Mutex
	wallStep       time.Duration // by which the wall clock of the machine has been stepped
	injected       []InjectedFault
	outcomes       map[string]int
	disconnectRate float64 // part of the requests whose client disconnects
	thinkFactor    float64 // multiple of the usual time between two requests of a client
}

func newHarness(ctx context.Context, c Config) *harness {
	return &harness{
		Config:         c,
		ctx:            ctx,
		rng:            rand.New(rand.NewSource(c.Seed)),
		observed:       newObservations(),
		outcomes:       map[string]int{},
		disconnectRate: usualDisconnectRate,
		thinkFactor:    usualThinkFactor,
	}
}

// open starts the endpoint list, the workers and the schedulers. What it started before an error is
// left to close.
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

// discoveryMode is the setting Discovery: every other seed has endpoint updates pushed.
func (h *harness) discoveryMode() string {
	if h.endpointsPushed() {
		return "push"
	}
	return "ask"
}

func (h *harness) endpointsPushed() bool { return h.Seed%2 == 0 }

func (h *harness) sinceLoadBegan() time.Duration { return time.Since(h.loadBegan) }

// wallClockMillis is the wall clock of the machine, in Unix milliseconds, as workers report it.
func (h *harness) wallClockMillis() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Add(h.wallStep).UnixMilli()
}

func (h *harness) countOutcome(outcome string) {
	h.mu.Lock()
	h.outcomes[outcome]++
	h.mu.Unlock()
}

// updateLoad changes how the clients behave, under the lock.
func (h *harness) updateLoad(change func()) {
	h.mu.Lock()
	change()
	h.mu.Unlock()
}

// openLog opens the file that a process of a scheduler logs to; the caller closes it.
func (h *harness) openLog(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(h.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// loopbackHost is a loopback address of this process, one for schedulers and one for all others: a
// scheduler listens at its port only while it runs, and nobody else may be given that port
// meanwhile.
func loopbackHost(net int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", net+pid>>16&31, pid>>8&255, max(1, pid&255))
}

// concurrently runs all functions at once and waits for them.
func concurrently(functions []func()) {
	var running sync.WaitGroup
	for _, run := range functions {
		running.Go(run)
	}
	running.Wait()
}
