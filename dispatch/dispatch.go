// Package dispatch decides for one scheduler which worker each invocation goes to, and when. All decisions
// are in this file; the interface (events, actions, what a deployment tells) is in types.go.
//
// Call New once at the start, then Handle with all events of one moment, and carry the actions out in order.
// Nothing else goes in or comes out: no clock, no goroutine, no state outside the Dispatcher.
//
// The design, SRPTMS+C, decides the ordinary path: hold, rank, running set, release, clones, pick. Beside it
// stand six mechanisms:
//  1. set-aside and trial: a worker is judged by our own outcomes too, not by its figures alone.
//  2. stuck work: a further forward for what sits on a worker that was set aside.
//  3. pace: a worker's running time for each unit of work; a slow one gets only what it can do in time.
//  4. refusals: a worker that turns a tenant's operation away is passed over for these.
//  5. cold budget: our part of the work that a worker which has just started can take.
//  6. giving up: what can't meet its latency objective any more is answered at once.
package dispatch

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	epsilon     = 0.6                    // the running set's part of held weight
	spreadTimes = 3                      // r of the effective size
	cloneShare  = 0.2                    // clones stay under this part of invocations
	beat        = 20 * time.Millisecond  // how often time alone may change a decision
	sampleCount = 16                     // measurements are the last few samples
	probeFloor  = 3                      // random workers probed each second, whatever the traffic
	probePoints = 0.004                  // points of the result that probes above the floor may cost
	asideFirst  = 500 * time.Millisecond // how long a worker is set aside at least; each next time doubles it
	asideMost   = 8 * time.Second
	asideProbes = 2                      // answered probes before a worker comes back
	trialRuns   = 3                      // successes, one at a time, before it counts in full again
	patience    = 300 * time.Millisecond // for a sign that is due
)

// house is what all parts share: the moment, chance, what comes out, and the loop that empties inboxes.
type house struct {
	now    time.Duration
	rng    *rand.Rand
	out    []Action
	unread []*inbox // with notes in them, oldest first
}

// inbox is the one way into a part.
type inbox struct {
	home  *house
	read  func(note any)
	notes []any
}

func (b *inbox) put(note any) {
	if len(b.notes) == 0 {
		b.home.unread = append(b.home.unread, b)
	}
	b.notes = append(b.notes, note)
}

// settle empties all inboxes, in the order in which they got their first note.
func (h *house) settle() {
	for len(h.unread) > 0 {
		b := h.unread[0]
		h.unread = h.unread[1:]
		notes := b.notes
		b.notes = nil
		for _, note := range notes {
			b.read(note)
		}
	}
}

func (h *house) do(a Action) { h.out = append(h.out, a) }

func (h *house) log(format string, args ...any) { h.do(Log{fmt.Sprintf(format, args...)}) }

// samples are the last few measurements of something.
type samples []float64

func (s *samples) add(v float64) {
	if *s = append(*s, v); len(*s) > sampleCount {
		*s = (*s)[1:]
	}
}

func (s samples) mean() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum / float64(max(1, len(s)))
}

func (s samples) deviation() float64 {
	mean, sum := s.mean(), 0.0
	for _, v := range s {
		sum += (v - mean) * (v - mean)
	}
	return math.Sqrt(sum / float64(max(1, len(s)-1)))
}

// middle is the median: one heavy invocation can't move it.
func (s samples) middle() float64 {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[len(sorted)/2]
}

// The notes that parts put into each other's inboxes, beside the events themselves.
type (
	tick   struct{} // the beat
	choose struct{} // all that has happened at this moment is in
	came   struct { // door to desk
		inv int
		Arrival
	}
	ended struct { // door to worker, and on to the desk with the running time
		inv, fwd int
		result   Result
		closed   bool
		load     []float64
		ran      time.Duration
	}
	heard struct { // door to worker: a sign from a forward that is out
		inv, fwd int
		started  bool
		done     float64
	}
	closed struct{ inv, but int } // door to desk: no more answer is owed; forward but goes on
	freed  struct{ id InvID }     // desk to door: nothing more will be heard of it
	sent   struct{ errand }       // desk to worker
	stuck  struct{ inv, fwd int } // worker to desk: no answer is to be expected soon
	offer  struct {               // worker to desk: how it stands
		at int
		card
	}
	listed struct{ Entry } // roster to worker
	round  struct {        // worker to scout: whom to probe
		at           int
		ready, aside bool
	}
)

