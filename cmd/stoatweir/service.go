package main

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"stoatweir/dispatch"
	"stoatweir/internal/accounting"
	"stoatweir/internal/clients"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/gossip"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/settings"
	"stoatweir/internal/takeover"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

const (
	// successorEndpointWait is how long a process that is to replace another waits for its first list: that one serves meanwhile,
	// but a yes is due within 6 s.
	successorEndpointWait = 3500 * time.Millisecond
	reservedDescriptors   = 16          // descriptors that are no connections: standard ones, poller, listener, a successor's
	endpointWait          = time.Second // a start without a known list waits so long for one
	// With a known list there is no time to lose: while schedulers are restarted in turn, the next one may have been
	// stopped already, and clients have nobody to ask. Who has gone since shows by itself, and the list follows.
	cachedEndpointWait = 50 * time.Millisecond
	// What the list has to tell counts as told 6 s later, whether or not it has come: that is the span in which a
	// watch that has failed must stand again, however long the settings allow not to ask.
	maxPollInterval = 5 * time.Second
	restartDelay    = 20 * time.Millisecond
	// Between watches of a pushed list that fail in a row; inside toldWithin, with what a call may take, and inside the grace
	// that the settings give: what is pushed at the return of whoever carries the list counts as told at once.
	watchBackoffMin, watchBackoffMax, watchBackoffMaxFloor = 250 * time.Millisecond, 2 * time.Second, 50 * time.Millisecond
	// publishAfter is how old the figures that operators see may be, at most, while something happens.
	publishDelay      = 100 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
)

// service is the wiring: one loop owns the module, hands it what has happened and carries out what it decides.
type service struct {
	loop            *conn.Loop
	clientQuota     *conn.Quota // of the descriptors: for clients and news
	workerQuota     *conn.Quota // for workers
	log             *logrus.Entry
	ledger          *accounting.Ledger
	dispatcher      *dispatch.Dispatcher
	clients         *clients.Server
	workers         *workers.Transport
	endpoints       *discovery.Watcher
	process         settings.Process // as it was at the start, but for discovery
	deployment      settings.Deployment
	configured      settings.Deployment // as the configuration has it, without what tenants add
	cachedEndpoints []byte
	events          []dispatch.Event
	requests        map[dispatch.InvocationID]*trackedRequest
	dispatchTimer   *conn.Timer
	lifecycleTimer  *conn.Timer   // of the life cycle
	lastDecision    time.Duration // when the module was last asked

	takeover                        *takeover.Manager
	migrating                       map[dispatch.InvocationID]*trackedRequest // on their way to a successor
	gossip                          *gossip.Transport                         // to other schedulers; nil: none
	tenancy                         *tenancy                                  // nil: no tenants are served
	lifecycle                       lifecycle.Lifecycle
	publishedState                  atomic.Uint32 // the state of life, for operators
	publishedTotals                 atomic.Pointer[accounting.Totals]
	publishedChanges                int         // changes of the ledger that these hold
	publishTimer                    *conn.Timer // nil: nothing has happened since
	seed                            int64
	random                          *rand.Rand // for what the module does not decide
	failedWatches                   int        // watches of a pushed list that failed in a row
	panics                          int
	answersByReason                 map[string]int // answers other than a result, by why they were given
	reasonOverride                  string         // answers are given now, if not by the module's word
	servingLatency, decisionLatency *hdrhistogram.Histogram
}

// tracked is an invocation while the module may still speak of it.
type trackedRequest struct {
	*workers.Invocation
	operation          int
	attempts, inFlight int
	account            *tenants.Account // nil: nobody's
	sentAt             []time.Duration  // when each forward was, where it is somebody's
}

