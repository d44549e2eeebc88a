package trace

import "time"

// clock converts the recorded times of a trace to times of the run. The intervals between rows are
// kept, divided by the speed, except where the recorded clock jumps.
type clock struct {
	unitNanos   float64 // unit of recorded times, in nanoseconds
	maxGapNanos float64 // a longer step in either direction is a jump
	speed       float64 // replay speed, relative to the recording

	started       bool
	firstRecorded float64       // recorded time of the first row
	lastRecorded  float64       // recorded time from which the next step is measured
	removedNanos  float64       // recorded time that jumps have removed; backward jumps count as negative
	now           time.Duration // time of the run at the last row
}

func newClock(m Mapping) clock {
	return clock{unitNanos: float64(unitByName[m.TimeUnit]), maxGapNanos: float64(m.MaxGap), speed: m.Speed}
}

// stepNanos returns the time from lastRecorded to a recorded time, in nanoseconds.
func (c *clock) stepNanos(recorded float64) float64 { return (recorded - c.lastRecorded) * c.unitNanos }

// check returns the anomaly of a recorded time, and false if there is none. The first call starts the
// clock.
func (c *clock) check(recorded float64) (Anomaly, bool) {
	if !c.started {
		c.started = true
		c.firstRecorded = recorded
		c.lastRecorded = recorded
	}
	step := c.stepNanos(recorded)
	switch {
	case step < -c.maxGapNanos || step > c.maxGapNanos:
		return ClockJump, true
	case step < 0:
		return OutOfOrder, true
	}
	return 0, false
}

// advance returns the time of the run for a recorded time. An anomalous time is clamped: the result is
// never before that of an earlier row, and a forward jump counts as the longest allowed step.
func (c *clock) advance(recorded float64) time.Duration {
	step := c.stepNanos(recorded)
	switch {
	case step < -c.maxGapNanos: // the recorded clock was set back: later steps are measured from its new time
		c.removedNanos += step
		c.lastRecorded = recorded
		return c.now
	case step < 0: // out of order: the row is sent together with the one before it
		return c.now
	case step > c.maxGapNanos:
		c.removedNanos += step - c.maxGapNanos
	}
	c.lastRecorded = recorded
	elapsed := (recorded-c.firstRecorded)*c.unitNanos - c.removedNanos
	c.now = max(c.now, time.Duration(elapsed/c.speed))
	return c.now
}
