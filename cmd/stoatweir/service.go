package main

import (
	"math/rand/v2"
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
	"stoatweir/internal/workers"
)

const (
	// noDecision is a time of the event loop before the first decision.
	noDecision time.Duration = -1

	// maxServingLatency is the longest serving latency that the histogram tells apart.
	maxServingLatency = time.Minute
	// servingLatencyDigits is the histogram's precision in decimal digits.
	servingLatencyDigits = 3
	// maxDecisionLatency is the longest decision latency that the histogram tells apart.
	maxDecisionLatency = 10 * time.Second
	// decisionLatencyDigits is the histogram's precision in decimal digits.
	decisionLatencyDigits = 2
)

// service connects the dispatcher with the world: one event loop owns it, hands it what has happened and executes what it
// decides. Unless a field says otherwise, the event loop's goroutine alone uses it once run has begun.
type service struct {
	log  *logrus.Entry
	loop *conn.Loop

	// process is the configuration of the start. Its discovery address and its text follow reloads.
	process settings.Process
	// configured are the settings of the newest configuration, without the operations that tenants add.
	configured settings.Deployment
	// deployment are the settings in force: configured with the tenants' operations, with stable indices over reloads.
	deployment settings.Deployment

	// The parts. They report to the service by their hooks, which connect sets.
	clients   *clients.Server
	workers   *workers.Transport
	endpoints *discovery.Watcher
	takeover  *takeover.Manager
	gossip    *gossip.Transport // nil: there are no other schedulers
	tenancy   *tenancy          // nil: no tenants are served

	// clientQuota are the descriptors for connections of clients, and of workers that send callbacks.
	clientQuota *conn.Quota
	// workerQuota are the descriptors for connections to workers.
	workerQuota *conn.Quota

	// dispatcher decides. It is replaced if it panics.
	dispatcher *dispatch.Dispatcher
	// seed is the random seed of the present dispatcher; each next one gets the next number.
	seed int64
	// events are what the dispatcher has not been notified of yet, in the order in which they happened.
	events []dispatch.Event
	// lastDecision is the time that the dispatcher was called with last; each call is later than the one before.
	lastDecision time.Duration
	// dispatchTimer is the last one that the dispatcher has set; it sets one at a time.
	dispatchTimer *conn.Timer
	// requests are those that the dispatcher may still speak of.
	requests map[dispatch.InvocationID]*trackedRequest
	// migrating are requests that are on their way to a successor and may come back. None is in requests too.
	migrating map[dispatch.InvocationID]*trackedRequest

	lifecycle lifecycle.Lifecycle
	// lifecycleTimer rings when the behavior changes next.
	lifecycleTimer *conn.Timer
	// publishedState is the lifecycle.State, for any goroutine.
	publishedState atomic.Uint32

	// cachedEndpoints is the endpoint list that the configuration brought; nil: none.
	cachedEndpoints []byte
	// failedWatches is how many watches of a pushed endpoint list have failed in a row.
	failedWatches int
	// random is for what the dispatcher does not decide.
	random *rand.Rand

	// ledger accounts for requests.
	ledger *accounting.Ledger
	// publishedTotals are the ledger's for any goroutine; nil: not published yet.
	publishedTotals atomic.Pointer[accounting.Totals]
	// publishedChanges is the ledger's number of changes at that time.
	publishedChanges int
	// publishTimer rings when totals are published next; nil: nothing has happened since.
	publishTimer *conn.Timer
	// answersByReason counts answers other than results.
	answersByReason map[string]int
	// reasonOverride is the reason of the answers that are being given, if it is not the dispatcher's; else empty.
	reasonOverride string
	// panics counts those that were recovered.
	panics int
	// servingLatency is the time from a request's arrival to its answer, in microseconds.
	servingLatency *hdrhistogram.Histogram
	// decisionLatency is the time that calls of the dispatcher take, in microseconds.
	decisionLatency *hdrhistogram.Histogram
}

