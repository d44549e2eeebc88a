package dispatch

import "math"

// Schedulers gossip what they send where. Each worker has one owner among them, which is notified of all attempts
// at it and asked for its free slots. An entry that is lost, late, foreign or broken leaves its reader with less
// knowledge, and no more.
const (
	// ownerAnswerFreshness is how long an owner's answer counts as recent, and how long a query may go unanswered.
	ownerAnswerFreshness = 10 * tickInterval
	// queryBytes is what a capacity query and its reply take.
	queryBytes = 32
	// queryBudgetPoints is how many points of the result queries may cost.
	queryBudgetPoints = 0.006
	// maxQueries bounds the queries for one invocation.
	maxQueries = 5
	// querySpan: those who were notified of the same free slot within this time may take it.
	querySpan = 2 * tickInterval
	// maxToldSlots bounds the free slots that a reply can report.
	maxReplySlots = 99
)

// allSchedulers addresses gossip to all others.
const allSchedulers = -1

// GossipEntry is one piece of gossip.
type GossipEntry struct {
	Kind   GossipKind
	Serial uint8  // names an attempt among its sender's; of a GossipCapacityReply: the free slots, as int8
	Tag    uint32 // names the worker
}

// GossipKind is what an entry says.
type GossipKind uint8

// The kinds of entries. Their numbers are on the wire.
const (
	// GossipRestarted: the scheduler has just started, and knows nothing of its attempts before.
	GossipRestarted GossipKind = iota
	// GossipAttemptStarted: an attempt is on its way to a worker.
	GossipAttemptStarted
	// GossipAttemptEnded: an attempt holds no slot any more.
	GossipAttemptEnded
	// GossipCapacityQuery asks how much is free at a worker.
	GossipCapacityQuery
	// GossipCapacityReply answers that.
	GossipCapacityReply
	// gossipPacked marks an entry that has been packed already.
	gossipPacked = 255
)

// SendGossip sends entries to another scheduler.
type SendGossip struct {
	To      int // below 0: all
	Entries []GossipEntry
}

// GossipReceived brings another scheduler's entries, in its order.
type GossipReceived struct {
	From    int // its number
	Entries []GossipEntry
}

// About names neither: the entries may be about many workers.
func (e GossipReceived) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// outgoingGossip is an entry that is sent at the end of this moment.
type outgoingGossip struct {
	to int
	GossipEntry
}

// remoteAttempt names an attempt of another scheduler.
type remoteAttempt struct {
	scheduler int
	serial    uint8
}

// sendGossip queues an entry for one scheduler, or allSchedulers.
func (s *sharedState) sendGossip(to int, entry GossipEntry) {
	if s.gossips && to != s.self {
		s.gossipQueue = append(s.gossipQueue, outgoingGossip{to: to, GossipEntry: entry})
	}
}

// flushGossip sends what was queued at this moment, all for one scheduler together.
func (s *sharedState) flushGossip() {
	for i, first := range s.gossipQueue {
		if first.Kind != gossipPacked {
			s.emit(SendGossip{To: first.to, Entries: s.packGossip(s.gossipQueue[i:], first.to)})
		}
	}
	s.gossipQueue = s.gossipQueue[:0]
}

// packGossip takes the entries for one scheduler out of a queue.
func (s *sharedState) packGossip(queue []outgoingGossip, to int) (entries []GossipEntry) {
	for i := range queue {
		queued := &queue[i]
		if queued.to == to && queued.Kind != gossipPacked {
			entries = append(entries, queued.GossipEntry)
			queued.Kind = gossipPacked
		}
	}
	return entries
}

// ownerOf is the scheduler that owns the load data of a worker.
func (d *Dispatcher) ownerOf(id WorkerID) (owner int) {
	if !d.gossips {
		return 0
	}
	most := uint64(0)
	for other := range int(d.schedulers) {
		hash := rendezvousHash(uint64(workerTag(id)), other)
		if hash > most {
			owner = other
			most = hash
		}
	}
	return owner
}

// receiveGossip passes what another scheduler reports on to the workers that it is about. Where gossip is not allowed, or
// there is no such scheduler, it may be anything and is dropped.
func (d *Dispatcher) receiveGossip(received GossipReceived) {
	from := received.From
	if !d.gossips || from < 0 || from >= int(d.schedulers) || from == d.self {
		return
	}
	for _, entry := range received.Entries {
		d.routeGossip(from, entry)
	}
}