// Dispatcher is one scheduler's decisions and its door: ids become small indices here.
type Dispatcher struct {
	house
	inbox
	desk     desk
	scout    scout
	roster   roster
	workers  []*worker
	workerAt map[WorkerID]int
	invAt    map[InvID]int
	wakeAt   time.Duration
	beats    uint64
	reports  []Field
	signs    struct {
		start    bool
		progress time.Duration
	}
	warmAfter time.Duration
	coldFrom  float64
	fall      time.Duration
}

// New starts an instance. The deployment is turned into the figures that decisions use and is not kept.
func New(dep Deployment, seed int64) *Dispatcher {
	d := &Dispatcher{workerAt: map[WorkerID]int{}, invAt: map[InvID]int{}, reports: dep.Fields}
	d.rng = rand.New(rand.NewSource(seed))
	d.signs.start, d.signs.progress = dep.TellsStart, dep.Progress
	d.warmAfter, d.coldFrom, d.fall = dep.Rules.WarmAfter, dep.Rules.ColdFrom, dep.Rules.Fall
	d.inbox = inbox{home: &d.house, read: func(note any) { delete(d.invAt, note.(freed).id) }}
	d.desk = newDesk(d, dep)
	d.desk.inbox.read = d.desk.read
	d.scout = scout{inbox: inbox{home: &d.house}, door: d, probes: dep.Allowed.Probes}
	d.scout.inbox.read = d.scout.read
	d.scout.each = probePoints / max(dep.ProbePrice, probePoints/4)
	d.roster = roster{inbox: inbox{home: &d.house}, door: d, asks: !dep.Pushed, within: dep.Rules.AskWithin}
	d.roster.inbox.read = d.roster.read
	return d
}

// Handle takes the events of one moment and gives back what is to be done, good until the next call.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now, d.out = now, d.out[:0]
	for _, event := range events {
		d.enter(event)
		d.settle()
	}
	if d.wakeAt <= now {
		d.beats++
		d.wakeAt = now + beat
		d.do(Wake{At: d.wakeAt, Token: d.beats})
		for _, w := range d.workers {
			w.put(tick{})
		}
		d.roster.put(tick{})
		d.scout.put(tick{})
		d.settle()
	}
	d.desk.put(choose{})
	d.settle()
	return d.out
}

func (d *Dispatcher) enter(event Event) {
	switch e := event.(type) {
	case Arrival:
		if _, known := d.invAt[e.Inv]; known {
			return
		}
		if e.Operation >= len(d.desk.ops) {
			d.do(Errored{e.Inv})
			return
		}
		inv := d.desk.slot()
		d.invAt[e.Inv] = inv
		d.desk.put(came{inv, e})
		d.scout.put(e)
	case Outcome:
		inv, held := d.invAt[e.Inv]
		if at, known := d.workerAt[e.Worker]; held && known {
			d.workers[at].put(ended{inv: inv, fwd: e.Forward, result: e.Result, closed: e.Closed, load: e.Load})
		}
	case Sign:
		inv, held := d.invAt[e.Inv]
		if at, known := d.workerAt[e.Worker]; held && known {
			d.workers[at].put(heard{inv, e.Forward, e.Started, e.Done})
		}
	case Streaming:
		if inv, held := d.invAt[e.Inv]; held {
			d.desk.put(closed{inv, e.Forward})
		}
	case Withdrawn:
		if inv, held := d.invAt[e.Inv]; held {
			d.desk.put(closed{inv, -1})
		}
	case Answer:
		if at, known := d.workerAt[e.Worker]; known {
			d.workers[at].put(e)
		}
	case Listing:
		d.roster.put(e)
	}
}

// roster follows the list of workers.
type roster struct {
	inbox
	door    *Dispatcher
	asks    bool
	within  time.Duration
	askAt   time.Duration // when to ask again if nothing has come by then
	failed  int
	follows bool
}

