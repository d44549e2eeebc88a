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
	for i := range d.records {
		if p := &d.records[i]; p.State == Ready && p.worker != nil && p.worker.ejected {
			n++
		}
	}
	return n
}

// The parts: each has an inbox, and they talk only by notes in inboxes, which one loop empties.

// house is what all parts share, with the few figures of the deployment that every worker's book needs.
type sharedState struct {
	now, progressInterval, slowStartDuration, overloadWindow time.Duration
	rng                                                      *rand.Rand
	actions                                                  []Action
	pending                                                  []*mailbox // with notes in them, oldest first
	healthChecks, notifiesStart, notifiesAccepted            bool
	gossips                                                  bool             // schedulers tell one another
	gossipQueue                                              []outgoingGossip // to be sent at the end of this moment
	self                                                     int
	serial                                                   uint8 // of our last forward
	slowStartFrom                                            float64
	epochs                                                   int
	spareViews                                               []*workerView // that can be used again
}

func (s *sharedState) emit(a Action) { s.actions = append(s.actions, a) }

// tell has a note sent to one scheduler, or below 0 to all.
func (s *sharedState) sendGossip(to int, n GossipEntry) {
	if s.gossips && to != s.self {
		s.gossipQueue = append(s.gossipQueue, outgoingGossip{to, n})
	}
}

// post sends what is to be told, all for one scheduler together.
func (s *sharedState) flushGossip() {
	for i, m := range s.gossipQueue {
		if m.Kind == gossipPacked {
			continue
		}
		t := SendGossip{To: m.to, Entries: []GossipEntry{m.GossipEntry}}
		for n := i + 1; n < len(s.gossipQueue); n++ {
			if o := &s.gossipQueue[n]; o.to == m.to && o.Kind != gossipPacked {
				t.Entries, o.Kind = append(t.Entries, o.GossipEntry), gossipPacked
			}
		}
		s.emit(t)
	}
	s.gossipQueue = s.gossipQueue[:0]
}

func (s *sharedState) deliverMessages() {
	for n := 0; n < len(s.pending); n++ {
		b, notes := s.pending[n], s.pending[n].messages
		b.messages = b.spare[:0]
		for _, note := range notes {
			b.handle(note)
		}
		b.spare = notes
	}
	s.pending = s.pending[:0]
}

type mailbox struct {
	*sharedState
	handle          func(note any)
	messages, spare []any
}

