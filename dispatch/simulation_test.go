package dispatch

import (
	"math/rand"
	"net/netip"
	"time"
)

// simulation runs one dispatcher against randomly generated workers, clients and other schedulers,
// and sends it every kind of event. It uses only the dispatcher's exported methods, so that any
// implementation of them can be run.
type simulation struct {
	virtualTime
	rng            *rand.Rand
	config         Config
	seed           int64
	dispatcher     *Dispatcher
	workers        []*simulatedWorker
	workersByID    map[WorkerID]*simulatedWorker
	clients        map[InvocationID]*simulatedClient
	lastInvocation InvocationID
	timerAt        time.Duration
	onAction       func(now time.Duration, a Action)
	aroundHandle   func(do func()) // wraps each call of Handle: do makes the call
	arrivalRate    float64         // arrivals a second
	meanHint       float64         // seconds
	faults         float64         // multiplies the probability of each fault; 0: nothing goes wrong or changes
	otherLoad      float64         // average part of the workers' slots that other schedulers take
	workersAdded   int             // workers so far, from which addresses, zones, kinds and cells follow
}

const (
	// simulatedZones is the number of zones of a simulation.
	simulatedZones = 3
	// simulatedPort is the port of all its workers.
	simulatedPort = 9
)

// simulatedWorker is the true state of a worker, which the dispatcher may not know.
type simulatedWorker struct {
	Endpoint
	slots          float64
	otherSlots     float64 // taken by other schedulers
	pace           float64 // running time over hinted cost
	inFlight       int
	hangs          bool // answers neither health checks nor new attempts
	reportsFrozen  bool // repeats its last report
	reportsNothing bool // sends no load reports
	lastReport     LoadReport
}

// simulatedClient is a client and its only invocation.
type simulatedClient struct {
	arrival  Arrival
	attempts []*simulatedAttempt
	answered bool // also set when the client has left
}

// simulatedAttempt is the true state of an attempt at its worker, whether reported or not.
type simulatedAttempt struct {
	worker       *simulatedWorker
	inFlight     bool
	work         float64 // seconds
	occupiesSlot bool
}

// handleAfter passes an event to the dispatcher after a span.
func (s *simulation) handleAfter(span time.Duration, event Event) {
	s.after(span, func() { s.handle(event) })
}

// randomSpan returns a random span between two bounds, inclusive.
func (s *simulation) randomSpan(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.rng.Int63n(int64(maximum-minimum)+1))
}

// chance returns true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.rng.Float64() < probability }

// addWorker adds a ready worker. The dispatcher learns of it by the next endpoint update with it.
func (s *simulation) addWorker() *simulatedWorker {
	s.workersAdded++
	worker := &simulatedWorker{
		slots: float64(1 + s.rng.Intn(8)),
		pace:  0.6 + s.rng.Float64(),
	}
	address := netip.AddrFrom4([4]byte{10, 1, byte(s.workersAdded >> 8), byte(s.workersAdded)})
	worker.Endpoint = Endpoint{
		Worker:      netip.AddrPortFrom(address, simulatedPort),
		Zone:        s.workersAdded % simulatedZones,
		Kind:        s.workersAdded % 2,
		Cell:        s.workersAdded % 5,
		State:       Ready,
		Incarnation: s.rng.Uint64(),
	}
	s.workers = append(s.workers, worker)
	s.workersByID[worker.Worker] = worker
	return worker
}

// newSimulation returns a simulation with workers and without arrivals. start has to be called
// before run.
func newSimulation(seed int64, workers int, config Config) *simulation {
	s := &simulation{
		rng:          rand.New(rand.NewSource(seed)),
		config:       config,
		seed:         seed,
		dispatcher:   New(config, seed),
		workersByID:  map[WorkerID]*simulatedWorker{},
		clients:      map[InvocationID]*simulatedClient{},
		onAction:     func(time.Duration, Action) {},
		aroundHandle: func(do func()) { do() },
		meanHint:     0.2,
		faults:       1,
		otherLoad:    0.3,
	}
	for range workers {
		s.addWorker()
	}
	return s
}

