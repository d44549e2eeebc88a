// Package dispatch decides, for one scheduler, when each invocation is sent and to which worker.
//
// Call New once, then call Handle with all events of one moment and carry out the returned actions
// in order. The package does no I/O and uses no goroutines, locks or clock: each call of Handle
// passes the time as the span since the instance's start, and random numbers come from the seed.
// The same events always produce the same actions.
//
// # Life of an invocation
//
// An Arrival is admitted to the queue (queue.go), which is ordered by rank: priority weight divided
// by effective size. At the end of each moment the scheduling step (selection.go) goes through the
// queue in that order, selects a worker with enough capacity for each invocation, and emits a
// Forward. The worker's reports on the attempt (AttemptProgress, Outcome) update the worker's state
// (worker.go). Once the attempt has ended, the invocation (retry.go) is completed, retried, or given
// up with Throttle or Fail.
//
// This ordinary path follows the SRPTMS+C algorithm: effective size, rank, running set, release in
// rank order, hedged requests. The package departs from it in six ways, each described in
// docs/design.md:
//
//  1. Ejection and probation: the outcomes of this scheduler's own attempts also decide whether a
//     worker is used, either at all or for one tenant's operation.
//  2. Stalled attempts: an invocation is retried when no answer to its attempt is expected in time.
//  3. Pace: a worker's running time per unit of work. A slow worker only gets what it can finish in
//     time.
//  4. Stale load reports: they count for less, and where gossip is allowed, workers whose load data
//     this scheduler owns come first.
//  5. Slow start: the budget of a worker that has just started is shared by a few schedulers, which
//     a rendezvous hash selects identically at every scheduler.
//  6. Load shedding: an invocation that can no longer earn anything is answered at once, and one
//     that can earn less is ranked lower.
//
// # Files
//
//	dispatcher.go    New, Handle: events in, actions out; the state shared by all parts
//	event.go         events                                 action.go        actions
//	config.go        the deployment's configuration         reconfigure.go   its values as decisions use them
//	mailbox.go       messages between the parts, and the order of their delivery
//	registry.go      the endpoint list, polling, the order of health checks, ownership of workers
//	worker.go        one worker's state: attempts, load reports, estimate of free capacity
//	outlier.go       health checks, overdue progress, ejection, probation, reinstatement
//	slowstart.go     warm-up, the slow-start lottery, and the budget shared by all schedulers
//	queue.go         admission, effective size, rank
//	selection.go     the scheduling step, eligibility, the choice of a worker
//	hedge.go         hedged requests from spare capacity
//	retry.go         retries, deadlines, final answers and their reasons
//	pool.go          the workers under consideration, and statistics over all workers
//	view.go          the cached view of each worker, brought up to date when it is read
//	gossip.go        load data exchanged by schedulers      gossip_codec.go  its encoding
//	snapshot.go      measurements handed to a successor     migration.go     invocations that change schedulers
//	stats.go         the last few samples of a measurement
//	log.go           log lines for operators
package dispatch
