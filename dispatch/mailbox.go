package dispatch

import "time"

// The parts of the package (the registry, which is the Dispatcher itself, the scheduler and the
// workers) communicate only by messages. A message that is sent while another one is being handled
// has to wait: mailboxes are emptied in the order in which they became non-empty, and each one is
// emptied completely before the next. Recorded histories depend on this order.

// registryMessage is a message to the registry.
type registryMessage interface{ deliverToRegistry(d *Dispatcher) }

// schedulerMessage is a message to the scheduler.
type schedulerMessage interface{ deliverToScheduler(s *scheduler) }

// workerMessage is a message to one worker.
type workerMessage interface{ deliverToWorker(w *worker) }

// deliverer is a mailbox that holds messages.
type deliverer interface{ deliver() }

// mailbox holds the messages to one part of the package until they are delivered.
type mailbox[M any] struct {
	*sharedState
	handle   func(message M)
	messages []M
	spare    []M // memory of delivered messages, for reuse
}

// send adds a message to the mailbox.
func (m *mailbox[M]) send(message M) {
	m.messages = append(m.messages, message)
	if len(m.messages) == 1 {
		m.nonEmptyMailboxes = append(m.nonEmptyMailboxes, m)
	}
}

// deliver handles all messages that are in the mailbox now. Messages that are sent meanwhile are
// left for the next call.
func (m *mailbox[M]) deliver() {
	messages := m.messages
	m.messages = m.spare[:0]
	for _, message := range messages {
		m.handle(message)
	}
	m.spare = messages
}

// clockTick notifies the registry and the scheduler that time has passed. The scheduler's tick is in
// pool.go.
type clockTick struct{}

func (clockTick) deliverToRegistry(d *Dispatcher) { d.pollIfDue() }
func (clockTick) deliverToScheduler(s *scheduler) { s.tick() }

// scheduleNow starts the scheduling step, after all events of the moment have been delivered.
type scheduleNow struct{}

func (scheduleNow) deliverToScheduler(s *scheduler) { s.schedule() }

// eventMessage is an event about an invocation or a worker. An event reported by a worker is sent to
// that worker first, which passes outcomes on to the scheduler together with the attempt's running
// time.
type eventMessage struct {
	invocation int
	event      Event
	runTime    float64 // in seconds, of an attempt that succeeded
}

func (m eventMessage) deliverToWorker(w *worker) {
	switch event := m.event.(type) {
	case AttemptProgress:
		w.attemptProgressed(m.invocation, event)
	case Outcome:
		w.attemptEnded(m, event)
	case HealthCheckResult:
		w.healthCheckEnded(event)
	}
}

func (m eventMessage) deliverToScheduler(s *scheduler) {
	switch event := m.event.(type) {
	case Arrival:
		s.admit(m.invocation, event)
	case MigratedIn:
		s.migrateIn(m.invocation, event)
	case MigratedOut:
		s.migrateOut(m.invocation)
	case Outcome:
		s.attemptEnded(m, event)
	case ResponseStarted:
		s.complete(m.invocation, event.Attempt)
	case ClientDisconnected:
		s.complete(m.invocation, noAttempt)
	}
}

// registryEvent is an event about neither an open invocation nor a known worker.
type registryEvent struct{ event Event }

func (m registryEvent) deliverToRegistry(d *Dispatcher) {
	switch event := m.event.(type) {
	case EndpointUpdate:
		d.applyUpdate(event)
	case GossipReceived:
		d.receiveGossip(event)
	case Reconfigured:
		d.reconfigure(event)
	case QuotaUpdate:
		d.scheduler.applyQuotas(event)
	case SnapshotLoaded:
		d.loadSnapshot(event.Snapshot)
	}
}

// invocationReleased notifies the registry that no more events will arrive for an invocation.
type invocationReleased struct{ id InvocationID }

func (m invocationReleased) deliverToRegistry(d *Dispatcher) { delete(d.invocationIndex, m.id) }

// timerRequest asks the registry for a timer, at the time when a decision may change without any
// event.
type timerRequest struct{ at time.Duration }

