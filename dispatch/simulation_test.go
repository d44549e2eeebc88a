package dispatch

import (
	"container/heap"
	"math/rand"
	"net/netip"
	"time"
)

// world plays one scheduler against workers, clients and other schedulers that a seed draws: whatever the interface can
// bring comes in it. It uses the interface alone, so that any inner form of the module can be played.
type simulation struct {
	rng            *rand.Rand
	config         Config
	seed           int64
	dispatcher     *Dispatcher
	now            time.Duration
	queue          pending
	sequence       int
	workers        []*simulatedWorker
	workersByID    map[WorkerID]*simulatedWorker
	clients        map[InvocationID]*simulatedClient
	lastInvocation InvocationID
	timerAt        time.Duration
	onAction       func(now time.Duration, a Action)
	aroundHandle   func(events int, took func())
	arrivalRate    float64 // arrivals a second
	meanHint       float64 // their mean
	faults         float64 // 1: everything that may happen does
	otherLoad      float64 // of the workers' slots that others have
	workersAdded   int
}

type simulatedWorker struct {
	Endpoint
	slots, otherSlots      float64
	pace                   float64
	inFlight               int
	hangs, reportsFrozen   bool
	lastReport             LoadReport
	listed, reportsNothing bool
}

type simulatedClient struct {
	arrival  Arrival
	came     time.Duration
	attempts []*simulatedAttempt
	answered bool
}

type simulatedAttempt struct {
	worker       *simulatedWorker
	inFlight     bool
	work         float64
	occupiesSlot bool
}

type pended struct {
	at     time.Duration
	serial int
	event  Event
	do     func()
}

type pending []pended

func (p pending) Len() int { return len(p) }

func (p pending) Less(a, b int) bool {
	return p[a].at < p[b].at || p[a].at == p[b].at && p[a].serial < p[b].serial
}

func (p pending) Swap(a, b int) { p[a], p[b] = p[b], p[a] }

func (p *pending) Push(x any) { *p = append(*p, x.(pended)) }

func (p *pending) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

func (s *simulation) in(span time.Duration, e Event) {
	s.sequence++
	heap.Push(&s.queue, pended{s.now + span, s.sequence, e, nil})
}

func (s *simulation) after(span time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, pended{s.now + span, s.sequence, nil, do})
}

func (s *simulation) randomSpan(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int63n(int64(most-least)+1))
}

func (s *simulation) chance(part float64) bool { return s.rng.Float64() < part }

func (s *simulation) addWorker() *simulatedWorker {
	s.workersAdded++
	a := &simulatedWorker{slots: float64(1 + s.rng.Intn(8)), pace: 0.6 + s.rng.Float64()}
	a.Endpoint = Endpoint{Worker: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(s.workersAdded >> 8), byte(s.workersAdded)}), 9), Zone: s.workersAdded % 3,
		Kind: s.workersAdded % 2, Cell: s.workersAdded % 5, State: Ready, Incarnation: s.rng.Uint64()}
	s.workers, s.workersByID[a.Worker] = append(s.workers, a), a
	return a
}

func newSimulation(seed int64, workers int, config Config) *simulation {
	s := &simulation{rng: rand.New(rand.NewSource(seed)), config: config, seed: seed, workersByID: map[WorkerID]*simulatedWorker{}, clients: map[InvocationID]*simulatedClient{}, meanHint: 0.2,
		faults: 1, otherLoad: 0.3, onAction: func(time.Duration, Action) {}, aroundHandle: func(_ int, do func()) { do() }}
	s.dispatcher = New(config, seed)
	for range workers {
		s.addWorker().listed = true
	}
	return s
}

func (s *simulation) fullUpdate() EndpointUpdate {
	update := EndpointUpdate{Kind: FullUpdate}
	for _, a := range s.workers {
		if a.State != Gone {
			update.Endpoints = append(update.Endpoints, a.Endpoint)
		}
	}
	return update
}

// handle hands events over and plays out what is asked for.
func (s *simulation) handle(events ...Event) {
	var actions []Action
	s.aroundHandle(len(events), func() { actions = s.dispatcher.Handle(s.now, events) })
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
			s.timerAt = a.At
			s.after(max(0, a.At-s.now), func() {
				if s.timerAt <= s.now {
					s.timerAt = 1 << 62
					s.handle(TimerFired{})
				}
			})
		case WatchEndpoints:
			if s.chance(0.3 * s.faults) {
				s.in(s.randomSpan(5*ms, 300*ms), EndpointUpdate{Kind: WatchFailed})
			} else {
				s.after(s.randomSpan(5*ms, 50*ms), func() { s.handle(s.fullUpdate()) })
			}
		}
	}
}

