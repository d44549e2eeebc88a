package dispatch

import (
	"slices"
	"time"
)

// LessonVersion changes whenever a figure of a Lesson changes its meaning.
const SnapshotVersion = 2

// Lesson is what an instance has measured, for another one that takes its place. It holds no decision: what is taught is
// used by the same lines as what is measured. Times are ages, or what is left of a span.
type Snapshot struct {
	Version           int                       `json:"Version"`
	RunTimes          []float64                 `json:"Runs"`
	ReportGaps        []float64                 `json:"Gaps"`
	ReportChanges     []float64                 `json:"Changes"`
	FreeSlots         []float64                 `json:"Slots"`
	ImmediateStarts   []float64                 `json:"Starts"`
	Arrivals          []time.Duration           `json:"Arrivals"`
	Admitted          float64                   `json:"Jobs"`
	Hedges            float64                   `json:"Clones"`
	PoolSize          float64                   `json:"Size"`
	HealthCheckCredit float64                   `json:"Credit"`
	KindPaces         map[int][]float64         `json:"Kinds"` // paces
	Operations        map[int]OperationSnapshot `json:"Operations"`
	Workers           []WorkerSnapshot          `json:"Workers"`
}

// OperationLesson is what was measured of one operation.
type OperationSnapshot struct {
	CostRatios    []float64     `json:"Ratios"`
	RunTimes      []float64     `json:"Sizes"`
	HintErrors    []float64     `json:"Rough"`
	LongestBudget time.Duration `json:"Most"`
}

// WorkerLesson is what was measured of one start of a worker.
type WorkerSnapshot struct {
	Worker          WorkerID      `json:"Worker"`
	Incarnation     uint64        `json:"Start"`
	Paces           []float64     `json:"Paces"`
	ServiceTime     float64       `json:"Service"`
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
	ProbationLeft   int           `json:"Wanted"`
	Missed          int           `json:"Missed"`
	BudgetUsed      []BudgetUse   `json:"Spent"`
}

// Spending is work sent to a cold worker that has ended, and still counts.
type BudgetUse struct {
	Age  time.Duration `json:"Age"`
	Cost float64       `json:"Cost"`
}

// Taught brings a lesson.
type SnapshotLoaded struct{ Snapshot }

func (e SnapshotLoaded) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// Lesson writes down what was measured.
func (d *Dispatcher) Snapshot() Snapshot {
	k, ago := &d.scheduler, func(t time.Duration) time.Duration { return d.now - t }
	l := Snapshot{Version: SnapshotVersion, RunTimes: k.runTimes, ReportGaps: k.reportGaps, ReportChanges: k.reportChanges, FreeSlots: k.freeSlots,
		ImmediateStarts: k.immediateStarts, Admitted: k.admitted, Hedges: k.hedges, PoolSize: k.poolSize, HealthCheckCredit: k.checkCredit, KindPaces: map[int][]float64{},
		Operations: map[int]OperationSnapshot{}}
	for _, at := range k.arrivals {
		l.Arrivals = append(l.Arrivals, ago(seconds(at)))
	}
	for kind, paces := range k.kindPaces {
		l.KindPaces[kind] = paces
	}
	for i, o := range k.operations {
		l.Operations[i] = OperationSnapshot{o.costRatios, o.runTimes, o.hintErrors, o.longestBudget}
	}
	for i := range d.records {
		w := d.records[i].worker
		if w == nil || w.state != Ready {
			continue
		}
		k.currentView(i)
		n := WorkerSnapshot{Worker: w.id, Incarnation: d.records[i].Incarnation, Paces: w.paces, ServiceTime: w.serviceTime, LastFreeSlots: w.lastFree,
			MaxFreeSlots: w.maxFree, FreeSlots: w.freeSamples, Load: w.lastReport, FreeSlotsAge: ago(w.freeSampledAt), ReportAge: ago(w.reportedAt), LastProgressAge: ago(w.lastProgress),
			Ejected: w.ejected, EjectionLeft: w.ejectedUntil - d.now, RejectionLeft: w.rejectedUntil - d.now, Ejections: w.ejections, ProbationLeft: w.probationLeft,
			Missed: w.checksMissed}
		for _, e := range w.attempts { // those that are out are passed with their invocations
			if e.endedAt != 0 && e.cost > 0 && w.warmUpWeight < 1 && e.sentAt+w.overloadWindow > d.now {
				n.BudgetUsed = append(n.BudgetUsed, BudgetUse{ago(e.sentAt), e.cost})
			}
		}
		l.Workers = append(l.Workers, n)
	}
	return l
}

