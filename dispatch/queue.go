package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const (
	// deviationWeight is the design's r: how many deviations of the running time the effective size counts.
	deviationWeight = 3
	// lateRankDivisor is how far late work gives way to work in time.
	lateRankDivisor = 1000
	// lateReserve is how many slots must be left beside late work.
	lateReserve = 1
	// wellServedShare: an operation that is served at least so well is not the worst served.
	wellServedShare = 0.95
	// servedGap is how far the worst served operation must lie behind the best.
	servedGap = 0.1
	// minWeightShare bounds how much the worst served operation is raised, by its share of the offered weight.
	minWeightShare = 0.01
	// minRateSpan is the shortest span, in seconds, over which a rate of arrivals is counted.
	minRateSpan = 0.1
)

// noOperation stands for none.
const noOperation = -1

// invocation is an invocation while anything may still be reported of it.
type invocation struct {
	id        InvocationID
	operation int
	tenant    int
	slots     float64
	work      float64 // its hinted cost, in seconds on a standard core

	firstRequestAt time.Duration // when its client's first request arrived, as far as is known
	arrivedAt      time.Duration
	deadline       time.Duration // its client timeout
	growAt         time.Duration // when the pool may grow again for its sake

	budgetCost    float64 // what it uses of a slow-start budget
	effectiveSize float64 // work, and deviationWeight deviations of it
	weight        float64 // priority weight as of now
	rank          float64 // weight over effective size
	reserve       float64 // slots that must be left beside it

	attempts    []requestAttempt
	badRequests int  // workers that would not have it
	answered    bool // no answer is owed any more
	finished    bool // and no attempt is in flight
}

// requestAttempt is an attempt as the invocation has it. Zone and cell are where the worker was then: an update that
// moves it does not move what drops repeats.
type requestAttempt struct {
	worker     int
	zone       int
	cell       int
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool // it has ended, and did not prove that nothing ran
	stalled    bool // no answer is to be expected in time
	badRequest bool // the worker would not have it
}

// newInvocation gives the index of a free invocation.
func (s *scheduler) newInvocation() (index int) {
	if count := len(s.freeInvocations); count > 0 {
		index = s.freeInvocations[count-1]
		s.freeInvocations = s.freeInvocations[:count-1]
		return index
	}
	s.invocations = append(s.invocations, invocation{})
	return len(s.invocations) - 1
}

// admit takes a new invocation in.
func (s *scheduler) admit(index int, arrival Arrival) {
	operation := &s.operations[min(arrival.Operation, len(s.operations)-1)]
	v := &s.invocations[index]
	*v = invocation{
		id:        arrival.Invocation,
		operation: arrival.Operation,
		tenant:    arrival.Tenant,
		arrivedAt: s.now,
		deadline:  s.now + arrival.Budget,
		work:      cmp.Or(max(0, arrival.Hint), operation.runTimes.mean(), 1),
		slots:     max(1, arrival.Slots),
		attempts:  v.attempts[:0],
	}
	// What is left of a client's retry tells how long the client has waited. One that waits for less than others from
	// the first looks the same: neither is refused for that, both go behind.
	operation.longestBudget = max(operation.longestBudget, arrival.Budget)
	v.firstRequestAt = s.now - (operation.longestBudget - arrival.Budget)
	s.countArrival(operation, arrival.Tenant)
	s.queryOwners(v)
	s.arrivedSinceTick = true
	// An arrival pays for health checks unless those that come anyway have credit left.
	if s.queriesPerInvocation == 0 && s.checkCredit+minChecksPerSecond*(s.now-s.creditedAt).Seconds() < 1 {
		s.checkCredit += s.checksPerInvocation
	}
	s.enqueue(index)
}

func (s *scheduler) countArrival(operation *operation, tenant int) {
	s.admitted++
	operation.arrivalCount++
	if tenant < len(s.tenants) {
		s.tenants[tenant].arrivals.add(s.now.Seconds())
	}
	s.arrivals.add(s.now.Seconds())
}

// queryOwners asks the owners of some workers for free capacity, unless we know of some.
func (s *scheduler) queryOwners(v *invocation) {
	known := slices.ContainsFunc(s.pool, func(worker int) bool {
		return s.currentView(worker).hasOwnedCapacity(v)
	})
	if known {
		return
	}
	for range min(s.queriesPerInvocation, len(s.dispatcher.checkOrder)) {
		s.dispatcher.send(poolRequest{requirements: anyWorker, workerStats: s.stats, viaGossip: true})
	}
}

