package dispatch

import "math"

// With gossip, schedulers tell each other about the attempts that they send. Each worker has one
// owner among the schedulers, which is notified of all attempts at that worker and is asked for its
// number of free slots. An entry that is lost, late, corrupted or from an unknown sender only leaves
// the receiver with less information.
const (
	// maxOwnerReplyAge is how long an owner's reply counts as recent, and how long a query may
	// stay unanswered.
	maxOwnerReplyAge = 10 * tickInterval
	// capacityQueryBytes is the size of a capacity query and its reply together.
	capacityQueryBytes = 32
	// queryBudgetPoints is how many points of the overall score queries may cost.
	queryBudgetPoints = 0.006
	// maxQueriesPerInvocation bounds the queries for one invocation.
	maxQueriesPerInvocation = 5
	// recentQueryWindow is how long after a reply its receiver may still take the reported slot.
	recentQueryWindow = 2 * tickInterval
	// maxReplySlots bounds the number of free slots that a reply can report.
	maxReplySlots = 99
)

// allSchedulers is the receiver of gossip that goes to all other schedulers.
const allSchedulers = -1

// GossipEntry is one notification, query or reply in a gossip message.
type GossipEntry struct {
	Kind   GossipKind
	Serial uint8  // identifies an attempt of the sender; in a GossipCapacityReply the free slots, as int8
	Tag    uint32 // identifies the worker
}

// GossipKind is the type of a gossip entry.
type GossipKind uint8

// The kinds of entries. Their numbers are on the wire.
const (
	// GossipRestarted: the sender has just started, and has no record of its earlier attempts.
	GossipRestarted GossipKind = iota
	// GossipAttemptStarted: the sender has sent an attempt to the worker.
	GossipAttemptStarted
	// GossipAttemptEnded: the sender's attempt holds no slot any more.
	GossipAttemptEnded
	// GossipCapacityQuery asks for the number of free slots of the worker.
	GossipCapacityQuery
	// GossipCapacityReply answers a GossipCapacityQuery.
	GossipCapacityReply
	// gossipPacked marks a queued entry that has already been added to a message.
	gossipPacked = 255
)

// SendGossip sends entries to another scheduler.
type SendGossip struct {
	To      int // number of the receiver; negative: all other schedulers
	Entries []GossipEntry
}

// GossipReceived brings another scheduler's entries, in the order in which it sent them.
type GossipReceived struct {
	From    int // number of the sender
	Entries []GossipEntry
}

// About returns zero values, as the entries may concern many workers.
func (e GossipReceived) About() (InvocationID, WorkerID) { return 0, WorkerID{} }

// outgoingGossip is an entry that is sent at the end of the current moment.
type outgoingGossip struct {
	to int
	GossipEntry
}

// remoteAttempt identifies an attempt of another scheduler.
type remoteAttempt struct {
	scheduler int
	serial    uint8
}

// sendGossip queues an entry for one scheduler, or for allSchedulers.
func (s *sharedState) sendGossip(to int, entry GossipEntry) {
	if s.gossipEnabled && to != s.schedulerIndex {
		s.gossipQueue = append(s.gossipQueue, outgoingGossip{to: to, GossipEntry: entry})
	}
}

// flushGossip sends the entries that were queued at this moment, combined into one SendGossip for
// each receiver.
func (s *sharedState) flushGossip() {
	for i, first := range s.gossipQueue {
		if first.Kind != gossipPacked {
			s.emit(SendGossip{To: first.to, Entries: s.takeGossipFor(s.gossipQueue[i:], first.to)})
		}
	}
	s.gossipQueue = s.gossipQueue[:0]
}

// takeGossipFor takes all entries for one receiver out of the queue.
func (s *sharedState) takeGossipFor(queue []outgoingGossip, to int) (entries []GossipEntry) {
	for i := range queue {
		queued := &queue[i]
		if queued.to == to && queued.Kind != gossipPacked {
			entries = append(entries, queued.GossipEntry)
			queued.Kind = gossipPacked
		}
	}
	return entries
}

// ownerOf returns the number of the scheduler that owns the load data of a worker.
func (d *Dispatcher) ownerOf(id WorkerID) (owner int) {
	if !d.gossipEnabled {
		return 0
	}
	highestHash := uint64(0)
	for other := range int(d.schedulers) {
		hash := rendezvousHash(uint64(workerTag(id)), other)
		if hash > highestHash {
			owner = other
			highestHash = hash
		}
	}
	return owner
}

// receiveGossip passes another scheduler's entries on to the workers that they concern. If gossip is
// disabled or the sender is unknown, the entries cannot be trusted and are dropped.
func (d *Dispatcher) receiveGossip(received GossipReceived) {
	from := received.From
	if !d.gossipEnabled || from < 0 || from >= int(d.schedulers) || from == d.schedulerIndex {
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
		d.ownerRepliedAt = d.now
	}
	if known {
		d.workerAt(worker).send(message)
	}
}

// receiveGossip applies an entry that another scheduler has sent about this worker.
func (w *worker) receiveGossip(message gossipMessage) {
	switch message.Kind {
	case GossipAttemptStarted:
		// The end of an earlier attempt with this serial may be lost, and a start may arrive twice.
		w.remoteAttemptEnded(message)
		w.remoteAttemptStarted(message)
	case GossipAttemptEnded:
		w.remoteAttemptEnded(message)
	case GossipRestarted:
		w.remoteSchedulerRestarted(message)
	case GossipCapacityQuery:
		w.answerCapacityQuery(message.from)
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
		endedAt:    w.now + maxEjection, // in case its end is never reported
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

// remoteSchedulerRestarted expects all attempts of a restarted scheduler to end within a usual
// running time.
func (w *worker) remoteSchedulerRestarted(message gossipMessage) {
	for i := range w.attempts {
		attempt := &w.attempts[i]
		if attempt.invocation == remoteInvocation(message.from) {
			attempt.endedAt = min(attempt.endedAt, w.now+seconds(w.stats.runTime))
		}
	}
}

// queryOwner asks the worker's owner for the number of free slots.
func (w *worker) queryOwner() {
	w.queriedAt = w.now
	w.checkPending = true
	if w.unansweredSince == 0 {
		w.unansweredSince = w.now
	}
	w.sendGossip(w.owner, GossipEntry{Kind: GossipCapacityQuery, Tag: w.tag})
}

// answerCapacityQuery tells another scheduler how many slots are free. Schedulers that were told of
// the same slot shortly before may also take it, so recent queries reduce the number.
func (w *worker) answerCapacityQuery(to int) {
	w.recentQueries.add(w.now.Seconds())
	for w.recentQueries[0] < (w.now - recentQueryWindow).Seconds() {
		w.recentQueries = w.recentQueries[1:]
	}
	free := math.Round(w.free - float64(len(w.recentQueries))/maxQueriesPerInvocation)
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

// receiveCapacityReply records the number of free slots that the worker's owner reports.
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

// gossipEnded notifies the worker's owner of the end of an attempt. An attempt that this scheduler
// gave up at an ejected worker is not reported, because a silent worker may hold its slots for much
// longer than this scheduler waits.
func (w *worker) gossipEnded(serial uint8, result Result) {
	if !w.ejected || result != TimedOut && result != Cancelled {
		w.sendGossip(w.owner, GossipEntry{Kind: GossipAttemptEnded, Serial: serial})
	}
}