// newService makes a service that does not serve yet.
func newService(process settings.Process, log *logrus.Entry) (*service, error) {
	start := time.Now()
	loop := conn.NewLoop(start)
	clientQuota := loop.NewQuota(0)
	workerQuota := loop.NewQuota(0)
	ledger := accounting.New()
	s := &service{
		log:             log,
		loop:            loop,
		process:         process,
		configured:      process.Deployment,
		clients:         clients.New(loop, process.Deployment, clientQuota, ledger),
		workers:         workers.NewTransport(loop, process.Deployment, workerQuota),
		endpoints:       discovery.New(loop, process.Discovery, process.Deployment.Zones, process.Deployment.Kinds, start),
		clientQuota:     clientQuota,
		workerQuota:     workerQuota,
		seed:            process.Seed,
		lastDecision:    noDecision,
		requests:        map[dispatch.InvocationID]*trackedRequest{},
		migrating:       map[dispatch.InvocationID]*trackedRequest{},
		cachedEndpoints: process.CachedEndpoints,
		random:          rand.New(rand.NewPCG(uint64(process.Seed), uint64(start.UnixNano()))),
		ledger:          ledger,
		answersByReason: map[string]int{},
		servingLatency:  hdrhistogram.New(1, maxServingLatency.Microseconds(), servingLatencyDigits),
		decisionLatency: hdrhistogram.New(1, maxDecisionLatency.Microseconds(), decisionLatencyDigits),
	}
	deployment, err := s.openTenants(process)
	if err != nil {
		return nil, err
	}
	applySocketRules(&deployment.Dispatch)
	s.deployment = deployment
	s.dispatcher = dispatch.New(deployment.Dispatch, process.Seed)
	s.clients.Reconfigure(deployment)
	s.applyPollInterval()
	s.takeover = takeover.New(takeover.Config{
		Loop:          loop,
		Clients:       s.clients,
		Workers:       s.workers,
		Endpoints:     s.endpoints,
		Service:       s,
		Log:           log,
		ProcessName:   process.Name,
		ListenAddress: process.Listen,
		Sockets:       process.Sockets,
		MemoryMB:      process.MemoryMB,
	})
	s.connect()
	s.setSocketLimit(process.Sockets)
	s.openGossip(start)
	installFaultInjection(s)
	log.WithField("features", deployment.Features).Info("deployment configured")
	return s, nil
}

// connect sets the hooks by which the parts report to the service and to each other.
func (s *service) connect() {
	s.clients.Invariants = s.workers.Invariants
	s.clients.OnEvent = s.Notify
	s.clients.OnRequest = s.trackRequest
	s.clients.OnCallback = s.workers.HandleCallback
	s.clients.RelayCallback = s.takeover.RelayCallback
	s.clients.OwnedByPeer = s.takeover.OwnedByPeer
	s.clients.OnOwnership = s.takeover.AnnounceOwnership
	s.clients.OnServed = func(latency time.Duration) { s.servingLatency.RecordValue(latency.Microseconds()) }
	s.clients.Behavior = func() lifecycle.Behavior { return s.lifecycle.Behavior(s.loop.Now()) }
	s.clients.Reason = s.answerReason
	s.clients.Counters = s.countsReport
	s.clients.History = s.requestHistory

	s.workers.Invariants.OnViolation = s.logViolation
	s.workers.OnEvent = s.Notify
	s.workers.OnWritten = s.ledger.Forwarded
	s.workers.Deliver = s.clients.Deliver
	s.workers.AwaitsAnswer = s.clients.AwaitsAnswer
	s.workers.ClientWaiting = s.clients.ClientWaiting

	s.endpoints.Rand = s.random
	s.endpoints.OnUpdate = s.handleEndpointUpdate
	s.endpoints.OnFailure = func(reason string) { s.log.WithField("reason", reason).Warn("endpoint watch failed") }

	s.loop.Panicked = s.recordPanic
}

// openGossip begins to exchange messages with other schedulers, if there are any.
func (s *service) openGossip(start time.Time) {
	if len(s.process.Peers) == 0 {
		return
	}
	onError := func(err error) { s.log.WithError(err).Warn("gossip address unavailable, retrying") }
	s.gossip = gossip.Open(s.loop, s.process.Peers, s.deployment.Dispatch.Index, start, onError)
	s.gossip.OnReceive = func(received dispatch.GossipReceived) { s.Notify(received) }
}
