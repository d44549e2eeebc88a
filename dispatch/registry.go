package dispatch

import "time"

// Polling of the endpoint list. A call may be lost: its caller waits for an answer, then for its next try, and that has
// to bring the list inside the time to poll within. Package discovery adds this up where discovery is on sockets.
const (
	// pollBackoffFirst is the wait after a first and a second failure in a row; it doubles with each further one.
	pollBackoffFirst = 250 * time.Millisecond
	// pollBackoffParts: the longest wait is this part of the time to poll within.
	pollBackoffParts = 6
	// pollBackoffJitter: a wait is drawn from half of it up to this multiple.
	pollBackoffJitter = 1.5
	// pollBackoffMin is the shortest wait.
	pollBackoffMin = 50 * time.Millisecond
	// maxPollDoublings bounds how often the wait doubles.
	maxPollDoublings = 5
	// pollTimeoutMin is the shortest time after which a call without any answer counts as lost.
	pollTimeoutMin = time.Second
	// firstPollParts: the first call comes within this part of the grace for draining workers; the rest is for its
	// answer and for our start.
	firstPollParts = 8
)

// ownedCheckInterval: of so many requests for one more worker, one goes to workers whose load data others own.
const ownedCheckInterval = 3

// workerRecord is what the endpoint list says of one worker. There are many workers and a scheduler uses few of them: full
// state for each would cost memory and time for nothing.
type workerRecord struct {
	Endpoint
	worker       *worker // nil: never used
	owner        int     // the scheduler that owns its load data
	lotteryRank  int     // schedulers before this one in the slow-start lottery
	inCheckOrder bool
	update       int // the last one that named it
}

// requirements restrict which workers may be used.
type requirements struct {
	kind int
	zone int
	cell int
	// notAfter is when the deduplication window ends; 0: no window bounds the next attempt.
	notAfter time.Duration
}

// unrestricted stands for any kind, zone or cell.
const unrestricted = -1

// anyWorker restricts nothing.
var anyWorker = requirements{kind: unrestricted, zone: unrestricted, cell: unrestricted}

func (r requirements) matches(kind, zone, cell int) bool {
	return (r.kind < 0 || r.kind == kind) && (r.zone < 0 || r.zone == zone) && (r.cell < 0 || r.cell == cell)
}

// EndpointBackoff is the longest wait after the first failed call for the endpoint list, and after any number of them.
func EndpointBackoff(within time.Duration) (first, longest time.Duration) {
	jittered := func(wait time.Duration) time.Duration { return time.Duration(pollBackoffJitter * float64(wait)) }
	longest = max(within/pollBackoffParts, pollBackoffMin)
	return jittered(min(pollBackoffFirst, longest)), jittered(longest)
}

// firstPoll is when the list is first asked for. Discovery takes only so many calls at once: the first are spread,
// inside the stated time. What changed while nobody ran here counts as notified from our first moment, and only the
// grace is left for it: the list has to come inside that, also where many start together.
func (d *Dispatcher) firstPoll(grace time.Duration) time.Duration {
	spread := min(float64(d.pollWithin/2), (d.schedulers-1)*float64(tickInterval))
	if grace > 0 {
		spread = min(spread, float64(grace/firstPollParts))
	}
	return time.Duration(d.rng.Float64() * spread)
}

// pollIfDue asks for the endpoint list where no watch stands.
func (d *Dispatcher) pollIfDue() {
	if d.polls && !d.watching && d.now >= d.pollAt {
		d.emit(WatchEndpoints{})
		d.pollAt = d.now + max(pollTimeoutMin, d.pollWithin/2)
	}
}

// watchFailed plans the next call. Not all schedulers call at once, but inside what is left of their time after a call
// that was lost.
func (d *Dispatcher) watchFailed() {
	wait := pollBackoffFirst << max(min(d.watchFailures, maxPollDoublings+1)-1, 0)
	wait = max(min(wait, d.pollWithin/pollBackoffParts), pollBackoffMin)
	d.watching = false
	d.watchFailures++
	if !d.polls {
		return // updates are pushed: there is nothing to ask for
	}
	d.pollAt = d.now + wait/2 + time.Duration(d.rng.Int63n(int64(wait)))
	d.emit(watchRetryLog(d.pollAt))
}

// applyUpdate follows an endpoint update.
func (d *Dispatcher) applyUpdate(update EndpointUpdate) {
	if update.Kind == WatchFailed {
		d.watchFailed()
		return
	}
	if d.now > 0 { // the first one is only what was cached
		d.watching = true
		d.watchFailures = 0
	}
	d.update++
	for _, endpoint := range update.Endpoints {
		d.applyEndpoint(d.recordOf(endpoint.Worker), endpoint)
	}
	if update.Kind == FullUpdate {
		d.removeUnnamed()
	}
}

// removeUnnamed has all workers gone that the last update did not name.
func (d *Dispatcher) removeUnnamed() {
	for index := range d.records {
		record := &d.records[index]
		if record.update == d.update || record.State == Gone {
			continue
		}
		gone := record.Endpoint
		gone.State = Gone
		d.applyEndpoint(index, gone)
	}
}

