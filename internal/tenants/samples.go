package tenants

import (
	"cmp"
	"slices"
)

// maxSamples is how many of the latest measurements are retained of each kind.
const maxSamples = 32

// appendSample adds a measurement and drops the oldest one where there would be too many.
func appendSample[T any](samples []T, sample T) []T {
	if len(samples) == maxSamples {
		copy(samples, samples[1:])
		samples = samples[:maxSamples-1]
	}
	return append(samples, sample)
}

// median returns the upper median of at least one sample.
func median[T cmp.Ordered](samples []T) T {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
