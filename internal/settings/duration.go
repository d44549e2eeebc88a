package settings

import (
	"math"
	"time"
)

// maxDuration, in nanoseconds, leaves room for sums of a few durations.
const maxDuration = float64(math.MaxInt64 / 4)

// Duration converts seconds to a duration, clamped to what one can hold; NaN gives 0.
func Duration(seconds float64) time.Duration {
	if math.IsNaN(seconds) {
		return 0
	}
	nanoseconds := seconds * float64(time.Second)
	return time.Duration(math.Round(max(-maxDuration, min(maxDuration, nanoseconds))))
}
