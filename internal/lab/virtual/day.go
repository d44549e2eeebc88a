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

// Day is one run. It is not safe for concurrent use.
type Day struct {
	World *model.Model
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
func New(s scenario.Scenario, newDecider DeciderFactory) *Day {
	d := &Day{
		World:       model.New(s),
		scenario:    s,
		newDecider:  newDecider,
		networkRand: rand.New(rand.NewPCG(uint64(s.Seed), networkStream)),
	}
	d.World.Fleet.OnCallback = d.callbackSent
	d.World.Discovery.OnChange = d.endpointsChanged
	d.World.Discovery.OnOutage = d.discoveryDown
	d.World.OnSchedulerKilled = d.killScheduler
	d.World.OnSchedulerRestarted = d.restartScheduler
	return d
}

// Time is the time of the run, from 0.
func (d *Day) Time() time.Duration { return d.now }

// Play carries the run out. A nil source stands for the scenario's own load. The error is that of the context, or of a
// decider that could not be made.
func (d *Day) Play(ctx context.Context, source model.Source) error {
	if d.scenario.Hosted.Capacity > 0 {
		return errors.New("hosted.room: tenants are hosted on loopback alone, by real programs")
	}
	d.source = source
	if d.source == nil {
		d.source = d.World.Clients
	}
	for n := range d.scenario.Schedulers.Count {
		s := &scheduler{number: n, zone: d.scenario.Zone(n)}
		d.schedulers = append(d.schedulers, s)
		d.startScheduler(s)
	}
	d.decide() // before the first arrival: the list at the start is only the cached one
	d.scheduleArrival()
	for d.err == nil && ctx.Err() == nil && d.step() {
	}
	if d.err == nil {
		d.err = ctx.Err()
	}
	d.World.Rules.Close(d.now + runOn)
	return d.err
}

// step handles all events of the next moment; false: the run is over.
func (d *Day) step() bool {
	at := min(d.World.NextTime(), d.queue.NextTime(model.Never))
	if at == model.Never || at > max(d.scenario.Length.D(), d.lastDeadline)+runOn {
		return false
	}
	d.now = max(d.now, at)
	d.World.AdvanceTo(d.now)
	for d.queue.Due(d.now) {
		handle := d.queue.Pop()
		handle()
		d.Steps++
	}
	d.decide()
	return true
}

// schedule has do called at a time, now if that has passed.
func (d *Day) schedule(at time.Duration, do func()) { d.queue.Push(max(at, d.now), do) }

func (d *Day) scheduleAfter(wait time.Duration, do func()) { d.schedule(d.now+wait, do) }
