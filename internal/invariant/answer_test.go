package invariant

import (
	"fmt"
	"time"

	"stoatweir/dispatch"
)

// Violations of the invariants that a final answer is given once, in time, and is a rejection only if the
// request may be retried, that no connection is closed with an unanswered request, and that no worker
// start lies in the future.
func ExampleChecker_CheckAnswer() {
	f := newFixture(RequestLimits{ID: "9b1f", Effect: dispatch.NonIdempotent, Deadline: 2 * time.Second})
	f.OnViolation = func(v Violation) { fmt.Println(v.ID, v.Reason) }
	f.send(0, target("s-1", 0))
	f.CheckClose(1)
	f.AttemptEnded(1, 0, "reset", true)
	f.now = 3 * time.Second
	fmt.Println(f.CheckAnswer(1, Rejected, "too late"))
	f.CheckAnswer(1, Failed, "")
	f.send(1, target("s-2", 0))
	f.CheckStart("s-3", 4*time.Second)
	for _, t := range f.History(1) {
		fmt.Println(t)
	}
	fmt.Println("open:", f.OpenRequests())
	// Output:
	// 9b1f connection closed on an unanswered request
	// 9b1f refused though it may have run
	// 9b1f answered late
	// failed
	//  answered twice
	//  sent for a request that is not open
	//  a worker's start lies in the future
	// 1.000 taken
	// 1.000 attempt 0 at s-1: sent
	// 1.000 VIOLATION: connection closed on an unanswered request
	// 1.000 ended: reset
	// 3.000 VIOLATION: refused though it may have run
	// 3.000 VIOLATION: answered late
	// 3.000 failed: too late
	// 3.000 VIOLATION: answered twice
	// 3.000 VIOLATION: sent for a request that is not open
	// open: 0
}