// enqueue puts an invocation into the queue, by its rank.
func (s *scheduler) enqueue(index int) {
	v := &s.invocations[index]
	v.effectiveSize = v.work * (1 + deviationWeight*s.operations[v.operation].costRatios.spread())
	v.budgetCost = s.expectedCost(v)
	s.updateRank(v)
	place := sort.Search(len(s.queue), func(n int) bool { return s.invocations[s.queue[n]].rank < v.rank })
	s.queue = slices.Insert(s.queue, place, index)
}

func (s *scheduler) dequeue(index int) {
	s.queue = slices.DeleteFunc(s.queue, func(queued int) bool { return queued == index })
}

// updateRank sets weight over effective size: of what an answer still brings, less once late or beyond its tenant's
// quota, more while its operation is the worst served.
func (s *scheduler) updateRank(v *invocation) {
	operation := &s.operations[v.operation]
	weight := operation.weight
	if s.isLate(v, v.firstRequestAt) {
		weight = weight * cmp.Or(operation.lateWeight, 1) / lateRankDivisor
		v.reserve = lateReserve // it may have what is left over
	}
	weight *= s.quotaWeight(v.tenant)
	if v.operation == s.worstOperation { // while work is lost it counts twice, by its part
		weight *= 1 + s.worstOperationWeight/max(minWeightShare, operation.weight*operation.arrivalCount/s.offeredWeight)
	}
	v.weight = weight
	v.rank = weight / v.effectiveSize
}

// quotaWeight is what a tenant's work counts for, by how far it is beyond its quota.
func (s *scheduler) quotaWeight(index int) float64 {
	if index >= len(s.tenants) || len(s.tenants[index].arrivals) == 0 {
		return 1
	}
	t := &s.tenants[index]
	rate := s.schedulers * float64(len(t.arrivals)) / max(minRateSpan, s.now.Seconds()-t.arrivals[0])
	within := min(1, t.QuotaPerSecond/rate)
	return within + (1-within)*s.excessWeight
}

// rerankQueue finds the worst served operation and orders the queue anew.
func (s *scheduler) rerankQueue() {
	s.findWorstOperation()
	for _, index := range s.queue {
		s.updateRank(&s.invocations[index])
	}
	slices.SortStableFunc(s.queue, func(a, b int) int {
		return cmp.Compare(s.invocations[b].rank, s.invocations[a].rank)
	})
}

func (s *scheduler) findWorstOperation() {
	s.offeredWeight = 0
	s.worstOperation = noOperation
	least := wellServedShare
	most := 0.0
	for index := range s.operations {
		operation := &s.operations[index]
		s.offeredWeight += operation.weight * operation.arrivalCount
		served := operation.servedShares.mean()
		most = max(most, served)
		if len(operation.servedShares) > 0 && served < least {
			least = served
			s.worstOperation = index
		}
	}
	if least > most-servedGap {
		s.worstOperation = noOperation
	}
}

// slack is how long an invocation may wait, from its first request, before a worker of a pace is too late.
func (s *scheduler) slack(v *invocation, pace float64) time.Duration {
	operation := &s.operations[v.operation]
	return operation.objective + seconds(waitShare*v.work*(medianHintRatio*operation.stretch-pace))
}

// isLate reports whether an invocation has waited too long since a time for any worker; not before the plain objective,
// as paces may be wrong.
func (s *scheduler) isLate(v *invocation, since time.Duration) bool {
	most := s.operations[v.operation].objective
	if len(s.pool) > 0 {
		most = max(most, s.slack(v, s.summary.fastestPace))
	}
	return s.now-since > most
}

// cannotMeetDeadline: an answer would come after the objective and earn nothing, or not before the client gives up.
func (s *scheduler) cannotMeetDeadline(v *invocation) bool {
	left := v.deadline - s.now
	if left <= minTimeForAttempt || s.isLate(v, v.arrivedAt) && !s.operations[v.operation].lateHasValue {
		return true
	}
	return s.isLate(v, v.firstRequestAt) && left <= s.fastestRun(v)
}

// fastestRun is how long an invocation runs at the fastest worker of the pool.
func (s *scheduler) fastestRun(v *invocation) time.Duration {
	return seconds(v.work * s.summary.fastestPace)
}
