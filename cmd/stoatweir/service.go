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
	// noDecision is the value of lastDecision before the first decision. It is below all event-loop
	// times.
	noDecision time.Duration = -1

	// maxServingLatency is the upper bound of the serving latency histogram.
	maxServingLatency = time.Minute
	// servingLatencyDigits is the precision of the serving latency histogram in significant decimal
	// digits.
	servingLatencyDigits = 3
	// maxDecisionLatency is the upper bound of the decision latency histogram.
	maxDecisionLatency = 10 * time.Second
	// decisionLatencyDigits is the precision of the decision latency histogram in significant
	// decimal digits.
	decisionLatencyDigits = 2
)

// service connects the dispatcher to the network. A single event loop passes events to the
// dispatcher and executes its actions. Unless a field's comment says otherwise, only the event
// loop's goroutine may access the fields once run has been called.
type service struct {
	log  *logrus.Entry
	loop *conn.Loop

	// process is the configuration that the process was started with. Reloads update only its
	// discovery address and its text.
	process settings.Process
	// configured holds the settings of the latest configuration, without the operations that
	// tenants add.
	configured settings.Deployment
	// deployment holds the settings in force: configured together with the tenants' operations. The
	// indices of operations in use are stable across reloads.
	deployment settings.Deployment

	// The components of the service. They report to it through hooks, which connect sets.
	clients   *clients.Server
	workers   *workers.Transport
	endpoints *discovery.Watcher
	takeover  *takeover.Manager
	gossip    *gossip.Transport // nil if there are no other schedulers
	tenancy   *tenancy          // nil if no tenants are served

	// clientQuota limits the descriptors for connections from clients and from workers that send
	// callbacks.
	clientQuota *conn.Quota
	// workerQuota limits the descriptors for connections to workers.
	workerQuota *conn.Quota

	// dispatcher makes all scheduling decisions. It is replaced by a new one if it panics.
	dispatcher *dispatch.Dispatcher
	// seed is the random seed of the current dispatcher. It is incremented for each replacement.
	seed int64
	// events holds the events that have not been passed to the dispatcher yet, in the order in
	// which they occurred.
	events []dispatch.Event
	// lastDecision is the time that was passed to the dispatcher in its last call. It increases
	// strictly from call to call.
	lastDecision time.Duration
	// dispatchTimer is the timer that the dispatcher has set. The dispatcher has at most one;
	// setting another replaces it.
	dispatchTimer *conn.Timer
	// requests holds the requests that dispatcher actions may still refer to.
	requests map[dispatch.InvocationID]*trackedRequest
	// migrating holds the requests that are being migrated to a successor and may come back. None
	// of them is in requests.
	migrating map[dispatch.InvocationID]*trackedRequest

	lifecycle lifecycle.Lifecycle
	// lifecycleTimer fires when the behavior that lifecycle prescribes changes next.
	lifecycleTimer *conn.Timer
	// publishedState is a copy of the lifecycle.State that any goroutine may read.
	publishedState atomic.Uint32

	// cachedEndpoints is the endpoint list from the configuration, as text. It is nil if there is
	// none.
	cachedEndpoints []byte
	// failedWatches is the number of consecutive failed watches of a pushed endpoint list.
	failedWatches int
	// random is the random source for choices outside of the dispatcher, such as jitter.
	random *rand.Rand

	// ledger counts requests and attempts for the totals that operators see.
	ledger *accounting.Ledger
	// publishedTotals is a copy of the totals that any goroutine may read. It is nil until they are
	// first published.
	publishedTotals atomic.Pointer[accounting.Totals]
	// publishedChanges is the ledger's ModificationCount when the totals were last published.
	publishedChanges int
	// publishTimer fires when the totals are next published. It is nil if no publication is
	// scheduled.
	publishTimer *conn.Timer
	// answersByReason counts the answers that are not results, by their reason.
	answersByReason map[string]int
	// reasonOverride replaces the dispatcher's reason in answers that are sent while it is set. It
	// is empty otherwise.
	reasonOverride string
	// panics is the number of recovered panics.
	panics int
	// servingLatency records the time from the arrival of a request to its answer, in microseconds.
	servingLatency *hdrhistogram.Histogram
	// decisionLatency records the duration of dispatcher calls, in microseconds.
	decisionLatency *hdrhistogram.Histogram
}

// newService creates a service. It does not serve until run is called.
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
		endpoints:       discovery.NewWatcher(loop, process.Discovery, process.Deployment.Zones, process.Deployment.Kinds, start),
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

// connect sets the hooks through which the components report to the service and to each other.
func (s *service) connect() {
	s.clients.Invariants = s.workers.Invariants
	s.clients.OnEvent = s.Notify
	s.clients.OnRequest = s.trackRequest
	s.clients.OnCallback = s.workers.HandleCallback
	s.clients.RelayCallback = s.takeover.RelayCallback
	s.clients.IDInUseAtPeer = s.takeover.IDInUseAtPeer
	s.clients.OnIDUseChanged = s.takeover.AnnounceOwnership
	s.clients.OnResultDelivered = func(latency time.Duration) { s.servingLatency.RecordValue(latency.Microseconds()) }
	s.clients.Behavior = func() lifecycle.Behavior { return s.lifecycle.Behavior(s.loop.Now()) }
	s.clients.Reason = s.answerReason
	s.clients.CountersPage = s.countsReport
	s.clients.HistoryPage = s.requestHistory

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

// openGossip opens the gossip transport if the configuration names other schedulers.
func (s *service) openGossip(start time.Time) {
	if len(s.process.Peers) == 0 {
		return
	}
	onError := func(err error) { s.log.WithError(err).Warn("gossip address unavailable, retrying") }
	s.gossip = gossip.Open(s.loop, s.process.Peers, s.deployment.Dispatch.SchedulerIndex, start, onError)
	s.gossip.OnReceive = func(received dispatch.GossipReceived) { s.Notify(received) }
}