// fullUpdate returns an update with all workers that are not gone.
func (s *simulation) fullUpdate() EndpointUpdate {
	update := EndpointUpdate{Kind: FullUpdate}
	for _, worker := range s.workers {
		if worker.State != Gone {
			update.Endpoints = append(update.Endpoints, worker.Endpoint)
		}
	}
	return update
}

// handle passes events to the dispatcher and carries out its actions.
func (s *simulation) handle(events ...Event) {
	var actions []Action
	s.aroundHandle(func() { actions = s.dispatcher.Handle(s.now, events) })
	for _, a := range actions {
		s.onAction(s.now, a)
		switch a := a.(type) {
		case Forward:
			s.forward(a)
		case HealthCheck:
			s.healthCheck(s.workersByID[a.Worker])
		case Throttle:
			s.clients[a.Invocation].answered = true
		case Fail:
			s.clients[a.Invocation].answered = true
		case Cancel:
			if attempt := s.clients[a.Invocation].attempts[a.Attempt]; attempt.inFlight {
				s.endAttempt(a.Invocation, a.Attempt, 2*ms, Cancelled)
			}
		case SetTimer:
			s.setTimer(a.At)
		case WatchEndpoints:
			if s.chance(0.3 * s.faults) {
				s.handleAfter(s.randomSpan(5*ms, 300*ms), EndpointUpdate{Kind: WatchFailed})
			} else {
				s.after(s.randomSpan(5*ms, 50*ms), func() { s.handle(s.fullUpdate()) })
			}
		}
	}
}

// setTimer replaces the dispatcher's timer.
func (s *simulation) setTimer(at time.Duration) {
	s.timerAt = at
	s.after(max(0, at-s.now), func() {
		if s.timerAt <= s.now {
			s.timerAt = unbounded
			s.handle(TimerFired{})
		}
	})
}

// loadReport returns the worker's load report, or nil if it sends none.
func (w *simulatedWorker) loadReport() *LoadReport {
	if w.reportsNothing {
		return nil
	}
	if !w.reportsFrozen {
		free := w.slots - w.otherSlots - float64(w.inFlight)
		w.lastReport = LoadReport{
			FreeSlots:   max(0, free),
			Queued:      max(0, -free),
			InFlight:    float64(w.inFlight),
			Busy:        w.otherSlots,
			ServiceTime: 0.1 * w.pace,
		}
	}
	load := w.lastReport
	return &load
}

// healthCheck schedules the result of a health check: a timeout at workers that hang or are gone,
// sometimes another failure, and success otherwise.
func (s *simulation) healthCheck(worker *simulatedWorker) {
	const timeout = 150 * ms
	switch {
	case worker.hangs || worker.State == Gone:
		s.handleAfter(timeout, HealthCheckResult{
			Worker:  worker.Worker,
			Result:  TimedOut,
			Latency: timeout,
		})
	case s.chance(0.02 * s.faults):
		failures := []Result{Rejected, ReusedConnectionBroken, Unreachable}
		span := s.randomSpan(0, 5*ms)
		s.handleAfter(span, HealthCheckResult{
			Worker:  worker.Worker,
			Result:  failures[s.rng.Intn(len(failures))],
			Latency: 3 * ms,
		})
	default:
		latency := s.randomSpan(ms/2, 6*ms)
		s.after(latency, func() {
			s.handle(HealthCheckResult{
				Worker:  worker.Worker,
				Result:  Succeeded,
				Latency: latency,
				Load:    worker.loadReport(),
			})
		})
	}
}

// endAttempt ends an attempt after a span, unless it has ended by then.
func (s *simulation) endAttempt(id InvocationID, number int, span time.Duration, result Result) {
	c := s.clients[id]
	attempt := c.attempts[number]
	s.after(span, func() {
		if !attempt.inFlight {
			return
		}
		attempt.inFlight = false
		if attempt.occupiesSlot {
			attempt.worker.inFlight--
		}
		outcome := Outcome{
			Invocation: id,
			Worker:     attempt.worker.Worker,
			Attempt:    number,
			Result:     result,
		}
		switch result {
		case Succeeded:
			outcome.Answered = !c.answered
			c.answered = true
			outcome.Load = attempt.worker.loadReport()
		case Rejected:
			outcome.Load = attempt.worker.loadReport()
		}
		s.handle(outcome)
	})
}

