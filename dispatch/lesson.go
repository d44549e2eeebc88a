package dispatch

import (
	"slices"
	"time"
)

// LessonVersion changes whenever a figure of a Lesson changes its meaning.
const LessonVersion = 2

// Lesson is what an instance has measured, for another one that takes its place. It holds no decision: what is taught is
// used by the same lines as what is measured. Times are ages, or what is left of a span.
type Lesson struct {
	Version    int                     `json:"Version"`
	Runs       []float64               `json:"Runs"`
	Gaps       []float64               `json:"Gaps"`
	Changes    []float64               `json:"Changes"`
	Slots      []float64               `json:"Slots"`
	Starts     []float64               `json:"Starts"`
	Arrivals   []time.Duration         `json:"Arrivals"`
	Jobs       float64                 `json:"Jobs"`
	Clones     float64                 `json:"Clones"`
	Size       float64                 `json:"Size"`
	Credit     float64                 `json:"Credit"`
	Kinds      map[int][]float64       `json:"Kinds"` // paces
	Operations map[int]OperationLesson `json:"Operations"`
	Workers    []WorkerLesson          `json:"Workers"`
}

// OperationLesson is what was measured of one operation.
type OperationLesson struct {
	Ratios []float64     `json:"Ratios"`
	Sizes  []float64     `json:"Sizes"`
	Rough  []float64     `json:"Rough"`
	Most   time.Duration `json:"Most"`
}

// WorkerLesson is what was measured of one start of a worker.
type WorkerLesson struct {
	Worker    WorkerID      `json:"Worker"`
	Start     uint64        `json:"Start"`
	Paces     []float64     `json:"Paces"`
	Service   float64       `json:"Service"`
	Figures   []float64     `json:"Figures"`
	Last      float64       `json:"Last"`
	Size      float64       `json:"Size"`
	Load      Load          `json:"Load"`
	FigureAge time.Duration `json:"FigureAge"`
	ReportAge time.Duration `json:"ReportAge"`
	Sign      time.Duration `json:"Sign"`
	Aside     bool          `json:"Aside"`
	AsideLeft time.Duration `json:"AsideLeft"`
	FullLeft  time.Duration `json:"FullLeft"`
	Asides    int           `json:"Asides"`
	Wanted    int           `json:"Wanted"`
	Missed    int           `json:"Missed"`
	Spent     []Spending    `json:"Spent"`
}

// Spending is work sent to a cold worker that has ended, and still counts.
type Spending struct {
	Age  time.Duration `json:"Age"`
	Cost float64       `json:"Cost"`
}

// Taught brings a lesson.
type Taught struct{ Lesson }

func (e Taught) About() (InvID, WorkerID) { return 0, WorkerID{} }

// Lesson writes down what was measured.
func (d *Dispatcher) Lesson() Lesson {
	k, ago := &d.desk, func(t time.Duration) time.Duration { return d.now - t }
	l := Lesson{Version: LessonVersion, Runs: k.runs, Gaps: k.gaps, Changes: k.changes, Slots: k.slots,
		Starts: k.starts, Jobs: k.jobs, Clones: k.clones, Size: k.size, Credit: k.credit, Kinds: map[int][]float64{},
		Operations: map[int]OperationLesson{}}
	for _, at := range k.arrivals {
		l.Arrivals = append(l.Arrivals, ago(seconds(at)))
	}
	for kind, paces := range k.paces {
		l.Kinds[kind] = paces
	}
	for i, o := range k.ops {
		l.Operations[i] = OperationLesson{o.ratios, o.sizes, o.rough, o.most}
	}
	for i := range d.list {
		w := d.list[i].worker
		if w == nil || w.standing != Ready {
			continue
		}
		k.current(i)
		n := WorkerLesson{Worker: w.id, Start: d.list[i].Start, Paces: w.paces, Service: w.service, Last: w.last,
			Size: w.size, Figures: w.figures, Load: w.load, FigureAge: ago(w.figureAt), ReportAge: ago(w.reportAt), Sign: ago(w.lastSign),
			Aside: w.aside, AsideLeft: w.asideTill - d.now, FullLeft: w.fullTill - d.now, Asides: w.asides, Wanted: w.wanted,
			Missed: w.missed}
		for _, e := range w.errands { // those that are out are passed with their invocations
			if e.end != 0 && e.cost > 0 && w.warmth < 1 && e.sent+w.window > d.now {
				n.Spent = append(n.Spent, Spending{ago(e.sent), e.cost})
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
func (d *Dispatcher) heed(l Lesson) {
	if l.Version != LessonVersion {
		return
	}
	k := &d.desk
	for _, v := range []struct {
		to   *samples
		from []float64
	}{{&k.runs, l.Runs}, {&k.gaps, l.Gaps}, {&k.changes, l.Changes}, {&k.slots, l.Slots}, {&k.starts, l.Starts}} {
		*v.to = joined(v.from, *v.to)
	}
	var came []float64
	for _, age := range l.Arrivals {
		came = append(came, (d.now - age).Seconds())
	}
	if k.jobs == 0 && len(came) > 0 { // else our own say more
		k.arrivals = joined(came, nil)
	}
	k.jobs, k.clones, k.size = k.jobs+l.Jobs, k.clones+l.Clones, max(k.size, l.Size)
	for kind, paces := range l.Kinds {
		k.paces[kind] = joined(paces, k.paces[kind])
		k.setPaced(kind, k.paces[kind].at(0.5))
	}
	for i, o := range l.Operations {
		if i < 0 || i >= len(k.ops) {
			continue
		}
		to := &k.ops[i]
		to.ratios, to.sizes, to.rough = joined(o.Ratios, to.ratios), joined(o.Sizes, to.sizes), joined(o.Rough, to.rough)
		to.most = max(to.most, o.Most)
	}
	for _, n := range l.Workers {
		if at, known := d.workerAt[n.Worker]; known && d.list[at].Start == n.Start && d.list[at].Standing == Ready {
			d.meet(at).put(n)
		}
	}
	k.learn()
}

func (n WorkerLesson) to(w *worker) {
	if w.paces = joined(n.Paces, w.paces); len(w.paces) > 0 {
		w.pace = w.paces.at(0.5)
	}
	w.size = max(w.size, n.Size)
	if len(w.figures) == 0 {
		w.last, w.figureAt, w.load, w.reportAt, w.service = n.Last, w.now-n.FigureAge, n.Load, w.now-n.ReportAge, n.Service
	}
	w.figures = joined(n.Figures, w.figures)
	w.figures = w.figures[max(0, len(w.figures)-figureCount):]
	w.lastSign = max(w.lastSign, w.now-n.Sign)
	if n.FullLeft > 0 {
		w.fullTill = w.now + n.FullLeft
	}
	w.asides, w.wanted, w.missed = max(w.asides, n.Asides), max(w.wanted, n.Wanted), max(w.missed, n.Missed)
	if n.Aside && !w.aside {
		w.aside, w.answers, w.asideTill = true, 0, w.now+max(0, n.AsideLeft)
	}
	for _, s := range n.Spent {
		sent := w.now - s.Age
		w.errands = append(w.errands, errand{inv: -1, sent: sent, end: max(sent, 1), cost: s.Cost})
	}
}
