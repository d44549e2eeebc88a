// Package dispatch decides for one scheduler which worker each invocation goes to, and when. Call New once at
// the start, then Handle with all events of one moment, and carry the actions out in order. All decisions are
// in this file; the interface (events, actions, what a deployment tells) is in types.go.
//
// The design, SRPTMS+C, decides the ordinary path: hold, rank, running set, release, clones, pick. Beside it
// stand six mechanisms:
//  1. set-aside and trial: a worker, whole or for one tenant's operation, is judged by our own outcomes too.
//  2. stuck work: a further forward for what sits where no answer in time is to be expected.
//  3. pace: a worker's running time for each unit of work; a slow one gets only what it can do in time.
//  4. late figures: how old reports are is learned, and old ones count for less.
//  5. cold budget: our part of the work that a worker which has just started can take.
//  6. giving up: what can't meet its latency objective any more is answered at once.
package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sort"
	"time"
)

const (
	epsilon     = 0.6                    // the running set's part of held weight
	spreadTimes = 3                      // r of the effective size
	cloneShare  = 0.2                    // clones stay under this part of invocations
	beat        = 20 * time.Millisecond  // how often time alone may change a decision
	sampleCount = 16                     // measurements are the last few samples
	lagSamples  = 64                     // more of them, as others' traffic blurs each
	figureCount = 8                      // reports of a worker that others' load there is worked out from
	probeFloor  = 3                      // random workers probed each second, whatever the traffic
	probePoints = 0.002                  // points of the result that probes above the floor may cost
	asideFirst  = 500 * time.Millisecond // how long a worker is set aside at least; each next time doubles it
	asideMost   = 8 * time.Second
	asideProbes = 2                      // answered probes before a worker comes back
	trialRuns   = 3                      // successes, one at a time, before it counts in full again
	awaySpan    = time.Second            // what a throttled client is told to wait
	patience    = 300 * time.Millisecond // for a sign that is due
	hintLow     = 1.4                    // how far work lies over hinted cost in the middle, as hints are rough
	waitShare   = 0.5                    // of the slack that own work gives, what waiting may use
	sureFresh   = 0.6                    // how far a figure must hold still for a clone
)

// lags are the ages of a report among which the likeliest is learned.
var lags = [...]time.Duration{0, 50e6, 100e6, 200e6, 350e6, 500e6, 750e6, 1e9, 14e8, 2e9, 28e8, 4e9, 56e8}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// house is what all parts share, with the few figures of the deployment that every worker's book needs.
type house struct {
	now, progress, warmAfter, window time.Duration
	rng                              *rand.Rand
	out                              []Action
	unread                           []*inbox // with notes in them, oldest first
	probes, tellsStart               bool
	coldFrom                         float64
}

func (h *house) do(a Action) { h.out = append(h.out, a) }

func (h *house) settle() {
	for len(h.unread) > 0 {
		b, notes := h.unread[0], h.unread[0].notes
		h.unread, b.notes = h.unread[1:], nil
		for _, note := range notes {
			b.read(note)
		}
	}
}

type inbox struct {
	*house
	read  func(note any)
	notes []any
}

func (b *inbox) put(note any) {
	if b.notes = append(b.notes, note); len(b.notes) == 1 {
		b.unread = append(b.unread, b)
	}
}

type samples []float64