func (r *roster) read(note any) {
	now := r.home.now
	switch n := note.(type) {
	case tick:
		if r.asks && !r.follows && now >= r.askAt {
			r.home.do(Follow{})
			r.askAt = now + max(time.Second, r.within/2)
		}
	case Listing:
		if n.Form == ListFailed {
			// A list service that is down must not get all schedulers' calls at once, and one that has not
			// been asked within the stated time makes us count as told: spread out, but well inside it.
			wait := min(250*time.Millisecond<<min(r.failed, 5), max(r.within/4, 250*time.Millisecond))
			r.follows, r.failed = false, r.failed+1
			r.askAt = now + wait/2 + time.Duration(r.home.rng.Int63n(int64(wait)))
			r.home.log("list call failed or subscription lost, asking again at %v", r.askAt)
			return
		}
		if now > 0 {
			r.follows, r.failed = true, 0
		}
		missing := make([]bool, len(r.door.workers))
		for i := range missing {
			missing[i] = n.Form == ListWhole
		}
		for _, e := range n.Entries {
			at, known := r.door.workerAt[e.Worker]
			if !known {
				at = r.door.hire(e.Worker)
			} else if at < len(missing) {
				missing[at] = false
			}
			r.door.workers[at].put(listed{e})
		}
		for at, gone := range missing {
			if gone {
				r.door.workers[at].put(listed{Entry{Standing: Gone}})
			}
		}
	}
}

func (d *Dispatcher) hire(id WorkerID) int {
	w := &worker{inbox: inbox{home: &d.house}, door: d, id: id, at: len(d.workers)}
	w.inbox.read = w.read
	d.workers = append(d.workers, w)
	d.workerAt[id] = w.at
	return w.at
}

// scout probes a few random workers, and those set aside so that they can come back.
type scout struct {
	inbox
	door    *Dispatcher
	probes  bool
	each    float64 // probes that an invocation pays for
	credit  float64
	rounds  []round
	deck    []int // random order, dealt out before it is shuffled anew
	asideAt time.Duration
}

func (s *scout) read(note any) {
	switch n := note.(type) {
	case Arrival:
		s.credit += s.each
	case round:
		for len(s.rounds) <= n.at {
			s.rounds = append(s.rounds, round{})
		}
		s.rounds[n.at] = n
	case tick:
		if !s.probes || len(s.rounds) == 0 {
			return
		}
		s.credit = min(s.credit+probeFloor*beat.Seconds(), max(1, float64(len(s.rounds))*beat.Seconds()*4))
		for tries := 0; s.credit >= 1 && tries < 2*len(s.rounds); tries++ {
			if len(s.deck) == 0 {
				s.deck = s.home.rng.Perm(len(s.rounds))
			}
			at := s.deck[0]
			s.deck = s.deck[1:]
			if r := s.rounds[at]; r.ready && !r.aside {
				s.credit--
				s.home.do(Probe{s.door.workers[at].id})
			}
		}
		if s.home.now >= s.asideAt {
			s.asideAt = s.home.now + asideFirst/2
			for at, r := range s.rounds {
				if r.ready && r.aside {
					s.home.do(Probe{s.door.workers[at].id})
				}
			}
		}
	}
}

// errand is a forward as its worker sees it.
type errand struct {
	inv, fwd            int
	slots, memory, work float64
	sent, heard, end    time.Duration // end: when its slots are free again; 0 while it is out
	started             bool
}

// card is what a worker tells of itself.
type card struct {
	open, trial, known bool
	zone, kind, cell   int
	room, memory, mine float64
	size, pace         float64
	warmth, spent      float64
}

// worker is the actor that keeps one worker's book.
type worker struct {
	inbox
	door             *Dispatcher
	id               WorkerID
	at               int
	zone, kind, cell int
	standing         Standing
	startedAt        time.Duration
	cold             bool
	errands          []errand
	free, queue      float64 // the last figures, and when they were true
	memory           float64
	figureAt         time.Duration
	known, full      bool
	size             float64 // most slots seen
	pace             samples
	lastSign         time.Duration
	aside            bool
	asideTill        time.Duration
	asides, answers  int
	trial            int // successes still wanted
	errors           samples
	missed           int // probes in a row without an answer
}

