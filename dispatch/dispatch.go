// Package dispatch decides for one scheduler which worker each invocation goes to, and when. Call New once at
// the start, then Handle with all events of one moment, and carry the actions out in order. All decisions are
// in this file; the interface (events, actions, what a deployment tells) is in types.go.
// SRPTMS+C decides the ordinary path: hold, rank, running set, release, clones, pool, pick. Beside it:
//  1. set-aside and trial: a worker, whole or for one tenant's operation, is judged by our own outcomes too.
//  2. stuck work: a further forward for what sits where no answer in time is to be expected.
//  3. pace: a worker's running time for each unit of work; a slow one gets only what it can do in time.
//  4. late figures: old reports count for less; where messages are allowed, our own workers come first.
//  5. cold budget: a worker which has just started is shared by the few that a lot names, the same at all.
//  6. giving up: what can't earn anything any more is answered at once, and what can earn less goes later.
package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	runningSetShare, deviationWeight, maxHedgeShare = 0.6, 3, 0.2 // the design's: the running set's part, r, a limit on clones

	sampleCount                             = 16                  // measurements are the last few samples
	minPoolSize, poolSpan                   = 16, 8 * time.Second // a pool's first workers; it holds what probes go round in
	minChecksPerSecond, checkBudgetPoints   = 3, 0.002            // probes a second; points of the result that more may cost
	immediateStartShare                     = 0.15                // of our forwards that start at once if room is somewhere
	freeSampleCount, usualSampleWeight      = 8, 6                // reports kept, and that the pool's usual one stands for
	lagFactor, minConfidence                = 2, 0.6              // spans a report may be old; how far it must hold with keepers
	defaultStaleQueueShare, hedgeConfidence = 0.5, 0.6            // what may queue on old figures; how far they hold for a clone
	slowStartWatchers                       = 6                   // schedulers, of all, that take notice of a cold worker
	budgetShareByHints, evenBudgetShare     = 1.25, 0.25          // of a cold budget, by hints: where few share it, where all do
	minRunsPerShare, minSharers             = 1.5, 5              // usual runs that a part should hold; that share it at least
	reinstateChecks, probationRuns          = 2, 3                // answers until it is on trial, successes until in full
	lateRankDivisor, wellServedShare        = 1000, 0.95          // how far late work gives way; served of what is served well
	maxBadRequests, surePaceFactor          = 2, 1.5              // workers that need not have one; its pace, to be sure
	unmeasuredCostFactor                    = 3                   // its hint, for a cold worker, until results tell how far hints are off
	medianHintRatio, waitShare              = 1.4, 0.5            // work over hinted cost in the middle; slack for waiting

	tickInterval, progressTimeout     = 20 * time.Millisecond, 300 * time.Millisecond   // time alone decides; a sign is due
	minEjection, probationGuard       = 500 * time.Millisecond, 1250 * time.Millisecond // set aside; throttled, or on trial for others' sake, at most
	maxEjection, ownerAnswerFreshness = 8 * time.Second, 10 * tickInterval              // at most; since a keeper's answer

	queryBytes, queryBudgetPoints, maxQueries = 32, 0.006, 5 // a question and its answer; points they may cost; most
)

func (d *Dispatcher) handleMessage(note any) {
	switch n := note.(type) {
	case invocationReleased:
		delete(d.invocationIndex, n.id)
	case clockTick:
		if d.polls && !d.watching && d.now >= d.pollAt {
			d.emit(WatchEndpoints{})
			d.pollAt = d.now + max(time.Second, d.pollWithin/2)
		}
	case timerRequest:
		if d.polls && !d.watching {
			n.at = min(n.at, d.pollAt)
		}
		if n.at < d.timerAt || d.timerAt <= d.now {
			d.timerAt = max(n.at, d.now+1)
			d.emit(SetTimer{At: d.timerAt})
		}
	case poolRequest:
		if d.checksRequested++; n.viaGossip || len(d.owned) == 0 || d.checksRequested%3 == 0 {
			d.checkNext(n)
		} else {
			d.orderCheck(d.owned[d.checksRequested/2%len(d.owned)], n, joinPool{n.fleetStats, false})
		}
	case EndpointUpdate:
		d.applyUpdate(n)
	case GossipReceived:
		d.receiveGossip(n)
	case refresh:
		d.scheduler.send(n)
	case Reconfigured:
		d.scheduler.refreshAll()
		d.applyConfig(n)
		d.reassignOwners()
	case QuotaUpdate:
		n.to(&d.scheduler)
	case SnapshotLoaded:
		d.loadSnapshot(n.Snapshot)
	}
}

func (d *Dispatcher) applyUpdate(list EndpointUpdate) {
	if list.Kind == WatchFailed {
		// Not all schedulers' calls at once, but inside what is left of our time after a call that was lost.
		wait := max(min(pollBackoffFirst<<max(min(d.watchFailures, 6)-1, 0), d.pollWithin/pollBackoffParts), pollBackoffMin)
		d.watching, d.watchFailures = false, d.watchFailures+1
		if !d.polls {
			return // it is pushed: nothing to ask for, and whoever carries it tells of its failures
		}
		d.pollAt = d.now + wait/2 + time.Duration(d.rng.Int63n(int64(wait)))
		d.emit(Log{fmt.Sprintf("list call failed or subscription lost, asking again at %v", d.pollAt)})
		return
	}
	if d.now > 0 { // the first one is only what was cached
		d.watching, d.watchFailures = true, 0
	}
	d.update++
	for _, e := range list.Endpoints {
		at, known := d.recordIndex[e.Worker]
		if !known {
			at = len(d.records)
			d.records, d.recordIndex[e.Worker] = append(d.records, workerRecord{}), at
			d.tagIndex[workerTag(e.Worker)] = at
			d.records[at].Worker = e.Worker
			d.assignOwner(at)
		}
		d.applyEndpoint(at, e)
	}
	for at := range d.records {
		if p := &d.records[at]; list.Kind == FullUpdate && p.update != d.update && p.State != Gone {
			gone := p.Endpoint
			gone.State = Gone
			d.applyEndpoint(at, gone)
		}
	}
}

