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
	frontDelay        = 300 * time.Millisecond // new connections go on coming for so long after an order to stop
	schedulerCallTime = time.Second            // timeout of a call to a scheduler's operators' paths
	readyPollInterval = 10 * time.Millisecond
)

// scheduler is one address, and the processes that serve there in turn.
type scheduler struct {
	number          int
	address         string
	dir             string
	client          *http.Client
	settingsVariant int
	routed          atomic.Bool // new connections are sent to it
	faulted         atomic.Bool // a fault is being injected into it

	mu        sync.Mutex
	processes []*process
	freezes   []interval

	shims Faults // guarded by the harness's lock
}

func newScheduler(h *harness, number int) (*scheduler, error) {
	l, err := net.Listen("tcp", loopbackHost(schedulerNet)+":0")
	if err != nil {
		return nil, err
	}
	defer l.Close() // the address stays reserved, as nobody else listens at this host
	s := &scheduler{
		number:  number,
		address: l.Addr().String(),
		client:  &http.Client{Timeout: schedulerCallTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.dir = filepath.Join(h.Dir, s.name())
	return s, os.MkdirAll(s.tempDir(), 0o700)
}

func (s *scheduler) name() string { return fmt.Sprint("n", s.number) }

func (s *scheduler) tempDir() string { return filepath.Join(s.dir, "tmp") }

func (s *scheduler) processName(n int) string { return fmt.Sprintf("%s-%d", s.name(), n) }

// start starts one more process at the address.
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
	p := &process{cmd: exec.Command(h.Program), began: time.Now(), exited: make(chan struct{}), log: log.Name()}
	p.cmd.Env = []string{
		"PROXY_CONFIG=" + s.configPath(),
		"TMPDIR=" + s.tempDir(),
		ShimsVariable + "=" + h.shimsFile(s.number),
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

// awaitProcess records how a process exits; the harness's close kills those that are left.
func (s *scheduler) awaitProcess(p *process) {
	err := p.cmd.Wait()
	s.mu.Lock()
	p.err = err
	s.mu.Unlock()
	close(p.exited)
}

// current is the process that was started last; nil before the first.
func (s *scheduler) current() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.processes) == 0 {
		return nil
	}
	return s.processes[len(s.processes)-1]
}

// awaitReady waits until the scheduler is ready, and returns how long that took from the start of
// its process.
func (s *scheduler) awaitReady(h *harness) time.Duration {
	began := s.current().began
	for time.Since(began) < 2*readyWithin {
		if s.isReady() {
			s.routed.Store(true)
			break
		}
		time.Sleep(readyPollInterval)
	}
	took := time.Since(began)
	if took > readyWithin {
		h.observed.addViolation("F1 ready", s.name(), fmt.Sprintf("not ready after %v", took.Round(time.Millisecond)))
	}
	return took
}

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

// replace has a second process take over the address, and stops the first.
func (s *scheduler) replace(h *harness) {
	before := s.current()
	s.startAndAwaitReady(h)
	s.requestStop(before)
	s.awaitExit(h, before)
}

// reload writes the configuration with an address of the list and has the process read it.
func (s *scheduler) reload(h *harness, discovery string) {
	if s.configure(h, discovery) != nil {
		return
	}
	if p := s.current(); p != nil {
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
}
