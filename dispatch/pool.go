package dispatch

import (
	"cmp"
	"maps"
	"math"
	"time"
)

const (
	// minPoolSize is the size, in workers, that the pool starts with and does not shrink below.
	minPoolSize = 16
	// poolCheckWindow limits the size of the pool to the number of workers that can be health checked
	// within this time.
	poolCheckWindow = 8 * time.Second
	// minChecksPerSecond is the rate of health checks, of all workers together, without any traffic.
	minChecksPerSecond = 3
	// checkBudgetPoints is how many points of the overall score the health checks beyond that rate
	// may cost.
	checkBudgetPoints = 0.002
	// statsInterval is how often the statistics of all workers are recomputed and the queue is
	// ranked anew.
	statsInterval = 5 * tickInterval
	// minImmediateStartShare is the share of attempts started at once above which some worker is
	// assumed to have free capacity.
	minImmediateStartShare = 0.15
	// lagFactor is the assumed age of a received load report, as a multiple of the measured lag.
	lagFactor = 2
)

// scheduler holds the queue and the pool, and selects a worker for each invocation.
type scheduler struct {
	mailbox[schedulerMessage]
	dispatcher *Dispatcher

	// From the configuration.
	zone                 int
	schedulers           float64 // in total
	operations           []operation
	tenants              []tenant
	cancelAllowed        bool // attempts may be cancelled
	maxAttempts          int
	maxInFlight          int
	retryAfter           time.Duration // longest wait that a throttled client is asked for
	overloadBudget       float64       // work that a worker in slow start may get from all schedulers, in seconds per slot
	excessWeight         float64       // of work beyond a tenant's quota, as a part of its usual weight
	worstOperationWeight float64       // extra weight of the worst served operation, as a part of the weight of all
	checksPerInvocation  float64       // health check credit that an invocation adds
	queriesPerInvocation int           // capacity queries that an arrival may cause
	staleQueueShare      float64       // see defaultStaleQueueShare

	// Invocations.
	invocations     []invocation
	freeInvocations []int                   // unused indices of invocations
	queue           []int                   // by rank, highest first
	admitted        float64                 // invocations in total
	arrivals        samples                 // times of the last arrivals, in seconds
	hedges          float64                 // hedged requests in total
	forwardedAt     time.Duration           // time of the last attempt or, while stats.unmeasured, health check
	reasons         map[InvocationID]Reason // of invocations given up in this call of Handle
	worstOperation  int                     // the operation that is served worst, or noOperation
	offeredWeight   float64                 // priority weight of all arrivals

	// The pool: the workers that are considered, in the order in which they joined.
	pool             []int
	poolSize         float64 // target size
	checkCredit      float64 // health checks that may be sent now
	creditedAt       time.Duration
	arrivedSinceTick bool // an invocation has arrived since check credit was last spent
	summary          poolSummary
	candidates       []int                    // pooled workers that may have free slots
	rejections       map[rejectionKey]backoff // for work that workers have rejected

	// Views, see view.go.
	views       []*viewEntry    // by worker; nil: never used
	tracked     []int           // active workers
	epoch       refreshEpoch    // the last one
	poolEpoch   refreshEpoch    // the last one with a non-empty queue
	epochChecks []deferredCheck // to be sent as the next epoch begins
	lastEpochAt time.Duration

	// Measurements of all workers.
	stats           workerStats
	statsUpdatedAt  time.Duration
	runTimes        samples         // seconds
	reportGaps      samples         // seconds between two load reports of a worker
	reportChanges   samples         // 1 if the second one differed, otherwise 0
	freeSlots       samples         // free plus reserved slots in the last reports of any worker
	immediateStarts samples         // 1 for attempts that started at once, otherwise 0
	kindPace        map[int]float64 // typical pace by kind of worker
	kindPaces       map[int]samples // paces by kind, of workers past slow start
}

// workerStats holds statistics of all workers.
type workerStats struct {
	lag         time.Duration // age of a load report when it is received
	runTime     float64       // typical running time, in seconds
	typicalFree float64       // typical free plus reserved slots of a worker
	serviceTime float64       // median of the pooled workers' reports, in seconds
	unmeasured  bool          // the interval between new load reports is not known yet
}

// poolSummary holds sums over the pooled workers.
type poolSummary struct {
	pooled           float64 // workers
	measured         float64 // workers whose free slots were measured
	withFree         float64 // workers with at least one free slot
	free             float64 // slots at measured workers
	reserved         float64 // slots at all workers
	reservedMeasured float64 // slots at measured workers
	fastestPace      float64 // running time over hinted cost at the fastest worker
}

func newScheduler(d *Dispatcher) scheduler {
	return scheduler{
		mailbox:     mailbox[schedulerMessage]{sharedState: &d.sharedState},
		dispatcher:  d,
		arrivals:    samples{0},
		poolSize:    minPoolSize,
		checkCredit: minPoolSize,
		rejections:  map[rejectionKey]backoff{},
		reasons:     map[InvocationID]Reason{},
		kindPaces:   map[int]samples{},
		kindPace:    map[int]float64{},
	}
}