func (d *Dispatcher) applyEndpoint(at int, e Endpoint) {
	p := &d.records[at]
	starts := e.StartKnown && e.State == Ready && (!p.StartKnown || e.StartedAt > p.StartedAt)
	if p.Endpoint, p.update = e, d.update; starts {
		p.lotteryRank = d.lotteryRank(e.Incarnation)
	}
	if e.State == Ready && !p.inCheckOrder {
		n := d.rng.Intn(len(d.checkOrder) + 1)
		d.checkOrder = append(d.checkOrder, at)
		d.checkOrder[n], d.checkOrder[len(d.checkOrder)-1], p.inCheckOrder = at, d.checkOrder[n], true
	}
	d.notifyWorker(at)
	if starts && p.lotteryRank < slowStartWatchers && d.now < e.StartedAt+d.slowStartDuration { // at our start too: who knew has forgotten
		d.workerAt(at).send(joinPool{fleetStats{runTime: 1}, false})
	}
}

// next asks the worker whose turn it is, which chance sets: one in all schedulers' pools would draw a crowd.
func (d *Dispatcher) checkNext(w poolRequest) {
	for n := 0; n < len(d.checkOrder); {
		here, turn := (d.checkTurn+n)%len(d.checkOrder), d.checkTurn%len(d.checkOrder)
		at := d.checkOrder[here]
		switch p := &d.records[at]; {
		case p.State != Ready:
			p.inCheckOrder, d.checkOrder[here] = false, d.checkOrder[len(d.checkOrder)-1]
			d.checkOrder = d.checkOrder[:len(d.checkOrder)-1]
		case !w.matches(p.Kind, p.Zone, p.Cell):
			n++
		default:
			d.checkOrder[here], d.checkOrder[turn], d.checkTurn = d.checkOrder[turn], at, turn+1
			d.orderCheck(at, w, joinPool{w.fleetStats, w.viaGossip})
			return
		}
	}
}

// lot is our place among all for one start of a worker: left to chance, now none and now many would come.
func (d *Dispatcher) lotteryRank(start uint64) (before int) {
	mine := rendezvousHash(start, d.self)
	for other := range int(d.schedulers) {
		if d.self >= int(d.schedulers) || rendezvousHash(start, other) < mine { // beyond the number told: all come before us
			before++
		}
	}
	return before
}

func (w *worker) handleMessage(note any) {
	w.scheduler.currentView(w.index)
	switch n := note.(type) {
	case recordChanged:
		w.lotteryRank, w.owner, w.ownedHere = n.lotteryRank, n.owner, w.gossips && n.owner == w.self
		w.applyEndpoint(n.Endpoint)
	case attemptSent:
		w.serial++
		n.serial = w.serial
		w.attempts = append(w.attempts, n.workerAttempt)
		w.sendGossip(w.owner, GossipEntry{GossipAttemptStarted, n.serial, w.tag})
	case gossipMessage:
		w.receiveGossip(n)
	case stateTransfer:
		n.to(w)
	case refresh:
		w.checkOverdue()
	case joinPool:
		w.fleet, w.pooledAt, w.recheck = n.fleetStats, w.now, n.unmeasured && !n.viaGossip
		if n.viaGossip && !w.ownedHere && !(w.checkPending && w.queriedAt == w.now) {
			w.queriedAt, w.checkPending, w.unansweredSince = w.now, true, cmp.Or(w.unansweredSince, w.now)
			w.sendGossip(w.owner, GossipEntry{Kind: GossipCapacityQuery, Tag: w.tag})
		}
		if !n.viaGossip || w.ownerSilent && w.rng.Intn(maxQueries) == 0 { // its keeper can't be heard: as without one
			w.healthCheck()
		}
	case eventMessage:
		switch e := n.event.(type) {
		case AttemptProgress:
			if f := w.inFlightAttempt(n.invocation, e.Attempt); f != nil {
				if f.accepted = true; e.Accepted { // no sign that work goes on: one that hangs takes all it gets
					break
				}
				if w.lastProgress, f.progressAt = w.now, w.now; e.Started {
					if f.startedAt == 0 && w.now < f.sentAt+2*tickInterval {
						w.scheduler.send(startObserved{1})
					}
					f.startedAt = w.now
				} else if f.startedAt == 0 { // its first progress note
					f.startedAt = w.now - w.progressInterval
				}
				w.reinstate(true)
			}
		case Outcome:
			w.attemptEnded(n, e)
		case HealthCheckResult:
			w.healthCheckEnded(e)
		}
	case rejectedElsewhereAccepted:
		w.eject("turns away what others take", false)
	}
	w.publishView()
}

func (w *worker) receiveGossip(n gossipMessage) {
	switch inv := -2 - n.from; n.Kind {
	case GossipAttemptStarted: // its end may never be told, and it may be told twice
		w.receiveGossip(gossipMessage{n.from, GossipEntry{Kind: GossipAttemptEnded, Serial: n.Serial}})
		w.attempts = append(w.attempts, workerAttempt{invocation: inv, number: int(n.Serial), slots: 1, sentAt: w.now,
			endedAt: w.now + maxEjection})
	case GossipAttemptEnded, GossipRestarted: // of a scheduler that starts anew all is soon over
		for i := range w.attempts {
			if e := &w.attempts[i]; e.invocation == inv && n.Kind == GossipRestarted {
				e.endedAt = min(e.endedAt, w.now+seconds(w.fleet.runTime))
			} else if e.invocation == inv && e.number == int(n.Serial) {
				e.endedAt = min(e.endedAt, w.now)
			}
		}
	case GossipCapacityQuery:
		// Others who were told of the same slot just before may take it.
		for w.recentQueries.add(w.now.Seconds()); w.recentQueries[0] < (w.now - 2*tickInterval).Seconds(); {
			w.recentQueries = w.recentQueries[1:]
		}
		if free := math.Round(w.free - float64(len(w.recentQueries))/maxQueries); w.measured && w.eligible {
			w.sendGossip(n.from, GossipEntry{GossipCapacityReply, uint8(int8(max(-99, min(99, free)))), w.tag})
		} else if w.ejected {
			w.sendGossip(n.from, GossipEntry{GossipCapacityReply, uint8(int8(-min(99, w.maxFree))), w.tag})
		}
	case GossipCapacityReply:
		if w.checkPending, w.unansweredSince = false, 0; !w.ownedHere {
			w.maxFree = max(w.maxFree, float64(int8(n.Serial)))
			w.recordFreeSlots(w.queriedAt-tickInterval, float64(int8(n.Serial)))
		}
	}
}

