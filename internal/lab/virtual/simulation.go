// Package virtual runs a scenario in virtual time: many schedulers in one process, and a clock that jumps from one event to
// the next. The same scenario, seed and decider give the same run to the byte.
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
	// runOn is how long a run goes on after the last deadline.
	runOn = 3 * time.Second
	// networkStream is the stream of random numbers of the network, besides the scenario's seed.
	networkStream = 0x6e6574
)

// Simulation is one run of a scenario in virtual time. It is not safe for concurrent use.
type Simulation struct {
	Model *model.Model
	Log   func(now time.Duration, scheduler int, text string) // what deciders log; may be nil
	Steps int                                                 // events that were handled, beside those of the model

	scenario     scenario.Scenario
	source       model.Source
	newDecider   DeciderFactory
	schedulers   []*scheduler
	queue        eventqueue.Queue[func()]
	now          time.Duration
	pending      []*scheduler // those with events to decide on
	networkRand  *rand.Rand
	lastDeadline time.Duration
	err          error // that ends the run
}

// New returns the run of a scenario whose deciders newDecider makes.
func New(s scenario.Scenario, newDecider DeciderFactory) *Simulation {
	sim := &Simulation{
		Model:       model.New(s),
		scenario:    s,
		newDecider:  newDecider,
		networkRand: rand.New(rand.NewPCG(uint64(s.Seed), networkStream)),
	}
	sim.Model.Fleet.OnCallback = sim.callbackSent
	sim.Model.Discovery.OnChange = sim.endpointsChanged
	sim.Model.Discovery.OnOutage = sim.discoveryDown
	sim.Model.OnSchedulerKilled = sim.killScheduler
	sim.Model.OnSchedulerRestarted = sim.restartScheduler
	return sim
}

// Time is the time of the run, from 0.
func (sim *Simulation) Time() time.Duration { return sim.now }

// Play carries the run out. A nil source stands for the scenario's own load. The error is that of the context, or of a
// decider that could not be made.
func (sim *Simulation) Play(ctx context.Context, source model.Source) error {
	if sim.scenario.Hosted.Capacity > 0 {
		return errors.New("hosted.room: tenants are hosted on loopback alone, by real programs")
	}
	sim.source = source
	if sim.source == nil {
		sim.source = sim.Model.Clients
	}
	for n := range sim.scenario.Schedulers.Count {
		s := &scheduler{number: n, zone: sim.scenario.Zone(n)}
		sim.schedulers = append(sim.schedulers, s)
		sim.startScheduler(s)
	}
	sim.decide() // before the first arrival: the list at the start is only the cached one
	sim.scheduleArrival()
	for sim.err == nil && ctx.Err() == nil && sim.step() {
	}
	if sim.err == nil {
		sim.err = ctx.Err()
	}
	sim.Model.Rules.Close(sim.now + runOn)
	return sim.err
}

// step handles all events of the next moment; false: the run is over.
func (sim *Simulation) step() bool {
	at := min(sim.Model.NextTime(), sim.queue.NextTime(model.Never))
	if at == model.Never || at > max(sim.scenario.Length.D(), sim.lastDeadline)+runOn {
		return false
	}
	sim.now = max(sim.now, at)
	sim.Model.AdvanceTo(sim.now)
	for sim.queue.Due(sim.now) {
		handle := sim.queue.Pop()
		handle()
		sim.Steps++
	}
	sim.decide()
	return true
}

// schedule has do called at a time, now if that has passed.
func (sim *Simulation) schedule(at time.Duration, do func()) { sim.queue.Push(max(at, sim.now), do) }

func (sim *Simulation) scheduleAfter(wait time.Duration, do func()) { sim.schedule(sim.now+wait, do) }
