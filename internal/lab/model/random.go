package model

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// newRand returns a source of random numbers for one purpose. What is drawn for one purpose must not move what is drawn for
// another, so that two deciders meet the same run.
func newRand(seed int64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(uint64(seed), h.Sum64()))
}

// lognormal draws from the lognormal distribution with a mean and a coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	normal := rng.NormFloat64() // drawn even if it is not used, so that the draws after it do not depend on cv
	if cv <= 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(variance)*normal-variance/2)
}

// pickByShare draws an index by shares, of which the running sums are given.
func pickByShare(sums []float64, rng *rand.Rand) int {
	if len(sums) == 0 {
		return 0
	}
	at := rng.Float64() * sums[len(sums)-1]
	for i, sum := range sums {
		if at < sum {
			return i
		}
	}
	return len(sums) - 1
}

// sampleTolerance keeps a share that is a little off by rounding from drawing one more.
const sampleTolerance = 1e-9

// sample draws a share of the values, rounded up.
func sample(rng *rand.Rand, values []int, share float64) []int {
	rng.Shuffle(len(values), func(i, j int) { values[i], values[j] = values[j], values[i] })
	n := int(math.Ceil(share*float64(len(values)) - sampleTolerance))
	return values[:min(max(n, 0), len(values))]
}

// happens draws once for each share, until one hits.
func happens(rng *rand.Rand, shares []float64) bool {
	for _, share := range shares {
		if rng.Float64() < share {
			return true
		}
	}
	return false
}