func (m *mailbox) send(note any) {
	if m.messages = append(m.messages, note); len(m.messages) == 1 {
		m.pending = append(m.pending, m)
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
func (s samples) quantile(part float64) float64 {
	var sorted [sampleCount + 1]float64
	slices.Sort(sorted[:copy(sorted[:], s)])
	return sorted[int(part*float64(len(s)))]
}

func (s samples) spread() float64 { return s.quantile(0.84) - s.quantile(0.5) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// The notes that parts put into each other's inboxes, beside the events themselves.
type (
	clockTick    struct{}                   // time has passed
	scheduleNow  struct{}                   // all that has happened at this moment is in
	timerRequest struct{ at time.Duration } // desk to door: when time alone may change a decision
	eventMessage struct {                   // door to desk or worker, and on to the desk with the running time
		invocation int
		event      Event
		runTime    time.Duration
	}
	rejectedElsewhereAccepted struct{}                  // desk to worker: another one took what it would not have
	invocationReleased        struct{ id InvocationID } // desk to door: nothing more will be heard of it
	attemptSent               struct{ workerAttempt }   // desk to worker
	gossipMessage             struct {                  // door to worker: another scheduler's note
		from int
		GossipEntry
	}
	attemptStalled struct{ invocation, number int } // worker to desk: no answer is to be expected soon
	startObserved  struct{ immediate float64 }      // worker to desk: whether a forward has started within two beats
	reportPair     struct{ gap, changed float64 }   // worker to desk: two answers in a row, with one report or two
	fleetStats     struct {                         // desk to worker, while it matters: what was learned of all workers
		lag         time.Duration // how old a report is when it comes
		runTime     float64       // the usual running time
		usualFree   float64       // slots that are free
		serviceTime float64       // running time by reports
		unmeasured  bool          // how often reports are made is not known yet
	}
	joinPool struct { // desk or door to worker: it joins the pool, and it or its keeper is asked
		fleetStats
		viaGossip bool
	}
	poolRequest struct { // desk to door: one more worker, -1: of any kind, zone or cell
		kind, zone, cell     int
		notAfter             time.Duration // as in Forward
		viaGossip, nextEpoch bool          // round: as a round begins
		fleetStats
	}
	recordChanged struct { // door to worker: its entry, and our place among those that may use it while it is cold
		Endpoint
		lotteryRank, owner int
	}
)

// place is what the list says of one worker. A fleet is large and a scheduler meets few of it: an actor for
// each would cost memory and time for nothing.
type workerRecord struct {
	Endpoint
	worker       *worker // nil: never met
	owner        int
	lotteryRank  int // how many schedulers come before us while it is cold
	inCheckOrder bool
	update       int // the last list that named it
}

// survey is what one look over the pool gives. usual: our slots at workers with a figure.
type poolSummary struct {
	pooled, measured, withFree, free, reserved, reservedMeasured, fastestPace float64
}

// figure is how many slots a warm worker's report, and what is held there, have shown.
type freeSlotsObserved float64

type workerAttempt struct {
	invocation, number                     int // of another scheduler: below -1 by its number, and the serial
	slots, work, cost                      float64
	lost, accepted                         bool
	serial                                 uint8
	sentAt, startedAt, progressAt, endedAt time.Duration // end: when its slots are free again; 0 while it is out
}

type requestAttempt struct {
	worker, zone, cell            int // where the worker was then: a list that moves it does not move what drops repeats
	sentAt                        time.Duration
	inFlight, mayHaveRun, stalled bool // ran: it may have run
	badRequest                    bool // the worker would not have it
}

// Dispatcher is one scheduler's decisions. As the door it makes ids small indices, and it follows the list.
type Dispatcher struct {
	sharedState
	mailbox
	scheduler                        scheduler
	records                          []workerRecord
	ownerAnsweredAt                  time.Duration // when a keeper last did
	owned                            []int         // workers whose keeper we are
	checksRequested                  int           // probes that have gone round
	checkOrder                       []int         // workers, shuffled: they are probed in turn
	recordIndex                      map[WorkerID]int
	tagIndex                         map[uint32]int // of workers
	remoteAttempts                   map[[2]int]int // where other schedulers' forwards are, by their numbers and serials
	invocationIndex                  map[InvocationID]int
	polls, watching                  bool
	checkTurn, watchFailures, update int
	schedulers                       float64
	timerAt, pollWithin, pollAt      time.Duration // askAt: when to ask for the list again if nothing has come by then
}

type workerView struct {
	index, zone, kind, cell                    int
	eligible, onProbation, measured, rejecting bool
	ownerSilent, ownedHere                     bool // its keeper can't be heard; we are its keeper
	active, checkPending                       bool
	lotteryRank                                int           // schedulers before us while it is cold
	pooledAt                                   time.Duration // when it was last asked: the pool is those asked last
	reinstatedAt                               time.Duration // when it last came back on trial
	dueAt                                      time.Duration // before that nothing comes of looking at the time
	free, lastFree, maxFree                    float64       // estimate, last figure, the most seen free
	serviceTime                                float64       // running time by its reports
	inFlight                                   float64       // our slots there that are out
	reserved, confidence, pace                 float64       // how far the last figure holds; running time over hinted cost
	warmUpWeight, budgetUsed                   float64       // of a cold worker: its part of capacity, our work of late
}

// worker is the actor that keeps one worker's book.
type worker struct {
	mailbox
	workerView
	scheduler                              *scheduler
	id                                     WorkerID
	state                                  EndpointState
	startKnown, ejected, recheck           bool
	owner                                  int
	tag                                    uint32
	recentQueries                          samples       // when others asked for what is free here
	queriedAt                              time.Duration // its keeper
	startedAt, ejectedUntil                time.Duration
	rejectedUntil, lastProgress, checkedAt time.Duration
	freeSampledAt, reportedAt              time.Duration
	fleet                                  fleetStats
	attempts                               []workerAttempt
	freeSamples                            samples    // free or ours at the last few reports, less what was usual; last at figureAt
	lastReport                             LoadReport // the last report as it came
	paces                                  samples
	unansweredSince                        time.Duration // the first question to its keeper since its last answer; 0: none
	ejections, probationLeft               int           // how often it was set aside of late; successes still wanted on trial
	checksAnswered, checksMissed           int           // probes in a row with and without an answer
	consecutiveBreaks                      int           // forwards in a row that broke
}

type operation struct {
	weight, stretch        float64
	objective, dedupWindow time.Duration
	lateWeight             float64
	arrived                float64 // invocations so far
	served                 samples // what the last ones brought, of their billed value
	countsLate             bool    // an answer after the objective still has a value
	effect                 Effect
	scope                  DedupScope
	kind                   int
	costRatios, runTimes   samples       // running time over hinted cost, and running time, of finishes
	hintErrors             samples       // the first less the worker's pace: how far hints are off
	longestBudget          time.Duration // the longest a client has been ready to wait
}

// group is where repeats of what was tried there are dropped; -1: in any zone or cell.
func (o *operation) group(t *requestAttempt) (zone, cell int) {
	switch o.scope {
	case ScopeZone:
		return t.zone, -1
	case ScopeCell:
		return -1, t.cell
	}
	return -1, -1
}

func (w poolRequest) matches(kind, zone, cell int) bool {
	return (w.kind < 0 || w.kind == kind) && (w.zone < 0 || w.zone == zone) && (w.cell < 0 || w.cell == cell)
}

// operations gives those that have changed or are new what was learned of the ones before.
func (n Reconfigured) operations(old []operation) (ops []operation) {
	for i, o := range n.Operations {
		op := operation{weight: cmp.Or(max(0, o.PriorityWeight), 1), stretch: o.Stretch, objective: o.LatencyObjective,
			dedupWindow: o.DedupWindow, countsLate: o.LateWeight > 0, lateWeight: o.LateWeight, effect: o.Effect, scope: o.DedupScope, kind: o.WorkerKind}
		switch {
		case i >= len(n.PreviousOperations) || n.PreviousOperations[i] < 0:
		case n.PreviousOperations[i] == i:
			op = old[i]
		default:
			was := old[n.PreviousOperations[i]]
			op.costRatios, op.runTimes, op.hintErrors = slices.Clone(was.costRatios), slices.Clone(was.runTimes), slices.Clone(was.hintErrors)
		}
		ops = append(ops, op)
	}
	return ops
}

// landed says that an invocation was answered with a result, and no forward is spared its cancel.
const keepAttempts = -2

type tenant struct {
	Tenant
	arrivals samples // when its last invocations came, in seconds
}

// tenants keep their index when told anew, and what was seen of them: a flood does not end with new settings.
func (n Reconfigured) tenants(old []tenant) (all []tenant) {
	for i, t := range n.Tenants {
		t.QuotaPerSecond = cmp.Or(t.QuotaPerSecond, math.Inf(1)) // not told: nothing is beyond it
		if all = append(all, tenant{Tenant: t}); i < len(old) {
			all[i].arrivals = old[i].arrivals
		}
	}
	return append(all, old[min(len(all), len(old)):]...)
}

type invocation struct {
	id                                InvocationID
	operation, tenant                 int
	firstTriedAt, arrivedAt, deadline time.Duration // its first try came, this one came, its client timeout
	growAt                            time.Duration // when one more worker may be asked for its sake
	slots                             float64
	work, budgetCost, effectiveSize   float64 // hinted cost, that and one deviation, effective size
	weight, rank                      float64
	reserve                           float64 // slots that must be left beside it
	answered, finished                bool    // answered; nothing more will be heard of it
	badRequests                       int     // workers that would not have it
	attempts                          []requestAttempt
}

type scheduler struct {
	mailbox
	dispatcher                                                  *Dispatcher
	zone                                                        int
	retryAfter                                                  time.Duration // how long a throttled client is to stay away
	cancels, arrivedSinceTick                                   bool          // comes: an invocation has come since the last look round
	maxAttempts, maxInFlight                                    int
	overloadBudget, schedulers                                  float64 // of a cold worker's capacity, what all schedulers may send
	operations                                                  []operation
	invocations                                                 []invocation
	queue                                                       []int        // by rank, highest first
	views                                                       []*viewEntry // nil: never met
	epoch, poolEpoch                                            refreshEpoch // the last beat, and the last one with something held
	orderedChecks                                               []orderedCheck
	pool, tracked, freeInvocations                              []int           // asked last is last; with work of ours or aside; of invs
	kindPace                                                    map[int]float64 // their middle
	kindPaces                                                   map[int]samples // of warm workers of a kind
	runTimes, reportGaps, reportChanges                         samples         // running times; spans between answers, new reports in them
	freeSlots, immediateStarts                                  samples         // the last figures of any warm worker; forwards that started at once
	fleet                                                       fleetStats
	queriesPerInvocation                                        int           // questions to keepers that an invocation is worth
	poolSize, checksPerInvocation, checkCredit, staleQueueShare float64       // of the pool; probes an invocation pays for, and in hand
	creditedAt, refreshedAt, forwardedAt, learnedAt             time.Duration // left: when the last forward or first question did
	admitted, hedges                                            float64
	reasons                                                     map[InvocationID]Reason // of those given up at this moment
	arrivals                                                    samples
	summary                                                     poolSummary
	tenants                                                     []tenant
	excessWeight, worstOperationWeight, offeredWeight           float64
	worstOperation                                              int                         // the operation that is served worst, -1: none badly
	candidates                                                  []int                       // pooled workers that may have room
	rejections                                                  map[[3]int][2]time.Duration // a worker, operation, tenant
}

func (s *scheduler) newInvocation() (i int) {
	if n := len(s.freeInvocations); n > 0 {
		i, s.freeInvocations = s.freeInvocations[n-1], s.freeInvocations[:n-1]
		return i
	}
	s.invocations = append(s.invocations, invocation{})
	return len(s.invocations) - 1
}

func (s *scheduler) dequeue(i int) {
	s.queue = slices.DeleteFunc(s.queue, func(n int) bool { return n == i })
}

func (w *worker) inFlightAttempt(inv, fwd int) *workerAttempt {
	for i := range w.attempts {
		if e := &w.attempts[i]; e.invocation == inv && e.number == fwd && e.endedAt == 0 {
			return e
		}
	}
	return nil
}

// Handle takes the events of one moment and gives back what is to be done, good until the next call.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now, d.actions = now, d.actions[:0]
	clear(d.scheduler.reasons)
	for _, event := range events {
		d.route(event)
	}
	for _, note := range []any{clockTick{}, scheduleNow{}} {
		d.send(note)
		d.scheduler.send(note)
		d.deliverMessages()
	}
	d.flushGossip()
	return d.actions
}

// enter finds whom an event is for. What is about an invocation that is not held any more is passed over.
func (d *Dispatcher) route(event Event) {
	id, worker := event.About()
	at, known := d.recordIndex[worker]
	inv, held := d.invocationIndex[id]
	if opensInvocation(event) && !held {
		inv, held = d.scheduler.newInvocation(), true
		d.invocationIndex[id] = inv
	}
	switch n := (eventMessage{invocation: inv, event: event}); {
	case id > 0 && !held:
	case known:
		d.workerAt(at).send(n)
	case held:
		d.scheduler.send(n)
	default:
		d.send(event)
	}
	d.deliverMessages()
}

func (d *Dispatcher) workerAt(at int) *worker {
	p := &d.records[at]
	if p.worker == nil {
		p.worker = &worker{mailbox: mailbox{sharedState: &d.sharedState}, scheduler: &d.scheduler, id: p.Worker, tag: workerTag(p.Worker),
			workerView: workerView{index: at}}
		p.worker.mailbox.handle = p.worker.handleMessage
		p.worker.send(recordChanged{p.Endpoint, p.lotteryRank, p.owner})
	}
	return p.worker
}

func (w *worker) loseAttempts(before time.Duration) {
	for i := range w.attempts {
		if e := &w.attempts[i]; e.endedAt == 0 && !e.lost && e.sentAt <= before {
			w.loseAttempt(e)
		}
	}
}

func (w *worker) loseAttempt(e *workerAttempt) {
	e.lost = true // told once: after a return new work is to show how the worker does
	w.scheduler.send(attemptStalled{e.invocation, e.number})
}

// held is what of ours the worker had at a time. What is lost there holds nothing: were it to run on, reports would
// say so.
func (w *worker) reservedAt(at time.Duration) (n float64) {
	for i := range w.attempts {
		if e := &w.attempts[i]; !e.lost && e.sentAt <= at && (e.endedAt == 0 || at < e.endedAt) && e.sentAt >= w.startedAt {
			n += e.slots
		}
	}
	return n
}

// out is how many slots our own forwards have.
func (w *worker) slotsInFlight() (n float64) {
	for i := range w.attempts {
		if e := &w.attempts[i]; e.endedAt == 0 && !e.lost {
			n += e.slots
		}
	}
	return n
}

// live counts the forwards that are out. first is the first that may have run.
func (v *invocation) inFlight() (out int, first *requestAttempt) {
	for f := range v.attempts {
		t := &v.attempts[f]
		if t.inFlight {
			out++
		}
		if first == nil && (t.inFlight || t.mayHaveRun) {
			first = t
		}
	}
	return out, first
}

// mix draws a number for one scheduler and one start, which all schedulers draw alike.
func rendezvousHash(start uint64, scheduler int) uint64 {
	return pcg.NewPCG(start, uint64(scheduler)).Uint64()
}