func newService(node settings.Process, log *logrus.Entry) (*service, error) {
	start, given := time.Now(), node
	loop := conn.NewLoop(start)
	ours, theirs, book := loop.NewQuota(0), loop.NewQuota(0), accounting.New()
	s := &service{loop: loop, clientQuota: ours, workerQuota: theirs, log: log, ledger: book, process: given, configured: given.Deployment, cachedEndpoints: node.CachedEndpoints, requests: map[dispatch.InvocationID]*trackedRequest{}, migrating: map[dispatch.InvocationID]*trackedRequest{}, answersByReason: map[string]int{},
		seed: node.Seed, lastDecision: -1,
		clients:        clients.New(loop, node.Deployment, ours, book),
		workers:        workers.NewTransport(loop, node.Deployment, theirs),
		endpoints:      discovery.New(loop, node.Discovery, node.Deployment.Zones, node.Deployment.Kinds, start),
		servingLatency: hdrhistogram.New(1, time.Minute.Microseconds(), 3), decisionLatency: hdrhistogram.New(1, 1e7, 2)}
	if err := s.openTenants(&node); err != nil {
		return nil, err
	}
	applySocketRules(&node.Deployment.Dispatch)
	s.deployment, s.dispatcher = node.Deployment, dispatch.New(node.Deployment.Dispatch, node.Seed)
	s.clients.Reconfigure(node.Deployment)
	event := func(e dispatch.Event) { s.events = append(s.events, e) }
	s.random = rand.New(rand.NewPCG(uint64(node.Seed), uint64(start.UnixNano())))
	s.endpoints.Rand = s.random
	s.applyPollInterval()
	s.clients.OnEvent, s.workers.OnEvent = event, event
	s.clients.OnRequest = func(j *workers.Invocation, operation int) {
		j.Effect = s.effect(operation)
		s.requests[j.Number] = &trackedRequest{Invocation: j, operation: operation, account: s.tenancy.accountFor(j.ID)}
		s.workers.Invariants.RequestAdmitted(j.Number, s.requestLimits(j, operation))
	}
	s.takeover = takeover.New(takeover.Config{Loop: loop, Clients: s.clients, Workers: s.workers, Endpoints: s.endpoints, Service: s, Log: log,
		ProcessName: node.Name, ListenAddress: node.Listen, Sockets: node.Sockets, MemoryMB: node.MemoryMB})
	s.clients.Invariants, s.clients.Reason, s.workers.Invariants.OnViolation = s.workers.Invariants, s.answerReason, s.logViolation
	s.clients.OnCallback, s.clients.Counters, s.clients.History = s.workers.HandleCallback, s.countsReport, s.requestHistory
	s.clients.RelayCallback, s.clients.OwnedByPeer, s.clients.OnOwnership = s.takeover.RelayCallback, s.takeover.OwnedByPeer, s.takeover.AnnounceOwnership
	s.clients.OnServed = func(t time.Duration) { s.servingLatency.RecordValue(t.Microseconds()) }
	s.clients.Behavior = func() lifecycle.Behavior { return s.lifecycle.Behavior(loop.Now()) }
	s.workers.Deliver, s.workers.AwaitsAnswer, s.workers.ClientWaiting, s.workers.OnWritten = s.clients.Deliver, s.clients.AwaitsAnswer, s.clients.ClientWaiting, book.Forwarded
	s.endpoints.OnUpdate, loop.Panicked = s.handleEndpointUpdate, s.recordPanic
	s.endpoints.OnFailure = func(why string) { log.Warn("the watch of the list has failed: ", why) }
	s.setSocketLimit(node.Sockets)
	if len(node.Peers) > 0 {
		s.gossip = gossip.Open(loop, node.Peers, node.Deployment.Dispatch.Index, start, func(err error) {
			log.WithError(err).Warn("peers: our address can't be had, nothing is told until it can")
		})
		s.gossip.OnReceive = func(t dispatch.GossipReceived) { s.events = append(s.events, t) }
	}
	installFaultInjection(s)
	log.Info("deployment: ", node.Deployment.Features)
	return s, nil
}

// effect is an operation's effect class.
func (s *service) effect(operation int) dispatch.Effect {
	return s.deployment.Dispatch.Operations[operation].Effect
}

// onSockets adds what holds on sockets, whatever the settings say.
func applySocketRules(d *dispatch.Config) {
	d.Rules.PollWithin = min(d.Rules.PollWithin, maxPollInterval)
	d.NotifiesAccepted = true
}

// resize sets how many descriptors there are in all.
func (s *service) setSocketLimit(sockets int) {
	sockets -= reservedDescriptors
	if s.process.Admin != "" {
		sockets -= maxAdminCalls + 2 // their listener, and the one that is let in before another goes
	}
	if s.tenancy != nil {
		sockets -= apiDescriptors
	}
	// Clients and news have five eighths of the descriptors, four for invocations in hand; workers have the rest.
	s.clients.SetMaxInFlight(sockets / 2)
	s.clientQuota.Resize(sockets - sockets*3/8)
	s.workerQuota.Resize(sockets * 3 / 8)
}

