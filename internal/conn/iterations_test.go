package conn

import (
	"testing"
	"time"
)

// busyTask keeps the loop busy for span and then stops it.
type busyTask struct {
	*Loop
	span time.Duration
}

func (b busyTask) Run() {
	for start := time.Now(); time.Since(start) < b.span; {
	}
	b.Stop()
}

// The duration of an iteration counts from the start of its first task. WorstRecent must return to
// zero once the longest iteration is no longer recent, while Worst keeps its value.
func TestIterations(t *testing.T) {
	l := NewLoop(time.Now())
	l.Post(busyTask{Loop: l, span: 20 * time.Millisecond})
	l.Run(func() {})
	iterations := l.Iterations()
	if iterations.Count != 1 || iterations.Worst < 20*time.Millisecond || iterations.WorstRecent != iterations.Worst {
		t.Errorf("one iteration of 20 ms or more: got %+v", iterations)
	}
	l.start = l.start.Add(-2 * recentBucketCount * recentBucketSpan) // advances the loop's clock
	if later := l.Iterations(); later.WorstRecent != 0 || later.Worst != iterations.Worst {
		t.Errorf("after the worst iteration is no longer recent: got %+v, want WorstRecent 0 and Worst unchanged", later)
	}
}
