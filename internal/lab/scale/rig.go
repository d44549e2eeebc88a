package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// Rig runs scenarios with the given programs.
type Rig struct {
	Scheduler       string   // path of the scheduler program that is measured
	EmulatorCommand []string // command line of a hollow process
}

const (
	readyTimeout        = 20 * time.Second // a scheduler must become ready within this time after its start
	readyPollInterval   = 20 * time.Millisecond
	stepGrace           = time.Minute     // that a step may take beyond its duration
	operatorCallTimeout = 5 * time.Second // of a request to one of a scheduler's paths for operators
	maxHollowProcesses  = 3               // of a run
)

var errStepTooLong = errors.New("the step took over a minute longer than planned")

// Run runs one step and returns its measurements. It is an error if one of the processes that it
// starts exits during the step. All of them have exited when Run returns.
func (r Rig) Run(ctx context.Context, s Scenario) (Step, error) {
	dir, err := os.MkdirTemp("", "stoatscale")
	if err != nil {
		return Step{}, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeoutCause(ctx, s.Duration()+stepGrace, errStepTooLong)
	defer cancel()
	run := &stepRun{
		Rig:        r,
		scenario:   s,
		dir:        dir,
		ctx:        ctx,
		exits:      make(chan *process, s.Schedulers+maxHollowProcesses),
		httpClient: &http.Client{Timeout: operatorCallTimeout},
	}
	defer run.close()
	if err := run.start(); err != nil {
		return Step{}, err
	}
	m, err := run.measure()
	if err != nil {
		return Step{}, err
	}
	return m.step(), nil
}

// stepRun is a step in progress.
type stepRun struct {
	Rig
	scenario           Scenario
	dir                string
	ctx                context.Context
	exits              chan *process // receives each process that exits; has room for all
	processes          []*process
	schedulers         []*process
	schedulerAddrs     []string // listen addresses, by scheduler
	workers            *process
	clients            *process
	emulatedSchedulers *process // nil: the scenario has no gossip
	httpClient         *http.Client
}

// close ends all processes of the run.
func (r *stepRun) close() {
	for _, p := range r.processes {
		p.kill()
	}
}

// wait waits for a duration. It returns an error if a process exits or the context ends.
func (r *stepRun) wait(duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case p := <-r.exits:
		return p.exitError()
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	}
}

// A run has one loopback address for schedulers and another for everything else, so that the kernel
// gives a scheduler's port to nothing else.
const (
	schedulerSubnetBase = 10  // lowest second byte of the schedulers' address in 127.0.0.0/8
	hollowSubnetBase    = 110 // lowest second byte of the address of hollow processes
)

// loopbackHost returns an address in 127.0.0.0/8 that is derived from the id of this process.
func loopbackHost(subnetBase int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", subnetBase+pid>>16&63, pid>>8&255, max(1, pid&255))
}

// freeTCPAddresses returns the given number of unused TCP addresses for schedulers.
func freeTCPAddresses(count int) (addrs []string, err error) {
	for range count {
		l, err := net.Listen("tcp", loopbackHost(schedulerSubnetBase)+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // not before all are found, so that they differ
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// freeUDPAddresses returns the given number of unused UDP addresses for the gossip of schedulers.
func freeUDPAddresses(count int) (addrs []string, err error) {
	for range count {
		c, err := net.ListenPacket("udp", loopbackHost(schedulerSubnetBase)+":0")
		if err != nil {
			return nil, err
		}
		defer c.Close() // not before all are found, so that they differ
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs, nil
}