// estimate tells what the worker's book says at a time.
func (w *worker) estimate(now time.Duration) {
	w.eligible, w.onProbation, w.measured = w.state == Ready && !w.ejected, w.probationLeft > 0, len(w.freeSamples) > 0
	w.rejecting, w.active = now < w.rejectedUntil, w.ejected || w.recheck
	w.ownerSilent = w.unansweredSince > 0 && now > w.unansweredSince+ownerAnswerFreshness
	w.reserved, w.inFlight, w.warmUpWeight, w.budgetUsed = w.reservedAt(now), w.slotsInFlight(), 1, 0
	if n := len(w.freeSamples); w.ownedHere { // all that is there is known
		w.confidence, w.free = 1, math.Round(w.lastFree-w.reserved)
	} else if n > 0 {
		// A crowd chases the worker that looked emptiest: the older its last figure, the more the mean of the last
		// few counts, and the fewer there are, the more what is usual anywhere.
		w.confidence = math.Exp(-max(0, now-w.freeSampledAt).Seconds() / max(w.fleet.runTime, 0.1))
		faded := w.fleet.usualFree + w.freeSamples.sum()/float64(n+usualSampleWeight)
		w.free = math.Round(min(w.confidence*w.lastFree+(1-w.confidence)*faded-w.reserved, w.maxFree))
	}
	if age := now - w.startedAt; w.startKnown && age < w.slowStartDuration {
		w.warmUpWeight = w.slowStartFrom + (1-w.slowStartFrom)*max(0, age.Seconds()/w.slowStartDuration.Seconds())
	}
	for i := range w.attempts {
		e := &w.attempts[i]
		if w.active = w.active || e.endedAt == 0; w.warmUpWeight < 1 && e.sentAt+w.overloadWindow > now && e.sentAt > w.startedAt {
			w.budgetUsed += e.cost
		}
	}
}

func (w *worker) applyEndpoint(e Endpoint) {
	if w.state = e.State; e.State == Gone {
		w.loseAttempts(w.now)
		return
	}
	if e.StartKnown && (!w.startKnown || e.StartedAt > w.startedAt) {
		w.startKnown, w.startedAt, w.freeSamples, w.lastReport, w.paces, w.pace = true, e.StartedAt, nil, LoadReport{}, nil, 0
		w.ejected, w.probationLeft, w.checksMissed = false, 0, 0
		w.loseAttempts(e.StartedAt)
	}
	w.zone, w.kind, w.cell = e.Zone, e.Kind, e.Cell
}

func (w *worker) healthCheck() {
	if w.healthChecks && w.state == Ready && !(w.checkPending && w.checkedAt == w.now) {
		w.checkedAt, w.checkPending = w.now, true
		w.emit(HealthCheck{w.id})
	}
}

func (w *worker) healthCheckEnded(a HealthCheckResult) {
	w.checkPending = false
	switch a.Result {
	case Succeeded:
		w.checksMissed, w.checksAnswered, w.rejectedUntil = 0, w.checksAnswered+1, 0
		if w.recordReport(a.Load); a.Load == nil && w.now > w.reportedAt+probationGuard {
			// It has ceased to report: what was free once tells nothing, our own counts do.
			w.freeSamples, w.free, w.maxFree, w.confidence = nil, 0, 0, 0
		}
		w.reinstate(w.checksAnswered >= reinstateChecks)
	case Rejected, ReusedConnectionBroken: // probes are capped, connections break, which tells nothing
	default:
		w.checksAnswered, w.checksMissed = 0, w.checksMissed+1
		// What fails at once may be the network's doing: it is tried again at once before it counts.
		w.recheck = a.Latency < progressTimeout/2 && w.checksMissed < 3
		if !w.recheck && (w.checksMissed > 1 || w.lastProgress < w.now-a.Latency) {
			w.eject("probes go unanswered", true)
		}
	}
}

// report takes a load report in. One that equals the last and comes soon after is the same figure seen again.
func (w *worker) recordReport(load *LoadReport) {
	if load == nil {
		return
	}
	first, changed, gap := w.lastReport == LoadReport{}, *load != w.lastReport, w.now-w.reportedAt
	if w.lastReport, w.reportedAt = *load, w.now; gap < 10*tickInterval && !first {
		w.scheduler.send(reportPair{gap.Seconds(), map[bool]float64{true: 1}[changed]})
	}
	if !changed && gap < 5*w.fleet.lag || load.FreeSlots < 0 {
		return
	}
	// What fails fast leaves its slots free: they are counted as if it had run.
	free := math.Round(load.FreeSlots - load.Queued - load.ErrorRate*w.fleet.runTime)
	w.maxFree, w.serviceTime = max(w.maxFree, free), load.ServiceTime
	w.recordFreeSlots(w.now-w.fleet.lag, free)
	oldest := w.now - max(w.fleet.lag, w.overloadWindow)
	w.attempts = slices.DeleteFunc(w.attempts, func(e workerAttempt) bool { return e.endedAt != 0 && e.endedAt < oldest })
}

