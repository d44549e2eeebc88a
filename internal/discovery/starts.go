package discovery

import "time"

// stepLeast is the least difference by which the wall clock counts as stepped against our own: less is drift, or our own delay between
// reading the one and the other.
const stepLeast = 200 * time.Millisecond

// starts knows when workers started, by our own clock, which no step moves. Workers tell it by the wall clock, which may have been stepped
// since their start: forward, and a cold worker would look warm; back, and a start would lie ahead or before an earlier one. So a start
// is reckoned once, when it is first told, and held against what our own clock knows: it is no later than now, and one that is news
// is no earlier than the time within which all changes are told.
type starts struct {
	clock     func() time.Duration
	wall      func() time.Time
	epoch     time.Time // where our own clock stood at zero, by the wall clock as it was at its last step
	steppedAt time.Duration
	steps     int           // so often it was
	heardAt   time.Duration // of the last word of a watch; 0: there was none
	known     map[string]knownStart
}

// knownStart is a worker's last start.
type knownStart struct {
	bootMS float64 // as it is told
	at     time.Duration
}

func newStarts(epoch time.Time, clock func() time.Duration, wall func() time.Time) *starts {
	return &starts{epoch: epoch.Round(0), clock: clock, wall: wall, known: map[string]knownStart{}}
}

// look notes whether the wall clock has been stepped since the last look, and gives the time.
func (s *starts) look() (now time.Duration) {
	now = s.clock()
	epoch := s.wall().Round(0).Add(-now)
	if step := epoch.Sub(s.epoch); step.Abs() >= stepLeast {
		s.epoch, s.steppedAt = epoch, now
		s.steps++
	}
	return now
}

// heard enters that a watch has told something, or that nothing has changed.
func (s *starts) heard() { s.heardAt = s.look() }

// at gives a worker's start.
func (s *starts) at(uid string, bootMS float64) time.Duration {
	before, told := s.known[uid]
	if told && before.bootMS == bootMS {
		return before.at
	}
	now := s.look()
	at := time.UnixMilli(int64(bootMS)).Sub(s.epoch)
	if at > now || s.doubtful(at, now) {
		at = now // as cold as it can be
	}
	if told {
		at = max(at, before.at+1)
	}
	s.known[uid] = knownStart{bootMS, at}
	return at
}

// doubtful tells whether the wall clock may have been stepped between a start that is news and the word of it. Before the first word of a
// watch no start is known to be news.
func (s *starts) doubtful(at, now time.Duration) bool {
	if s.steps > 0 && now < s.steppedAt+toldAfter {
		return true
	}
	return s.heardAt > 0 && at < s.heardAt-toldAfter
}
