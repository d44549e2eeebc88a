package loopback

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"stoatweir/internal/lab/model"
)

const (
	socketLimit   = 1024            // limits.sockets of a scheduler
	memoryLimitMB = 192             // limits.memory_mb of a scheduler
	stopWithin    = 6 * time.Second // a scheduler has to exit after SIGTERM
	callTimeout   = 2 * time.Second // of a call to a scheduler
	idleConns     = 8               // connections to a scheduler that are reused
	logTailBytes  = 2000            // of a log that an error shows
)

// scheduler is one scheduler: its process, and the server of the endpoint list for it alone, which
// shows what it was sent.
type scheduler struct {
	run       *run
	number    int
	address   string
	discovery string // address of the list's server
	server    *http.Server
	client    *http.Client
	dir       string

	// Of the loop.
	up       bool
	noticed  time.Duration    // when clients know that it is gone
	revision int              // that it was sent last
	watch    chan []byte      // nil: there is none
	known    []model.Endpoint // the list when it was sent an update last

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed at its exit
}

// Addresses of this process are one for schedulers and one for all others: a scheduler listens at
// its port only once it runs, and nobody else may be given that port until then, or while it is
// away.
const (
	schedulerNet = 64  // second byte of the schedulers' address in 127.0.0.0/8, at least
	otherNet     = 128 // second byte of the others'
)

func loopbackHost(net int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", net+pid>>16&63, pid>>8&255, max(1, pid&255))
}

// newScheduler reserves the scheduler's address and starts the list's server for it.
func newScheduler(r *run, number int) (*scheduler, error) {
	s := &scheduler{
		run:      r,
		number:   number,
		dir:      filepath.Join(r.dir, fmt.Sprint("n", number)),
		client:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}},
		known:    r.model.Discovery.Snapshot(),
		revision: r.model.Discovery.Version(),
	}
	if err := os.MkdirAll(s.tempDir(), 0o700); err != nil {
		return nil, err
	}
	reserved, err := net.Listen("tcp", loopbackHost(schedulerNet)+":0")
	if err != nil {
		return nil, err
	}
	s.address = reserved.Addr().String()
	reserved.Close()
	listener, err := net.Listen("tcp", loopbackHost(otherNet)+":0")
	if err != nil {
		return nil, err
	}
	s.discovery = listener.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serveList)}
	go s.server.Serve(listener) // until close
	return s, nil
}

func (s *scheduler) tempDir() string { return filepath.Join(s.dir, "tmp") }

func (s *scheduler) logFile() string { return filepath.Join(s.dir, "log") }

// config is the configuration file of a scheduler.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    processLimits   `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Tenants   *tenantsConfig  `json:"tenants,omitempty"`
}

type processLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

type tenantsConfig struct {
	Dir  string `json:"dir"`
	Room int    `json:"room"`
}

// writeConfig writes the configuration file with the list that the scheduler knows, and returns its
// path.
func (s *scheduler) writeConfig() (file string, err error) {
	c := config{
		Name:      fmt.Sprint("n", s.number),
		Listen:    s.address,
		Discovery: s.discovery,
		Seed:      fmt.Sprintf("%016x", uint64(s.run.scenario.Seed)<<16|uint64(s.number)),
		Limits:    processLimits{MemoryMB: memoryLimitMB, Sockets: socketLimit},
		Known:     s.run.marshalUpdate(s.known, s.revision, true),
		Settings:  json.RawMessage(s.run.scenario.Settings(s.number)),
	}
	if s.run.scenario.Hosted.Capacity > 0 {
		c.Tenants = &tenantsConfig{Dir: s.run.tenantsDir(), Room: s.run.scenario.Hosted.Capacity}
	}
	text, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	file = filepath.Join(s.dir, "config.json")
	return file, os.WriteFile(file, text, 0o600)
}

// start starts the process; of the loop, or before there is one.
func (s *scheduler) start() error {
	file, err := s.writeConfig()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(s.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.run.program)
	cmd.Env = []string{"PROXY_CONFIG=" + file, "TMPDIR=" + s.tempDir()}
	cmd.Stderr = log
	// Whatever becomes of this process, no scheduler is left behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		close(exited)
	}()
	s.mu.Lock()
	s.cmd = cmd
	s.exited = exited
	s.mu.Unlock()
	s.up = true
	return nil
}

// logTail is the end of the log.
func (s *scheduler) logTail() string {
	text, _ := os.ReadFile(s.logFile())
	return string(text[max(0, len(text)-logTailBytes):])
}

func (s *scheduler) isReady() bool {
	response, err := s.client.Get("http://" + s.address + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill kills the process; of the loop.
func (s *scheduler) kill(now time.Duration) {
	s.up = false
	s.noticed = now + s.run.scenario.Schedulers.FailureDetection.D()
	s.closeWatch()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmd.Process.Kill()
	<-s.exited
}

// stop has the process shut down gracefully, and kills it where it does not.
func (s *scheduler) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	s.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-s.exited:
	case <-time.After(stopWithin):
		s.cmd.Process.Kill()
		<-s.exited
	}
}
