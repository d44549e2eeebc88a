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
	sharedWithin = 3500 * time.Millisecond
	// settleFor is until its probes are back.
	settleFor = 400 * time.Millisecond
	// heardIn is how long the other process may take for news.
	heardIn = 400 * time.Millisecond
	// unsureFor is how long news of unknown invocations may be the other process's where the two can't talk.
	unsureFor = 8 * time.Second
	// turnIn is how long a third process waits for two to be through.
	turnIn, turnAgain = 6 * time.Second, 200 * time.Millisecond
	idsAtOnce         = 256
	// What we may have less a part is what the collector aims at, and no more than so many megabytes less: what lies
	// outside its count (the program, the kernel's pages for threads, what is over the aim for a moment) does not grow with the limit. An
	// aim below what is in hand has it collect without end: with 5,900 invocations in hand 0.6 of 256 MB took the whole core.
	memoryAside, asideMostMB = 0.4, 48
)

// address is where clients come, and who else is there.
type address struct {
	listener net.Listener
	place    string // where processes of this address find each other; empty: nowhere
	shared   bool   // another process listens there
	link     *handover.Link
	welcome  handover.Message
}

// listenAt opens a socket that a successor may share.
var listenAt = handover.ListenReusePort

// errTold: we have nothing yet, and are to end.
var errTold = errors.New("told to stop")

