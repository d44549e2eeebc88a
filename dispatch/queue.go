package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const (
	// deviationWeight is the r of SRPTMS+C: the number of standard deviations of the running time
	// that the effective size includes.
	deviationWeight = 3
	// lateRankDivisor divides the weight of late work, so that it ranks behind work that can be in
	// time.
	lateRankDivisor = 1000
	// lateReserve is how many slots must stay free at a worker that gets late work.
	lateReserve = 1
	// wellServedShare is the least served share, as a part of an operation's weight, with which the
	// operation does not count as the worst served one.
	wellServedShare = 0.95
	// minServedGap is how far the served share of the worst served operation must lie below the
	// best one.
	minServedGap = 0.1
	// minWeightShare is a lower bound of the worst served operation's share of the offered weight.
	// It limits how much the operation's weight is raised.
	minWeightShare = 0.01
	// minRateSpanSeconds is the shortest span over which an arrival rate is computed.
	minRateSpanSeconds = 0.1
)

// noOperation is the index that stands for no operation.
const noOperation = -1

// invocation is the state of an invocation, which is kept until nothing more can be reported of it.
type invocation struct {
	id        InvocationID
	operation int
	tenant    int
	slots     float64
	work      float64 // its hinted cost, in seconds on a standard core

	firstRequestAt time.Duration // estimated arrival of its client's first request
	arrivedAt      time.Duration
	deadline       time.Duration // its client timeout
	growPoolAt     time.Duration // when the pool may next grow for this invocation

	budgetCost    float64 // use of a slow-start budget, in seconds
	effectiveSize float64 // work plus deviationWeight standard deviations of it
	weight        float64 // current priority weight
	rank          float64 // weight over effective size
	reserve       float64 // slots that must stay free at the worker that gets it

	attempts    []requestAttempt
	badRequests int  // number of workers that refused it as a bad request
	answered    bool // no answer is owed any more
	finished    bool // answered, and no attempt is in flight
}

// requestAttempt is the invocation's record of an attempt. Zone and cell are those of the worker
// when the attempt was sent: an update that moves the worker does not change where repeats are
// dropped.
type requestAttempt struct {
	worker     int
	zone       int
	cell       int
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool // it has ended with a result that does not prove that nothing ran
	stalled    bool // no answer is expected in time
	badRequest bool // the worker refused it as a bad request
}

// allocateInvocation returns the index of an unused invocation record.
func (s *scheduler) allocateInvocation() (index int) {
	if count := len(s.freeInvocations); count > 0 {
		index = s.freeInvocations[count-1]
		s.freeInvocations = s.freeInvocations[:count-1]
		return index
	}
	s.invocations = append(s.invocations, invocation{})
	return len(s.invocations) - 1
}

// admit adds a new invocation to the queue.
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
	// The remaining budget of a client's retry shows how long the client has waited. A first
	// request with a shorter timeout than other clients' looks the same: neither is refused, both
	// rank lower.
	operation.longestBudget = max(operation.longestBudget, arrival.Budget)
	v.firstRequestAt = s.now - (operation.longestBudget - arrival.Budget)
	s.countArrival(operation, arrival.Tenant)
	s.queryOwners(v)
	s.arrivedSinceTick = true
	// An arrival adds credit for health checks unless the regular rate has left credit for one.
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

// queryOwners asks the owners of some workers for free capacity, unless a worker that this
// scheduler owns has some.
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

// enqueue inserts an invocation into the queue by its rank.
func (s *scheduler) enqueue(index int) {
	v := &s.invocations[index]
	v.effectiveSize = v.work * (1 + deviationWeight*s.operations[v.operation].costRatios.spread())
	v.budgetCost = s.expectedCost(v)
	s.updateRank(v)
	position := sort.Search(len(s.queue), func(n int) bool { return s.invocations[s.queue[n]].rank < v.rank })
	s.queue = slices.Insert(s.queue, position, index)
}

func (s *scheduler) dequeue(index int) {
	s.queue = slices.DeleteFunc(s.queue, func(queued int) bool { return queued == index })
}