func (w *worker) read(note any) {
	now := w.home.now
	switch n := note.(type) {
	case listed:
		w.follow(n.Entry)
	case sent:
		w.errands = append(w.errands, n.errand)
	case heard:
		if e := w.find(n.inv, n.fwd); e != nil {
			w.lastSign, e.heard = now, now
			if n.started {
				e.started = true
			}
			w.revive()
		}
	case ended:
		w.finish(n)
	case Answer:
		if !n.OK {
			w.answers = 0
			if w.missed++; w.missed >= 2 {
				w.setAside("probes go unanswered", true)
			}
			break
		}
		w.missed = 0
		w.report(n.Load, now-n.Took/2)
		if w.answers++; w.aside && w.answers >= asideProbes && now >= w.asideTill {
			w.aside, w.trial = false, trialRuns
			w.home.log("worker %v back on trial", w.id)
			w.tell()
		}
	case tick:
		w.watch()
	}
	w.tell()
}

// tell lets the desk and the scout know how the worker stands.
func (w *worker) tell() {
	c := card{open: w.standing == Ready && !w.aside, trial: w.trial > 0, known: w.known, zone: w.zone, kind: w.kind,
		cell: w.cell, memory: math.Inf(1), size: w.size, pace: w.pace.middle(), warmth: 1}
	c.room = w.free - w.queue
	if slices.Contains(w.door.reports, FieldFreeMemory) && w.known {
		c.memory = w.memory
	}
	for _, e := range w.errands {
		out := e.end == 0 || e.end > w.home.now
		if out {
			c.mine += e.slots
		}
		if e.sent+w.door.fall > w.home.now {
			c.spent += e.work
		}
		switch {
		case e.sent > w.figureAt && out:
			c.room -= e.slots
			c.memory -= e.memory
		case e.sent <= w.figureAt && !out && e.end > w.figureAt:
			c.room += e.slots
			c.memory += e.memory
		}
	}
	c.room = min(c.room, w.size-c.mine)
	if age := w.home.now - w.startedAt; w.cold && age < w.door.warmAfter {
		from := w.door.coldFrom
		c.warmth = from + (1-from)*max(0, age.Seconds()/w.door.warmAfter.Seconds())
	}
	w.door.desk.put(offer{w.at, c})
}

func (w *worker) follow(e Entry) {
	if e.Standing == Ready {
		if e.Restarted && (!w.cold || e.StartedAt > w.startedAt) {
			w.cold, w.startedAt = true, e.StartedAt
			w.known, w.aside, w.trial, w.missed, w.pace, w.errors = false, false, 0, 0, nil, nil
			w.release()
		}
		w.zone, w.kind, w.cell = e.Zone, e.Kind, e.Cell
	}
	if w.standing != e.Standing {
		w.standing = e.Standing
		if e.Standing == Gone {
			w.release()
		}
	}
	w.door.scout.put(round{w.at, w.standing == Ready, w.aside})
}

func (w *worker) find(inv, fwd int) *errand {
	for i := range w.errands {
		if e := &w.errands[i]; e.inv == inv && e.fwd == fwd && e.end == 0 {
			return e
		}
	}
	return nil
}

// release tells the desk that what is out here is not to be waited for.
func (w *worker) release() {
	for _, e := range w.errands {
		if e.end == 0 {
			w.door.desk.put(stuck{e.inv, e.fwd})
		}
	}
}

func (w *worker) report(load []float64, at time.Duration) {
	for i, field := range w.door.reports {
		if i >= len(load) {
			return
		}
		switch field {
		case FieldFreeSlots:
			w.free, w.known, w.full, w.figureAt = math.Round(load[i]), true, false, at
			w.size = max(w.size, w.free)
			w.queue = 0
		case FieldFreeMemory:
			w.memory = load[i]
		}
	}
	for i, field := range w.door.reports {
		if field == FieldWaiting && i < len(load) {
			w.queue = math.Round(load[i])
		}
	}
	w.errands = slices.DeleteFunc(w.errands, func(e errand) bool {
		return e.end != 0 && e.end < w.figureAt && e.sent+w.door.fall < w.home.now
	})
}

