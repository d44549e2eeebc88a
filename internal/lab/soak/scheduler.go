package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	routingDelay         = 300 * time.Millisecond // clients open new connections for this long after a request to stop
	schedulerCallTimeout = time.Second            // timeout of a request to a scheduler's operator paths
	readyPollInterval    = 10 * time.Millisecond
)

// scheduler is the address of a scheduler and the processes that serve it, one after another.
type scheduler struct {
	number          int
	address         string
	dir             string
	client          *http.Client
	settingsVariant int
	routed          atomic.Bool // clients open new connections to it
	claimed         atomic.Bool // a fault is being injected into it

	mu        sync.Mutex
	processes []*process // oldest first
	freezes   []interval

	systemFaults Faults // guarded by the harness's lock
}

func newScheduler(h *harness, number int) (*scheduler, error) {
	l, err := net.Listen("tcp", loopbackHost(schedulerOctet)+":0")
	if err != nil {
		return nil, err
	}
	defer l.Close() // the port stays free, as only schedulers listen at this host
	s := &scheduler{
		number:  number,
		address: l.Addr().String(),
		client:  &http.Client{Timeout: schedulerCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.dir = filepath.Join(h.Dir, s.name())
	return s, os.MkdirAll(s.tempDir(), 0o700)
}

func (s *scheduler) name() string { return fmt.Sprint("n", s.number) }

func (s *scheduler) tempDir() string { return filepath.Join(s.dir, "tmp") }

func (s *scheduler) processName(n int) string { return fmt.Sprintf("%s-%d", s.name(), n) }

// start starts a further process at the scheduler's address.
func (s *scheduler) start(h *harness) error {
	if err := s.configure(h, h.endpoints.servers[s.number].proxy.addr()); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	log, err := h.openLog(s.processName(len(s.processes)))
	if err != nil {
		return err
	}
	defer log.Close()
	p := &process{cmd: exec.Command(h.Program), startedAt: time.Now(), exited: make(chan struct{}), log: log.Name()}
	p.cmd.Env = []string{
		"PROXY_CONFIG=" + s.configPath(),
		"TMPDIR=" + s.tempDir(),
		FaultsFileVariable + "=" + h.systemFaultsFile(s.number),
	}
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.processes = append(s.processes, p)
	go s.awaitProcess(p)
	return nil
}

// awaitProcess waits until a process exits, and records the result. harness.close kills the processes
// that are still running then.
func (s *scheduler) awaitProcess(p *process) {
	err := p.cmd.Wait()
	s.mu.Lock()
	p.err = err
	s.mu.Unlock()
	close(p.exited)
}

// current returns the process that was started last, and nil before the first.
func (s *scheduler) current() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.processes) == 0 {
		return nil
	}
	return s.processes[len(s.processes)-1]
}

// awaitReady waits until the scheduler is ready, and returns the time since the start of its process.
// A scheduler that is late is recorded as a violation.
func (s *scheduler) awaitReady(h *harness) time.Duration {
	startedAt := s.current().startedAt
	for time.Since(startedAt) < 2*readyWithin {
		if s.isReady() {
			s.routed.Store(true)
			break
		}
		time.Sleep(readyPollInterval)
	}
	took := time.Since(startedAt)
	if took > readyWithin {
		h.observed.addViolation("F1 ready", s.name(), fmt.Sprintf("not ready after %v", took.Round(time.Millisecond)))
	}
	return took
}

// isReady reports whether the scheduler answers its readiness check with 200.
func (s *scheduler) isReady() bool {
	response, err := s.client.Get("http://" + s.address + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAndAwaitReady starts a process and waits until it is ready.
func (s *scheduler) startAndAwaitReady(h *harness) {
	if err := s.start(h); err != nil {
		h.observed.addViolation("play", s.name(), err.Error())
		return
	}
	s.awaitReady(h)
}

// replace starts a second process, which takes over the address, and then stops the first.
func (s *scheduler) replace(h *harness) {
	predecessor := s.current()
	s.startAndAwaitReady(h)
	s.requestStop(predecessor)
	s.awaitExit(h, predecessor)
}

// reload writes the configuration with a given address of the endpoint list, and has the current
// process read it.
func (s *scheduler) reload(h *harness, discovery string) {
	if s.configure(h, discovery) != nil {
		return
	}
	if p := s.current(); p != nil {
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
}