// forward starts an attempt, which runs at its worker or fails in one of many ways.
func (s *simulation) forward(forward Forward) {
	c := s.clients[forward.Invocation]
	worker := s.workersByID[forward.Worker]
	attempt := &simulatedAttempt{
		worker:   worker,
		inFlight: true,
		work:     c.arrival.Hint * worker.pace * (0.5 + s.rng.Float64()),
	}
	number := len(c.attempts)
	c.attempts = append(c.attempts, attempt)
	fault := func(probability float64) bool { return s.chance(probability * s.faults) }
	switch {
	case worker.State == Gone && s.chance(0.7), fault(0.01):
		s.endAttempt(forward.Invocation, number, s.randomSpan(ms, 400*ms), Unreachable)
	case fault(0.005):
		s.endAttempt(forward.Invocation, number, ms, NotSent)
	case fault(0.005):
		s.endAttempt(forward.Invocation, number, 3*ms, BadRequest)
	case fault(0.02), float64(worker.inFlight) > 2*worker.slots:
		s.endAttempt(forward.Invocation, number, 3*ms, Rejected)
	case fault(0.01):
		s.endAttempt(forward.Invocation, number, 20*ms, Failed)
	case fault(0.01):
		s.endAttempt(forward.Invocation, number, s.randomSpan(ms, 200*ms), ConnectionBroken)
	case fault(0.005):
		s.endAttempt(forward.Invocation, number, 1500*ms, TimedOut)
	case fault(0.01), worker.hangs:
		return // it never ends
	default:
		s.runAttempt(forward, number)
	}
}

// runAttempt lets an attempt wait and run at its worker, and schedules the worker's progress reports.
func (s *simulation) runAttempt(forward Forward, number int) {
	c := s.clients[forward.Invocation]
	attempt := c.attempts[number]
	worker := attempt.worker
	wait := s.randomSpan(ms, 10*ms)
	if free := worker.slots - worker.otherSlots - float64(worker.inFlight); free <= 0 {
		wait += s.randomSpan(20*ms, 400*ms)
	}
	attempt.occupiesSlot = true
	worker.inFlight++
	report := func(span time.Duration, progress AttemptProgress) {
		progress.Invocation = forward.Invocation
		progress.Worker = forward.Worker
		progress.Attempt = number
		s.after(span, func() {
			if attempt.inFlight && !worker.hangs {
				s.handle(progress)
			}
		})
	}
	if s.config.WorkersReportAccepted {
		report(ms, AttemptProgress{Accepted: true})
	}
	if s.config.WorkersReportStart {
		report(wait, AttemptProgress{Started: true})
	}
	runTime := seconds(attempt.work)
	for at := s.config.ProgressInterval; at > 0 && at < runTime; at += s.config.ProgressInterval {
		report(wait+at, AttemptProgress{Done: at.Seconds() / attempt.work})
	}
	if s.chance(0.02) {
		s.after(wait+runTime/2, func() {
			if attempt.inFlight && !c.answered {
				c.answered = true
				s.handle(ResponseStarted{
					Invocation: forward.Invocation,
					Attempt:    number,
				})
			}
		})
	}
	s.endAttempt(forward.Invocation, number, wait+runTime, Succeeded)
}

// newArrival sends the dispatcher a new invocation, and sometimes more of them at the same moment.
func (s *simulation) newArrival() {
	s.lastInvocation++
	c := &simulatedClient{arrival: Arrival{
		Invocation: s.lastInvocation,
		Operation:  s.rng.Intn(len(s.config.Operations)),
		Tenant:     s.rng.Intn(3),
		Budget:     s.randomSpan(seconds(4*s.meanHint), seconds(20*s.meanHint+1)),
		Hint:       s.meanHint * s.rng.ExpFloat64(),
		Slots:      1,
	}}
	if s.faults > 0 {
		c.arrival.Slots = float64(1 + s.rng.Intn(10)/9)
	}
	if s.chance(0.05 * s.faults) {
		c.arrival.Hint = 0
	}
	id := s.lastInvocation
	s.clients[id] = c
	s.after(c.arrival.Budget, func() {
		if !c.answered {
			c.answered = true
			s.handle(ClientDisconnected{Invocation: id})
		}
	})
	events := []Event{c.arrival}
	for s.chance(0.1) {
		s.lastInvocation++
		another := &simulatedClient{arrival: c.arrival}
		another.arrival.Invocation = s.lastInvocation
		another.arrival.Hint = s.meanHint * s.rng.ExpFloat64()
		s.clients[s.lastInvocation] = another
		events = append(events, another.arrival)
	}
	s.handle(events...)
}

