package dispatch

import (
	"math/rand"
	"time"
)

// This file starts an instance and turns what a deployment tells into the few figures that decisions use.

// New starts an instance. The deployment is turned into the figures that decisions use and is not kept.
func New(dep Deployment, seed int64) *Dispatcher {
	d := &Dispatcher{workerAt: map[WorkerID]int{}, tagAt: map[uint32]int{}, sentTo: map[[2]int]int{},
		invAt: map[InvID]int{}}
	d.rng = rand.New(rand.NewSource(seed))
	d.inbox = inbox{house: &d.house, read: d.read}
	d.desk = desk{inbox: inbox{house: &d.house, read: d.desk.read}, door: d, arrivals: samples{0}, size: few,
		refused: map[[3]int][2]time.Duration{}, credit: few, paces: map[int]samples{}, paced: map[int]float64{}}
	if d.tune(Retuned{Deployment: dep}); d.me < 0 { // not told: one of our own serves as well, others by chance
		d.me = d.rng.Intn(max(1, dep.Peers))
	}
	d.tell(-1, Note{Kind: NoteAnew})
	// The list service takes only so many calls at once: the first are spread, inside the stated time.
	d.askAt = time.Duration(d.rng.Float64() * min(float64(d.within/2), (d.peers-1)*float64(beat)))
	return d
}

// tune takes over what a deployment tells. Invocations under way keep the operation under which they came.
func (d *Dispatcher) tune(n Retuned) {
	h, k, dep := &d.house, &d.desk, n.Deployment
	h.probes, h.progress = dep.Allowed.Probes, dep.Progress
	h.tellsTaken, h.tellsStart = dep.TellsTaken, dep.TellsStart
	h.window, h.coldFrom, h.warmAfter = dep.Rules.Fall, dep.Rules.ColdFrom, dep.Rules.WarmAfter
	if d.asks, d.within = !dep.Pushed, dep.Rules.AskWithin; dep.Me >= 0 || n.From == nil {
		d.me = dep.Me
	}
	d.peers = float64(max(1, dep.Peers, dep.Me+1)) // told too few, those with higher numbers know better
	k.zone, k.cancels, k.mostOut, k.peers = dep.Zone, dep.Allowed.Cancel, max(1, dep.Allowed.MaxOut), d.peers
	k.asks, k.queue = 0, queueShare
	k.mostForwards, k.after = max(1, dep.Allowed.MaxForwards), min(dep.Allowed.MaxRetryAfter, awaySpan)
	k.each = probePoints / max(dep.ProbePrice, probePoints/4)
	k.budget, k.ops = dep.Rules.FallMultiple*dep.Rules.Fall.Seconds(), n.operations(k.ops)
	k.tenants, k.excess, k.worst, k.worstPart = n.tenants(k.tenants), dep.ExcessValue, -1, dep.WorstOperation
	if h.tells = dep.Allowed.Tell && d.peers > 1 && dep.Me >= 0; h.tells {
		k.queue, k.asks = 0, int(min(asksMost, askPoints/max(askBytes*dep.TellPrice/MemoMost, askPoints/asksMost)))
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
		p.worker.put(listed{p.Entry, p.lot, p.keeper})
	}
}

func (d *Dispatcher) reappoint() {
	d.keeps = nil
	for at := range d.list {
		d.appoint(at)
	}
}
