// Package dispatch decides, for one scheduler, which worker each invocation is sent to, and when.
//
// Call New once at the start, then Handle with all events of one moment, and carry the returned actions out in
// order. The package has no I/O, no goroutines, no locks and no clock: time comes with each call of Handle, as the
// span since the instance's start, and randomness from the seed. The same events give the same actions.
//
// # The way of an invocation
//
// An Arrival is admitted to the queue (queue.go), which is ordered by rank: priority weight over effective size. At
// the end of each moment the scheduling step (selection.go) goes through the queue in that order, selects a worker
// for each invocation that one has capacity for, and emits a Forward. What the worker then says of the attempt
// (AttemptProgress, Outcome) changes its record (worker.go) and, once the attempt has ended, the invocation
// (retry.go): it is complete, retried, or given up with Throttle or Fail.
//
// SRPTMS+C decides this ordinary path: effective size, rank, running set, release in rank order, hedged requests.
// Beside it stand six departures, each described in docs/design.md:
//
//  1. Ejection and probation: a worker, whole or for one tenant's operation, is judged by our own outcomes too.
//  2. Stalled attempts: a retry for what sits where no answer in time is to be expected.
//  3. Pace: a worker's running time for each unit of work; a slow one gets only what it can do in time.
//  4. Stale load reports count for less; where gossip is allowed, workers that this scheduler owns come first.
//  5. Slow start: the budget of a worker that has just started is shared by the few schedulers that a rendezvous
//     hash names, the same ones at every scheduler.
//  6. Load shedding: what can't earn anything any more is answered at once, and what can earn less goes later.
//
// # Files
//
//	dispatcher.go    New, Handle: events in, actions out; the state that all parts share
//	event.go         what may happen                        action.go        what the caller is to do
//	config.go        what a deployment says                 reconfigure.go   its figures as the decisions use them
//	mailbox.go       messages between the parts, and the order of their delivery
//	registry.go      the endpoint list, polling, who is health checked next, the slow-start lottery
//	worker.go        one worker's state: attempts, load reports, estimate of free capacity
//	outlier.go       health checks, overdue progress, ejection, probation, reinstatement
//	slowstart.go     warm-up and the budget that all schedulers share
//	queue.go         admission, effective size, rank
//	selection.go     the scheduling step, eligibility, the choice of a worker
//	hedge.go         hedged requests from spare capacity
//	retry.go         what may be attempted again, deadlines, final answers and their reasons
//	pool.go          the workers that are considered, and what was learned of them all
//	view.go          the cached view of each worker, brought up to date when it is read
//	gossip.go        what schedulers gossip to one another        gossip_codec.go  its bytes
//	snapshot.go      what a successor learns                 migration.go     invocations that change schedulers
//	stats.go         the last few samples of a measurement
package dispatch