// arrive finds who serves at our address and gets its socket, or one of our own.
func arrive(node settings.Process, dir string, log *logrus.Entry, told func() bool) (at address, err error) {
	var why error
	var predecessor *handover.Predecessor
	if at.place, why = handover.SocketPath(dir, node.Listen); why == nil {
		predecessor, why = handover.Dial(at.place, node.Listen, node.Name)
		for began := time.Now(); errors.Is(why, handover.ErrTakeoverInProgress) && time.Since(began) < turnIn; {
			if time.Sleep(turnAgain); told() {
				return at, errTold
			}
			predecessor, why = handover.Dial(at.place, node.Listen, node.Name)
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
	at.listener, err = patiently(told, func() (net.Listener, error) { return listenAt(node.Listen) })
	return at, err
}

// bond is what joins two processes that serve at one address.
type bond struct {
	*service
	link   *handover.Link
	elder  bool // the other one was there first
	asked  map[uint64]*question
	number uint64
	ids    map[string]bool // in hand there
	passed map[uint64]*parcel
}

// question is news that was passed on.
type question struct {
	news  workers.Callback
	heard func(bool)
	late  *conn.Timer
}

// word is what the other process has said.
type word struct {
	*bond
	handover.Message
}

// parted: the other process has ended, or hangs.
type parted struct{ *bond }

// came is a process that wants to replace us.
type came struct {
	*service
	*handover.Handshake
}

func (s *service) tie(link *handover.Link, elder bool) {
	b := &bond{service: s, link: link, elder: elder, asked: map[uint64]*question{}, ids: map[string]bool{},
		passed: map[uint64]*parcel{}}
	s.bond = b
	link.Start(func(m handover.Message) { s.loop.Post(word{b, m}) }, func() { s.loop.Post(parted{b}) })
}

// meet begins to serve: at once where nobody else does.
func (s *service) meet() {
	if s.at.link != nil {
		s.tie(s.at.link, true)
	}
	if !s.at.shared {
		s.open()
	}
}

// open lets clients in, and a successor.
func (s *service) open() {
	if s.opened {
		return
	}
	s.opened = true
	s.door.Listen(s.at.listener)
	if s.at.place == "" {
		return
	}
	post, err := handover.Listen(s.at.place)
	if err != nil {
		s.log.Info("a successor will not find us: ", err)
		return
	}
	s.post = post
	go post.Serve(func(n *handover.Handshake) { s.loop.Post(came{s, n}) })
}

// serves: we say yes from now on.
func (s *service) serves() {
	s.open()
	if s.bond != nil && s.bond.elder {
		s.bond.link.Send(handover.Message{Kind: handover.KindReady})
	}
}

// Take gives a newcomer our socket and half of what we have.
func (n came) Run() {
	s := n.service
	if n.ProcessName != "" && n.ProcessName != s.node.Name {
		s.log.Warn("a process named ", n.ProcessName, " wants our address, and is sent away")
		go n.Reject(handover.ReasonNameMismatch)
		return
	}
	if s.bond != nil || n.ListenAddress != s.node.Listen {
		go n.Reject(handover.ReasonTakeoverInProgress)
		return
	}
	sockets, memory := s.node.Sockets/2, s.node.MemoryMB/2
	link, err := n.Accept(s.at.listener, handover.Message{Sockets: sockets, MemoryMB: memory})
	if err != nil {
		s.log.Warn("a process came to replace this one, and left: ", err)
		return
	}
	s.log.Info("a process has come to replace this one")
	s.share(s.node.Sockets-sockets, s.node.MemoryMB-memory)
	s.tie(link, false)
	for ids := s.door.IDs(); len(ids) > 0; {
		n := min(len(ids), idsAtOnce)
		link.Send(handover.Message{Kind: handover.KindIDsAcquired, IDs: ids[:n]})
		ids = ids[n:]
	}
}

// share says what part of descriptors and memory is ours.
func (s *service) share(sockets, memoryMB int) {
	s.resize(sockets)
	debug.SetMemoryLimit(memoryAim(memoryMB))
}

// memoryAim is what the collector aims at, in bytes.
func memoryAim(memoryMB int) int64 {
	most := float64(memoryMB)
	return int64((most - min(memoryAside*most, asideMostMB)) * (1 << 20))
}

// Take is the end of a bond. Whatever the other one had is ours again.
func (p parted) Run() {
	s := p.service
	if s.bond != p.bond {
		return
	}
	s.bond = nil
	s.share(s.node.Sockets, s.node.MemoryMB)
	p.lost()
	for _, q := range p.asked {
		q.late.Stop()
		s.fleet.HandleCallback(q.news) // it may have come here meanwhile
		q.heard(true)                  // with its owner gone nobody waits for it any more
	}
	if p.elder {
		s.log.Info("the process before this one has ended")
		s.open() // also before our yes: what waits in the queue has nobody else
		return
	}
	s.log.Info("the process that came to replace this one has ended")
	s.lives("the successor has ended", func() bool { s.life.SuccessorChanged(s.loop.Now(), false); return true })
}

// Take takes a message in.
func (m word) Run() {
	s, b := m.service, m.bond
	if m.File != nil {
		defer m.File.Close()
	}
	if s.bond != b {
		return
	}
	switch m.Kind {
	case handover.KindReady:
		if !b.elder {
			s.lives("the successor serves", func() bool { s.life.SuccessorChanged(s.loop.Now(), true); return true })
		}
	case handover.KindIDsAcquired:
		for _, id := range m.IDs {
			b.ids[id] = true
		}
	case handover.KindIDsReleased:
		for _, id := range m.IDs {
			delete(b.ids, id)
		}
	case handover.KindCallback:
		n, err := s.door.ParseCallback(m.Body)
		owned := err == nil && s.fleet.HandleCallback(n)
		b.link.Send(handover.Message{Kind: handover.KindCallbackResult, Sequence: m.Sequence, Accepted: owned, OwnerUnknown: !owned && b.passing(n.ID)})
	case handover.KindCallbackResult:
		if q := b.asked[m.Sequence]; q != nil {
			delete(b.asked, m.Sequence)
			q.late.Stop()
			// What neither had was on its way here, or back, when it was asked for: the answer has come behind it.
			q.heard(m.Accepted || s.fleet.HandleCallback(q.news) || !m.OwnerUnknown && !b.passing(q.news.ID))
		}
	case handover.KindSnapshotRequest:
		b.teach()
	case handover.KindSnapshotPart:
		s.heed(m.Message)
	case handover.KindSnapshotEnd:
		s.knows()
	case handover.KindMigrate:
		kept := s.inherit(m.Message)
		b.link.Send(handover.Message{Kind: handover.KindMigrateResult, Sequence: m.Sequence, Accepted: kept})
	case handover.KindMigrateResult:
		b.kept(m.Message)
	default:
		s.log.Warn(fmt.Sprintf("the other process said %.40q, which means nothing here", m.Kind))
	}
}

// relay passes news on that is for nobody here. False: there is nobody who could have it.
func (s *service) relay(n workers.Callback, body []byte, heard func(bool)) bool {
	b := s.bond
	switch {
	case b == nil && s.at.shared && s.at.link == nil && s.loop.Now() < unsureFor:
		// The worker's next try may reach the other one.
		s.loop.After(0, func() { heard(false) })
		return true
	case b == nil:
		return false
	}
	b.number++
	number := b.number
	b.asked[number] = &question{n, heard, s.loop.After(heardIn, func() {
		delete(b.asked, number)
		heard(false)
	})}
	b.link.Send(handover.Message{Kind: handover.KindCallback, Sequence: number, Body: body})
	return true
}

// passing tells whether an invocation is on its way to the other process.
func (b *bond) passing(id string) bool {
	return slices.ContainsFunc(b.onTheWay(), func(j *tracked) bool { return j.ID == id })
}

// foreign tells whether an id is in hand at the other process.
func (s *service) foreign(id string) bool { return s.bond != nil && s.bond.ids[id] }

// holds tells the other process of our ids.
func (s *service) holds(id string, holds bool) {
	if s.bond == nil {
		return
	}
	kind := handover.KindIDsReleased
	if holds {
		kind = handover.KindIDsAcquired
	}
	s.bond.link.Send(handover.Message{Kind: kind, IDs: []string{id}})
}

// settling is how long to wait after the first list for figures.
func (s *service) settling() time.Duration {
	if s.at.shared && !s.opened {
		return settleFor
	}
	return 0
}