func (w *worker) recordFreeSlots(at time.Duration, free float64) {
	open := free + w.reservedAt(at)
	if w.lastFree, w.freeSampledAt = min(open, w.maxFree), at; !w.ownedHere {
		// By how much it lies off what is usual: when all have filled or emptied, old figures tell no more.
		w.freeSamples.add(w.lastFree - w.fleet.usualFree)
	} else if w.lastReport.Queued > 0 || free > 0 || len(w.freeSamples) == 0 || open < w.freeSamples.quantile(0.5) {
		w.freeSamples.add(open) // a full one may have more waiting than it tells
	}
	if w.freeSamples = w.freeSamples[max(0, len(w.freeSamples)-freeSampleCount):]; w.ownedHere {
		w.lastFree, w.maxFree = w.freeSamples.quantile(0.5), max(1, w.freeSamples.quantile(0.5))
		open = free
	}
	if w.warmUpWeight == 1 {
		w.scheduler.send(freeSlotsObserved(min(open, w.maxFree)))
	}
}

func (w *worker) attemptEnded(n eventMessage, o Outcome) {
	w.recordReport(o.Load)
	if e := w.inFlightAttempt(n.invocation, o.Attempt); e != nil {
		defer w.gossipEnded(e.serial, o.Result)
		e.endedAt, w.lastProgress = w.now, w.now
		switch o.Result {
		case Succeeded:
			n.runTime, w.rejectedUntil, w.consecutiveBreaks = w.now-cmp.Or(e.startedAt, e.sentAt), 0, 0
			w.paces.add(n.runTime.Seconds() / e.work * w.warmUpWeight) // as it will be: how cold it is comes on top
			if w.pace = w.paces.quantile(0.5); w.gossips && !w.ownedHere {
				w.recordFreeSlots(w.now, 1) // the slot that it leaves is ours at once, before its keeper hears of it
			}
			w.reinstate(true)
			if w.probationLeft = max(0, w.probationLeft-1); w.probationLeft == 0 {
				w.ejections = max(0, w.ejections-1)
			}
		case Failed, ConnectionBroken:
			// One that fails fast shows the most free slots and would draw all work; the network breaks some.
			w.recheck = o.Result == ConnectionBroken
			if w.consecutiveBreaks++; !w.recheck || w.consecutiveBreaks >= probationRuns {
				w.eject("fails what it gets", false)
			}
		case Cancelled: // it may go on: its slots stay counted for as long as it would have run
			e.endedAt = max(w.now, e.sentAt+seconds(e.work*max(0.5, w.pace)))
		case Rejected:
			e.endedAt, w.rejectedUntil = e.sentAt, w.now+minEjection // it counts as sent to a cold worker all the same
			if w.measured {
				w.recordFreeSlots(w.now, 0)
			}
		case Unreachable, NotSent:
			if e.endedAt, e.cost = e.sentAt, 0; o.Result == Unreachable {
				w.checksMissed, w.recheck = w.checksMissed+1, true
				if w.checksMissed > 1 || w.now-e.sentAt >= progressTimeout/2 {
					w.eject("can't be reached", true)
				}
			}
		}
	}
	w.scheduler.send(n)
}

// ended tells the keeper. What a silent worker has may hold its slots for long, whatever we wait for.
func (w *worker) gossipEnded(serial uint8, r Result) {
	if !w.ejected || r != TimedOut && r != Cancelled {
		w.sendGossip(w.owner, GossipEntry{Kind: GossipAttemptEnded, Serial: serial})
	}
}

func (w *worker) reinstate(seen bool) {
	if w.ejected && seen && w.now >= w.ejectedUntil {
		w.ejected, w.probationLeft, w.pooledAt, w.reinstatedAt = false, probationRuns*max(1, w.ejections), w.now, w.now
		w.emit(Log{fmt.Sprintf("worker %v is back, on trial", w.id)})
	}
}

// setAside doubles the span each time, as probes are not to be spent on the dead where there are few.
func (w *worker) eject(why string, silent bool) {
	if w.state == Ready && (!w.ejected || silent && w.now >= w.ejectedUntil) {
		w.emit(Log{fmt.Sprintf("worker %v is set aside: %s", w.id, why)})
		w.ejectedUntil = w.now + min(minEjection<<w.ejections, maxEjection)
		w.ejected, w.checksAnswered, w.ejections = true, 0, min(w.ejections+1, 5)
	}
	if silent {
		w.loseAttempts(w.now)
	}
}

// watch looks for overdue signs. A hung worker shows the most free slots and would draw all work, but a busy
// one must not lose its place: suspicion asks, silence beyond what waiting explains decides.
func (w *worker) checkOverdue() {
	longest, most := time.Duration(0), 3*w.fleet.runTime*max(1, w.pace)
	if w.lastReport.FreeSlots <= 0 {
		// In thin traffic nothing else of ours shows that a full one is at work: its queue explains silence.
		most *= 2 + w.lastReport.Queued/max(1, w.maxFree)
	}
	for i := range w.attempts {
		e := &w.attempts[i]
		due := e.sentAt
		switch {
		case e.endedAt != 0 || e.lost || w.ejected:
			continue
		case w.notifiesAccepted && !e.accepted && w.now >= e.sentAt+progressTimeout:
			// The connection may have fallen silent under the request, whatever else is heard of the worker.
			w.loseAttempt(e)
			continue
		case w.progressInterval > 0 && e.startedAt > 0 && w.lastProgress > e.progressAt+w.progressInterval+progressTimeout:
			// The worker has told of others since this one's note was due: it has lost this one, or its answer.
			w.loseAttempt(e)
			continue
		case w.notifiesStart && e.startedAt == 0:
			if begin := e.sentAt + 2*tickInterval; begin <= w.now && w.now < begin+tickInterval {
				if w.scheduler.send(startObserved{0}); w.measured {
					w.recordFreeSlots(w.now, -e.slots) // it waits: nothing is free now, whatever the last report says
				}
			}
		case w.progressInterval > 0:
			due = max(due, e.progressAt) + w.progressInterval
		default:
			due += seconds(4 * e.work * max(1, w.pace))
		}
		silent := w.now - max(due, w.lastProgress) - progressTimeout
		if longest = max(longest, silent); silent > seconds(most) {
			w.eject("silent", true)
		}
	}
	if !w.healthChecks { // nobody may ask it: time alone lets it be tried again
		w.reinstate(true)
	}
	if past := w.now - w.checkedAt; w.recheck && past >= tickInterval || longest > 0 && past >= max(progressTimeout, longest) ||
		w.ejected && w.now >= w.ejectedUntil && past >= minEjection/2 {
		w.recheck = false
		w.healthCheck()
	}
}

