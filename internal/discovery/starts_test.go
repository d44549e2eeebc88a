package discovery

import (
	"fmt"
	"testing"
	"time"

	"stoatweir/internal/conn"
)

// steppedClockWatcher is a watcher on a machine whose wall clock the test steps. The loop's clock
// is not affected.
type steppedClockWatcher struct {
	*Watcher
	t    *testing.T
	step time.Duration // by which the wall clock is ahead of the true time
	rev  int
}

func newSteppedClockWatcher(t *testing.T) *steppedClockWatcher {
	start := time.Now()
	s := &steppedClockWatcher{t: t, Watcher: NewWatcher(conn.NewLoop(start), "127.0.0.1:1", nil, nil, start)}
	s.WallClock = func() time.Time { return time.Now().Add(s.step) }
	s.parseReport(true, 0)
	return s
}

// parseReport parses a list with the one worker, which started at bootMS by the wall clock, in ms
// since 1970, and returns the start by the loop's clock.
func (s *steppedClockWatcher) parseReport(full bool, bootMS int64) time.Duration {
	s.t.Helper()
	s.rev++
	const template = `{"rev":%d,"all":%v,"targets":[{"uid":"s-1","endpoint":"10.0.0.1:1","state":"Ready","boot_ms":%d}]}`
	text := fmt.Sprintf(template, s.rev, full, bootMS)
	list, err := s.Parse([]byte(text))
	if err != nil || len(list.Workers) != 1 {
		s.t.Fatalf("got update %+v and error %v, want one worker", list, err)
	}
	return list.Workers[0].StartedAt
}

// restart reports that the worker starts now.
func (s *steppedClockWatcher) restart() time.Duration {
	s.t.Helper()
	return s.parseReport(false, s.WallClock().UnixMilli())
}

// recentStartAge is the largest age at which a start counts as recent.
const recentStartAge = 500 * time.Millisecond

// A start that has just happened is recent, whatever steps the wall clock made before.
func TestStartIsRecentAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, -time.Hour, time.Hour, -5 * time.Second, 5 * time.Second} {
		s := newSteppedClockWatcher(t)
		s.step = step
		at, now := s.restart(), s.loop.Clock()
		if at > now || at < now-recentStartAge {
			t.Errorf("clock stepped by %v: started %v ago", step, now-at)
		}
	}
}

// A later start stays later, even if the wall clock is stepped back between the two.
func TestLaterStartStaysLaterAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -3 * time.Second} {
		s := newSteppedClockWatcher(t)
		first := s.restart()
		s.step = step
		time.Sleep(5 * time.Millisecond)
		if second := s.restart(); second <= first {
			t.Errorf("clock stepped by %v: the second start comes %v before the first", step, first-second)
		}
	}
}

// A start that is reported again keeps its time, whatever steps the wall clock has made since.
func TestSameStartIsStableAfterClockStep(t *testing.T) {
	s := newSteppedClockWatcher(t)
	boot := s.WallClock().UnixMilli()
	first := s.parseReport(false, boot)
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		s.step = step
		if again := s.parseReport(true, boot); again != first {
			t.Errorf("clock stepped by %v: start at %v, was at %v", step, again, first)
		}
	}
}

// The wall clock is stepped between a start and its report, so that it does not show how long ago
// the start was. The start counts as just happened, so that no worker is taken for warmer than it
// is.
func TestClockStepBetweenStartAndReport(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -2 * time.Second, 20 * time.Second} {
		s := newSteppedClockWatcher(t)
		boot := s.WallClock().UnixMilli()
		s.step = step
		at, now := s.parseReport(false, boot), s.loop.Clock()
		if at > now || at < now-recentStartAge {
			t.Errorf("clock stepped by %v: started %v ago", step, now-at)
		}
	}
}

// A start that is reported late, after an outage of discovery, is taken as the wall clock gives it
// if the clock was not stepped. A start is not believed if it is earlier than the starts that must
// have been known at the last receipt.
func TestStartReportedLate(t *testing.T) {
	var now, step time.Duration
	epoch := time.UnixMilli(1_790_000_000_000)
	s := newStartTimes(epoch, func() time.Duration { return now }, func() time.Time { return epoch.Add(now + step) })
	boot := func(at time.Duration) float64 { return float64(epoch.Add(at).UnixMilli()) }
	now = 10 * time.Second
	if at := s.startedAt("s-0", boot(-time.Minute)); at != -time.Minute {
		t.Error("a start in the first list, want 1m0s before zero, got ", at)
	}
	s.recordReceived()
	now = 30 * time.Second
	for _, want := range []time.Duration{22 * time.Second, 5 * time.Second} { // during the outage, and before it but reported late
		if at := s.startedAt(want.String(), boot(want)); at != want {
			t.Errorf("reported late: %v, want %v", at, want)
		}
	}
	if at := s.startedAt("s-3", boot(3*time.Second)); at != now {
		t.Error("a start before what was known, want the current time, got ", at)
	}
	step = time.Minute
	if at := s.startedAt("s-4", boot(29*time.Second+step)); at != now {
		t.Error("a start right after a step, want the current time, got ", at)
	}
	now = time.Minute
	if at := s.startedAt("s-5", boot(59*time.Second+step)); at != 59*time.Second {
		t.Error("a start long after a step, want 59s, got ", at)
	}
}
