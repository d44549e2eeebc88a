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
	pollBackoffFirst  = 250 * time.Millisecond // the wait after a first and a second failure in a row, then twice as long each
	pollBackoffParts  = 6                      // the longest is a sixth of that time; by chance from half of it to
	pollBackoffJitter = 1.5                    // so many times as much
	pollBackoffMin    = 50 * time.Millisecond
	firstPollParts    = 8 // the first call comes within an eighth of the grace; the rest is for its answer and for our start
)

// Again is the longest wait after the first failed call for the list, and after any number of them.
func EndpointBackoff(within time.Duration) (first, most time.Duration) {
	long := func(wait time.Duration) time.Duration { return time.Duration(pollBackoffJitter * float64(wait)) }
	most = max(within/pollBackoffParts, pollBackoffMin)
	return long(min(pollBackoffFirst, most)), long(most)
}

// New starts an instance. The deployment is turned into the figures that decisions use and is not kept.
func New(dep Config, seed int64) *Dispatcher {
	d := &Dispatcher{recordIndex: map[WorkerID]int{}, tagIndex: map[uint32]int{}, remoteAttempts: map[[2]int]int{},
		invocationIndex: map[InvocationID]int{}}
	d.rng = rand.New(rand.NewSource(seed))
	d.mailbox = mailbox{sharedState: &d.sharedState, handle: d.handleMessage}
	d.scheduler = scheduler{mailbox: mailbox{sharedState: &d.sharedState, handle: d.scheduler.handleMessage}, dispatcher: d, arrivals: samples{0}, poolSize: minPoolSize,
		rejections: map[[3]int][2]time.Duration{}, reasons: map[InvocationID]Reason{}, checkCredit: minPoolSize, kindPaces: map[int]samples{}, kindPace: map[int]float64{}}
	if d.applyConfig(Reconfigured{Config: dep}); d.self < 0 { // not told: one of our own serves as well, others by chance
		d.self = d.rng.Intn(max(1, dep.Schedulers))
	}
	d.sendGossip(-1, GossipEntry{Kind: GossipRestarted})
	// The list service takes only so many calls at once: the first are spread, inside the stated time.
	// What has changed while nobody ran here counts as told from our first moment, and only the grace is left for it: the list has to
	// come inside that, also where many start together.
	spread := min(float64(d.pollWithin/2), (d.schedulers-1)*float64(tickInterval))
	if dep.Rules.DrainGrace > 0 {
		spread = min(spread, float64(dep.Rules.DrainGrace/firstPollParts))
	}
	d.pollAt = time.Duration(d.rng.Float64() * spread)
	return d
}

// tune takes over what a deployment tells. Invocations under way keep the operation under which they came.
func (d *Dispatcher) applyConfig(n Reconfigured) {
	h, k, dep := &d.sharedState, &d.scheduler, n.Config
	h.healthChecks, h.progressInterval = dep.Limits.HealthChecks, dep.ProgressInterval
	h.notifiesAccepted, h.notifiesStart = dep.NotifiesAccepted, dep.NotifiesStart
	h.overloadWindow, h.slowStartFrom, h.slowStartDuration = dep.Rules.OverloadWindow, dep.Rules.SlowStartFrom, dep.Rules.SlowStartDuration
	if d.polls, d.pollWithin = !dep.EndpointsPushed, dep.Rules.PollWithin; dep.Index >= 0 || n.PreviousOperations == nil {
		d.self = dep.Index
	}
	// Told too few, those with higher numbers leave cold workers alone; told none, each knows of those before it.
	d.schedulers = float64(cmp.Or(max(0, dep.Schedulers), max(1, dep.Index+1)))
	k.zone, k.cancels, k.maxInFlight, k.schedulers = dep.Zone, dep.Limits.Cancel, max(1, dep.Limits.MaxInFlight), d.schedulers
	k.queriesPerInvocation, k.staleQueueShare = 0, defaultStaleQueueShare
	k.maxAttempts, k.retryAfter = max(1, dep.Limits.MaxAttempts), min(dep.Limits.MaxRetryAfter, probationGuard)
	k.checksPerInvocation = checkBudgetPoints / max(dep.HealthCheckCost, checkBudgetPoints/4)
	k.overloadBudget, k.operations = dep.Rules.OverloadFactor*dep.Rules.OverloadWindow.Seconds(), n.operations(k.operations)
	k.tenants, k.excessWeight, k.worstOperation, k.worstOperationWeight = n.tenants(k.tenants), dep.ExcessValue, -1, dep.WorstOperationWeight
	if h.gossips = dep.Limits.Gossip && d.schedulers > 1 && dep.Index >= 0; h.gossips {
		k.staleQueueShare, k.queriesPerInvocation = 0, int(min(maxQueries, queryBudgetPoints/max(queryBytes*dep.GossipCost/MaxGossipBytes, queryBudgetPoints/maxQueries)))
	}
}

// appoint finds a worker's keeper, when it is listed first and when the settings have changed.
func (d *Dispatcher) assignOwner(at int) {
	p := &d.records[at]
	if p.owner = d.ownerOf(p.Worker); d.gossips && p.owner == d.self {
		d.owned = append(d.owned, at)
	}
	d.notifyWorker(at)
}

// relist tells a worker that was met what the list says of it.
func (d *Dispatcher) notifyWorker(at int) {
	if p := &d.records[at]; p.worker != nil {
		p.worker.send(recordChanged{p.Endpoint, p.lotteryRank, p.owner})
	}
}

// reappoint finds all keepers anew, and our lots for cold workers, which are drawn among all schedulers.
func (d *Dispatcher) reassignOwners() {
	d.owned = nil
	for at := range d.records {
		if p := &d.records[at]; p.StartKnown && d.now < p.StartedAt+d.slowStartDuration {
			p.lotteryRank = d.lotteryRank(p.Incarnation)
		}
		d.assignOwner(at)
	}
}
