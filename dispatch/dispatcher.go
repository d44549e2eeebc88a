package dispatch

import (
	"math/rand"
	"time"
)

// Dispatcher makes the decisions of one scheduler. It is also the registry of workers, and maps the
// caller's ids to the indices used inside the package.
type Dispatcher struct {
	sharedState
	mailbox[registryMessage]
	scheduler scheduler

	schedulers      float64 // total number, as configured
	invocationIndex map[InvocationID]int

	// Endpoint list.
	records        []workerRecord
	recordIndex    map[WorkerID]int
	updateCount    int // number of endpoint updates applied
	pollsEndpoints bool
	watching       bool // a watch of the endpoint list is established
	watchFailures  int  // consecutive
	pollWithin     time.Duration
	pollAt         time.Duration // when to ask for the list again if no update has come by then
	timerAt        time.Duration // when the caller will send TimerFired

	// Order of health checks.
	checkOrder      []int // indices of workers, in random order
	nextCheck       int   // position of the next worker in checkOrder
	checksRequested int

	// Gossip.
	owned          []int // workers whose load data this scheduler owns
	ownerRepliedAt time.Duration
	tagIndex       map[uint32]int        // worker index by tag
	remoteAttempts map[remoteAttempt]int // index of the worker that runs another scheduler's attempt
}

// sharedState is the state that all parts use, including the configuration values that every worker
// needs.
type sharedState struct {
	now               time.Duration // of the current moment
	rng               *rand.Rand
	actions           []Action    // of the current moment
	nonEmptyMailboxes []deliverer // mailboxes that hold messages, in the order in which they became non-empty
	schedulerIndex    int         // this scheduler's number
	epochCount        int         // number of epochs begun

	gossipEnabled bool             // gossip with other schedulers is enabled
	gossipQueue   []outgoingGossip // sent at the end of the current moment
	lastSerial    uint8            // identifies this scheduler's last attempt in gossip

	healthChecks         bool
	notifiesStart        bool
	notifiesAccepted     bool
	progressInterval     time.Duration
	overloadWindow       time.Duration
	initialCapacityShare float64
	slowStartDuration    time.Duration

	spareViews []*workerView // memory of delivered views, for reuse
}

func (s *sharedState) emit(action Action) { s.actions = append(s.actions, action) }

// deliverMessages delivers messages until all mailboxes are empty.
func (s *sharedState) deliverMessages() {
	for n := 0; n < len(s.nonEmptyMailboxes); n++ {
		s.nonEmptyMailboxes[n].deliver()
	}
	s.nonEmptyMailboxes = s.nonEmptyMailboxes[:0]
}

// New starts an instance. It derives the values that decisions use from the configuration and does
// not keep the configuration itself.
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
	if d.schedulerIndex < 0 { // not configured: a random number is used, which other schedulers may have too
		d.schedulerIndex = d.rng.Intn(max(1, config.Schedulers))
	}
	d.sendGossip(allSchedulers, GossipEntry{Kind: GossipRestarted})
	d.pollAt = d.firstPollTime(config.Rules.DrainGrace)
	return d
}

// Handle processes the events of one moment and returns the actions to carry out. The returned slice
// is valid until the next call. now must not decrease from call to call.
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

// route delivers an event to the worker, the scheduler or the registry. An event about an invocation
// that has been released is dropped.
func (d *Dispatcher) route(event Event) {
	id, worker := event.About()
	invocation, open := d.invocationIndex[id]
	if opensInvocation(event) && !open {
		invocation = d.scheduler.allocateInvocation()
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

// opensInvocation reports whether an event starts an invocation here.
func opensInvocation(event Event) bool {
	switch event.(type) {
	case Arrival, MigratedIn:
		return true
	}
	return false
}

// setTimer asks the caller for a TimerFired event at a time, or when the endpoint list has to be
// polled if that comes first. A timer that is already set for an earlier time is kept.
func (d *Dispatcher) setTimer(at time.Duration) {
	if d.pollsEndpoints && !d.watching {
		at = min(at, d.pollAt)
	}
	if at < d.timerAt || d.timerAt <= d.now {
		d.timerAt = max(at, d.now+1)
		d.emit(SetTimer{At: d.timerAt})
	}
}

// Ejected returns the number of listed workers that are currently ejected.
func (d *Dispatcher) Ejected() (count int) {
	for i := range d.records {
		record := &d.records[i]
		if record.State == Ready && record.worker != nil && record.worker.ejected {
			count++
		}
	}
	return count
}