func (w *simulatedWorker) loadReport() *LoadReport {
	if w.reportsNothing {
		return nil
	}
	if !w.reportsFrozen {
		free := w.slots - w.otherSlots - float64(w.inFlight)
		w.lastReport = LoadReport{FreeSlots: max(0, free), Queued: max(0, -free), InFlight: float64(w.inFlight), Busy: w.otherSlots, ServiceTime: 0.1 * w.pace}
	}
	load := w.lastReport
	return &load
}

func (s *simulation) healthCheck(a *simulatedWorker) {
	switch {
	case a.hangs || a.State == Gone:
		s.in(150*ms, HealthCheckResult{Worker: a.Worker, Result: TimedOut, Latency: 150 * ms})
	case s.chance(0.02 * s.faults):
		s.in(s.randomSpan(0, 5*ms), HealthCheckResult{Worker: a.Worker, Result: []Result{Rejected, ReusedConnectionBroken, Unreachable}[s.rng.Intn(3)], Latency: 3 * ms})
	default:
		took := s.randomSpan(ms/2, 6*ms)
		s.after(took, func() {
			s.handle(HealthCheckResult{Worker: a.Worker, Result: Succeeded, Latency: took, Load: a.loadReport()})
		})
	}
}

// end1 ends a forward some time from now, if nothing else has by then.
func (s *simulation) endAttempt(id InvocationID, number int, span time.Duration, result Result) {
	c := s.clients[id]
	attempt := c.attempts[number]
	s.after(span, func() {
		if !attempt.inFlight {
			return
		}
		if attempt.inFlight = false; attempt.occupiesSlot {
			attempt.worker.inFlight--
		}
		outcome := Outcome{Invocation: id, Worker: attempt.worker.Worker, Attempt: number, Result: result}
		if result == Succeeded {
			outcome.Answered, c.answered = !c.answered, true
			outcome.Load = attempt.worker.loadReport()
		} else if result == Rejected {
			outcome.Load = attempt.worker.loadReport()
		}
		s.handle(outcome)
	})
}

func (s *simulation) forward(forward Forward) {
	c, a := s.clients[forward.Invocation], s.workersByID[forward.Worker]
	attempt := &simulatedAttempt{worker: a, inFlight: true, work: c.arrival.Hint * a.pace * (0.5 + s.rng.Float64())}
	number := len(c.attempts)
	c.attempts = append(c.attempts, attempt)
	fault := func(part float64) bool { return s.chance(part * s.faults) }
	switch {
	case a.State == Gone && s.chance(0.7), fault(0.01):
		s.endAttempt(forward.Invocation, number, s.randomSpan(ms, 400*ms), Unreachable)
	case fault(0.005):
		s.endAttempt(forward.Invocation, number, ms, NotSent)
	case fault(0.005):
		s.endAttempt(forward.Invocation, number, 3*ms, BadRequest)
	case fault(0.02), float64(a.inFlight) > 2*a.slots:
		s.endAttempt(forward.Invocation, number, 3*ms, Rejected)
	case fault(0.01):
		s.endAttempt(forward.Invocation, number, 20*ms, Failed)
	case fault(0.01):
		s.endAttempt(forward.Invocation, number, s.randomSpan(ms, 200*ms), ConnectionBroken)
	case fault(0.005):
		s.endAttempt(forward.Invocation, number, 1500*ms, TimedOut)
	case fault(0.01), a.hangs:
		return // nothing is heard of it
	default:
		wait := s.randomSpan(ms, 10*ms)
		if free := a.slots - a.otherSlots - float64(a.inFlight); free <= 0 {
			wait += s.randomSpan(20*ms, 400*ms)
		}
		attempt.occupiesSlot = true
		a.inFlight++
		report := func(span time.Duration, progress AttemptProgress) {
			progress.Invocation, progress.Worker, progress.Attempt = forward.Invocation, forward.Worker, number
			s.after(span, func() {
				if attempt.inFlight && !a.hangs {
					s.handle(progress)
				}
			})
		}
		if s.config.NotifiesAccepted {
			report(ms, AttemptProgress{Accepted: true})
		}
		if s.config.NotifiesStart {
			report(wait, AttemptProgress{Started: true})
		}
		run := seconds(attempt.work)
		for at := s.config.ProgressInterval; at > 0 && at < run; at += s.config.ProgressInterval {
			report(wait+at, AttemptProgress{Done: at.Seconds() / attempt.work})
		}
		if s.chance(0.02) {
			s.after(wait+run/2, func() {
				if attempt.inFlight && !c.answered {
					c.answered = true
					s.handle(ResponseStarted{Invocation: forward.Invocation, Attempt: number})
				}
			})
		}
		s.endAttempt(forward.Invocation, number, wait+run, Succeeded)
	}
}

