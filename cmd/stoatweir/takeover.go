package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"stoatweir/internal/conn"
	"stoatweir/internal/handover"
	"stoatweir/internal/settings"
	"stoatweir/internal/workers"
)

const (
	// sharedWithin is how long a process that is to replace another waits for its first list: that one serves meanwhile,
	// but a yes is due within 6 s.
	successorEndpointWait = 3500 * time.Millisecond
	// settleFor is until its probes are back.
	healthCheckWait = 400 * time.Millisecond
	// heardIn is how long the other process may take for news.
	callbackResultTimeout = 400 * time.Millisecond
	// unsureFor is how long news of unknown invocations may be the other process's where the two can't talk.
	ownerUnknownWindow = 8 * time.Second
	// turnIn is how long a third process waits for two to be through.
	takeoverTurnTimeout, takeoverRetryDelay = 6 * time.Second, 200 * time.Millisecond
	idsPerMessage                           = 256
	// What we may have less a part is what the collector aims at, and no more than so many megabytes less: what lies
	// outside its count (the program, the kernel's pages for threads, what is over the aim for a moment) does not grow with the limit. An
	// aim below what is in hand has it collect without end: with 5,900 invocations in hand 0.6 of 256 MB took the whole core.
	memoryReserveShare, memoryReserveMaxMB = 0.4, 48
)

// address is where clients come, and who else is there.
type address struct {
	listener   net.Listener
	socketPath string // where processes of this address find each other; empty: nowhere
	shared     bool   // another process listens there
	link       *handover.Link
	welcome    handover.Message
}

// listenAt opens a socket that a successor may share.
var listenAt = handover.ListenReusePort

// errTold: we have nothing yet, and are to end.
var errStopped = errors.New("told to stop")

// arrive finds who serves at our address and gets its socket, or one of our own.
func acquireAddress(node settings.Process, dir string, log *logrus.Entry, told func() bool) (at address, err error) {
	var why error
	var predecessor *handover.Predecessor
	if at.socketPath, why = handover.SocketPath(dir, node.Listen); why == nil {
		predecessor, why = handover.Dial(at.socketPath, node.Listen, node.Name)
		for began := time.Now(); errors.Is(why, handover.ErrTakeoverInProgress) && time.Since(began) < takeoverTurnTimeout; {
			if time.Sleep(takeoverRetryDelay); told() {
				return at, errStopped
			}
			predecessor, why = handover.Dial(at.socketPath, node.Listen, node.Name)
		}
	}
	switch {
	case why == nil:
		log.Info("another process serves at ", node.Listen, ": it is to be replaced")
		at.shared, at.link, at.welcome, at.listener = true, predecessor.Link, predecessor.Welcome, predecessor.Listener
		return at, nil
	case errors.Is(why, handover.ErrTakeoverInProgress), errors.Is(why, handover.ErrNameMismatch):
		return at, why
	}
	addr, err := netip.ParseAddrPort(node.Listen)
	if err != nil {
		return at, err
	}
	if at.shared = !handover.AddressFree(addr); at.shared {
		log.Warn("another process listens at ", node.Listen, " and can't be talked to: ", why)
	} else if !errors.Is(why, handover.ErrNoPredecessor) {
		log.Info("a successor will not find us: ", why)
	}
	at.listener, err = retryTransient(told, func() (net.Listener, error) { return listenAt(node.Listen) })
	return at, err
}

// bond is what joins two processes that serve at one address.
type peerProcess struct {
	*service
	link             *handover.Link
	isPredecessor    bool // the other one was there first
	pendingCallbacks map[uint64]*pendingCallback
	sequence         uint64
	requestIDs       map[string]bool // in hand there
	migrations       map[uint64]*migration
}

// question is news that was passed on.
type pendingCallback struct {
	callback workers.Callback
	onResult func(bool)
	timeout  *conn.Timer
}

// word is what the other process has said.
type peerMessage struct {
	*peerProcess
	handover.Message
}