// tick spends health check credit, and begins an epoch when one is due.
func (s *scheduler) tick() {
	rate := minChecksPerSecond + s.paidChecksPerSecond()
	s.poolSize = max(minPoolSize, min(s.poolSize, rate*poolCheckWindow.Seconds()))
	s.checkCredit += minChecksPerSecond * (s.now - s.creditedAt).Seconds()
	s.creditedAt = s.now
	epochDue := s.now >= s.lastEpochAt+tickInterval
	// Health checks are best sent when an invocation arrives, as load reports are most useful while
	// they are recent. Without arrivals, a few are sent each second.
	if s.arrivedSinceTick || s.checkCredit >= minChecksPerSecond {
		s.spendCheckCredit(epochDue)
	}
	if !epochDue {
		return
	}
	s.lastEpochAt = s.now
	if s.now >= s.statsUpdatedAt+statsInterval {
		s.updateStats()
		s.rerankQueue()
	}
	s.dispatcher.send(epochStart{})
}

// paidChecksPerSecond returns the rate of health checks that the credit of the last arrivals allows.
func (s *scheduler) paidChecksPerSecond() float64 {
	span := max(minRateSpanSeconds, s.now.Seconds()-s.arrivals[0])
	return s.checksPerInvocation * float64(len(s.arrivals)) / span
}

// spendCheckCredit requests one more worker in the pool for each health check that the credit allows.
func (s *scheduler) spendCheckCredit(epochDue bool) {
	s.arrivedSinceTick = false
	for ; s.checkCredit >= 1; s.checkCredit-- {
		s.dispatcher.send(poolRequest{requirements: anyWorker, workerStats: s.stats, nextEpoch: epochDue})
	}
	if s.stats.unmeasured {
		s.forwardedAt = s.now
	}
}

// updateStats recomputes the statistics of all workers. Free slots and service times are medians,
// as the long queue of one hung worker would distort a mean.
func (s *scheduler) updateStats() {
	var service samples
	for _, worker := range s.pool {
		view := s.views[worker]
		if view.measured {
			service.add(view.serviceTime)
		}
	}
	// With few reports a second, free slots may be missed: as long as some attempts start at once,
	// there are free slots.
	typicalFree := s.freeSlots.quantile(median)
	fewReports := s.queriesPerInvocation == 0 || len(s.freeSlots) < sampleCount
	if s.immediateStarts.mean() > minImmediateStartShare && fewReports {
		typicalFree = max(1, typicalFree)
	}
	s.statsUpdatedAt = s.now
	s.stats = workerStats{
		runTime:     cmp.Or(s.runTimes.mean(), 1),
		unmeasured:  len(s.reportGaps) < sampleCount/2,
		typicalFree: typicalFree,
		serviceTime: service.quantile(median),
		lag:         s.reportLag(),
	}
}

// reportLag returns how old a load report may be when it is received. It is derived from the
// mean time between reports that differ.
func (s *scheduler) reportLag() time.Duration {
	return seconds(lagFactor * (progressTimeout.Seconds() + s.reportGaps.sum()) / (1 + s.reportChanges.sum()))
}

// recordKindPace records a pace measured at a worker of a kind.
func (s *scheduler) recordKindPace(kind int, pace float64) {
	paces := s.kindPaces[kind]
	paces.add(pace)
	s.kindPaces[kind] = paces
	s.setKindPace(kind, paces.quantile(median))
}

// setKindPace sets the typical pace of a kind. The map is copied, as epochs that have begun keep
// the old one.
func (s *scheduler) setKindPace(kind int, pace float64) {
	s.kindPace = maps.Clone(s.kindPace)
	s.kindPace[kind] = pace
}

// growPool adds a worker to the pool for an invocation that finds all pooled workers busy. It does
// so less and less often while the invocation waits, as all workers may be busy.
func (s *scheduler) growPool(v *invocation) {
	if s.now < v.growPoolAt {
		return
	}
	v.growPoolAt = s.now + 2*tickInterval + 2*(s.now-v.arrivedAt)
	s.poolSize++
	for range max(1, s.queriesPerInvocation/2) {
		s.dispatcher.send(poolRequest{
			requirements: s.requirementsOf(v),
			workerStats:  s.stats,
			viaGossip:    s.gossipEnabled,
		})
	}
}

// summarizePool computes the pool's summary and the candidates once for all decisions of a
// scheduling step, as there may be little time for each decision.
func (s *scheduler) summarizePool() {
	s.summary = poolSummary{fastestPace: math.Inf(1)}
	s.candidates = s.candidates[:0]
	ownersAnswer := s.queriesPerInvocation > 0 && s.now < s.dispatcher.ownerRepliedAt+maxOwnerReplyAge
	for _, worker := range s.pool {
		view := s.currentView(worker)
		s.summary.add(view)
		warm := view.warmUpWeight == 1
		if ownersAnswer && !view.ownerSilent && view.confidence < minConfidence && warm {
			continue // while owners answer, a worker without a recent report from its owner is left out
		}
		mayHaveFree := !view.measured || view.free+(1-view.confidence)*view.maxFree*s.staleQueueShare >= 1
		if mayHaveFree && (warm || s.withinSlowStartBudget(0, view)) {
			s.candidates = append(s.candidates, worker)
		}
	}
}

func (p *poolSummary) add(view *workerView) {
	p.pooled++
	p.reserved += view.reserved
	p.fastestPace = min(p.fastestPace, view.pace)
	if view.measured {
		p.measured++
		p.free += view.free
		p.reservedMeasured += view.reserved
	}
	p.withFree += max(0, min(1, math.Floor(view.free)))
}