func (s *scheduler) handleMessage(note any) {
	switch n := note.(type) {
	case *workerView:
		s.updateView(n)
		s.spareViews = append(s.spareViews, n)
	case startObserved:
		s.immediateStarts.add(n.immediate)
	case freeSlotsObserved:
		s.freeSlots.add(float64(n))
	case reportPair:
		s.reportGaps.add(n.gap)
		s.reportChanges.add(n.changed)
	case attemptStalled:
		if j := &s.invocations[n.invocation]; !j.answered && n.number < len(j.attempts) {
			j.attempts[n.number].stalled = true
			s.retry(n.invocation)
		}
	case clockTick:
		s.tick()
	case orderedCheck:
		s.orderedChecks = append(s.orderedChecks, n)
	case refresh:
		s.beginEpoch()
	case scheduleNow:
		s.schedule()
	case eventMessage:
		switch e := n.event.(type) {
		case Arrival:
			s.admit(n.invocation, e)
		case MigratedIn:
			s.migrateIn(n.invocation, e)
		case MigratedOut:
			s.migrateOut(n.invocation)
		case Outcome:
			s.attemptEnded(n, e)
		case ResponseStarted:
			s.complete(n.invocation, e.Attempt)
		case ClientDisconnected:
			s.complete(n.invocation, -1)
		}
	}
}

// post keeps the board, and the pool within its size.
func (s *scheduler) updateView(n *workerView) {
	n.estimatePace(s.kindPace, s.fleet)
	s.storeView(n)
	for n := 0; len(s.pool) > int(s.poolSize) && n < len(s.pool); {
		if c := s.currentView(s.pool[n]); c.lotteryRank >= slowStartWatchers || c.warmUpWeight == 1 {
			s.leavePool(n)
		} else if n++; s.now > c.pooledAt+poolSpan/4 { // we are one of few that may use it
			s.dispatcher.records[c.index].worker.send(joinPool{s.fleet, false})
		}
	}
}

// watch lets only those workers look at the time that matter now: its cost must not grow with the fleet.
func (s *scheduler) tick() {
	rate := minChecksPerSecond + s.checksPerInvocation*float64(len(s.arrivals))/max(0.1, s.now.Seconds()-s.arrivals[0])
	s.poolSize = max(minPoolSize, min(s.poolSize, rate*poolSpan.Seconds()))
	s.checkCredit += minChecksPerSecond * (s.now - s.creditedAt).Seconds()
	round := s.now >= s.refreshedAt+tickInterval
	// Best when an invocation comes, as figures are worth most while they are young; else a few each second.
	if s.creditedAt = s.now; s.arrivedSinceTick || s.checkCredit >= minChecksPerSecond {
		for s.arrivedSinceTick = false; s.checkCredit >= 1; s.checkCredit-- {
			s.dispatcher.send(poolRequest{-1, -1, -1, 0, false, round, s.fleet})
		}
		if s.fleet.unmeasured {
			s.forwardedAt = s.now
		}
	}
	if !round {
		return
	}
	if s.refreshedAt = s.now; s.now >= s.learnedAt+5*tickInterval {
		s.learnFleet()
		s.rerankQueue()
	}
	s.dispatcher.send(refresh{})
}

func (s *scheduler) learnFleet() { // of the middle, as the queue of one that hangs would drag a mean down
	var service samples
	for _, at := range s.pool {
		if c := s.views[at]; c.measured {
			service.add(c.serviceTime)
		}
	}
	// Few reports a second can't show where room is: while some of what we send starts at once, it is somewhere.
	slots := s.freeSlots.quantile(0.5)
	if s.immediateStarts.mean() > immediateStartShare && (s.queriesPerInvocation == 0 || len(s.freeSlots) < sampleCount) {
		slots = max(1, slots)
	}
	s.learnedAt, s.fleet = s.now, fleetStats{runTime: cmp.Or(s.runTimes.mean(), 1), unmeasured: len(s.reportGaps) < sampleCount/2,
		usualFree: slots, serviceTime: service.quantile(0.5),
		lag: seconds(lagFactor * (progressTimeout.Seconds() + s.reportGaps.sum()) / (1 + s.reportChanges.sum()))}
}

func (s *scheduler) admit(i int, a Arrival) {
	o, j := &s.operations[min(a.Operation, len(s.operations)-1)], &s.invocations[i]
	*j = invocation{id: a.Invocation, operation: a.Operation, tenant: a.Tenant, arrivedAt: s.now, deadline: s.now + a.Budget,
		work: cmp.Or(max(0, a.Hint), o.runTimes.mean(), 1), slots: max(1, a.Slots), attempts: j.attempts[:0]}
	// What is left of a later try tells how long its client has waited. One that waits for less than others from
	// the first looks the same: neither is refused for that, both go behind.
	o.longestBudget = max(o.longestBudget, a.Budget)
	j.firstTriedAt = s.now - (o.longestBudget - a.Budget)
	s.admitted, o.arrived = s.admitted+1, o.arrived+1
	if a.Tenant < len(s.tenants) {
		s.tenants[a.Tenant].arrivals.add(s.now.Seconds())
	}
	s.arrivals.add(s.now.Seconds())
	if !slices.ContainsFunc(s.pool, func(at int) bool { return s.currentView(at).hasOwnedCapacity(j) }) {
		for range min(s.queriesPerInvocation, len(s.dispatcher.checkOrder)) {
			s.dispatcher.send(poolRequest{-1, -1, -1, 0, true, false, s.fleet})
		}
	}
	if s.arrivedSinceTick = true; s.queriesPerInvocation == 0 && s.checkCredit+minChecksPerSecond*(s.now-s.creditedAt).Seconds() < 1 { // floor's are spent
		s.checkCredit += s.checksPerInvocation
	}
	s.enqueue(i)
}