// parted: the other process has ended, or hangs.
type peerExit struct{ *peerProcess }

// came is a process that wants to replace us.
type successorHandshake struct {
	*service
	*handover.Handshake
}

func (s *service) connectPeer(link *handover.Link, elder bool) {
	b := &peerProcess{service: s, link: link, isPredecessor: elder, pendingCallbacks: map[uint64]*pendingCallback{}, requestIDs: map[string]bool{},
		migrations: map[uint64]*migration{}}
	s.peer = b
	link.Start(func(m handover.Message) { s.loop.Post(peerMessage{b, m}) }, func() { s.loop.Post(peerExit{b}) })
}

// meet begins to serve: at once where nobody else does.
func (s *service) startTakeover() {
	if s.address.link != nil {
		s.connectPeer(s.address.link, true)
	}
	if !s.address.shared {
		s.acceptConnections()
	}
}

// open lets clients in, and a successor.
func (s *service) acceptConnections() {
	if s.accepting {
		return
	}
	s.accepting = true
	s.clients.Listen(s.address.listener)
	if s.address.socketPath == "" {
		return
	}
	post, err := handover.Listen(s.address.socketPath)
	if err != nil {
		s.log.Info("a successor will not find us: ", err)
		return
	}
	s.successorListener = post
	go post.Serve(func(n *handover.Handshake) { s.loop.Post(successorHandshake{s, n}) })
}

// serves: we say yes from now on.
func (s *service) announceReady() {
	s.acceptConnections()
	if s.peer != nil && s.peer.isPredecessor {
		s.peer.link.Send(handover.Message{Kind: handover.KindReady})
	}
}

// Take gives a newcomer our socket and half of what we have.
func (n successorHandshake) Run() {
	s := n.service
	if n.ProcessName != "" && n.ProcessName != s.process.Name {
		s.log.Warn("a process named ", n.ProcessName, " wants our address, and is sent away")
		go n.Reject(handover.ReasonNameMismatch)
		return
	}
	if s.peer != nil || n.ListenAddress != s.process.Listen {
		go n.Reject(handover.ReasonTakeoverInProgress)
		return
	}
	sockets, memory := s.process.Sockets/2, s.process.MemoryMB/2
	link, err := n.Accept(s.address.listener, handover.Message{Sockets: sockets, MemoryMB: memory})
	if err != nil {
		s.log.Warn("a process came to replace this one, and left: ", err)
		return
	}
	s.log.Info("a process has come to replace this one")
	s.setQuotas(s.process.Sockets-sockets, s.process.MemoryMB-memory)
	s.connectPeer(link, false)
	for ids := s.clients.IDs(); len(ids) > 0; {
		n := min(len(ids), idsPerMessage)
		link.Send(handover.Message{Kind: handover.KindIDsAcquired, IDs: ids[:n]})
		ids = ids[n:]
	}
}

// share says what part of descriptors and memory is ours.
func (s *service) setQuotas(sockets, memoryMB int) {
	s.setSocketLimit(sockets)
	debug.SetMemoryLimit(memoryLimit(memoryMB))
}

// memoryAim is what the collector aims at, in bytes.
func memoryLimit(memoryMB int) int64 {
	most := float64(memoryMB)
	return int64((most - min(memoryReserveShare*most, memoryReserveMaxMB)) * (1 << 20))
}

// Take is the end of a bond. Whatever the other one had is ours again.
func (p peerExit) Run() {
	s := p.service
	if s.peer != p.peerProcess {
		return
	}
	s.peer = nil
	s.setQuotas(s.process.Sockets, s.process.MemoryMB)
	p.failMigrations()
	for _, q := range p.pendingCallbacks {
		q.timeout.Stop()
		s.workers.HandleCallback(q.callback) // it may have come here meanwhile
		q.onResult(true)                     // with its owner gone nobody waits for it any more
	}
	if p.isPredecessor {
		s.log.Info("the process before this one has ended")
		s.acceptConnections() // also before our yes: what waits in the queue has nobody else
		return
	}
	s.log.Info("the process that came to replace this one has ended")
	s.transition("the successor has ended", func() bool { s.lifecycle.SuccessorChanged(s.loop.Now(), false); return true })
}

