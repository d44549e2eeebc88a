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

// hollowMemoryLimit is the environment variable that limits the memory of a hollow process.
const hollowMemoryLimit = "GOMEMLIMIT=2GiB"

// start starts all processes and waits until the schedulers are ready.
func (r *stepRun) start() (err error) {
	r.schedulerAddrs, err = freeTCPAddresses(r.scenario.Schedulers)
	if err != nil {
		return err
	}
	var workerStats Stats
	r.workers, workerStats, err = r.startHollow(HollowConfig{Role: WorkersRole})
	if err != nil {
		return err
	}
	r.clients, _, err = r.startHollow(HollowConfig{Role: ClientsRole})
	if err != nil {
		return err
	}
	var gossipAddrs []string
	if r.scenario.Gossip {
		gossipAddrs, err = r.startEmulatedSchedulers(workerStats.Endpoints)
		if err != nil {
			return err
		}
	}
	for n := range r.schedulerAddrs {
		if err := r.startScheduler(n, workerStats.Discovery, gossipAddrs); err != nil {
			return err
		}
	}
	for n := range r.schedulerAddrs {
		if err := r.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

// startEmulatedSchedulers starts the schedulers that only send and receive gossip. It returns the
// gossip addresses of all schedulers, by index.
func (r *stepRun) startEmulatedSchedulers(workerAddrs []string) (allGossipAddrs []string, err error) {
	gossipAddrs, err := freeUDPAddresses(r.scenario.Schedulers)
	if err != nil {
		return nil, err
	}
	var stats Stats
	r.emulatedSchedulers, stats, err = r.startHollow(HollowConfig{Role: SchedulersRole, WorkerAddrs: workerAddrs, GossipAddrs: gossipAddrs})
	return stats.Endpoints, err
}

// startHollow starts a hollow process and returns the statistics that it reports when it is ready.
func (r *stepRun) startHollow(config HollowConfig) (*process, Stats, error) {
	config.Scenario = r.scenario
	config.SchedulerAddrs = r.schedulerAddrs
	config.ListenHost = loopbackHost(hollowSubnetBase)
	cmd := exec.Command(r.EmulatorCommand[0], r.EmulatorCommand[1:]...)
	cmd.Env = append(os.Environ(), hollowMemoryLimit)
	p := newProcess("hollow "+config.Role, cmd)
	if err := p.openPipes(); err != nil {
		return nil, Stats{}, err
	}
	if err := p.start(r.exits); err != nil {
		return nil, Stats{}, err
	}
	r.processes = append(r.processes, p)
	stats, err := p.configure(config)
	return p, stats, err
}

// schedulerConfig is the configuration file of a scheduler.
type schedulerConfig struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	ListAddr    string          `json:"discovery"`
	Seed        string          `json:"seed"`
	Limits      schedulerLimits `json:"limits"`
	Settings    json.RawMessage `json:"settings"`
	GossipAddrs []string        `json:"peers,omitempty"`
}

// schedulerLimits are the resource limits in the configuration file of a scheduler.
type schedulerLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// startScheduler writes the configuration file of a scheduler and starts it.
func (r *stepRun) startScheduler(index int, listAddr string, gossipAddrs []string) error {
	text, err := json.Marshal(schedulerConfig{
		Name:        fmt.Sprint("n", index),
		Listen:      r.schedulerAddrs[index],
		ListAddr:    listAddr,
		Seed:        fmt.Sprintf("%016x", uint64(r.scenario.Seed)<<16|uint64(index)),
		Limits:      schedulerLimits{MemoryMB: r.scenario.MemoryMB, Sockets: r.scenario.socketLimit()},
		Settings:    r.scenario.settings(index),
		GossipAddrs: gossipAddrs,
	})
	if err != nil {
		return err
	}
	dir := filepath.Join(r.dir, fmt.Sprint("n", index))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(r.Scheduler)
	cmd.Env = []string{"PROXY_CONFIG=" + file, "TMPDIR=" + dir}
	p := newProcess(fmt.Sprint("scheduler ", index), cmd)
	if err := p.start(r.exits); err != nil {
		return err
	}
	r.processes = append(r.processes, p)
	r.schedulers = append(r.schedulers, p)
	return nil
}

// awaitReady waits until a scheduler is ready, for readyTimeout at most.
func (r *stepRun) awaitReady(index int) error {
	for deadline := time.Now().Add(readyTimeout); !r.isReady(index); {
		if err := r.wait(readyPollInterval); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("scheduler %d is not ready after %v: %s", index, readyTimeout, r.schedulers[index].stderr)
		}
	}
	return nil
}

func (r *stepRun) isReady(index int) bool {
	response, err := r.httpClient.Get("http://" + r.schedulerAddrs[index] + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