func (s *simulation) newArrival() {
	s.lastInvocation++
	c := &simulatedClient{came: s.now, arrival: Arrival{Invocation: s.lastInvocation, Operation: s.rng.Intn(len(s.config.Operations)), Tenant: s.rng.Intn(3),
		Budget: s.randomSpan(seconds(4*s.meanHint), seconds(20*s.meanHint+1)), Hint: s.meanHint * s.rng.ExpFloat64(), Slots: 1}}
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
			s.handle(ClientDisconnected{id})
		}
	})
	events := []Event{c.arrival}
	for s.chance(0.1) { // more at the same moment
		s.lastInvocation++
		another := &simulatedClient{came: s.now, arrival: c.arrival}
		another.arrival.Invocation, another.arrival.Hint = s.lastInvocation, s.meanHint*s.rng.ExpFloat64()
		s.clients[s.lastInvocation] = another
		events = append(events, another.arrival)
	}
	s.handle(events...)
}

// change has a list change come.
func (s *simulation) changeEndpoints() {
	var delta []Endpoint
	for range 1 + s.rng.Intn(3) {
		a := s.workers[s.rng.Intn(len(s.workers))]
		switch s.rng.Intn(8) {
		case 0:
			a.State = Draining
		case 1:
			a.State = Gone
		case 2, 3, 4: // it restarts, perhaps some time ago
			a.State, a.StartKnown, a.StartedAt, a.Incarnation, a.inFlight = Ready, true, max(0, s.now-s.randomSpan(0, time.Second)), s.rng.Uint64(), 0
		case 5:
			a = s.addWorker()
			a.StartKnown, a.StartedAt = true, s.now
		case 6:
			a.hangs = !a.hangs
		case 7:
			a.reportsFrozen = !a.reportsFrozen
		}
		delta = append(delta, a.Endpoint)
	}
	if s.chance(0.2) {
		s.handle(s.fullUpdate())
	} else {
		s.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
	}
}

// others has another scheduler tell something.
func (s *simulation) receiveGossip() {
	received := GossipReceived{From: s.rng.Intn(s.config.Schedulers + 1)}
	for range 1 + s.rng.Intn(4) {
		a := s.workers[s.rng.Intn(len(s.workers))]
		received.Entries = append(received.Entries, GossipEntry{Kind: []GossipKind{GossipAttemptStarted, GossipAttemptEnded, GossipCapacityQuery, GossipCapacityReply, GossipCapacityReply, GossipAttemptStarted, GossipCapacityQuery, GossipAttemptEnded,
			GossipRestarted}[s.rng.Intn(9-min(1, s.rng.Intn(10)))], Serial: uint8(s.rng.Intn(12)), Tag: workerTag(a.Worker)})
	}
	s.handle(received)
}

func (s *simulation) reconfigure() {
	config := s.config
	config.Operations = append([]Operation(nil), s.config.Operations...)
	previous := make([]int, len(config.Operations))
	for i := range previous {
		previous[i] = i
	}
	changed := config.Operations[s.rng.Intn(len(config.Operations))]
	changed.PriorityWeight, changed.LatencyObjective = 1+s.rng.Float64(), s.randomSpan(100*ms, time.Second)
	config.Operations, previous = append(config.Operations, changed), append(previous, s.rng.Intn(len(config.Operations)+1)-1)
	config.Limits.MaxAttempts, config.Limits.MaxInFlight = 2+s.rng.Intn(4), 1+s.rng.Intn(2)
	s.config = config
	s.handle(Reconfigured{Config: config, PreviousOperations: previous})
}

