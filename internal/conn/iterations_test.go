package conn

import (
	"testing"
	"time"
)

// busyTask keeps the loop busy for some time, and stops it.
type busyTask struct {
	*Loop
	span time.Duration
}

func (b busyTask) Run() {
	for began := time.Now(); time.Since(began) < b.span; {
	}
	b.Stop()
}

// An iteration counts from the first task that it runs; the recent worst one is forgotten after a
// while.
func TestIterations(t *testing.T) {
	l := NewLoop(time.Now())
	l.Post(busyTask{Loop: l, span: 20 * time.Millisecond})
	l.Run(func() {})
	iterations := l.Iterations()
	if iterations.Count != 1 || iterations.Worst < 20*time.Millisecond || iterations.WorstRecent != iterations.Worst {
		t.Errorf("%+v", iterations)
	}
	l.start = l.start.Add(-2 * recentBuckets * recentBucket) // so much later
	if later := l.Iterations(); later.WorstRecent != 0 || later.Worst != iterations.Worst {
		t.Errorf("%+v", later)
	}
}