func joinSamples(old []float64, now samples) samples {
	all := append(slices.Clone(old), now...)
	return all[max(0, len(all)-sampleCount):]
}

// heed takes a lesson in. What was measured here comes after what was taught.
func (d *Dispatcher) loadSnapshot(l Snapshot) {
	if l.Version != SnapshotVersion {
		return
	}
	k := &d.scheduler
	for _, v := range []struct {
		to   *samples
		from []float64
	}{{&k.runTimes, l.RunTimes}, {&k.reportGaps, l.ReportGaps}, {&k.reportChanges, l.ReportChanges}, {&k.freeSlots, l.FreeSlots}, {&k.immediateStarts, l.ImmediateStarts}} {
		*v.to = joinSamples(v.from, *v.to)
	}
	var came []float64
	for _, age := range l.Arrivals {
		came = append(came, (d.now - age).Seconds())
	}
	if k.admitted == 0 && len(came) > 0 { // else our own say more
		k.arrivals = joinSamples(came, nil)
	}
	k.admitted, k.hedges, k.poolSize = k.admitted+l.Admitted, k.hedges+l.Hedges, max(k.poolSize, l.PoolSize)
	for kind, paces := range l.KindPaces {
		k.kindPaces[kind] = joinSamples(paces, k.kindPaces[kind])
		k.setKindPace(kind, k.kindPaces[kind].quantile(0.5))
	}
	for i, o := range l.Operations {
		if i < 0 || i >= len(k.operations) {
			continue
		}
		to := &k.operations[i]
		to.costRatios, to.runTimes, to.hintErrors = joinSamples(o.CostRatios, to.costRatios), joinSamples(o.RunTimes, to.runTimes), joinSamples(o.HintErrors, to.hintErrors)
		to.longestBudget = max(to.longestBudget, o.LongestBudget)
	}
	for _, n := range l.Workers {
		if at, known := d.recordIndex[n.Worker]; known && d.records[at].Incarnation == n.Incarnation && d.records[at].State == Ready {
			d.workerAt(at).send(n)
		}
	}
	k.learnFleet()
}

func (n WorkerSnapshot) to(w *worker) {
	if w.paces = joinSamples(n.Paces, w.paces); len(w.paces) > 0 {
		w.pace = w.paces.quantile(0.5)
	}
	w.maxFree = max(w.maxFree, n.MaxFreeSlots)
	if len(w.freeSamples) == 0 {
		w.lastFree, w.freeSampledAt, w.lastReport, w.reportedAt, w.serviceTime = n.LastFreeSlots, w.now-n.FreeSlotsAge, n.Load, w.now-n.ReportAge, n.ServiceTime
	}
	w.freeSamples = joinSamples(n.FreeSlots, w.freeSamples)
	w.freeSamples = w.freeSamples[max(0, len(w.freeSamples)-freeSampleCount):]
	w.lastProgress = max(w.lastProgress, w.now-n.LastProgressAge)
	if n.RejectionLeft > 0 {
		w.rejectedUntil = w.now + n.RejectionLeft
	}
	w.ejections, w.probationLeft, w.checksMissed = max(w.ejections, n.Ejections), max(w.probationLeft, n.ProbationLeft), max(w.checksMissed, n.Missed)
	if n.Ejected && !w.ejected {
		w.ejected, w.checksAnswered, w.ejectedUntil = true, 0, w.now+max(0, n.EjectionLeft)
	}
	for _, s := range n.BudgetUsed {
		sent := w.now - s.Age
		w.attempts = append(w.attempts, workerAttempt{invocation: -1, sentAt: sent, endedAt: max(sent, 1), cost: s.Cost})
	}
}
