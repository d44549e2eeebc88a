package takeover

import (
	"fmt"
	"time"

	"stoatweir/dispatch"
)

// The time in transit is added to a request's ages. Nothing changes if the clock did not advance since
// the encoding or lies before it, as the clock of another machine may.
func Example_ageInTransit() {
	for _, now := range []time.Duration{5 * time.Second, 5300 * time.Millisecond, time.Second} {
		r := migratedRequest{Remaining: 2 * time.Second, EncodedAt: 5 * time.Second,
			Record: dispatch.MigratedIn{Age: time.Second, Arrival: dispatch.Arrival{Budget: 2 * time.Second},
				Attempts: []dispatch.Attempt{{Age: time.Second, StartedAge: -1, LastProgressAge: 0}}}}
		r.ageInTransit(now)
		fmt.Println(r.Remaining, r.Record.Budget, r.Record.Age,
			r.Record.Attempts[0].Age, r.Record.Attempts[0].StartedAge, r.Record.Attempts[0].LastProgressAge)
	}
	// Output:
	// 2s 2s 1s 1s -1ns 0s
	// 1.7s 1.7s 1.3s 1.3s -1ns 300ms
	// 2s 2s 1s 1s -1ns 0s
}
