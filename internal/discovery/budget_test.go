package discovery

import (
	"testing"
	"time"

	"stoatweir/dispatch"
)

const (
	// addressChangeDeadline is the counterpart of updateDeadline after a change of the address.
	addressChangeDeadline = 4 * time.Second
	// dispatchGrace is how long attempts may still be sent to a worker after the deadline for
	// knowing a change that rules it out.
	dispatchGrace = 500 * time.Millisecond
	// requestDuration is the time taken by a request that discovery serves immediately: connecting,
	// receiving the list, and the loop's iterations.
	requestDuration = 100 * time.Millisecond
)

// Each sum in the comment of budget.go stays below its deadline, with the dispatcher's backoffs for
// the poll time that the service sets.
func TestBudget(t *testing.T) {
	const pollWithin = 5 * time.Second // as the service sets it for polled lists
	const pushedBackoffMax = 2 * time.Second
	first, longest := dispatch.EndpointBackoff(pollWithin)
	for name, v := range map[string]struct{ sum, deadline time.Duration }{
		"a request is lost": {
			sum:      firstListTimeout + longest + requestDuration,
			deadline: updateDeadline - dispatchGrace,
		},
		"a request for a pushed list is lost": {
			sum:      firstListTimeout + pushedBackoffMax + requestDuration,
			deadline: updateDeadline - dispatchGrace,
		},
		"the first request is lost": {
			sum:      pollWithin/2 + firstListTimeout + first + requestDuration,
			deadline: updateDeadline,
		},
		"a watch times out, twice": {
			sum:      idleTimeout + first + reconnectTimeout + first + requestDuration,
			deadline: updateDeadline - dispatchGrace,
		},
		"the address changes, two requests lost": {
			sum:      addressChangeJitter + 2*candidateTimeout + 6*candidateBackoffBase + requestDuration,
			deadline: addressChangeDeadline,
		},
	} {
		t.Logf("%s: %v of %v", name, v.sum, v.deadline)
		if v.sum > v.deadline {
			t.Errorf("%s: the sum is %v, above the deadline of %v", name, v.sum, v.deadline)
		}
	}
}