// updateRank sets an invocation's current weight and its rank, which is the weight over the
// effective size. The weight is what an answer is still worth: less once it is late or beyond its
// tenant's quota, more while its operation is the worst served one.
func (s *scheduler) updateRank(v *invocation) {
	operation := &s.operations[v.operation]
	weight := operation.weight
	if s.isLate(v, v.firstRequestAt) {
		weight = weight * cmp.Or(operation.lateWeight, 1) / lateRankDivisor
		v.reserve = lateReserve // late work only gets capacity that is left over
	}
	weight *= s.quotaWeight(v.tenant)
	if v.operation == s.worstOperation { // its share counts a second time, with worstOperationWeight
		weight *= 1 + s.worstOperationWeight/max(minWeightShare, operation.weight*operation.arrivalCount/s.offeredWeight)
	}
	v.weight = weight
	v.rank = weight / v.effectiveSize
}

// quotaWeight returns the factor for the weight of a tenant's work: 1 within its quota, and less
// the further its arrival rate exceeds it.
func (s *scheduler) quotaWeight(index int) float64 {
	if index >= len(s.tenants) || len(s.tenants[index].arrivals) == 0 {
		return 1
	}
	t := &s.tenants[index]
	rate := s.schedulers * float64(len(t.arrivals)) / max(minRateSpanSeconds, s.now.Seconds()-t.arrivals[0])
	within := min(1, t.QuotaPerSecond/rate)
	return within + (1-within)*s.excessWeight
}

// rerankQueue determines the worst served operation, updates all ranks and sorts the queue by them.
func (s *scheduler) rerankQueue() {
	s.findWorstOperation()
	for _, index := range s.queue {
		s.updateRank(&s.invocations[index])
	}
	slices.SortStableFunc(s.queue, func(a, b int) int {
		return cmp.Compare(s.invocations[b].rank, s.invocations[a].rank)
	})
}

// findWorstOperation sets the offered weight and the worst served operation. It is noOperation
// where all operations are served well or about equally.
func (s *scheduler) findWorstOperation() {
	s.offeredWeight = 0
	s.worstOperation = noOperation
	worstServed := wellServedShare
	bestServed := 0.0
	for index := range s.operations {
		operation := &s.operations[index]
		s.offeredWeight += operation.weight * operation.arrivalCount
		served := operation.servedShares.mean()
		bestServed = max(bestServed, served)
		if len(operation.servedShares) > 0 && served < worstServed {
			worstServed = served
			s.worstOperation = index
		}
	}
	if worstServed > bestServed-minServedGap {
		s.worstOperation = noOperation
	}
}

// slack returns how long an invocation may wait in total if a worker with the given pace is still to
// finish it in time.
func (s *scheduler) slack(v *invocation, pace float64) time.Duration {
	operation := &s.operations[v.operation]
	return operation.objective + seconds(maxWaitShare*v.work*(medianHintRatio*operation.stretch-pace))
}

// isLate reports whether an invocation that has waited since the given time is too late for any
// worker. It is never late before its latency objective, as the estimated paces may be wrong.
func (s *scheduler) isLate(v *invocation, since time.Duration) bool {
	limit := s.operations[v.operation].objective
	if len(s.pool) > 0 {
		limit = max(limit, s.slack(v, s.summary.fastestPace))
	}
	return s.now-since > limit
}

// cannotMeetDeadline reports whether an answer would come too late: after the latency objective,
// where such an answer is worth nothing, or after the client timeout.
func (s *scheduler) cannotMeetDeadline(v *invocation) bool {
	left := v.deadline - s.now
	if left <= minTimeForAttempt || s.isLate(v, v.arrivedAt) && !s.operations[v.operation].lateHasValue {
		return true
	}
	return s.isLate(v, v.firstRequestAt) && left <= s.fastestRun(v)
}

// fastestRun returns how long an invocation runs at the fastest pooled worker.
func (s *scheduler) fastestRun(v *invocation) time.Duration {
	return seconds(v.work * s.summary.fastestPace)
}