func (w *worker) finish(n ended) {
	now := w.home.now
	e := w.find(n.inv, n.fwd)
	if e == nil {
		w.door.desk.put(n)
		return
	}
	if n.load != nil {
		w.report(n.load, now)
		if e = w.find(n.inv, n.fwd); e == nil {
			return
		}
	}
	e.end = now
	switch n.result {
	case Succeeded:
		n.ran = now - e.sent
		if e.started {
			n.ran = now - e.heard
		}
		w.lastSign = now
		if e.work > 0 {
			w.pace.add(n.ran.Seconds() / e.work)
		}
		w.errors.add(0)
		w.revive()
		if w.trial > 0 {
			w.trial--
		}
		if w.trial == 0 && w.errors.mean() == 0 && len(w.errors) >= sampleCount/2 {
			w.asides = 0
		}
	case Failed, Broken:
		w.lastSign = now
		w.errors.add(1)
		if w.errors.mean()*float64(len(w.errors)) >= 2 || w.trial > 0 {
			w.setAside("fails what it gets", false)
			w.errors = nil
		}
	case Full:
		w.lastSign = now
		e.sent, e.end = 0, 1
		w.free, w.queue, w.figureAt, w.full = 0, 0, now, true
	case Unreachable:
		e.sent, e.end = 0, 1
		w.setAside("can't be reached", true)
	case Cancelled:
		// The worker may go on with it: its slots stay counted for as long as it would have run.
		if left := time.Duration(e.work * max(1, w.pace.middle()) * float64(time.Second)); e.sent+left > now {
			e.end = e.sent + left
		}
	case NotSent:
		e.sent, e.end = 0, 1
	}
	w.door.desk.put(n)
}

// revive ends a set-aside for silence: a sign of our own work is better proof than any probe.
func (w *worker) revive() {
	if w.aside && w.home.now >= w.asideTill {
		w.aside, w.trial = false, trialRuns
		w.door.scout.put(round{w.at, w.standing == Ready, false})
	}
}

func (w *worker) setAside(why string, silent bool) {
	if w.standing != Ready {
		return
	}
	if !w.aside {
		w.asideTill = w.home.now + min(asideFirst<<w.asides, asideMost)
		w.asides = min(w.asides+1, 5)
		w.aside, w.answers = true, 0
		w.home.log("worker %v set aside: %s", w.id, why)
		w.door.scout.put(round{w.at, true, true})
	}
	if silent {
		w.release()
	}
}

// watch looks for signs that are overdue. A hung worker shows the most free slots and would draw all work.
func (w *worker) watch() {
	for i := range w.errands {
		e := &w.errands[i]
		if e.end != 0 {
			continue
		}
		last := max(e.sent, w.lastSign)
		wait := patience
		if w.known && w.free <= 0 {
			wait = time.Second
		}
		switch progress := w.door.signs.progress; {
		case progress > 0 && (e.heard > 0 || !w.door.signs.start):
			wait += progress
		case w.door.signs.start && !e.started:
		default:
			wait += time.Duration(4 * e.work * max(1, w.pace.middle()) * float64(time.Second))
		}
		if w.home.now > last+wait && !w.aside {
			w.setAside("silent", true)
			return
		}
	}
}

// operation is what decisions use of an operation.
type operation struct {
	weight            float64
	objective, window time.Duration
	stretch           float64
	late              bool // an answer after the objective still has a value
	effect            Effect
	scope             Scope
	kind              int
	ratios            samples // running time over hinted cost, of finishes
	sizes             samples // running time of finishes
	most              time.Duration
}

// tried is a forward as its invocation sees it.
type tried struct {
	at              int
	sent            time.Duration
	out, ran, stuck bool // ran: it may have run
}

// inv is an invocation.
type inv struct {
	id             InvID
	op, tenant     int
	dueBy, givenUp time.Duration // latency objective, client timeout
	slots, memory  float64
	hint, work     float64
	weight, rank   float64
	held, done     bool
	tries          []tried
	cloned         bool
}

// desk holds invocations and decides on them.
type desk struct {
	inbox
	door    *Dispatcher
	ops     []operation
	invs    []inv
	spare   []int
	held    []int // by rank, highest first
	board   []card
	allowed Allowances
	late    time.Duration
	jobs    float64
	clones  float64
	part    float64 // our part of a cold worker's budget, times multiple and span
	paces   []float64
	refused map[[3]int]*refusal
}

type refusal struct {
	till  time.Duration
	times int
}

