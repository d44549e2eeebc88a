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
	"stoatweir/internal/handover"
	"stoatweir/internal/lifecycle"
	"stoatweir/internal/settings"
	"stoatweir/internal/tenants"
	"stoatweir/internal/workers"
)

const (
	otherFiles = 16          // descriptors that are no connections: standard ones, poller, listener, a successor's
	listWithin = time.Second // a start without a known list waits so long for one
	// With a known list there is no time to lose: while schedulers are restarted in turn, the next one may have been
	// stopped already, and clients have nobody to ask. Who has gone since shows by itself, and the list follows.
	knownWithin = 50 * time.Millisecond
	// What the list has to tell counts as told 6 s later, whether or not it has come: that is the span in which a
	// watch that has failed must stand again, however long the settings allow not to ask.
	toldWithin = 5 * time.Second
	againAfter = 20 * time.Millisecond
	// Between watches of a pushed list that fail in a row; inside toldWithin, with what a call may take, and inside the grace
	// that the settings give: what is pushed at the return of whoever carries the list counts as told at once.
	pushedFirst, pushedMost, pushedLeast = 250 * time.Millisecond, 2 * time.Second, 50 * time.Millisecond
	// publishAfter is how old the figures that operators see may be, at most, while something happens.
	publishAfter = 100 * time.Millisecond
	leaveLook    = 10 * time.Millisecond
)

// service is the wiring: one loop owns the module, hands it what has happened and carries out what it decides.
type service struct {
	loop   *conn.Loop
	ours   *conn.Quota // of the descriptors: for clients and news
	theirs *conn.Quota // for workers
	log    *logrus.Entry
	book   *accounting.Ledger
	core   *dispatch.Dispatcher
	door   *clients.Server
	fleet  *workers.Transport
	list   *discovery.Watcher
	node   settings.Process // as it was at the start, but for discovery
	site   settings.Deployment
	base   settings.Deployment // as the configuration has it, without what tenants add
	known  []byte
	events []dispatch.Event
	invs   map[dispatch.InvocationID]*tracked
	wake   *conn.Timer
	steps  *conn.Timer   // of the life cycle
	last   time.Duration // when the module was last asked

	at            address
	opened        bool               // clients are let in
	studies       bool               // what the process before has learned was asked for
	post          *handover.Listener // where a successor finds us; nil: nowhere
	road          *gossip.Transport  // to other schedulers; nil: none
	hosting       *hosting           // nil: no tenants are served
	bond          *bond              // nil: no other process serves at our address
	life          lifecycle.Lifecycle
	stands        atomic.Uint32 // the state of life, for operators
	figures       atomic.Pointer[accounting.Totals]
	published     int         // changes of the ledger that these hold
	publishing    *conn.Timer // nil: nothing has happened since
	seed          int64
	chance        *rand.Rand // for what the module does not decide
	unlisted      int        // watches of a pushed list that failed in a row
	panics        int
	givenUp       map[string]int // answers other than a result, by why they were given
	why           string         // answers are given now, if not by the module's word
	waits, thinks *hdrhistogram.Histogram
}

// tracked is an invocation while the module may still speak of it.
type tracked struct {
	*workers.Invocation
	operation     int
	forwards, out int
	seat          *tenants.Account // nil: nobody's
	sent          []time.Duration  // when each forward was, where it is somebody's
}

