// Package model is the laboratory's model of a day: workers, the list of workers, clients, troubles, and the judge of
// the rules. It has neither I/O nor a clock: whoever drives it says what has happened and when.
package model

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"stoatweir/internal/lab/scenario"
)

// Job is one try of an invocation, as its client hands it in.
type Job struct {
	ID, Origin            int64 // Origin: of the first try, which the tries of one invocation share
	Op, Tenant, Zone, Try int
	Cost                  float64 // seconds that it runs on a machine of speed 1
	Hint                  float64 // seconds; 0: none
	Slots                 int
	Meant                 time.Duration // when the first try was to be sent: waiting counts from there
	At                    time.Duration // when this one is to be sent
	Deadline              time.Duration // when its client stops waiting for this one
	Leaves                time.Duration // when its client goes away before that; 0: it does not
	Objective             time.Duration
}

// Work is what it takes of a machine of speed 1, all slots together.
func (j *Job) Work() float64 { return j.Cost * float64(j.Slots) }

// Source gives the invocations of a day in the order in which they are meant to be sent.
type Source interface {
	// Next gives the next first try; false: there are no more.
	Next() (Job, bool)
}

// chance is a source of chance for one purpose: what is drawn for one must not move what is drawn for another, so that
// two deciders meet the same day.
func chance(seed int64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(uint64(seed), h.Sum64()))
}

// World is the model.
type World struct {
	Fleet   *Fleet
	List    *List
	Judge   *Judge
	Tally   *Tally
	Clients *Clients

	// Kill and Revive are called when troubles hit schedulers.
	Kill, Revive func(now time.Duration, scheduler int)

	s      scenario.Scenario
	spells []spell
	edges  []edge // what troubles change, in order
	past   int
}

// New makes the day of a scenario.
func New(s scenario.Scenario) *World {
	w := &World{s: s, Kill: func(time.Duration, int) {}, Revive: func(time.Duration, int) {}}
	w.Tally = newTally(s)
	w.Judge = newJudge(s)
	w.Fleet = newFleet(s, w.Tally, w.Judge)
	w.Judge.machine = func(n int) *Machine { return w.Fleet.Machines[n] }
	w.List = newList(s, w.Fleet)
	w.Fleet.Stirred = func(time.Duration, int) {}
	w.Fleet.changed = func(now time.Duration, machine int, silently bool) {
		w.List.change(now, machine, silently)
		w.Fleet.Stirred(now, machine)
	}
	w.Clients = newClients(s, w.Fleet.Capacity())
	w.plan()
	return w
}

// Now moves the model on to a time: all that happens by itself until then has happened.
func (w *World) Now(now time.Duration) {
	for {
		at := w.Next()
		switch {
		case at > now:
			return
		case w.past < len(w.edges) && w.edges[w.past].at == at:
			w.past++
			w.edge(w.edges[w.past-1])
		case w.List.next() == at:
			w.List.step(at)
		default:
			w.Fleet.step(at)
		}
	}
}

// Next is when something happens by itself again.
func (w *World) Next() time.Duration {
	next := min(w.Fleet.next(), w.List.next())
	if w.past < len(w.edges) {
		next = min(next, w.edges[w.past].at)
	}
	return next
}

// Never is later than anything that happens.
const Never = time.Duration(1 << 62)