func (s *scheduler) enqueue(i int) {
	j := &s.invocations[i]
	j.effectiveSize = j.work * (1 + deviationWeight*s.operations[j.operation].costRatios.spread())
	j.budgetCost = s.budgetCost(j)
	s.updateRank(j)
	at := sort.Search(len(s.queue), func(n int) bool { return s.invocations[s.queue[n]].rank < j.rank })
	s.queue = slices.Insert(s.queue, at, i)
}

// expectedCost is what an invocation counts for at a cold worker. All hints may be far off, which only results show: until there is one of its
// operation, and no worker has reported how long anything runs, they count several times.
func (s *scheduler) budgetCost(j *invocation) float64 {
	measured := s.operations[j.operation].hintErrors
	if len(measured) == 0 && s.fleet.serviceTime == 0 {
		return j.work * unmeasuredCostFactor
	}
	return j.work * max(1, measured.mean())
}

// rank is weight over size: of what an answer still brings, less once late or beyond its tenant's share.
func (s *scheduler) updateRank(j *invocation) {
	o := &s.operations[j.operation]
	worth := o.weight
	if s.late(j, j.firstTriedAt) {
		worth, j.reserve = worth*cmp.Or(o.lateWeight, 1)/lateRankDivisor, 1 // it may have what is left over
	}
	if j.tenant < len(s.tenants) && len(s.tenants[j.tenant].arrivals) > 0 { // or known only since
		t := &s.tenants[j.tenant]
		rate := s.schedulers * float64(len(t.arrivals)) / max(0.1, s.now.Seconds()-t.arrivals[0])
		within := min(1, t.QuotaPerSecond/rate)
		worth *= within + (1-within)*s.excessWeight
	}
	if j.operation == s.worstOperation { // while work is lost it counts twice, by its part
		worth *= 1 + s.worstOperationWeight/max(0.01, o.weight*o.arrived/s.offeredWeight)
	}
	j.weight, j.rank = worth, worth/j.effectiveSize
}

func (s *scheduler) rerankQueue() {
	s.offeredWeight, s.worstOperation = 0, -1
	least, most := wellServedShare, 0.0
	for i := range s.operations {
		o := &s.operations[i]
		s.offeredWeight += o.weight * o.arrived
		served := o.served.mean()
		if most = max(most, served); len(o.served) > 0 && served < least {
			least, s.worstOperation = served, i
		}
	}
	if least > most-0.1 {
		s.worstOperation = -1
	}
	for _, i := range s.queue {
		s.updateRank(&s.invocations[i])
	}
	slices.SortStableFunc(s.queue, func(a, b int) int { return cmp.Compare(s.invocations[b].rank, s.invocations[a].rank) })
}

func (s *scheduler) retry(i int) {
	j := &s.invocations[i]
	hope := slices.ContainsFunc(j.attempts, func(t requestAttempt) bool { return t.inFlight && !t.stalled })
	if j.answered || hope || slices.Contains(s.queue, i) {
		return
	}
	if s.summarizePool(); s.mayAttempt(j) && !s.cannotMeetDeadline(j) {
		s.enqueue(i)
	} else {
		s.giveUp(i)
	}
}

// may tells whether the effect class and the limits allow one more forward.
func (s *scheduler) mayAttempt(j *invocation) bool {
	o := &s.operations[j.operation]
	out, first := j.inFlight()
	return len(j.attempts) < s.maxAttempts && out < s.maxInFlight && j.badRequests < maxBadRequests && (first == nil ||
		o.effect == Idempotent || o.effect == Deduplicated && s.now < first.sentAt+o.dedupWindow)
}

// slack is how long an invocation may wait, from its first try, before a worker of that pace is too late.
func (s *scheduler) slack(j *invocation, pace float64) time.Duration {
	o := &s.operations[j.operation]
	return o.objective + seconds(waitShare*j.work*(medianHintRatio*o.stretch-pace))
}

// tardy: it has waited too long for any worker; not before the plain objective, as paces may be wrong.
func (s *scheduler) late(j *invocation, since time.Duration) bool {
	most := s.operations[j.operation].objective
	if len(s.pool) > 0 {
		most = max(most, s.slack(j, s.summary.fastestPace))
	}
	return s.now-since > most
}

// hopeless: nothing is to be earned any more, as it would be late, or not done before its client gives up.
func (s *scheduler) cannotMeetDeadline(j *invocation) bool {
	left := j.deadline - s.now
	return left <= 2*tickInterval || s.late(j, j.arrivedAt) && !s.operations[j.operation].countsLate ||
		s.late(j, j.firstTriedAt) && left <= seconds(j.work*s.summary.fastestPace)
}

func (s *scheduler) giveUp(i int) {
	j := &s.invocations[i]
	o := &s.operations[j.operation]
	s.reasons[j.id] = s.rejectionReason(j)
	switch out, first := j.inFlight(); {
	case out > 0: // it may still be answered
		s.dequeue(i)
		return
	case j.badRequests < maxBadRequests && (first == nil || o.effect == Idempotent ||
		o.effect == Deduplicated && o.scope == ScopeAll):
		// Those that many schedulers turn away at one moment would all come back at one moment.
		s.emit(Throttle{j.id, s.retryAfter*3/5 + time.Duration(s.rng.Int63n(int64(s.retryAfter)*2/5+1))})
	default:
		s.emit(Fail{j.id})
	}
	s.complete(i, -1)
}

func (s *scheduler) complete(i, but int) {
	j := &s.invocations[i]
	if o := &s.operations[j.operation]; !j.answered && but != keepAttempts {
		o.served.add(0)
	} else if !j.answered && s.now-j.arrivedAt > o.objective+seconds(o.stretch*j.work) {
		o.served.add(o.lateWeight)
	} else if !j.answered {
		o.served.add(1)
	}
	s.dequeue(i)
	j.finished = true
	for f, t := range j.attempts {
		if t.inFlight && !j.answered && f != but && s.cancels {
			s.emit(Cancel{j.id, f})
		}
		j.finished = j.finished && !t.inFlight
	}
	if j.answered = true; j.finished {
		s.freeInvocations = append(s.freeInvocations, i)
		s.dispatcher.send(invocationReleased{j.id})
	}
}

