package model

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// newRand returns the random source for one purpose, which is seeded by the run's seed and the text
// of the purpose. Draws for one purpose must not affect those for another, so that two deciders are
// run against the same load and faults.
func newRand(seed int64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(uint64(seed), h.Sum64()))
}

// lognormal draws from the lognormal distribution with the given mean and coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	normal := rng.NormFloat64() // drawn even if unused, so that later draws do not depend on cv
	if cv <= 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(variance)*normal-variance/2)
}

// pickByShare draws an index with a probability proportional to its share, given the cumulative
// sums of the shares.
func pickByShare(cumulativeShares []float64, rng *rand.Rand) int {
	if len(cumulativeShares) == 0 {
		return 0
	}
	at := rng.Float64() * cumulativeShares[len(cumulativeShares)-1]
	for i, sum := range cumulativeShares {
		if at < sum {
			return i
		}
	}
	return len(cumulativeShares) - 1
}

// sampleTolerance keeps a rounding error in share times length from drawing one value too many.
const sampleTolerance = 1e-9

// sample draws a random share of the values, rounded up to a whole number. It shuffles values in
// place.
func sample(rng *rand.Rand, values []int, share float64) []int {
	rng.Shuffle(len(values), func(i, j int) { values[i], values[j] = values[j], values[i] })
	n := int(math.Ceil(share*float64(len(values)) - sampleTolerance))
	return values[:min(max(n, 0), len(values))]
}

// drawAny draws one event per share, which is its probability, and reports whether any occurs. It
// stops at the first one.
func drawAny(rng *rand.Rand, shares []float64) bool {
	for _, share := range shares {
		if rng.Float64() < share {
			return true
		}
	}
	return false
}