func newService(node settings.Process, log *logrus.Entry) (*service, error) {
	start, given := time.Now(), node
	loop := conn.NewLoop(start)
	ours, theirs, book := loop.NewQuota(0), loop.NewQuota(0), accounting.New()
	s := &service{loop: loop, ours: ours, theirs: theirs, log: log, book: book, node: given, base: given.Deployment, known: node.CachedEndpoints, invs: map[dispatch.InvocationID]*tracked{}, givenUp: map[string]int{},
		seed: node.Seed, last: -1,
		door:  clients.New(loop, node.Deployment, ours, book),
		fleet: workers.NewTransport(loop, node.Deployment, theirs),
		list:  discovery.New(loop, node.Discovery, node.Deployment.Zones, node.Deployment.Kinds, start),
		waits: hdrhistogram.New(1, time.Minute.Microseconds(), 3), thinks: hdrhistogram.New(1, 1e7, 2)}
	if err := s.host(&node); err != nil {
		return nil, err
	}
	onSockets(&node.Deployment.Dispatch)
	s.site, s.core = node.Deployment, dispatch.New(node.Deployment.Dispatch, node.Seed)
	s.door.Reconfigure(node.Deployment)
	event := func(e dispatch.Event) { s.events = append(s.events, e) }
	s.chance = rand.New(rand.NewPCG(uint64(node.Seed), uint64(start.UnixNano())))
	s.list.Rand = s.chance
	s.askWithin()
	s.door.OnEvent, s.fleet.OnEvent = event, event
	s.door.OnRequest = func(j *workers.Invocation, operation int) {
		j.Effect = s.effect(operation)
		s.invs[j.Number] = &tracked{Invocation: j, operation: operation, seat: s.hosting.came(j.ID)}
		s.fleet.Invariants.RequestAdmitted(j.Number, s.terms(j, operation))
	}
	s.door.Invariants, s.door.Reason, s.fleet.Invariants.OnViolation = s.fleet.Invariants, s.reason, s.violated
	s.door.OnCallback, s.door.Counters, s.door.History = s.fleet.HandleCallback, s.report, s.historyOf
	s.door.RelayCallback, s.door.OwnedByPeer, s.door.OnOwnership = s.relay, s.foreign, s.holds
	s.door.OnServed = func(t time.Duration) { s.waits.RecordValue(t.Microseconds()) }
	s.door.Behavior = func() lifecycle.Behavior { return s.life.Behavior(loop.Now()) }
	s.fleet.Deliver, s.fleet.AwaitsAnswer, s.fleet.ClientWaiting, s.fleet.OnWritten = s.door.Deliver, s.door.AwaitsAnswer, s.door.ClientWaiting, book.Forwarded
	s.list.OnUpdate, loop.Panicked = s.told, s.panicked
	s.list.OnFailure = func(why string) { log.Warn("the watch of the list has failed: ", why) }
	s.resize(node.Sockets)
	if len(node.Peers) > 0 {
		s.road = gossip.Open(loop, node.Peers, node.Deployment.Dispatch.Index, start, func(err error) {
			log.WithError(err).Warn("peers: our address can't be had, nothing is told until it can")
		})
		s.road.OnReceive = func(t dispatch.GossipReceived) { s.events = append(s.events, t) }
	}
	installShims(s)
	log.Info("deployment: ", node.Deployment.Features)
	return s, nil
}

// effect is an operation's effect class.
func (s *service) effect(operation int) dispatch.Effect {
	return s.site.Dispatch.Operations[operation].Effect
}

// onSockets adds what holds on sockets, whatever the settings say.
func onSockets(d *dispatch.Config) {
	d.Rules.PollWithin = min(d.Rules.PollWithin, toldWithin)
	d.NotifiesAccepted = true
}

// resize sets how many descriptors there are in all.
func (s *service) resize(sockets int) {
	sockets -= otherFiles
	if s.node.Admin != "" {
		sockets -= operatorsMost + 2 // their listener, and the one that is let in before another goes
	}
	if s.hosting != nil {
		sockets -= apiFiles
	}
	// Clients and news have five eighths of the descriptors, four for invocations in hand; workers have the rest.
	s.door.SetMaxInFlight(sockets / 2)
	s.ours.Resize(sockets - sockets*3/8)
	s.theirs.Resize(sockets * 3 / 8)
}

// run serves until the order to stop has been carried out.
func (s *service) run(at address) {
	s.at = at
	within := listWithin
	if len(s.known) > 0 {
		list, err := s.list.Parse(s.known)
		if err != nil {
			s.log.Warn("known: ", err) // discovery will tell
		}
		if list.Kind = dispatch.FullUpdate; len(list.Workers) > 0 && !at.shared {
			within = knownWithin
		}
		s.fleet.ApplyUpdate(list)
		s.events = append(s.events, list.EndpointUpdate())
	}
	if at.shared {
		within = sharedWithin
	}
	s.loop.After(within, s.knows) // with discovery down we must serve too
	s.meet()
	if s.site.Dispatch.EndpointsPushed {
		s.list.Watch() // the module does not ask where changes come unasked; here all is asked for
	}
	if s.hosting != nil {
		s.hosting.share()
	}
	s.events = append(s.events, dispatch.TimerFired{}) // the module has things to begin, also where nothing is known
	s.decide()
	s.publish()
	s.loop.Run(s.decide)
	for _, inv := range s.door.Unanswered() {
		s.fleet.Invariants.CheckClose(inv)
	}
	s.post.Close()
	s.road.Close()
	if s.hosting != nil {
		s.hosting.registry.Close()
	}
}

