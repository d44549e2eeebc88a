package tenants

import (
	"cmp"
	"slices"
)

// maxSamples is how many of the latest measurements of each quantity are retained.
const maxSamples = 32

// appendSample appends a measurement and drops the oldest one if there would be more than maxSamples.
func appendSample[T any](samples []T, sample T) []T {
	if len(samples) == maxSamples {
		copy(samples, samples[1:])
		samples = samples[:maxSamples-1]
	}
	return append(samples, sample)
}

// median returns the upper median of the samples, of which there must be at least one.
func median[T cmp.Ordered](samples []T) T {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
