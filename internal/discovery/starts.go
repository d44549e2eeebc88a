package discovery

import "time"

// minClockStep is the smallest difference between the wall clock and the loop's clock that counts
// as a step of the wall clock. A smaller one is drift, or the delay between reading the two clocks.
const minClockStep = 200 * time.Millisecond

// startTimes converts the start times of workers, which are reported by the wall clock, to the
// loop's monotonic clock. The wall clock may have been stepped since a start. After a forward step,
// a worker that is still warming up would look warm. After a backward step, a start would lie in
// the future or before an earlier start. A start is therefore converted once, when it is first
// reported, and bounded by what the loop's clock shows: it does not lie in the future, and a start
// that is new does not precede the last receipt by more than updateDeadline, within which all
// changes are reported.
type startTimes struct {
	clock          func() time.Duration     // time of the loop's clock
	wallClock      func() time.Time         // may be stepped
	epoch          time.Time                // zero of the loop's clock, by the wall clock after its last step
	steppedAt      time.Duration            // when a step was last seen
	clockSteps     int                      // number of steps seen
	lastReceivedAt time.Duration            // when a watch last received a list or a keep-alive; 0: never
	lastStarts     map[string]recordedStart // by UID
}

// recordedStart is the last reported start of a worker.
type recordedStart struct {
	bootMS    float64       // as reported, ms since 1970 by the wall clock
	startedAt time.Duration // by the loop's clock
}

func newStartTimes(epoch time.Time, clock func() time.Duration, wallClock func() time.Time) *startTimes {
	return &startTimes{
		clock:      clock,
		wallClock:  wallClock,
		epoch:      epoch.Round(0), // without its monotonic reading, which would hide steps
		lastStarts: map[string]recordedStart{},
	}
}

// observeClocks records whether the wall clock has been stepped since the last call, and returns
// the time of the loop's clock.
func (s *startTimes) observeClocks() (now time.Duration) {
	now = s.clock()
	epoch := s.wallClock().Round(0).Add(-now)
	if step := epoch.Sub(s.epoch); step.Abs() >= minClockStep {
		s.epoch = epoch
		s.steppedAt = now
		s.clockSteps++
	}
	return now
}

// recordReceived records that a watch has received a list or a keep-alive.
func (s *startTimes) recordReceived() { s.lastReceivedAt = s.observeClocks() }

// startedAt returns the start of a worker by the loop's clock; bootMS is the start by the wall
// clock, in ms since 1970. A new start of a worker is later than its previous one.
func (s *startTimes) startedAt(uid string, bootMS float64) time.Duration {
	last, reported := s.lastStarts[uid]
	if reported && last.bootMS == bootMS {
		return last.startedAt
	}
	now := s.observeClocks()
	startedAt := time.UnixMilli(int64(bootMS)).Sub(s.epoch)
	if startedAt > now || s.clockStepSuspected(startedAt, now) {
		startedAt = now // the latest possible start: at worst the worker warms up once more
	}
	if reported {
		startedAt = max(startedAt, last.startedAt+1)
	}
	s.lastStarts[uid] = recordedStart{bootMS: bootMS, startedAt: startedAt}
	return startedAt
}

// clockStepSuspected reports whether the wall clock may have been stepped between a new start and
// its report. Before the first receipt no start is known to be new.
func (s *startTimes) clockStepSuspected(startedAt, now time.Duration) bool {
	if s.clockSteps > 0 && now < s.steppedAt+updateDeadline {
		return true
	}
	return s.lastReceivedAt > 0 && startedAt < s.lastReceivedAt-updateDeadline
}