func (s *scheduler) attemptEnded(n eventMessage, e Outcome) {
	j := &s.invocations[n.invocation]
	if e.Attempt >= len(j.attempts) || !j.attempts[e.Attempt].inFlight {
		return
	}
	t, o := &j.attempts[e.Attempt], &s.operations[j.operation]
	t.inFlight, t.mayHaveRun = false, e.Result != Rejected && e.Result != Unreachable && e.Result != NotSent
	key := [3]int{t.worker, j.operation, j.tenant}
	switch e.Result {
	case BadRequest: // its own fault or the worker's: the next worker's word tells which
		t.badRequest, j.badRequests = true, j.badRequests+1
	case Succeeded:
		for _, t := range j.attempts {
			if t.badRequest {
				s.dispatcher.records[t.worker].worker.send(rejectedElsewhereAccepted{})
			}
		}
		delete(s.rejections, key)
		o.runTimes.add(n.runTime.Seconds())
		o.costRatios.add(n.runTime.Seconds() / j.work)
		s.runTimes.add(n.runTime.Seconds())
		c := s.currentView(t.worker)
		o.hintErrors.add(n.runTime.Seconds() / (j.work * c.pace))
		if c.warmUpWeight == 1 {
			paces := s.kindPaces[c.kind]
			paces.add(n.runTime.Seconds() / j.work)
			s.kindPaces[c.kind] = paces
			s.setKindPace(c.kind, paces.quantile(0.5))
		}
	case Rejected, Unreachable:
		// One that turns a tenant away while its probes show room would draw its top invocation for ever.
		span := min(max(2*s.rejections[key][1], minEjection/8), maxEjection)
		s.rejections[key] = [2]time.Duration{s.now + span, span}
	}
	if j.answered || e.Answered || e.Result == Succeeded {
		s.complete(n.invocation, keepAttempts)
	} else if s.now < j.deadline && e.Result != NotSent {
		s.retry(n.invocation)
	} else {
		s.giveUp(n.invocation)
	}
}

// choose is the design's step: running set, release in rank order, clones from what room is left.
func (s *scheduler) schedule() {
	total, above, running := 0.0, 0.0, []int(nil)
	for n, i := range s.queue {
		if total += s.invocations[i].weight; n == 0 {
			s.summarizePool()
		}
	}
	asking := slices.ContainsFunc(s.pool, func(at int) bool { return s.views[at].checkPending })
	for n := 0; n < len(s.queue); {
		i := s.queue[n]
		j := &s.invocations[i]
		inSet := above < runningSetShare*total
		above += j.weight
		if !s.mayAttempt(j) || s.cannotMeetDeadline(j) { // what it was held for may have passed since, or the limits changed
			s.giveUp(i)
		} else if asking && s.now < j.arrivedAt+tickInterval {
			n++
		} else if at, _ := s.selectWorker(j); at >= 0 {
			s.forward(i, at)
			if inSet && s.operations[j.operation].effect == Idempotent && len(j.attempts) == 1 {
				running = append(running, i)
			}
		} else {
			s.growPool(j)
			n++
		}
	}
	s.hedge(running)
	next := s.now + seconds(max(0, 1-s.checkCredit/minChecksPerSecond))
	if len(s.queue) > 0 || s.now < s.forwardedAt+2*tickInterval {
		next = min(next, s.now+tickInterval)
	} else if len(s.tracked) > 0 {
		next = min(next, s.now+progressTimeout/3)
	}
	s.dispatcher.send(timerRequest{next})
}

func (s *scheduler) hedge(running []int) {
	slices.SortStableFunc(running, func(a, b int) int { return cmp.Compare(s.invocations[b].weight, s.invocations[a].weight) })
	for _, i := range running {
		at, roomy := s.selectWorker(&s.invocations[i])
		if len(s.queue) > 0 || !roomy || s.hedges+1 >= maxHedgeShare*s.admitted || !s.mayAttempt(&s.invocations[i]) {
			return
		}
		if at >= 0 && s.views[at].confidence > hedgeConfidence { // clones would spawn on the phantom room of late reports
			s.hedges++
			s.forward(i, at)
		}
	}
}

// grow adds a worker when those of the pool are all busy, ever more rarely, as the whole fleet may be.
func (s *scheduler) growPool(j *invocation) {
	if s.now >= j.growAt {
		j.growAt = s.now + 2*tickInterval + 2*(s.now-j.arrivedAt)
		s.poolSize++
		for range max(1, s.queriesPerInvocation/2) {
			s.dispatcher.send(s.requirements(j))
		}
	}
}

// wants tells which workers may have an invocation next; its first forward that may have run fixes the group.
func (s *scheduler) requirements(j *invocation) poolRequest {
	o, w := &s.operations[j.operation], poolRequest{s.operations[j.operation].kind, -1, -1, 0, s.gossips, false, s.fleet}
	if _, first := j.inFlight(); first != nil && o.effect == Deduplicated {
		w.notAfter = first.sentAt + o.dedupWindow
		w.zone, w.cell = o.group(first)
	}
	return w
}

func (s *scheduler) forward(i, at int) {
	j, c := &s.invocations[i], &s.views[at].workerView
	s.dequeue(i)
	s.emit(Forward{j.id, s.dispatcher.records[at].Worker, s.requirements(j).notAfter})
	j.attempts = append(j.attempts, requestAttempt{worker: at, zone: c.zone, cell: c.cell, sentAt: s.now, inFlight: true})
	s.forwardedAt = s.now
	c.free, c.reserved, c.inFlight, c.budgetUsed = c.free-j.slots, c.reserved+j.slots, c.inFlight+j.slots, c.budgetUsed+j.budgetCost
	s.dispatcher.records[at].worker.send(attemptSent{workerAttempt{invocation: i, number: len(j.attempts) - 1, slots: j.slots, work: j.work,
		cost: j.budgetCost, sentAt: s.now}})
}