// run serves until the order to stop has been carried out.
func (s *service) run(at takeover.Address) {
	within := endpointWait
	if len(s.cachedEndpoints) > 0 {
		list, err := s.endpoints.Parse(s.cachedEndpoints)
		if err != nil {
			s.log.Warn("known: ", err) // discovery will tell
		}
		if list.Kind = dispatch.FullUpdate; len(list.Workers) > 0 && !at.Shared {
			within = cachedEndpointWait
		}
		s.workers.ApplyUpdate(list)
		s.events = append(s.events, list.EndpointUpdate())
	}
	if at.Shared {
		within = successorEndpointWait
	}
	s.loop.After(within, s.EndpointsKnown) // with discovery down we must serve too
	s.takeover.Start(at)
	if s.deployment.Dispatch.EndpointsPushed {
		s.endpoints.Watch() // the module does not ask where changes come unasked; here all is asked for
	}
	if s.tenancy != nil {
		s.tenancy.updateQuotas()
	}
	s.events = append(s.events, dispatch.TimerFired{}) // the module has things to begin, also where nothing is known
	s.decide()
	s.publishTotals()
	s.loop.Run(s.decide)
	for _, inv := range s.clients.Unanswered() {
		s.workers.Invariants.CheckClose(inv)
	}
	s.takeover.Close()
	s.gossip.Close()
	if s.tenancy != nil {
		s.tenancy.registry.Close()
	}
}

// askWithin tells the watcher what time the settings give for asking.
func (s *service) applyPollInterval() {
	if s.endpoints.PollWithin = 0; !s.deployment.Dispatch.EndpointsPushed {
		s.endpoints.PollWithin = s.configured.Dispatch.Rules.PollWithin
	}
}

// told takes news of the list in.
func (s *service) handleEndpointUpdate(list discovery.Update) {
	if list.Kind != dispatch.WatchFailed {
		s.workers.ApplyUpdate(list)
		s.loop.After(s.takeover.SettleDelay(), s.takeover.RequestSnapshot)
		s.failedWatches = 0
	} else if s.deployment.Dispatch.EndpointsPushed {
		s.loop.After(s.watchBackoff(), s.restartWatch) // the module does not ask where changes come unasked
		s.failedWatches++
	}
	s.events = append(s.events, list.EndpointUpdate())
}

// watch begins the next watch, unless a call that was late has come to its turn meanwhile.
func (s *service) restartWatch() {
	if !s.endpoints.Established() {
		s.endpoints.Watch()
	}
}

// pause is how long the next watch of a pushed list waits. A pool must not come back to its list all at once.
func (s *service) watchBackoff() time.Duration {
	most := watchBackoffMax
	if s.deployment.DrainGrace > 0 {
		most = min(most, max(s.deployment.DrainGrace/2, watchBackoffMaxFloor))
	}
	wait := min(watchBackoffMin<<min(s.failedWatches, 8), most)
	return wait/2 + time.Duration(s.random.Int64N(int64(wait/2)))
}

// decide asks the module for as long as something has happened; what it orders can make things happen.
func (s *service) decide() {
	if s.process.Admin != "" && s.publishTimer == nil && (len(s.events) > 0 || s.ledger.Changes != s.publishedChanges) {
		s.publishTimer = s.loop.After(publishDelay, s.publishTotals)
	}
	for len(s.events) > 0 {
		events := s.events
		s.events = nil
		now := max(s.loop.Now(), s.lastDecision+1)
		s.lastDecision = now
		began := time.Now()
		actions, sound := s.callDispatcher(now, events)
		if !sound {
			s.restartDispatcher()
			return
		}
		s.decisionLatency.RecordValue(time.Since(began).Microseconds())
		for _, event := range events {
			s.recordOutcome(event)
		}
		for _, action := range actions {
			s.execute(action)
		}
	}
}

// ask hands events to the module. A mistake in it must not end the program with all that is in hand.
func (s *service) callDispatcher(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, sound bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.recordPanic(cause)
		}
	}()
	return s.dispatcher.Handle(now, events), true
}

func (s *service) recordPanic(cause any) {
	s.panics++
	s.log.WithField("stack", string(debug.Stack())).Error("panic: ", cause)
}

// restart begins with a new module that knows the list and nothing else. What is in hand was in the old one's care:
// it is answered, and its forwards are given up.
func (s *service) restartDispatcher() {
	s.log.Error("the decisions start anew; in hand: ", s.clients.InFlight())
	s.failRemaining("the decisions start anew")
	for _, inv := range slices.Sorted(maps.Keys(s.requests)) {
		for fwd := range s.requests[inv].attempts {
			s.workers.Cancel(inv, fwd)
		}
		s.clients.ReleaseID(s.requests[inv].ID, s.requests[inv].attempts > 0)
	}
	s.requests = map[dispatch.InvocationID]*trackedRequest{}
	s.seed++
	s.dispatcher = dispatch.New(s.deployment.Dispatch, s.seed)
	s.events = []dispatch.Event{s.workers.Endpoints()}
	if s.tenancy != nil {
		s.tenancy.admission.Republish()
		s.tenancy.updateQuotas()
	}
	s.endpoints.Watch()                   // the new one takes its first list for a sign that the watch stands
	s.loop.After(restartDelay, func() {}) // not at once: whatever made it panic may still be so
}