func (m timerRequest) deliverToRegistry(d *Dispatcher) { d.setTimer(m.at) }

// poolRequest asks the registry to add a worker that meets the requirements to the pool.
type poolRequest struct {
	requirements
	workerStats
	viaGossip bool // ask the worker's owner for its load, not the worker
	nextEpoch bool // wait for the worker's turn in the next epoch instead of asking at once
}

func (m poolRequest) deliverToRegistry(d *Dispatcher) { d.extendPool(m) }

// joinPool makes a worker join the pool, and asks the worker or its owner for its load.
type joinPool struct {
	workerStats
	viaGossip bool
}

func (m joinPool) deliverToWorker(w *worker) { w.joinPool(m) }

// deferredCheck is a joinPool message that waits for the beginning of the next epoch. Workers for
// which something else is due in that epoch are served first.
type deferredCheck struct {
	worker int
	joinPool
}

func (m deferredCheck) deliverToScheduler(s *scheduler) { s.epochChecks = append(s.epochChecks, m) }

// epochStart begins an epoch. The scheduler sends it to the registry, which returns it behind the
// poolRequests of the same moment. The scheduler then passes it to the workers for which something
// may be due.
type epochStart struct{}

func (m epochStart) deliverToRegistry(d *Dispatcher) { d.scheduler.send(m) }
func (epochStart) deliverToScheduler(s *scheduler)   { s.beginEpoch() }
func (epochStart) deliverToWorker(w *worker)         { w.checkOverdue() }

// recordChanged notifies a worker of its new record in the registry.
type recordChanged struct {
	Endpoint
	lotteryRank int
	owner       int
}

func (m recordChanged) deliverToWorker(w *worker) { w.applyRecord(m) }

// attemptSent notifies a worker of an attempt that is sent to it.
type attemptSent struct{ workerAttempt }

func (m attemptSent) deliverToWorker(w *worker) { w.addAttempt(m.workerAttempt) }

// gossipMessage is an entry that another scheduler has sent about a worker.
type gossipMessage struct {
	from int
	GossipEntry
}

func (m gossipMessage) deliverToWorker(w *worker) { w.receiveGossip(m) }

// rejectedValidRequest notifies a worker that another worker ran a request that it called bad.
type rejectedValidRequest struct{}

func (rejectedValidRequest) deliverToWorker(w *worker) { w.eject(ejectRejectsValidRequests, false) }

// attemptStalled notifies the scheduler that an attempt is not expected to be answered in time.
type attemptStalled struct {
	invocation int
	number     int
}

func (m attemptStalled) deliverToScheduler(s *scheduler) { s.attemptStalled(m) }

// attemptMayBeReturned notifies the scheduler that a worker may have returned an attempt unstarted.
type attemptMayBeReturned struct {
	invocation int
	number     int
}

func (m attemptMayBeReturned) deliverToScheduler(s *scheduler) { s.attemptMayBeReturned(m) }

// startObserved tells the scheduler whether an attempt started at once: 1 if it did, 0 if not.
type startObserved struct{ immediate float64 }

func (m startObserved) deliverToScheduler(s *scheduler) { s.immediateStarts.add(m.immediate) }

// reportPair tells the scheduler about two consecutive load reports of a worker.
type reportPair struct {
	gap     float64 // seconds between them
	changed float64 // 1: the second report differed from the first; otherwise 0
}

func (m reportPair) deliverToScheduler(s *scheduler) {
	s.reportGaps.add(m.gap)
	s.reportChanges.add(m.changed)
}

// freeSlotsObserved is the number of free slots at a worker past its slow start, computed from its
// load report and the slots reserved there.
type freeSlotsObserved float64

func (m freeSlotsObserved) deliverToScheduler(s *scheduler) { s.freeSlots.add(float64(m)) }

// viewPublished sends the scheduler a worker's current view. The scheduler returns its memory to
// spareViews.
type viewPublished struct{ view *workerView }

func (m viewPublished) deliverToScheduler(s *scheduler) {
	s.updateView(m.view)
	s.spareViews = append(s.spareViews, m.view)
}