// askWithin tells the watcher what time the settings give for asking.
func (s *service) askWithin() {
	if s.list.PollWithin = 0; !s.site.Dispatch.EndpointsPushed {
		s.list.PollWithin = s.base.Dispatch.Rules.PollWithin
	}
}

// told takes news of the list in.
func (s *service) told(list discovery.Update) {
	if list.Kind != dispatch.WatchFailed {
		s.fleet.ApplyUpdate(list)
		s.loop.After(s.settling(), s.study)
		s.unlisted = 0
	} else if s.site.Dispatch.EndpointsPushed {
		s.loop.After(s.pause(), s.watch) // the module does not ask where changes come unasked
		s.unlisted++
	}
	s.events = append(s.events, list.EndpointUpdate())
}

// watch begins the next watch, unless a call that was late has come to its turn meanwhile.
func (s *service) watch() {
	if !s.list.Established() {
		s.list.Watch()
	}
}

// pause is how long the next watch of a pushed list waits. A pool must not come back to its list all at once.
func (s *service) pause() time.Duration {
	most := pushedMost
	if s.site.DrainGrace > 0 {
		most = min(most, max(s.site.DrainGrace/2, pushedLeast))
	}
	wait := min(pushedFirst<<min(s.unlisted, 8), most)
	return wait/2 + time.Duration(s.chance.Int64N(int64(wait/2)))
}

// decide asks the module for as long as something has happened; what it orders can make things happen.
func (s *service) decide() {
	if s.node.Admin != "" && s.publishing == nil && (len(s.events) > 0 || s.book.Changes != s.published) {
		s.publishing = s.loop.After(publishAfter, s.publish)
	}
	for len(s.events) > 0 {
		events := s.events
		s.events = nil
		now := max(s.loop.Now(), s.last+1)
		s.last = now
		began := time.Now()
		actions, sound := s.ask(now, events)
		if !sound {
			s.restart()
			return
		}
		s.thinks.RecordValue(time.Since(began).Microseconds())
		for _, event := range events {
			s.ended(event)
		}
		for _, action := range actions {
			s.carryOut(action)
		}
	}
}

// ask hands events to the module. A mistake in it must not end the program with all that is in hand.
func (s *service) ask(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, sound bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.panicked(cause)
		}
	}()
	return s.core.Handle(now, events), true
}

func (s *service) panicked(cause any) {
	s.panics++
	s.log.WithField("stack", string(debug.Stack())).Error("panic: ", cause)
}

// restart begins with a new module that knows the list and nothing else. What is in hand was in the old one's care:
// it is answered, and its forwards are given up.
func (s *service) restart() {
	s.log.Error("the decisions start anew; in hand: ", s.door.InFlight())
	s.failRest("the decisions start anew")
	for _, inv := range slices.Sorted(maps.Keys(s.invs)) {
		for fwd := range s.invs[inv].forwards {
			s.fleet.Cancel(inv, fwd)
		}
		s.door.ReleaseID(s.invs[inv].ID, s.invs[inv].forwards > 0)
	}
	s.invs = map[dispatch.InvocationID]*tracked{}
	s.seed++
	s.core = dispatch.New(s.site.Dispatch, s.seed)
	s.events = []dispatch.Event{s.fleet.Endpoints()}
	if s.hosting != nil {
		s.hosting.gate.Republish()
		s.hosting.share()
	}
	s.list.Watch()                      // the new one takes its first list for a sign that the watch stands
	s.loop.After(againAfter, func() {}) // not at once: whatever made it panic may still be so
}

