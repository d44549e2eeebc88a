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
	k, ago := &d.desk, func(t time.Duration) time.Duration { return d.now - t }
	l := Snapshot{Version: SnapshotVersion, RunTimes: k.runs, ReportGaps: k.gaps, ReportChanges: k.changes, FreeSlots: k.slots,
		ImmediateStarts: k.starts, Admitted: k.jobs, Hedges: k.clones, PoolSize: k.size, HealthCheckCredit: k.credit, KindPaces: map[int][]float64{},
		Operations: map[int]OperationSnapshot{}}
	for _, at := range k.arrivals {
		l.Arrivals = append(l.Arrivals, ago(seconds(at)))
	}
	for kind, paces := range k.paces {
		l.KindPaces[kind] = paces
	}
	for i, o := range k.ops {
		l.Operations[i] = OperationSnapshot{o.ratios, o.sizes, o.rough, o.most}
	}
	for i := range d.list {
		w := d.list[i].worker
		if w == nil || w.standing != Ready {
			continue
		}
		k.current(i)
		n := WorkerSnapshot{Worker: w.id, Incarnation: d.list[i].Incarnation, Paces: w.paces, ServiceTime: w.service, LastFreeSlots: w.last,
			MaxFreeSlots: w.size, FreeSlots: w.figures, Load: w.load, FreeSlotsAge: ago(w.figureAt), ReportAge: ago(w.reportAt), LastProgressAge: ago(w.lastSign),
			Ejected: w.aside, EjectionLeft: w.asideTill - d.now, RejectionLeft: w.fullTill - d.now, Ejections: w.asides, ProbationLeft: w.wanted,
			Missed: w.missed}
		for _, e := range w.errands { // those that are out are passed with their invocations
			if e.end != 0 && e.cost > 0 && w.warmth < 1 && e.sent+w.window > d.now {
				n.BudgetUsed = append(n.BudgetUsed, BudgetUse{ago(e.sent), e.cost})
			}
		}
		l.Workers = append(l.Workers, n)
	}
	return l
}

func joined(old []float64, now samples) samples {
	all := append(slices.Clone(old), now...)
	return all[max(0, len(all)-sampleCount):]
}

// heed takes a lesson in. What was measured here comes after what was taught.
func (d *Dispatcher) heed(l Snapshot) {
	if l.Version != SnapshotVersion {
		return
	}
	k := &d.desk
	for _, v := range []struct {
		to   *samples
		from []float64
	}{{&k.runs, l.RunTimes}, {&k.gaps, l.ReportGaps}, {&k.changes, l.ReportChanges}, {&k.slots, l.FreeSlots}, {&k.starts, l.ImmediateStarts}} {
		*v.to = joined(v.from, *v.to)
	}
	var came []float64
	for _, age := range l.Arrivals {
		came = append(came, (d.now - age).Seconds())
	}
	if k.jobs == 0 && len(came) > 0 { // else our own say more
		k.arrivals = joined(came, nil)
	}
	k.jobs, k.clones, k.size = k.jobs+l.Admitted, k.clones+l.Hedges, max(k.size, l.PoolSize)
	for kind, paces := range l.KindPaces {
		k.paces[kind] = joined(paces, k.paces[kind])
		k.setPaced(kind, k.paces[kind].at(0.5))
	}
	for i, o := range l.Operations {
		if i < 0 || i >= len(k.ops) {
			continue
		}
		to := &k.ops[i]
		to.ratios, to.sizes, to.rough = joined(o.CostRatios, to.ratios), joined(o.RunTimes, to.sizes), joined(o.HintErrors, to.rough)
		to.most = max(to.most, o.LongestBudget)
	}
	for _, n := range l.Workers {
		if at, known := d.workerAt[n.Worker]; known && d.list[at].Incarnation == n.Incarnation && d.list[at].State == Ready {
			d.meet(at).put(n)
		}
	}
	k.learn()
}

func (n WorkerSnapshot) to(w *worker) {
	if w.paces = joined(n.Paces, w.paces); len(w.paces) > 0 {
		w.pace = w.paces.at(0.5)
	}
	w.size = max(w.size, n.MaxFreeSlots)
	if len(w.figures) == 0 {
		w.last, w.figureAt, w.load, w.reportAt, w.service = n.LastFreeSlots, w.now-n.FreeSlotsAge, n.Load, w.now-n.ReportAge, n.ServiceTime
	}
	w.figures = joined(n.FreeSlots, w.figures)
	w.figures = w.figures[max(0, len(w.figures)-figureCount):]
	w.lastSign = max(w.lastSign, w.now-n.LastProgressAge)
	if n.RejectionLeft > 0 {
		w.fullTill = w.now + n.RejectionLeft
	}
	w.asides, w.wanted, w.missed = max(w.asides, n.Ejections), max(w.wanted, n.ProbationLeft), max(w.missed, n.Missed)
	if n.Ejected && !w.aside {
		w.aside, w.answers, w.asideTill = true, 0, w.now+max(0, n.EjectionLeft)
	}
	for _, s := range n.BudgetUsed {
		sent := w.now - s.Age
		w.errands = append(w.errands, errand{inv: -1, sent: sent, end: max(sent, 1), cost: s.Cost})
	}
}
