package dispatch

import (
	"cmp"
	"slices"
)

const (
	// maxHedgeShare bounds the number of hedged requests, as a share of all invocations.
	maxHedgeShare = 0.2
	// minHedgeConfidence is the least confidence in a worker's load with which it gets a hedged
	// request. Stale load reports show free slots that have been taken since, so that hedged requests
	// would go to busy workers.
	minHedgeConfidence = 0.6
)

// hedge sends second attempts of the invocations in the running set, in order of weight, as long as
// the queue is empty and most pooled workers have free slots.
func (s *scheduler) hedge(running []int) {
	slices.SortStableFunc(running, func(a, b int) int {
		return cmp.Compare(s.invocations[b].weight, s.invocations[a].weight)
	})
	for _, index := range running {
		v := &s.invocations[index]
		selected := s.selectWorker(v)
		if len(s.queue) > 0 || !selected.mostHaveFree || !s.mayHedge() || !s.mayAttempt(v) {
			return
		}
		if selected.worker != noWorker && s.views[selected.worker].confidence > minHedgeConfidence {
			s.hedges++
			s.forward(index, selected.worker)
		}
	}
}

// mayHedge reports whether maxHedgeShare allows one more hedged request.
func (s *scheduler) mayHedge() bool { return s.hedges+1 < maxHedgeShare*s.admitted }
