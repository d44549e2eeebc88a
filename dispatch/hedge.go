package dispatch

import (
	"cmp"
	"slices"
)

const (
	// maxHedgeShare bounds hedged requests, as a part of all invocations.
	maxHedgeShare = 0.2
	// hedgeConfidence: stale load reports show free slots that are gone, which hedged requests would fill.
	hedgeConfidence = 0.6
)

// hedge sends second attempts of the running set, by weight, while most pooled workers have free slots and nothing is
// queued.
func (s *scheduler) hedge(running []int) {
	slices.SortStableFunc(running, func(a, b int) int {
		return cmp.Compare(s.invocations[b].weight, s.invocations[a].weight)
	})
	for _, index := range running {
		v := &s.invocations[index]
		selected := s.selectWorker(v)
		if len(s.queue) > 0 || !selected.roomy || !s.mayHedge() || !s.mayAttempt(v) {
			return
		}
		if selected.worker != noWorker && s.views[selected.worker].confidence > hedgeConfidence {
			s.hedges++
			s.forward(index, selected.worker)
		}
	}
}

// mayHedge reports whether the limit on hedged requests allows one more.
func (s *scheduler) mayHedge() bool { return s.hedges+1 < maxHedgeShare*s.admitted }
