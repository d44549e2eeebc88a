package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"stoatweir/internal/settings"
)

// A change that is pushed when discovery is back counts as known at once, so the backoff stays well
// below the drain grace.
func Example_watchBackoff() {
	for _, grace := range []time.Duration{0, 20 * time.Millisecond, 500 * time.Millisecond, 30 * time.Second} {
		s := &service{deployment: settings.Deployment{DrainGrace: grace}, random: rand.New(rand.NewPCG(1, 2))}
		fmt.Print(grace, ":")
		for s.failedWatches = range 12 {
			longest := time.Duration(0)
			for range 200 {
				longest = max(longest, s.watchBackoff())
			}
			if s.failedWatches%3 == 0 {
				fmt.Print(" ", longest.Round(50*time.Millisecond))
			}
		}
		fmt.Println()
	}
	// Output:
	// 0s: 250ms 2s 2s 2s
	// 20ms: 50ms 50ms 50ms 50ms
	// 500ms: 250ms 250ms 250ms 250ms
	// 30s: 250ms 2s 2s 2s
}
