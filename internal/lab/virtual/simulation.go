// Package virtual runs a scenario as a discrete-event simulation: all schedulers are in one
// process, and the clock jumps from one event to the next. The same scenario, seed and decider give
// an identical run, down to the bytes of its report.
package virtual

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"stoatweir/internal/lab/eventqueue"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

const (
	// trailingPeriod is how long a run continues after its load and the last deadline.
	trailingPeriod = 3 * time.Second
	// networkStream selects the random stream for network latencies, together with the scenario's
	// seed.
	networkStream = 0x6e6574
)

// Simulation is one run of a scenario in virtual time. It is not safe for concurrent use.
type Simulation struct {
	Model      *model.Model
	Log        func(now time.Duration, scheduler int, text string) // called with the log messages of deciders; may be nil
	EventCount int                                                 // number of events handled, without those of the model

	scenario     scenario.Scenario
	source       model.Source
	newDecider   DeciderFactory
	schedulers   []*scheduler
	queue        eventqueue.Queue[func()]
	now          time.Duration
	pending      []*scheduler // schedulers with unhandled events
	networkRand  *rand.Rand
	lastDeadline time.Duration
	err          error // ends the run if it is set
}

// New returns the simulation of a scenario, in which newDecider makes the deciders.
func New(s scenario.Scenario, newDecider DeciderFactory) *Simulation {
	sim := &Simulation{
		Model:       model.New(s),
		scenario:    s,
		newDecider:  newDecider,
		networkRand: rand.New(rand.NewPCG(uint64(s.Seed), networkStream)),
	}
	sim.Model.Cluster.OnCallback = sim.deliverCallback
	sim.Model.Discovery.OnChange = sim.scheduleUpdates
	sim.Model.Discovery.OnOutage = sim.endWatches
	sim.Model.OnSchedulerKilled = sim.killScheduler
	sim.Model.OnSchedulerRestarted = sim.restartScheduler
	return sim
}

// Time returns the virtual time since the start of the run.
func (sim *Simulation) Time() time.Duration { return sim.now }

// Run executes the run. With a nil source, the load is that of the scenario. It returns an error
// if the context ends, if a decider cannot be made, or if the scenario hosts its tenants.
func (sim *Simulation) Run(ctx context.Context, source model.Source) error {
	if sim.scenario.Hosted.Capacity > 0 {
		return errors.New("hosted.room: only a loopback run can host tenants, as it runs real schedulers")
	}
	sim.source = source
	if sim.source == nil {
		sim.source = sim.Model.Clients
	}
	for n := range sim.scenario.Schedulers.Count {
		s := &scheduler{number: n, zone: sim.scenario.ZoneOfScheduler(n)}
		sim.schedulers = append(sim.schedulers, s)
		sim.startScheduler(s)
	}
	sim.decide() // before the first arrival, as schedulers start with only the cached endpoint list
	sim.scheduleArrival()
	for sim.err == nil && ctx.Err() == nil && sim.step() {
	}
	if sim.err == nil {
		sim.err = ctx.Err()
	}
	sim.Model.Rules.Close(sim.now + trailingPeriod)
	return sim.err
}

// step handles all events of the next event time. It returns false when the run has ended.
func (sim *Simulation) step() bool {
	at := min(sim.Model.NextTime(), sim.queue.NextTime(model.Never))
	if at == model.Never || at > max(sim.scenario.Length.D(), sim.lastDeadline)+trailingPeriod {
		return false
	}
	sim.now = max(sim.now, at)
	sim.Model.AdvanceTo(sim.now)
	for sim.queue.Due(sim.now) {
		handle := sim.queue.Pop()
		handle()
		sim.EventCount++
	}
	sim.decide()
	return true
}

// schedule calls fn at a time, or as soon as possible if the time has passed.
func (sim *Simulation) schedule(at time.Duration, fn func()) { sim.queue.Push(max(at, sim.now), fn) }

// scheduleAfter calls fn after a wait.
func (sim *Simulation) scheduleAfter(wait time.Duration, fn func()) { sim.schedule(sim.now+wait, fn) }