// changeEndpoints changes a few workers and sends the dispatcher an endpoint update.
func (s *simulation) changeEndpoints() {
	var delta []Endpoint
	for range 1 + s.rng.Intn(3) {
		worker := s.workers[s.rng.Intn(len(s.workers))]
		switch s.rng.Intn(8) {
		case 0:
			worker.State = Draining
		case 1:
			worker.State = Gone
		case 2, 3, 4: // it has restarted, perhaps some time ago
			s.restart(worker, max(0, s.now-s.randomSpan(0, time.Second)))
		case 5:
			worker = s.addWorker()
			worker.StartKnown = true
			worker.StartedAt = s.now
		case 6:
			worker.hangs = !worker.hangs
		case 7:
			worker.reportsFrozen = !worker.reportsFrozen
		}
		delta = append(delta, worker.Endpoint)
	}
	if s.chance(0.2) {
		s.handle(s.fullUpdate())
	} else {
		s.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
	}
}

// restart restarts a worker with a new incarnation: its attempts are lost.
func (s *simulation) restart(worker *simulatedWorker, at time.Duration) {
	worker.State = Ready
	worker.StartKnown = true
	worker.StartedAt = at
	worker.Incarnation = s.rng.Uint64()
	worker.inFlight = 0
}

// simulatedGossip holds the kinds of gossip entries in proportion to their frequency. The last one
// is rare.
var simulatedGossip = []GossipKind{
	GossipAttemptStarted, GossipAttemptEnded, GossipCapacityQuery, GossipCapacityReply,
	GossipCapacityReply, GossipAttemptStarted, GossipCapacityQuery, GossipAttemptEnded,
	GossipRestarted,
}

// receiveGossip sends the dispatcher a gossip message from another scheduler.
func (s *simulation) receiveGossip() {
	received := GossipReceived{From: s.rng.Intn(s.config.Schedulers + 1)}
	for range 1 + s.rng.Intn(4) {
		worker := s.workers[s.rng.Intn(len(s.workers))]
		kinds := len(simulatedGossip) - min(1, s.rng.Intn(10))
		received.Entries = append(received.Entries, GossipEntry{
			Kind:   simulatedGossip[s.rng.Intn(kinds)],
			Serial: uint8(s.rng.Intn(12)),
			Tag:    workerTag(worker.Worker),
		})
	}
	s.handle(received)
}

// reconfigure sends the dispatcher a configuration with one more operation and other limits.
func (s *simulation) reconfigure() {
	config := s.config
	config.Operations = append([]Operation(nil), s.config.Operations...)
	previous := make([]int, len(config.Operations))
	for i := range previous {
		previous[i] = i
	}
	changed := config.Operations[s.rng.Intn(len(config.Operations))]
	changed.PriorityWeight = 1 + s.rng.Float64()
	changed.LatencyObjective = s.randomSpan(100*ms, time.Second)
	previous = append(previous, s.rng.Intn(len(config.Operations)+1)-1)
	config.Operations = append(config.Operations, changed)
	config.Limits.MaxAttempts = 2 + s.rng.Intn(4)
	config.Limits.MaxInFlight = 1 + s.rng.Intn(2)
	s.config = config
	s.handle(Reconfigured{Config: config, PreviousOperations: previous})
}

