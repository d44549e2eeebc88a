package dispatch

import "time"

// Timing of endpoint list polls. A call may be lost, so the timeout of a call and the wait before the
// next one together must still bring the list within Rules.PollWithin. Package discovery tests this
// sum for lists that are read from sockets.
const (
	// initialPollBackoff is the wait after the first and the second consecutive failure. It doubles
	// with each further failure.
	initialPollBackoff = 250 * time.Millisecond
	// maxPollBackoffDivisor divides Rules.PollWithin to give the longest wait.
	maxPollBackoffDivisor = 6
	// maxPollBackoffJitter is the upper end of the jitter: waits are drawn from 0.5 to 1.5 times the
	// nominal wait.
	maxPollBackoffJitter = 1.5
	// minPollBackoff is the shortest nominal wait.
	minPollBackoff = 50 * time.Millisecond
	// maxPollDoublings bounds how often the wait doubles.
	maxPollDoublings = 5
	// minPollTimeout is the shortest time after which an unanswered call counts as lost.
	minPollTimeout = time.Second
	// firstPollGraceDivisor divides the drain grace to give the latest time of the first call. The
	// rest of the grace is for the answer and for this scheduler's start.
	firstPollGraceDivisor = 8
)

// generalCheckInterval: when this scheduler owns workers, every third request for one more pool
// worker goes to the general check order instead of to an owned worker.
const generalCheckInterval = 3

// workerRecord is a worker's entry in the endpoint list. A scheduler uses few of the many listed
// workers, so the full state (worker) is only created at the first use, which saves memory and time.
type workerRecord struct {
	Endpoint
	worker       *worker // nil: not used yet
	owner        int     // number of the scheduler that owns the worker's load data
	lotteryRank  int     // number of schedulers before this one in the slow-start lottery
	inCheckOrder bool
	lastUpdate   int // number of the last update that listed it
}

// requirements restrict the workers that may be used.
type requirements struct {
	kind int
	zone int
	cell int
	// notAfter is the end of the deduplication window; 0: no window applies to the next attempt.
	notAfter time.Duration
}

// unrestricted stands for any kind, zone or cell.
const unrestricted = -1

// anyWorker matches every worker.
var anyWorker = requirements{kind: unrestricted, zone: unrestricted, cell: unrestricted}

func (r requirements) matches(kind, zone, cell int) bool {
	return (r.kind < 0 || r.kind == kind) && (r.zone < 0 || r.zone == zone) && (r.cell < 0 || r.cell == cell)
}

// EndpointBackoff returns the longest wait after the first failed call for the endpoint list, and
// the longest wait after any number of failures. within is Rules.PollWithin.
func EndpointBackoff(within time.Duration) (first, longest time.Duration) {
	jittered := func(wait time.Duration) time.Duration { return time.Duration(maxPollBackoffJitter * float64(wait)) }
	longest = max(within/maxPollBackoffDivisor, minPollBackoff)
	return jittered(min(initialPollBackoff, longest)), jittered(longest)
}

// firstPollTime returns the time of the first poll. Discovery only handles a limited number of
// concurrent calls, so the first calls of all schedulers are spread, within the time that the rules
// give. A change made before this scheduler started counts as known from its first moment, and only
// the drain grace is left to follow it. The list must therefore arrive within the grace, even when
// many schedulers start together.
func (d *Dispatcher) firstPollTime(grace time.Duration) time.Duration {
	spread := min(float64(d.pollWithin/2), (d.schedulers-1)*float64(tickInterval))
	if grace > 0 {
		spread = min(spread, float64(grace/firstPollGraceDivisor))
	}
	return time.Duration(d.rng.Float64() * spread)
}

// pollIfDue asks for a watch of the endpoint list if none is established and a poll is due.
func (d *Dispatcher) pollIfDue() {
	if d.pollsEndpoints && !d.watching && d.now >= d.pollAt {
		d.emit(WatchEndpoints{})
		d.pollAt = d.now + max(minPollTimeout, d.pollWithin/2)
	}
}

// watchFailed plans the next call. The jitter keeps schedulers from calling at the same moment, and
// the wait is short enough for what is left of PollWithin after a lost call.
func (d *Dispatcher) watchFailed() {
	wait := initialPollBackoff << max(min(d.watchFailures, maxPollDoublings+1)-1, 0)
	wait = max(min(wait, d.pollWithin/maxPollBackoffDivisor), minPollBackoff)
	d.watching = false
	d.watchFailures++
	if !d.pollsEndpoints {
		return // updates are pushed, so there is nothing to poll
	}
	d.pollAt = d.now + wait/2 + time.Duration(d.rng.Int63n(int64(wait)))
	d.emit(watchRetryLog(d.pollAt))
}

// applyUpdate applies an endpoint update to the records.
func (d *Dispatcher) applyUpdate(update EndpointUpdate) {
	if update.Kind == WatchFailed {
		d.watchFailed()
		return
	}
	if d.now > 0 { // the first update is only the cached list
		d.watching = true
		d.watchFailures = 0
	}
	d.updateCount++
	for _, endpoint := range update.Endpoints {
		d.applyEndpoint(d.findOrAddRecord(endpoint.Worker), endpoint)
	}
	if update.Kind == FullUpdate {
		d.removeUnlisted()
	}
}

