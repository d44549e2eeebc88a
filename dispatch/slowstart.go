package dispatch

import (
	"cmp"
	"math"
	pcg "math/rand/v2"
	"time"
)

// The slow-start budget. A worker that has just started is overloaded if all schedulers together send it more than it
// bears, and each of them knows only of its own work. So each one keeps a part of the budget by itself, by a rule that
// all schedulers apply alike: evenly where even parts hold a few usual runs; else the schedulers with the lowest ranks
// in a lottery share it, which a rendezvous hash of the worker's incarnation draws.
const (
	// slowStartWatchers is how many schedulers, by rank, keep a worker in slow start in their pools.
	slowStartWatchers = 6
	// lotteryBudgetShare is the part of the budget, by hinted costs, that is shared where few schedulers share it.
	lotteryBudgetShare = 1.25
	// evenBudgetShare is the same where all schedulers share it.
	evenBudgetShare = 0.25
	// minRunsPerShare is how many usual runs a scheduler's part should hold.
	minRunsPerShare = 1.5
	// minSharers is how many schedulers share a budget at least.
	minSharers = 5
	// firstSharers have a third of the shared budget each; all others share the last third.
	firstSharers = 2
	// busyFactor: the schedulers that share a budget send twice as much as would keep the worker busy.
	busyFactor = 2
	// unmeasuredCostFactor multiplies hinted costs until results tell how far hints are off.
	unmeasuredCostFactor = 3
)

// warmUpWeightAt is the part of its capacity that a worker has in its slow start; past that, 1.
func (w *worker) warmUpWeightAt(now time.Duration) float64 {
	age := now - w.startedAt
	if !w.startKnown || age >= w.slowStartDuration {
		return 1
	}
	return w.initialCapacityShare + (1-w.initialCapacityShare)*max(0, age.Seconds()/w.slowStartDuration.Seconds())
}

// lotteryRank is how many schedulers come before this one for one incarnation of a worker. Left to chance alone, now
// none and now many would send to it. A scheduler whose number lies beyond the configured number comes last.
func (d *Dispatcher) lotteryRank(incarnation uint64) (before int) {
	own := rendezvousHash(incarnation, d.schedulerIndex)
	for other := range int(d.schedulers) {
		if d.schedulerIndex >= int(d.schedulers) || rendezvousHash(incarnation, other) < own {
			before++
		}
	}
	return before
}

// rendezvousHash draws a number for one scheduler and one key, which all schedulers draw alike.
func rendezvousHash(key uint64, scheduler int) uint64 {
	return pcg.NewPCG(key, uint64(scheduler)).Uint64()
}

// expectedCost is what an invocation uses of a slow-start budget. All hints may be far off, which only results show:
// until there is one of its operation, and no worker has reported how long anything runs, they count several times.
func (s *scheduler) expectedCost(v *invocation) float64 {
	measured := s.operations[v.operation].hintErrors
	if len(measured) == 0 && s.stats.serviceTime == 0 {
		return v.work * unmeasuredCostFactor
	}
	return v.work * max(1, measured.mean())
}

// withinSlowStartBudget reports whether a worker in slow start may get work of a cost if all other schedulers send their
// parts too.
func (s *scheduler) withinSlowStartBudget(cost float64, v *workerView) bool {
	// Its first runs may be quick and it still unable to bear as many: its kind's usual pace is the least.
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

// sharers is how many schedulers share a budget.
func (s *scheduler) sharers(budget, run, capacity float64) float64 {
	// The work that we get a second, over all our time: a jump of the traffic must not name others in a moment.
	work := run * max(1, s.admitted) / max(poolSpan, s.now).Seconds()
	needed := min(busyFactor*capacity/work, firstSharers+lotteryBudgetShare*budget/(3*minRunsPerShare*run))
	return max(minSharers, math.Floor(needed))
}

// budgetPart is the part of the scheduler with a rank: most work is heavy, and even parts would hold none of it. Of many
// runs chance bears less in proportion.
func (s *scheduler) budgetPart(budget, run, rank, sharers float64) float64 {
	third := min(lotteryBudgetShare*budget, budget+math.Sqrt(budget*run)) / 3
	if rank < firstSharers {
		return third
	}
	return third / max(1, min(sharers, s.schedulers)-firstSharers)
}
