package dispatch

import (
	"cmp"
	"math"
	"math/rand"
	pcg "math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// The first part is the interface, the second how the parts of the module talk and what they write down.
// All times here are spans since the instance's start; work is in seconds on a standard core.

// InvID names an invocation at the door; inside the module it is a small index.
type InvocationID uint64

// WorkerID names a worker at the door. An address prints well in log lines; nothing is read from it.
type WorkerID = netip.AddrPort

// Effect is an operation's effect class: how far an invocation may be sent again once it may have run.
type Effect uint8

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Scope tells which workers drop a repeat of a deduplicated invocation.
type DedupScope uint8

const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Load is a worker's report on itself.
type LoadReport struct {
	FreeSlots   float64 `json:"FreeSlots"`
	Queued      float64 `json:"Waiting"`
	InFlight    float64 `json:"InHand"`
	Busy        float64 `json:"Busy"`
	ServiceTime float64 `json:"ServiceTime"`
	ErrorRate   float64 `json:"Errors"`
}

// NoLoad is a report without any value: no word of free slots.
var UnknownLoad = LoadReport{FreeSlots: -1}

// Deployment is what an instance is told once, at its start.
type Config struct {
	Schedulers           int // schedulers in all, this one included
	Index                int // its number among them, from 0; -1: not told
	Zone                 int
	Operations           []Operation
	Tenants              []Tenant
	ExcessValue          float64 // billed value of what a tenant sends beyond its share, as a part of the usual
	EndpointsPushed      bool    // list changes come unasked
	NotifiesStart        bool
	NotifiesAccepted     bool          // a sign says when a worker has taken a forward
	ProgressInterval     time.Duration // span between progress notes; 0: none are sent
	Limits               Limits
	Rules                Rules
	WorstOperationWeight float64 // what the worst served operation counts for beside the whole, as a part of the latter
	HealthCheckCost      float64 // points of the result for one probe an invocation
	GossipCost           float64 // the same for 256 bytes that another scheduler gets
}

// Operation is one kind of invocation.
type Operation struct {
	PriorityWeight   float64       `json:"BilledValue"`
	LateWeight       float64       `json:"LateValue"`
	LatencyObjective time.Duration `json:"LatencyObjective"`
	Stretch          float64       `json:"Stretch"` // the objective grows by this multiple of an invocation's own work
	Effect           Effect        `json:"Effect"`
	DedupScope       DedupScope    `json:"Scope"`
	DedupWindow      time.Duration `json:"DedupWindow"`
	WorkerKind       int           `json:"Kind"` // the one kind of worker that runs it, or -1
}

// Tenant is one customer's share of the service.
type Tenant struct {
	QuotaPerSecond, Share float64
}

// Allowances say what the deployment permits.
type Limits struct {
	HealthChecks, Cancel bool
	Gossip               bool          // schedulers may send messages to one another
	MaxAttempts          int           // of one invocation
	MaxInFlight          int           // of these, out at once
	MaxRetryAfter        time.Duration // that a throttling reply may ask for; 0: none
}

// Rules are the figures of the four rules.
type Rules struct {
	PollWithin        time.Duration
	DrainGrace        time.Duration // how long a worker may still be sent to that is told to drain or gone; 0: not told
	SlowStartFrom     float64
	SlowStartDuration time.Duration
	OverloadFactor    float64
	OverloadWindow    time.Duration
}

// Event is something that has happened; Handle takes those of one moment in the order of arrival.
type Event interface {
	// About names the invocation and the worker that it is about; zero: none.
	About() (InvocationID, WorkerID)
}

func (e Arrival) About() (InvocationID, WorkerID)            { return e.Invocation, WorkerID{} }
func (e ResponseStarted) About() (InvocationID, WorkerID)    { return e.Invocation, WorkerID{} }
func (e AttemptProgress) About() (InvocationID, WorkerID)    { return e.Invocation, e.Worker }
func (e Outcome) About() (InvocationID, WorkerID)            { return e.Invocation, e.Worker }
func (e ClientDisconnected) About() (InvocationID, WorkerID) { return e.Invocation, WorkerID{} }
func (e HealthCheckResult) About() (InvocationID, WorkerID)  { return 0, e.Worker }
func (e TimerFired) About() (InvocationID, WorkerID)         { return 0, WorkerID{} }
func (e EndpointUpdate) About() (InvocationID, WorkerID)     { return 0, WorkerID{} }
func (e Reconfigured) About() (InvocationID, WorkerID)       { return 0, WorkerID{} }

// Arrival is a new invocation, which from now on is owed one final answer.
type Arrival struct {
	Invocation InvocationID  `json:"Inv"`
	Operation  int           `json:"Operation"`
	Tenant     int           `json:"Tenant"`
	Budget     time.Duration `json:"Budget"` // until the client gives this try up
	Hint       float64       `json:"Hint"`   // hinted cost; 0: none
	Slots      float64       `json:"Slots"`
}

// Streaming says that the answer of a streamed invocation has begun at the client.
type ResponseStarted struct {
	Invocation InvocationID
	Attempt    int
}

// Sign is a note from a worker on a forward that is still out.
type AttemptProgress struct {
	Invocation InvocationID
	Worker     WorkerID
	Attempt    int
	Accepted   bool    // it has it, and may not have looked at it yet
	Started    bool    // else a progress note
	Done       float64 // part of the work done
}

// Result tells how a forward ended.
type Result uint8

const (
	Succeeded Result = iota
	Failed
	Rejected
	TimedOut
	Unreachable
	ConnectionBroken
	Cancelled
	NotSent
	BadRequest             // the worker would not have it, whatever its load; it may have run
	ReusedConnectionBroken // a kept connection broke, as they do; no word on the worker, and it may have run
)

// Outcome ends a forward. Closed: the client has its final answer.
type Outcome struct {
	Invocation InvocationID
	Worker     WorkerID
	Attempt    int
	Result     Result
	Answered   bool
	Load       *LoadReport // nil: none came with it
}

// Withdrawn says that the client has left.
type ClientDisconnected struct{ Invocation InvocationID }

// Answer is the end of a probe.
type HealthCheckResult struct {
	Worker  WorkerID
	Result  Result
	Latency time.Duration
	Load    *LoadReport
}

// Due is a wake-up that was asked for.
type TimerFired struct{}

// Form tells how a list is to be read.
type UpdateKind uint8

const (
	WatchFailed UpdateKind = iota
	DeltaUpdate
	FullUpdate
)

// Standing is what the list says of a worker.
type EndpointState uint8

const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Listing is news from the list of workers, or that a call to it failed.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Entry is one worker of a list. Restarted says that StartedAt is known; else it started long ago. Start names this
// start of this worker by a number that is the same at every scheduler.
type Endpoint struct {
	Worker           WorkerID
	Zone, Kind, Cell int
	State            EndpointState
	StartKnown       bool
	StartedAt        time.Duration
	Incarnation      uint64
}

// Retuned brings all that a deployment tells anew. An operation stays at its index for as long as invocations of it are
// under way. From names, for each, the earlier one whose learning it goes on with: itself where it has not changed, -1
// for none.
type Reconfigured struct {
	Config
	PreviousOperations []int
}

// Action is something that the caller is to do, in the order given.
type Action any

// Forward sends an invocation to a worker. Its forwards count from 0 in the order sent.
type Forward struct {
	Invocation InvocationID
	Worker     WorkerID
	NotAfter   time.Duration // a repeat that has not left by then must not leave at all; 0: it is none that a window bounds
}

// Throttled is a final answer: it has not run or may run again, so asking again is harmless.
type Throttle struct {
	Invocation InvocationID
	RetryAfter time.Duration // 0: no advice
}

// Errored is a final answer that promises nothing.
type Fail struct{ Invocation InvocationID }

// Cancel ends the wait for one forward.
type Cancel struct {
	Invocation InvocationID
	Attempt    int
}

// Probe asks a worker for its load.
type HealthCheck struct{ Worker WorkerID }

// Wake asks for a Due event at or after a time.
type SetTimer struct{ At time.Duration }

// Follow subscribes to the list of workers.
type WatchEndpoints struct{}

// Log is a line for the people on call.
type Log struct{ Text string }

// Avoided counts the listed workers that are set aside now.
func (d *Dispatcher) Ejected() (n int) {
	for i := range d.list {
		if p := &d.list[i]; p.State == Ready && p.worker != nil && p.worker.aside {
			n++
		}
	}
	return n
}

// The parts: each has an inbox, and they talk only by notes in inboxes, which one loop empties.

// house is what all parts share, with the few figures of the deployment that every worker's book needs.
type house struct {
	now, progress, warmAfter, window time.Duration
	rng                              *rand.Rand
	out                              []Action
	unread                           []*inbox // with notes in them, oldest first
	probes, tellsStart, tellsTaken   bool
	tells                            bool   // schedulers tell one another
	memo                             []memo // to be sent at the end of this moment
	me                               int
	serial                           uint8 // of our last forward
	coldFrom                         float64
	beats                            int
	copies                           []*card // that can be used again
}

func (h *house) do(a Action) { h.out = append(h.out, a) }

// tell has a note sent to one scheduler, or below 0 to all.
func (h *house) tell(to int, n GossipEntry) {
	if h.tells && to != h.me {
		h.memo = append(h.memo, memo{to, n})
	}
}

// post sends what is to be told, all for one scheduler together.
func (h *house) post() {
	for i, m := range h.memo {
		if m.Kind == gossipPacked {
			continue
		}
		t := SendGossip{To: m.to, Entries: []GossipEntry{m.GossipEntry}}
		for n := i + 1; n < len(h.memo); n++ {
			if o := &h.memo[n]; o.to == m.to && o.Kind != gossipPacked {
				t.Entries, o.Kind = append(t.Entries, o.GossipEntry), gossipPacked
			}
		}
		h.do(t)
	}
	h.memo = h.memo[:0]
}

func (h *house) settle() {
	for n := 0; n < len(h.unread); n++ {
		b, notes := h.unread[n], h.unread[n].notes
		b.notes = b.spare[:0]
		for _, note := range notes {
			b.read(note)
		}
		b.spare = notes
	}
	h.unread = h.unread[:0]
}

type inbox struct {
	*house
	read         func(note any)
	notes, spare []any
}

func (b *inbox) put(note any) {
	if b.notes = append(b.notes, note); len(b.notes) == 1 {
		b.unread = append(b.unread, b)
	}
}

type samples []float64

func (s *samples) add(v float64) {
	if len(*s) == sampleCount {
		*s = append((*s)[:0], (*s)[1:]...)
	}
	*s = append(*s, v)
}

func (s samples) sum() (sum float64) {
	for _, v := range s {
		sum += v
	}
	return sum
}

func (s samples) mean() float64 { return s.sum() / float64(max(1, len(s))) }

// at is a quantile, which one heavy invocation can't move as it moves a mean. 0 where nothing was measured.
func (s samples) at(part float64) float64 {
	var sorted [sampleCount + 1]float64
	slices.Sort(sorted[:copy(sorted[:], s)])
	return sorted[int(part*float64(len(s)))]
}

func (s samples) spread() float64 { return s.at(0.84) - s.at(0.5) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// The notes that parts put into each other's inboxes, beside the events themselves.
type (
	tick   struct{}                   // time has passed
	choose struct{}                   // all that has happened at this moment is in
	alarm  struct{ at time.Duration } // desk to door: when time alone may change a decision
	about  struct {                   // door to desk or worker, and on to the desk with the running time
		inv   int
		event Event
		ran   time.Duration
	}
	blamed struct{}                  // desk to worker: another one took what it would not have
	freed  struct{ id InvocationID } // desk to door: nothing more will be heard of it
	sent   struct{ errand }          // desk to worker
	theirs struct {                  // door to worker: another scheduler's note
		from int
		GossipEntry
	}
	stuck struct{ inv, fwd int }         // worker to desk: no answer is to be expected soon
	begun struct{ atOnce float64 }       // worker to desk: whether a forward has started within two beats
	pair  struct{ gap, changed float64 } // worker to desk: two answers in a row, with one report or two
	view  struct {                       // desk to worker, while it matters: what was learned of all workers
		lag     time.Duration // how old a report is when it comes
		run     float64       // the usual running time
		usual   float64       // slots that are free
		service float64       // running time by reports
		learn   bool          // how often reports are made is not known yet
	}
	ask struct { // desk or door to worker: it joins the pool, and it or its keeper is asked
		view
		hearsay bool
	}
	wanted struct { // desk to door: one more worker, -1: of any kind, zone or cell
		kind, zone, cell int
		until            time.Duration // as in Forward
		hearsay, round   bool          // round: as a round begins
		view
	}
	listed struct { // door to worker: its entry, and our place among those that may use it while it is cold
		Endpoint
		lot, keeper int
	}
)

// place is what the list says of one worker. A fleet is large and a scheduler meets few of it: an actor for
// each would cost memory and time for nothing.
type place struct {
	Endpoint
	worker  *worker // nil: never met
	keeper  int
	lot     int // how many schedulers come before us while it is cold
	inOrder bool
	version int // the last list that named it
}

// survey is what one look over the pool gives. usual: our slots at workers with a figure.
type survey struct {
	pooled, known, roomCount, room, mine, usual, fastest float64
}

// figure is how many slots a warm worker's report, and what is held there, have shown.
type figure float64

type errand struct {
	inv, fwd                int // of another scheduler: below -1 by its number, and the serial
	slots, work, cost       float64
	lost, taken             bool
	serial                  uint8
	sent, began, heard, end time.Duration // end: when its slots are free again; 0 while it is out
}

type tried struct {
	at, zone, cell  int // where the worker was then: a list that moves it does not move what drops repeats
	sent            time.Duration
	out, ran, stuck bool // ran: it may have run
	unfit           bool // the worker would not have it
}

// Dispatcher is one scheduler's decisions. As the door it makes ids small indices, and it follows the list.
type Dispatcher struct {
	house
	inbox
	desk                  desk
	list                  []place
	answered              time.Duration // when a keeper last did
	keeps                 []int         // workers whose keeper we are
	own                   int           // probes that have gone round
	order                 []int         // workers, shuffled: they are probed in turn
	workerAt              map[WorkerID]int
	tagAt                 map[uint32]int // of workers
	sentTo                map[[2]int]int // where other schedulers' forwards are, by their numbers and serials
	invAt                 map[InvocationID]int
	asks, follows         bool
	turn, failed, version int
	peers                 float64
	wakeAt, within, askAt time.Duration // askAt: when to ask for the list again if nothing has come by then
}

type card struct {
	at, zone, kind, cell     int
	open, trial, known, full bool
	silent, kept             bool // its keeper can't be heard; we are its keeper
	busy, asking             bool
	lot                      int           // schedulers before us while it is cold
	seen                     time.Duration // when it was last asked: the pool is those asked last
	back                     time.Duration // when it last came back on trial
	due                      time.Duration // before that nothing comes of looking at the time
	room, last, size         float64       // estimate, last figure, the most seen free
	service                  float64       // running time by its reports
	ours                     float64       // our slots there that are out
	mine, fresh, pace        float64       // how far the last figure holds; running time over hinted cost
	warmth, spent            float64       // of a cold worker: its part of capacity, our work of late
}

// worker is the actor that keeps one worker's book.
type worker struct {
	inbox
	card
	desk                         *desk
	id                           WorkerID
	standing                     EndpointState
	cold, aside, recheck         bool
	keeper                       int
	tag                          uint32
	told                         samples       // when others asked for what is free here
	askedAt                      time.Duration // its keeper
	startedAt, asideTill         time.Duration
	fullTill, lastSign, probedAt time.Duration
	figureAt, reportAt           time.Duration
	all                          view
	errands                      []errand
	figures                      samples    // free or ours at the last few reports, less what was usual; last at figureAt
	load                         LoadReport // the last report as it came
	paces                        samples
	unanswered                   time.Duration // the first question to its keeper since its last answer; 0: none
	asides, wanted               int           // how often it was set aside of late; successes still wanted on trial
	answers, missed              int           // probes in a row with and without an answer
	breaks                       int           // forwards in a row that broke
}

type operation struct {
	weight, stretch   float64
	objective, window time.Duration
	lateValue         float64
	came              float64 // invocations so far
	served            samples // what the last ones brought, of their billed value
	late              bool    // an answer after the objective still has a value
	effect            Effect
	scope             DedupScope
	kind              int
	ratios, sizes     samples       // running time over hinted cost, and running time, of finishes
	rough             samples       // the first less the worker's pace: how far hints are off
	most              time.Duration // the longest a client has been ready to wait
}

// group is where repeats of what was tried there are dropped; -1: in any zone or cell.
func (o *operation) group(t *tried) (zone, cell int) {
	switch o.scope {
	case ScopeZone:
		return t.zone, -1
	case ScopeCell:
		return -1, t.cell
	}
	return -1, -1
}

func (w wanted) suits(kind, zone, cell int) bool {
	return (w.kind < 0 || w.kind == kind) && (w.zone < 0 || w.zone == zone) && (w.cell < 0 || w.cell == cell)
}

// operations gives those that have changed or are new what was learned of the ones before.
func (n Reconfigured) operations(old []operation) (ops []operation) {
	for i, o := range n.Operations {
		op := operation{weight: cmp.Or(max(0, o.PriorityWeight), 1), stretch: o.Stretch, objective: o.LatencyObjective,
			window: o.DedupWindow, late: o.LateWeight > 0, lateValue: o.LateWeight, effect: o.Effect, scope: o.DedupScope, kind: o.WorkerKind}
		switch {
		case i >= len(n.PreviousOperations) || n.PreviousOperations[i] < 0:
		case n.PreviousOperations[i] == i:
			op = old[i]
		default:
			was := old[n.PreviousOperations[i]]
			op.ratios, op.sizes, op.rough = slices.Clone(was.ratios), slices.Clone(was.sizes), slices.Clone(was.rough)
		}
		ops = append(ops, op)
	}
	return ops
}

// landed says that an invocation was answered with a result, and no forward is spared its cancel.
const landed = -2

type tenant struct {
	Tenant
	came samples // when its last invocations came, in seconds
}

// tenants keep their index when told anew, and what was seen of them: a flood does not end with new settings.
func (n Reconfigured) tenants(old []tenant) (all []tenant) {
	for i, t := range n.Tenants {
		t.QuotaPerSecond = cmp.Or(t.QuotaPerSecond, math.Inf(1)) // not told: nothing is beyond it
		if all = append(all, tenant{Tenant: t}); i < len(old) {
			all[i].came = old[i].came
		}
	}
	return append(all, old[min(len(all), len(old)):]...)
}

type inv struct {
	id                   InvocationID
	op, tenant           int
	first, came, givenUp time.Duration // its first try came, this one came, its client timeout
	askAt                time.Duration // when one more worker may be asked for its sake
	slots                float64
	work, cost, size     float64 // hinted cost, that and one deviation, effective size
	weight, rank         float64
	spare                float64 // slots that must be left beside it
	done, over           bool    // answered; nothing more will be heard of it
	unfit                int     // workers that would not have it
	tries                []tried
}

type desk struct {
	inbox
	door                            *Dispatcher
	zone                            int
	after                           time.Duration // how long a throttled client is to stay away
	cancels, comes                  bool          // comes: an invocation has come since the last look round
	mostForwards, mostOut           int
	budget, peers                   float64 // of a cold worker's capacity, what all schedulers may send
	ops                             []operation
	invs                            []inv
	held                            []int   // by rank, highest first
	board                           []*seat // nil: never met
	round, everyone                 round   // the last beat, and the last one with something held
	toAsk                           []asked
	pool, busy, spare               []int           // asked last is last; with work of ours or aside; of invs
	paced                           map[int]float64 // their middle
	paces                           map[int]samples // of warm workers of a kind
	runs, gaps, changes             samples         // running times; spans between answers, new reports in them
	slots, starts                   samples         // the last figures of any warm worker; forwards that started at once
	all                             view
	asks                            int           // questions to keepers that an invocation is worth
	size, each, credit, queue       float64       // of the pool; probes an invocation pays for, and in hand
	creditAt, viewed, left, learned time.Duration // left: when the last forward or first question did
	jobs, clones                    float64
	why                             map[InvocationID]Reason // of those given up at this moment
	arrivals                        samples
	sums                            survey
	tenants                         []tenant
	excess, worstPart, asked        float64
	worst                           int                         // the operation that is served worst, -1: none badly
	free                            []int                       // pooled workers that may have room
	refused                         map[[3]int][2]time.Duration // a worker, operation, tenant
}

func (k *desk) slot() (i int) {
	if n := len(k.spare); n > 0 {
		i, k.spare = k.spare[n-1], k.spare[:n-1]
		return i
	}
	k.invs = append(k.invs, inv{})
	return len(k.invs) - 1
}

func (k *desk) unhold(i int) { k.held = slices.DeleteFunc(k.held, func(n int) bool { return n == i }) }

func (w *worker) find(inv, fwd int) *errand {
	for i := range w.errands {
		if e := &w.errands[i]; e.inv == inv && e.fwd == fwd && e.end == 0 {
			return e
		}
	}
	return nil
}

// Handle takes the events of one moment and gives back what is to be done, good until the next call.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now, d.out = now, d.out[:0]
	clear(d.desk.why)
	for _, event := range events {
		d.enter(event)
	}
	for _, note := range []any{tick{}, choose{}} {
		d.put(note)
		d.desk.put(note)
		d.settle()
	}
	d.post()
	return d.out
}

// enter finds whom an event is for. What is about an invocation that is not held any more is passed over.
func (d *Dispatcher) enter(event Event) {
	id, worker := event.About()
	at, known := d.workerAt[worker]
	inv, held := d.invAt[id]
	if begins(event) && !held {
		inv, held = d.desk.slot(), true
		d.invAt[id] = inv
	}
	switch n := (about{inv: inv, event: event}); {
	case id > 0 && !held:
	case known:
		d.meet(at).put(n)
	case held:
		d.desk.put(n)
	default:
		d.put(event)
	}
	d.settle()
}

func (d *Dispatcher) meet(at int) *worker {
	p := &d.list[at]
	if p.worker == nil {
		p.worker = &worker{inbox: inbox{house: &d.house}, desk: &d.desk, id: p.Worker, tag: tagOf(p.Worker),
			card: card{at: at}}
		p.worker.inbox.read = p.worker.read
		p.worker.put(listed{p.Endpoint, p.lot, p.keeper})
	}
	return p.worker
}

func (w *worker) release(before time.Duration) {
	for i := range w.errands {
		if e := &w.errands[i]; e.end == 0 && !e.lost && e.sent <= before {
			w.lose(e)
		}
	}
}

func (w *worker) lose(e *errand) {
	e.lost = true // told once: after a return new work is to show how the worker does
	w.desk.put(stuck{e.inv, e.fwd})
}

// held is what of ours the worker had at a time. What is lost there holds nothing: were it to run on, reports would
// say so.
func (w *worker) held(at time.Duration) (n float64) {
	for i := range w.errands {
		if e := &w.errands[i]; !e.lost && e.sent <= at && (e.end == 0 || at < e.end) && e.sent >= w.startedAt {
			n += e.slots
		}
	}
	return n
}

// out is how many slots our own forwards have.
func (w *worker) out() (n float64) {
	for i := range w.errands {
		if e := &w.errands[i]; e.end == 0 && !e.lost {
			n += e.slots
		}
	}
	return n
}

// live counts the forwards that are out. first is the first that may have run.
func (j *inv) live() (out int, first *tried) {
	for f := range j.tries {
		t := &j.tries[f]
		if t.out {
			out++
		}
		if first == nil && (t.out || t.ran) {
			first = t
		}
	}
	return out, first
}

// mix draws a number for one scheduler and one start, which all schedulers draw alike.
func mix(start uint64, scheduler int) uint64 {
	return pcg.NewPCG(start, uint64(scheduler)).Uint64()
}