func newDesk(d *Dispatcher, dep Deployment) desk {
	k := desk{inbox: inbox{home: &d.house}, door: d, allowed: dep.Allowed, refused: map[[3]int]*refusal{}}
	for _, o := range dep.Operations {
		weight := o.BilledValue
		if weight <= 0 {
			weight = 1
		}
		k.ops = append(k.ops, operation{weight: weight, objective: o.LatencyObjective, window: o.DedupWindow,
			stretch: o.Stretch, late: o.LateValue > 0, effect: o.Effect, scope: o.Scope, kind: o.Kind})
	}
	k.part = dep.Rules.FallMultiple * dep.Rules.Fall.Seconds() / float64(max(1, dep.Peers))
	return k
}

func (k *desk) slot() int {
	if n := len(k.spare); n > 0 {
		i := k.spare[n-1]
		k.spare = k.spare[:n-1]
		return i
	}
	k.invs = append(k.invs, inv{})
	return len(k.invs) - 1
}

func (k *desk) read(note any) {
	switch n := note.(type) {
	case offer:
		for len(k.board) <= n.at {
			k.board = append(k.board, card{})
		}
		k.board[n.at] = n.card
	case came:
		k.take(n)
	case ended:
		k.ended(n)
	case stuck:
		j := &k.invs[n.inv]
		if !j.done && n.fwd < len(j.tries) {
			j.tries[n.fwd].stuck = true
			k.again(n.inv)
		}
	case closed:
		k.land(n.inv, n.but)
	case choose:
		k.choose()
	}
}

// take puts an invocation into the hold.
func (k *desk) take(n came) {
	now, o := k.home.now, &k.ops[n.Operation]
	j := &k.invs[n.inv]
	*j = inv{id: n.Inv, op: n.Operation, tenant: n.Tenant, givenUp: now + n.Budget, slots: max(1, n.Slots),
		memory: n.Memory, hint: n.Hint, work: n.Hint, tries: j.tries[:0], weight: o.weight}
	if j.work <= 0 {
		j.work = o.sizes.mean()
	}
	// What is left of a client's later try tells how long it has waited already: its objective counts from the first.
	o.most = max(o.most, n.Budget)
	j.dueBy = now - (o.most - n.Budget) + o.objective + time.Duration(o.stretch*j.work*float64(time.Second))
	if o.late {
		j.dueBy = j.givenUp
	}
	j.dueBy = min(j.dueBy, j.givenUp)
	k.jobs++
	k.hold(n.inv)
}

func (k *desk) hold(i int) {
	j := &k.invs[i]
	if j.held {
		return
	}
	o := &k.ops[j.op]
	j.rank = j.weight / max(1e-9, j.work*(1+spreadTimes*o.ratios.deviation()))
	if j.work <= 0 {
		j.rank = j.weight
	}
	at, _ := slices.BinarySearchFunc(k.held, j.rank, func(other int, rank float64) int {
		if k.invs[other].rank >= rank {
			return -1
		}
		return 1
	})
	k.held = slices.Insert(k.held, at, i)
	j.held = true
}

func (k *desk) unhold(i int) {
	if j := &k.invs[i]; j.held {
		j.held = false
		k.held = slices.DeleteFunc(k.held, func(other int) bool { return other == i })
	}
}

// live counts the forwards that are out, and those of them from which an answer is to be expected.
func (j *inv) live() (out, hoped int) {
	for _, t := range j.tries {
		if t.out {
			out++
			if !t.stuck {
				hoped++
			}
		}
	}
	return out, hoped
}

// bound is the first forward that may have run: it fixes group and window of what is deduplicated.
func (j *inv) bound() *tried {
	for i := range j.tries {
		if t := &j.tries[i]; t.out || t.ran {
			return t
		}
	}
	return nil
}

// again holds an invocation once more if it may be sent again and nothing good is out.
func (k *desk) again(i int) {
	j := &k.invs[i]
	o := &k.ops[j.op]
	out, hoped := j.live()
	if j.done || j.held || hoped > 0 {
		return
	}
	most := 2
	if !k.allowed.SecondCopies {
		most = 1
	}
	b := j.bound()
	may := o.effect == Idempotent || b == nil ||
		o.effect == Deduplicated && k.home.now < b.sent+o.window
	may = may && len(j.tries) < max(1, k.allowed.MaxForwards) && !k.hopeless(j)
	if may && out < most {
		k.hold(i)
	} else if out == 0 {
		k.giveUp(i)
	}
}

