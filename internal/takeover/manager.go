package takeover

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/clients"
	"stoatweir/internal/conn"
	"stoatweir/internal/discovery"
	"stoatweir/internal/handover"
	"stoatweir/internal/workers"
)

// maxLoggedKind is how many bytes of an unknown message's kind are logged.
const maxLoggedKind = 40

// Config has what a Manager works with.
type Config struct {
	Loop      *conn.Loop
	Clients   *clients.Server
	Workers   *workers.Transport
	Endpoints *discovery.Watcher
	Service   Service
	Log       *logrus.Entry

	// ProcessName is the configured name, which a successor must share.
	ProcessName string
	// ListenAddress is the TCP address that clients use.
	ListenAddress string
	// Sockets is the quota of descriptors of this process while it is alone.
	Sockets int
	// MemoryMB is its quota of memory in MiB while it is alone.
	MemoryMB int
}

// Manager connects this process with its predecessor or its successor, of which it has at most one at a time. The event
// loop's goroutine owns it.
type Manager struct {
	loop      *conn.Loop
	clients   *clients.Server
	workers   *workers.Transport
	endpoints *discovery.Watcher
	service   Service
	log       *logrus.Entry

	// processName, listenAddress, sockets and memoryMB are those of Config.
	processName   string
	listenAddress string
	sockets       int
	memoryMB      int

	// address is set by Start, once.
	address Address
	// accepting says that connections are accepted. It never becomes false again.
	accepting bool
	// snapshotRequested says that the predecessor was asked for its snapshot, which happens once.
	snapshotRequested bool
	// listener is where a successor connects; nil: it can't. It is set at most once, when accepting is.
	listener *handover.Listener
	// peer is the other process at our address; nil: there is none that we could talk to.
	peer *peer
}

// role is what the other process is to this one.
type role uint8

const (
	// predecessor serves already and is to be replaced by this process.
	predecessor role = iota + 1
	// successor replaces this process.
	successor
)

// peer is the other process. A link that is closed ends it: what it leaves unanswered is settled by Manager.handleExit.
type peer struct {
	link *handover.Link
	// role is what the other process is to this one.
	role role
	// requestIDs are the requests in flight there.
	requestIDs map[string]bool
	// sequence is the number of the last message that has an answer.
	sequence uint64
	// callbacks are those that it was asked about and has not answered, by sequence number.
	callbacks map[uint64]*pendingCallback
	// migrations are connections that it has not answered for yet, by sequence number. At most maxMigrations are offered.
	migrations map[uint64]*migration
}

// task is a function that runs on the event loop.
type task func()

// Run implements conn.Task.
func (t task) Run() { t() }

// New returns a Manager of a process that has no address yet.
func New(c Config) *Manager {
	return &Manager{
		loop:          c.Loop,
		clients:       c.Clients,
		workers:       c.Workers,
		endpoints:     c.Endpoints,
		service:       c.Service,
		log:           c.Log,
		processName:   c.ProcessName,
		listenAddress: c.ListenAddress,
		sockets:       c.Sockets,
		memoryMB:      c.MemoryMB,
	}
}

// Start begins to serve at an address: at once where nobody else does, else when this process is ready or its
// predecessor has exited.
func (m *Manager) Start(address Address) {
	m.address = address
	if address.Predecessor != nil {
		m.connect(address.Predecessor.Link, predecessor)
	}
	if !address.Shared {
		m.accept()
	}
}

// Close stops waiting for a successor.
func (m *Manager) Close() { m.listener.Close() }

// connect starts a link with the other process.
func (m *Manager) connect(link *handover.Link, peerRole role) {
	p := &peer{
		link:       link,
		role:       peerRole,
		requestIDs: map[string]bool{},
		callbacks:  map[uint64]*pendingCallback{},
		migrations: map[uint64]*migration{},
	}
	m.peer = p
	onMessage := func(message handover.Message) { m.loop.Post(task(func() { m.handleMessage(p, message) })) }
	onClose := func() { m.loop.Post(task(func() { m.handleExit(p) })) }
	link.Start(onMessage, onClose)
}

// accept accepts connections, and a successor.
func (m *Manager) accept() {
	if m.accepting {
		return
	}
	m.accepting = true
	m.clients.Listen(m.address.Listener)
	if m.address.socketPath == "" {
		return
	}
	listener, err := handover.Listen(m.address.socketPath)
	if err != nil {
		m.log.WithError(err).Info("successors can't connect")
		return
	}
	m.listener = listener
	go listener.Serve(func(h *handover.Handshake) { m.loop.Post(task(func() { m.handleHandshake(h) })) })
}

// handleMessage applies a message of the other process. One that came before its exit is ignored after it.
func (m *Manager) handleMessage(p *peer, message handover.Message) {
	if message.File != nil {
		defer message.File.Close()
	}
	if m.peer != p {
		return
	}
	switch message.Kind {
	case handover.KindReady:
		if p.role == successor {
			m.service.SuccessorServing()
		}
	case handover.KindIDsAcquired:
		for _, id := range message.IDs {
			p.requestIDs[id] = true
		}
	case handover.KindIDsReleased:
		for _, id := range message.IDs {
			delete(p.requestIDs, id)
		}
	case handover.KindCallback:
		m.handleCallback(p, message)
	case handover.KindCallbackResult:
		m.handleCallbackResult(p, message)
	case handover.KindSnapshotRequest:
		m.sendSnapshot(p)
	case handover.KindSnapshotPart:
		m.loadSnapshotPart(message)
	case handover.KindSnapshotEnd:
		m.service.EndpointsKnown()
	case handover.KindMigrate:
		adopted := m.adopt(message)
		p.link.Send(handover.Message{Kind: handover.KindMigrateResult, Sequence: message.Sequence, Accepted: adopted})
	case handover.KindMigrateResult:
		m.handleMigrateResult(p, message)
	default:
		m.log.WithField("kind", fmt.Sprintf("%.*s", maxLoggedKind, message.Kind)).Warn("unknown message ignored")
	}
}

// handleExit ends the link: the other process has exited, or hangs. What was on its way to it is ours again, as are its
// quotas.
func (m *Manager) handleExit(p *peer) {
	if m.peer != p {
		return
	}
	m.peer = nil
	m.service.SetQuotas(m.sockets, m.memoryMB)
	m.failMigrations(p)
	m.resolveCallbacks(p)
	if p.role == predecessor {
		m.log.Info("predecessor exited")
		m.accept() // also before we are ready: what is in the accept queue has nobody else
		return
	}
	m.log.Info("successor exited")
	m.service.SuccessorExited()
}
