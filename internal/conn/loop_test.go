package conn

import (
	"testing"
	"time"
)

type busy struct {
	*Loop
	span time.Duration
}

// Take keeps the loop from all else.
func (b busy) Run() {
	for began := time.Now(); time.Since(began) < b.span; {
	}
	b.Stop()
}

// A turn counts from the first note that it takes in; the worst one of the last while ends with that while.
func TestTurns(t *testing.T) {
	l := NewLoop(time.Now())
	l.Post(busy{l, 20 * time.Millisecond})
	l.Run(func() {})
	turns := l.Iterations()
	if turns.Count != 1 || turns.Worst < 20*time.Millisecond || turns.WorstRecent != turns.Worst {
		t.Errorf("%+v", turns)
	}
	l.start = l.start.Add(-2 * recentSpans * recentSpan) // so much later
	if later := l.Iterations(); later.WorstRecent != 0 || later.Worst != turns.Worst {
		t.Errorf("%+v", later)
	}
}
