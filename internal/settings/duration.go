package settings

import (
	"math"
	"time"
)

// maxNanoseconds bounds durations, so that the sum of a few of them does not overflow.
const maxNanoseconds = float64(math.MaxInt64 / 4)

// Duration converts seconds to a duration, clamped to plus or minus maxNanoseconds; NaN gives 0.
func Duration(seconds float64) time.Duration {
	if math.IsNaN(seconds) {
		return 0
	}
	nanoseconds := seconds * float64(time.Second)
	return time.Duration(math.Round(max(-maxNanoseconds, min(maxNanoseconds, nanoseconds))))
}
