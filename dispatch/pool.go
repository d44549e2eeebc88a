package dispatch

import (
	"cmp"
	"maps"
	"math"
	"time"
)

const (
	// minPoolSize is how many workers the pool begins with.
	minPoolSize = 16
	// poolSpan: the pool holds the workers that can be health checked within this time.
	poolSpan = 8 * time.Second
	// minChecksPerSecond is how often some worker is health checked, whatever the traffic.
	minChecksPerSecond = 3
	// checkBudgetPoints is how many points of the result health checks may cost, for those beyond that rate.
	checkBudgetPoints = 0.002
	// learnInterval is how often what was measured of all workers is brought together, and the queue ranked anew.
	statsInterval = 5 * tickInterval
	// immediateStartShare: where so many of our attempts start at once, there is free capacity somewhere.
	immediateStartShare = 0.15
	// lagFactor is how many times the measured lag a load report may be old.
	lagFactor = 2
)

// scheduler keeps the queue and the pool, and chooses a worker for each invocation.
type scheduler struct {
	mailbox[schedulerMessage]
	dispatcher *Dispatcher

	// What the configuration says.
	zone                 int
	schedulers           float64 // in all
	operations           []operation
	tenants              []tenant
	cancels              bool
	maxAttempts          int
	maxInFlight          int
	retryAfter           time.Duration // the longest wait that a throttled client is asked for
	overloadBudget       float64       // seconds of a worker's capacity that all schedulers may send it in slow start
	excessWeight         float64
	worstOperationWeight float64
	checksPerInvocation  float64 // health checks that an invocation pays for
	queriesPerInvocation int     // capacity queries that an invocation is worth
	staleQueueShare      float64

	// Invocations.
	invocations     []invocation
	freeInvocations []int
	queue           []int // by rank, highest first
	admitted        float64
	arrivals        samples // of the last ones, in seconds
	hedges          float64
	forwardedAt     time.Duration           // when the last attempt or the first health check was sent
	reasons         map[InvocationID]Reason // of those given up at this moment
	worstOperation  int                     // the operation that is served worst, or noOperation
	offeredWeight   float64

	// The pool: the workers that are considered, the one that joined last at the end.
	pool             []int
	poolSize         float64
	checkCredit      float64 // health checks that are paid for
	creditedAt       time.Duration
	arrivedSinceTick bool
	summary          poolSummary
	candidates       []int // pooled workers that may have free slots
	rejections       map[rejectionKey]backoff

	// Views, see view.go.
	views         []*viewEntry // by worker; nil: never used
	tracked       []int        // workers with work of ours, or ejected
	epoch         refreshEpoch // the last one
	poolEpoch     refreshEpoch // the last one at which something was queued
	orderedChecks []deferredCheck
	refreshedAt   time.Duration

	// What was learned of all workers.
	stats           workerStats
	statsUpdatedAt  time.Duration
	runTimes        samples // seconds
	reportGaps      samples // seconds between two answers of a worker
	reportChanges   samples // whether the second one had a new report
	freeSlots       samples // the last free slots of any worker
	immediateStarts samples // whether attempts started at once
	kindPace        map[int]float64
	kindPaces       map[int]samples // of workers past their slow start
}

// workerStats is what was learned of all workers.
type workerStats struct {
	lag         time.Duration // how old a load report is when it comes
	runTime     float64       // the usual running time, in seconds
	usualFree   float64       // slots
	serviceTime float64       // seconds, by load reports
	unmeasured  bool          // how often reports are made is not known yet
}

