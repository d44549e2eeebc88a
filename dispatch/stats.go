package dispatch

import (
	"slices"
	"time"
)

// sampleCount is the number of samples kept of a measurement.
const sampleCount = 16

// Quantiles.
const (
	median = 0.5
	// oneDeviationAboveMedian is the quantile that lies one standard deviation above the median of
	// a normal distribution.
	oneDeviationAboveMedian = 0.84
)

// samples holds the last sampleCount values of a measurement, oldest first.
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

// mean is 0 where nothing was measured.
func (s samples) mean() float64 { return s.sum() / float64(max(1, len(s))) }

// quantile is 0 where nothing was measured. Quantiles are used where one heavy invocation would
// distort a mean.
func (s samples) quantile(fraction float64) float64 {
	var sorted [sampleCount + 1]float64
	slices.Sort(sorted[:copy(sorted[:], s)])
	return sorted[int(fraction*float64(len(s)))]
}

// spread estimates the standard deviation.
func (s samples) spread() float64 { return s.quantile(oneDeviationAboveMedian) - s.quantile(median) }

// last returns the newest samples, at most the given number of them.
func (s samples) last(count int) samples { return s[max(0, len(s)-count):] }

// joinSamples appends newer samples to older ones and keeps the last sampleCount.
func joinSamples(older []float64, newer samples) samples {
	all := samples(append(slices.Clone(older), newer...))
	return all.last(sampleCount)
}

// seconds converts a number of seconds to a duration.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }
