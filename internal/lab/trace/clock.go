package trace

import "time"

// clock maps the recorded times of a trace to times of the run: rows are as far apart as they were recorded, divided by the
// speed, but for jumps of the recorded clock.
type clock struct {
	unit   float64 // of recorded times, in nanoseconds
	maxGap float64 // a longer step is a jump; in nanoseconds
	speed  float64

	started bool
	first   float64       // recorded time of the first row
	last    float64       // recorded time that the next step counts from
	shift   float64       // that jumps have taken out, in nanoseconds
	now     time.Duration // time of the last row
}

func newClock(m Mapping) clock {
	return clock{unit: float64(unitByName[m.TimeUnit]), maxGap: float64(m.MaxGap), speed: m.Speed}
}

// step is how far a recorded time is from the last one, in nanoseconds.
func (c *clock) step(recorded float64) float64 { return (recorded - c.last) * c.unit }

// check returns what is wrong with a recorded time; false: nothing is. The first one starts the clock.
func (c *clock) check(recorded float64) (Anomaly, bool) {
	if !c.started {
		c.started = true
		c.first = recorded
		c.last = recorded
	}
	step := c.step(recorded)
	switch {
	case step < -c.maxGap || step > c.maxGap:
		return ClockJump, true
	case step < 0:
		return OutOfOrder, true
	}
	return 0, false
}

// advance returns the time of a row, and clamps it if its recorded time is anomalous.
func (c *clock) advance(recorded float64) time.Duration {
	step := c.step(recorded)
	switch {
	case step < -c.maxGap: // the recorded clock was set back: the trace goes on from there
		c.shift += step
		c.last = recorded
		return c.now
	case step < 0: // sent with the row before; the clock stays where it is
		return c.now
	case step > c.maxGap:
		c.shift += step - c.maxGap
	}
	c.last = recorded
	elapsed := (recorded-c.first)*c.unit - c.shift
	c.now = max(c.now, time.Duration(elapsed/c.speed))
	return c.now
}
