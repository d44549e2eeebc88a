package dispatch

import (
	"cmp"
	"math"
	pcg "math/rand/v2"
	"time"
)

// The slow-start budget limits the work that all schedulers together send a worker that has just
// started, so that they do not overload it. Each scheduler knows only its own work and therefore
// limits itself to a share of the budget, by a rule that is the same at all schedulers. The shares are
// even if there are at most slowStartPoolRanks schedulers, or if each share holds minRunsPerShare
// typical runs. Otherwise only the schedulers with the lowest ranks in a lottery share the budget. The
// lottery is drawn by a rendezvous hash of the worker's incarnation.
const (
	// slowStartPoolRanks is how many schedulers, those with the lowest lottery ranks, keep a worker
	// in slow start in their pools.
	slowStartPoolRanks = 6
	// lotteryBudgetShare is the part of the budget, measured in hinted cost, that is handed out where
	// a lottery decides which schedulers share it.
	lotteryBudgetShare = 1.25
	// evenBudgetShare is the same part where all schedulers share the budget evenly.
	evenBudgetShare = 0.25
	// minRunsPerShare is how many typical runs a scheduler's share should hold.
	minRunsPerShare = 1.5
	// minSharers is the least number of schedulers that share a budget by lottery.
	minSharers = 5
	// topSharers is how many schedulers get a third of the shared budget each; the others share
	// the last third.
	topSharers = 2
	// sharerLoadFactor is how much work the schedulers that share a budget should receive together,
	// as a multiple of what keeps the worker busy.
	sharerLoadFactor = 2
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
	return w.initialCapacityShare + (1-w.initialCapacityShare)*max(0, age.Seconds()/w.slowStartDuration.Seconds())
}

// lotteryRank returns how many schedulers come before this one in the lottery for one incarnation
// of a worker. Independent random draws would let no scheduler send to some workers and many send
// to others. A scheduler whose index lies beyond the configured number of schedulers comes last.
func (d *Dispatcher) lotteryRank(incarnation uint64) (before int) {
	own := rendezvousHash(incarnation, d.schedulerIndex)
	for other := range int(d.schedulers) {
		if d.schedulerIndex >= int(d.schedulers) || rendezvousHash(incarnation, other) < own {
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
func (s *scheduler) withinSlowStartBudget(cost float64, view *workerView) bool {
	// Fast first runs do not show that it can take as much work as a warm worker. It counts as no
	// faster than is typical of its kind.
	capacity := max(1, view.maxFree) / max(view.pace, cmp.Or(s.kindPace[view.kind], 1)/view.warmUpWeight)
	budget := s.overloadBudget * capacity
	runTime := cmp.Or(s.stats.runTime, 1)
	rank := float64(view.lotteryRank)
	evenly := s.schedulers <= slowStartPoolRanks || budget >= minRunsPerShare*runTime*s.schedulers
	if rank < s.schedulers && evenly {
		return s.schedulers*(view.budgetUsed+cost) <= evenBudgetShare*budget
	}
	sharers := s.sharerCount(budget, runTime, capacity)
	return rank < min(sharers, s.schedulers) && view.budgetUsed+cost <= s.budgetShare(budget, runTime, rank, sharers)
}

// sharerCount returns how many schedulers share a budget by lottery.
func (s *scheduler) sharerCount(budget, runTime, capacity float64) float64 {
	// The arrival rate is averaged over this scheduler's whole lifetime, so that a jump in traffic
	// does not change at once which schedulers share the budget.
	workPerSecond := runTime * max(1, s.admitted) / max(poolCheckWindow, s.now).Seconds()
	needed := min(sharerLoadFactor*capacity/workPerSecond, topSharers+lotteryBudgetShare*budget/(3*minRunsPerShare*runTime))
	return max(minSharers, math.Floor(needed))
}

// budgetShare returns the share of the scheduler with a rank. The first ranks get large shares
// because most of the work is in large invocations, none of which would fit into an even share. The
// shares together may exceed the budget by a margin for random variation, which grows with the
// square root of the number of runs and so is smaller in proportion for large budgets.
func (s *scheduler) budgetShare(budget, runTime, rank, sharers float64) float64 {
	third := min(lotteryBudgetShare*budget, budget+math.Sqrt(budget*runTime)) / 3
	if rank < topSharers {
		return third
	}
	return third / max(1, min(sharers, s.schedulers)-topSharers)
}
