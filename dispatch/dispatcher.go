package dispatch

import (
	"math/rand"
	"time"
)

// Dispatcher is one scheduler's decisions. It is the registry of workers too, and maps the caller's ids to indices.
type Dispatcher struct {
	sharedState
	mailbox[registryMessage]
	scheduler scheduler

	schedulers      float64 // in all, as configured
	invocationIndex map[InvocationID]int

	// The endpoint list.
	records       []workerRecord
	recordIndex   map[WorkerID]int
	update        int // counts the updates applied
	polls         bool
	watching      bool // the watch stands
	watchFailures int  // in a row
	pollWithin    time.Duration
	pollAt        time.Duration // when to ask for the list again if nothing has come by then
	timerAt       time.Duration // when the caller will wake us

	// Whose turn it is to be health checked.
	checkOrder      []int // workers, shuffled
	checkTurn       int
	checksRequested int

	// Gossip.
	owned           []int // workers whose load data this scheduler owns
	ownerAnsweredAt time.Duration
	tagIndex        map[uint32]int        // workers by tag
	remoteAttempts  map[remoteAttempt]int // the worker that another scheduler's attempt is at
}

// sharedState is what all parts share, with the few figures of the configuration that every worker needs.
type sharedState struct {
	now     time.Duration // of this moment
	rng     *rand.Rand
	actions []Action    // of this moment
	pending []deliverer // mailboxes with messages in them, oldest first
	self    int         // this scheduler's number
	epochs  int         // begun so far

	gossips     bool             // schedulers gossip
	gossipQueue []outgoingGossip // to be sent at the end of this moment
	serial      uint8            // of our last attempt, for gossip

	healthChecks      bool
	notifiesStart     bool
	notifiesAccepted  bool
	progressInterval  time.Duration
	overloadWindow    time.Duration
	slowStartFrom     float64
	slowStartDuration time.Duration

	spareViews []*workerView // memory of views that were delivered
}

func (s *sharedState) emit(action Action) { s.actions = append(s.actions, action) }

// deliverMessages empties all mailboxes.
func (s *sharedState) deliverMessages() {
	for n := 0; n < len(s.pending); n++ {
		s.pending[n].deliver()
	}
	s.pending = s.pending[:0]
}

// New starts an instance. The configuration is turned into the figures that decisions use and is not kept.
func New(config Config, seed int64) *Dispatcher {
	d := &Dispatcher{
		recordIndex:     map[WorkerID]int{},
		tagIndex:        map[uint32]int{},
		remoteAttempts:  map[remoteAttempt]int{},
		invocationIndex: map[InvocationID]int{},
	}
	d.rng = rand.New(rand.NewSource(seed))
	d.mailbox = mailbox[registryMessage]{
		sharedState: &d.sharedState,
		handle:      func(message registryMessage) { message.deliverToRegistry(d) },
	}
	d.scheduler = newScheduler(d)
	d.scheduler.handle = func(message schedulerMessage) { message.deliverToScheduler(&d.scheduler) }
	d.applyConfig(Reconfigured{Config: config})
	if d.self < 0 { // not configured: one of our own serves as well, others by chance
		d.self = d.rng.Intn(max(1, config.Schedulers))
	}
	d.sendGossip(allSchedulers, GossipEntry{Kind: GossipRestarted})
	d.pollAt = d.firstPoll(config.Rules.DrainGrace)
	return d
}

// Handle takes the events of one moment and gives back what is to be done, which is valid until the next call. now must
// not go back.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now = now
	d.actions = d.actions[:0]
	clear(d.scheduler.reasons)
	for _, event := range events {
		d.route(event)
	}
	d.send(clockTick{})
	d.scheduler.send(clockTick{})
	d.deliverMessages()
	d.scheduler.send(scheduleNow{})
	d.deliverMessages()
	d.flushGossip()
	return d.actions
}

// route finds whom an event is for. What is about an invocation that has been released is dropped.
func (d *Dispatcher) route(event Event) {
	id, worker := event.About()
	invocation, open := d.invocationIndex[id]
	if opensInvocation(event) && !open {
		invocation = d.scheduler.newInvocation()
		open = true
		d.invocationIndex[id] = invocation
	}
	message := eventMessage{invocation: invocation, event: event}
	index, known := d.recordIndex[worker]
	switch {
	case id > 0 && !open:
	case known:
		d.workerAt(index).send(message)
	case open:
		d.scheduler.send(message)
	default:
		d.send(registryEvent{event})
	}
	d.deliverMessages()
}

// opensInvocation reports whether an event brings an invocation.
func opensInvocation(event Event) bool {
	switch event.(type) {
	case Arrival, MigratedIn:
		return true
	}
	return false
}

// setTimer has the caller wake us at a time, or when the endpoint list has to be asked for, unless it will sooner.
func (d *Dispatcher) setTimer(at time.Duration) {
	if d.polls && !d.watching {
		at = min(at, d.pollAt)
	}
	if at < d.timerAt || d.timerAt <= d.now {
		d.timerAt = max(at, d.now+1)
		d.emit(SetTimer{At: d.timerAt})
	}
}

// Ejected counts the listed workers that are ejected now.
func (d *Dispatcher) Ejected() (count int) {
	for i := range d.records {
		record := &d.records[i]
		if record.State == Ready && record.worker != nil && record.worker.ejected {
			count++
		}
	}
	return count
}
