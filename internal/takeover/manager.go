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

// maxLoggedKindBytes is how much of the kind of an unknown message is logged.
const maxLoggedKindBytes = 40

// Config has the dependencies and settings of a Manager.
type Config struct {
	Loop      *conn.Loop
	Clients   *clients.Server
	Workers   *workers.Transport
	Endpoints *discovery.Watcher
	Service   Service
	Log       *logrus.Entry

	// ProcessName is the configured name of this process. A successor with another name is rejected.
	ProcessName string
	// ListenAddress is the TCP address that clients use.
	ListenAddress string
	// Sockets is the descriptor quota of this process while no other process shares its address.
	Sockets int
	// MemoryMB is the memory quota in MiB of this process while no other process shares its address.
	MemoryMB int
}

// Manager handles the link to the predecessor or the successor of this process; there is at most one
// such peer at a time. All methods must be called from the event loop's goroutine.
type Manager struct {
	loop      *conn.Loop
	clients   *clients.Server
	workers   *workers.Transport
	endpoints *discovery.Watcher
	service   Service
	log       *logrus.Entry

	// processName, listenAddress, sockets and memoryMB are copied from Config.
	processName   string
	listenAddress string
	sockets       int
	memoryMB      int

	// address is set once, by Start.
	address Address
	// accepting is true once connections are accepted, and stays true.
	accepting bool
	// snapshotRequested is true once the snapshot has been requested, which is done at most once.
	snapshotRequested bool
	// listener is the Unix socket at which a successor connects; nil: it can't. It is set at most once,
	// together with accepting.
	listener *handover.Listener
	// peer is the other process at the same address; nil: there is none, or it can't be reached.
	peer *peer
}

// role tells whether a peer is the predecessor or the successor of this process.
type role uint8

const (
	// rolePredecessor is the role of a process that this one replaces.
	rolePredecessor role = iota + 1
	// roleSuccessor is the role of a process that replaces this one.
	roleSuccessor
)

// peer is the state of the link with the other process. It ends when the link is closed:
// Manager.handleExit then settles the callbacks and migrations that the peer has not answered.
type peer struct {
	link *handover.Link
	role role
	// requestIDs are the IDs of the requests in flight in the peer.
	requestIDs map[string]bool
	// sequence is the sequence number of the last message sent that requires an answer.
	sequence uint64
	// callbacks are the relayed callbacks that the peer has not answered yet, by sequence number.
	callbacks map[uint64]*pendingCallback
	// migrations are the connections sent to the peer that it has not answered for yet, by sequence
	// number; at most maxMigrationsInFlight.
	migrations map[uint64]*migration
}

// taskFunc is a function to be run as a conn.Task on the event loop.
type taskFunc func()

// Run implements conn.Task.
func (t taskFunc) Run() { t() }

// New returns a Manager for a process that has not acquired its address yet. Start provides it.
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

// Start sets the address, and links with the predecessor that was found there, if any. Connections are
// accepted immediately if no other process serves the address, otherwise once this process is ready or
// its predecessor has exited.
func (m *Manager) Start(address Address) {
	m.address = address
	if address.Predecessor != nil {
		m.startLink(address.Predecessor.Link, rolePredecessor)
		m.service.PredecessorChanged(true)
	}
	if !address.Shared {
		m.startAccepting()
	}
}

// Close closes the socket at which a successor can connect.
func (m *Manager) Close() { m.listener.Close() }

// startLink makes the process at the other end of a link the peer, and starts the link.
func (m *Manager) startLink(link *handover.Link, peerRole role) {
	p := &peer{
		link:       link,
		role:       peerRole,
		requestIDs: map[string]bool{},
		callbacks:  map[uint64]*pendingCallback{},
		migrations: map[uint64]*migration{},
	}
	m.peer = p
	onMessage := func(message handover.Message) { m.loop.Post(taskFunc(func() { m.handleMessage(p, message) })) }
	onClose := func() { m.loop.Post(taskFunc(func() { m.handleExit(p) })) }
	link.Start(onMessage, onClose)
}

// startAccepting starts to accept client connections and to listen for a successor. It does nothing if
// called again.
func (m *Manager) startAccepting() {
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
	go listener.Serve(func(h *handover.Handshake) { m.loop.Post(taskFunc(func() { m.handleHandshake(h) })) })
}

// handleMessage handles a message of the peer. A message that is still queued when the peer's exit has
// been handled is ignored.
func (m *Manager) handleMessage(p *peer, message handover.Message) {
	if message.File != nil {
		defer message.File.Close()
	}
	if m.peer != p {
		return
	}
	switch message.Kind {
	case handover.KindReady:
		if p.role == roleSuccessor {
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
		m.log.WithField("kind", fmt.Sprintf("%.*s", maxLoggedKindBytes, message.Kind)).Warn("unknown message ignored")
	}
}

// handleExit handles the close of the link: the peer has exited, or hangs. This process takes back the
// full quotas, the unanswered migrations and the unanswered callbacks.
func (m *Manager) handleExit(p *peer) {
	if m.peer != p {
		return
	}
	m.peer = nil
	m.service.SetQuotas(m.sockets, m.memoryMB)
	m.failMigrations(p)
	m.resolveCallbacks(p)
	if p.role == rolePredecessor {
		m.log.Info("predecessor exited")
		m.startAccepting() // even if not ready: no other process serves the connections in the accept queue
		m.service.PredecessorChanged(false)
		return
	}
	m.log.Info("successor exited")
	m.service.SuccessorExited()
}