// recordOf is the index of a worker's record. A worker that is not known gets one.
func (d *Dispatcher) recordOf(id WorkerID) int {
	index, known := d.recordIndex[id]
	if known {
		return index
	}
	index = len(d.records)
	d.records = append(d.records, workerRecord{Endpoint: Endpoint{Worker: id}})
	d.recordIndex[id] = index
	d.tagIndex[workerTag(id)] = index
	d.assignOwner(index)
	return index
}

// applyEndpoint follows what the list says of one worker.
func (d *Dispatcher) applyEndpoint(index int, endpoint Endpoint) {
	record := &d.records[index]
	restarted := endpoint.StartKnown && endpoint.State == Ready &&
		(!record.StartKnown || endpoint.StartedAt > record.StartedAt)
	record.Endpoint = endpoint
	record.update = d.update
	if restarted {
		record.lotteryRank = d.lotteryRank(endpoint.Incarnation)
	}
	if endpoint.State == Ready && !record.inCheckOrder {
		d.addToCheckOrder(index)
	}
	d.notifyWorker(index)
	// At our own start too: whoever knew of the worker's start has forgotten it.
	slowStart := d.now < endpoint.StartedAt+d.slowStartDuration
	if restarted && slowStart && record.lotteryRank < slowStartPoolRanks {
		d.workerAt(index).send(joinPool{workerStats: workerStats{runTime: 1}})
	}
}

// addToCheckOrder puts a worker at a random place among those to be health checked.
func (d *Dispatcher) addToCheckOrder(index int) {
	place := d.rng.Intn(len(d.checkOrder) + 1)
	d.checkOrder = append(d.checkOrder, index)
	last := len(d.checkOrder) - 1
	d.checkOrder[place], d.checkOrder[last] = d.checkOrder[last], d.checkOrder[place]
	d.records[index].inCheckOrder = true
}

// extendPool has one more worker join the pool. Where this scheduler owns the load data of some workers, most of the
// turns are theirs, as their load is known best.
func (d *Dispatcher) extendPool(request poolRequest) {
	d.checksRequested++
	if request.viaGossip || len(d.owned) == 0 || d.checksRequested%ownedCheckInterval == 0 {
		d.checkNext(request)
		return
	}
	index := d.owned[d.checksRequested/2%len(d.owned)]
	d.orderCheck(index, request, joinPool{workerStats: request.workerStats})
}

// checkNext asks the worker whose turn it is. The order is random: one order at all schedulers would have them crowd at
// one worker.
func (d *Dispatcher) checkNext(request poolRequest) {
	for passed := 0; passed < len(d.checkOrder); {
		place := (d.checkTurn + passed) % len(d.checkOrder)
		turn := d.checkTurn % len(d.checkOrder)
		index := d.checkOrder[place]
		record := &d.records[index]
		switch {
		case record.State != Ready:
			d.removeFromCheckOrder(place)
		case !request.matches(record.Kind, record.Zone, record.Cell):
			passed++
		default:
			d.checkOrder[place] = d.checkOrder[turn]
			d.checkOrder[turn] = index
			d.checkTurn = turn + 1
			d.orderCheck(index, request, joinPool{workerStats: request.workerStats, viaGossip: request.viaGossip})
			return
		}
	}
}

func (d *Dispatcher) removeFromCheckOrder(place int) {
	d.records[d.checkOrder[place]].inCheckOrder = false
	last := len(d.checkOrder) - 1
	d.checkOrder[place] = d.checkOrder[last]
	d.checkOrder = d.checkOrder[:last]
}

// orderCheck has a worker join the pool, as an epoch begins or at once.
func (d *Dispatcher) orderCheck(index int, request poolRequest, join joinPool) {
	if request.nextEpoch {
		d.scheduler.send(orderedCheck{worker: index, joinPool: join})
		return
	}
	d.workerAt(index).send(join)
}

// assignOwner finds the owner of a worker's load data, when it is listed first and when the configuration has changed.
func (d *Dispatcher) assignOwner(index int) {
	record := &d.records[index]
	record.owner = d.ownerOf(record.Worker)
	if d.gossips && record.owner == d.self {
		d.owned = append(d.owned, index)
	}
	d.notifyWorker(index)
}

// reassignOwners finds all owners anew, and our ranks in the slow-start lottery, which is drawn among all schedulers.
func (d *Dispatcher) reassignOwners() {
	d.owned = nil
	for index := range d.records {
		record := &d.records[index]
		if record.StartKnown && d.now < record.StartedAt+d.slowStartDuration {
			record.lotteryRank = d.lotteryRank(record.Incarnation)
		}
		d.assignOwner(index)
	}
}

// notifyWorker notifies a worker that is in use of its record.
func (d *Dispatcher) notifyWorker(index int) {
	record := &d.records[index]
	if record.worker != nil {
		record.worker.send(record.changed())
	}
}

func (r *workerRecord) changed() recordChanged {
	return recordChanged{Endpoint: r.Endpoint, lotteryRank: r.lotteryRank, owner: r.owner}
}

// workerAt is the state of a worker, which is made at its first use.
func (d *Dispatcher) workerAt(index int) *worker {
	record := &d.records[index]
	if record.worker == nil {
		record.worker = newWorker(d, index, record.Worker)
		record.worker.send(record.changed())
	}
	return record.worker
}
