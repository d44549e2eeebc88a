package tenants

import (
	"fmt"
	"strings"
)

// Validate returns all invalid fields at once, each with its JSON pointer.
func ExampleSpec_Validate() {
	zero, negative := 0.0, -2
	s := validSpec()
	s.Weight = 0
	s.Limits = Limits{RatePerSecond: &zero, Concurrency: &negative}
	s.Operations = append(s.Operations,
		Operation{Name: "render", Effect: "sometimes", LatencyObjectiveSeconds: 1e12, BilledValue: 1},
		Operation{ // the name has a Cyrillic е
			Name:                    "rеnder",
			Effect:                  Idempotent,
			DedupWindowSeconds:      3,
			LatencyObjectiveSeconds: 1,
			ClientTimeoutSeconds:    1,
			BilledValue:             1,
		})
	for _, fieldError := range s.Validate() {
		fmt.Println(fieldError)
	}
	tooLong := strings.Repeat("a", 41)
	fmt.Println(ValidateName("/name", "Acme"), ValidateName("/name", ""), ValidateName("/name", tooLong),
		ValidateName("/name", "a."), len(ValidateName("/name", "a-1")))
	// Output:
	// /weight: 0 is not over 0
	// /limits/rate_per_s: 0 is not over 0
	// /limits/concurrency: -2 is not over 0
	// /operations/1/name: "render" is the name of operation 0 too
	// /operations/1/effect: "sometimes" is none of idempotent, deduplicated, non_idempotent
	// /operations/1/latency_objective_s: 1e+12 is over 86400
	// /operations/1/client_timeout_s: 0 is not over 0
	// /operations/2/name: has characters other than a to z, 0 to 9 and -
	// /operations/2/effect: "idempotent" knows no repeats, and a window or scope is set
	// /name: has characters other than a to z, 0 to 9 and - /name: is not set /name: is over 40 characters /name: has characters other than a to z, 0 to 9 and - 0
}
