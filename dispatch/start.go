package dispatch

import (
	"cmp"
	"math/rand"
	"time"
)

// This file starts an instance and turns what a deployment tells into the few figures that decisions use.

// The calls for the list, of which one may be lost: its caller waits for a word, then for its next try, and that has to
// bring the list inside the time to ask within. Where discovery is on sockets its package adds this up.
const (
	againFirst = 250 * time.Millisecond // the wait after a first and a second failure in a row, then twice as long each
	againPart  = 6                      // the longest is a sixth of that time; by chance from half of it to
	againMore  = 1.5                    // so many times as much
	againLeast = 50 * time.Millisecond
	firstPart  = 8 // the first call comes within an eighth of the grace; the rest is for its answer and for our start
)

// Again is the longest wait after the first failed call for the list, and after any number of them.
func EndpointBackoff(within time.Duration) (first, most time.Duration) {
	long := func(wait time.Duration) time.Duration { return time.Duration(againMore * float64(wait)) }
	most = max(within/againPart, againLeast)
	return long(min(againFirst, most)), long(most)
}

// New starts an instance. The deployment is turned into the figures that decisions use and is not kept.
func New(dep Config, seed int64) *Dispatcher {
	d := &Dispatcher{workerAt: map[WorkerID]int{}, tagAt: map[uint32]int{}, sentTo: map[[2]int]int{},
		invAt: map[InvocationID]int{}}
	d.rng = rand.New(rand.NewSource(seed))
	d.inbox = inbox{house: &d.house, read: d.read}
	d.desk = desk{inbox: inbox{house: &d.house, read: d.desk.read}, door: d, arrivals: samples{0}, size: few,
		refused: map[[3]int][2]time.Duration{}, why: map[InvocationID]Reason{}, credit: few, paces: map[int]samples{}, paced: map[int]float64{}}
	if d.tune(Reconfigured{Config: dep}); d.me < 0 { // not told: one of our own serves as well, others by chance
		d.me = d.rng.Intn(max(1, dep.Schedulers))
	}
	d.tell(-1, GossipEntry{Kind: GossipRestarted})
	// The list service takes only so many calls at once: the first are spread, inside the stated time.
	// What has changed while nobody ran here counts as told from our first moment, and only the grace is left for it: the list has to
	// come inside that, also where many start together.
	spread := min(float64(d.within/2), (d.peers-1)*float64(beat))
	if dep.Rules.DrainGrace > 0 {
		spread = min(spread, float64(dep.Rules.DrainGrace/firstPart))
	}
	d.askAt = time.Duration(d.rng.Float64() * spread)
	return d
}

// tune takes over what a deployment tells. Invocations under way keep the operation under which they came.
func (d *Dispatcher) tune(n Reconfigured) {
	h, k, dep := &d.house, &d.desk, n.Config
	h.probes, h.progress = dep.Limits.HealthChecks, dep.ProgressInterval
	h.tellsTaken, h.tellsStart = dep.NotifiesAccepted, dep.NotifiesStart
	h.window, h.coldFrom, h.warmAfter = dep.Rules.OverloadWindow, dep.Rules.SlowStartFrom, dep.Rules.SlowStartDuration
	if d.asks, d.within = !dep.EndpointsPushed, dep.Rules.PollWithin; dep.Index >= 0 || n.PreviousOperations == nil {
		d.me = dep.Index
	}
	// Told too few, those with higher numbers leave cold workers alone; told none, each knows of those before it.
	d.peers = float64(cmp.Or(max(0, dep.Schedulers), max(1, dep.Index+1)))
	k.zone, k.cancels, k.mostOut, k.peers = dep.Zone, dep.Limits.Cancel, max(1, dep.Limits.MaxInFlight), d.peers
	k.asks, k.queue = 0, queueShare
	k.mostForwards, k.after = max(1, dep.Limits.MaxAttempts), min(dep.Limits.MaxRetryAfter, awaySpan)
	k.each = probePoints / max(dep.HealthCheckCost, probePoints/4)
	k.budget, k.ops = dep.Rules.OverloadFactor*dep.Rules.OverloadWindow.Seconds(), n.operations(k.ops)
	k.tenants, k.excess, k.worst, k.worstPart = n.tenants(k.tenants), dep.ExcessValue, -1, dep.WorstOperationWeight
	if h.tells = dep.Limits.Gossip && d.peers > 1 && dep.Index >= 0; h.tells {
		k.queue, k.asks = 0, int(min(asksMost, askPoints/max(askBytes*dep.GossipCost/MaxGossipBytes, askPoints/asksMost)))
	}
}

// appoint finds a worker's keeper, when it is listed first and when the settings have changed.
func (d *Dispatcher) appoint(at int) {
	p := &d.list[at]
	if p.keeper = d.keeper(p.Worker); d.tells && p.keeper == d.me {
		d.keeps = append(d.keeps, at)
	}
	d.relist(at)
}

// relist tells a worker that was met what the list says of it.
func (d *Dispatcher) relist(at int) {
	if p := &d.list[at]; p.worker != nil {
		p.worker.put(listed{p.Endpoint, p.lot, p.keeper})
	}
}

// reappoint finds all keepers anew, and our lots for cold workers, which are drawn among all schedulers.
func (d *Dispatcher) reappoint() {
	d.keeps = nil
	for at := range d.list {
		if p := &d.list[at]; p.StartKnown && d.now < p.StartedAt+d.warmAfter {
			p.lot = d.lot(p.Incarnation)
		}
		d.appoint(at)
	}
}
