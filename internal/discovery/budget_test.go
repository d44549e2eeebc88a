package discovery

import (
	"testing"
	"time"

	"stoatweir/dispatch"
)

// The sums of the budget, with the decisions' waits at the time to ask within that the service tells them.
func TestBudget(t *testing.T) {
	const within = 5 * time.Second // the service's toldWithin
	first, most := dispatch.EndpointBackoff(within)
	for name, v := range map[string][2]time.Duration{
		"a call is lost":              {firstWord + most + callTakes, toldAfter - graceLeft},
		"a pushed call is lost":       {firstWord + 2*time.Second + callTakes, toldAfter - graceLeft},
		"a first call is lost":        {within/2 + firstWord + first + callTakes, toldAfter},
		"a watch falls silent, twice": {silence + first + nextWord + first + callTakes, toldAfter - graceLeft},
		"moved, two calls lost":       {moveSpread + 2*moveWord + 6*moveFirst + callTakes, movedAfter},
	} {
		if t.Logf("%s: %v of %v", name, v[0], v[1]); v[0] > v[1] {
			t.Errorf("%s: %v is over %v", name, v[0], v[1])
		}
	}
}
