package dispatch

import "time"

// The parts of the package (the registry, which Dispatcher is, the scheduler and the workers) talk by messages alone.
// A message that is sent while another one is handled waits: mailboxes are emptied in the order in which each got the
// first of its waiting messages, and each mailbox whole. Recorded histories depend on that order.

// registryMessage is a message to the registry.
type registryMessage interface{ deliverToRegistry(d *Dispatcher) }

// schedulerMessage is a message to the scheduler.
type schedulerMessage interface{ deliverToScheduler(s *scheduler) }

// workerMessage is a message to one worker.
type workerMessage interface{ deliverToWorker(w *worker) }

// deliverer is a mailbox with messages in it.
type deliverer interface{ deliver() }

// mailbox keeps the messages to one part until they are delivered.
type mailbox[M any] struct {
	*sharedState
	handle   func(message M)
	messages []M
	spare    []M // the memory of messages that were delivered, for the next ones
}

// send leaves a message.
func (m *mailbox[M]) send(message M) {
	m.messages = append(m.messages, message)
	if len(m.messages) == 1 {
		m.pending = append(m.pending, m)
	}
}

// deliver has all messages handled that wait now. What is sent meanwhile waits for its turn.
func (m *mailbox[M]) deliver() {
	messages := m.messages
	m.messages = m.spare[:0]
	for _, message := range messages {
		m.handle(message)
	}
	m.spare = messages
}

// clockTick says that time has passed. The scheduler's tick is in pool.go.
type clockTick struct{}

func (clockTick) deliverToRegistry(d *Dispatcher) { d.pollIfDue() }
func (clockTick) deliverToScheduler(s *scheduler) { s.tick() }

// scheduleNow says that all that has happened at this moment has been delivered.
type scheduleNow struct{}

func (scheduleNow) deliverToScheduler(s *scheduler) { s.schedule() }

// eventMessage is an event about an invocation. What a worker has reported goes to the worker first, and from there to the
// scheduler, with how long the invocation ran.
type eventMessage struct {
	invocation int
	event      Event
	runTime    float64 // seconds; of one that succeeded
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

// registryEvent is an event that is about no invocation and no worker that is known.
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

// invocationReleased says that nothing more will be reported of an invocation.
type invocationReleased struct{ id InvocationID }

func (m invocationReleased) deliverToRegistry(d *Dispatcher) { delete(d.invocationIndex, m.id) }

// timerRequest says when time alone may change a decision.
type timerRequest struct{ at time.Duration }

func (m timerRequest) deliverToRegistry(d *Dispatcher) { d.setTimer(m.at) }

// poolRequest asks for one more worker in the pool that meets requirements.
type poolRequest struct {
	requirements
	workerStats
	viaGossip bool // its owner is to be asked, not the worker
	nextEpoch bool // at its turn as an epoch begins, not at once
}

func (m poolRequest) deliverToRegistry(d *Dispatcher) { d.extendPool(m) }

// joinPool has a worker join the pool and be asked for its load, itself or by its owner.
type joinPool struct {
	workerStats
	viaGossip bool
}

func (m joinPool) deliverToWorker(w *worker) { w.joinPool(m) }

// orderedCheck is a joinPool that waits for its turn as an epoch begins. Workers for which something is due besides go
// first.
type orderedCheck struct {
	worker int
	joinPool
}

func (m orderedCheck) deliverToScheduler(s *scheduler) { s.orderedChecks = append(s.orderedChecks, m) }

// refresh begins an epoch. It goes from the scheduler by way of the registry, behind the poolRequests of the same
// moment, back to the scheduler, and to the workers for which something may be due.
type refresh struct{}

func (m refresh) deliverToRegistry(d *Dispatcher) { d.scheduler.send(m) }
func (refresh) deliverToScheduler(s *scheduler)   { s.beginEpoch() }
func (refresh) deliverToWorker(w *worker)         { w.checkOverdue() }

// recordChanged notifies a worker of what the registry has on it.
type recordChanged struct {
	Endpoint
	lotteryRank int
	owner       int
}

func (m recordChanged) deliverToWorker(w *worker) { w.applyRecord(m) }

// attemptSent notifies a worker of an attempt that it gets.
type attemptSent struct{ workerAttempt }

func (m attemptSent) deliverToWorker(w *worker) { w.addAttempt(m.workerAttempt) }

// gossipMessage is what another scheduler reports of a worker.
type gossipMessage struct {
	from int
	GossipEntry
}

func (m gossipMessage) deliverToWorker(w *worker) { w.receiveGossip(m) }

// rejectedValidRequest notifies a worker that another one ran what it would not have.
type rejectedValidRequest struct{}

func (rejectedValidRequest) deliverToWorker(w *worker) { w.eject(ejectRejectsValidRequests, false) }

// attemptStalled notifies the scheduler that no answer is to be expected of an attempt in time.
type attemptStalled struct {
	invocation int
	number     int
}

func (m attemptStalled) deliverToScheduler(s *scheduler) { s.attemptStalled(m) }

// startObserved reports to the scheduler whether an attempt has started at once: 1, or 0.
type startObserved struct{ immediate float64 }

func (m startObserved) deliverToScheduler(s *scheduler) { s.immediateStarts.add(m.immediate) }

// reportPair reports to the scheduler two answers of a worker in a row.
type reportPair struct {
	gap     float64 // seconds between them
	changed float64 // 1: the second one had a new report; else 0
}

func (m reportPair) deliverToScheduler(s *scheduler) {
	s.reportGaps.add(m.gap)
	s.reportChanges.add(m.changed)
}

// freeSlotsObserved is how many slots a load report of a worker past its slow start, and what is reserved there, have
// shown.
type freeSlotsObserved float64

func (m freeSlotsObserved) deliverToScheduler(s *scheduler) { s.freeSlots.add(float64(m)) }

// viewPublished brings a worker's view as it is now. The memory is used again.
type viewPublished struct{ view *workerView }

func (m viewPublished) deliverToScheduler(s *scheduler) {
	s.updateView(m.view)
	s.spareViews = append(s.spareViews, m.view)
}
