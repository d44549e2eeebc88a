package discovery

import (
	"fmt"
	"testing"
	"time"

	"stoatweir/internal/conn"
)

// steppedClock is a watcher on a machine whose wall clock is stepped by the test. Its own clock runs on.
type steppedClock struct {
	*Watcher
	t    *testing.T
	step time.Duration
	rev  int
}

func onSteppedClock(t *testing.T) *steppedClock {
	start := time.Now()
	s := &steppedClock{t: t, Watcher: New(conn.NewLoop(start), "127.0.0.1:1", nil, nil, start)}
	s.WallClock = func() time.Time { return time.Now().Add(s.step) }
	s.hear(true, 0)
	return s
}

// hear has the list tell of the worker, with its last start by the wall clock of then, and gives that start by our own clock.
func (s *steppedClock) hear(whole bool, bootMS int64) time.Duration {
	s.t.Helper()
	s.rev++
	text := fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[{"uid":"s-1","endpoint":"10.0.0.1:1","state":"Ready","boot_ms":%d}]}`, s.rev, whole, bootMS)
	list, err := s.Parse([]byte(text))
	if err != nil || len(list.Workers) != 1 {
		s.t.Fatal(list, err)
	}
	return list.Workers[0].StartedAt
}

// restart is the start of a worker right now.
func (s *steppedClock) restart() time.Duration {
	s.t.Helper()
	return s.hear(false, s.WallClock().UnixMilli())
}

const startSlack = 500 * time.Millisecond

// A worker that has just started has just started, however the wall clock was stepped before.
func TestStartsOnSteppedClock(t *testing.T) {
	for _, step := range []time.Duration{0, -time.Hour, time.Hour, -5 * time.Second, 5 * time.Second} {
		s := onSteppedClock(t)
		s.step = step
		at, now := s.restart(), s.loop.Clock()
		if at > now || at < now-startSlack {
			t.Errorf("clock stepped by %v: started %v ago", step, now-at)
		}
	}
}

// The start after another one is later, also where the wall clock was stepped back between the two.
func TestLaterStartOnSteppedClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -3 * time.Second} {
		s := onSteppedClock(t)
		first := s.restart()
		s.step = step
		time.Sleep(5 * time.Millisecond)
		if second := s.restart(); second <= first {
			t.Errorf("clock stepped by %v: the second start comes %v before the first", step, first-second)
		}
	}
}

// The same start told again is the same, whatever the wall clock has done since.
func TestSameStartOnSteppedClock(t *testing.T) {
	s := onSteppedClock(t)
	boot := s.WallClock().UnixMilli()
	first := s.hear(false, boot)
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		s.step = step
		if again := s.hear(true, boot); again != first {
			t.Errorf("clock stepped by %v: %v, before %v", step, again, first)
		}
	}
}

// The wall clock is stepped between a start and the word of it: how long ago that was can't be told by the clock. It was after the last
// word, and a worker is never taken for warmer than it may be.
func TestClockStepsBehindAStart(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -2 * time.Second, 20 * time.Second} {
		s := onSteppedClock(t)
		boot := s.WallClock().UnixMilli()
		s.step = step
		at, now := s.hear(false, boot), s.loop.Clock()
		if at > now || at < now-startSlack {
			t.Errorf("clock stepped by %v: started %v ago", step, now-at)
		}
	}
}

// A start that is told late, behind an outage of discovery, is where the wall clock has it, as long as that was not stepped; one that would
// lie before what was known at the last word is not believed.
func TestStartToldLate(t *testing.T) {
	var now, step time.Duration
	epoch := time.UnixMilli(1_790_000_000_000)
	s := newStarts(epoch, func() time.Duration { return now }, func() time.Time { return epoch.Add(now + step) })
	boot := func(at time.Duration) float64 { return float64(epoch.Add(at).UnixMilli()) }
	now = 10 * time.Second
	if at := s.at("s-0", boot(-time.Minute)); at != -time.Minute {
		t.Error("in the first list: ", at)
	}
	s.heard()
	now = 30 * time.Second
	for _, want := range []time.Duration{22 * time.Second, 5 * time.Second} { // told late, and long in coming before the outage
		if at := s.at(want.String(), boot(want)); at != want {
			t.Errorf("told late: %v, want %v", at, want)
		}
	}
	if at := s.at("s-3", boot(3*time.Second)); at != now {
		t.Error("before what was known: ", at)
	}
	step = time.Minute
	if at := s.at("s-4", boot(29*time.Second+step)); at != now {
		t.Error("right behind a step: ", at)
	}
	now = time.Minute
	if at := s.at("s-5", boot(59*time.Second+step)); at != 59*time.Second {
		t.Error("long behind a step: ", at)
	}
}