// failRest answers all that is owed. Where nothing was ever sent, asking again is harmless whatever the operation.
func (s *service) failRemaining(why string) {
	s.reasonOverride = why
	defer func() { s.reasonOverride = "" }()
	for _, inv := range s.clients.Unanswered() {
		if j := s.requests[inv]; j != nil && j.attempts == 0 {
			s.clients.Throttle(inv, 0)
		} else {
			s.clients.Fail(inv)
		}
		s.events = append(s.events, dispatch.ClientDisconnected{Invocation: inv})
	}
}

// ended counts the forwards that are out.
func (s *service) recordOutcome(event dispatch.Event) {
	inv, _ := event.About()
	if j := s.requests[inv]; j != nil {
		if o, is := event.(dispatch.Outcome); is {
			j.inFlight--
			s.tenancy.attemptEnded(j, o)
		}
		s.releaseIfDone(inv, j)
	}
}

// settle lets an invocation go when its client has its answer and no forward is out.
func (s *service) releaseIfDone(inv dispatch.InvocationID, j *trackedRequest) {
	if j.inFlight <= 0 && !s.clients.AwaitsAnswer(inv) {
		delete(s.requests, inv)
		s.clients.ReleaseID(j.ID, j.attempts > 0)
	}
}

func (s *service) execute(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		if j := s.requests[a.Invocation]; j != nil {
			j.attempts++
			j.inFlight++
			if j.account != nil {
				j.sentAt = append(j.sentAt, s.loop.Now())
			}
			s.workers.Forward(j.Invocation, j.attempts-1, a.Worker, a.NotAfter)
		}
	case dispatch.Throttle:
		s.clients.Throttle(a.Invocation, a.RetryAfter)
		s.requestAnswered(a.Invocation)
	case dispatch.Fail:
		s.clients.Fail(a.Invocation)
		s.requestAnswered(a.Invocation)
	case dispatch.Cancel:
		s.workers.Cancel(a.Invocation, a.Attempt)
	case dispatch.HealthCheck:
		s.workers.HealthCheck(a.Worker)
	case dispatch.SetTimer:
		s.dispatchTimer.Stop()
		s.dispatchTimer = s.loop.After(a.At-s.loop.Now(), func() { s.events = append(s.events, dispatch.TimerFired{}) })
	case dispatch.SendGossip:
		if s.gossip != nil {
			s.gossip.Send(a.To, a.Entries)
		}
	case dispatch.WatchEndpoints:
		s.endpoints.Watch()
	case dispatch.Log:
		s.log.Info(a.Text)
	}
}

func (s *service) requestAnswered(inv dispatch.InvocationID) {
	if j := s.requests[inv]; j != nil {
		s.releaseIfDone(inv, j)
	}
}

// publish lets operators see the figures as they stand.
func (s *service) publishTotals() {
	f := s.ledger.Totals(s.workers.EndpointCount(), s.dispatcher.Ejected())
	s.publishedTotals.Store(&f)
	s.publishedChanges, s.publishTimer = s.ledger.Changes, nil
}

// report is the counters as JSON.
func (s *service) countsReport() []byte {
	spread := func(h *hdrhistogram.Histogram) map[string]int64 {
		return map[string]int64{"p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
			"p99": h.ValueAtQuantile(99), "max": h.Max()}
	}
	told := map[string]uint64{}
	if s.gossip != nil {
		told = s.gossip.CountsByName()
	}
	turns, stored := s.loop.Iterations(), memory()
	text, err := json.Marshal(map[string]any{
		"turns":      map[string]int64{"count": turns.Count, "worst_us": turns.Worst.Microseconds(), "worst_10s_us": turns.WorstRecent.Microseconds()},
		"heap_bytes": stored[heapLive], "allocations": stored[heapAllocs], "collections": stored[gcCycles],
		"peers":       told,
		"invocations": s.ledger.Totals(s.workers.EndpointCount(), s.dispatcher.Ejected()), "clients": s.clients.Counts, "connections_ended": s.clients.ClosedConnections, "workers": s.workers.Counts, "guard": s.workers.Invariants.Counts, "refused": s.answersByReason, "watches": s.endpoints.WatchesStarted, "clock_steps": s.endpoints.ClockSteps(), "in_hand": s.clients.InFlight(),
		"out": s.workers.InFlight(), "panics": s.panics, "sockets": s.clientQuota.Used() + s.workerQuota.Used(), "served_us": spread(s.servingLatency),
		"decided_us": spread(s.decisionLatency),
	})
	if err != nil {
		return []byte("{}")
	}
	return text
}