func (s *samples) add(v float64, most int) {
	if *s = append(*s, v); len(*s) > most {
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

// at is a quantile, which one heavy invocation can't move as it moves a mean. 0 where nothing was measured.
func (s samples) at(part float64) float64 {
	return append(slices.Sorted(slices.Values(s)), 0)[int(part*float64(len(s)))]
}

func (s samples) spread() float64 { return s.at(0.84) - s.at(0.5) }

// The notes that parts put into each other's inboxes, beside the events themselves.
type (
	tick   struct{} // the beat
	choose struct{} // all that has happened at this moment is in
	about  struct { // door to desk or worker, and on from a worker to the desk with the running time
		inv   int
		event Event
		ran   time.Duration
	}
	freed  struct{ id InvID }                 // desk to door: nothing more will be heard of it
	sent   struct{ errand }                   // desk to worker
	pooled struct{ lag, every time.Duration } // desk to worker, each beat: age of reports, how often to probe
	stuck  struct{ inv, fwd int }             // worker to desk: no answer is to be expected soon
	misfit [len(lags)]float64                 // worker to desk: how badly each lag explains a report
)

// Dispatcher is one scheduler's decisions. As the door it makes ids small indices, and it follows the list.
type Dispatcher struct {
	house
	inbox
	desk                  desk
	workers               []*worker
	workerAt              map[WorkerID]int
	invAt                 map[InvID]int
	asks, follows         bool
	failed                int
	wakeAt, within, askAt time.Duration // askAt: when to ask for the list again if nothing has come by then
}

// New starts an instance. The deployment is turned into the figures that decisions use and is not kept.
func New(dep Deployment, seed int64) *Dispatcher {
	d := &Dispatcher{workerAt: map[WorkerID]int{}, invAt: map[InvID]int{}, asks: !dep.Pushed,
		within: dep.Rules.AskWithin}
	d.house = house{rng: rand.New(rand.NewSource(seed)), probes: dep.Allowed.Probes, window: dep.Rules.Fall,
		progress: dep.Progress, tellsStart: dep.TellsStart, coldFrom: dep.Rules.ColdFrom,
		warmAfter: dep.Rules.WarmAfter}
	d.inbox = inbox{house: &d.house, read: d.read}
	d.desk = desk{inbox: inbox{house: &d.house, read: d.desk.read}, door: d, zone: dep.Zone, arrivals: samples{0},
		cancels: dep.Allowed.Cancel, mostOut: dep.Allowed.MaxOut, mostForwards: max(1, dep.Allowed.MaxForwards),
		after: min(dep.Allowed.MaxRetryAfter, awaySpan), refused: map[[3]int][2]time.Duration{},
		each: probePoints / max(dep.ProbePrice, probePoints/4),
		part: dep.Rules.FallMultiple * dep.Rules.Fall.Seconds() / float64(max(1, dep.Peers))}
	for _, o := range dep.Operations {
		d.desk.ops = append(d.desk.ops, operation{weight: cmp.Or(max(0, o.BilledValue), 1), stretch: o.Stretch,
			objective: o.LatencyObjective, window: o.DedupWindow, late: o.LateValue > 0, effect: o.Effect,
			scope: o.Scope, kind: o.Kind})
	}
	return d
}

// Handle takes the events of one moment and gives back what is to be done, good until the next call.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now, d.out = now, d.out[:0]
	for _, event := range events {
		d.enter(event)
	}
	if d.wakeAt <= now {
		d.wakeAt = now + beat
		d.do(Wake{At: d.wakeAt})
		d.put(tick{})
		d.desk.put(tick{})
		d.settle()
	}
	d.desk.put(choose{})
	d.settle()
	return d.out
}

// enter finds whom an event is for. What is about an invocation that is not held any more is passed over.
func (d *Dispatcher) enter(event Event) {
	id, worker := event.About()
	at, known := d.workerAt[worker]
	inv, held := d.invAt[id]
	if _, is := event.(Arrival); is && !held {
		inv, held = d.desk.slot(), true
		d.invAt[id] = inv
	}
	switch n := (about{inv: inv, event: event}); {
	case id > 0 && !held:
	case known:
		d.workers[at].put(n)
	case held:
		d.desk.put(n)
	default:
		d.put(event)
	}
	d.settle()
}

func (d *Dispatcher) read(note any) {
	switch n := note.(type) {
	case freed:
		delete(d.invAt, n.id)
	case tick:
		if d.asks && !d.follows && d.now >= d.askAt {
			d.do(Follow{})
			d.askAt = d.now + max(time.Second, d.within/2)
		}
	case Listing:
		d.follow(n)
	}
}

func (d *Dispatcher) follow(list Listing) {
	if list.Form == ListFailed {
		// A list service that is down must not get all schedulers' calls at once, and one that has not been
		// asked within the stated time makes us count as told: spread out, but well inside it.
		wait := max(min(250*time.Millisecond<<min(d.failed, 5), d.within/4), 250*time.Millisecond)
		d.follows, d.failed = false, d.failed+1
		d.askAt = d.now + wait/2 + time.Duration(d.rng.Int63n(int64(wait)))
		d.do(Log{fmt.Sprintf("list call failed or subscription lost, asking again at %v", d.askAt)})
		return
	}
	if d.now > 0 { // the first one is only what was cached
		d.follows, d.failed = true, 0
	}
	for _, w := range d.workers {
		named := slices.ContainsFunc(list.Entries, func(e Entry) bool { return e.Worker == w.id })
		if list.Form == ListWhole && !named {
			w.put(Entry{Standing: Gone})
		}
	}
	for _, e := range list.Entries {
		at, known := d.workerAt[e.Worker]
		if !known {
			at = len(d.workers)
			w := &worker{inbox: inbox{house: &d.house}, desk: &d.desk.inbox, id: e.Worker, card: card{at: at}}
			w.inbox.read = w.read
			d.workers, d.workerAt[e.Worker] = append(d.workers, w), at
		}
		d.workers[at].put(e)
	}
}

type need struct{ slots, memory float64 }

func (n need) plus(t float64, m need) need { return need{n.slots + t*m.slots, n.memory + t*m.memory} }

type errand struct {
	inv, fwd int
	need
	work, size              float64
	lost                    bool
	sent, began, heard, end time.Duration // end: when its slots are free again; 0 while it is out
}

type card struct {
	at, zone, kind, cell             int
	open, trial, known, tested, full bool    // tested: its pace is its own, and a warm worker's
	room, size                       need    // size: the most seen free
	mine, fresh, pace                float64 // how far the last figure holds still; running time over hinted cost
	warmth, spent                    float64 // of a cold worker: the part of its capacity, and our work sent of late
}

// worker is the actor that keeps one worker's book.
type worker struct {
	inbox
	card
	desk                                  *inbox
	id                                    WorkerID
	standing                              Standing
	cold, aside                           bool
	startedAt, asideTill, fullTill        time.Duration
	lastSign, figureAt, probedAt, probeAt time.Duration
	lag, every                            time.Duration // how old a report is when it comes; how often to probe
	errands                               []errand
	figures                               []need // what was free or ours at the last few reports, the last at figureAt
	load                                  Load   // the last report as it came
	fit                                   misfit
	paces, runs                           samples
	asides, wanted                        int // how often it was set aside of late; successes still wanted on trial
	answers, missed                       int // probes in a row with and without an answer
}

func (w *worker) read(note any) {
	switch n := note.(type) {
	case Entry:
		w.follow(n)
	case sent:
		w.errands = append(w.errands, n.errand)
	case pooled:
		w.lag, w.every = n.lag, n.every
		w.watch()
	case about:
		switch e := n.event.(type) {
		case Sign:
			if f := w.find(n.inv, e.Forward); f != nil {
				if w.lastSign, f.heard = w.now, w.now; e.Started {
					f.began = w.now
				} else if f.began == 0 { // its first progress note
					f.began = w.now - w.progress
				}
				w.comeBack(true)
			}
		case Outcome:
			w.finish(n, e)
		case Answer:
			w.answered(e)
		}
	}
	w.tell()
}

func (w *worker) held(at time.Duration) (n need) {
	for i := range w.errands {
		if e := &w.errands[i]; e.sent <= at && (e.end == 0 || at < e.end) && e.sent >= w.startedAt {
			n = n.plus(1, e.need)
		}
	}
	return n
}

func (w *worker) tell() {
	mine := w.held(w.now)
	w.open, w.trial, w.known = w.standing == Ready && !w.aside, w.wanted > 0, len(w.figures) > 0
	w.full = w.now < w.fullTill
	w.mine, w.pace, w.warmth, w.spent = mine.slots, w.paces.at(0.5), 1, 0
	if n := len(w.figures); n > 0 {
		// What others hold drifts back to its usual level while a figure ages, and a crowd chases the worker that
		// looked emptiest: the older the last figure, the more the mean of the last few counts.
		w.fresh = math.Exp(-max(0, w.now-w.figureAt).Seconds() / max(w.runs.mean(), 0.1))
		w.room = w.figures[n-1].plus(-1, mine).plus(w.fresh-1, w.figures[n-1])
		for _, f := range w.figures {
			w.room = w.room.plus((1-w.fresh)/float64(n), f)
		}
		w.room.slots = math.Round(w.room.slots)
	}
	if age := w.now - w.startedAt; w.cold && age < w.warmAfter {
		w.warmth = w.coldFrom + (1-w.coldFrom)*max(0, age.Seconds()/w.warmAfter.Seconds())
		for _, e := range w.errands {
			if e.sent+w.window > w.now && e.sent > w.startedAt {
				w.spent += e.size
			}
		}
	}
	w.desk.put(w.card)
}

func (w *worker) follow(e Entry) {
	if w.standing = e.Standing; e.Standing == Gone {
		w.release(w.now)
		return
	}
	if e.Restarted && (!w.cold || e.StartedAt > w.startedAt) {
		w.cold, w.startedAt, w.figures, w.load, w.paces = true, e.StartedAt, nil, Load{}, nil
		w.aside, w.wanted, w.missed = false, 0, 0
		w.release(e.StartedAt)
	}
	w.zone, w.kind, w.cell = e.Zone, e.Kind, e.Cell
}

func (w *worker) find(inv, fwd int) *errand {
	at := slices.IndexFunc(w.errands, func(e errand) bool { return e.inv == inv && e.fwd == fwd && e.end == 0 })
	if at < 0 {
		return nil
	}
	return &w.errands[at]
}

func (w *worker) release(before time.Duration) {
	for i := range w.errands {
		if e := &w.errands[i]; e.end == 0 && !e.lost && e.sent <= before {
			e.lost = true // told once: after a return new work is to show how the worker does
			w.desk.put(stuck{e.inv, e.fwd})
		}
	}
}

func (w *worker) answered(a Answer) {
	switch a.Result {
	case Succeeded:
		w.missed, w.answers, w.fullTill = 0, w.answers+1, 0
		w.report(a.Load)
		w.comeBack(w.answers >= asideProbes)
	case Full: // probes are capped, which tells nothing
		w.probeAt = min(w.probeAt, w.now+patience)
	default:
		w.answers, w.missed = 0, w.missed+1
		if w.missed > 1 || w.lastSign < w.now-a.Took {
			w.setAside("probes go unanswered", true)
		}
	}
}

// report takes a load report in. One that equals the last and comes soon after is the same figure seen again.
func (w *worker) report(load *Load) {
	same := load != nil && *load == w.load && w.now-w.figureAt < 5*w.lag
	if load == nil || same || load.FreeSlots < 0 {
		return
	}
	free := need{math.Round(load.FreeSlots - load.Waiting), load.FreeMemory}
	w.size = need{max(w.size.slots, free.slots), max(w.size.memory, free.memory)}
	var fit, differ misfit
	for i, lag := range lags {
		fit[i] = free.plus(1, w.held(w.now-lag)).slots
		differ[i] = (fit[i] - w.fit[i]) * (fit[i] - w.fit[i])
	}
	if w.known {
		w.desk.put(differ)
	}
	w.fit, w.load = fit, *load
	w.figure(w.now-w.lag, free)
	oldest := w.now - max(lags[len(lags)-1], w.window)
	w.errands = slices.DeleteFunc(w.errands, func(e errand) bool { return e.end != 0 && e.end < oldest })
}

func (w *worker) figure(at time.Duration, free need) {
	open := free.plus(1, w.held(at))
	w.figures, w.figureAt = append(w.figures, need{min(open.slots, w.size.slots), open.memory}), at
	w.figures = w.figures[max(0, len(w.figures)-figureCount):]
}

func (w *worker) finish(n about, o Outcome) {
	w.report(o.Load)
	if e := w.find(n.inv, o.Forward); e != nil {
		e.end, w.lastSign = w.now, w.now
		switch o.Result {
		case Succeeded:
			n.ran, w.fullTill = w.now-cmp.Or(e.began, e.sent), 0
			w.runs.add(n.ran.Seconds(), sampleCount)
			w.paces.add(n.ran.Seconds()/e.work, sampleCount)
			w.comeBack(true)
			if w.wanted = max(0, w.wanted-1); w.wanted == 0 {
				w.asides = max(0, w.asides-1)
			}
		case Failed, Broken:
			// One that fails fast shows the most free slots and would draw all work.
			w.setAside("fails what it gets", false)
		case Cancelled:
			// It may go on: its slots stay counted for as long as it would have run.
			e.end = max(w.now, e.sent+seconds(e.work*max(0.5, w.paces.at(0.5))))
		case Full:
			e.end, w.fullTill = e.sent, w.now+asideFirst // it counts as sent to a cold worker all the same
			if w.known {
				w.figure(w.now, need{})
			}
		case Unreachable, NotSent:
			if e.end, e.size = e.sent, 0; o.Result == Unreachable {
				w.setAside("can't be reached", true)
			}
		}
	}
	w.desk.put(n)
}

func (w *worker) comeBack(seen bool) {
	if w.aside && seen && w.now >= w.asideTill {
		w.aside, w.wanted = false, trialRuns*max(1, w.asides)
		w.do(Log{fmt.Sprintf("worker %v is back, on trial", w.id)})
	}
}

func (w *worker) setAside(why string, silent bool) {
	if !w.aside && w.standing == Ready {
		w.asideTill = w.now + min(asideFirst<<w.asides, asideMost)
		w.aside, w.answers, w.asides = true, 0, min(w.asides+1, 5)
		w.do(Log{fmt.Sprintf("worker %v is set aside: %s", w.id, why)})
	}
	if silent {
		w.release(w.now)
	}
}

// watch looks for overdue signs. A hung worker shows the most free slots and would draw all work, but a busy
// one must not lose its place: suspicion asks, silence beyond what waiting explains decides.
func (w *worker) watch() {
	suspect, wait := false, patience+w.lag
	for i := range w.errands {
		e := &w.errands[i]
		due := e.sent
		switch {
		case e.end != 0 || e.lost || w.aside:
			continue
		case w.tellsStart && e.began == 0:
			if begin := e.sent + 2*beat; begin <= w.now && w.now < begin+beat {
				w.figure(w.now, need{slots: -e.slots}) // it waits: nothing is free now, whatever the last report says
			}
		case w.progress > 0:
			due = max(due, e.heard) + w.progress
		default:
			due += seconds(4 * e.work * max(1, w.paces.at(0.5)))
		}
		if silent := w.now - max(due, w.lastSign) - wait; silent > seconds(3*cmp.Or(w.runs.mean(), 1)) {
			w.setAside("silent", true)
		} else if silent > 0 {
			suspect = true
		}
	}
	if w.probes && w.standing == Ready && (w.now >= w.probeAt || suspect && w.now >= w.probedAt+patience) {
		w.probedAt, w.probeAt = w.now, w.now+w.every/2+time.Duration(w.rng.Int63n(int64(w.every+1)))
		if w.aside {
			w.probeAt = w.now + asideFirst/2
		}
		w.do(Probe{w.id})
	}
}

type operation struct {
	weight, stretch   float64
	objective, window time.Duration
	late              bool // an answer after the objective still has a value
	effect            Effect
	scope             Scope
	kind              int
	ratios, sizes     samples       // running time over hinted cost, and running time, of finishes
	most              time.Duration // the longest a client has been ready to wait
}

type tried struct {
	at              int
	sent            time.Duration
	out, ran, stuck bool // ran: it may have run
}

type inv struct {
	need
	id             InvID
	op, tenant     int
	first, givenUp time.Duration // its first try came, its client timeout
	work, size     float64       // hinted cost, effective size
	weight, rank   float64
	done, over     bool // answered; nothing more will be heard of it
	tries          []tried
}

type desk struct {
	inbox
	door                  *Dispatcher
	zone                  int
	after                 time.Duration // how long a throttled client is to stay away
	cancels               bool
	mostForwards, mostOut int
	part, each            float64 // our seconds of a cold worker's capacity; probes that an invocation pays for
	ops                   []operation
	invs                  []inv
	held                  []int // by rank, highest first
	board                 []card
	jobs, clones          float64
	arrivals              samples
	misfits               [len(lags)]samples
	refused               map[[3]int][2]time.Duration // worker, operation, tenant: till when, for how long
}

func (k *desk) slot() int {
	i := slices.IndexFunc(k.invs, func(j inv) bool { return j.over })
	if i < 0 {
		i, k.invs = len(k.invs), append(k.invs, inv{})
	}
	return i
}

func (k *desk) read(note any) {
	switch n := note.(type) {
	case card:
		if n.at == len(k.board) {
			k.board = append(k.board, n)
		}
		if n.tested = n.pace > 0 && n.warmth == 1; n.pace == 0 {
			n.pace = k.usualPace(n.kind)
		}
		n.pace /= n.warmth
		k.board[n.at] = n
	case misfit:
		for i, v := range n {
			k.misfits[i].add(v, lagSamples)
		}
	case stuck:
		if j := &k.invs[n.inv]; !j.done && n.fwd < len(j.tries) {
			j.tries[n.fwd].stuck = true
			k.again(n.inv)
		}
	case tick:
		k.learn()
	case choose:
		k.choose()
	case about:
		switch e := n.event.(type) {
		case Arrival:
			k.take(n.inv, e)
		case Outcome:
			k.ended(n, e)
		case Streaming:
			k.land(n.inv, e.Forward)
		case Withdrawn:
			k.land(n.inv, -1)
		}
	}
}

func (k *desk) usualPace(kind int) float64 {
	var paces samples
	for _, c := range k.board {
		if c.tested && c.kind == kind {
			paces = append(paces, c.pace)
		}
	}
	return cmp.Or(paces.at(0.5), 1)
}

// learn works out how old reports are: at the true lag, free slots plus our own vary least between two.
func (k *desk) learn() {
	lag := 0
	for i, s := range k.misfits {
		if len(s) >= sampleCount && s.mean() < k.misfits[lag].mean() {
			lag = i
		}
	}
	rate := probeFloor + k.each*float64(len(k.arrivals))/max(0.1, k.now.Seconds()-k.arrivals[0])
	for _, w := range k.door.workers {
		w.put(pooled{lags[lag], seconds(float64(len(k.board)) / rate)})
	}
}

func (k *desk) take(i int, a Arrival) {
	o, j := &k.ops[min(a.Operation, len(k.ops)-1)], &k.invs[i]
	*j = inv{id: a.Inv, op: a.Operation, tenant: a.Tenant, givenUp: k.now + a.Budget, work: a.Hint,
		need: need{max(1, a.Slots), a.Memory}, weight: o.weight, tries: j.tries[:0]}
	if j.work <= 0 {
		j.work = cmp.Or(o.sizes.mean(), 1)
	}
	// What is left of a later try tells how long its client has waited: the objective counts from the first try.
	o.most = max(o.most, a.Budget)
	j.first = k.now - (o.most - a.Budget)
	k.jobs++
	k.arrivals.add(k.now.Seconds(), lagSamples)
	k.hold(i)
}

func (k *desk) hold(i int) {
	j := &k.invs[i]
	j.size = j.work * (1 + spreadTimes*k.ops[j.op].ratios.spread())
	j.rank = j.weight / j.size
	at := sort.Search(len(k.held), func(n int) bool { return k.invs[k.held[n]].rank < j.rank })
	k.held = slices.Insert(k.held, at, i)
}

func (k *desk) unhold(i int) {
	k.held = slices.DeleteFunc(k.held, func(other int) bool { return other == i })
}

// live counts the forwards that are out, and those with hope of an answer. first is the first that may have
// run: it fixes group and window of what is deduplicated.
func (j *inv) live() (out, hoped int, first *tried) {
	for f := range j.tries {
		t := &j.tries[f]
		if t.out {
			out++
			if !t.stuck {
				hoped++
			}
		}
		if first == nil && (t.out || t.ran) {
			first = t
		}
	}
	return out, hoped, first
}

func (k *desk) again(i int) {
	j := &k.invs[i]
	if _, hoped, _ := j.live(); j.done || hoped > 0 || slices.Contains(k.held, i) {
		return
	}
	if k.may(j) && !k.hopeless(j) {
		k.hold(i)
	} else {
		k.giveUp(i)
	}
}

// may tells whether the effect class and the limits allow one more forward.
func (k *desk) may(j *inv) bool {
	o := &k.ops[j.op]
	out, _, first := j.live()
	return len(j.tries) < k.mostForwards && out < k.mostOut && (first == nil || o.effect == Idempotent ||
		o.effect == Deduplicated && k.now < first.sent+o.window)
}

// slack is how long an invocation may wait, from its first try, before a worker of that pace is too late.
func (k *desk) slack(j *inv, pace float64) time.Duration {
	o := &k.ops[j.op]
	return o.objective + seconds(waitShare*j.work*(hintLow*o.stretch-pace))
}

// hopeless: it has waited too long for any worker; not before the plain objective, as paces may be wrong.
func (k *desk) hopeless(j *inv) bool {
	o := &k.ops[j.op]
	most := o.objective
	for i := range k.board {
		if c := &k.board[i]; c.open && (o.kind < 0 || o.kind == c.kind) {
			most = max(most, k.slack(j, c.pace))
		}
	}
	return k.now+2*beat >= j.givenUp || !o.late && k.now-j.first > most
}

func (k *desk) giveUp(i int) {
	j := &k.invs[i]
	o := &k.ops[j.op]
	switch out, _, first := j.live(); {
	case out > 0: // it may still be answered
		k.unhold(i)
		return
	case first == nil || o.effect == Idempotent || o.effect == Deduplicated && o.scope == ScopeAll:
		k.do(Throttled{j.id, k.after})
	default:
		k.do(Errored{j.id})
	}
	k.land(i, -1)
}

func (k *desk) land(i, but int) {
	j := &k.invs[i]
	k.unhold(i)
	j.over = true
	for f, t := range j.tries {
		if t.out && !j.done && f != but && k.cancels {
			k.do(Cancel{j.id, f})
		}
		j.over = j.over && !t.out
	}
	if j.done = true; j.over {
		k.door.put(freed{j.id})
	}
}

func (k *desk) ended(n about, e Outcome) {
	j := &k.invs[n.inv]
	if e.Forward >= len(j.tries) || !j.tries[e.Forward].out {
		return
	}
	t, o := &j.tries[e.Forward], &k.ops[j.op]
	t.out, t.ran = false, e.Result != Full && e.Result != Unreachable && e.Result != NotSent
	key := [3]int{t.at, j.op, j.tenant}
	switch e.Result {
	case Succeeded:
		delete(k.refused, key)
		o.sizes.add(n.ran.Seconds(), sampleCount)
		o.ratios.add(n.ran.Seconds()/j.work, sampleCount)
	case Full:
		// One that turns a tenant away while its probes show room would draw that tenant's top invocation for ever.
		span := min(max(2*k.refused[key][1], asideFirst/8), asideMost)
		k.refused[key] = [2]time.Duration{k.now + span, span}
	}
	switch {
	case j.done || e.Closed || e.Result == Succeeded:
		k.land(n.inv, -1)
	case k.now < j.givenUp && e.Result != NotSent:
		k.again(n.inv)
	default:
		k.giveUp(n.inv)
	}
}

// choose is the design's step: running set, release in rank order, clones from what room is left.
func (k *desk) choose() {
	total, above, running := 0.0, 0.0, []int{}
	for _, i := range k.held {
		total += k.invs[i].weight
	}
	for _, i := range slices.Clone(k.held) {
		j := &k.invs[i]
		inSet := above < epsilon*total
		above += j.weight
		if k.hopeless(j) {
			k.giveUp(i)
		} else if at, _ := k.pick(j); at >= 0 {
			k.send(i, at)
			if inSet && k.ops[j.op].effect == Idempotent && len(j.tries) == 1 {
				running = append(running, i)
			}
		}
	}
	slices.SortStableFunc(running, func(a, b int) int { return cmp.Compare(k.invs[b].weight, k.invs[a].weight) })
	for _, i := range running {
		at, roomy := k.pick(&k.invs[i])
		if len(k.held) > 0 || !roomy || k.clones+1 >= cloneShare*k.jobs || !k.may(&k.invs[i]) {
			return
		}
		// Late reports leave phantom room on which clones would spawn: they go where the figure holds still.
		if at >= 0 && k.board[at].fresh > sureFresh {
			k.clones++
			k.send(i, at)
		}
	}
}

func (k *desk) send(i, at int) {
	j, c := &k.invs[i], &k.board[at]
	k.unhold(i)
	j.tries = append(j.tries, tried{at: at, sent: k.now, out: true})
	k.do(Forward{j.id, k.door.workers[at].id})
	c.room = c.room.plus(-1, j.need)
	c.mine, c.spent = c.mine+j.slots, c.spent+j.size
	k.door.workers[at].put(sent{errand{inv: i, fwd: len(j.tries) - 1, need: j.need, work: j.work, size: j.size,
		sent: k.now}})
}

// pick gives -1 where no room seems free. roomy: over half the pooled workers show room.
func (k *desk) pick(j *inv) (best int, roomy bool) {
	var pooled, known, roomCount, room, mine, usual float64 // usual: our slots at workers with a figure
	for _, c := range k.board {
		if c.open {
			pooled, mine = pooled+1, mine+c.mine
			if c.known {
				known, room, usual = known+1, room+c.room.slots, usual+c.mine
			}
			if c.room.slots >= 1 {
				roomCount++
			}
		}
	}
	best, timely := -1, false
	var bestRoom float64
	from := k.rng.Intn(max(1, len(k.board)))
	for n := range k.board {
		at := (from + n) % len(k.board)
		c := &k.board[at]
		if !k.fits(j, at, c) {
			continue
		}
		has := c.room.slots
		if known == 0 { // no figure of free slots anywhere: the workers where we have least, up to the mean
			if has = j.slots + math.Floor(mine/pooled-c.mine); c.full {
				has = 0 // nor where the last answer was full
			}
		} else if !c.known { // new to the pool: it counts at the mean
			has = math.Round((room+usual)/known - c.mine)
		}
		if c.trial {
			has = min(has, 1-c.mine)
		}
		inTime := k.ops[j.op].late || k.now-j.first <= k.slack(j, c.pace)
		if inTime && !timely {
			best, timely = -1, true // better held for one that can do it in time than sent to one that can't
		}
		if has < j.slots || timely && !inTime {
			continue
		}
		if c.zone == k.zone {
			has += 0.5 // among equals the own zone, then the faster one
		}
		if best < 0 || has > bestRoom || has == bestRoom && c.pace < k.board[best].pace {
			best, bestRoom = at, has
		}
	}
	return best, 2*roomCount > pooled
}

func (k *desk) fits(j *inv, at int, c *card) bool {
	o := &k.ops[j.op]
	if !c.open || o.kind >= 0 && o.kind != c.kind || c.known && c.room.memory < j.memory ||
		c.trial && o.effect == NonIdempotent || k.refused[[3]int{at, j.op, j.tenant}][0] > k.now ||
		slices.ContainsFunc(j.tries, func(t tried) bool { return t.at == at && (t.out || t.ran) }) {
		return false
	}
	if _, _, first := j.live(); first != nil && o.effect == Deduplicated {
		group := &k.board[first.at]
		if o.scope == ScopeZone && group.zone != c.zone || o.scope == ScopeCell && group.cell != c.cell {
			return false
		}
	}
	return c.warmth == 1 || c.spent+j.size <= k.part*max(1, c.size.slots)/c.pace
}