// removeUnlisted marks all workers as gone that the last update did not list.
func (d *Dispatcher) removeUnlisted() {
	for index := range d.records {
		record := &d.records[index]
		if record.lastUpdate == d.updateCount || record.State == Gone {
			continue
		}
		gone := record.Endpoint
		gone.State = Gone
		d.applyEndpoint(index, gone)
	}
}

// findOrAddRecord returns the index of a worker's record, and creates the record of an unknown worker.
func (d *Dispatcher) findOrAddRecord(id WorkerID) int {
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

// applyEndpoint applies a worker's entry in an update to its record.
func (d *Dispatcher) applyEndpoint(index int, endpoint Endpoint) {
	record := &d.records[index]
	restarted := endpoint.StartKnown && endpoint.State == Ready &&
		(!record.StartKnown || endpoint.StartedAt > record.StartedAt)
	record.Endpoint = endpoint
	record.lastUpdate = d.updateCount
	if restarted {
		record.lotteryRank = d.lotteryRank(endpoint.Incarnation)
	}
	if endpoint.State == Ready && !record.inCheckOrder {
		d.addToCheckOrder(index)
	}
	d.notifyWorker(index)
	// This also applies when this scheduler starts: schedulers that restart have forgotten which
	// workers are in slow start.
	slowStart := d.now < endpoint.StartedAt+d.slowStartDuration
	if restarted && slowStart && record.lotteryRank < slowStartPoolRanks {
		d.workerAt(index).send(joinPool{workerStats: workerStats{runTime: 1}})
	}
}

// addToCheckOrder inserts a worker at a random position of the health check order.
func (d *Dispatcher) addToCheckOrder(index int) {
	position := d.rng.Intn(len(d.checkOrder) + 1)
	d.checkOrder = append(d.checkOrder, index)
	last := len(d.checkOrder) - 1
	d.checkOrder[position], d.checkOrder[last] = d.checkOrder[last], d.checkOrder[position]
	d.records[index].inCheckOrder = true
}

// extendPool makes one more worker join the pool. If this scheduler owns the load data of some
// workers, most requests go to those, because their load is known best.
func (d *Dispatcher) extendPool(request poolRequest) {
	d.checksRequested++
	if request.viaGossip || len(d.owned) == 0 || d.checksRequested%generalCheckInterval == 0 {
		d.checkNext(request)
		return
	}
	index := d.owned[d.checksRequested/2%len(d.owned)]
	d.requestCheck(index, request, joinPool{workerStats: request.workerStats})
}

// checkNext makes the next matching worker of the check order join the pool. The order is random: if
// all schedulers used the same one, they would all send to the same worker.
func (d *Dispatcher) checkNext(request poolRequest) {
	for skipped := 0; skipped < len(d.checkOrder); {
		position := (d.nextCheck + skipped) % len(d.checkOrder)
		nextPosition := d.nextCheck % len(d.checkOrder)
		index := d.checkOrder[position]
		record := &d.records[index]
		switch {
		case record.State != Ready:
			d.removeFromCheckOrder(position)
		case !request.matches(record.Kind, record.Zone, record.Cell):
			skipped++
		default:
			d.checkOrder[position] = d.checkOrder[nextPosition]
			d.checkOrder[nextPosition] = index
			d.nextCheck = nextPosition + 1
			d.requestCheck(index, request, joinPool{workerStats: request.workerStats, viaGossip: request.viaGossip})
			return
		}
	}
}

func (d *Dispatcher) removeFromCheckOrder(position int) {
	d.records[d.checkOrder[position]].inCheckOrder = false
	last := len(d.checkOrder) - 1
	d.checkOrder[position] = d.checkOrder[last]
	d.checkOrder = d.checkOrder[:last]
}

// requestCheck makes a worker join the pool, either at once or as the next epoch begins.
func (d *Dispatcher) requestCheck(index int, request poolRequest, join joinPool) {
	if request.nextEpoch {
		d.scheduler.send(deferredCheck{worker: index, joinPool: join})
		return
	}
	d.workerAt(index).send(join)
}

// assignOwner sets the owner of a worker's load data, when the worker is first listed and when the
// configuration changes.
func (d *Dispatcher) assignOwner(index int) {
	record := &d.records[index]
	record.owner = d.ownerOf(record.Worker)
	if d.gossipEnabled && record.owner == d.schedulerIndex {
		d.owned = append(d.owned, index)
	}
	d.notifyWorker(index)
}

// reassignOwners sets all owners and this scheduler's slow-start lottery ranks, which both depend on
// the number of schedulers.
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

// notifyWorker sends a worker its record if the worker is in use.
func (d *Dispatcher) notifyWorker(index int) {
	record := &d.records[index]
	if record.worker != nil {
		record.worker.send(record.recordChangedMessage())
	}
}

func (r *workerRecord) recordChangedMessage() recordChanged {
	return recordChanged{Endpoint: r.Endpoint, lotteryRank: r.lotteryRank, owner: r.owner}
}

// workerAt returns the state of a worker, which is created at its first use.
func (d *Dispatcher) workerAt(index int) *worker {
	record := &d.records[index]
	if record.worker == nil {
		record.worker = newWorker(d, index, record.Worker)
		record.worker.send(record.recordChangedMessage())
	}
	return record.worker
}
