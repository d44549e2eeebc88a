package scale

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// hollowMemory is the limit of a hollow process's memory, in the form of the environment of Go
// programs.
const hollowMemory = "GOMEMLIMIT=2GiB"

// start starts all processes and waits until the schedulers are ready.
func (x *run) start() (err error) {
	x.addresses, err = freeTCPAddresses(x.scenario.Schedulers)
	if err != nil {
		return err
	}
	var workers Stats
	x.workers, workers, err = x.startHollow(Part{Role: WorkersRole})
	if err != nil {
		return err
	}
	x.clients, _, err = x.startHollow(Part{Role: ClientsRole})
	if err != nil {
		return err
	}
	var peers []string
	if x.scenario.Messages {
		peers, err = x.startOthers(workers.Endpoints)
		if err != nil {
			return err
		}
	}
	for n := range x.addresses {
		if err := x.startScheduler(n, workers.Discovery, peers); err != nil {
			return err
		}
	}
	for n := range x.addresses {
		if err := x.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

// startOthers starts the schedulers that only send and receive gossip, and returns the addresses of
// all for it, by index.
func (x *run) startOthers(workers []string) (peers []string, err error) {
	own, err := freeUDPAddresses(x.scenario.Schedulers)
	if err != nil {
		return nil, err
	}
	var others Stats
	x.others, others, err = x.startHollow(Part{Role: SchedulersRole, Endpoints: workers, Peers: own})
	return others.Endpoints, err
}

// startHollow starts a hollow process, and returns what it says when it is ready.
func (x *run) startHollow(part Part) (*process, Stats, error) {
	part.Scenario = x.scenario
	part.Schedulers = x.addresses
	part.Host = loopbackHost(otherNet)
	cmd := exec.Command(x.Hollow[0], x.Hollow[1:]...)
	cmd.Env = append(os.Environ(), hollowMemory)
	p := newProcess("hollow "+part.Role, cmd)
	if err := p.connect(); err != nil {
		return nil, Stats{}, err
	}
	if err := p.start(x.exits); err != nil {
		return nil, Stats{}, err
	}
	x.processes = append(x.processes, p)
	stats, err := p.begin(part)
	return p, stats, err
}

// schedulerConfig is the configuration file of a scheduler.
type schedulerConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    processLimits   `json:"limits"`
	Settings  json.RawMessage `json:"settings"`
	Peers     []string        `json:"peers,omitempty"`
}

type processLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

func (x *run) startScheduler(n int, discovery string, peers []string) error {
	text, err := json.Marshal(schedulerConfig{
		Name:      fmt.Sprint("n", n),
		Listen:    x.addresses[n],
		Discovery: discovery,
		Seed:      fmt.Sprintf("%016x", uint64(x.scenario.Seed)<<16|uint64(n)),
		Limits:    processLimits{MemoryMB: x.scenario.MemoryMB, Sockets: x.scenario.sockets()},
		Settings:  x.scenario.settings(n),
		Peers:     peers,
	})
	if err != nil {
		return err
	}
	dir := filepath.Join(x.dir, fmt.Sprint("n", n))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(x.Scheduler)
	cmd.Env = []string{"PROXY_CONFIG=" + file, "TMPDIR=" + dir}
	p := newProcess(fmt.Sprint("scheduler ", n), cmd)
	if err := p.start(x.exits); err != nil {
		return err
	}
	x.processes = append(x.processes, p)
	x.schedulers = append(x.schedulers, p)
	return nil
}

func (x *run) awaitReady(n int) error {
	for end := time.Now().Add(readyWithin); !x.isReady(n); {
		if err := x.wait(readyPollInterval); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("scheduler %d is not ready after %v: %s", n, readyWithin, x.schedulers[n].stderr)
		}
	}
	return nil
}

func (x *run) isReady(n int) bool {
	response, err := x.http.Get("http://" + x.addresses[n] + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