// replace hands all that is known and held to a new instance.
func (s *simulation) replaceDispatcher() {
	snapshot, predecessor := s.dispatcher.Snapshot(), s.dispatcher
	s.dispatcher = New(s.config, s.seed+1000)
	s.handle(s.fullUpdate())
	events := []Event{SnapshotLoaded{snapshot}}
	for id := InvocationID(1); id <= s.lastInvocation; id++ {
		if record, isOpen := predecessor.MigrationRecord(id); isOpen {
			events = append(events, record)
		}
	}
	s.handle(events...)
	s.after(s.randomSpan(ms, 50*ms), func() { // and one goes on to yet another
		for id := s.lastInvocation; id > 0; id-- {
			if _, isOpen := s.dispatcher.MigrationRecord(id); isOpen {
				s.clients[id].answered = true
				for _, t := range s.clients[id].attempts {
					t.inFlight = false
				}
				s.handle(MigratedOut{id})
				return
			}
		}
	})
}

// every has something happen again and again, at times that chance draws around a span.
func (s *simulation) repeat(span time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		s.after(s.randomSpan(span/4, span*7/4), next)
	}
	s.after(s.randomSpan(0, span), next)
}

func (s *simulation) run(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(pended)
		s.now = max(s.now, next.at)
		if next.do != nil {
			next.do()
		} else {
			s.handle(next.event)
		}
	}
	s.now = end
}

// begin has all that may happen to a scheduler happen to it.
func (s *simulation) start() {
	s.handle(s.fullUpdate())
	s.after(0, func() { s.handle(TimerFired{}) })
	if s.arrivalRate > 0 {
		s.repeat(seconds(1/s.arrivalRate), s.newArrival)
	}
	s.repeat(300*ms, func() {
		for _, a := range s.workers {
			a.otherSlots = float64(int(a.slots * s.otherLoad * 2 * s.rng.Float64()))
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
		s.handle(QuotaUpdate{Quotas: []Quota{{Tenant: s.rng.Intn(4), QuotaPerSecond: 5 * s.rng.Float64(), Reassigned: s.chance(0.3)}}})
	})
	s.repeat(5*time.Second, s.replaceDispatcher)
	s.repeat(4*time.Second, func() { // a zone restarts, or stops to report
		zone, reportsCease := s.rng.Intn(3), s.chance(0.3)
		var delta []Endpoint
		for _, a := range s.workers {
			if a.reportsNothing = reportsCease && a.Zone == zone; a.Zone == zone && !reportsCease {
				a.State, a.StartKnown, a.StartedAt, a.Incarnation, a.inFlight = Ready, true, s.now, s.rng.Uint64(), 0
				delta = append(delta, a.Endpoint)
			}
		}
		s.handle(EndpointUpdate{Kind: DeltaUpdate, Endpoints: delta})
	})
}

// varied is a deployment drawn from a seed.
func randomConfig(seed int64) Config {
	rng, config := rand.New(rand.NewSource(seed)), testConfig()
	config.Schedulers = []int{1, 2, 6, 20, 80}[rng.Intn(5)]
	config.Index = rng.Intn(config.Schedulers)
	config.Zone, config.EndpointsPushed = rng.Intn(3), rng.Intn(2) == 0
	config.NotifiesStart, config.NotifiesAccepted = rng.Intn(2) == 0, rng.Intn(3) == 0
	config.ProgressInterval = []time.Duration{0, 200 * ms, 500 * ms}[rng.Intn(3)]
	config.Limits.Gossip = rng.Intn(2) == 0
	config.Limits.HealthChecks = rng.Intn(5) > 0
	config.Limits.Cancel = rng.Intn(4) > 0
	config.HealthCheckCost, config.GossipCost = 0.003*rng.Float64(), 0.02*rng.Float64()
	config.Tenants, config.ExcessValue = []Tenant{{QuotaPerSecond: 10}, {}, {QuotaPerSecond: 2}}, 0.3
	config.WorstOperationWeight = 0.5 * rng.Float64()
	cell := config.Operations[1]
	cell.DedupScope, cell.DedupWindow, cell.LateWeight = ScopeCell, 500*ms, 0.3
	kind := config.Operations[0]
	kind.WorkerKind = 1
	config.Operations = append(config.Operations, cell, kind)
	return config
}
