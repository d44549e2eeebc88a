package dispatch

import (
	"fmt"
	"time"
)

// What changed while nobody ran here counts as told from a scheduler's first moment: its first call comes well inside the grace,
// however many schedulers start with it. Without a grace it is spread over half of the time to ask within.
func Example_firstCall() {
	for _, grace := range []time.Duration{0, 500 * ms} {
		most := time.Duration(0)
		for seed := range int64(200) {
			dep := shop()
			dep.Schedulers, dep.Rules.PollWithin, dep.Rules.DrainGrace = 300, 5*time.Second, grace
			most = max(most, New(dep, seed).pollAt)
		}
		fmt.Println(grace, most > grace/16, most <= grace/8, most > 2*time.Second, most <= 2500*ms)
	}
	// Output:
	// 0s true false true true
	// 500ms true true false true
}
