package dispatch

import (
	"time"
)

// SnapshotVersion must change whenever the meaning of a value in a Snapshot changes.
const SnapshotVersion = 2

// Snapshot holds what an instance has measured, for the instance that takes its place. It holds no
// decisions: loaded values are used by the same code as measured ones. Times are given as ages or as
// remaining durations.
type Snapshot struct {
	Version           int                       `json:"Version"`
	RunTimes          []float64                 `json:"Runs"`       // running times in seconds
	ReportGaps        []float64                 `json:"Gaps"`       // seconds between two load reports of a worker
	ReportChanges     []float64                 `json:"Changes"`    // 1: the second report differed from the first; otherwise 0
	FreeSlots         []float64                 `json:"Slots"`      // free plus reserved slots in the last reports of any worker
	ImmediateStarts   []float64                 `json:"Starts"`     // 1: the attempt started at once; otherwise 0
	Arrivals          []time.Duration           `json:"Arrivals"`   // ages of the last arrivals
	Admitted          float64                   `json:"Jobs"`       // number of invocations
	Hedges            float64                   `json:"Clones"`     // number of hedged requests
	PoolSize          float64                   `json:"Size"`       // number of workers
	HealthCheckCredit float64                   `json:"Credit"`     // number of health checks that may still be spent
	KindPaces         map[int][]float64         `json:"Kinds"`      // paces by kind of worker
	Operations        map[int]OperationSnapshot `json:"Operations"` // by index of the operation
	Workers           []WorkerSnapshot          `json:"Workers"`
}

// OperationSnapshot holds the measurements of one operation.
type OperationSnapshot struct {
	CostRatios    []float64     `json:"Ratios"` // running time over hinted cost
	RunTimes      []float64     `json:"Sizes"`  // running times in seconds
	HintErrors    []float64     `json:"Rough"`  // cost ratio over the worker's pace
	LongestBudget time.Duration `json:"Most"`
}

// WorkerSnapshot holds the measurements of one incarnation of a worker.
type WorkerSnapshot struct {
	Worker          WorkerID      `json:"Worker"`
	Incarnation     uint64        `json:"Start"`
	Paces           []float64     `json:"Paces"`   // running time over hinted cost
	ServiceTime     float64       `json:"Service"` // seconds, by its load reports
	FreeSlots       []float64     `json:"Figures"`
	LastFreeSlots   float64       `json:"Last"`
	MaxFreeSlots    float64       `json:"Size"`
	Load            LoadReport    `json:"Load"`
	FreeSlotsAge    time.Duration `json:"FigureAge"`
	ReportAge       time.Duration `json:"ReportAge"`
	LastProgressAge time.Duration `json:"Sign"`
	Ejected         bool          `json:"Aside"`
	EjectionLeft    time.Duration `json:"AsideLeft"`
	RejectionLeft   time.Duration `json:"FullLeft"`
	Ejections       int           `json:"Asides"`
	ProbationLeft   int           `json:"Wanted"` // successes still needed
	Missed          int           `json:"Missed"` // consecutive failed health checks
	BudgetUsed      []BudgetUse   `json:"Spent"`
}

// BudgetUse is a finished attempt that still counts against the slow-start budget of its worker.
type BudgetUse struct {
	Age  time.Duration `json:"Age"`
	Cost float64       `json:"Cost"`
}

// SnapshotLoaded brings another instance's snapshot.
type SnapshotLoaded struct{ Snapshot }

// About returns zero values.
func (e SnapshotLoaded) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// Snapshot returns what this instance has measured.
func (d *Dispatcher) Snapshot() Snapshot {
	s := &d.scheduler
	snapshot := Snapshot{
		Version:           SnapshotVersion,
		RunTimes:          s.runTimes,
		ReportGaps:        s.reportGaps,
		ReportChanges:     s.reportChanges,
		FreeSlots:         s.freeSlots,
		ImmediateStarts:   s.immediateStarts,
		Admitted:          s.admitted,
		Hedges:            s.hedges,
		PoolSize:          s.poolSize,
		HealthCheckCredit: s.checkCredit,
		KindPaces:         map[int][]float64{},
		Operations:        map[int]OperationSnapshot{},
	}
	for _, arrivedAt := range s.arrivals {
		snapshot.Arrivals = append(snapshot.Arrivals, d.now-seconds(arrivedAt))
	}
	for kind, paces := range s.kindPaces {
		snapshot.KindPaces[kind] = paces
	}
	for index, operation := range s.operations {
		snapshot.Operations[index] = operation.snapshot()
	}
	for index := range d.records {
		record := &d.records[index]
		if record.worker != nil && record.worker.state == Ready {
			s.currentView(index)
			snapshot.Workers = append(snapshot.Workers, record.worker.snapshot(record.Incarnation))
		}
	}
	return snapshot
}

func (o *operation) snapshot() OperationSnapshot {
	return OperationSnapshot{
		CostRatios:    o.costRatios,
		RunTimes:      o.runTimes,
		HintErrors:    o.hintErrors,
		LongestBudget: o.longestBudget,
	}
}

func (w *worker) snapshot(incarnation uint64) WorkerSnapshot {
	snapshot := WorkerSnapshot{
		Worker:          w.id,
		Incarnation:     incarnation,
		Paces:           w.paces,
		ServiceTime:     w.serviceTime,
		FreeSlots:       w.freeSamples,
		LastFreeSlots:   w.lastFree,
		MaxFreeSlots:    w.maxFree,
		Load:            w.lastReport,
		FreeSlotsAge:    w.now - w.freeSampledAt,
		ReportAge:       w.now - w.reportedAt,
		LastProgressAge: w.now - w.lastProgress,
		Ejected:         w.ejected,
		EjectionLeft:    w.ejectedUntil - w.now,
		RejectionLeft:   w.rejectedUntil - w.now,
		Ejections:       w.ejections,
		ProbationLeft:   w.probationLeft,
		Missed:          w.checksMissed,
	}
	for i := range w.attempts { // attempts in flight migrate with their invocations
		attempt := &w.attempts[i]
		ended := attempt.endedAt != 0 && attempt.cost > 0
		if ended && w.warmUpWeight < 1 && attempt.sentAt+w.overloadWindow > w.now {
			use := BudgetUse{Age: w.now - attempt.sentAt, Cost: attempt.cost}
			snapshot.BudgetUsed = append(snapshot.BudgetUsed, use)
		}
	}
	return snapshot
}

// loadSnapshot loads another instance's snapshot. Its samples are placed before those measured here.
func (d *Dispatcher) loadSnapshot(snapshot Snapshot) {
	if snapshot.Version != SnapshotVersion {
		return
	}
	d.scheduler.loadSnapshot(snapshot)
	for _, loaded := range snapshot.Workers {
		index, known := d.recordIndex[loaded.Worker]
		if !known {
			continue
		}
		record := &d.records[index]
		if record.Incarnation == loaded.Incarnation && record.State == Ready {
			d.workerAt(index).send(workerSnapshotLoaded{loaded})
		}
	}
	d.scheduler.updateStats()
}

func (s *scheduler) loadSnapshot(snapshot Snapshot) {
	s.runTimes = joinSamples(snapshot.RunTimes, s.runTimes)
	s.reportGaps = joinSamples(snapshot.ReportGaps, s.reportGaps)
	s.reportChanges = joinSamples(snapshot.ReportChanges, s.reportChanges)
	s.freeSlots = joinSamples(snapshot.FreeSlots, s.freeSlots)
	s.immediateStarts = joinSamples(snapshot.ImmediateStarts, s.immediateStarts)
	s.loadArrivals(snapshot.Arrivals)
	s.admitted += snapshot.Admitted
	s.hedges += snapshot.Hedges
	s.poolSize = max(s.poolSize, snapshot.PoolSize)
	for kind, paces := range snapshot.KindPaces {
		s.kindPaces[kind] = joinSamples(paces, s.kindPaces[kind])
		s.setKindPace(kind, s.kindPaces[kind].quantile(median))
	}
	for index, loaded := range snapshot.Operations {
		if index >= 0 && index < len(s.operations) {
			s.operations[index].load(loaded)
		}
	}
}

// loadArrivals loads the arrival times, unless invocations have already arrived here: those describe
// the traffic better.
func (s *scheduler) loadArrivals(ages []time.Duration) {
	if s.admitted > 0 || len(ages) == 0 {
		return
	}
	var arrivals []float64
	for _, age := range ages {
		arrivals = append(arrivals, (s.now - age).Seconds())
	}
	s.arrivals = joinSamples(arrivals, nil)
}

func (o *operation) load(snapshot OperationSnapshot) {
	o.costRatios = joinSamples(snapshot.CostRatios, o.costRatios)
	o.runTimes = joinSamples(snapshot.RunTimes, o.runTimes)
	o.hintErrors = joinSamples(snapshot.HintErrors, o.hintErrors)
	o.longestBudget = max(o.longestBudget, snapshot.LongestBudget)
}

// workerSnapshotLoaded brings a worker the measurements that another instance made of it.
type workerSnapshotLoaded struct{ WorkerSnapshot }

func (m workerSnapshotLoaded) deliverToWorker(w *worker) { w.loadSnapshot(m.WorkerSnapshot) }

func (w *worker) loadSnapshot(loaded WorkerSnapshot) {
	w.paces = joinSamples(loaded.Paces, w.paces)
	if len(w.paces) > 0 {
		w.pace = w.paces.quantile(median)
	}
	w.maxFree = max(w.maxFree, loaded.MaxFreeSlots)
	if len(w.freeSamples) == 0 {
		w.lastFree = loaded.LastFreeSlots
		w.freeSampledAt = w.now - loaded.FreeSlotsAge
		w.lastReport = loaded.Load
		w.reportedAt = w.now - loaded.ReportAge
		w.serviceTime = loaded.ServiceTime
	}
	w.freeSamples = joinSamples(loaded.FreeSlots, w.freeSamples).last(freeSampleCount)
	w.loadHealth(loaded)
	for _, use := range loaded.BudgetUsed {
		sentAt := w.now - use.Age
		w.attempts = append(w.attempts, workerAttempt{
			invocation: noInvocation,
			sentAt:     sentAt,
			endedAt:    max(sentAt, 1), // 0 would mean in flight
			cost:       use.Cost,
		})
	}
}

// loadHealth loads the health of the worker: ejection, probation, and what may lead to an ejection.
func (w *worker) loadHealth(loaded WorkerSnapshot) {
	w.lastProgress = max(w.lastProgress, w.now-loaded.LastProgressAge)
	if loaded.RejectionLeft > 0 {
		w.rejectedUntil = w.now + loaded.RejectionLeft
	}
	w.ejections = max(w.ejections, loaded.Ejections)
	w.probationLeft = max(w.probationLeft, loaded.ProbationLeft)
	w.checksMissed = max(w.checksMissed, loaded.Missed)
	if loaded.Ejected && !w.ejected {
		w.ejected = true
		w.checksAnswered = 0
		w.ejectedUntil = w.now + max(0, loaded.EjectionLeft)
	}
}