func (d *Dispatcher) routeGossip(from int, entry GossipEntry) {
	message := gossipMessage{from: from, GossipEntry: entry}
	remote := remoteAttempt{scheduler: from, serial: entry.Serial}
	worker, known := d.tagIndex[entry.Tag]
	switch entry.Kind {
	case GossipRestarted:
		for _, owned := range d.owned {
			d.workerAt(owned).send(message)
		}
		return
	case GossipAttemptStarted:
		if known {
			d.remoteAttempts[remote] = worker
		}
	case GossipAttemptEnded:
		worker, known = d.remoteAttempts[remote]
		delete(d.remoteAttempts, remote)
	case GossipCapacityReply:
		d.ownerAnsweredAt = d.now
	}
	if known {
		d.workerAt(worker).send(message)
	}
}

// receiveGossip enters what another scheduler reports of the worker.
func (w *worker) receiveGossip(message gossipMessage) {
	switch message.Kind {
	case GossipAttemptStarted:
		w.remoteAttemptEnded(message) // its end may never be reported, and its start may be reported twice
		w.remoteAttemptStarted(message)
	case GossipAttemptEnded:
		w.remoteAttemptEnded(message)
	case GossipRestarted:
		w.remoteSchedulerRestarted(message)
	case GossipCapacityQuery:
		w.replyCapacity(message.from)
	case GossipCapacityReply:
		w.receiveCapacityReply(message)
	}
}

func (w *worker) remoteAttemptStarted(message gossipMessage) {
	w.attempts = append(w.attempts, workerAttempt{
		invocation: remoteInvocation(message.from),
		number:     int(message.Serial),
		slots:      1,
		sentAt:     w.now,
		endedAt:    w.now + maxEjection,
	})
}

func (w *worker) remoteAttemptEnded(message gossipMessage) {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.invocation == remoteInvocation(message.from) && attempt.number == int(message.Serial) {
			attempt.endedAt = min(attempt.endedAt, w.now)
		}
	}
}

// remoteSchedulerRestarted: all attempts of a scheduler that has restarted are soon over.
func (w *worker) remoteSchedulerRestarted(message gossipMessage) {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.invocation == remoteInvocation(message.from) {
			attempt.endedAt = min(attempt.endedAt, w.now+seconds(w.stats.runTime))
		}
	}
}

// queryOwner asks the worker's owner for its free slots.
func (w *worker) queryOwner() {
	w.queriedAt = w.now
	w.checkPending = true
	if w.unansweredSince == 0 {
		w.unansweredSince = w.now
	}
	w.sendGossip(w.owner, GossipEntry{Kind: GossipCapacityQuery, Tag: w.tag})
}

// replyCapacity reports to another scheduler how many slots are free. Others who were notified of the same slot just before may
// take it.
func (w *worker) replyCapacity(to int) {
	w.recentQueries.add(w.now.Seconds())
	for w.recentQueries[0] < (w.now - querySpan).Seconds() {
		w.recentQueries = w.recentQueries[1:]
	}
	free := math.Round(w.free - float64(len(w.recentQueries))/maxQueries)
	switch {
	case w.measured && w.eligible:
		w.sendCapacityReply(to, max(-maxReplySlots, min(maxReplySlots, free)))
	case w.ejected:
		w.sendCapacityReply(to, -min(maxReplySlots, w.maxFree))
	}
}

func (w *worker) sendCapacityReply(to int, free float64) {
	w.sendGossip(to, GossipEntry{Kind: GossipCapacityReply, Serial: uint8(int8(free)), Tag: w.tag})
}

// receiveCapacityReply enters what the worker's owner reports of its free slots.
func (w *worker) receiveCapacityReply(message gossipMessage) {
	w.checkPending = false
	w.unansweredSince = 0
	if w.ownedHere {
		return
	}
	free := float64(int8(message.Serial))
	w.maxFree = max(w.maxFree, free)
	w.recordFreeSlots(w.queriedAt-tickInterval, free)
}

// gossipEnded notifies the worker's owner of an attempt's end. What a silent worker has may hold its slots for long, however
// long we wait for it.
func (w *worker) gossipEnded(serial uint8, result Result) {
	if !w.ejected || result != TimedOut && result != Cancelled {
		w.sendGossip(w.owner, GossipEntry{Kind: GossipAttemptEnded, Serial: serial})
	}
}