// poolSummary is what one look over the pool gives.
type poolSummary struct {
	pooled           float64 // workers
	measured         float64 // workers whose free slots were measured
	withFree         float64 // workers with a free slot; one with a part of a slot counts in part
	free             float64 // slots at measured workers
	reserved         float64 // slots at all workers
	reservedMeasured float64 // slots at measured workers
	fastestPace      float64
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

// tick has workers health checked, and begins an epoch when one is due.
func (s *scheduler) tick() {
	rate := minChecksPerSecond + s.paidChecksPerSecond()
	s.poolSize = max(minPoolSize, min(s.poolSize, rate*poolSpan.Seconds()))
	s.checkCredit += minChecksPerSecond * (s.now - s.creditedAt).Seconds()
	s.creditedAt = s.now
	epochDue := s.now >= s.refreshedAt+tickInterval
	// Best when an invocation arrives, as load reports are worth most while they are young; else a few each second.
	if s.arrivedSinceTick || s.checkCredit >= minChecksPerSecond {
		s.spendCheckCredit(epochDue)
	}
	if !epochDue {
		return
	}
	s.refreshedAt = s.now
	if s.now >= s.statsUpdatedAt+statsInterval {
		s.updateStats()
		s.rerankQueue()
	}
	s.dispatcher.send(epochStart{})
}

// paidChecksPerSecond is the rate of health checks that the last invocations pay for.
func (s *scheduler) paidChecksPerSecond() float64 {
	span := max(minRateSpan, s.now.Seconds()-s.arrivals[0])
	return s.checksPerInvocation * float64(len(s.arrivals)) / span
}

// spendCheckCredit has a worker join the pool for each health check that is paid for.
func (s *scheduler) spendCheckCredit(epochDue bool) {
	s.arrivedSinceTick = false
	for ; s.checkCredit >= 1; s.checkCredit-- {
		s.dispatcher.send(poolRequest{requirements: anyWorker, workerStats: s.stats, nextEpoch: epochDue})
	}
	if s.stats.unmeasured {
		s.forwardedAt = s.now
	}
}

// learnFleet brings together what was measured of all workers: of the middle, as the queue of one that hangs would drag
// a mean along.
func (s *scheduler) updateStats() {
	var service samples
	for _, worker := range s.pool {
		view := s.views[worker]
		if view.measured {
			service.add(view.serviceTime)
		}
	}
	// Few reports a second can't show where slots are free: while some of what we send starts at once, there are.
	usualFree := s.freeSlots.quantile(median)
	fewReports := s.queriesPerInvocation == 0 || len(s.freeSlots) < sampleCount
	if s.immediateStarts.mean() > immediateStartShare && fewReports {
		usualFree = max(1, usualFree)
	}
	s.statsUpdatedAt = s.now
	s.stats = workerStats{
		runTime:     cmp.Or(s.runTimes.mean(), 1),
		unmeasured:  len(s.reportGaps) < sampleCount/2,
		usualFree:   usualFree,
		serviceTime: service.quantile(median),
		lag:         s.reportLag(),
	}
}

// reportLag is how old a load report may be when it comes.
func (s *scheduler) reportLag() time.Duration {
	return seconds(lagFactor * (progressTimeout.Seconds() + s.reportGaps.sum()) / (1 + s.reportChanges.sum()))
}

// learnKindPace enters the pace of a kind of workers. Epochs that have begun keep the map they were given.
func (s *scheduler) learnKindPace(kind int, pace float64) {
	paces := s.kindPaces[kind]
	paces.add(pace)
	s.kindPaces[kind] = paces
	s.setKindPace(kind, paces.quantile(median))
}

func (s *scheduler) setKindPace(kind int, pace float64) {
	s.kindPace = maps.Clone(s.kindPace)
	s.kindPace[kind] = pace
}

// growPool adds a worker when those of the pool are all busy, ever more rarely, as all workers may be.
func (s *scheduler) growPool(v *invocation) {
	if s.now < v.growAt {
		return
	}
	v.growAt = s.now + 2*tickInterval + 2*(s.now-v.arrivedAt)
	s.poolSize++
	for range max(1, s.queriesPerInvocation/2) {
		s.dispatcher.send(poolRequest{
			requirements: s.requirementsOf(v),
			workerStats:  s.stats,
			viaGossip:    s.gossipEnabled,
		})
	}
}

// summarizePool looks over the pool once for all that is decided at one moment, as time for decisions may be short.
func (s *scheduler) summarizePool() {
	s.summary = poolSummary{fastestPace: math.Inf(1)}
	s.candidates = s.candidates[:0]
	ownersAnswer := s.queriesPerInvocation > 0 && s.now < s.dispatcher.ownerRepliedAt+maxOwnerReplyAge
	for _, worker := range s.pool {
		view := s.currentView(worker)
		s.summary.add(view)
		warm := view.warmUpWeight == 1
		if ownersAnswer && !view.ownerSilent && view.confidence < minConfidence && warm {
			continue // while owners answer, a worker of which none of them has reported lately counts for nothing
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