// Take takes a message in.
func (m peerMessage) Run() {
	s, b := m.service, m.peerProcess
	if m.File != nil {
		defer m.File.Close()
	}
	if s.peer != b {
		return
	}
	switch m.Kind {
	case handover.KindReady:
		if !b.isPredecessor {
			s.transition("the successor serves", func() bool { s.lifecycle.SuccessorChanged(s.loop.Now(), true); return true })
		}
	case handover.KindIDsAcquired:
		for _, id := range m.IDs {
			b.requestIDs[id] = true
		}
	case handover.KindIDsReleased:
		for _, id := range m.IDs {
			delete(b.requestIDs, id)
		}
	case handover.KindCallback:
		n, err := s.clients.ParseCallback(m.Body)
		owned := err == nil && s.workers.HandleCallback(n)
		b.link.Send(handover.Message{Kind: handover.KindCallbackResult, Sequence: m.Sequence, Accepted: owned, OwnerUnknown: !owned && b.isMigrating(n.ID)})
	case handover.KindCallbackResult:
		if q := b.pendingCallbacks[m.Sequence]; q != nil {
			delete(b.pendingCallbacks, m.Sequence)
			q.timeout.Stop()
			// What neither had was on its way here, or back, when it was asked for: the answer has come behind it.
			q.onResult(m.Accepted || s.workers.HandleCallback(q.callback) || !m.OwnerUnknown && !b.isMigrating(q.callback.ID))
		}
	case handover.KindSnapshotRequest:
		b.sendSnapshot()
	case handover.KindSnapshotPart:
		s.loadSnapshotPart(m.Message)
	case handover.KindSnapshotEnd:
		s.endpointsKnown()
	case handover.KindMigrate:
		kept := s.adopt(m.Message)
		b.link.Send(handover.Message{Kind: handover.KindMigrateResult, Sequence: m.Sequence, Accepted: kept})
	case handover.KindMigrateResult:
		b.handleMigrateResult(m.Message)
	default:
		s.log.Warn(fmt.Sprintf("the other process said %.40q, which means nothing here", m.Kind))
	}
}

// relay passes news on that is for nobody here. False: there is nobody who could have it.
func (s *service) relayCallback(n workers.Callback, body []byte, heard func(bool)) bool {
	b := s.peer
	switch {
	case b == nil && s.address.shared && s.address.link == nil && s.loop.Now() < ownerUnknownWindow:
		// The worker's next try may reach the other one.
		s.loop.After(0, func() { heard(false) })
		return true
	case b == nil:
		return false
	}
	b.sequence++
	number := b.sequence
	b.pendingCallbacks[number] = &pendingCallback{n, heard, s.loop.After(callbackResultTimeout, func() {
		delete(b.pendingCallbacks, number)
		heard(false)
	})}
	b.link.Send(handover.Message{Kind: handover.KindCallback, Sequence: number, Body: body})
	return true
}

// passing tells whether an invocation is on its way to the other process.
func (b *peerProcess) isMigrating(id string) bool {
	return slices.ContainsFunc(b.migratingRequests(), func(j *trackedRequest) bool { return j.ID == id })
}

// foreign tells whether an id is in hand at the other process.
func (s *service) ownedByPeer(id string) bool { return s.peer != nil && s.peer.requestIDs[id] }

// holds tells the other process of our ids.
func (s *service) announceOwnership(id string, holds bool) {
	if s.peer == nil {
		return
	}
	kind := handover.KindIDsReleased
	if holds {
		kind = handover.KindIDsAcquired
	}
	s.peer.link.Send(handover.Message{Kind: kind, IDs: []string{id}})
}

// settling is how long to wait after the first list for figures.
func (s *service) settleDelay() time.Duration {
	if s.address.shared && !s.accepting {
		return healthCheckWait
	}
	return 0
}