// replaceDispatcher replaces the dispatcher with a successor that loads its snapshot and takes over
// all open invocations.
func (s *simulation) replaceDispatcher() {
	predecessor := s.dispatcher
	snapshot := predecessor.Snapshot()
	s.dispatcher = New(s.config, s.seed+1000)
	s.handle(s.fullUpdate())
	events := []Event{SnapshotLoaded{Snapshot: snapshot}}
	for id := InvocationID(1); id <= s.lastInvocation; id++ {
		if record, isOpen := predecessor.MigrationRecord(id); isOpen {
			events = append(events, record)
		}
	}
	s.handle(events...)
	s.after(s.randomSpan(ms, 50*ms), func() { // one invocation migrates out again
		for id := s.lastInvocation; id > 0; id-- {
			if _, isOpen := s.dispatcher.MigrationRecord(id); isOpen {
				s.clients[id].answered = true
				for _, attempt := range s.clients[id].attempts {
					attempt.inFlight = false
				}
				s.handle(MigratedOut{Invocation: id})
				return
			}
		}
	})
}

// repeat makes a call repeatedly, at random intervals whose mean is a span.
func (s *simulation) repeat(span time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		s.after(s.randomSpan(span/4, span*7/4), next)
	}
	s.after(s.randomSpan(0, span), next)
}

// run runs the simulation up to an end.
func (s *simulation) run(end time.Duration) {
	s.callUntil(end)
	s.now = end
}

// start sends the dispatcher the endpoint list and schedules all other kinds of events.
func (s *simulation) start() {
	s.handle(s.fullUpdate())
	s.after(0, func() { s.handle(TimerFired{}) })
	if s.arrivalRate > 0 {
		s.repeat(seconds(1/s.arrivalRate), s.newArrival)
	}
	s.repeat(300*ms, func() {
		for _, worker := range s.workers {
			worker.otherSlots = float64(int(worker.slots * s.otherLoad * 2 * s.rng.Float64()))
		}
	})
	if s.faults == 0 {
		return
	}
	s.repeat(400*ms, s.changeEndpoints)
	if s.config.Limits.Gossip {
		s.repeat(15*ms, s.receiveGossip)
	}
	s.repeat(3*time.Second, s.reconfigure)
	s.repeat(time.Second, func() {
		s.handle(QuotaUpdate{Quotas: []Quota{{
			Tenant:         s.rng.Intn(4),
			QuotaPerSecond: 5 * s.rng.Float64(),
			Reassigned:     s.chance(0.3),
		}}})
	})
	s.repeat(5*time.Second, s.replaceDispatcher)
	s.repeat(4*time.Second, s.changeZone)
}

// changeZone restarts all workers of a random zone, or stops their load reports.
func (s *simulation) changeZone() {
	zone := s.rng.Intn(simulatedZones)
	reportsCease := s.chance(0.3)
	var delta []Endpoint
	for _, worker := range s.workers {
		inZone := worker.Zone == zone
		worker.reportsNothing = reportsCease && inZone
		if inZone && !reportsCease {
			s.restart(worker, s.now)
			delta = append(delta, worker.Endpoint)
		}
	}
	s.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
}

// randomConfig returns a random configuration for a seed.
func randomConfig(seed int64) Config {
	rng := rand.New(rand.NewSource(seed))
	config := testConfig()
	config.Schedulers = []int{1, 2, 6, 20, 80}[rng.Intn(5)]
	config.SchedulerIndex = rng.Intn(config.Schedulers)
	config.Zone = rng.Intn(simulatedZones)
	config.EndpointsPushed = rng.Intn(2) == 0
	config.WorkersReportStart = rng.Intn(2) == 0
	config.WorkersReportAccepted = rng.Intn(3) == 0
	config.ProgressInterval = []time.Duration{0, 200 * ms, 500 * ms}[rng.Intn(3)]
	config.Limits.Gossip = rng.Intn(2) == 0
	config.Limits.HealthChecks = rng.Intn(5) > 0
	config.Limits.Cancel = rng.Intn(4) > 0
	config.HealthCheckCost = 0.003 * rng.Float64()
	config.GossipCost = 0.02 * rng.Float64()
	config.Tenants = []Tenant{{QuotaPerSecond: 10}, {}, {QuotaPerSecond: 2}}
	config.ExcessWeight = 0.3
	config.WorstOperationWeight = 0.5 * rng.Float64()
	cell := config.Operations[1]
	cell.DedupScope = ScopeCell
	cell.DedupWindow = 500 * ms
	cell.LateWeight = 0.3
	kind := config.Operations[0]
	kind.WorkerKind = 1
	config.Operations = append(config.Operations, cell, kind)
	return config
}
