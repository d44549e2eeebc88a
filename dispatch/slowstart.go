package dispatch

import (
	"cmp"
	"math"
	pcg "math/rand/v2"
	"time"
)

// The slow-start budget limits the work that all schedulers together send a worker that has just
// started, so that they do not overload it. Each scheduler knows only its own work and therefore
// limits itself to a share of the budget, by a rule that is the same at all schedulers: even shares
// where each of them holds a few typical runs; otherwise only the schedulers with the lowest ranks
// in a lottery share the budget. The lottery is drawn by a rendezvous hash of the worker's
// incarnation.
const (
	// slowStartWatchers is how many schedulers, those with the lowest lottery ranks, keep a worker
	// in slow start in their pools.
	slowStartWatchers = 6
	// lotteryBudgetShare is the part of the budget, in hinted cost, that is handed out where a lottery
	// decides which schedulers share it.
	lotteryBudgetShare = 1.25
	// evenBudgetShare is the part that is handed out where all schedulers share the budget evenly.
	evenBudgetShare = 0.25
	// minRunsPerShare is how many typical runs a scheduler's share should hold.
	minRunsPerShare = 1.5
	// minSharers is the least number of schedulers that share a budget by lottery.
	minSharers = 5
	// firstSharers is how many schedulers get a third of the shared budget each; the others share
	// the last third.
	firstSharers = 2
	// busyFactor is how much work the schedulers that share a budget should have together, as a
	// multiple of what keeps the worker busy.
	busyFactor = 2
	// unmeasuredCostFactor multiplies hinted costs until results show how far the hints are off.
	unmeasuredCostFactor = 3
)

// warmUpWeightAt returns the part of its capacity that the worker has at a time: it grows linearly
// during slow start and is 1 afterwards.
func (w *worker) warmUpWeightAt(now time.Duration) float64 {
	age := now - w.startedAt
	if !w.startKnown || age >= w.slowStartDuration {
		return 1
	}
	return w.slowStartFrom + (1-w.slowStartFrom)*max(0, age.Seconds()/w.slowStartDuration.Seconds())
}

// lotteryRank returns how many schedulers come before this one in the lottery for one incarnation
// of a worker. Independent random draws would let no scheduler send to some workers and many send
// to others. A scheduler whose index lies beyond the configured number of schedulers comes last.
func (d *Dispatcher) lotteryRank(incarnation uint64) (before int) {
	own := rendezvousHash(incarnation, d.self)
	for other := range int(d.schedulers) {
		if d.self >= int(d.schedulers) || rendezvousHash(incarnation, other) < own {
			before++
		}
	}
	return before
}

// rendezvousHash returns a pseudo-random number for a key and a scheduler that is the same at all
// schedulers.
func rendezvousHash(key uint64, scheduler int) uint64 {
	return pcg.NewPCG(key, uint64(scheduler)).Uint64()
}

// expectedCost returns what an invocation uses of a slow-start budget. All hints may be far off,
// which only results show: until there is a result of its operation or a worker has reported a
// service time, the hint counts unmeasuredCostFactor times.
func (s *scheduler) expectedCost(v *invocation) float64 {
	measured := s.operations[v.operation].hintErrors
	if len(measured) == 0 && s.stats.serviceTime == 0 {
		return v.work * unmeasuredCostFactor
	}
	return v.work * max(1, measured.mean())
}

// withinSlowStartBudget reports whether a worker in slow start stays within its budget if this
// scheduler sends it work of the given cost and all other schedulers use their shares up.
func (s *scheduler) withinSlowStartBudget(cost float64, v *workerView) bool {
	// Fast first runs do not show that it can take as much work as a warm worker. It counts as no
	// faster than is typical of its kind.
	capacity := max(1, v.maxFree) / max(v.pace, cmp.Or(s.kindPace[v.kind], 1)/v.warmUpWeight)
	budget := s.overloadBudget * capacity
	run := cmp.Or(s.stats.runTime, 1)
	rank := float64(v.lotteryRank)
	evenly := s.schedulers <= slowStartWatchers || budget >= minRunsPerShare*run*s.schedulers
	if rank < s.schedulers && evenly {
		return s.schedulers*(v.budgetUsed+cost) <= evenBudgetShare*budget
	}
	sharers := s.sharers(budget, run, capacity)
	return rank < min(sharers, s.schedulers) && v.budgetUsed+cost <= s.budgetPart(budget, run, rank, sharers)
}

// sharers returns how many schedulers share a budget by lottery.
func (s *scheduler) sharers(budget, run, capacity float64) float64 {
	// The work that arrives here per second, averaged over this scheduler's whole lifetime, so that
	// a jump in traffic does not change at once which schedulers share the budget.
	work := run * max(1, s.admitted) / max(poolSpan, s.now).Seconds()
	needed := min(busyFactor*capacity/work, firstSharers+lotteryBudgetShare*budget/(3*minRunsPerShare*run))
	return max(minSharers, math.Floor(needed))
}

// budgetPart returns the share of the scheduler with a rank. The first ranks get large shares
// because most of the work is in large invocations, none of which would fit into an even share. The
// shares together may exceed the budget by a margin for random variation, which grows with the
// square root of the number of runs and so is smaller in proportion for large budgets.
func (s *scheduler) budgetPart(budget, run, rank, sharers float64) float64 {
	third := min(lotteryBudgetShare*budget, budget+math.Sqrt(budget*run)) / 3
	if rank < firstSharers {
		return third
	}
	return third / max(1, min(sharers, s.schedulers)-firstSharers)
}
