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

// Rig is what a scenario is run with.
type Rig struct {
	Scheduler string   // path of the program that is measured
	Hollow    []string // command line of a hollow process
}

const (
	readyTimeout        = 20 * time.Second // a scheduler has to be ready after its start
	readyPollInterval   = 20 * time.Millisecond
	stepGrace           = time.Minute     // that a step may take beyond its length
	operatorCallTimeout = 5 * time.Second // of a call to a scheduler's operators' paths
	maxHollowProcesses  = 3               // of a run at most
)

var errStepTooLong = errors.New("the step took a minute longer than it lasts")

// Play runs one step and returns its measurements. All processes that it starts have ended when it
// returns. The exit of one of them is an error.
func (r Rig) Play(ctx context.Context, s Scenario) (Step, error) {
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

// stepRun is one step under way.
type stepRun struct {
	Rig
	scenario           Scenario
	dir                string
	ctx                context.Context
	exits              chan *process // has room for all
	processes          []*process
	schedulers         []*process
	schedulerAddrs     []string // of the schedulers
	workers            *process
	clients            *process
	emulatedSchedulers *process // nil: schedulers send no gossip
	httpClient         *http.Client
}

func (r *stepRun) close() {
	for _, p := range r.processes {
		p.kill()
	}
}

// wait lets time pass. The exit of any process is an error.
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

// Addresses of this process are one for schedulers and one for all others, so that nobody else is
// given a scheduler's port.
const (
	schedulerSubnetBase = 10  // second byte of the schedulers' address in 127.0.0.0/8, at least
	hollowSubnetBase    = 110 // second byte of the others'
)

func loopbackHost(subnetBase int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", subnetBase+pid>>16&63, pid>>8&255, max(1, pid&255))
}

// freeTCPAddresses finds so many addresses for schedulers that nobody listens at.
func freeTCPAddresses(count int) (addrs []string, err error) {
	for range count {
		l, err := net.Listen("tcp", loopbackHost(schedulerSubnetBase)+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // all at the end, so that they differ
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// freeUDPAddresses finds so many addresses for schedulers' gossip that nobody listens at.
func freeUDPAddresses(count int) (addrs []string, err error) {
	for range count {
		c, err := net.ListenPacket("udp", loopbackHost(schedulerSubnetBase)+":0")
		if err != nil {
			return nil, err
		}
		defer c.Close() // all at the end, so that they differ
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs, nil
}
