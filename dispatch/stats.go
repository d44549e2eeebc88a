package dispatch

import (
	"slices"
	"time"
)

// sampleCount is how many samples of a measurement are kept.
const sampleCount = 16

const (
	median = 0.5
	// oneDeviation is the quantile that lies a standard deviation over the median of a normal distribution.
	oneDeviation = 0.84
)

// samples are the last few values of a measurement, oldest first.
type samples []float64

func (s *samples) add(value float64) {
	if len(*s) == sampleCount {
		*s = append((*s)[:0], (*s)[1:]...)
	}
	*s = append(*s, value)
}

func (s samples) sum() (sum float64) {
	for _, value := range s {
		sum += value
	}
	return sum
}

func (s samples) mean() float64 { return s.sum() / float64(max(1, len(s))) }

// quantile is 0 where nothing was measured. One heavy invocation can't move it as it moves a mean.
func (s samples) quantile(part float64) float64 {
	var sorted [sampleCount + 1]float64
	slices.Sort(sorted[:copy(sorted[:], s)])
	return sorted[int(part*float64(len(s)))]
}

// spread is about one standard deviation.
func (s samples) spread() float64 { return s.quantile(oneDeviation) - s.quantile(median) }

// last gives the newest samples, at most so many.
func (s samples) last(most int) samples { return s[max(0, len(s)-most):] }

// joinSamples puts newer samples behind older ones.
func joinSamples(older []float64, newer samples) samples {
	all := samples(append(slices.Clone(older), newer...))
	return all.last(sampleCount)
}

// seconds turns a number of seconds into a duration.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }
