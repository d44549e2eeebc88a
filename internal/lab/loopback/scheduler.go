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
	stopWithin    = 6 * time.Second // after SIGTERM, a scheduler that has not exited within this time is killed
	callTimeout   = 2 * time.Second // for one request to a scheduler
	maxIdleConns  = 8               // idle connections to a scheduler that are kept for reuse
	logTailBytes  = 2000            // length of the end of a log that an error shows
)

// scheduler is a scheduler's process, with a server of the endpoint list that only this scheduler
// uses, so that it is known which updates the scheduler was sent.
type scheduler struct {
	run       *run
	number    int
	address   string
	discovery string // address of the endpoint list's server
	server    *http.Server
	client    *http.Client
	dir       string

	// The loop owns these.
	up             bool
	knownDownAt    time.Duration    // while it is down: when clients know that and start to avoid it
	revision       int              // of the last update that it was sent
	watch          chan []byte      // updates for the open watch; nil: there is none
	knownEndpoints []model.Endpoint // the list as of the last update that it was sent

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed at its exit
}

// Schedulers have an address apart from all other listeners of this process: a scheduler listens at
// its port only while it runs, and no other listener may be assigned that port before or in between.
const (
	schedulerOctet = 64  // lowest second byte of the schedulers' address in 127.0.0.0/8
	otherOctet     = 128 // lowest second byte of the address of all other listeners
)

// loopbackHost returns a loopback address that is derived from this process's ID.
func loopbackHost(baseOctet int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", baseOctet+pid>>16&63, pid>>8&255, max(1, pid&255))
}

// newScheduler chooses the scheduler's address and starts its server of the endpoint list.
func newScheduler(r *run, number int) (*scheduler, error) {
	s := &scheduler{
		run:            r,
		number:         number,
		dir:            filepath.Join(r.dir, fmt.Sprint("n", number)),
		client:         &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		knownEndpoints: r.model.Discovery.Snapshot(),
		revision:       r.model.Discovery.Version(),
	}
	if err := os.MkdirAll(s.tempDir(), 0o700); err != nil {
		return nil, err
	}
	reserved, err := net.Listen("tcp", loopbackHost(schedulerOctet)+":0")
	if err != nil {
		return nil, err
	}
	s.address = reserved.Addr().String()
	reserved.Close()
	listener, err := net.Listen("tcp", loopbackHost(otherOctet)+":0")
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

// writeConfig writes the configuration file, which includes the endpoint list as it was last sent to
// the scheduler, and returns the file's path.
func (s *scheduler) writeConfig() (file string, err error) {
	c := config{
		Name:      fmt.Sprint("n", s.number),
		Listen:    s.address,
		Discovery: s.discovery,
		Seed:      fmt.Sprintf("%016x", uint64(s.run.scenario.Seed)<<16|uint64(s.number)),
		Limits:    processLimits{MemoryMB: memoryLimitMB, Sockets: socketLimit},
		Known:     s.run.marshalUpdate(s.knownEndpoints, s.revision, true),
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

// start starts the process. It must be called on the loop, or before the loop runs.
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
	// The kernel kills the scheduler if this process dies in any way.
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

// logTail returns the end of the log.
func (s *scheduler) logTail() string {
	text, _ := os.ReadFile(s.logFile())
	return string(text[max(0, len(text)-logTailBytes):])
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

// kill kills the process. It must be called on the loop.
func (s *scheduler) kill(now time.Duration) {
	s.up = false
	s.knownDownAt = now + s.run.scenario.Schedulers.FailureDetection.D()
	s.closeWatch()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmd.Process.Kill()
	<-s.exited
}

// stop shuts the process down gracefully, and kills it if it doesn't exit in time.
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
