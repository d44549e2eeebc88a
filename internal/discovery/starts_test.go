package discovery

import (
	"fmt"
	"testing"
	"time"

	"stoatweir/internal/conn"
)

// steppedClock is a watcher on a machine whose wall clock is stepped by the test. The loop's clock runs on.
type steppedClock struct {
	*Watcher
	t    *testing.T
	step time.Duration
	rev  int
}

func newSteppedClock(t *testing.T) *steppedClock {
	start := time.Now()
	s := &steppedClock{t: t, Watcher: New(conn.NewLoop(start), "127.0.0.1:1", nil, nil, start)}
	s.WallClock = func() time.Time { return time.Now().Add(s.step) }
	s.report(true, 0)
	return s
}

// report parses a list of the one worker, with its last start by the wall clock of then, and returns that start by
// the loop's clock.
func (s *steppedClock) report(full bool, bootMS int64) time.Duration {
	s.t.Helper()
	s.rev++
	const template = `{"rev":%d,"all":%v,"targets":[{"uid":"s-1","endpoint":"10.0.0.1:1","state":"Ready","boot_ms":%d}]}`
	text := fmt.Sprintf(template, s.rev, full, bootMS)
	list, err := s.Parse([]byte(text))
	if err != nil || len(list.Workers) != 1 {
		s.t.Fatal(list, err)
	}
	return list.Workers[0].StartedAt
}

// restart reports a start of the worker at this moment.
func (s *steppedClock) restart() time.Duration {
	s.t.Helper()
	return s.report(false, s.WallClock().UnixMilli())
}

const startSlack = 500 * time.Millisecond

// A start that has just happened is recent, however the wall clock was stepped before.
func TestStartIsRecentAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, -time.Hour, time.Hour, -5 * time.Second, 5 * time.Second} {
		s := newSteppedClock(t)
		s.step = step
		at, now := s.restart(), s.loop.Clock()
		if at > now || at < now-startSlack {
			t.Errorf("clock stepped by %v: started %v ago", step, now-at)
		}
	}
}

// A later start stays later, also where the wall clock was stepped back between the two.
func TestLaterStartStaysLaterAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -3 * time.Second} {
		s := newSteppedClock(t)
		first := s.restart()
		s.step = step
		time.Sleep(5 * time.Millisecond)
		if second := s.restart(); second <= first {
			t.Errorf("clock stepped by %v: the second start comes %v before the first", step, first-second)
		}
	}
}

// The same start reported again is the same, whatever the wall clock has done since.
func TestSameStartIsStableAfterClockStep(t *testing.T) {
	s := newSteppedClock(t)
	boot := s.WallClock().UnixMilli()
	first := s.report(false, boot)
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		s.step = step
		if again := s.report(true, boot); again != first {
			t.Errorf("clock stepped by %v: %v, before %v", step, again, first)
		}
	}
}

// The wall clock is stepped between a start and its report: it can't say how long ago that was. The start counts as
// just happened, so that no worker passes for warmer than it is.
func TestClockStepBetweenStartAndReport(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -2 * time.Second, 20 * time.Second} {
		s := newSteppedClock(t)
		boot := s.WallClock().UnixMilli()
		s.step = step
		at, now := s.report(false, boot), s.loop.Clock()
		if at > now || at < now-startSlack {
			t.Errorf("clock stepped by %v: started %v ago", step, now-at)
		}
	}
}

// A start that is reported late, after an outage of discovery, is where the wall clock has it as long as that was
// not stepped; one that would lie before what was known when something was last received is not believed.
func TestStartReportedLate(t *testing.T) {
	var now, step time.Duration
	epoch := time.UnixMilli(1_790_000_000_000)
	s := newStartTimes(epoch, func() time.Duration { return now }, func() time.Time { return epoch.Add(now + step) })
	boot := func(at time.Duration) float64 { return float64(epoch.Add(at).UnixMilli()) }
	now = 10 * time.Second
	if at := s.startedAt("s-0", boot(-time.Minute)); at != -time.Minute {
		t.Error("in the first list: ", at)
	}
	s.recordReceived()
	now = 30 * time.Second
	for _, want := range []time.Duration{22 * time.Second, 5 * time.Second} { // during the outage, and reported late already before it
		if at := s.startedAt(want.String(), boot(want)); at != want {
			t.Errorf("reported late: %v, want %v", at, want)
		}
	}
	if at := s.startedAt("s-3", boot(3*time.Second)); at != now {
		t.Error("before what was known: ", at)
	}
	step = time.Minute
	if at := s.startedAt("s-4", boot(29*time.Second+step)); at != now {
		t.Error("right after a step: ", at)
	}
	now = time.Minute
	if at := s.startedAt("s-5", boot(59*time.Second+step)); at != 59*time.Second {
		t.Error("long after a step: ", at)
	}
}