// hopeless tells whether no worker could end it within its latency objective.
func (k *desk) hopeless(j *inv) bool {
	return k.home.now+time.Duration(j.work*k.bestPace(k.ops[j.op].kind)*float64(time.Second)) > j.dueBy
}

// bestPace is the shortest running time for a unit of work among workers that may be sent to.
func (k *desk) bestPace(kind int) float64 {
	best := math.Inf(1)
	for _, c := range k.board {
		if c.open && c.pace > 0 && (kind < 0 || kind == c.kind) {
			best = min(best, c.pace)
		}
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best
}

// giveUp ends an invocation with nothing out.
func (k *desk) giveUp(i int) {
	j := &k.invs[i]
	o := &k.ops[j.op]
	if b := j.bound(); b == nil || o.effect == Idempotent || o.effect == Deduplicated && o.scope == ScopeAll {
		after := time.Duration(0)
		if k.allowed.RetryAfter {
			after = min(k.allowed.MaxRetryAfter, time.Second)
		}
		k.home.do(Throttled{j.id, after})
	} else {
		k.home.do(Errored{j.id})
	}
	k.land(i, -1)
}

// land ends the wait for an invocation whose final answer is given.
func (k *desk) land(i, but int) {
	j := &k.invs[i]
	k.unhold(i)
	out := 0
	for f := range j.tries {
		if j.tries[f].out {
			out++
			if !j.done && f != but && k.allowed.Cancel {
				k.home.do(Cancel{j.id, f})
			}
		}
	}
	j.done = true
	if out == 0 {
		k.door.put(freed{j.id})
		k.spare = append(k.spare, i)
	}
}

func (k *desk) ended(n ended) {
	j := &k.invs[n.inv]
	if n.fwd >= len(j.tries) || !j.tries[n.fwd].out {
		return
	}
	t := &j.tries[n.fwd]
	t.out = false
	t.ran = n.result != Full && n.result != Unreachable && n.result != NotSent
	o := &k.ops[j.op]
	if n.result == Succeeded {
		o.sizes.add(n.ran.Seconds())
		if j.hint > 0 {
			o.ratios.add(n.ran.Seconds() / j.hint)
		}
	}
	key := [3]int{t.at, j.op, j.tenant}
	if r := k.refused[key]; n.result == Full {
		if r == nil {
			r = &refusal{}
			k.refused[key] = r
		}
		// One that turns this tenant away while probes show room would draw the top invocation for ever.
		r.till = k.home.now + min(50*time.Millisecond<<min(r.times, 8), 4*time.Second)
		r.times++
	} else if n.result == Succeeded && r != nil {
		delete(k.refused, key)
	}
	switch {
	case j.done || n.closed || n.result == Succeeded:
		k.land(n.inv, -1)
	case k.home.now >= j.givenUp || n.result == NotSent:
		if out, _ := j.live(); out == 0 {
			k.home.do(Errored{j.id})
			k.land(n.inv, -1)
		}
	default:
		k.again(n.inv)
	}
}

// choose is the design's step: rank, running set, release, clones.
func (k *desk) choose() {
	if len(k.held) == 0 {
		return
	}
	k.kindPaces()
	total := 0.0
	for _, i := range slices.Clone(k.held) {
		j := &k.invs[i]
		if k.hopeless(j) {
			if out, _ := j.live(); out == 0 {
				k.giveUp(i)
			} else {
				k.unhold(i)
			}
			continue
		}
		total += j.weight
	}
	running, top := []int(nil), 0.0
	for _, i := range slices.Clone(k.held) {
		j := &k.invs[i]
		inSet := top < epsilon*total
		top += j.weight
		at := k.pick(j)
		if at < 0 {
			continue
		}
		k.send(i, at)
		if inSet && k.ops[j.op].effect == Idempotent && !j.cloned {
			running = append(running, i)
		}
	}
	if len(k.held) > 0 || !k.allowed.SecondCopies {
		return
	}
	slices.SortStableFunc(running, func(a, b int) int {
		return int(math.Copysign(1, k.invs[b].weight-k.invs[a].weight))
	})
	for _, i := range running {
		j := &k.invs[i]
		if out, _ := j.live(); out != 1 || len(j.tries) >= k.allowed.MaxForwards {
			continue
		}
		if k.clones+1 >= cloneShare*k.jobs || !k.roomy() {
			return
		}
		if at := k.pick(j); at >= 0 {
			k.clones++
			j.cloned = true
			k.send(i, at)
		}
	}
}

// roomy tells whether over half the pooled workers show room.
func (k *desk) roomy() bool {
	pooled, room := 0, 0
	for _, c := range k.board {
		if c.open {
			pooled++
			if c.room >= 1 {
				room++
			}
		}
	}
	return 2*room > pooled
}

func (k *desk) send(i, at int) {
	j, c := &k.invs[i], &k.board[at]
	k.unhold(i)
	j.tries = append(j.tries, tried{at: at, sent: k.home.now, out: true})
	k.home.do(Forward{j.id, k.door.workers[at].id})
	c.room -= j.slots
	c.mine += j.slots
	c.memory -= j.memory
	c.spent += j.work
	k.door.workers[at].put(sent{errand{inv: i, fwd: len(j.tries) - 1, slots: j.slots, memory: j.memory, work: j.work,
		sent: k.home.now}})
}

// kindPaces works out the usual pace of each kind from its workers, for those that have none of their own.
func (k *desk) kindPaces() {
	k.paces = k.paces[:0]
	all := samples{}
	for _, c := range k.board {
		for len(k.paces) <= c.kind {
			k.paces = append(k.paces, 0)
		}
	}
	for kind := range k.paces {
		mine := samples{}
		for _, c := range k.board {
			if c.kind == kind && c.pace > 0 && c.warmth == 1 {
				mine = append(mine, c.pace)
				all = append(all, c.pace)
			}
		}
		k.paces[kind] = mine.middle()
	}
	for kind := range k.paces {
		if k.paces[kind] == 0 {
			k.paces[kind] = max(1, all.middle())
		}
	}
}

// pick chooses the worker for an invocation, or -1 where no room seems free.
func (k *desk) pick(j *inv) int {
	pooled, known, room, mine := 0.0, 0.0, 0.0, 0.0
	for _, c := range k.board {
		if c.open {
			pooled++
			mine += c.mine
			if c.known {
				known++
				room += c.room
			}
		}
	}
	meanRoom, meanMine := room/max(1, known), mine/max(1, pooled)
	best, bestRoom, bestPace := -1, 0.0, 0.0
	from := k.home.rng.Intn(max(1, len(k.board)))
	for n := range k.board {
		at := (from + n) % len(k.board)
		c := &k.board[at]
		if !k.fits(j, at, c) {
			continue
		}
		has := c.room
		if !c.known {
			has = meanRoom
		}
		if known == 0 {
			// No figure of free slots anywhere: the workers where we have least, up to the mean.
			if c.mine > meanMine {
				continue
			}
			has = 1e3 - c.mine
		}
		if c.trial {
			has = min(has, 1-c.mine)
		}
		pace := c.pace
		if pace == 0 {
			pace = k.paces[c.kind]
		}
		pace /= c.warmth
		if has < j.slots || k.home.now+time.Duration(j.work*pace*float64(time.Second)) > j.dueBy {
			continue
		}
		if best < 0 || has > bestRoom || has == bestRoom && pace < bestPace {
			best, bestRoom, bestPace = at, has, pace
		}
	}
	return best
}

func (k *desk) fits(j *inv, at int, c *card) bool {
	o := &k.ops[j.op]
	if !c.open || o.kind >= 0 && o.kind != c.kind || c.memory < j.memory {
		return false
	}
	if r := k.refused[[3]int{at, j.op, j.tenant}]; r != nil && r.till > k.home.now {
		return false
	}
	for _, t := range j.tries {
		if t.at == at && (t.out || t.ran) {
			return false
		}
	}
	if b := j.bound(); b != nil && o.effect == Deduplicated {
		first := &k.board[b.at]
		if o.scope == ScopeZone && first.zone != c.zone || o.scope == ScopeCell && first.cell != c.cell {
			return false
		}
	}
	if c.warmth < 1 {
		size := c.size
		if size == 0 {
			size = 1
		}
		if c.spent+j.work > 0.8*k.part*c.warmth*size/k.paces[c.kind] {
			return false
		}
	}
	return true
}