// failRest answers all that is owed. Where nothing was ever sent, asking again is harmless whatever the operation.
func (s *service) failRest(why string) {
	s.why = why
	defer func() { s.why = "" }()
	for _, inv := range s.door.Unanswered() {
		if j := s.invs[inv]; j != nil && j.forwards == 0 {
			s.door.Throttle(inv, 0)
		} else {
			s.door.Fail(inv)
		}
		s.events = append(s.events, dispatch.ClientDisconnected{Invocation: inv})
	}
}

// ended counts the forwards that are out.
func (s *service) ended(event dispatch.Event) {
	inv, _ := event.About()
	if j := s.invs[inv]; j != nil {
		if o, is := event.(dispatch.Outcome); is {
			j.out--
			s.hosting.worked(j, o)
		}
		s.settle(inv, j)
	}
}

// settle lets an invocation go when its client has its answer and no forward is out.
func (s *service) settle(inv dispatch.InvocationID, j *tracked) {
	if j.out <= 0 && !s.door.AwaitsAnswer(inv) {
		delete(s.invs, inv)
		s.door.ReleaseID(j.ID, j.forwards > 0)
	}
}

func (s *service) carryOut(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Forward:
		if j := s.invs[a.Invocation]; j != nil {
			j.forwards++
			j.out++
			if j.seat != nil {
				j.sent = append(j.sent, s.loop.Now())
			}
			s.fleet.Forward(j.Invocation, j.forwards-1, a.Worker, a.NotAfter)
		}
	case dispatch.Throttle:
		s.door.Throttle(a.Invocation, a.RetryAfter)
		s.answered(a.Invocation)
	case dispatch.Fail:
		s.door.Fail(a.Invocation)
		s.answered(a.Invocation)
	case dispatch.Cancel:
		s.fleet.Cancel(a.Invocation, a.Attempt)
	case dispatch.HealthCheck:
		s.fleet.HealthCheck(a.Worker)
	case dispatch.SetTimer:
		s.wake.Stop()
		s.wake = s.loop.After(a.At-s.loop.Now(), func() { s.events = append(s.events, dispatch.TimerFired{}) })
	case dispatch.SendGossip:
		if s.road != nil {
			s.road.Send(a.To, a.Entries)
		}
	case dispatch.WatchEndpoints:
		s.list.Watch()
	case dispatch.Log:
		s.log.Info(a.Text)
	}
}

func (s *service) answered(inv dispatch.InvocationID) {
	if j := s.invs[inv]; j != nil {
		s.settle(inv, j)
	}
}

// publish lets operators see the figures as they stand.
func (s *service) publish() {
	f := s.book.Totals(s.fleet.EndpointCount(), s.core.Ejected())
	s.figures.Store(&f)
	s.published, s.publishing = s.book.Changes, nil
}

// report is the counters as JSON.
func (s *service) report() []byte {
	spread := func(h *hdrhistogram.Histogram) map[string]int64 {
		return map[string]int64{"p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
			"p99": h.ValueAtQuantile(99), "max": h.Max()}
	}
	told := map[string]uint64{}
	if s.road != nil {
		told = s.road.CountsByName()
	}
	turns, stored := s.loop.Iterations(), memory()
	text, err := json.Marshal(map[string]any{
		"turns":      map[string]int64{"count": turns.Count, "worst_us": turns.Worst.Microseconds(), "worst_10s_us": turns.WorstRecent.Microseconds()},
		"heap_bytes": stored[heapLive], "allocations": stored[heapAllocs], "collections": stored[gcCycles],
		"peers":       told,
		"invocations": s.book.Totals(s.fleet.EndpointCount(), s.core.Ejected()), "clients": s.door.Counts, "connections_ended": s.door.ClosedConnections, "workers": s.fleet.Counts, "guard": s.fleet.Invariants.Counts, "refused": s.givenUp, "watches": s.list.WatchesStarted, "clock_steps": s.list.ClockSteps(), "in_hand": s.door.InFlight(),
		"out": s.fleet.InFlight(), "panics": s.panics, "sockets": s.ours.Used() + s.theirs.Used(), "served_us": spread(s.waits),
		"decided_us": spread(s.thinks),
	})
	if err != nil {
		return []byte("{}")
	}
	return text
}