// survey looks over the pool once for all that is decided at one moment, as time for decisions may be short.
func (s *scheduler) summarizePool() {
	s.summary, s.candidates = poolSummary{fastestPace: math.Inf(1)}, s.candidates[:0]
	told := s.queriesPerInvocation > 0 && s.now < s.dispatcher.ownerAnsweredAt+ownerAnswerFreshness
	for _, at := range s.pool {
		view, summary := s.currentView(at), &s.summary
		if summary.pooled, summary.reserved, summary.fastestPace = summary.pooled+1, summary.reserved+view.reserved, min(summary.fastestPace, view.pace); view.measured {
			summary.measured, summary.free, summary.reservedMeasured = summary.measured+1, summary.free+view.free, summary.reservedMeasured+view.reserved
		}
		summary.withFree += max(0, min(1, math.Floor(view.free)))
		if told && !view.ownerSilent && view.confidence < minConfidence && view.warmUpWeight == 1 {
			continue // while keepers answer, what none of them has told of lately counts for nothing
		}
		if (!view.measured || view.free+(1-view.confidence)*view.maxFree*s.staleQueueShare >= 1) && (view.warmUpWeight == 1 || s.withinSlowStartBudget(0, view)) {
			s.candidates = append(s.candidates, at)
		}
	}
}

// pick gives -1 where no room seems free. roomy: over half the pooled workers show room.
func (s *scheduler) selectWorker(j *invocation) (best int, roomy bool) {
	summary, want := &s.summary, s.requirements(j)
	best, roomy = -1, 2*summary.withFree > summary.pooled
	if len(s.candidates) == 0 {
		return best, roomy
	}
	// Better held for one that can do it in time than sent to one that can't.
	waited, bestRoom, from := s.now-j.arrivedAt, 0.0, s.rng.Intn(len(s.candidates))
	timely := len(j.attempts) == 0 && want.kind < 0 && (s.operations[j.operation].countsLate || waited <= s.slack(j, summary.fastestPace))
	latest := s.operations[j.operation].objective + seconds(medianHintRatio*s.operations[j.operation].stretch*j.work) - waited
	for n := range s.candidates {
		at := s.candidates[(from+n)%len(s.candidates)]
		c := &s.views[at].workerView
		if !want.matches(c.kind, c.zone, c.cell) || !s.eligible(j, at, c) {
			continue
		}
		has := c.free
		if summary.measured == 0 { // no figure of free slots anywhere: the workers where we have least, up to the mean
			if has = j.slots + math.Floor(summary.reserved/summary.pooled-c.reserved); c.rejecting {
				has = 0 // nor where the last answer was full
			}
		} else if !c.measured { // new to the pool: it counts at the mean
			has = math.Round((summary.free+summary.reservedMeasured)/summary.measured - c.reserved)
		}
		left := s.slack(j, c.pace) - waited
		inTime := s.operations[j.operation].countsLate || left >= 0
		// Figures that come late show no room that has been free for less: work that can wait may queue there.
		seat := has + s.staleQueueShare*(1-c.confidence)*c.maxFree*max(0, min(1, left.Seconds()/s.fleet.runTime))
		if seat < j.slots+j.reserve || timely && !inTime {
			continue
		}
		if seconds(j.work*c.pace*surePaceFactor) <= latest {
			has += minPoolSize * minPoolSize // before those that may be too slow
		}
		if c.hasOwnedCapacity(j) {
			has += minPoolSize // what others tell of theirs may be taken by the time that we are there
		}
		if c.zone == s.zone {
			has += 0.5 // among equals the own zone, then the faster one
		}
		if best < 0 || has > bestRoom || has == bestRoom && c.pace < s.views[best].pace {
			best, bestRoom = at, has
		}
	}
	return best, roomy
}

func (v *workerView) hasOwnedCapacity(j *invocation) bool {
	return v.ownedHere && v.warmUpWeight == 1 && v.free >= j.slots
} // we know

func (s *scheduler) eligible(j *invocation, at int, c *workerView) bool {
	spared := len(s.rejections) > 0 && s.rejections[[3]int{at, j.operation, j.tenant}][0] > s.now
	return !spared &&
		!(c.onProbation && (c.inFlight > 0 || s.operations[j.operation].effect == NonIdempotent && s.now < c.reinstatedAt+probationGuard)) &&
		!slices.ContainsFunc(j.attempts, func(t requestAttempt) bool { return t.worker == at && (t.inFlight || t.mayHaveRun) }) &&
		(c.warmUpWeight == 1 || s.withinSlowStartBudget(j.budgetCost, c))
}

// warms tells whether a cold worker may get an invocation if all others send too. All share its budget evenly
// where an even part holds a few usual runs. Else a lot names those that share it: two have a third each, as
// most work is heavy and even parts would hold none; others, twice as many as keep it busy, the last third.
func (s *scheduler) withinSlowStartBudget(cost float64, c *workerView) bool {
	// Its first runs may be quick and it still unable to bear as many: its kind's usual pace is the least.
	able := max(1, c.maxFree) / max(c.pace, cmp.Or(s.kindPace[c.kind], 1)/c.warmUpWeight)
	budget, run := s.overloadBudget*able, cmp.Or(s.fleet.runTime, 1)
	if float64(c.lotteryRank) < s.schedulers && (s.schedulers <= slowStartWatchers || budget >= minRunsPerShare*run*s.schedulers) {
		return s.schedulers*(c.budgetUsed+cost) <= evenBudgetShare*budget
	}
	// The work that we get a second, over all our time: a jump of the traffic must not name others in a moment.
	ours := run * max(1, s.admitted) / max(poolSpan, s.now).Seconds()
	sharing := max(minSharers, math.Floor(min(2*able/ours, 2+budgetShareByHints*budget/(3*minRunsPerShare*run))))
	// Of each of the first two; the others share the last third. Of many runs chance bears less in proportion.
	part := min(budgetShareByHints*budget, budget+math.Sqrt(budget*run)) / 3
	if c.lotteryRank > 1 {
		part /= max(1, min(sharing, s.schedulers)-2)
	}
	return float64(c.lotteryRank) < min(sharing, s.schedulers) && c.budgetUsed+cost <= part
}
